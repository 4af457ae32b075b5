package placement_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"medlarpond.dev/core/models/intent"
	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/rendezvous"
	"medlarpond.dev/core/services/placement"
)

const (
	// limitWindow is the window in which requests at a target that names a limit are counted.
	limitWindow = 4 * time.Second
	// limitContact is the time after the target has first named its limit from which requests count.
	limitContact = 3 * time.Second
	// limitNotice is the time after an instance has received a response with the limit from which its requests count.
	limitNotice = 500 * time.Millisecond
)

// limitFleet is a fleet of instances with a state of their own that send requests to one target that names a limit.
type limitFleet struct {
	fixtures   []*fixture
	placements []*placement.Placement
	loads      []*placement.LoadTracker
	// listed holds the instances that are registered.
	listed map[int]bool
	hints  placement.Hints
	// places are the places of the instances, in turn.
	places []roster.Place
	// namedAt is when the target has first named its limit, toldAt when each instance has received it.
	namedAt time.Time
	toldAt  map[int]time.Time
	// counted holds the times of the requests that count.
	counted []time.Time
	most    int
	sent    int
	// coldRate is the cold rate of the target, which is cold if it is positive. Callers are then at the instances that
	// roster.Serving returns, and dead instances send nothing.
	coldRate     float64
	serves, dead map[int]bool
}

// instance returns an instance; the first twelve of each place are larger than the others.
func (f *limitFleet) instance(n int) roster.Instance {
	capacity := 0.8
	if n >= 12*len(f.places) {
		capacity = 0.04
	}
	return roster.Instance{ID: fmt.Sprint("i-", n), Place: f.places[n%len(f.places)], Capacity: capacity}
}

func newLimitFleet(instances int, places ...roster.Place) *limitFleet {
	return newFleet(instances, 0, places...)
}

func newFleet(instances int, coldRate float64, places ...roster.Place) *limitFleet {
	f := &limitFleet{coldRate: coldRate, places: places, toldAt: map[int]time.Time{}, listed: map[int]bool{}, serves: map[int]bool{}, dead: map[int]bool{}}
	for n := range instances {
		f.listed[n] = true
		f.fixtures, f.placements, f.loads = append(f.fixtures, nil), append(f.placements, nil), append(f.loads, nil)
		f.start(n)
	}
	for n := range instances {
		f.publish(n)
	}
	return f
}

// start starts an instance as a new process.
func (f *limitFleet) start(n int) {
	fixture := newFixture()
	target := roster.Target{ID: "t", Service: "orders", Place: east1, Slots: 1000}
	if f.coldRate > 0 {
		target.ColdUntil = time.Now().Add(time.Hour)
		i, _ := intent.New(intent.Content{Version: 1, Services: []intent.Service{{Name: "orders", ColdRate: f.coldRate}}})
		fixture.state.SetIntent(i, 1)
	}
	fixture.updateTargets(target)
	f.fixtures[n] = fixture
	f.placements[n], f.loads[n] = fixture.newPlacement(f.instance(n).ID, f.instance(n).Place)
	f.publish(n)
	delete(f.toldAt, n)
}

// publish gives an instance the list of the registered ones.
func (f *limitFleet) publish(n int) {
	var list []roster.Instance
	for i := range f.fixtures {
		if f.listed[i] {
			list = append(list, f.instance(i))
		}
	}
	f.serves[n] = slices.Contains(roster.Serving(list, f.instance(n).Place), f.instance(n))
	f.fixtures[n].state.SetInstances(list)
}

// run lets each instance try to send a request every 20 ms, in which the target also responds. connected reports whether an
// instance has contact with the store.
func (f *limitFleet) run(duration time.Duration, connected func(n int) bool) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for n, p := range f.placements {
			if connected(n) {
				f.fixtures[n].confirm()
			}
			if f.dead[n] || (f.coldRate > 0 && !f.serves[n]) {
				continue
			}
			if c, _, ok := p.Choose(query(fmt.Sprint(n))); ok {
				f.receive(n, c.Target)
			}
		}
	}
}

// receive counts a request of an instance at the target, which responds.
func (f *limitFleet) receive(n int, target roster.Target) {
	now := time.Now()
	f.sent++
	if f.coldRate > 0 {
		f.counted = slices.DeleteFunc(append(f.counted, now), func(at time.Time) bool { return now.Sub(at) >= time.Second })
		f.most = max(f.most, len(f.counted))
	}
	if f.namedAt.IsZero() && f.hints.Limit == placement.LimitNamed {
		f.namedAt = now
	}
	if told, ok := f.toldAt[n]; ok && now.Sub(told) >= limitNotice && now.Sub(f.namedAt) >= limitContact {
		f.counted = append(f.counted, now)
		for now.Sub(f.counted[0]) > limitWindow {
			f.counted = f.counted[1:]
		}
		f.most = max(f.most, len(f.counted))
	}
	f.loads[n].End(placement.Attempt{
		Target: target, Service: "orders", LatencyGoal: goal, Duration: time.Millisecond, Outcome: placement.OutcomeAnswered, Hints: f.hints,
	})
	if _, ok := f.toldAt[n]; !ok && f.hints.Limit == placement.LimitNamed {
		f.toldAt[n] = now
	}
}

func always(int) bool { return true }

// allowedWithLimit is the number of requests that are allowed in limitWindow.
func allowedWithLimit(limit float64) int { return int(math.Floor(1.5*limit*limitWindow.Seconds() + 5)) }

// TestLimitHoldsInFleets checks fleets of several sizes and limits from none at all to more than is sent.
func TestLimitHoldsInFleets(t *testing.T) {
	for _, instances := range []int{1, 3, 7, 79} {
		for _, limit := range []float64{0, 0.2, 1, 1.9, 7, 60, 1e12} {
			t.Run(fmt.Sprintf("%d instances, limit %v", instances, limit), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newLimitFleet(instances, sites...)
					f.hints = placement.Hints{Limit: placement.LimitNamed, LimitRate: limit}
					const duration = 30 * time.Second
					f.run(duration, always)
					if f.most > allowedWithLimit(limit) {
						t.Errorf("got %d requests in %v, want at most %d", f.most, limitWindow, allowedWithLimit(limit))
					}
					// Each instance sends at most 50 requests a second. Half of the limit must be used as far as it allows that.
					if least := min(0.5*limit, 0.5*50*float64(instances)) * duration.Seconds(); float64(f.sent) < least {
						t.Errorf("got %d requests in %v, want at least %.0f", f.sent, duration, least)
					}
				})
			})
		}
	}
}

// TestLimitHoldsWhileInstancesDisagree restarts instances, and lets some learn late that others left or came back.
func TestLimitHoldsWhileInstancesDisagree(t *testing.T) {
	const limit, instances = 1.9, 7
	for name, disturb := range map[string]func(f *limitFleet){
		"restarts": func(f *limitFleet) {
			for n := range instances {
				f.start(n)
				f.run(time.Second, always)
			}
		},
		"instances leave and come back, and others learn of it late": func(f *limitFleet) {
			for n := range 4 {
				for _, listed := range []bool{false, true} {
					f.listed[n] = listed
					for learns := range instances {
						f.run(150*time.Millisecond, always)
						f.publish((learns + n) % instances)
					}
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitFleet(instances, sites...)
				f.hints = placement.Hints{Limit: placement.LimitNamed, LimitRate: limit}
				f.run(5*time.Second, always)
				disturb(f)
				f.run(5*time.Second, always)
				if f.most > allowedWithLimit(limit) {
					t.Errorf("got %d requests in %v, want at most %d", f.most, limitWindow, allowedWithLimit(limit))
				}
			})
		})
	}
}

// TestLimitHoldsAroundHandOver lets instances lose the store one after the other, each time one that divides the limit. The
// others choose another one in its place, while the lost ones keep the lists that they had.
func TestLimitHoldsAroundHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, instances = 1.9, 7
		f := newLimitFleet(instances, east1)
		f.hints = placement.Hints{Limit: placement.LimitNamed, LimitRate: limit}
		connected := func(n int) bool { return f.listed[n] }
		f.run(5*time.Second, connected)
		for range instances - 1 {
			var ids []string
			for n := range f.listed {
				ids = append(ids, f.instance(n).ID)
			}
			owner := rendezvous.Owners([]byte("t"), ids, 1)[0]
			maps.DeleteFunc(f.listed, func(n int, _ bool) bool { return f.instance(n).ID == owner })
			f.run(policy.OwnerTimeout, connected)
			for n := range f.listed {
				f.publish(n)
			}
			f.run(time.Second, connected)
		}
		f.run(limitWindow, connected)
		if f.most > allowedWithLimit(limit) {
			t.Errorf("got %d requests in %v, want at most %d", f.most, limitWindow, allowedWithLimit(limit))
		}
	})
}

// TestWithdrawnLimit checks that all instances use a target again after it has withdrawn its limit, and that a response that
// does not tell withdraws nothing.
func TestWithdrawnLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 7
		f := newLimitFleet(instances, sites...)
		f.hints = placement.Hints{Limit: placement.LimitNamed, LimitRate: 2}
		f.run(5*time.Second, always)
		f.hints = placement.Hints{}
		f.run(10*time.Second, always)
		if f.most > allowedWithLimit(2) {
			t.Errorf("got %d requests in %v after responses that do not tell, want at most %d", f.most, limitWindow, allowedWithLimit(2))
		}
		f.hints = placement.Hints{Limit: placement.LimitNone}
		f.run(time.Minute, always)
		before := f.sent
		f.run(time.Second, always)
		if n := f.sent - before; n < instances*40 {
			t.Errorf("got %d requests a second a minute after the limit was withdrawn, want at least %d", n, instances*40)
		}
	})
}

// TestLimitOfEarlierIncarnation checks that a restarted target has no limit until it names one.
func TestLimitOfEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.addTargets(1, east1)
		p, l := f.newPlacement("a", east1)
		f.state.SetInstances([]roster.Instance{{ID: "b", Place: east1}})
		target := f.targets["east-1-0"]
		answer(l, target, placement.OutcomeAnswered, placement.Hints{Limit: placement.LimitNamed, LimitRate: 1})
		if isUsed(p, l) {
			t.Fatal("an instance that is not an owner of the limit uses the target")
		}
		earlier := target
		target.Started++
		f.updateTargets(target)
		if !isUsed(p, l) {
			t.Error("a restarted target is not used, as its earlier incarnation named a limit")
		}
		answer(l, earlier, placement.OutcomeAnswered, placement.Hints{Limit: placement.LimitNamed, LimitRate: 1})
		if !isUsed(p, l) {
			t.Error("a target is not used because of a late response of its earlier incarnation")
		}
	})
}

// TestImpossibleLimitOfNeighbor checks that a neighbor's malformed update neither names nor withdraws a limit.
func TestImpossibleLimitOfNeighbor(t *testing.T) {
	f := newFixture()
	f.addTargets(1, east1)
	p, l := f.newPlacement("a", east1)
	for _, rate := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		l.Merge("b", placement.LoadUpdate{News: []placement.AttemptResult{
			{Target: "east-1-0", Outside: -1, Limit: placement.LimitNamed, LimitRate: rate},
			{Target: "east-1-0", Outside: -1, Limit: 77, LimitRate: 1},
		}})
		if !isUsed(p, l) {
			t.Errorf("a target is not used after a neighbor has reported the limit %v", rate)
		}
	}
}
