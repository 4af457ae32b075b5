// Package allowance limits the request rate of teams and the retries of an instance, so that all instances together
// stay within the rate and burst of each team and within the retry budget of each service.
//
// Each instance enforces an equal share of every limit in a sliding window, without communicating with other instances.
// An instance that is partitioned from the others continues with its share. Shares shrink at once when instances join,
// and grow only after instances that left must have stopped. A process that is killed and its successor together keep the share of
// one: the successor does not know what has been used, and uses only what no predecessor can have used (localLimit).
package allowance

import (
	"math"
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
	// overRateBurstFraction is the fraction of its burst that a paced team may use, as requests beyond its rate take
	// capacity from other teams.
	overRateBurstFraction = 0.2
	// minBurst is the number of requests that an instance admits at once at least.
	minBurst = 2
	// maxIntervals bounds the number of intervals that are checked for a request.
	maxIntervals = 256
	// forever is longer than any window.
	forever = math.MaxInt64 * time.Nanosecond
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
	// resumedAt is when the equal split began to apply to the team again, resumedRate the requests per second that it may admit in
	// the window after that; zero if it has always applied.
	resumedAt   time.Time
	resumedRate float64
	// paceTokens is the level of a token bucket that spreads requests over the window while the team is far over its
	// rate; as of offeredAt. It is negative after more requests.
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
	limit := l.localLimit(t)
	if !known {
		usage.paceTokens = limit.paceBurst
	}
	elapsed := now.Sub(usage.offeredAt)
	usage.paceTokens = min(limit.paceBurst, usage.paceTokens+limit.paceRate*elapsed.Seconds())
	usage.offered = 1 + usage.offered*max(0, 1-elapsed.Seconds()/window.Seconds())
	usage.offeredAt = now
	l.dropOld(usage, now)
	if usage.offered > overRateRatio*limit.inWindow && usage.paceTokens < 1 {
		return false, min(window, time.Duration((1-usage.paceTokens)/limit.paceRate*float64(time.Second)))
	}
	if wait := l.wait(usage, limit, now); wait > 0 {
		return false, min(window, wait)
	}
	usage.admitted = append(usage.admitted, now)
	usage.paceTokens--
	return true, 0
}

// localLimit is an instance's part of a team's limit. Any interval of t seconds, up to a window, has at most burst + rate x t requests,
// and a new process admits at most rate x its age until it is a window old. So an interval that begins before a process is killed and
// ends in the lifetime of a successor has at most burst + rate x t requests as well.
type localLimit struct {
	// burst is the number of requests that may be admitted at once, rate that in a second besides.
	burst, rate float64
	// inWindow is the number of requests in a window, burst + rate x window.
	inWindow float64
	// paceRate and paceBurst are the rate and burst of the token bucket that applies when the team is far over its rate.
	paceRate, paceBurst float64
}

// localLimit returns this instance's part of a team's limit.
func (l *RateLimiter) localLimit(t intent.Team) localLimit {
	n := l.instanceCount(time.Now())
	tolerance, seconds := 1+l.policy.Overrun, l.policy.Window.Seconds()
	rate := t.Rate * tolerance
	limit := localLimit{paceRate: rate / n, paceBurst: max(1, overRateBurstFraction*t.Burst/n)}
	limit.inWindow = max(1, (rate*seconds+t.Burst*tolerance+l.policy.Slack)/n)
	limit.burst = min(limit.inWindow, max(minBurst, limit.inWindow-limit.paceRate*seconds))
	limit.rate = (limit.inWindow - limit.burst) / seconds
	return limit
}

// wait returns the time until one more request is within the limit, zero if it is now.
func (l *RateLimiter) wait(usage *teamUsage, limit localLimit, now time.Time) time.Duration {
	count, window := len(usage.admitted), l.policy.Window
	wait := time.Duration(0)
	// A part of less than one request cannot be kept exactly: each process admits one.
	if age := now.Sub(l.started); age < window && limit.inWindow > 1 {
		wait = max(wait, timeUntil(float64(count+1), 0, limit.rate, age))
	}
	if since := now.Sub(usage.resumedAt); !usage.resumedAt.IsZero() && since < window {
		wait = max(wait, timeUntil(float64(count+1), 0, usage.resumedRate, since))
	}
	// With many requests, several intervals are checked as one that begins with the first of their requests and has the length
	// of the shortest one.
	step := 1 + count/maxIntervals
	for last := count - 1; last >= 0; last -= step {
		age := now.Sub(usage.admitted[last])
		if timeUntil(float64(count+1), limit.burst, limit.rate, age) == 0 {
			break
		}
		first := max(0, last-step+1)
		admissible := timeUntil(float64(count-first+1), limit.burst, limit.rate, age)
		wait = max(wait, min(admissible, window-age+time.Nanosecond))
	}
	return wait
}

// timeUntil returns the time until a number of requests is at most burst + rate x t, t being age now; zero if it is now.
func timeUntil(requests, burst, rate float64, age time.Duration) time.Duration {
	missing := requests - burst - rate*max(0, age.Seconds())
	switch {
	case missing <= 0:
		return 0
	case rate <= 0:
		return forever
	default:
		return max(1, time.Duration(missing/rate*float64(time.Second)))
	}
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
