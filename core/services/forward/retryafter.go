package forward

import (
	"hash/maphash"
	"time"
)

const (
	// retryJitter is the fraction by which Retry-After varies in both directions.
	retryJitter = 0.25
	// maxHash is one more than the largest hash value.
	maxHash = float64(1 << 64)
)

// retryAfterRoom returns the Retry-After of a request that is refused for lack of room, between minRetryAfter and maxRetryAfter.
// Load pattern: many requests that are refused at the same time and would otherwise come back at the same time. roomIn is the
// estimated time until a target has room; zero or negative if there is no estimate.
func (f *Forwarder) retryAfterRoom(c *call, roomIn time.Duration) time.Duration {
	if roomIn <= 0 {
		roomIn = retryAfterOverload
	}
	// The bounds apply before the jitter, so that requests at a bound are spread as well.
	seconds := min(max(roomIn.Seconds(), minRetryAfter.Seconds()/(1-retryJitter)), maxRetryAfter.Seconds()/(1+retryJitter))
	factor := 1 + retryJitter*(2*float64(maphash.String(f.hashSeed, c.ID))/maxHash-1)
	return time.Duration(seconds * factor * float64(time.Second))
}
