// Package allowance keeps what teams may send through one instance, so that all instances together stay within the rate
// and burst of each team, and what an instance may repeat.
//
// Each instance owns an equal part of every allowance and counts its requests over a sliding window. No messages are
// needed, and an instance that is cut off goes on with its part; the part shrinks at once when instances join and grows
// only after those that left must have stopped.
package allowance

import (
	"sync"
	"time"

	"medlarpond.dev/core/models/intent"
)

// Policy says how parts are worked out.
type Policy struct {
	// Window is the length of the windows in which a team's requests are counted.
	Window time.Duration
	// Overrun is the part by which a window may exceed the allowance, and Slack the number of requests besides; both are
	// dealt to the instances like the allowance itself.
	Overrun float64
	Slack   float64
	// GrowAfter is how long the number of instances must have been lower before parts grow.
	GrowAfter time.Duration
}

const (
	// startFill is the part of a window that a new process may use at once; the rest comes with the time that it has run,
	// as its predecessor may have used the window a moment ago.
	startFill = 0.3
	// hotDemand is the demand, relative to the part of a window, from which a team counts as far over its rate.
	hotDemand = 1.5
	// hotBurst is the part of its burst that such a team may use in each window: whatever it gets beyond its rate takes
	// room from others.
	hotBurst = 0.2
)

// Allowances are the parts of one instance.
type Allowances struct {
	policy  Policy
	started time.Time

	mu sync.Mutex
	// teams is keyed by name.
	teams map[string]*usage
	// counts holds the numbers of instances that were seen, newest last; times grow and numbers fall.
	counts []counted
}

type counted struct {
	instances int
	at        time.Time
}

// usage is what a team has sent.
type usage struct {
	// admitted holds the times of the admitted requests of the last window, oldest first.
	admitted []time.Time
	// offered is the number of requests, refused ones included, that fades over a window; at offeredAt.
	offered   float64
	offeredAt time.Time
	// paced is what a team far over its rate may send now, at offeredAt; it spreads its requests over the window.
	paced float64
}

// New returns allowances for an instance that knows of no other.
func New(p Policy) *Allowances {
	return &Allowances{policy: p, started: time.Now(), teams: map[string]*usage{}}
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
func (a *Allowances) instances(now time.Time) float64 {
	for len(a.counts) > 1 && now.Sub(a.counts[0].at) > a.policy.GrowAfter {
		a.counts = a.counts[1:]
	}
	if len(a.counts) == 0 {
		return 1
	}
	return float64(a.counts[0].instances)
}

// Take uses up one request of a team. If there is none, wait is how long it takes until there may be one.
func (a *Allowances) Take(t intent.Team) (ok bool, wait time.Duration) {
	if t.Rate <= 0 {
		return true, 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	u, known := a.teams[t.Name]
	if !known {
		u = &usage{offeredAt: now}
		a.teams[t.Name] = u
	}
	window := a.policy.Window
	part, pace, burst := a.parts(t, now)
	if !known {
		u.paced = burst
	}
	u.paced = min(burst, u.paced+pace*now.Sub(u.offeredAt).Seconds())
	u.offered = 1 + u.offered*max(0, 1-now.Sub(u.offeredAt).Seconds()/window.Seconds())
	u.offeredAt = now
	for len(u.admitted) > 0 && now.Sub(u.admitted[0]) > window {
		u.admitted = u.admitted[1:]
	}
	if u.offered > hotDemand*part && u.paced < 1 {
		return false, min(window, time.Duration((1-u.paced)/pace*float64(time.Second)))
	}
	if float64(len(u.admitted))+1 > part {
		if len(u.admitted) == 0 {
			return false, window
		}
		return false, window - now.Sub(u.admitted[0])
	}
	u.admitted = append(u.admitted, now)
	u.paced = max(0, u.paced-1)
	return true, 0
}

// parts returns the number of requests of a team that this instance may admit in a window, and the rate and burst of a
// team that is far over its rate.
func (a *Allowances) parts(t intent.Team, now time.Time) (window, pace, burst float64) {
	n := a.instances(now)
	tolerance := 1 + a.policy.Overrun
	steady := t.Rate * tolerance
	window = (steady*a.policy.Window.Seconds() + t.Burst*tolerance + a.policy.Slack) / n
	fill := min(1, startFill+(1-startFill)*now.Sub(a.started).Seconds()/a.policy.Window.Seconds())
	return max(1, window*fill), steady / n, max(1, hotBurst*t.Burst/n)
}

// Return gives back what a request took that certainly did not run.
func (a *Allowances) Return(t intent.Team) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if u, ok := a.teams[t.Name]; ok && len(u.admitted) > 0 {
		u.admitted = u.admitted[:len(u.admitted)-1]
		u.paced++
	}
}
