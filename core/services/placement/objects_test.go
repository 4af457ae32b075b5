package placement_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"medlarpond.dev/core/services/placement"
)

// objectsFleet sends requests for a number of objects through one instance that learns this number. 150 slots can run a request
// for each of 30 objects and each of five failure domains at once.
type objectsFleet struct {
	t *testing.T
	p *placement.Placement
	l *placement.LoadTracker
}

func newObjectsFleet(t *testing.T) *objectsFleet {
	t.Helper()
	f := newFixture()
	f.addTargets(10, sites...)
	learning := policy
	learning.Objects = 0
	l := placement.NewLoadTracker()
	return &objectsFleet{t: t, p: placement.New(f.state, "a", east1, sites, learning, l), l: l}
}

// run sends requests for the objects, and returns the fraction in the last second that was served in the failure domain.
func (f *objectsFleet) run(duration time.Duration, objects int) float64 {
	local, count := 0.0, 0.0
	for elapsed := time.Duration(0); elapsed < duration; elapsed += 100 * time.Millisecond {
		for n := range objects {
			if target := choose(f.t, f.p, f.l, query(fmt.Sprint(n))); elapsed >= duration-time.Second {
				count++
				if target.Place == east1 {
					local++
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return local / count
}

// TestScopeFollowsNumberOfObjects guards against objects that are spread over failure domains although there is room for all of
// them in each, against the reverse, and against objects that move back and forth when their number varies.
func TestScopeFollowsNumberOfObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newObjectsFleet(t)
		if got := f.run(5*time.Second, 15); got > 0.9 {
			t.Errorf("a fraction of %.2f is served in the failure domain before the number of objects is known, want that of 40 objects", got)
		}
		if got := f.run(15*time.Second, 15); got < 1 {
			t.Errorf("15 objects: a fraction of %.2f is served in the failure domain, want all", got)
		}
		for _, objects := range []int{27, 33, 27, 33} {
			if got := f.run(15*time.Second, objects); got < 1 {
				t.Errorf("%d objects after fewer: a fraction of %.2f is served in the failure domain, want all", objects, got)
			}
		}
		if got := f.run(15*time.Second, 60); got > 0.9 {
			t.Errorf("60 objects: a fraction of %.2f is served in the failure domain, want them spread over the region", got)
		}
		for _, objects := range []int{33, 27} {
			if got := f.run(15*time.Second, objects); got > 0.9 {
				t.Errorf("%d objects after more: a fraction of %.2f is served in the failure domain, want no change", objects, got)
			}
		}
	})
}

// TestObjectsOfNeighborsCount guards against instances of a failure domain that disagree about the number of objects because each
// has the callers of a part of them.
func TestObjectsOfNeighborsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newObjectsFleet(t)
		for range 15 {
			f.run(time.Second, 15)
			var update placement.LoadUpdate
			for n := range 60 {
				update.News = append(update.News, placement.AttemptResult{Target: "east-1-0", Object: fmt.Sprint(n), Outside: -1, Answered: true})
			}
			f.l.Merge("b", update)
		}
		if got := f.run(time.Second, 15); got > 0.9 {
			t.Errorf("a fraction of %.2f is served in the failure domain although neighbors have 60 objects, want them spread over the region", got)
		}
	})
}
