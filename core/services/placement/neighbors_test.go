package placement_test

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/services/placement"
)

// sendUpdate merges all attempt results of one instance into another and returns the next sequence number.
func sendUpdate(from, to *placement.LoadTracker, name string) uint64 {
	update, next := from.UpdateSince(0, 100*time.Millisecond)
	to.Merge(name, update)
	return next
}

// TestNeighborLoadLimitsRequestsToTarget guards against two instances overloading a target: together they must not send
// more than one instance alone would.
func TestNeighborLoadLimitsRequestsToTarget(t *testing.T) {
	f := newFixture()
	f.addTargets(1, east1)
	a, loadsA := f.newPlacement("a", east1)
	b, loadsB := f.newPlacement("b", east1)
	sent := 0
	for range 40 {
		for _, p := range []*placement.Placement{a, b} {
			if _, _, ok := p.Choose(query("x")); ok {
				sent++
			}
			sendUpdate(loadsA, loadsB, "a")
			sendUpdate(loadsB, loadsA, "b")
		}
	}
	// 3 slots and 6 queued requests, as in TestOverflowUsesFreeSlotsOnly.
	if sent != 9 {
		t.Errorf("two instances sent %d requests to one target, want 9", sent)
	}
}

// TestUnresponsiveNeighborExpires checks that the load of a neighbor that stops sending updates is dropped, so that a
// target that it had filled is used again.
func TestUnresponsiveNeighborExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.addTargets(1, east1)
		a, loadsA := f.newPlacement("a", east1)
		b, loadsB := f.newPlacement("b", east1)
		for {
			if _, _, ok := a.Choose(query("x")); !ok {
				break
			}
		}
		sendUpdate(loadsA, loadsB, "a")
		if _, _, ok := b.Choose(query("x")); ok {
			t.Error("Choose returned a target that a neighbor has filled")
		}
		time.Sleep(time.Second)
		if _, _, ok := b.Choose(query("x")); !ok {
			t.Error("Choose returned no target although the neighbor's update has expired")
		}
	})
}

// TestAttemptResultsReachNeighborsOnce checks that an attempt result of one instance makes the object warm at another
// and is sent only once.
func TestAttemptResultsReachNeighborsOnce(t *testing.T) {
	f := newFixture()
	f.addTargets(4, east1)
	a, loadsA := f.newPlacement("a", east1)
	b, loadsB := f.newPlacement("b", east1)
	first, _, _ := a.Choose(query("x"))
	chooseSecond := func(p *placement.Placement) placement.Choice {
		for {
			c, _, ok := p.Choose(query("x"))
			if !ok {
				t.Fatal("Choose returned no second target")
			}
			if c.Target.ID != first.Target.ID {
				return c
			}
		}
	}
	second := chooseSecond(b)
	if second.Warm {
		t.Fatalf("got second choice %+v, want a cold one", second)
	}
	loadsB.End(placement.Attempt{
		Target: second.Target, Service: "orders", Object: "x", LatencyGoal: goal, Duration: goal, Outcome: placement.OutcomeAnswered,
	})
	next := sendUpdate(loadsB, loadsA, "b")
	if next != 1 {
		t.Fatalf("got sequence number %d after one attempt, want 1", next)
	}
	update, nextAgain := loadsB.UpdateSince(next, time.Second)
	if len(update.News) != 0 || nextAgain != next {
		t.Errorf("results were sent again: %+v", update.News)
	}
	if got := chooseSecond(a); got.Target.ID != second.Target.ID || !got.Warm {
		t.Errorf("after a neighbor's successful attempt: got second choice %+v, want the neighbor's target, warm", got)
	}
}

// TestNeighborFailuresDoNotEject checks that failures seen only by a neighbor never eject a target, as the neighbor's
// network path may be the cause.
func TestNeighborFailuresDoNotEject(t *testing.T) {
	f := newFixture()
	f.addTargets(1, east1)
	a, loadsA := f.newPlacement("a", east1)
	_, loadsB := f.newPlacement("b", east1)
	target := f.state.View().Targets["orders"][0]
	for range 20 {
		loadsB.Begin(target)
		loadsB.End(placement.Attempt{Target: target, Service: "orders", LatencyGoal: goal, Outcome: placement.OutcomeUnreachable})
	}
	sendUpdate(loadsB, loadsA, "b")
	if _, _, ok := a.Choose(query("x")); !ok {
		t.Error("target was ejected because of failures that only a neighbor has seen")
	}
}

// TestResultsOfOlderIncarnationAreIgnored checks that a success in an earlier incarnation of a target does not end its
// ejection.
func TestResultsOfOlderIncarnationAreIgnored(t *testing.T) {
	f := newFixture()
	f.updateTargets(roster.Target{ID: "t", Service: "orders", Place: east1, Slots: 3, Started: 2, Revision: 1})
	p, l := f.newPlacement("a", east1)
	for range 3 {
		c, _, ok := p.Choose(query("x"))
		if !ok {
			t.Fatal("Choose returned no target")
		}
		l.End(placement.Attempt{Target: c.Target, Service: "orders", LatencyGoal: goal, Outcome: placement.OutcomeFailed})
	}
	l.Merge("b", placement.LoadUpdate{News: []placement.AttemptResult{{Target: "t", Started: 1, Answered: true}}})
	if _, _, ok := p.Choose(query("x")); ok {
		t.Error("an ejected target is used again after a result of an earlier incarnation")
	}
}

// TestUnreportedTargetsUseDomainLoad checks that targets without a report are assumed to have the average load of their
// failure domain, and that this estimate decays when no target reports any more.
func TestUnreportedTargetsUseDomainLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.addTargets(30, east1)
		p, l := f.newPlacement("a", east1)
		targets := f.state.View().Targets["orders"]
		for _, target := range targets[:25] {
			l.Begin(target)
			l.End(placement.Attempt{
				Target: target, Service: "orders", LatencyGoal: goal, Outcome: placement.OutcomeRefused,
				Report: placement.Report{Running: 3, Waiting: 9, Slots: 3, Known: true},
			})
		}
		averageLoad := func() float64 {
			sum, n := 0.0, 0
			for object := range 60 {
				q := query(fmt.Sprint(object))
				for _, target := range targets[:25] {
					q.Excluded = append(q.Excluded, target.ID)
				}
				q.MaxQueuePerSlot = 10
				if c, _, ok := p.Choose(q); ok {
					sum, n = sum+c.Load, n+1
					l.End(placement.Attempt{Target: c.Target, Outcome: placement.OutcomeCancelled})
				}
			}
			return sum / float64(max(n, 1))
		}
		if got := averageLoad(); got < 9 {
			t.Errorf("got estimated load %.1f among full targets, want about 11", got)
		}
		time.Sleep(20 * time.Second)
		if got := averageLoad(); got > 1 {
			t.Errorf("got estimated load %.1f 20 s after the last report, want at most 1", got)
		}
	})
}

// TestMalformedLoadsAreIgnored sends updates and reports with impossible figures. A target must be used as if they had not
// come: one figure that is not a number would make every later estimate of the failure domain wrong.
func TestMalformedLoadsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.addTargets(1, east1)
		p, l := f.newPlacement("a", east1)
		first := choose(t, p, l, query("x"))
		for _, outside := range []float64{math.NaN(), math.Inf(1), 1e300} {
			l.Merge("b", placement.LoadUpdate{
				Running: map[string]int{first.ID: math.MaxInt}, Next: time.Hour,
				News: []placement.AttemptResult{{Target: first.ID, Outside: outside, Failure: math.Inf(1)}, {Target: "", Object: "x"}},
			})
			l.Merge("c", placement.LoadUpdate{Running: map[string]int{first.ID: math.MinInt}, Next: -time.Hour})
		}
		l.End(placement.Attempt{
			Target: first, Service: "orders", LatencyGoal: goal, Outcome: placement.OutcomeAnswered, Duration: time.Millisecond,
			Report: placement.Report{Running: 1e9, Slots: 1, Known: true},
		})
		time.Sleep(31 * time.Second)
		for n := range 9 {
			if c, rejected, ok := p.Choose(query("x")); !ok {
				t.Fatalf("request %d: got rejected candidates %+v, want the target", n, rejected)
			} else if math.IsNaN(c.Load) || c.Load != float64(n) {
				t.Errorf("request %d: got load %v, want %d", n, c.Load, n)
			}
		}
	})
}
