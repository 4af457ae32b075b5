package ratepool

import (
	"math"
	"time"
)

const (
	// tokenRounding makes up for rounding errors of a level that is a whole number of tokens.
	tokenRounding = 1e-9
	// maxWait bounds the time until the next token that a bucket states.
	maxWait = 10 * time.Second
)

// bucket is the token bucket of one team at a node. It holds a part of the team's limit; the sum of the parts at all nodes is
// at most 1 at any time.
type bucket struct {
	limits limits
	// part is the part of the limit that the bucket has held since updatedAt.
	part float64
	// level is the number of tokens as of updatedAt, at most part x limits.size.
	level     float64
	updatedAt time.Duration
}

// setPart changes the part. The time since the last update counts with the smaller of both parts, because the part may have been
// lost at any time since.
func (b *bucket) setPart(now time.Duration, part float64) {
	b.part = min(b.part, part)
	b.update(now)
	b.part = part
}

// setLimits changes the limits.
func (b *bucket) setLimits(now time.Duration, l limits) {
	b.update(now)
	b.limits = l
	b.update(now)
}

func (b *bucket) update(now time.Duration) {
	elapsed := max(0, now-b.updatedAt).Seconds()
	b.level = min(b.level+b.part*b.limits.rate*elapsed, b.part*b.limits.size)
	b.updatedAt = max(b.updatedAt, now)
}

// take takes up to n tokens and returns how many it took.
func (b *bucket) take(now time.Duration, n int) int {
	b.update(now)
	taken := min(n, int(math.Floor(b.level+tokenRounding)))
	b.level = max(0, b.level-float64(taken))
	return taken
}

// wait returns the time until the bucket has a token, if nobody else takes one.
func (b *bucket) wait(now time.Duration) time.Duration {
	b.update(now)
	if b.part*b.limits.size+tokenRounding < 1 || b.limits.rate <= 0 {
		return maxWait
	}
	return min(maxWait, time.Duration(max(0, 1-b.level)/(b.part*b.limits.rate)*float64(time.Second)))
}
