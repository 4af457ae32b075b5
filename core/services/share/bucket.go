package share

import (
	"math/bits"
	"time"
)

// refundWindow is how long after a take its tokens may be refunded.
const refundWindow = time.Minute

// bucket is a token bucket in nanotokens; level stays between zero and burst.
type bucket struct {
	allowance
	level     int64
	updatedAt time.Time
	// minFree is the least free space since minFreeSince, and previousMinFree in the window before that.
	minFree, previousMinFree int64
	minFreeSince             time.Time
}

// refill adds the tokens that have accrued since the last update.
func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.updatedAt)
	if elapsed <= 0 {
		return
	}
	b.updatedAt = now
	high, low := bits.Mul64(uint64(b.rate), uint64(elapsed))
	if high >= uint64(time.Second) {
		b.level = b.burst
	} else {
		added, _ := bits.Div64(high, low, uint64(time.Second))
		b.level += int64(min(added, uint64(b.burst-b.level)))
	}
	b.recordFree(now)
}

// resize changes rate and burst; tokens above the new burst are lost. The bucket must have been refilled up to now.
func (b *bucket) resize(a allowance, now time.Time) {
	b.allowance = a
	b.level = min(b.level, b.burst)
	b.recordFree(now)
}

// add adds tokens up to the burst.
func (b *bucket) add(tokens int64, now time.Time) {
	b.level += min(max(tokens, 0), b.burst-b.level)
	b.recordFree(now)
}

// refund returns tokens of an earlier take, but no more than the bucket had space for at every moment since the take. A
// bucket that was full in between would have lost them, and admitting them now would exceed the burst in some window.
func (b *bucket) refund(tokens int64) {
	tokens = max(min(tokens, b.minFree, b.previousMinFree), 0)
	b.level += tokens
	b.minFree -= tokens
	b.previousMinFree -= tokens
}

func (b *bucket) recordFree(now time.Time) {
	if now.Sub(b.minFreeSince) >= refundWindow {
		b.previousMinFree, b.minFree, b.minFreeSince = b.minFree, b.burst-b.level, now
		return
	}
	b.minFree = min(b.minFree, b.burst-b.level)
}

// newBucket returns an empty bucket.
func newBucket(a allowance, now time.Time) bucket {
	return bucket{allowance: a, updatedAt: now, minFree: a.burst, previousMinFree: a.burst, minFreeSince: now}
}
