package placement_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"medlarpond.dev/core/services/placement"
)

// TestScopeFollowsNumberOfObjects guards against objects that are spread over failure domains although there is room for all of
// them in each, against the reverse, against objects that move back and forth when their number varies, and against instances that
// count only the objects of their own callers. 150 slots can run a request for each of 30 objects and five failure domains at once.
func TestScopeFollowsNumberOfObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.addTargets(10, sites...)
		learning, l := policy, placement.NewLoadTracker()
		learning.Objects = 0
		p := placement.New(f.state, "a", east1, sites, learning, l)
		for n, phase := range []struct {
			objects, neighborObjects int
			duration                 time.Duration
			allLocal                 bool
		}{
			{15, 0, 5 * time.Second, false}, // 40 objects are assumed at first
			{15, 0, 15 * time.Second, true},
			{33, 0, 15 * time.Second, true},
			{27, 0, 15 * time.Second, true},
			{60, 0, 15 * time.Second, false},
			{27, 0, 15 * time.Second, false},
			{15, 0, 15 * time.Second, true},
			{15, 60, 15 * time.Second, false},
		} {
			local, count := 0, 0
			for elapsed := time.Duration(0); elapsed < phase.duration; elapsed += 200 * time.Millisecond {
				local, count = 0, phase.objects
				for object := range phase.objects {
					if choose(t, p, l, query(fmt.Sprint(object))).Place == east1 {
						local++
					}
				}
				var update placement.LoadUpdate
				for object := range phase.neighborObjects {
					update.News = append(update.News, placement.AttemptResult{Target: "east-1-0", Object: fmt.Sprint(object), Outside: -1, Answered: true})
				}
				l.Merge("b", update)
				time.Sleep(200 * time.Millisecond)
			}
			if (local == count) != phase.allLocal {
				t.Errorf("phase %d, %+v: got %d of %d objects in the failure domain, want all: %v", n, phase, local, count, phase.allLocal)
			}
		}
	})
}
