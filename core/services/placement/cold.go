package placement

import (
	"time"

	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/rendezvous"
	"medlarpond.dev/core/services/belief"
)

// coldBurst is the burst size for requests to a cold target. It is small so that the combined requests of two instances
// that briefly disagree about which of them may use the target stay within what the target tolerates.
const coldBurst = 1.0

// coldLimiter limits the requests that all instances together send to cold targets: rendezvous hashing assigns each cold
// target to one instance. No other instance uses the target, and that instance applies a token bucket.
type coldLimiter struct {
	self string
	// buckets is keyed by target ID.
	buckets map[string]tokenBucket
}

type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// refill adds the tokens since the last refill at a rate per second, up to burst.
func (b *tokenBucket) refill(rate, burst float64, now time.Time) {
	b.tokens = min(burst, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

// allows reports whether this instance may send one more request to the target. confirmed is false if the instance has had no
// contact with the store for Policy.OwnerTimeout.
func (c *coldLimiter) allows(view *belief.View, t roster.Target, confirmed bool, now time.Time) bool {
	if !now.Before(t.ColdUntil) {
		delete(c.buckets, t.ID)
		return true
	}
	rate := coldRate(view, t.Service)
	if rate <= 0 {
		return true
	}
	if !confirmed || c.ownerOf(view, t.ID) != c.self {
		return false
	}
	bucket, ok := c.buckets[t.ID]
	if !ok {
		bucket = tokenBucket{tokens: coldBurst, refilledAt: now}
	}
	bucket.refill(rate, coldBurst, now)
	c.buckets[t.ID] = bucket
	return bucket.tokens >= 1
}

// consume takes a token for a request to the target if the target is cold.
func (c *coldLimiter) consume(t roster.Target) {
	if bucket, ok := c.buckets[t.ID]; ok {
		bucket.tokens--
		c.buckets[t.ID] = bucket
	}
}

func (c *coldLimiter) ownerOf(view *belief.View, target string) string {
	owners := rendezvous.Owners([]byte(target), instanceIDs(view.Instances), 1)
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
