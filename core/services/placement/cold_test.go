package placement_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"medlarpond.dev/core/services/placement"
)

// tellOfLoss tells the instances, one after the other, that the lost ones have left the list, after their leases have ended.
func (f *limitFleet) tellOfLoss(lost func(n int) bool, untilLeasesEnd time.Duration) {
	connected := func(n int) bool { return !lost(n) }
	f.run(untilLeasesEnd, connected)
	f.list(connected)
	for n := range f.fixtures {
		if connected(n) {
			f.publish(n)
			f.run(policy.OwnerTimeout/2/time.Duration(len(f.fixtures)), connected)
		}
	}
	f.run(time.Second, connected)
}

func (f *limitFleet) list(listed func(n int) bool) {
	for n := range f.fixtures {
		f.listed[n] = listed(n)
	}
}

// TestColdTargetsAreUsed guards against cold targets that stay idle because the instances that may use them get no callers, and
// against more requests than they tolerate while their owners change.
func TestColdTargetsAreUsed(t *testing.T) {
	for name, disturb := range map[string]func(f *limitFleet){
		"calm":             func(*limitFleet) {},
		"a pause, a burst": func(*limitFleet) { time.Sleep(2 * time.Second) },
		"instances die": func(f *limitFleet) {
			f.dead = map[int]bool{0: true, 5: true}
			f.tellOfLoss(func(n int) bool { return f.dead[n] }, policy.OwnerTimeout)
		},
		"instances restart": func(f *limitFleet) {
			for n := range f.fixtures {
				f.start(n)
			}
		},
		"instances restart several times": func(f *limitFleet) {
			for range 3 {
				for n := range f.fixtures {
					f.start(n)
				}
				f.run(400*time.Millisecond, always)
			}
		},
		"instances are cut off and come back": func(f *limitFleet) {
			for wave := range 2 {
				f.tellOfLoss(func(n int) bool { return n%3 <= wave }, policy.OwnerTimeout)
			}
			f.tellOfLoss(func(int) bool { return false }, 0)
		},
		"instances are replaced, and those that leave learn of it last": func(f *limitFleet) {
			for _, remainder := range []int{0, 1} {
				f.list(func(n int) bool { return n%2 == remainder })
				for _, told := range []int{remainder, 1 - remainder} {
					for n := told; n < len(f.fixtures); n += 2 {
						f.publish(n)
					}
					f.run(policy.OwnerTimeout/2, always)
				}
				f.run(policy.OwnerTimeout, always)
			}
		},
	} {
		for _, c := range []struct {
			instances int
			rate      float64
		}{{6, 0.5}, {6, 30}, {85, 2.7}, {85, 30}} {
			t.Run(fmt.Sprintf("%s/%d instances, rate %v", name, c.instances, c.rate), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					const duration = 30 * time.Second
					f, started := newFleet(c.instances, c.rate, sites...), time.Now()
					f.run(5*time.Second, always)
					disturb(f)
					f.run(duration-time.Since(started), always)
					if least, most := int(0.8*c.rate*duration.Seconds()), int(c.rate*1.5+5); f.sent < least || f.most > most {
						t.Errorf("got %d requests in %v and %d in a second, want at least %d and at most %d", f.sent, duration, f.most, least, most)
					}
				})
			})
		}
	}
}

// TestOwnerWithoutStore guards against an owner that has lost the store, or is just back, and uses a cold target together with
// those that have taken its place.
func TestOwnerWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 10, east1)
		for _, phase := range []struct {
			duration  time.Duration
			connected bool
			used      bool
		}{
			{policy.OwnerTimeout, true, true},
			{policy.OwnerTimeout, false, true},
			{time.Second, false, false},
			{policy.OwnerTimeout, true, false},
			{time.Second, true, true},
		} {
			before := f.sent
			f.run(phase.duration, func(int) bool { return phase.connected })
			if used := f.sent > before+1; used != phase.used {
				t.Errorf("%v with contact %v: got a use of %v, want %v", phase.duration, phase.connected, used, phase.used)
			}
		}
	})
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
					t.Errorf("%d instances, limit %v: got %d requests, want at least %.0f", instances, limit, f.sent, least)
				}
			})
		}
	}
}
