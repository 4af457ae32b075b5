package allowance_test

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"medlarpond.dev/core/models/intent"
	"medlarpond.dev/core/services/allowance"
)

// TestKillOfAllDoesNotRenewTheLimit guards against a part of a limit that is used twice: by processes that are killed while a team
// sends some times its rate, and by their successors, which do not know what the processes have admitted.
func TestKillOfAllDoesNotRenewTheLimit(t *testing.T) {
	const instances = 7
	for _, team := range []intent.Team{
		{Name: "small", Rate: 4, Burst: 4},
		{Name: "medium", Rate: 30, Burst: 30},
		{Name: "large", Rate: 120, Burst: 120},
		{Name: "without burst", Rate: 60},
	} {
		for _, factor := range []float64{1.3, 2.6, 7.5} {
			worst := 0
			for before := 200 * time.Millisecond; before < 9*time.Second; before += 400 * time.Millisecond {
				synctest.Test(t, func(*testing.T) {
					f := newTestFleet(instances)
					time.Sleep(2 * window)
					f.sendSteadily(team, factor*team.Rate/instances, before)
					for i := range f.limiters {
						f.restart(i)
					}
					f.sendSteadily(team, factor*team.Rate/instances, 6*time.Second)
					worst = max(worst, worstWindow(f.admitted))
				})
			}
			if float64(worst) > maxRequests(team) {
				t.Errorf("team %s at %.1f times its rate: got %d requests in a window around a kill, want at most %.0f", team.Name, factor, worst,
					maxRequests(team))
			}
		}
	}
}

// TestLimitHoldsAcrossRandomKills checks all sliding windows while a team sends any load to fleets of any size, and processes are
// killed alone and together, some of them again soon after.
func TestLimitHoldsAcrossRandomKills(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(rt, "instances")
		// Smaller parts are shared among instances.
		rate := float64(n) * rapid.Float64Range(0.7, 10).Draw(rt, "rate of an instance")
		team := intent.Team{Name: "t", Rate: rate, Burst: rate * rapid.Float64Range(0, 2).Draw(rt, "burst")}
		demand := rapid.SliceOfN(rapid.IntRange(0, 30), 80, 80).Draw(rt, "demand of an instance")
		killed := rapid.SliceOfN(rapid.IntRange(0, 20), 80, 80).Draw(rt, "killed")
		worst := 0
		synctest.Test(t, func(*testing.T) {
			f := newTestFleet(n)
			time.Sleep(2 * window)
			for step := range demand {
				// Few steps kill: all processes, or every second one.
				if every := killed[step]; every == 1 || every == 2 {
					for i := 0; i < n; i += every {
						f.restart(i)
					}
				}
				for i := range n {
					f.send(team, i, demand[step])
				}
				time.Sleep(100 * time.Millisecond)
			}
			worst = worstWindow(f.admitted)
		})
		if float64(worst) > maxRequests(team) {
			rt.Fatalf("got %d requests in a window, want at most %.1f", worst, maxRequests(team))
		}
	})
}

// TestRestartedProcessServesTeamsWithinTheirRate guards against a limit around restarts that is kept by refusing a team whose requests
// are within its rate.
func TestRestartedProcessServesTeamsWithinTheirRate(t *testing.T) {
	const instances = 7
	synctest.Test(t, func(t *testing.T) {
		team := intent.Team{Name: "t", Rate: 60, Burst: 60}
		f := newTestFleet(instances)
		time.Sleep(2 * window)
		f.sendSteadily(team, 0.8*team.Rate/instances, 4*time.Second)
		for i := range f.limiters {
			f.restart(i)
		}
		before := len(f.admitted)
		f.sendSteadily(team, 0.8*team.Rate/instances, 4*time.Second)
		if got, sent := len(f.admitted)-before, 0.8*team.Rate*4; float64(got) < 0.95*sent {
			t.Errorf("got %d of %.0f requests in 4 s after a restart, want 95%%", got, sent)
		}
	})
}

// TestKillsDoNotRenewTheRetryBudget guards against a reserve of retries that each process after a kill has anew: instances are killed
// several times within the time for which retries are counted, while all requests of a service with little traffic fail.
func TestKillsDoNotRenewTheRetryBudget(t *testing.T) {
	// The operators permit a fifth of the requests and 62 retries.
	const ratio, slack, requests = 0.2, 62.0, 140
	for _, instances := range []int{1, 7, 36} {
		for _, kills := range []int{0, 1, 2, 4} {
			retries := 0
			for range kills + 1 {
				budgets := make([]*allowance.RetryBudget, instances)
				for i := range budgets {
					budgets[i] = allowance.NewRetryBudget(retryPolicy(ratio, slack))
					budgets[i].SetInstances(instances)
				}
				for n := range requests / (kills + 1) {
					b := budgets[n%instances]
					b.Deposit("orders")
					for b.Withdraw("orders") {
						retries++
					}
				}
			}
			if limit := ratio*requests + slack; float64(retries) > limit {
				t.Errorf("%d instances, %d kills: got %d retries for %d requests, want at most %.0f", instances, kills, retries, requests, limit)
			}
		}
	}
}

// testFleet is the rate limiters of instances that share their limits equally.
type testFleet struct {
	limiters []*allowance.RateLimiter
	// admitted holds the times of the requests that were admitted.
	admitted []time.Time
}

func newTestFleet(n int) *testFleet {
	f := &testFleet{limiters: make([]*allowance.RateLimiter, n)}
	for i := range n {
		f.restart(i)
	}
	return f
}

// restart replaces the process of an instance.
func (f *testFleet) restart(i int) {
	f.limiters[i] = allowance.New(policy)
	f.limiters[i].SetInstances(len(f.limiters))
}

// send sends requests of a team to an instance.
func (f *testFleet) send(team intent.Team, instance, requests int) {
	for range requests {
		if ok, _ := f.limiters[instance].Allow(team); ok {
			f.admitted = append(f.admitted, time.Now())
		}
	}
}

// sendSteadily sends requests of a team to each instance at a rate per second.
func (f *testFleet) sendSteadily(team intent.Team, rate float64, d time.Duration) {
	start, sent := time.Now(), 0
	for time.Since(start) < d {
		time.Sleep(10 * time.Millisecond)
		due := int(rate * time.Since(start).Seconds())
		for i := range f.limiters {
			f.send(team, i, due-sent)
		}
		sent = due
	}
}

// retryPolicy returns the policy of an edge instance for the limit of the operators.
func retryPolicy(ratio, slack float64) allowance.RetryPolicy {
	return allowance.RetryPolicy{Ratio: 0.75 * ratio, Reserve: 0.5 * slack}
}
