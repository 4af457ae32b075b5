package target

import (
	"errors"
	"math"
	"sync"
	"syscall"
	"time"
)

const (
	// forgottenWithin is how soon after a request was sent a reset shows that the target had forgotten the connection: a
	// round trip between regions and some more.
	forgottenWithin = 100 * time.Millisecond
	// forgottenFraction is the part of the age of a forgotten connection up to which others are trusted.
	forgottenFraction = 0.5
	// minTrust is the least age up to which idle connections are trusted.
	minTrust = 100 * time.Millisecond
	// trustRecovery is the time in which the trusted age doubles.
	trustRecovery = 5 * time.Second
)

// trust is the age up to which idle connections may carry requests that must not run twice. Targets may forget idle
// connections without a word, and what is sent on such a connection is lost.
type trust struct {
	mu sync.Mutex
	// age was learnt at the time at; zero before the first forgotten connection.
	age time.Duration
	at  time.Time
}

// limit returns the trusted age.
func (t *trust) limit(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.age == 0 {
		return math.MaxInt64
	}
	grown := float64(t.age) * math.Exp2(now.Sub(t.at).Seconds()/trustRecovery.Seconds())
	return time.Duration(min(grown, math.MaxInt64/2))
}

// failed takes the error of an exchange on a connection that was idle for some time before.
func (t *trust) failed(err error, idle, took time.Duration) {
	if idle == 0 || took > forgottenWithin || (!errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE)) {
		return
	}
	now := time.Now()
	learnt := max(minTrust, time.Duration(forgottenFraction*float64(idle)))
	if learnt >= t.limit(now) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.age, t.at = learnt, now
}
