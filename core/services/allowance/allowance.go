// Package allowance limits the request rate of teams and the retries of an instance, so that all instances together
// stay within the rate and burst of each team and within the retry budget of each service.
//
// Each instance enforces an equal share of every limit in a sliding window, without communicating with other instances.
// An instance that is partitioned from the others continues with its share. Shares shrink at once when instances join,
// and grow only after instances that left must have stopped.
package allowance

import (
	"sync"
	"time"

	"medlarpond.dev/core/models/intent"
)

// Policy configures the rate limits.
type Policy struct {
	// Window is the length of the sliding window in which a team's requests are counted.
	Window time.Duration
	// Overrun is the fraction by which a window may exceed the limit, and Slack a number of requests in addition. Both
	// are divided among the instances like the limit itself.
	Overrun float64
	Slack   float64
	// GrowAfter is how long the number of instances must have been lower before shares grow.
	GrowAfter time.Duration
}

const (
	// initialWindowFraction is the fraction of its window limit that a new process may use immediately. The rest
	// becomes available over one window, as the previous process may have used the limit just before the restart.
	initialWindowFraction = 0.3
	// overRateRatio is the ratio of offered requests to the window limit above which a team is paced.
	overRateRatio = 1.5
	// overRateBurstFraction is the fraction of its burst that a paced team may use, as requests beyond its rate take
	// capacity from other teams.
	overRateBurstFraction = 0.2
)

// RateLimiter enforces one instance's share of all rate limits. It is safe for concurrent use.
type RateLimiter struct {
	policy  Policy
	started time.Time

	mu sync.Mutex
	// teams is keyed by team name.
	teams map[string]*teamUsage
	// counts holds observed instance counts, the latest last. Counts decrease strictly, times never decrease.
	counts []countSample
}

type countSample struct {
	instances int
	// observedAt is when the count was observed, or replaced by a lower one.
	observedAt time.Time
}

// teamUsage tracks the requests of a team.
type teamUsage struct {
	// admitted holds the times of the requests admitted in the last window, oldest first.
	admitted []time.Time
	// offered is the number of requests, including refused ones, decaying linearly over a window; as of offeredAt.
	offered   float64
	offeredAt time.Time
	// paceTokens is the level of a token bucket that spreads requests over the window while the team is far over its
	// rate; as of offeredAt.
	paceTokens float64
}

// New returns a RateLimiter for an instance that knows of no other instances.
func New(p Policy) *RateLimiter {
	return &RateLimiter{policy: p, started: time.Now(), teams: map[string]*teamUsage{}}
}

// SetInstances sets the number of instances that share the limits.
func (l *RateLimiter) SetInstances(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.counts) > 0 && l.counts[len(l.counts)-1].instances <= n {
		l.counts = l.counts[:len(l.counts)-1]
	}
	if len(l.counts) > 0 {
		l.counts[len(l.counts)-1].observedAt = now
	}
	l.counts = append(l.counts, countSample{instances: max(n, 1), observedAt: now})
}

// instanceCount returns the highest number of instances within the last GrowAfter.
func (l *RateLimiter) instanceCount(now time.Time) float64 {
	for len(l.counts) > 1 && now.Sub(l.counts[0].observedAt) > l.policy.GrowAfter {
		l.counts = l.counts[1:]
	}
	if len(l.counts) == 0 {
		return 1
	}
	return float64(l.counts[0].instances)
}

// Allow admits one request of a team. If it is refused, wait is the time until a request may be admitted again.
func (l *RateLimiter) Allow(t intent.Team) (ok bool, wait time.Duration) {
	if t.Rate <= 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	usage, known := l.teams[t.Name]
	if !known {
		usage = &teamUsage{offeredAt: now}
		l.teams[t.Name] = usage
	}
	window := l.policy.Window
	windowLimit, paceRate, burst := l.localLimits(t, now)
	if !known {
		usage.paceTokens = burst
	}
	usage.paceTokens = min(burst, usage.paceTokens+paceRate*now.Sub(usage.offeredAt).Seconds())
	usage.offered = 1 + usage.offered*max(0, 1-now.Sub(usage.offeredAt).Seconds()/window.Seconds())
	usage.offeredAt = now
	for len(usage.admitted) > 0 && now.Sub(usage.admitted[0]) > window {
		usage.admitted = usage.admitted[1:]
	}
	if usage.offered > overRateRatio*windowLimit && usage.paceTokens < 1 {
		return false, min(window, time.Duration((1-usage.paceTokens)/paceRate*float64(time.Second)))
	}
	if float64(len(usage.admitted))+1 > windowLimit {
		if len(usage.admitted) == 0 {
			return false, window
		}
		return false, window - now.Sub(usage.admitted[0])
	}
	usage.admitted = append(usage.admitted, now)
	usage.paceTokens = max(0, usage.paceTokens-1)
	return true, 0
}

// localLimits returns this instance's window limit for a team, and the rate and burst of the token bucket that applies
// when the team is far over its rate.
func (l *RateLimiter) localLimits(t intent.Team, now time.Time) (windowLimit, paceRate, burst float64) {
	n := l.instanceCount(now)
	tolerance := 1 + l.policy.Overrun
	rate := t.Rate * tolerance
	windowLimit = (rate*l.policy.Window.Seconds() + t.Burst*tolerance + l.policy.Slack) / n
	fraction := min(1, initialWindowFraction+(1-initialWindowFraction)*now.Sub(l.started).Seconds()/l.policy.Window.Seconds())
	return max(1, windowLimit*fraction), rate / n, max(1, overRateBurstFraction*t.Burst/n)
}

// Refund undoes Allow for a request that certainly did not run.
func (l *RateLimiter) Refund(t intent.Team) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if usage, ok := l.teams[t.Name]; ok && len(usage.admitted) > 0 {
		usage.admitted = usage.admitted[:len(usage.admitted)-1]
		usage.paceTokens++
	}
}
