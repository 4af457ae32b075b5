package placement

import (
	"time"

	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/rendezvous"
	"medlarpond.dev/core/services/belief"
)

// coldBurst is the number of requests that a cold target may get at once; two instances that disagree about who may use
// it stay within what it bears.
const coldBurst = 1.0

// cold bounds the requests to cold targets of all instances together: one instance alone may use each of them, chosen
// by the hash of target and instance.
type cold struct {
	self string
	// buckets is keyed by the ID of a cold target.
	buckets map[string]coldBucket
}

// coldBucket holds what may be sent now; never above coldBurst.
type coldBucket struct {
	tokens float64
	at     time.Time
}

// room reports whether this instance may send one more request to the target.
func (c *cold) room(view *belief.View, t roster.Target, now time.Time) bool {
	if !now.Before(t.ColdUntil) {
		delete(c.buckets, t.ID)
		return true
	}
	rate := coldRate(view, t.Service)
	if rate <= 0 {
		return true
	}
	if c.owner(view, t.ID) != c.self {
		return false
	}
	bucket, ok := c.buckets[t.ID]
	if !ok {
		bucket = coldBucket{tokens: coldBurst, at: now}
	}
	bucket.tokens = min(coldBurst, bucket.tokens+rate*now.Sub(bucket.at).Seconds())
	bucket.at = now
	c.buckets[t.ID] = bucket
	return bucket.tokens >= 1
}

// take counts a request to a target that has room.
func (c *cold) take(t roster.Target) {
	if bucket, ok := c.buckets[t.ID]; ok {
		bucket.tokens--
		c.buckets[t.ID] = bucket
	}
}

func (c *cold) owner(view *belief.View, target string) string {
	ids := make([]string, 0, len(view.Instances))
	for _, i := range view.Instances {
		ids = append(ids, i.ID)
	}
	owners := rendezvous.Owners([]byte(target), ids, 1)
	if len(owners) == 0 {
		return ""
	}
	return owners[0]
}

func coldRate(view *belief.View, service string) float64 {
	if view.Intent == nil {
		return 0
	}
	s, _ := view.Intent.Service(service)
	return s.ColdRate
}
