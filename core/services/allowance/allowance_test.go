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

// maxRequests is the number of requests that operators permit in a window: rate and burst plus a tenth, plus 20
// requests.
func maxRequests(t intent.Team) float64 { return (t.Rate*window.Seconds()+t.Burst)*1.1 + 20 }

// TestRateLimitHoldsInEveryWindow checks all sliding windows while a team sends any load to any instances and one
// instance restarts.
func TestRateLimitHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(rt, "instances")
		rate := rapid.Float64Range(1, 200).Draw(rt, "rate")
		team := intent.Team{Name: "t", Rate: rate, Burst: rate * rapid.Float64Range(0, 2).Draw(rt, "burst")}
		demand := rapid.SliceOfN(rapid.IntRange(0, 40), 40, 40).Draw(rt, "demand")
		instance := rapid.SliceOfN(rapid.IntRange(0, n-1), 40, 40).Draw(rt, "where")
		restartStep := rapid.IntRange(0, 39).Draw(rt, "dies")
		synctest.Test(t, func(*testing.T) {
			var fleet []*allowance.RateLimiter
			newInstance := func() *allowance.RateLimiter {
				a := allowance.New(policy)
				a.SetInstances(n)
				return a
			}
			for range n {
				fleet = append(fleet, newInstance())
			}
			var admitted []time.Time
			for step := range 40 {
				if step == restartStep {
					// The instance restarts immediately; the others observe that it leaves and joins again.
					for i := range fleet {
						fleet[i].SetInstances(max(1, n-1))
						fleet[i].SetInstances(n)
					}
				}
				for range demand[step] {
					if ok, _ := fleet[instance[step]].Allow(team); ok {
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
				if float64(count) > maxRequests(team) {
					rt.Fatalf("got %d requests in a window, want at most %.1f", count, maxRequests(team))
				}
			}
		})
	})
}

func TestRateLimitHoldsAcrossRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 7
		team := intent.Team{Name: "t", Rate: 60, Burst: 60}
		var admitted []time.Time
		sendRequests := func(fleet []*allowance.RateLimiter, d time.Duration) {
			for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
				for _, a := range fleet {
					if ok, _ := a.Allow(team); ok {
						admitted = append(admitted, time.Now())
					}
				}
			}
		}
		newFleet := func() (f []*allowance.RateLimiter) {
			for range n {
				a := allowance.New(policy)
				a.SetInstances(n)
				f = append(f, a)
			}
			return f
		}
		sendRequests(newFleet(), 20*time.Second)
		time.Sleep(1200 * time.Millisecond)
		sendRequests(newFleet(), 10*time.Second)
		worst := worstWindow(admitted)
		if float64(worst) > maxRequests(team) {
			t.Errorf("got %d requests in a window around a restart, want at most %.1f", worst, maxRequests(team))
		}
	})
}

func TestLimitGrowsOnlyAfterDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		team := intent.Team{Name: "t", Rate: 100, Burst: 100}
		a := allowance.New(policy)
		a.SetInstances(10)
		time.Sleep(2 * window)
		takeAll := func() (n int) {
			for {
				if ok, _ := a.Allow(team); !ok {
					return n
				}
				n++
			}
		}
		before := takeAll()
		a.SetInstances(5)
		time.Sleep(window + time.Millisecond)
		if got := takeAll(); got > before {
			t.Errorf("the limit grew from %d to %d before GrowAfter", before, got)
		}
		time.Sleep(2 * window)
		if got := takeAll(); got < 3*before/2 {
			t.Errorf("the limit is %d after half of the instances left, was %d; want growth by at least half", got, before)
		}
	})
}

func TestUnlimitedTeamAndRefundedRequest(t *testing.T) {
	a := allowance.New(policy)
	if ok, _ := a.Allow(intent.Team{Name: "free"}); !ok {
		t.Error("Allow refused a request of a team without a rate")
	}
	team := intent.Team{Name: "t", Rate: 0.1, Burst: 1}
	a.SetInstances(1000)
	if ok, _ := a.Allow(team); !ok {
		t.Fatal("Allow refused the first request")
	}
	ok, wait := a.Allow(team)
	if ok || wait <= 0 || wait > window {
		t.Errorf("the second request: got %v, wait %v; want false and a wait within the window", ok, wait)
	}
	a.Refund(team)
	if ok, _ := a.Allow(team); !ok {
		t.Error("Allow refused a request after Refund")
	}
}

// TestRetriesStayWithinBudget counts the retries that all instances permit together, including a restart of all.
func TestRetriesStayWithinBudget(t *testing.T) {
	const n, ratio, reserve, requests = 7, 0.2, 62.0, 500
	retries := 0
	for range 2 { // before and after the restart
		for range n {
			r := allowance.NewRetryBudget(allowance.RetryPolicy{Ratio: ratio * 0.75, Reserve: reserve * 0.45})
			r.SetInstances(n)
			for range requests / n / 2 {
				r.Deposit("orders")
				for r.Withdraw("orders") {
					retries++
				}
			}
		}
	}
	if limit := ratio*requests + reserve; float64(retries) > limit {
		t.Errorf("got %d retries for %d requests, want at most %.0f", retries, requests, limit)
	}
	if retries < requests/10 {
		t.Errorf("got only %d retries for %d requests, want at least a tenth", retries, requests)
	}
}

// TestRestartDoesNotRenewTheLimit guards against a share that is used twice: by a process that is killed while a team sends many times
// its rate, and by its successor, which does not know what the process has admitted.
func TestRestartDoesNotRenewTheLimit(t *testing.T) {
	const n, killed = 7, 4
	team := intent.Team{Name: "t", Rate: 120, Burst: 120}
	for before := 100 * time.Millisecond; before < 9*time.Second; before += 300 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			fleet := make([]*allowance.RateLimiter, n)
			start := func(i int) {
				fleet[i] = allowance.New(policy)
				fleet[i].SetInstances(n)
			}
			for i := range fleet {
				start(i)
			}
			var admitted []time.Time
			send := func(d time.Duration, first int) {
				for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
					for _, a := range fleet[first:] {
						if ok, _ := a.Allow(team); ok {
							admitted = append(admitted, time.Now())
						}
					}
				}
			}
			time.Sleep(2 * window)
			send(before, 0)
			send(500*time.Millisecond, killed)
			for i := range killed {
				start(i)
			}
			since := len(admitted)
			send(6*time.Second, 0)
			if got := worstWindow(admitted); float64(got) > maxRequests(team) {
				t.Errorf("got %d requests in a window around a restart after %v, want at most %.0f", got, before, maxRequests(team))
			}
			if got := len(admitted) - since; got < 550 {
				t.Errorf("got %d requests in 6 s after the restart, want at least 550", got)
			}
		})
	}
}

// worstWindow returns the largest number of requests in a window.
func worstWindow(admitted []time.Time) (worst int) {
	first := 0
	for i, at := range admitted {
		for at.Sub(admitted[first]) > window {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// TestResumedLimitStartsEmpty guards against a team that uses its whole limit a second time as the equal split applies to it again: other
// instances may have used the share just before.
func TestResumedLimitStartsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		team := intent.Team{Name: "t", Rate: 100, Burst: 100}
		a := allowance.New(policy)
		a.SetInstances(10)
		time.Sleep(2 * window)
		a.Resume(team.Name, time.Now().Add(time.Second), 10)
		var admitted []time.Time
		for range 600 {
			if ok, _ := a.Allow(team); ok {
				admitted = append(admitted, time.Now())
			}
			time.Sleep(10 * time.Millisecond)
		}
		// Ten requests per second for 5 s, after the second in which nothing is admitted.
		if got := len(admitted); got < 45 || got > 51 {
			t.Errorf("got %d requests in 6 s, want about 50", got)
		}
		if got := admitted[0].Sub(admitted[len(admitted)-1]); got < -5*time.Second {
			t.Errorf("the first request was admitted %v before the last one, want at most 5s", -got)
		}
	})
}
