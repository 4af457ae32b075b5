package share

import (
	"math/bits"
	"time"
)

// returnHorizon is how long after a take its tokens may be returned.
const returnHorizon = time.Minute

// bucket is a token bucket in whole parts of tokens; level is never below zero nor above burst.
type bucket struct {
	allowance
	level   int64
	updated time.Time
	// room is the least free room since roomSince, and roomBefore in the horizon before that.
	room, roomBefore int64
	roomSince        time.Time
}

// refill adds what has come in since the last update.
func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	high, low := bits.Mul64(uint64(b.rate), uint64(elapsed))
	if high >= uint64(time.Second) {
		b.level = b.burst
	} else {
		added, _ := bits.Div64(high, low, uint64(time.Second))
		b.level += int64(min(added, uint64(b.burst-b.level)))
	}
	b.observeRoom(now)
}

// resize changes rate and burst; tokens that no longer fit are lost. The bucket must be refilled up to now.
func (b *bucket) resize(a allowance, now time.Time) {
	b.allowance = a
	b.level = min(b.level, b.burst)
	b.observeRoom(now)
}

// add puts tokens in as far as they fit.
func (b *bucket) add(tokens int64, now time.Time) {
	b.level += min(max(tokens, 0), b.burst-b.level)
	b.observeRoom(now)
}

// giveBack returns tokens of an earlier take, as many as would have fitted at every moment since: a bucket that was
// full in between would have lost them, and admitting them now would exceed the burst in some window.
func (b *bucket) giveBack(tokens int64) {
	tokens = max(min(tokens, b.room, b.roomBefore), 0)
	b.level += tokens
	b.room -= tokens
	b.roomBefore -= tokens
}

func (b *bucket) observeRoom(now time.Time) {
	if now.Sub(b.roomSince) >= returnHorizon {
		b.roomBefore, b.room, b.roomSince = b.room, b.burst-b.level, now
		return
	}
	b.room = min(b.room, b.burst-b.level)
}

// newBucket returns an empty bucket.
func newBucket(a allowance, now time.Time) bucket {
	return bucket{allowance: a, updated: now, room: a.burst, roomBefore: a.burst, roomSince: now}
}
