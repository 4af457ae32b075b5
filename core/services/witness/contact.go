package witness

import (
	"sync"
	"time"
)

// MaxGap is the longest time between two responses of the store within one period of contact. A store that is away for a
// shorter time loses no entries of programs that renew them every second or less often.
const MaxGap = 1500 * time.Millisecond

// Contact records when the store responds to this instance. It is safe for concurrent use.
type Contact struct {
	// now returns the boot time.
	now func() time.Duration

	mu sync.Mutex
	// began is the boot time of the first response of the current period of contact, latest that of the last response.
	// Successive responses of a period are at most MaxGap apart. Both are zero before the first response.
	began, latest time.Duration
	// ended is the boot time of the last response of the previous period; zero if there was none.
	ended time.Duration
}

// NewContact returns a Contact without a response. now returns the boot time.
func NewContact(now func() time.Duration) *Contact { return &Contact{now: now} }

// Record records a response and returns the time since the previous one; zero for the first.
func (c *Contact) Record() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, previous := c.now(), c.latest
	c.latest = now
	if previous == 0 {
		c.began = now
		return 0
	}
	if now-previous > MaxGap {
		c.began, c.ended = now, previous
	}
	return now - previous
}

// Unbroken returns how long the current period of contact has lasted; zero if the last response is older than MaxGap.
func (c *Contact) Unbroken() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.latest == 0 || now-c.latest > MaxGap {
		return 0
	}
	return now - c.began
}

// SinceBreak returns the time since the contact was last broken off: since the last response before the break, or before
// now if there is no contact. It is at least the time for which another instance must have had contact to know what this
// one has missed.
func (c *Contact) SinceBreak() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.latest == 0 || now-c.latest > MaxGap {
		return now - c.latest
	}
	return now - c.ended
}

// RespondedAfter reports whether the store has responded after the boot time t.
func (c *Contact) RespondedAfter(t time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest > t
}
