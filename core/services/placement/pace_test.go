package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/services/placement"
)

const usualWork = 150 * time.Millisecond

// report records a response of a target for an object, with a load report.
func report(l *placement.LoadTracker, target roster.Target, object string, took time.Duration, r placement.Report) {
	r.Slots, r.Known = 3, true
	l.Begin(target)
	l.End(placement.Attempt{
		Target: target, Service: "orders", Object: object, LatencyGoal: goal, Duration: took, Warm: true,
		Outcome: placement.OutcomeAnswered, Report: r,
	})
}

// extraTime replays six targets that are 2.5 times as slow as usual for slowTime at a time, 15% of the time, and a request every
// 80 ms for one of 20 objects that are warm everywhere. It returns the share by which the requests take longer than usual.
func extraTime(t *testing.T, slowTime time.Duration, withPace bool) float64 {
	t.Helper()
	const requests = 10000
	rng := rand.New(rand.NewPCG(1, 1))
	f := newFixture()
	f.addTargets(6, east1)
	p, l := f.newPlacement("a", east1)
	total := 0
	// phases shifts the periods of the targets against each other.
	phases := map[string]time.Duration{}
	for _, target := range f.state.View().Targets["orders"] {
		phases[target.ID] = time.Duration(rng.Float64() * float64(10*slowTime))
		for n := range 20 {
			report(l, target, fmt.Sprint(n), usualWork, placement.Report{})
		}
	}
	for range requests {
		object := fmt.Sprint(rng.IntN(20))
		target := choose(t, p, l, query(object))
		period := slowTime * 100 / 15
		// Every tenth period is skipped at random, so that the periods do not stay in step.
		if rng.IntN(10) == 0 {
			phases[target.ID] += slowTime / 2
		}
		pace := 100
		if (time.Since(f.started)+phases[target.ID])%period < slowTime {
			pace = 250
		}
		took := usualWork * time.Duration(pace) / 100
		total += pace
		r := placement.Report{}
		if withPace {
			r.Pace = pace
		}
		report(l, target, object, took, r)
		time.Sleep(80 * time.Millisecond)
	}
	return float64(total)/(100*requests) - 1
}

// TestSlowPeriodsAreAvoided guards against paces that are ignored, and against a fixed time for which they are believed: it must
// be short where they change within a second and long where they change rarely.
func TestSlowPeriodsAreAvoided(t *testing.T) {
	for slowTime, most := range map[time.Duration]float64{600 * time.Millisecond: 0.85, 10 * time.Second: 0.75} {
		var with, without float64
		synctest.Test(t, func(t *testing.T) { without = extraTime(t, slowTime, false) })
		synctest.Test(t, func(t *testing.T) { with = extraTime(t, slowTime, true) })
		t.Logf("slow for %v: extra time %.3f without and %.3f with paces", slowTime, without, with)
		if with > most*without {
			t.Errorf("slow for %v: got extra time %.3f with paces and %.3f without, want at most %.2f of it", slowTime, with, without, most)
		}
	}
}

// TestPaceReachesNeighbors guards against each instance having to find out by itself that a target is slow, and against paces
// of a neighbor that are impossible or missing.
func TestPaceReachesNeighbors(t *testing.T) {
	f := newFixture()
	f.addTargets(2, east1)
	p, l := f.newPlacement("a", east1)
	first := choose(t, p, l, query("x"))
	for _, target := range f.targets {
		report(l, target, "x", usualWork, placement.Report{})
	}
	for _, pace := range []int{0, -5, 1 << 40, 400} {
		l.Merge("b", placement.LoadUpdate{News: []placement.AttemptResult{{Target: first.ID, Outside: -1, Pace: pace}}})
		if got := choose(t, p, l, query("x")); (got.ID != first.ID) != (pace == 400) {
			t.Errorf("got %s after a neighbor has reported the pace %d of %s", got.ID, pace, first.ID)
		}
	}
	update, _ := l.UpdateSince(0, time.Second)
	report(l, first, "x", usualWork, placement.Report{Pace: 250})
	if next, _ := l.UpdateSince(uint64(len(update.News)), time.Second); len(next.News) != 1 || next.News[0].Pace != 250 {
		t.Errorf("got update %+v, want one result with the pace 250", next)
	}
}
