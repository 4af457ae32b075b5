package placement

import (
	"slices"
	"time"

	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/rendezvous"
	"medlarpond.dev/core/services/belief"
)

const (
	// coldBurst is the number of tokens that an owner of a cold target may save.
	coldBurst = 1.0
	// minColdOwnerRate is the least part of an owner, in requests per second, if there are several.
	minColdOwnerRate = 0.5
	// coldBurstPerRate and coldBurstBase bound the tokens that all owners together may save: coldBurstPerRate x rate +
	// coldBurstBase. A target tolerates rate x 1.5 + 5 requests in a second, and half of what exceeds the rate is kept for
	// owners that restart and for instances that disagree about the owners.
	coldBurstPerRate = 0.25
	coldBurstBase    = 2.5
	// maxColdBuckets bounds the buckets; targets that are removed while they are cold leave theirs behind.
	maxColdBuckets = 1024
	// takeOverFraction is the fraction of Policy.OwnerTimeout after which all instances in contact with the store have learned
	// that the list of instances has changed.
	takeOverFraction = 0.5
)

// coldLimiter keeps the requests that all instances together send to a cold target within its cold rate. Load pattern: many
// targets that are cold at the same time, such as after a deployment, and callers at few of many instances. The instances
// nearest to the target to which callers are directed, the owners, divide its rate; the others do not use the target.
type coldLimiter struct {
	self string
	// takeOverDelay is how long a new owner waits, as instances that have not learned of it yet still use their parts.
	takeOverDelay time.Duration
	// serving belongs to the list instances, earlierServing to the one that was in force takeOverDelay before it changed.
	instances               []roster.Instance
	serving, earlierServing servingInstances
	// buckets is keyed by target ID.
	buckets map[string]*coldBucket
}

// coldBucket is one instance's part of the rate of a cold target.
type coldBucket struct {
	// started identifies the incarnation, rate is its cold rate in requests per second.
	started int64
	rate    float64
	// instances is the list from which part was computed.
	instances []roster.Instance
	// part is this instance's part of the rate; zero if it is not an owner.
	part   float64
	tokens tokenBucket
}

type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// refill adds the tokens since the last refill at a rate per second, up to burst. The last refill may lie in the future; no
// tokens are added before it.
func (b *tokenBucket) refill(rate, burst float64, now time.Time) {
	if now.Before(b.refilledAt) {
		return
	}
	b.tokens = min(burst, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

// availableIn returns the time until the bucket has a token.
func (b *tokenBucket) availableIn(rate float64, now time.Time) time.Duration {
	return time.Duration((1-b.tokens)/rate*float64(time.Second)) + b.refilledAt.Sub(now)
}

// allows reports whether this instance may send one more request to the target. confirmed is false if the instance has had no
// contact with the store for Policy.OwnerTimeout.
func (c *coldLimiter) allows(view *belief.View, t roster.Target, confirmed bool, now time.Time, bootTime time.Duration) bool {
	if !now.Before(t.ColdUntil) {
		delete(c.buckets, t.ID)
		return true
	}
	rate := coldRate(view, t.Service)
	if rate <= 0 {
		return true
	}
	b := c.bucketOf(view, t, rate, now, bootTime)
	if !confirmed || b.part == 0 {
		return false
	}
	b.tokens.refill(b.part, coldBurst, now)
	return b.tokens.tokens >= 1
}

// availableIn returns the time until this instance may send a request to a cold target that it may not use now; zero if it is not
// an owner.
func (c *coldLimiter) availableIn(t roster.Target, now time.Time) time.Duration {
	b, ok := c.buckets[t.ID]
	if !ok || b.part == 0 {
		return 0
	}
	return b.tokens.availableIn(b.part, now)
}

// consume takes a token for a request to the target if the target is cold.
func (c *coldLimiter) consume(t roster.Target) {
	if b, ok := c.buckets[t.ID]; ok {
		b.tokens.tokens--
	}
}

// bucketOf returns the bucket of a cold target for the current list of instances and rate.
func (c *coldLimiter) bucketOf(view *belief.View, t roster.Target, rate float64, now time.Time, bootTime time.Duration) *coldBucket {
	if c.serving == nil || !sameSlice(c.instances, view.Instances) {
		c.instances, c.serving, c.earlierServing = view.Instances, newServingInstances(view.Instances), nil
		if view.EarlierInstances != nil {
			c.earlierServing = newServingInstances(view.EarlierInstances)
		}
	}
	b, ok := c.buckets[t.ID]
	if ok && b.started == t.Started && b.rate == rate && sameSlice(b.instances, view.Instances) {
		return b
	}
	rank, owners := c.serving.rankOf(c.self, t, rate)
	if !ok || b.started != t.Started {
		if len(c.buckets) >= maxColdBuckets {
			clear(c.buckets)
		}
		// The owners start with different numbers of tokens, so that their first requests are spread over time.
		b = &coldBucket{started: t.Started, tokens: tokenBucket{tokens: coldBurst * float64(rank+1) / float64(owners), refilledAt: now}}
		c.buckets[t.ID] = b
	}
	b.rate, b.instances, b.part = rate, view.Instances, 0
	if rank < owners {
		b.part = rate / float64(owners)
		earlierRank, earlierOwners := 0, 1
		if c.earlierServing != nil {
			earlierRank, earlierOwners = c.earlierServing.rankOf(c.self, t, rate)
		}
		if wait := view.InstancesChangedAt + c.takeOverDelay - bootTime; earlierRank >= earlierOwners && wait > 0 {
			b.tokens = tokenBucket{refilledAt: now.Add(wait)}
		}
	}
	return b
}

// coldOwners returns the number of instances that divide the rate of a cold target.
func coldOwners(rate float64) int {
	return max(1, int(min(rate/minColdOwnerRate, coldBurstPerRate*rate+coldBurstBase)))
}

// servingInstances holds the IDs of the instances to which callers are directed, by distance from a place. The lists of a
// region are keyed by a place without a failure domain, that of all instances by the empty place.
type servingInstances map[roster.Place][]string

func newServingInstances(instances []roster.Instance) servingInstances {
	s := servingInstances{}
	for _, i := range instances {
		if _, ok := s[i.Place]; ok {
			continue
		}
		ids := instanceIDs(roster.Serving(instances, i.Place))
		s[i.Place] = ids
		region := roster.Place{Region: i.Place.Region}
		s[region] = append(s[region], ids...)
		s[roster.Place{}] = append(s[roster.Place{}], ids...)
	}
	return s
}

// rankOf returns the rank of an instance among those nearest to a target, and the number of owners. The instance is an owner
// if its rank is lower.
func (s servingInstances) rankOf(self string, t roster.Target, rate float64) (rank, owners int) {
	owners = max(1, min(coldOwners(rate), len(s[roster.Place{}])))
	var ranked []string
	for _, place := range [...]roster.Place{t.Place, {Region: t.Place.Region}, {}} {
		for _, id := range rendezvous.Owners([]byte(t.ID), s[place], len(s[place])) {
			if !slices.Contains(ranked, id) && len(ranked) < owners {
				ranked = append(ranked, id)
			}
		}
		if len(ranked) == owners {
			break
		}
	}
	if rank = slices.Index(ranked, self); rank < 0 {
		rank = owners
	}
	return rank, owners
}

func coldRate(view *belief.View, service string) float64 {
	if view.Intent == nil {
		return 0
	}
	s, _ := view.Intent.Service(service)
	return s.ColdRate
}
