package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"medlarpond.dev/core/models/intent"
	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/services/placement"
)

// coldFleet is a fleet of instances with a state of their own that send requests to targets that are all cold. Callers are at
// the instances that roster.Serving returns.
type coldFleet struct {
	t          *testing.T
	rate       float64
	instances  []roster.Instance
	fixtures   []*fixture
	placements []*placement.Placement
	loads      []*placement.LoadTracker
	// serves holds the instances with callers, those to which their own lists direct them.
	serves map[int]bool
	// dead instances send nothing, and cut off ones have no contact with the store; both leave the list after OwnerTimeout.
	dead, cutOff map[int]bool
	targets      []roster.Target
	// sent holds the times of the requests by target.
	sent  map[string][]time.Time
	step  int
	total int
}

// newColdFleet returns a fleet with perDomain instances at each site, of which all but two are small if there are more than
// ten, and a cold target at each site.
func newColdFleet(t *testing.T, perDomain int, rate float64) *coldFleet {
	t.Helper()
	f := &coldFleet{t: t, rate: rate, serves: map[int]bool{}, dead: map[int]bool{}, cutOff: map[int]bool{}, sent: map[string][]time.Time{}}
	for _, place := range sites {
		for n := range perDomain {
			capacity := 0.8
			if n >= 2 && perDomain > 10 {
				capacity = 0.04
			}
			f.instances = append(f.instances, roster.Instance{ID: fmt.Sprintf("%s/%d", place.FailureDomain, n), Place: place, Capacity: capacity})
		}
		f.targets = append(f.targets, roster.Target{
			ID: "cold-" + place.FailureDomain, Service: "orders", Place: place, Slots: 1000, Revision: 1, ColdUntil: time.Now().Add(time.Hour),
		})
	}
	f.fixtures = make([]*fixture, len(f.instances))
	f.placements, f.loads = make([]*placement.Placement, len(f.instances)), make([]*placement.LoadTracker, len(f.instances))
	for n := range f.instances {
		f.start(n)
	}
	return f
}

// start starts an instance as a new process.
func (f *coldFleet) start(n int) {
	i, err := intent.New(intent.Content{Version: 1, Services: []intent.Service{{Name: "orders", ColdRate: f.rate}}})
	if err != nil {
		f.t.Fatal(err)
	}
	f.fixtures[n] = newFixture()
	f.fixtures[n].state.SetIntent(i, 1)
	f.fixtures[n].state.UpdateTargets(f.targets, nil)
	f.placements[n], f.loads[n] = f.fixtures[n].newPlacement(f.instances[n].ID, f.instances[n].Place)
	f.publish(n, nil)
}

// publish gives an instance the list of instances without those that left.
func (f *coldFleet) publish(n int, left map[int]bool) {
	var list []roster.Instance
	for i, instance := range f.instances {
		if !left[i] {
			list = append(list, instance)
		}
	}
	f.serves[n] = slices.Contains(roster.Serving(list, f.instances[n].Place), f.instances[n])
	f.fixtures[n].state.SetInstances(list)
}

// publishSlowly gives the instances in contact with the store the list, one after the other within half of OwnerTimeout.
func (f *coldFleet) publishSlowly(left map[int]bool) {
	for n := range f.instances {
		if !f.dead[n] && !f.cutOff[n] {
			f.publish(n, left)
			f.run(policy.OwnerTimeout / 2 / time.Duration(len(f.instances)))
		}
	}
}

// every returns the instances whose number has the given remainder.
func (f *coldFleet) every(divisor, remainder int) map[int]bool {
	selected := map[int]bool{}
	for n := remainder; n < len(f.instances); n += divisor {
		selected[n] = true
	}
	return selected
}

// run lets the instances with callers try to send requests every 20 ms.
func (f *coldFleet) run(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		f.step++
		for n, p := range f.placements {
			if !f.cutOff[n] {
				f.fixtures[n].confirm()
			}
			if f.dead[n] || !f.serves[n] {
				continue
			}
			for try := range 2 {
				c, _, ok := p.Choose(query(fmt.Sprint(f.step, n, try)))
				if !ok {
					continue
				}
				f.loads[n].End(placement.Attempt{Target: c.Target, Outcome: placement.OutcomeCancelled})
				f.total++
				recent := slices.DeleteFunc(f.sent[c.Target.ID], func(at time.Time) bool { return time.Since(at) >= time.Second })
				f.sent[c.Target.ID] = append(recent, time.Now())
				if got, most := len(f.sent[c.Target.ID]), int(f.rate*1.5+5); got > most {
					f.t.Fatalf("got %d requests in a second at a cold target with rate %v, want at most %d", got, f.rate, most)
				}
			}
		}
	}
}

// TestColdTargetsAreUsed guards against cold targets that stay idle because the instances that may use them get no callers, and
// against more requests than they tolerate while their owners change.
func TestColdTargetsAreUsed(t *testing.T) {
	const duration = 30 * time.Second
	for name, disturb := range map[string]func(f *coldFleet){
		"calm": func(*coldFleet) {},
		"owners die": func(f *coldFleet) {
			f.dead[0] = true
			f.run(policy.OwnerTimeout)
			f.publishSlowly(f.dead)
		},
		"owners restart": func(f *coldFleet) {
			for n := range f.instances {
				f.start(n)
			}
		},
		"owners are cut off": func(f *coldFleet) {
			for wave := range 2 {
				for n := range f.instances {
					f.cutOff[n] = n%3 <= wave
				}
				f.run(policy.OwnerTimeout)
				f.publishSlowly(f.cutOff)
				f.run(time.Second)
			}
			clear(f.cutOff)
			f.publishSlowly(nil)
		},
		"a pause and a burst": func(*coldFleet) { time.Sleep(2 * time.Second) },
		"instances are replaced, and those that leave learn of it last": func(f *coldFleet) {
			f.publishSlowly(f.every(2, 1))
			f.run(policy.OwnerTimeout)
			for _, remainder := range []int{1, 0} {
				for n := range f.every(2, remainder) {
					f.publish(n, f.every(2, 0))
				}
				f.run(policy.OwnerTimeout / 2)
			}
		},
	} {
		for _, perDomain := range []int{1, 17} {
			for _, rate := range []float64{0.5, 2.7, 30} {
				t.Run(fmt.Sprintf("%s/%d instances, rate %v", name, perDomain*len(sites), rate), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						f, started := newColdFleet(t, perDomain, rate), time.Now()
						f.run(5 * time.Second)
						disturb(f)
						f.run(duration - time.Since(started))
						if least := 0.8 * rate * duration.Seconds() * float64(len(f.targets)); float64(f.total) < least {
							t.Errorf("got %d requests at cold targets in %v, want at least %.0f", f.total, duration, least)
						}
					})
				})
			}
		}
	}
}

// TestNamedLimitsAreUsed guards against owners of a named limit that use too little of it.
func TestNamedLimitsAreUsed(t *testing.T) {
	for _, instances := range []int{3, 7} {
		for _, limit := range []float64{0.5, 2, 10, 50} {
			synctest.Test(t, func(t *testing.T) {
				const duration = 30 * time.Second
				f := newLimitFleet(instances, sites...)
				f.hints = placement.Hints{Limit: placement.LimitNamed, LimitRate: limit}
				f.run(duration, always)
				if least := 0.7 * limit * duration.Seconds(); float64(f.sent) < least || f.most > allowedWithLimit(limit) {
					t.Errorf("%d instances, limit %v: got %d requests in %v and %d in %v, want at least %.0f and at most %d",
						instances, limit, f.sent, duration, f.most, limitWindow, least, allowedWithLimit(limit))
				}
			})
		}
	}
}
