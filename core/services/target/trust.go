package target

import (
	"errors"
	"math"
	"sync"
	"syscall"
	"time"
)

const (
	// staleResetWindow is how soon after sending a reset must arrive to show that the target had dropped the
	// connection while it was idle: a round trip between regions plus a margin.
	staleResetWindow = 100 * time.Millisecond
	// staleAgeFraction is the fraction of the idle age of a stale connection that becomes the new safe idle age.
	staleAgeFraction = 0.5
	// minSafeIdleAge is the lower bound of the safe idle age.
	minSafeIdleAge = 100 * time.Millisecond
	// safeIdleAgeDoubling is the time in which the safe idle age doubles.
	safeIdleAgeDoubling = 5 * time.Second
)

// safeIdleAge is the idle age up to which connections may carry non-idempotent requests. Targets may drop idle
// connections without closing them; a request sent on such a stale connection is lost.
// The age is unlimited at first, falls when a stale connection is met, and then doubles every safeIdleAgeDoubling.
type safeIdleAge struct {
	mu sync.Mutex
	// learned is the safe idle age as of learnedAt; zero before the first stale connection.
	learned   time.Duration
	learnedAt time.Time
}

// limit returns the safe idle age at the given time.
func (s *safeIdleAge) limit(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.learned == 0 {
		return math.MaxInt64
	}
	grown := float64(s.learned) * math.Exp2(now.Sub(s.learnedAt).Seconds()/safeIdleAgeDoubling.Seconds())
	return time.Duration(min(grown, math.MaxInt64/2))
}

// recordFailure lowers the safe idle age if the error shows that the connection was stale. idleAge is how long the
// connection was idle before the exchange, zero for a new one; elapsed is the time from the start of the exchange to
// the error.
func (s *safeIdleAge) recordFailure(err error, idleAge, elapsed time.Duration) {
	if idleAge == 0 || elapsed > staleResetWindow || (!errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE)) {
		return
	}
	now := time.Now()
	learned := max(minSafeIdleAge, time.Duration(staleAgeFraction*float64(idleAge)))
	if learned >= s.limit(now) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learned, s.learnedAt = learned, now
}
