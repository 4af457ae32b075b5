// Package allowance keeps what teams may send through one instance, so that all instances together stay within the rate
// and burst of each team.
//
// Each instance owns an equal part of every allowance. No messages are needed, and an instance that is cut off goes on
// with its part; the part shrinks at once when instances join and grows only after those that left must have stopped.
package allowance

import (
	"sync"
	"time"

	"medlarpond.dev/core/models/intent"
)

// Policy says how parts are worked out.
type Policy struct {
	// Overrun is the part by which a window may exceed the allowance, and Slack the number of requests besides; both are
	// dealt to the instances like the allowance itself.
	Overrun float64
	Slack   float64
	// GrowAfter is how long the number of instances must have been lower before parts grow.
	GrowAfter time.Duration
}

// startFill is the part of the burst that a new process may use at once: its predecessor may have used the burst a moment
// ago.
const startFill = 0.25

// Allowances are the parts of one instance.
type Allowances struct {
	policy Policy

	mu sync.Mutex
	// buckets is keyed by team.
	buckets map[string]*bucket
	// counts holds the numbers of instances that were seen, newest last; times grow and counts fall.
	counts []counted
}

type counted struct {
	instances int
	at        time.Time
}

// bucket holds the requests that a team may send now.
type bucket struct {
	tokens float64
	at     time.Time
}

// New returns allowances for an instance that knows of no other.
func New(p Policy) *Allowances {
	return &Allowances{policy: p, buckets: map[string]*bucket{}}
}

// SetInstances notes how many instances share the allowances.
func (a *Allowances) SetInstances(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for len(a.counts) > 0 && a.counts[len(a.counts)-1].instances <= n {
		a.counts = a.counts[:len(a.counts)-1]
	}
	if len(a.counts) > 0 {
		a.counts[len(a.counts)-1].at = now
	}
	a.counts = append(a.counts, counted{instances: max(n, 1), at: now})
}

// instances returns the highest number of instances of the last GrowAfter.
func (a *Allowances) instances(now time.Time) int {
	for len(a.counts) > 1 && now.Sub(a.counts[0].at) > a.policy.GrowAfter {
		a.counts = a.counts[1:]
	}
	if len(a.counts) == 0 {
		return 1
	}
	return a.counts[0].instances
}

// Take uses up one request of a team. If there is none, wait is how long it takes until there is one.
func (a *Allowances) Take(t intent.Team) (ok bool, wait time.Duration) {
	if t.Rate <= 0 {
		return true, 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	n := float64(a.instances(now))
	rate := t.Rate * (1 + a.policy.Overrun) / n
	burst := max(1, (t.Burst*(1+a.policy.Overrun)+a.policy.Slack)/n)
	b, known := a.buckets[t.Name]
	if !known {
		b = &bucket{tokens: max(1, burst*startFill), at: now}
		a.buckets[t.Name] = b
	}
	b.tokens = min(burst, b.tokens+rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	return false, time.Duration((1 - b.tokens) / rate * float64(time.Second))
}

// Return gives back what a request took that certainly did not run.
func (a *Allowances) Return(t intent.Team) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b, ok := a.buckets[t.Name]; ok {
		b.tokens++
	}
}
