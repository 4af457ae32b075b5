package steering

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Outcome is the result of an attempt or a probe, as far as it concerns the target's health.
type Outcome int

// The outcomes. An attempt that shows nothing about the target is not reported.
const (
	// OutcomeAnswered means that the target responded.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed means that the target could not be reached or that its connection broke.
	OutcomeFailed
	// OutcomeTimedOut means that the target did not respond in time.
	OutcomeTimedOut
	// OutcomeShed means that the target refused the request because of overload.
	OutcomeShed
	// OutcomeProbed means that the target passed a health probe, which is weaker evidence than a response to a
	// request.
	OutcomeProbed
)

// Breaker configures the ejection of failing targets.
type Breaker struct {
	// Threshold is the score at which a target is ejected; zero turns health tracking off.
	Threshold float64
	// Penalty is the cost that each point of the score adds. A cost of 1 equals the load of a fully loaded target.
	Penalty float64
	// Cooldown is the length of the first ejection. After an ejection, one more failure ejects the target again for
	// twice as long, up to MaxCooldown.
	Cooldown, MaxCooldown time.Duration
}

// DefaultBreaker returns the breaker settings that instances use.
func DefaultBreaker() Breaker {
	return Breaker{Threshold: 3, Penalty: 0.5, Cooldown: time.Second, MaxCooldown: 16 * time.Second}
}

const (
	// scoreFailed, scoreTimedOut and scoreShed are added to a target's score by the outcomes of the same name.
	scoreFailed   = 1.0
	scoreTimedOut = 0.5
	scoreShed     = 0.25
	// scoreHalfLife is the time in which the penalty of a score halves while no new bad outcome arrives.
	scoreHalfLife = 5 * time.Second
	// maxPenalty bounds the penalty of a score. It is less than the cost of another region.
	maxPenalty = 1.5
	// ejectedPenalty is the cost of an ejected target while ejections are ignored. It exceeds any distance cost.
	ejectedPenalty = 4.0
)

// Health tracks the health of targets by the outcomes of attempts and probes. It is safe for concurrent use.
type Health struct {
	breaker Breaker

	mu sync.Mutex
	// conditions holds only the targets that have not recovered from a bad outcome. A published map is never modified.
	conditions atomic.Pointer[map[string]condition]
}

// condition is the state of a target that has not recovered from a bad outcome.
type condition struct {
	score float64
	// scoredAt is when a bad outcome last changed the score.
	scoredAt time.Time
	// ejectedUntil is the end of the ejection; zero for a target that was not ejected.
	ejectedUntil time.Time
	// cooldown is the length of the last ejection.
	cooldown time.Duration
}

// NewHealth returns a Health that considers every target healthy.
func NewHealth(b Breaker) *Health {
	h := &Health{breaker: b}
	h.conditions.Store(&map[string]condition{})
	return h
}

// Report records the outcome of an attempt or a probe that began at the given time. It ignores those that began
// before the target's last ejection.
func (h *Health) Report(target string, o Outcome, began time.Time) {
	success := o == OutcomeAnswered || o == OutcomeProbed
	if h.breaker.Threshold <= 0 || (success && !h.isSuspect(target)) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	next := maps.Clone(*h.conditions.Load())
	c := next[target]
	if !c.ejectedUntil.IsZero() && began.Before(c.ejectedUntil.Add(-c.cooldown)) {
		return
	}
	switch o {
	case OutcomeAnswered:
		delete(next, target)
	case OutcomeProbed:
		if next[target] = c.afterProbe(time.Now()); next[target].score < scoreShed {
			delete(next, target)
		}
	default:
		next[target] = h.addFailure(c, o)
	}
	h.conditions.Store(&next)
}

// Retain removes the state of the targets for which keep reports false.
func (h *Health) Retain(keep func(target string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := maps.Clone(*h.conditions.Load())
	maps.DeleteFunc(next, func(target string, _ condition) bool { return !keep(target) })
	h.conditions.Store(&next)
}

func (h *Health) addFailure(c condition, o Outcome) condition {
	switch o {
	case OutcomeTimedOut:
		c.score += scoreTimedOut
	case OutcomeShed:
		c.score = min(c.score+scoreShed, max(c.score, h.breaker.Threshold-scoreShed))
	default:
		c.score += scoreFailed
	}
	c.scoredAt = time.Now()
	if c.score < h.breaker.Threshold {
		return c
	}
	c.cooldown = max(h.breaker.Cooldown, min(2*c.cooldown, h.breaker.MaxCooldown))
	c.ejectedUntil = time.Now().Add(c.cooldown)
	c.score = h.breaker.Threshold - scoreFailed
	return c
}

// afterProbe returns the condition after a successful probe. The first one in the second half of an ejection ends the
// ejection; each later one halves the score.
func (c condition) afterProbe(now time.Time) condition {
	if now.Before(c.ejectedUntil.Add(-c.cooldown / 2)) {
		return c
	}
	if now.Before(c.ejectedUntil) {
		c.ejectedUntil = now
		return c
	}
	c.score /= 2
	return c
}

// isSuspect reports whether a target has not recovered from a bad outcome. A response to a request ends this at once,
// successful probes only step by step.
func (h *Health) isSuspect(target string) bool {
	_, known := (*h.conditions.Load())[target]
	return known
}

// healthSnapshot is the health of a service's targets at one moment.
type healthSnapshot struct {
	conditions      map[string]condition
	now             time.Time
	penaltyPerPoint float64
	// ignoreEjections is true if more than half of the targets are ejected. The cause is then more likely in this
	// instance or common to all targets, so ejecting them would help nobody.
	ignoreEjections bool
}

func (h *Health) snapshot(service *servicePlan) healthSnapshot {
	v := healthSnapshot{conditions: *h.conditions.Load(), penaltyPerPoint: h.breaker.Penalty}
	if len(v.conditions) == 0 {
		return v
	}
	v.now = time.Now()
	ejected := 0
	for i := range service.candidates {
		if v.conditions[service.candidates[i].target.Name].ejectedUntil.After(v.now) {
			ejected++
		}
	}
	v.ignoreEjections = 2*ejected > len(service.candidates)
	return v
}

// penalty returns the cost that a target's condition adds, and whether the target is ejected.
func (v healthSnapshot) penalty(target string) (cost float64, ejected bool) {
	if len(v.conditions) == 0 {
		return 0, false
	}
	c, ok := v.conditions[target]
	if !ok {
		return 0, false
	}
	if c.ejectedUntil.After(v.now) {
		return ejectedPenalty, !v.ignoreEjections
	}
	weight := math.Exp2(-v.now.Sub(c.scoredAt).Seconds() / scoreHalfLife.Seconds())
	return min(c.score*weight*v.penaltyPerPoint, maxPenalty), false
}
