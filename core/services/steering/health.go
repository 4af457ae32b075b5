package steering

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Outcome is what an attempt or a probe says about its target.
type Outcome int

// The outcomes. A missing measurement is not an outcome.
const (
	// OutcomeAnswered means that the target answered.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed means that the target could not be reached or broke off.
	OutcomeFailed
	// OutcomeSlow means that the target did not answer in time.
	OutcomeSlow
	// OutcomeShed means that the target refused the request as too much for it.
	OutcomeShed
	// OutcomeProbed means that the target answered a probe, which proves less than the answer to a request.
	OutcomeProbed
)

// Breaker says when a target that fails is left out, and for how long.
type Breaker struct {
	// Threshold is the sum of scores in a row that ejects a target; zero keeps no memory of outcomes at all.
	Threshold float64
	// Penalty is the cost that each point of a score adds, in units of a fully loaded target.
	Penalty float64
	// Cooldown is the first time without new work; it doubles with each further failure up to MaxCooldown.
	Cooldown, MaxCooldown time.Duration
}

// DefaultBreaker returns the breaker that instances use.
func DefaultBreaker() Breaker {
	return Breaker{Threshold: 3, Penalty: 0.5, Cooldown: time.Second, MaxCooldown: 16 * time.Second}
}

const (
	// scoreFailed, scoreSlow and scoreShed are what the outcomes add to a target's score.
	scoreFailed = 1.0
	scoreSlow   = 0.5
	scoreShed   = 0.25
	// scoreHalfLife is the time in which a score that nothing adds to loses half of its weight.
	scoreHalfLife = 5 * time.Second
	// maxPenalty bounds the cost of a score to less than the distance to another region.
	maxPenalty = 1.5
	// ejectedPenalty is the cost of an ejected target that may not be left out; it is more than any distance.
	ejectedPenalty = 4.0
)

// Health judges targets by the outcomes of attempts and probes.
type Health struct {
	breaker Breaker

	mu sync.Mutex
	// current holds only the targets whose last outcome was bad; a published map is never written.
	current atomic.Pointer[map[string]condition]
}

// condition is the state of one target whose last outcome was bad.
type condition struct {
	score float64
	// scored is when the score was last changed.
	scored time.Time
	// until ends the ejection; zero for a target that was not ejected.
	until time.Time
	// cooldown is the length of the last ejection.
	cooldown time.Duration
}

// NewHealth returns a health that takes every target for healthy.
func NewHealth(b Breaker) *Health {
	h := &Health{breaker: b}
	h.current.Store(&map[string]condition{})
	return h
}

// Report takes the outcome of an attempt that began at the given time.
func (h *Health) Report(target string, o Outcome, began time.Time) {
	good := o == OutcomeAnswered || o == OutcomeProbed
	if h.breaker.Threshold <= 0 || (good && !h.suspects(target)) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	next := maps.Clone(*h.current.Load())
	c := next[target]
	if !c.until.IsZero() && began.Before(c.until.Add(-c.cooldown)) {
		return
	}
	switch o {
	case OutcomeAnswered:
		delete(next, target)
	case OutcomeProbed:
		if next[target] = c.probed(time.Now()); next[target].score < scoreShed {
			delete(next, target)
		}
	default:
		next[target] = h.worse(c, o)
	}
	h.current.Store(&next)
}

// Retain forgets targets for which keep reports false.
func (h *Health) Retain(keep func(target string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := maps.Clone(*h.current.Load())
	maps.DeleteFunc(next, func(target string, _ condition) bool { return !keep(target) })
	h.current.Store(&next)
}

func (h *Health) worse(c condition, o Outcome) condition {
	switch o {
	case OutcomeSlow:
		c.score += scoreSlow
	case OutcomeShed:
		c.score = min(c.score+scoreShed, max(c.score, h.breaker.Threshold-scoreShed))
	default:
		c.score += scoreFailed
	}
	c.scored = time.Now()
	if c.score < h.breaker.Threshold {
		return c
	}
	c.cooldown = max(h.breaker.Cooldown, min(2*c.cooldown, h.breaker.MaxCooldown))
	c.until = time.Now().Add(c.cooldown)
	c.score = h.breaker.Threshold - scoreFailed
	return c
}

// probed lets requests try the target again if half of its ejection is over; from then on each probe halves the score.
func (c condition) probed(now time.Time) condition {
	if now.Before(c.until.Add(-c.cooldown / 2)) {
		return c
	}
	if now.Before(c.until) {
		c.until = now
		return c
	}
	c.score /= 2
	return c
}

// suspects reports whether a target's last outcome was bad.
func (h *Health) suspects(target string) bool {
	_, known := (*h.current.Load())[target]
	return known
}

// healthView answers for the targets of one service at one moment.
type healthView struct {
	conditions     map[string]condition
	now            time.Time
	penaltyOfScore float64
	// ignoreEjections is true if more than half of the targets are ejected: then the fault is more likely here or
	// everywhere, and leaving them out would help nobody.
	ignoreEjections bool
}

func (h *Health) view(service *servicePlan) healthView {
	v := healthView{conditions: *h.current.Load(), penaltyOfScore: h.breaker.Penalty}
	if len(v.conditions) == 0 {
		return v
	}
	v.now = time.Now()
	ejected := 0
	for i := range service.candidates {
		if v.conditions[service.candidates[i].target.Name].until.After(v.now) {
			ejected++
		}
	}
	v.ignoreEjections = 2*ejected > len(service.candidates)
	return v
}

// penalty returns the cost that a target's condition adds, and whether it is to be left out.
func (v healthView) penalty(target string) (cost float64, ejected bool) {
	if len(v.conditions) == 0 {
		return 0, false
	}
	c, ok := v.conditions[target]
	if !ok {
		return 0, false
	}
	if c.until.After(v.now) {
		return ejectedPenalty, !v.ignoreEjections
	}
	weight := math.Exp2(-v.now.Sub(c.scored).Seconds() / scoreHalfLife.Seconds())
	return min(c.score*weight*v.penaltyOfScore, maxPenalty), false
}
