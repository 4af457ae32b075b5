package placement_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/services/placement"
)

// pass hands all that one instance has to tell to another and returns the number to go on from.
func pass(from, to *placement.Loads, name string) uint64 {
	told, next := from.Tell(0, 100*time.Millisecond)
	to.Hear(name, told)
	return next
}

// TestNeighborsShareTheSlotsOfATarget lets two instances send to one target in turn: together they stay within what one
// of them would send.
func TestNeighborsShareTheSlotsOfATarget(t *testing.T) {
	w := newWorld()
	w.spread(1, east1)
	a, ofA := w.placement("a", east1)
	b, ofB := w.placement("b", east1)
	sent := 0
	for range 40 {
		for _, p := range []*placement.Placement{a, b} {
			if _, _, ok := p.Choose(query("x")); ok {
				sent++
			}
			pass(ofA, ofB, "a")
			pass(ofB, ofA, "b")
		}
	}
	// Slots and what may wait for them, as in TestFullTargetsSpillIntoFreeSlotsOnly.
	if sent != 9 {
		t.Errorf("two instances sent %d requests to one target, want 9", sent)
	}
}

// TestSilentNeighborIsForgotten lets a neighbor fall silent while its requests fill the target.
func TestSilentNeighborIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.spread(1, east1)
		a, ofA := w.placement("a", east1)
		b, ofB := w.placement("b", east1)
		for {
			if _, _, ok := a.Choose(query("x")); !ok {
				break
			}
		}
		pass(ofA, ofB, "a")
		if _, _, ok := b.Choose(query("x")); ok {
			t.Error("a target that a neighbor has filled gets more")
		}
		time.Sleep(time.Second)
		if _, _, ok := b.Choose(query("x")); !ok {
			t.Error("the target of a neighbor that is silent for a second gets nothing")
		}
	})
}

// TestNewsReachesNeighborsOnce checks what an instance learns from the attempts of another.
func TestNewsReachesNeighborsOnce(t *testing.T) {
	w := newWorld()
	w.spread(4, east1)
	a, ofA := w.placement("a", east1)
	b, ofB := w.placement("b", east1)
	first, _, _ := a.Choose(query("x"))
	fill := func(p *placement.Placement) placement.Choice {
		for {
			c, _, ok := p.Choose(query("x"))
			if !ok {
				t.Fatal("no second target")
			}
			if c.Target.ID != first.Target.ID {
				return c
			}
		}
	}
	second := fill(b)
	if second.Warm {
		t.Fatalf("the second choice is %+v", second)
	}
	ofB.End(placement.Attempt{
		Target: second.Target, Service: "orders", Object: "x", Goal: goal, Took: goal, Outcome: placement.OutcomeAnswered,
	})
	next := pass(ofB, ofA, "b")
	if next != 1 {
		t.Fatalf("one attempt was told as %d", next)
	}
	told, again := ofB.Tell(next, time.Second)
	if len(told.News) != 0 || again != next {
		t.Errorf("news was told twice: %+v", told.News)
	}
	if got := fill(a); got.Target.ID != second.Target.ID || !got.Warm {
		t.Errorf("after a neighbor's answer the second choice is %+v, want a target that knows the object", got)
	}
}

// TestFailuresOfNeighborsDoNotEject reports any number of failures of a target by a neighbor whose own way may be at fault.
func TestFailuresOfNeighborsDoNotEject(t *testing.T) {
	w := newWorld()
	w.spread(1, east1)
	a, ofA := w.placement("a", east1)
	_, ofB := w.placement("b", east1)
	target := w.state.View().Targets["orders"][0]
	for range 20 {
		ofB.Begin(target)
		ofB.End(placement.Attempt{Target: target, Service: "orders", Goal: goal, Outcome: placement.OutcomeUnreachable})
	}
	pass(ofB, ofA, "b")
	if _, _, ok := a.Choose(query("x")); !ok {
		t.Error("a target is left out for failures that only a neighbor has seen")
	}
}

// TestOlderLifetimeIsIgnored tells of a lifetime of a target that has ended.
func TestOlderLifetimeIsIgnored(t *testing.T) {
	w := newWorld()
	w.put(roster.Target{ID: "t", Service: "orders", Place: east1, Slots: 3, Started: 2, Revision: 1})
	p, l := w.placement("a", east1)
	for range 3 {
		c, _, ok := p.Choose(query("x"))
		if !ok {
			t.Fatal("no target")
		}
		l.End(placement.Attempt{Target: c.Target, Service: "orders", Goal: goal, Outcome: placement.OutcomeFailed})
	}
	l.Hear("b", placement.Told{News: []placement.News{{Target: "t", Started: 1, Answered: true}}})
	if _, _, ok := p.Choose(query("x")); ok {
		t.Error("a target that was left out is used again after news of an ended lifetime")
	}
}

// TestUsualLoadHoldsForTargetsNotHeardOf reports full queues of some targets of a failure domain: the rest is taken to
// be about as full, until no target has reported for some time.
func TestUsualLoadHoldsForTargetsNotHeardOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.spread(30, east1)
		p, l := w.placement("a", east1)
		targets := w.state.View().Targets["orders"]
		for _, target := range targets[:25] {
			l.Begin(target)
			l.End(placement.Attempt{
				Target: target, Service: "orders", Goal: goal, Outcome: placement.OutcomeRefused,
				Report: placement.Report{Running: 3, Waiting: 9, Slots: 3, Known: true},
			})
		}
		load := func() float64 {
			sum, n := 0.0, 0
			for object := range 60 {
				q := query(fmt.Sprint(object))
				for _, target := range targets[:25] {
					q.Excluded = append(q.Excluded, target.ID)
				}
				q.Room = 10
				if c, _, ok := p.Choose(q); ok {
					sum, n = sum+c.Load, n+1
					l.End(placement.Attempt{Target: c.Target, Outcome: placement.OutcomeCancelled})
				}
			}
			return sum / float64(max(n, 1))
		}
		if got := load(); got < 9 {
			t.Errorf("targets among full ones are taken to have a load of %.1f, want about 11", got)
		}
		time.Sleep(20 * time.Second)
		if got := load(); got > 1 {
			t.Errorf("20 s after the last report the load is taken to be %.1f, want none", got)
		}
	})
}
