package placement_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/intent"
	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/rendezvous"
	"medlarpond.dev/core/services/belief"
	"medlarpond.dev/core/services/placement"
)

const goal = 400 * time.Millisecond

var (
	east1 = roster.Place{Region: "east", FailureDomain: "east-1"}
	east2 = roster.Place{Region: "east", FailureDomain: "east-2"}
	west1 = roster.Place{Region: "west", FailureDomain: "west-1"}
	west2 = roster.Place{Region: "west", FailureDomain: "west-2"}
	north = roster.Place{Region: "north", FailureDomain: "north-1"}
	sites = []roster.Place{east1, east2, west1, west2, north}
)

var policy = placement.Policy{
	RegionShift: 0.03, RegionSpill: 0.06, EvacuationRamp: 3 * time.Second, EvacuationLimit: 4 * time.Second, OwnerTimeout: 3 * time.Second, Objects: 40, Candidates: 6,
	RankCost: 0.05, DomainCost: 0.1, RegionCost: 0.2,
}

// fixture is a state with targets for which tests create placements.
type fixture struct {
	state *belief.State
	// started is the zero of the boot clock.
	started  time.Time
	revision uint64
	targets  map[string]roster.Target
}

// newFixture returns a state that the store has just confirmed. Its boot clock follows the clock of the test.
func newFixture() *fixture {
	started := time.Now()
	state := belief.New(zap.NewNop(), func() time.Duration { return time.Since(started) }, func([]roster.Instance) {})
	state.Confirm(0)
	return &fixture{state: state, started: started, targets: map[string]roster.Target{}}
}

// confirm records that the store has just responded.
func (f *fixture) confirm() { f.state.Confirm(time.Since(f.started)) }

func (f *fixture) updateTargets(targets ...roster.Target) {
	for i := range targets {
		f.revision++
		targets[i].Revision = f.revision
		f.targets[targets[i].ID] = targets[i]
	}
	f.state.UpdateTargets(targets, nil)
}

// addTargets adds perPlace targets at each place.
func (f *fixture) addTargets(perPlace int, places ...roster.Place) {
	for _, place := range places {
		for n := range perPlace {
			f.updateTargets(roster.Target{
				ID: fmt.Sprintf("%s-%d", place.FailureDomain, n), Service: "orders", Place: place, Slots: 3,
			})
		}
	}
}

func (f *fixture) newPlacement(self string, own roster.Place) (*placement.Placement, *placement.LoadTracker) {
	loads := placement.NewLoadTracker()
	return placement.New(f.state, self, own, sites, policy, loads), loads
}

func query(object string) placement.Query {
	return placement.Query{Service: "orders", Object: object, LatencyGoal: goal, MaxQueuePerSlot: 2, TimeLeft: time.Second}
}

// choose returns the target for an object and ends the attempt without recording a result.
func choose(t *testing.T, p *placement.Placement, l *placement.LoadTracker, q placement.Query) roster.Target {
	t.Helper()
	c, _, ok := p.Choose(q)
	if !ok {
		t.Fatalf("no target for object %q", q.Object)
	}
	l.End(placement.Attempt{Target: c.Target, Outcome: placement.OutcomeCancelled})
	return c.Target
}

func TestInstancesChooseTheSameTargets(t *testing.T) {
	f := newFixture()
	f.addTargets(4, east1, east2, west1, west2)
	a, loadsA := f.newPlacement("a", east1)
	b, loadsB := f.newPlacement("b", east1)
	other, otherLoads := f.newPlacement("c", east2)
	for n := range 100 {
		q := query(fmt.Sprint(n))
		first := choose(t, a, loadsA, q)
		if second := choose(t, b, loadsB, q); second.ID != first.ID {
			t.Errorf("object %d: instances of the same failure domain chose %s and %s", n, first.ID, second.ID)
		}
		if third := choose(t, other, otherLoads, q); third.Place.Region != first.Place.Region {
			t.Errorf("object %d: instances of the same region chose regions %s and %s", n, first.Place.Region, third.Place.Region)
		}
		if first.Place.Region != "east" {
			t.Errorf("object %d of region east is served in %s although east has capacity", n, first.Place.Region)
		}
	}
}

func TestLeavingTargetMovesOnlyItsOwnObjects(t *testing.T) {
	f := newFixture()
	f.addTargets(4, east1, east2, west1, west2)
	p, l := f.newPlacement("a", east1)
	before := map[string]string{}
	for n := range 200 {
		before[fmt.Sprint(n)] = choose(t, p, l, query(fmt.Sprint(n))).ID
	}
	leavingTarget := f.targets[before["0"]]
	leavingTarget.Leaving = true
	f.updateTargets(leavingTarget)
	moved := 0
	for object, id := range before {
		after := choose(t, p, l, query(object)).ID
		if after == leavingTarget.ID {
			t.Errorf("object %s is sent to a leaving target", object)
		}
		if id != leavingTarget.ID && after != id {
			moved++
		}
	}
	if moved > len(before)/10 {
		t.Errorf("%d of %d objects moved between targets that stay, want at most a tenth", moved, len(before))
	}
}

func TestRegionWithFewTargetsUsesOtherRegions(t *testing.T) {
	f := newFixture()
	f.addTargets(4, east1, east2, west1, west2)
	f.addTargets(1, north)
	p, l := f.newPlacement("a", north)
	local := 0
	const objects = 2000
	for n := range objects {
		if choose(t, p, l, query(fmt.Sprint(n))).Place == north {
			local++
		}
	}
	// One of five failure domains of callers has one of seventeen targets.
	want := 5.0 / 17 * objects
	if math.Abs(float64(local)-want) > objects/20 {
		t.Errorf("%d of %d objects are served in their failure domain, want about %.0f", local, objects, want)
	}
}

func TestHomeRegionsAreEnforced(t *testing.T) {
	f := newFixture()
	f.addTargets(2, east1, west1)
	p, l := f.newPlacement("a", east1)
	for n := range 50 {
		q := query(fmt.Sprint(n))
		q.HomeRegions = []string{"west"}
		if got := choose(t, p, l, q); got.Place.Region != "west" {
			t.Fatalf("request with home region west was sent to region %s", got.Place.Region)
		}
	}
	q := query("x")
	q.HomeRegions = []string{"north"}
	if _, _, ok := p.Choose(q); ok {
		t.Error("request was sent outside its home region, which has no targets")
	}
}

// TestHomeRegionTrafficDisplacesOtherTraffic checks that when a team with a small home region needs most of its
// capacity, other requests from that region are sent elsewhere.
func TestHomeRegionTrafficDisplacesOtherTraffic(t *testing.T) {
	f := newFixture()
	f.addTargets(2, east1)
	f.addTargets(9, west1, west2)
	localFraction := func(homes ...string) float64 {
		i, err := intent.New(intent.Content{Version: f.revision, Teams: []intent.Team{
			{Name: "large", Rate: 100, HomeRegions: homes}, {Name: "rest", Rate: 900},
		}})
		if err != nil {
			t.Fatal(err)
		}
		f.state.SetIntent(i, f.revision)
		f.revision++
		p, l := f.newPlacement("a", east1)
		local := 0.0
		for n := range 2000 {
			if choose(t, p, l, query(fmt.Sprint(n))).Place == east1 {
				local++
			}
		}
		return local / 2000
	}
	// Two of five failure domains of callers are in east, which has a tenth of the capacity.
	if got := localFraction(); math.Abs(got-0.25) > 0.04 {
		t.Errorf("without home regions, a fraction of %.2f stays local, want 0.25", got)
	}
	if got := localFraction("west"); math.Abs(got-0.25) > 0.08 {
		t.Errorf("with a team homed in another region, a fraction of %.2f stays local, want about 0.25", got)
	}
	if got := localFraction("east"); got > 0.06 {
		t.Errorf("with the region filled by a team homed there, a fraction of %.2f stays local, want at most 0.06", got)
	}
}

func TestEvacuationMovesObjectsGradually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.addTargets(4, east1, east2, west1, west2)
		p, l := f.newPlacement("a", east1)
		fractions := func() (domain, region float64) {
			for n := range 1000 {
				target := choose(t, p, l, query(fmt.Sprint(n)))
				if target.Place == east1 {
					domain++
				}
				if target.Place.Region == "east" {
					region++
				}
			}
			return domain / 1000, region / 1000
		}
		_, before := fractions()
		f.state.SetEvacuated([]string{east1.FailureDomain})
		for range 8 {
			time.Sleep(2 * time.Second)
			domain, region := fractions()
			if domain > 0 {
				t.Errorf("a fraction of %.3f of the objects is still in the evacuated failure domain", domain)
			}
			if before-region > 0.15 {
				t.Errorf("a fraction of %.3f of the objects changed region within 2 s, want at most 0.15", before-region)
			}
			before = region
		}
		f.state.SetEvacuated(nil)
		time.Sleep(100 * time.Millisecond)
		if domain, _ := fractions(); domain > 0.15 {
			t.Errorf("a fraction of %.3f of the objects is back in the restored failure domain after 100 ms, want at most 0.15", domain)
		}
		time.Sleep(30 * time.Second)
		if domain, _ := fractions(); domain < 0.3 {
			t.Errorf("a fraction of %.3f of the objects is back in the restored failure domain after 30 s, want at least 0.3", domain)
		}
	})
}

func TestColdRateHoldsAcrossInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate = 2.7
		f := newFixture()
		i, err := intent.New(intent.Content{Version: 1, Services: []intent.Service{{Name: "orders", ColdRate: rate}}})
		if err != nil {
			t.Fatal(err)
		}
		f.state.SetIntent(i, 1)
		var instances []roster.Instance
		for n := range 7 {
			instances = append(instances, roster.Instance{ID: fmt.Sprint("i-", n), Place: east1})
		}
		f.state.SetInstances(instances)
		f.updateTargets(roster.Target{ID: "cold", Service: "orders", Place: east1, Slots: 3, ColdUntil: time.Now().Add(5 * time.Second)})
		var fleet []*placement.Placement
		var loads []*placement.LoadTracker
		for _, instance := range instances {
			p, l := f.newPlacement(instance.ID, east1)
			fleet, loads = append(fleet, p), append(loads, l)
		}
		bound := int(math.Floor(float64(rate)*1.5 + 5))
		for range 5 {
			sent := 0
			for range 50 {
				f.confirm()
				for n, p := range fleet {
					if c, _, ok := p.Choose(query("x")); ok {
						sent++
						loads[n].End(placement.Attempt{Target: c.Target, Outcome: placement.OutcomeCancelled})
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
			if sent > bound || sent == 0 {
				t.Errorf("got %d requests in a second to a cold target, want 1 to %d", sent, bound)
			}
		}
	})
}

func TestOverflowUsesFreeSlotsOnly(t *testing.T) {
	f := newFixture()
	f.addTargets(1, east1, east2)
	p, _ := f.newPlacement("a", east1)
	counts := map[string]int{}
	for {
		c, rejected, ok := p.Choose(query("x"))
		if !ok {
			if rejected.Full != 2 || rejected.Late+rejected.Spill != 0 {
				t.Errorf("got rejected candidates %+v, want both rejected as full", rejected)
			}
			break
		}
		counts[c.Target.ID]++
	}
	first, second := max(counts["east-1-0"], counts["east-2-0"]), min(counts["east-1-0"], counts["east-2-0"])
	if first != 9 || second != 3 {
		t.Errorf("the first target took %d and the second %d requests, want 9 (slots and queue) and 3 (slots)", first, second)
	}
}

func TestFailingTargetIsEjectedAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.addTargets(3, east1)
		p, l := f.newPlacement("a", east1)
		first := choose(t, p, l, query("x"))
		for range 4 {
			c, _, ok := p.Choose(query("x"))
			if ok && c.Target.ID == first.ID {
				l.End(placement.Attempt{Target: c.Target, Object: "x", LatencyGoal: goal, Outcome: placement.OutcomeFailed})
			}
		}
		for range 20 {
			if got := choose(t, p, l, query("x")); got.ID == first.ID {
				t.Fatal("a target that failed three times in a row was not ejected")
			}
		}
		time.Sleep(30 * time.Second)
		if got := choose(t, p, l, query("x")); got.ID != first.ID {
			t.Error("the ejected target is not used again after 30 s")
		}
	})
}

func TestTimeoutsDoNotEject(t *testing.T) {
	f := newFixture()
	f.addTargets(1, east1)
	p, l := f.newPlacement("a", east1)
	for range 3 {
		c, _, ok := p.Choose(query("x"))
		if !ok {
			t.Fatal("the target was ejected after timeouts")
		}
		l.End(placement.Attempt{Target: c.Target, Object: "x", LatencyGoal: goal, Outcome: placement.OutcomeTimedOut})
	}
	if _, _, ok := p.Choose(query("x")); !ok {
		t.Error("the target was ejected after three timeouts")
	}
}

// TestSpillLimitsRegionShift checks that sudden overload of a region does not spill more than the permitted fraction of
// requests into other regions.
func TestSpillLimitsRegionShift(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.addTargets(4, east1, east2, west1, west2)
		p, l := f.newPlacement("a", east1)
		previous := 0.0
		for window := range 6 {
			interval := 20 * time.Millisecond
			if window%2 == 1 {
				interval = time.Millisecond
			}
			served, spilled := 0.0, 0.0
			for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(interval) {
				c, _, ok := p.Choose(query(fmt.Sprint(int(served) % 24)))
				if !ok {
					continue
				}
				served++
				if c.Target.Place.Region != "east" {
					spilled++
				}
				time.AfterFunc(300*time.Millisecond, func() {
					l.End(placement.Attempt{Target: c.Target, Service: "orders", LatencyGoal: goal, Duration: 300 * time.Millisecond, Outcome: placement.OutcomeAnswered})
				})
			}
			fraction := spilled / served
			if math.Abs(fraction-previous) > 0.15 {
				t.Errorf("window %d: the fraction served in other regions went from %.3f to %.3f, want a change of at most 0.15", window, previous, fraction)
			}
			previous = fraction
		}
	})
}

// TestOverloadDoesNotUseEvacuatedTargets checks that an evacuated failure domain gets no requests even when all other
// targets are full.
func TestOverloadDoesNotUseEvacuatedTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.addTargets(2, east1, east2)
		p, _ := f.newPlacement("a", east2)
		f.state.SetEvacuated([]string{east1.FailureDomain})
		time.Sleep(policy.EvacuationRamp)
		for n := range 200 {
			if c, _, ok := p.Choose(query(fmt.Sprint(n))); ok && c.Target.Place == east1 {
				t.Fatalf("request %d was sent to the evacuated failure domain", n)
			}
		}
	})
}

// TestRequestWithoutObjectQueuesAtEveryTarget checks that a request without an object may wait at any target: no target
// serves it faster than another, so the limit for objects that are cold at a target does not apply to it.
func TestRequestWithoutObjectQueuesAtEveryTarget(t *testing.T) {
	f := newFixture()
	f.addTargets(2, east1)
	p, _ := f.newPlacement("a", east1)
	accepted := 0
	for range 100 {
		if _, _, ok := p.Choose(query("")); ok {
			accepted++
		}
	}
	if accepted != 18 {
		t.Errorf("got %d requests accepted by two targets with 3 slots and room for 6 more each, want 18", accepted)
	}
}

// TestRequestWithoutObjectHasItsOwnProcessingTime checks that slow requests for cold objects do not make requests without
// an object appear to miss their deadline.
func TestRequestWithoutObjectHasItsOwnProcessingTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.addTargets(1, east1)
		p, l := f.newPlacement("a", east1)
		for range 50 {
			l.End(placement.Attempt{
				Target: f.targets["east-1-0"], Service: "orders", Object: "x", LatencyGoal: goal, Duration: 1500 * time.Millisecond,
				Outcome: placement.OutcomeAnswered,
			})
		}
		// The responses above made the target appear slow; wait until only the processing times remain.
		time.Sleep(time.Minute)
		for range 3 {
			if _, _, ok := p.Choose(query("y")); !ok {
				t.Fatal("no free slot for the requests that occupy the target")
			}
		}
		q := query("")
		if _, rejected, ok := p.Choose(q); !ok {
			t.Errorf("got rejected candidates %+v for a request without an object and %v left, want a target", rejected, q.TimeLeft)
		}
	})
}

// TestLateKnowledgeOfEvacuation checks that an instance which learns late of an evacuation does not use the failure domain
// longer than one that learns of it at once: the operators' bound counts from the start of the evacuation.
func TestLateKnowledgeOfEvacuation(t *testing.T) {
	for _, lag := range []time.Duration{0, 2 * time.Second, 3500 * time.Millisecond, 20 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			f.addTargets(1, east1, east2)
			p, _ := f.newPlacement("a", east1)
			time.Sleep(lag)
			f.state.SetEvacuated([]string{east1.FailureDomain})
			time.Sleep(max(0, policy.EvacuationLimit-lag))
			// The attempts do not end, so that the other failure domain is full in the end.
			for n := range 200 {
				if c, _, ok := p.Choose(query(fmt.Sprint(n))); ok && c.Target.Place == east1 {
					t.Fatalf("learned %v after the last confirmation: object %d is sent to the evacuated failure domain %v after it",
						lag, n, max(lag, policy.EvacuationLimit))
				}
			}
		})
	}
}

// TestColdRateHoldsAroundHandOver lets instances lose the store one after the other. Each that is lost leaves the list of the
// others, which choose another instance for the cold target, while the lost ones keep the lists that they had.
func TestColdRateHoldsAroundHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, count = 2.7, 7
		i, err := intent.New(intent.Content{Version: 1, Services: []intent.Service{{Name: "orders", ColdRate: rate}}})
		if err != nil {
			t.Fatal(err)
		}
		var fixtures []*fixture
		var fleet []*placement.Placement
		var loads []*placement.LoadTracker
		var listed []roster.Instance
		for n := range count {
			instance := roster.Instance{ID: fmt.Sprint("i-", n), Place: east1}
			f := newFixture()
			f.state.SetIntent(i, 1)
			f.updateTargets(roster.Target{ID: "cold", Service: "orders", Place: east1, Slots: 3, ColdUntil: time.Now().Add(time.Minute)})
			p, l := f.newPlacement(instance.ID, east1)
			fixtures, fleet, loads, listed = append(fixtures, f), append(fleet, p), append(loads, l), append(listed, instance)
		}
		lost := map[string]bool{}
		bound := int(math.Floor(float64(rate)*1.5 + 5))
		for range count - 1 {
			for n, f := range fixtures {
				if !lost[fmt.Sprint("i-", n)] {
					f.state.SetInstances(slices.Clone(listed))
				}
			}
			// The instance that may use the cold target loses the store, and its lease expires after OwnerTimeout.
			owner := rendezvous.Owners([]byte("cold"), instanceIDs(listed), 1)[0]
			lost[owner] = true
			for elapsed := time.Duration(0); elapsed < policy.OwnerTimeout+time.Second; elapsed += time.Second {
				sent := 0
				for range 50 {
					for n, p := range fleet {
						if !lost[fmt.Sprint("i-", n)] {
							fixtures[n].confirm()
						}
						if c, _, ok := p.Choose(query("x")); ok {
							sent++
							loads[n].End(placement.Attempt{Target: c.Target, Outcome: placement.OutcomeCancelled})
						}
					}
					time.Sleep(20 * time.Millisecond)
				}
				if sent > bound {
					t.Fatalf("got %d requests in a second to a cold target with %d instances without the store, want at most %d", sent, len(lost), bound)
				}
			}
			listed = slices.DeleteFunc(listed, func(i roster.Instance) bool { return i.ID == owner })
		}
	})
}

func instanceIDs(instances []roster.Instance) (ids []string) {
	for _, i := range instances {
		ids = append(ids, i.ID)
	}
	return ids
}
