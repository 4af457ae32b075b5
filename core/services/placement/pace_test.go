package placement_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/services/placement"
)

// unsteadyTargets are targets whose machines are slowFactor times as slow as usual during slow periods.
type unsteadyTargets struct {
	slowTime, usualTime time.Duration
	slowFactor          float64
	rng                 *rand.Rand
	// changes maps each target to the ends of its alternating usual and slow periods.
	changes map[string][]time.Time
	// pace is false if the targets do not report it.
	pace bool
}

func (u *unsteadyTargets) paceOf(id string, now time.Time) int {
	ends := u.changes[id]
	if ends == nil {
		ends = []time.Time{now}
	}
	for last := ends[len(ends)-1]; !last.After(now); {
		last = last.Add(time.Duration(2 * u.rng.Float64() * float64(u.usualTime)))
		ends = append(ends, last, last.Add(u.slowTime))
		last = last.Add(u.slowTime)
	}
	u.changes[id] = ends
	for n, end := range ends {
		if now.Before(end) {
			if n%2 == 0 {
				return int(100 * u.slowFactor)
			}
			return 100
		}
	}
	return 100
}

// run sends a request each interval for one of objects, and returns the share of the time that the requests took longer than
// they would on usual machines.
func (u *unsteadyTargets) run(f *fixture, duration, interval time.Duration, objects int) float64 {
	const work = 150 * time.Millisecond
	p, l := f.newPlacement("a", east1)
	for id := range f.targets {
		for n := range objects {
			c := placement.Attempt{Target: f.targets[id], Service: "orders", Object: fmt.Sprint(n), LatencyGoal: goal, Duration: work, Outcome: placement.OutcomeAnswered}
			l.End(c)
		}
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	total, count := time.Duration(0), 0
	for started := time.Now(); time.Since(started) < duration; time.Sleep(interval) {
		mu.Lock()
		object := fmt.Sprint(u.rng.IntN(objects))
		mu.Unlock()
		c, _, ok := p.Choose(query(object))
		if !ok {
			continue
		}
		wait.Go(func() {
			mu.Lock()
			took := work * time.Duration(u.paceOf(c.Target.ID, time.Now())) / 100
			total, count = total+took, count+1
			mu.Unlock()
			time.Sleep(took)
			mu.Lock()
			defer mu.Unlock()
			report := placement.Report{Slots: 3, Known: true}
			if u.pace {
				report.Pace = u.paceOf(c.Target.ID, time.Now())
			}
			l.End(placement.Attempt{
				Target: c.Target, Service: "orders", Object: object, LatencyGoal: goal, Duration: took, Load: c.Load, Warm: c.Warm,
				Outcome: placement.OutcomeAnswered, Report: report,
			})
		})
	}
	wait.Wait()
	return float64(total)/float64(count)/float64(work) - 1
}

// TestSlowPeriodsAreAvoided replays machines that are 2.5 times as slow as usual for 600 ms at a time, 15% of the time, and
// reports twice a second from each. It guards against reports that are ignored or believed for too long.
func TestSlowPeriodsAreAvoided(t *testing.T) {
	excess := map[bool]float64{}
	for _, pace := range []bool{false, true} {
		for seed := range uint64(4) {
			synctest.Test(t, func(*testing.T) {
				f := newFixture()
				f.addTargets(6, east1)
				u := &unsteadyTargets{
					slowTime: 600 * time.Millisecond, usualTime: 3400 * time.Millisecond, slowFactor: 2.5, rng: rand.New(rand.NewPCG(seed, 1)),
					changes: map[string][]time.Time{}, pace: pace,
				}
				excess[pace] += u.run(f, 2*time.Minute, 70*time.Millisecond, 20) / 4
			})
		}
	}
	t.Logf("extra time %.3f without and %.3f with reports of the pace", excess[false], excess[true])
	if excess[true] > 0.8*excess[false] {
		t.Errorf("got extra time %.3f with reports of the pace and %.3f without, want at most 0.8 of it", excess[true], excess[false])
	}
}

// TestPaceExpiresAsItChanges guards against a fixed time for which a slow target is avoided: it must be long where paces change
// rarely and short where they change often.
func TestPaceExpiresAsItChanges(t *testing.T) {
	for name, c := range map[string]struct {
		period  time.Duration
		avoided bool
	}{
		"paces change every 300 ms": {300 * time.Millisecond, false},
		"paces change every 10 s":   {10 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				f.addTargets(2, east1)
				p, l := f.newPlacement("a", east1)
				first := choose(t, p, l, query("x"))
				report := func(target roster.Target, pace int) {
					l.End(placement.Attempt{
						Target: target, Service: "orders", Object: "x", LatencyGoal: goal, Duration: 150 * time.Millisecond, Warm: true,
						Outcome: placement.OutcomeAnswered, Report: placement.Report{Slots: 3, Pace: pace, Known: true},
					})
				}
				rng := rand.New(rand.NewPCG(1, 1))
				slow := map[string]bool{}
				for elapsed := time.Duration(0); elapsed < 10*time.Minute; elapsed += 100 * time.Millisecond {
					for id, target := range f.targets {
						if rng.Float64() < 100/float64(c.period.Milliseconds()) {
							slow[id] = rng.IntN(2) == 0
						}
						report(target, map[bool]int{false: 100, true: 250}[slow[id]])
					}
					time.Sleep(100 * time.Millisecond)
				}
				for _, target := range f.targets {
					report(target, map[bool]int{false: 100, true: 250}[target.ID == first.ID])
				}
				if got := choose(t, p, l, query("x")); got.ID == first.ID {
					t.Error("a target that has just reported to be slow is chosen")
				}
				time.Sleep(time.Second)
				if got := choose(t, p, l, query("x")); (got.ID != first.ID) != c.avoided {
					t.Errorf("1 s after the report of a slow target: got %s, want it avoided: %v", got.ID, c.avoided)
				}
			})
		})
	}
}

// TestPaceReachesNeighbors guards against each instance having to find out by itself that a target is slow, and against paces
// of a neighbor that are impossible or missing.
func TestPaceReachesNeighbors(t *testing.T) {
	f := newFixture()
	f.addTargets(2, east1)
	a, loadsA := f.newPlacement("a", east1)
	b, loadsB := f.newPlacement("b", east1)
	first := choose(t, a, loadsA, query("x"))
	for id := range f.targets {
		loadsB.Merge("c", placement.LoadUpdate{News: []placement.AttemptResult{{Target: id, Object: "x", Outside: -1, Answered: true}}})
	}
	for _, pace := range []int{0, -5, 1 << 40} {
		loadsB.Merge("c", placement.LoadUpdate{News: []placement.AttemptResult{{Target: first.ID, Outside: -1, Pace: pace}}})
		if got := choose(t, b, loadsB, query("x")); got.ID != first.ID {
			t.Errorf("got %s after a neighbor has reported the pace %d of %s, want no change", got.ID, pace, first.ID)
		}
	}
	loadsA.End(placement.Attempt{
		Target: first, Service: "orders", Object: "x", LatencyGoal: goal, Duration: goal, Outcome: placement.OutcomeAnswered,
		Report: placement.Report{Slots: 3, Pace: 400, Known: true},
	})
	sendUpdate(loadsA, loadsB, "a")
	if got := choose(t, b, loadsB, query("x")); got.ID == first.ID {
		t.Error("a target that a neighbor has reported to be slow is chosen")
	}
}
