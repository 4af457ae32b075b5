package allowance_test

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"medlarpond.dev/core/models/intent"
	"medlarpond.dev/core/services/allowance"
)

const window = 5 * time.Second

var policy = allowance.Policy{Window: window, Overrun: 0.07, Slack: 14, GrowAfter: 10 * time.Second}

// bound is what operators permit in a window: a tenth and twenty requests more than rate and burst.
func bound(t intent.Team) float64 { return (t.Rate*window.Seconds()+t.Burst)*1.1 + 20 }

// TestNoWindowExceedsTheBound lets teams press at any instances, which join, leave and die, and counts all windows.
func TestNoWindowExceedsTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(rt, "instances")
		rate := rapid.Float64Range(1, 200).Draw(rt, "rate")
		team := intent.Team{Name: "t", Rate: rate, Burst: rate * rapid.Float64Range(0, 2).Draw(rt, "burst")}
		demand := rapid.SliceOfN(rapid.IntRange(0, 40), 40, 40).Draw(rt, "demand")
		where := rapid.SliceOfN(rapid.IntRange(0, n-1), 40, 40).Draw(rt, "where")
		dies := rapid.IntRange(0, 39).Draw(rt, "dies")
		synctest.Test(t, func(*testing.T) {
			var fleet []*allowance.Allowances
			start := func() *allowance.Allowances {
				a := allowance.New(policy)
				a.SetInstances(n)
				return a
			}
			for range n {
				fleet = append(fleet, start())
			}
			var admitted []time.Time
			for step := range 40 {
				if step == dies {
					// The instance restarts at once; the others learn of its absence and return.
					for i := range fleet {
						fleet[i].SetInstances(max(1, n-1))
						fleet[i].SetInstances(n)
					}
				}
				for range demand[step] {
					if ok, _ := fleet[where[step]].Take(team); ok {
						admitted = append(admitted, time.Now())
					}
				}
				time.Sleep(250 * time.Millisecond)
			}
			for i := range admitted {
				count := 0
				for _, at := range admitted[i:] {
					if at.Sub(admitted[i]) <= window {
						count++
					}
				}
				if float64(count) > bound(team) {
					rt.Fatalf("%d requests in a window, bound %.1f", count, bound(team))
				}
			}
		})
	})
}

func TestRestartedFleetStaysWithinTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 7
		team := intent.Team{Name: "t", Rate: 60, Burst: 60}
		var admitted []time.Time
		press := func(fleet []*allowance.Allowances, d time.Duration) {
			for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
				for _, a := range fleet {
					if ok, _ := a.Take(team); ok {
						admitted = append(admitted, time.Now())
					}
				}
			}
		}
		fleet := func() (f []*allowance.Allowances) {
			for range n {
				a := allowance.New(policy)
				a.SetInstances(n)
				f = append(f, a)
			}
			return f
		}
		press(fleet(), 20*time.Second)
		time.Sleep(1200 * time.Millisecond)
		press(fleet(), 10*time.Second)
		worst := 0
		for i := range admitted {
			count := 0
			for _, at := range admitted[i:] {
				if at.Sub(admitted[i]) <= window {
					count++
				}
			}
			worst = max(worst, count)
		}
		if float64(worst) > bound(team) {
			t.Errorf("%d requests in a window around a restart, bound %.1f", worst, bound(team))
		}
	})
}

func TestPartsGrowLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		team := intent.Team{Name: "t", Rate: 100, Burst: 100}
		a := allowance.New(policy)
		a.SetInstances(10)
		time.Sleep(2 * window)
		take := func() (n int) {
			for {
				if ok, _ := a.Take(team); !ok {
					return n
				}
				n++
			}
		}
		before := take()
		a.SetInstances(5)
		time.Sleep(window + time.Millisecond)
		if got := take(); got > before {
			t.Errorf("the part grew from %d to %d before instances that left must have stopped", before, got)
		}
		time.Sleep(2 * window)
		if got := take(); got < 3*before/2 {
			t.Errorf("the part is %d after the instances have left, was %d", got, before)
		}
	})
}

func TestUnlimitedAndReturned(t *testing.T) {
	a := allowance.New(policy)
	if ok, _ := a.Take(intent.Team{Name: "free"}); !ok {
		t.Error("a team without a rate is limited")
	}
	team := intent.Team{Name: "t", Rate: 0.1, Burst: 1}
	a.SetInstances(1000)
	if ok, _ := a.Take(team); !ok {
		t.Fatal("the first request is refused")
	}
	ok, wait := a.Take(team)
	if ok || wait <= 0 || wait > window {
		t.Errorf("the second request: %v, wait %v", ok, wait)
	}
	a.Return(team)
	if ok, _ := a.Take(team); !ok {
		t.Error("a returned request cannot be used")
	}
}

// TestRetriesStayWithinTheBudget counts the repeats that instances permit together, restarts included.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	const n, ratio, reserve, requests = 7, 0.2, 62.0, 500
	repeats := 0
	for range 2 { // a fleet and its successor
		for range n {
			r := allowance.NewRetries(allowance.RetryPolicy{Ratio: ratio * 0.75, Reserve: reserve * 0.45})
			r.SetInstances(n)
			for range requests / n / 2 {
				r.Earn("orders")
				for r.Spend("orders") {
					repeats++
				}
			}
		}
	}
	if limit := ratio*requests + reserve; float64(repeats) > limit {
		t.Errorf("%d repeats of %d requests, bound %.0f", repeats, requests, limit)
	}
	if repeats < requests/10 {
		t.Errorf("only %d repeats of %d requests were permitted", repeats, requests)
	}
}
