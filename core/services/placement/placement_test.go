package placement_test

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/intent"
	"medlarpond.dev/core/models/roster"
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
	RegionShift: 0.03, RegionSpill: 0.06, EvacuationRamp: 3 * time.Second, Objects: 40, Candidates: 6,
	RankCost: 0.05, DomainCost: 0.1, RegionCost: 0.2,
}

// world is a state with targets and the placements of some instances.
type world struct {
	state    *belief.State
	revision uint64
	targets  map[string]roster.Target
}

func newWorld() *world {
	return &world{state: belief.New(zap.NewNop(), func(int) {}), targets: map[string]roster.Target{}}
}

func (w *world) put(targets ...roster.Target) {
	for i := range targets {
		w.revision++
		targets[i].Revision = w.revision
		w.targets[targets[i].ID] = targets[i]
	}
	w.state.UpdateTargets(targets, nil)
}

// spread puts perPlace targets at each place.
func (w *world) spread(perPlace int, places ...roster.Place) {
	for _, place := range places {
		for n := range perPlace {
			w.put(roster.Target{
				ID: fmt.Sprintf("%s-%d", place.FailureDomain, n), Service: "orders", Place: place, Slots: 3,
			})
		}
	}
}

func (w *world) placement(self string, own roster.Place) (*placement.Placement, *placement.Loads) {
	loads := placement.NewLoads()
	return placement.New(w.state, self, own, sites, policy, loads), loads
}

func query(object string) placement.Query {
	return placement.Query{Service: "orders", Object: object, Goal: goal, Room: 2, TimeLeft: time.Second}
}

// choose returns the target for an object and ends the attempt at once without a word on it.
func choose(t *testing.T, p *placement.Placement, l *placement.Loads, q placement.Query) roster.Target {
	t.Helper()
	c, _, ok := p.Choose(q)
	if !ok {
		t.Fatalf("no target for object %q", q.Object)
	}
	l.End(placement.Attempt{Target: c.Target, Outcome: placement.OutcomeCancelled})
	return c.Target
}

func TestInstancesAgreeWithoutTalk(t *testing.T) {
	w := newWorld()
	w.spread(4, east1, east2, west1, west2)
	a, la := w.placement("a", east1)
	b, lb := w.placement("b", east1)
	other, lo := w.placement("c", east2)
	for n := range 100 {
		q := query(fmt.Sprint(n))
		first := choose(t, a, la, q)
		if second := choose(t, b, lb, q); second.ID != first.ID {
			t.Errorf("object %d: %s and %s from the same place", n, first.ID, second.ID)
		}
		if third := choose(t, other, lo, q); third.Place.Region != first.Place.Region {
			t.Errorf("object %d: regions %s and %s from the same region", n, first.Place.Region, third.Place.Region)
		}
		if first.Place.Region != "east" {
			t.Errorf("object %d of east is served in %s although east has room", n, first.Place.Region)
		}
	}
}

func TestOneTargetLeavesOthersKeepTheirObjects(t *testing.T) {
	w := newWorld()
	w.spread(4, east1, east2, west1, west2)
	p, l := w.placement("a", east1)
	before := map[string]string{}
	for n := range 200 {
		before[fmt.Sprint(n)] = choose(t, p, l, query(fmt.Sprint(n))).ID
	}
	leaver := w.targets[before["0"]]
	leaver.Leaving = true
	w.put(leaver)
	moved := 0
	for object, id := range before {
		after := choose(t, p, l, query(object)).ID
		if after == leaver.ID {
			t.Errorf("object %s goes to a leaving target", object)
		}
		if id != leaver.ID && after != id {
			moved++
		}
	}
	if moved > len(before)/10 {
		t.Errorf("%d of %d objects of other targets moved", moved, len(before))
	}
}

func TestPoorRegionUsesOthersAsFarAsItMust(t *testing.T) {
	w := newWorld()
	w.spread(4, east1, east2, west1, west2)
	w.spread(1, north)
	p, l := w.placement("a", north)
	own := 0
	const objects = 2000
	for n := range objects {
		if choose(t, p, l, query(fmt.Sprint(n))).Place == north {
			own++
		}
	}
	// A fifth of the callers have one of seventeen targets.
	want := 5.0 / 17 * objects
	if math.Abs(float64(own)-want) > objects/20 {
		t.Errorf("%d of %d objects stay, want about %.0f", own, objects, want)
	}
}

func TestHomesBind(t *testing.T) {
	w := newWorld()
	w.spread(2, east1, west1)
	p, l := w.placement("a", east1)
	for n := range 50 {
		q := query(fmt.Sprint(n))
		q.HomeRegions = []string{"west"}
		if got := choose(t, p, l, q); got.Place.Region != "west" {
			t.Fatalf("a request with its home in west is sent to %s", got.Place.Region)
		}
	}
	q := query("x")
	q.HomeRegions = []string{"north"}
	if _, _, ok := p.Choose(q); ok {
		t.Error("a request leaves its home region, which has no targets")
	}
}

// TestHomedTeamsKeepTheirRegion gives a team whose home is a small region most of what that region can run: other requests
// of the region's callers go elsewhere.
func TestHomedTeamsKeepTheirRegion(t *testing.T) {
	w := newWorld()
	w.spread(2, east1)
	w.spread(9, west1, west2)
	part := func(homes ...string) float64 {
		i, err := intent.New(intent.Content{Version: w.revision, Teams: []intent.Team{
			{Name: "large", Rate: 100, HomeRegions: homes}, {Name: "rest", Rate: 900},
		}})
		if err != nil {
			t.Fatal(err)
		}
		w.state.SetIntent(i, w.revision)
		w.revision++
		p, l := w.placement("a", east1)
		there := 0.0
		for n := range 2000 {
			if choose(t, p, l, query(fmt.Sprint(n))).Place == east1 {
				there++
			}
		}
		return there / 2000
	}
	// Two of five callers are in east, which can run a tenth of all.
	if got := part(); math.Abs(got-0.25) > 0.04 {
		t.Errorf("without homed teams %.2f of the objects stay, want 0.25", got)
	}
	if got := part("west"); math.Abs(got-0.25) > 0.08 {
		t.Errorf("with a team at home elsewhere %.2f of the objects stay, want about 0.25", got)
	}
	if got := part("east"); got > 0.06 {
		t.Errorf("%.2f of the objects stay in a region that a team at home there fills", got)
	}
}

func TestEvacuationEmptiesWithinItsBoundAndStepByStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.spread(4, east1, east2, west1, west2)
		p, l := w.placement("a", east1)
		there := func() (domain, region float64) {
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
		_, before := there()
		w.state.SetEvacuated([]string{east1.FailureDomain})
		for range 8 {
			time.Sleep(2 * time.Second)
			domain, region := there()
			if domain > 0 {
				t.Errorf("%.3f of the objects are still in the evacuated failure domain", domain)
			}
			if before-region > 0.15 {
				t.Errorf("%.3f of the objects changed region within 2 s, bound 0.15", before-region)
			}
			before = region
		}
		w.state.SetEvacuated(nil)
		time.Sleep(100 * time.Millisecond)
		if domain, _ := there(); domain > 0.15 {
			t.Errorf("%.3f of the objects are back at once", domain)
		}
		time.Sleep(30 * time.Second)
		if domain, _ := there(); domain < 0.3 {
			t.Errorf("only %.3f of the objects are back in the failure domain", domain)
		}
	})
}

func TestColdTargetsGetLittleFromAllInstancesTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate = 2.7
		w := newWorld()
		i, err := intent.New(intent.Content{Version: 1, Services: []intent.Service{{Name: "orders", ColdRate: rate}}})
		if err != nil {
			t.Fatal(err)
		}
		w.state.SetIntent(i, 1)
		var instances []roster.Instance
		for n := range 7 {
			instances = append(instances, roster.Instance{ID: fmt.Sprint("i-", n), Place: east1})
		}
		w.state.SetInstances(instances)
		w.put(roster.Target{ID: "cold", Service: "orders", Place: east1, Slots: 3, ColdUntil: time.Now().Add(5 * time.Second)})
		var fleet []*placement.Placement
		var loads []*placement.Loads
		for _, instance := range instances {
			p, l := w.placement(instance.ID, east1)
			fleet, loads = append(fleet, p), append(loads, l)
		}
		bound := int(math.Floor(float64(rate)*1.5 + 5))
		for range 5 {
			sent := 0
			for range 50 {
				for n, p := range fleet {
					if c, _, ok := p.Choose(query("x")); ok {
						sent++
						loads[n].End(placement.Attempt{Target: c.Target, Outcome: placement.OutcomeCancelled})
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
			if sent > bound || sent == 0 {
				t.Errorf("%d requests in a second to a cold target, bound %d and at least 1", sent, bound)
			}
		}
	})
}

func TestFullTargetsSpillIntoFreeSlotsOnly(t *testing.T) {
	w := newWorld()
	w.spread(1, east1, east2)
	p, _ := w.placement("a", east1)
	counts := map[string]int{}
	for {
		c, full, ok := p.Choose(query("x"))
		if !ok {
			if !full {
				t.Error("a refusal for lack of room does not say so")
			}
			break
		}
		counts[c.Target.ID]++
	}
	first, second := max(counts["east-1-0"], counts["east-2-0"]), min(counts["east-1-0"], counts["east-2-0"])
	if first != 9 || second != 3 {
		t.Errorf("the first target took %d and the second %d requests, want 9 (slots and room) and 3 (slots)", first, second)
	}
}

func TestFailingTargetIsLeftOutAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.spread(3, east1)
		p, l := w.placement("a", east1)
		first := choose(t, p, l, query("x"))
		for range 4 {
			c, _, ok := p.Choose(query("x"))
			if ok && c.Target.ID == first.ID {
				l.End(placement.Attempt{Target: c.Target, Object: "x", Goal: goal, Outcome: placement.OutcomeFailed})
			}
		}
		for range 20 {
			if got := choose(t, p, l, query("x")); got.ID == first.ID {
				t.Fatal("a target that failed three times in a row is used at once")
			}
		}
		time.Sleep(30 * time.Second)
		if got := choose(t, p, l, query("x")); got.ID != first.ID {
			t.Error("the target is not used again after half a minute")
		}
	})
}

func TestLateAnswersDoNotLeaveATargetOut(t *testing.T) {
	w := newWorld()
	w.spread(1, east1)
	p, l := w.placement("a", east1)
	for range 3 {
		c, _, ok := p.Choose(query("x"))
		if !ok {
			t.Fatal("the only target is left out after late answers")
		}
		l.End(placement.Attempt{Target: c.Target, Object: "x", Goal: goal, Outcome: placement.OutcomeLate})
	}
	if _, _, ok := p.Choose(query("x")); !ok {
		t.Error("the only target is left out after three late answers")
	}
}

// TestSpillKeepsTheBoundOnShifts presses more on a region than it can run, from one moment to the next.
func TestSpillKeepsTheBoundOnShifts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.spread(4, east1, east2, west1, west2)
		p, l := w.placement("a", east1)
		previous := 0.0
		for window := range 6 {
			perRequest := 20 * time.Millisecond
			if window%2 == 1 {
				perRequest = time.Millisecond
			}
			served, elsewhere := 0.0, 0.0
			for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(perRequest) {
				c, _, ok := p.Choose(query(fmt.Sprint(int(served) % 24)))
				if !ok {
					continue
				}
				served++
				if c.Target.Place.Region != "east" {
					elsewhere++
				}
				time.AfterFunc(300*time.Millisecond, func() {
					l.End(placement.Attempt{Target: c.Target, Service: "orders", Goal: goal, Took: 300 * time.Millisecond, Outcome: placement.OutcomeAnswered})
				})
			}
			part := elsewhere / served
			if math.Abs(part-previous) > 0.15 {
				t.Errorf("window %d: the part served elsewhere went from %.3f to %.3f, bound 0.15", window, previous, part)
			}
			previous = part
		}
	})
}

// TestEvacuatedTargetsAreNoRefuge presses so much that requests look for room everywhere.
func TestEvacuatedTargetsAreNoRefuge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.spread(2, east1, east2)
		p, _ := w.placement("a", east2)
		w.state.SetEvacuated([]string{east1.FailureDomain})
		time.Sleep(policy.EvacuationRamp)
		for n := range 200 {
			if c, _, ok := p.Choose(query(fmt.Sprint(n))); ok && c.Target.Place == east1 {
				t.Fatalf("request %d goes to the evacuated failure domain", n)
			}
		}
	})
}
