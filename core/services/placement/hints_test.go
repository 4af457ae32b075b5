package placement_test

import (
	"testing"
	"testing/synctest"
	"time"

	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/services/placement"
)

// answer ends an attempt at a target with a response that carries hints.
func answer(l *placement.LoadTracker, target roster.Target, outcome placement.Outcome, h placement.Hints) {
	l.Begin(target)
	l.End(placement.Attempt{Target: target, Service: "orders", LatencyGoal: goal, Outcome: outcome, Hints: h})
}

// isUsed reports whether a placement whose only target is the given one selects it.
func isUsed(p *placement.Placement, l *placement.LoadTracker) bool {
	c, _, ok := p.Choose(query("x"))
	if ok {
		l.End(placement.Attempt{Target: c.Target, Outcome: placement.OutcomeCancelled})
	}
	return ok
}

// TestPauseEnds pauses a target for several times at once: the longest holds, for this incarnation only.
func TestPauseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.addTargets(1, east1)
		p, l := f.newPlacement("a", east1)
		target := f.targets["east-1-0"]
		for _, pause := range []time.Duration{time.Second, 4 * time.Second, 0, 2 * time.Second} {
			answer(l, target, placement.OutcomeRefused, placement.Hints{Pause: pause})
		}
		answer(l, target, placement.OutcomeAnswered, placement.Hints{})
		time.Sleep(3900 * time.Millisecond)
		if isUsed(p, l) {
			t.Error("a target is used while it wants no requests")
		}
		time.Sleep(200 * time.Millisecond)
		if !isUsed(p, l) {
			t.Error("a target is not used after its pause")
		}
		answer(l, target, placement.OutcomeRefused, placement.Hints{Pause: time.Minute})
		earlier := target
		target.Started++
		f.updateTargets(target)
		if !isUsed(p, l) {
			t.Error("a target is not used after a restart, as its earlier incarnation wanted no requests")
		}
		answer(l, earlier, placement.OutcomeRefused, placement.Hints{Pause: time.Minute})
		if !isUsed(p, l) {
			t.Error("a target is not used because of a late response of its earlier incarnation")
		}
		answer(l, target, placement.OutcomeRefused, placement.Hints{Pause: 1000 * time.Hour})
		time.Sleep(5*time.Minute + time.Second)
		if !isUsed(p, l) {
			t.Error("a target is not used 5 minutes after it asked for an implausible pause")
		}
	})
}

// TestLeavingTargetStaysUnused checks that a response without the hint, late or from an idle time, does not bring a leaving
// target back, that neighbors learn of it, and that a new incarnation is used.
func TestLeavingTargetStaysUnused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.addTargets(1, east1)
		p, l := f.newPlacement("a", east1)
		neighbor, neighborLoads := f.newPlacement("b", east1)
		target := f.targets["east-1-0"]
		answer(l, target, placement.OutcomeAnswered, placement.Hints{Leaving: true})
		answer(l, target, placement.OutcomeAnswered, placement.Hints{})
		sendUpdate(l, neighborLoads, "a")
		for range 5 {
			if isUsed(p, l) || isUsed(neighbor, neighborLoads) {
				t.Fatal("a target that has said that it leaves is used")
			}
			time.Sleep(time.Minute)
		}
		f.updateTargets(target)
		if isUsed(p, l) {
			t.Error("a leaving target is used after its description in the store has changed")
		}
		target.Started++
		f.updateTargets(target)
		if !isUsed(p, l) || !isUsed(neighbor, neighborLoads) {
			t.Error("a restarted target is not used")
		}
		earlier := target
		earlier.Started--
		answer(l, earlier, placement.OutcomeAnswered, placement.Hints{Leaving: true})
		sendUpdate(l, neighborLoads, "a")
		if !isUsed(p, l) || !isUsed(neighbor, neighborLoads) {
			t.Error("a target is not used because of a late response of its earlier incarnation")
		}
	})
}
