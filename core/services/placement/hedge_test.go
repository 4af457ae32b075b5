package placement_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"medlarpond.dev/core/models/intent"
	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/services/placement"
)

// hedgeQuery returns the query for a hedge of a request that is running at a target.
func hedgeQuery(object string, first roster.Target) placement.Query {
	q := query(object)
	q.HedgeOf, q.Excluded, q.MeasureBusy = &first, []string{first.ID}, true
	return q
}

// TestHedgeAvoidsUnfitTargets checks that no hedge goes to a target that must be spared although it may take ordinary requests.
// Each case makes the only other target unfit.
func TestHedgeAvoidsUnfitTargets(t *testing.T) {
	first := roster.Target{ID: "east-1-0", Service: "orders", Place: east1, Slots: 3}
	for name, c := range map[string]struct {
		prepare func(f *fixture, l *placement.LoadTracker, other roster.Target)
		homes   []string
		want    bool
	}{
		"fit": {func(*fixture, *placement.LoadTracker, roster.Target) {}, nil, true},
		"one slot free": {func(_ *fixture, l *placement.LoadTracker, other roster.Target) {
			l.Begin(other)
			l.Begin(other)
		}, nil, true},
		"no slot free": {func(_ *fixture, l *placement.LoadTracker, other roster.Target) {
			for range 3 {
				l.Begin(other)
			}
		}, nil, false},
		"cold": {func(f *fixture, _ *placement.LoadTracker, other roster.Target) {
			other.ColdUntil = time.Now().Add(time.Minute)
			f.updateTargets(other)
		}, nil, false},
		"limited": {func(_ *fixture, l *placement.LoadTracker, other roster.Target) {
			answer(l, other, placement.OutcomeAnswered, placement.Hints{Limit: placement.LimitNamed, LimitRate: 1000})
		}, nil, false},
		"paused": {func(_ *fixture, l *placement.LoadTracker, other roster.Target) {
			answer(l, other, placement.OutcomeRefused, placement.Hints{Pause: time.Minute})
		}, nil, false},
		"has said that it leaves": {func(_ *fixture, l *placement.LoadTracker, other roster.Target) {
			answer(l, other, placement.OutcomeAnswered, placement.Hints{Leaving: true})
		}, nil, false},
		"leaving": {func(f *fixture, _ *placement.LoadTracker, other roster.Target) {
			other.Leaving = true
			f.updateTargets(other)
		}, nil, false},
		"evacuated": {func(f *fixture, _ *placement.LoadTracker, _ roster.Target) {
			f.state.SetEvacuated([]string{east2.FailureDomain})
			time.Sleep(5 * time.Second)
		}, nil, false},
		"in another region than the homes": {func(*fixture, *placement.LoadTracker, roster.Target) {}, []string{"west"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				i, err := intent.New(intent.Content{Version: 1, Services: []intent.Service{{Name: "orders", ColdRate: 100}}})
				if err != nil {
					t.Fatal(err)
				}
				f.state.SetIntent(i, 1)
				f.state.SetInstances([]roster.Instance{{ID: "a", Place: east1}})
				other := roster.Target{ID: "other", Service: "orders", Place: east2, Slots: 3}
				f.updateTargets(first, other)
				p, l := f.newPlacement("a", east1)
				c.prepare(f, l, f.targets["other"])
				q := hedgeQuery("x", first)
				q.HomeRegions = c.homes
				if got, _, ok := p.Choose(q); ok != c.want {
					t.Errorf("got target %q, %v, want %v", got.Target.ID, ok, c.want)
				}
			})
		})
	}
}

// TestHedgePrefersWarmAndDistantTargets checks that hedges go to a target that has served the object, and otherwise leave the
// failure domain of the first attempt, whose targets may be slow for a common reason.
func TestHedgePrefersWarmAndDistantTargets(t *testing.T) {
	f := newFixture()
	f.addTargets(4, east1, east2)
	p, l := f.newPlacement("a", east1)
	for _, object := range []string{"1", "2", "3", "4", "5", "6"} {
		first := choose(t, p, l, query(object))
		got := choose(t, p, l, hedgeQuery(object, first))
		if got.Place == first.Place {
			t.Errorf("object %s: first attempt and hedge are in %s, want different failure domains", object, got.Place.FailureDomain)
		}
		q := query(object)
		q.Excluded = []string{first.ID}
		second := choose(t, p, l, q)
		l.Begin(second)
		l.End(placement.Attempt{Target: second, Service: "orders", Object: object, LatencyGoal: goal, Duration: goal / 2, Warm: true})
		if got := choose(t, p, l, hedgeQuery(object, first)); got.ID != second.ID {
			t.Errorf("object %s: got a hedge at %s, want %s, which has served the object", object, got.ID, second.ID)
		}
	}
}

// TestHedgesStayWithinSpill lets all other targets of the region be full. Hedges that leave the region count as spilled, although
// the first candidate of each is in the other region.
func TestHedgesStayWithinSpill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.addTargets(1, east1, west1)
		p, l := f.newPlacement("a", east1)
		first := f.targets["east-1-0"]
		left := 0
		for range 200 {
			q := query("x")
			q.HomeRegions = []string{"east"}
			choose(t, p, l, q)
			if c, _, ok := p.Choose(hedgeQuery("x", first)); ok {
				left++
				l.End(placement.Attempt{Target: c.Target, Outcome: placement.OutcomeCancelled})
			}
			time.Sleep(10 * time.Millisecond)
		}
		if limit := int(policy.RegionSpill*400) + 2; left == 0 || left > limit {
			t.Errorf("got %d of 200 hedges in the other region, want 1 to %d", left, limit)
		}
	})
}

// TestBusyShare checks the share of busy slots of the compared targets, from which the allowance for hedges follows.
func TestBusyShare(t *testing.T) {
	f := newFixture()
	f.addTargets(2, east1)
	p, _ := f.newPlacement("a", east1)
	q := query("x")
	q.MeasureBusy = true
	var shares []float64
	for range 4 {
		c, _, ok := p.Choose(q)
		if !ok {
			t.Fatal("no target")
		}
		shares = append(shares, c.BusyShare)
	}
	if want := []float64{0, 1.0 / 6, 2.0 / 6, 3.0 / 6}; !slices.Equal(shares, want) {
		t.Errorf("got shares %v, want %v", shares, want)
	}
	if c, _, _ := p.Choose(query("x")); c.BusyShare != 0 {
		t.Errorf("got share %v without a request for it, want 0", c.BusyShare)
	}
}
