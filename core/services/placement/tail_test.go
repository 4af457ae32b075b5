package placement_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"medlarpond.dev/core/services/placement"
)

// heavyTail returns a processing time of which 3% are seven times as long as the others.
func heavyTail(rng *rand.Rand) time.Duration {
	if rng.Float64() < 0.03 {
		return 7 * usualWork
	}
	return usualWork
}

// TestWaitBehindLongWork replays a target whose work is sometimes seven times as long and compares the estimated wait behind
// three waiting requests with that at a simulated queue. It guards against a wait that is computed from usual work only.
func TestWaitBehindLongWork(t *testing.T) {
	const slots, waiting, trials = 3, 3, 20000
	rng := rand.New(rand.NewPCG(1, 1))
	total := time.Duration(0)
	for range trials {
		// The slots have been busy for a long time; the request arrives at a random moment.
		free := make([]time.Duration, slots)
		for n := range free {
			at := time.Duration(rng.Float64() * float64(100*time.Second))
			for free[n] < at {
				free[n] += heavyTail(rng)
			}
			free[n] -= at
		}
		for range waiting {
			slices.Sort(free)
			free[0] += heavyTail(rng)
		}
		total += slices.Min(free)
	}
	want := total / trials
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.addTargets(1, east1)
		p, l := f.newPlacement("a", east1)
		const measurements = 100
		expected := func(r placement.Report) time.Duration {
			report(l, f.targets["east-1-0"], "x", usualWork, r)
			c, _, _ := p.Choose(query("x"))
			l.End(placement.Attempt{Target: c.Target, Outcome: placement.OutcomeCancelled})
			return c.ExpectedTime
		}
		got := time.Duration(0)
		for range measurements {
			for range 100 {
				report(l, f.targets["east-1-0"], "x", heavyTail(rng), placement.Report{Pace: 100})
			}
			usual := expected(placement.Report{Pace: 100})
			got += (expected(placement.Report{Running: slots, Waiting: waiting, Pace: 100}) - usual) / measurements
		}
		if ratio := got.Seconds() / want.Seconds(); ratio < 0.95 || ratio > 1.05 {
			t.Errorf("got mean estimated wait %v, want about %v", got, want)
		}
	})
}

// TestLongWorkIsNotBlamedOnItsTarget guards against a target that is avoided after each request that takes as long as a few
// percent of the requests take everywhere, and against one that is never avoided although all its responses take that long.
func TestLongWorkIsNotBlamedOnItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.addTargets(2, east1)
		p, l := f.newPlacement("a", east1)
		rng := rand.New(rand.NewPCG(1, 1))
		for range 1000 {
			for _, target := range f.targets {
				report(l, target, "x", heavyTail(rng), placement.Report{Pace: 100})
			}
		}
		for _, target := range f.targets {
			report(l, target, "x", usualWork, placement.Report{Pace: 100})
		}
		first := choose(t, p, l, query("x"))
		report(l, first, "x", 7*usualWork, placement.Report{Pace: 100})
		if got := choose(t, p, l, query("x")); got.ID != first.ID {
			t.Errorf("got %s after one long response of %s, want the same target", got.ID, first.ID)
		}
		report(l, first, "x", 7*usualWork, placement.Report{Pace: 100})
		if got := choose(t, p, l, query("x")); got.ID == first.ID {
			t.Error("a target with two long responses in a row is chosen")
		}
	})
}

// TestNonIdempotentRequestsPreferFreeSlots guards against requests that may run only once and are sent to a target whose last
// slot another request may take first.
func TestNonIdempotentRequestsPreferFreeSlots(t *testing.T) {
	for name, c := range map[string]struct {
		pace          int
		nonIdempotent bool
		moves         bool
	}{
		"idempotent":                     {100, false, false},
		"not idempotent":                 {100, true, true},
		"not idempotent, three figures":  {0, true, false},
		"idempotent, without the figure": {0, false, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			f.addTargets(2, east1)
			p, l := f.newPlacement("a", east1)
			q := query("x")
			q.NonIdempotent = c.nonIdempotent
			first := choose(t, p, l, q)
			for id, target := range f.targets {
				r := placement.Report{Pace: c.pace}
				if id == first.ID {
					r.Running = 2
				}
				report(l, target, "x", usualWork, r)
			}
			if got := choose(t, p, l, q); (got.ID != first.ID) != c.moves {
				t.Errorf("%s: got %s with two of three slots of %s in use, want another target: %v", name, got.ID, first.ID, c.moves)
			}
		})
	}
}
