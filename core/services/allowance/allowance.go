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
	// overRateRatio is the ratio of offered requests to the window limit above which a team is paced.
	overRateRatio = 1.5
	// suddenRateRatio is the ratio of the requests offered within a second to a team's rate, beyond its burst, above which it is paced
	// at once. Up to minSudden requests are never paced at once, as so few arrive together by chance.
	suddenRateRatio = 1.2
	minSudden       = 10
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
	// instances is the number of instances, by the time since started.
	instances PeakCount
}

// teamUsage tracks the requests of a team.
type teamUsage struct {
	// admitted holds the times of the requests admitted in the last window, oldest first.
	admitted []time.Time
	// offered is the number of requests, including refused ones, decaying linearly over a window; as of offeredAt.
	offered   float64
	offeredAt time.Time
	// recent is like offered, decaying over a second.
	recent float64
	// resumedAt is when the equal split began to apply to the team again, resumedRate the requests per second that it may admit in
	// the window after that; zero if it has always applied.
	resumedAt   time.Time
	resumedRate float64
	// paceTokens is the level of a token bucket that spreads requests over the window while the team is far over its
	// rate; as of offeredAt. It is negative after more requests, which a process that is killed must not admit much faster than
	// the rate: its successor does not know of them.
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
	l.instances.Set(time.Since(l.started), max(n, 1))
}

// instanceCount returns the highest number of instances within the last GrowAfter.
func (l *RateLimiter) instanceCount(now time.Time) float64 {
	return float64(max(1, l.instances.Max(now.Sub(l.started), l.policy.GrowAfter)))
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
	windowLimit, paceRate, burst := l.localLimits(t)
	overRateLimit := overRateRatio * windowLimit
	suddenLimit := max(minSudden, windowLimit-(window.Seconds()-suddenRateRatio)*paceRate)
	if age := now.Sub(l.started); age < window {
		// The previous process may have used its share just before the restart, so a new one gets only what accrues.
		windowLimit = max(1, min(windowLimit, paceRate*age.Seconds()))
	}
	if since := now.Sub(usage.resumedAt); !usage.resumedAt.IsZero() && since < window {
		windowLimit = min(windowLimit, usage.resumedRate*max(0, since.Seconds()))
	}
	if !known {
		usage.paceTokens = burst
	}
	elapsed := now.Sub(usage.offeredAt)
	usage.paceTokens = min(burst, usage.paceTokens+paceRate*elapsed.Seconds())
	usage.offered = 1 + usage.offered*max(0, 1-elapsed.Seconds()/window.Seconds())
	usage.recent = 1 + usage.recent*max(0, 1-elapsed.Seconds())
	usage.offeredAt = now
	l.dropOld(usage, now)
	if (usage.offered > overRateLimit || usage.recent > suddenLimit) && usage.paceTokens < 1 {
		return false, min(window, time.Duration((1-usage.paceTokens)/paceRate*float64(time.Second)))
	}
	if float64(len(usage.admitted))+1 > windowLimit {
		if len(usage.admitted) == 0 {
			return false, window
		}
		return false, window - now.Sub(usage.admitted[0])
	}
	usage.admitted = append(usage.admitted, now)
	usage.paceTokens--
	return true, 0
}

// localLimits returns this instance's window limit for a team, and the rate and burst of the token bucket that applies
// when the team is far over its rate.
func (l *RateLimiter) localLimits(t intent.Team) (windowLimit, paceRate, burst float64) {
	n := l.instanceCount(time.Now())
	tolerance := 1 + l.policy.Overrun
	rate := t.Rate * tolerance
	windowLimit = (rate*l.policy.Window.Seconds() + t.Burst*tolerance + l.policy.Slack) / n
	return max(1, windowLimit), rate / n, max(1, overRateBurstFraction*t.Burst/n)
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

// Resume starts the limit of a team anew at a time, before which other instances may have used this instance's share. In the window
// after it the team gets only what accrues at the rate, in requests per second, as the whole share may have been used just before.
func (l *RateLimiter) Resume(team string, at time.Time, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage, known := l.teams[team]
	if !known {
		usage = &teamUsage{offeredAt: time.Now()}
		l.teams[team] = usage
	}
	usage.resumedAt, usage.resumedRate, usage.paceTokens = at, rate, 0
}

// Admitted returns the number of requests of a team that were admitted in the last window.
func (l *RateLimiter) Admitted(team string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage, known := l.teams[team]
	if !known {
		return 0
	}
	l.dropOld(usage, time.Now())
	return len(usage.admitted)
}

// dropOld removes the requests that were admitted before the last window.
func (l *RateLimiter) dropOld(usage *teamUsage, now time.Time) {
	for len(usage.admitted) > 0 && now.Sub(usage.admitted[0]) > l.policy.Window {
		usage.admitted = usage.admitted[1:]
	}
}
