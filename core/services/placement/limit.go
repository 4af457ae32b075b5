package placement

import (
	"cmp"
	"slices"
	"time"

	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/rendezvous"
	"medlarpond.dev/core/services/belief"
)

const (
	// limitUse is the fraction of a named limit that its owners use. The rest is for requests of instances that do not know
	// the limit yet, and of owners that disagree for a moment about who they are.
	limitUse = 0.75
	// minOwnerRate is the least part of an owner, in requests per second, if there are several.
	minOwnerRate = 0.5
	// probeUse is the fraction of a named limit that all other instances together use to learn whether it still holds.
	probeUse = 0.2
	// limitBurst is the number of tokens that an owner may save.
	limitBurst = 1.0
	// maxLimitBuckets bounds the buckets; targets that are gone leave theirs behind.
	maxLimitBuckets = 1024
	// minLimitRate is the least rate, in requests per second, of the owners together and of the other instances together, as
	// only a response shows that the target takes more again.
	minLimitRate = 0.2
)

// limitLimiter keeps the requests that all instances together send to a target within the limit that the target names. Load
// pattern: a limit of a few requests per second and many instances, so that an equal share would be less than a request in
// the time for which it is counted. A few instances, the owners, divide the limit, those nearest to the target first. The
// others send one request at long intervals.
type limitLimiter struct {
	self string
	// mostInstances is the largest number of instances that were listed at a time. Instances that are no longer listed may be
	// alive and send their single requests.
	mostInstances int
	// buckets is keyed by target ID and holds targets that name a limit.
	buckets map[string]*limitBucket
}

// limitBucket is one instance's part of the limit of a target.
type limitBucket struct {
	// started identifies the incarnation, limit is what it names, in requests per second.
	started int64
	limit   float64
	// instances is the list from which owner, rate and interval were computed.
	instances []roster.Instance
	// owner is true if this instance is one of the owners, and rate is its part of the limit then.
	owner bool
	rate  float64
	// interval is the time between the requests of an instance that is not an owner. phase is the time until its first one: as
	// instances learn of a limit at about the same time, each begins at another time.
	interval, phase time.Duration
	// bucket holds the tokens of an owner.
	bucket tokenBucket
	// probeAt is the time from which an instance that is not an owner may send one request.
	probeAt time.Time
}

// allows reports whether this instance may send one more request to a target that names a limit. confirmed is false if the
// instance may have missed that others took over its part; idle is true if it has no request at the target.
func (l *limitLimiter) allows(view *belief.View, t roster.Target, limit float64, confirmed, idle bool, now time.Time) bool {
	b, ok := l.buckets[t.ID]
	if !ok || b.started != t.Started {
		if len(l.buckets) >= maxLimitBuckets {
			clear(l.buckets)
		}
		b, ok = &limitBucket{started: t.Started, bucket: tokenBucket{refilledAt: now}}, false
		l.buckets[t.ID] = b
	}
	if !ok || b.limit != limit || !sameSlice(b.instances, view.Instances) {
		wasOwner := b.owner
		b.limit, b.instances = limit, view.Instances
		l.mostInstances = max(l.mostInstances, len(view.Instances), 1)
		b.divide(l.self, l.mostInstances, t)
		if !ok || wasOwner != b.owner {
			b.probeAt = now.Add(b.phase)
		}
	}
	if b.owner && confirmed {
		b.bucket.refill(b.rate, limitBurst, now)
		return b.bucket.tokens >= 1
	}
	return idle && !now.Before(b.probeAt)
}

// availableIn returns the time until this instance may send a request to a target that it may not use now; zero if that is not
// known.
func (l *limitLimiter) availableIn(t roster.Target, now time.Time) time.Duration {
	b, ok := l.buckets[t.ID]
	switch {
	case !ok:
		return 0
	case b.owner:
		return b.bucket.availableIn(b.rate, now)
	default:
		return b.probeAt.Sub(now)
	}
}

// consume counts a request to a target that may name a limit.
func (l *limitLimiter) consume(t roster.Target, now time.Time) {
	b, ok := l.buckets[t.ID]
	if !ok {
		return
	}
	b.bucket.tokens = max(0, b.bucket.tokens-1)
	b.probeAt = now.Add(b.interval)
}

// remove forgets a target that names no limit any more.
func (l *limitLimiter) remove(id string) { delete(l.buckets, id) }

// divide computes this instance's part of the limit. mostInstances is the largest number of instances that may be alive.
func (b *limitBucket) divide(self string, mostInstances int, t roster.Target) {
	ranked := rankByDistance(b.instances, t)
	owners := max(1, int(min(limitUse*b.limit/minOwnerRate, float64(len(ranked)))))
	rank := slices.Index(ranked, self)
	if rank < 0 {
		rank = len(ranked)
	}
	b.owner = rank < owners
	b.rate = max(limitUse*b.limit, minLimitRate) / float64(owners)
	spacing := float64(time.Second) / max(probeUse*b.limit, minLimitRate)
	b.interval = time.Duration(float64(mostInstances) * spacing)
	b.phase = time.Duration(float64(max(rank-owners, 0)+1) * spacing)
}

// rankByDistance returns the IDs of the instances, those nearest to the target first.
func rankByDistance(instances []roster.Instance, t roster.Target) []string {
	ranked := rendezvous.Owners([]byte(t.ID), instanceIDs(instances), len(instances))
	places := map[string]roster.Place{}
	for _, i := range instances {
		places[i.ID] = i.Place
	}
	slices.SortStableFunc(ranked, func(a, b string) int {
		return cmp.Compare(distance(places[a], t.Place), distance(places[b], t.Place))
	})
	return ranked
}

// distance is 0 within a failure domain, 1 within a region and 2 between regions.
func distance(a, b roster.Place) int {
	switch {
	case a == b:
		return 0
	case a.Region == b.Region:
		return 1
	default:
		return 2
	}
}

func instanceIDs(instances []roster.Instance) []string {
	ids := make([]string, 0, len(instances))
	for _, i := range instances {
		ids = append(ids, i.ID)
	}
	return ids
}

// sameSlice reports whether two slices share their elements. Lists of instances are replaced and never changed.
func sameSlice(a, b []roster.Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
