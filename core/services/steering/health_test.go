package steering_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/services/share"
	"medlarpond.dev/core/services/steering"
)

var errProbeFailed = errors.New("probe failed")

// faultResult counts the effects of broken targets on requests.
type faultResult struct {
	// wasted counts the attempts at broken targets, failed the requests of which every attempt failed.
	wasted, failed int
	// recovery is the time from the end of the fault to the first response of the last broken target to recover; zero
	// if none responded again.
	recovery time.Duration
}

// simulateFaults sends 200 requests a second for a minute, with up to two attempts each. The named targets fail from
// second 10 to second 30. If probes is true, suspect targets are probed.
func simulateFaults(t *testing.T, breaker steering.Breaker, probes bool, broken ...string) (result faultResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		resources := append(deployments[0].resources(), newResource(resource.KindService, "desk", resource.Service{RequestTimeout: seconds(5), ProbePath: "/healthz"}))
		ti := &testInstance{health: steering.NewHealth(breaker)}
		ti.ledger = share.NewLedger(func() { ti.Notify() })
		ti.Steering = steering.New(deployments[0].place(0), ti.ledger, ti.ledger.RequestUnits, ti.health)
		ti.configure(resources...)
		ctx, cancel := context.WithCancel(context.Background())
		start := time.Now()
		isBroken := func(name string) bool {
			passed := time.Since(start)
			return slices.Contains(broken, name) && passed >= 10*time.Second && passed < 30*time.Second
		}
		if probes {
			go func() {
				_ = ti.Probe(ctx, func(_ context.Context, address, _ string) error {
					if isBroken(nameOf(resources, address)) {
						return errProbeFailed
					}
					return nil
				})
			}()
		}
		answered := map[string]bool{}
		for range 60 * 200 {
			time.Sleep(5 * time.Millisecond)
			var excluded []string
			for len(excluded) < 2 {
				grant, refused := ti.Admit(ctx, steering.AdmissionRequest{Configuration: ti.configuration, Service: "desk", Excluded: excluded})
				if refused != nil {
					t.Fatal(refused)
				}
				began := time.Now()
				if isBroken(grant.Target.Name) {
					result.wasted++
					excluded = append(excluded, grant.Target.Name)
					ti.health.Report(grant.Target.Name, steering.OutcomeFailed, began)
					grant.Release()
					continue
				}
				ti.health.Report(grant.Target.Name, steering.OutcomeAnswered, began)
				if sinceFault := time.Since(start) - 30*time.Second; sinceFault >= 0 && slices.Contains(broken, grant.Target.Name) && !answered[grant.Target.Name] {
					answered[grant.Target.Name] = true
					result.recovery = sinceFault
				}
				time.AfterFunc(60*time.Millisecond, grant.Release)
				break
			}
			if len(excluded) == 2 {
				result.failed++
			}
		}
		cancel()
		time.Sleep(time.Second)
	})
	return result
}

func nameOf(resources []resource.Resource, address string) string {
	for _, r := range resources {
		if target, ok := r.Spec.(resource.Target); ok && target.Address == address {
			return r.Name
		}
	}
	return ""
}

// TestBreakers compares ways to handle failing targets: no health tracking, a breaker that opens for a fixed 30 s
// after three failures, and DefaultBreaker without and with probes. DefaultBreaker with probes must waste fewer
// attempts than no tracking, and targets must recover no later than with the fixed breaker.
func TestBreakers(t *testing.T) {
	fixedBreaker := steering.Breaker{Threshold: 3, Cooldown: 30 * time.Second, MaxCooldown: 30 * time.Second}
	for _, broken := range [][]string{{"t00"}, {"t00", "t06"}, {"t00", "t03", "t06", "t09", "t12", "t15", "t18"}} {
		without := simulateFaults(t, steering.Breaker{}, false, broken...)
		fixed := simulateFaults(t, fixedBreaker, false, broken...)
		doubling := simulateFaults(t, steering.DefaultBreaker(), false, broken...)
		probed := simulateFaults(t, steering.DefaultBreaker(), true, broken...)
		t.Logf("%d broken targets: no health tracking %+v, fixed 30 s %+v, doubling %+v, doubling with probes %+v", len(broken), without, fixed, doubling, probed)
		if probed.wasted >= without.wasted || probed.failed > without.failed {
			t.Errorf("%d broken targets: got %+v with breaker and probes, want fewer wasted attempts and no more failed requests than without: %+v", len(broken), probed, without)
		}
		if probed.recovery > fixed.recovery && fixed.recovery > 0 {
			t.Errorf("%d broken targets: got recovery after %v, want at most %v as with the fixed cooldown", len(broken), probed.recovery, fixed.recovery)
		}
	}
}

// TestProbe checks that only suspect targets are probed, that a probe holds a slot, and that no probe is sent while
// no slot is free.
func TestProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newResource(resource.KindService, "desk", resource.Service{RequestTimeout: seconds(5), ProbePath: "/healthz"})
		ti := newTestInstance(append(baseResources(), service)...)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		account := share.Account{Kind: share.KindTarget, Name: "t2"}
		var probed []string
		go func() {
			_ = ti.Probe(ctx, func(_ context.Context, address, _ string) error {
				probed = append(probed, address)
				if free := ti.ledger.FreeUnits(account); free != 2 {
					t.Errorf("got %d free slots during a probe, want 2", free)
				}
				return nil
			})
		}()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if len(probed) != 0 {
			t.Fatalf("got probes to %v, want none without a suspect target", probed)
		}
		for range 3 {
			if !ti.ledger.Acquire(account) {
				t.Fatal("Acquire failed, want 3 free slots")
			}
		}
		ti.health.Report("t2", steering.OutcomeFailed, time.Now())
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if len(probed) != 0 {
			t.Fatalf("got probes to %v, want none without a free slot", probed)
		}
		for range 3 {
			ti.ledger.Release(account)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if want := []string{"192.0.2.2:80", "192.0.2.2:80", "192.0.2.2:80"}; !slices.Equal(probed, want) {
			t.Errorf("got probes to %v, want three to the suspect target until it is healthy again", probed)
		}
	})
}

// TestRegionFailure checks that when most targets of a service fail with their region, the other region serves what
// its capacity and the shift permit, fairly among teams, and that the remaining requests are refused as not run.
func TestRegionFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ti := newTestInstance(append(baseResources(),
			newResource(resource.KindService, "desk", resource.Service{RequestTimeout: seconds(5), QueueTimeout: seconds(0.1)}),
			newResource(resource.KindShift, "move", resource.Shift{Service: "desk", From: "r1", To: "r2", Cap: 40}))...)
		time.Sleep(time.Second)
		var mu sync.Mutex
		served := map[string]int{}
		running, total := 0, 0
		for n := range 2000 {
			time.Sleep(5 * time.Millisecond)
			team := []string{"late", "riders"}[n%2]
			go func() {
				grant, refused := ti.admit(time.Second, team)
				if grant == nil {
					if !refused.NotRun {
						t.Errorf("got refusal %v, want one that says that the request was not run", refused)
					}
					return
				}
				began := time.Now()
				if grant.Target.Region == "r1" {
					ti.health.Report(grant.Target.Name, steering.OutcomeFailed, began)
					grant.Cancel()
					return
				}
				mu.Lock()
				if running++; running > 3 {
					t.Errorf("got %d concurrent requests in the other region, want at most 3", running)
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
				mu.Lock()
				running--
				total++
				served[team]++
				mu.Unlock()
				ti.health.Report(grant.Target.Name, steering.OutcomeAnswered, began)
				grant.Release()
			}()
			synctest.Wait()
		}
		time.Sleep(time.Second)
		if total > 40*11 || total < 40*10*8/10 {
			t.Errorf("got %d requests served in 10 s by a shift of 40 per second, want 320 to 440", total)
		}
		if served["late"] < total/4 {
			t.Errorf("got %v requests served, want at least a quarter for the team late, which has a third of the weight", served)
		}
	})
}

// TestHealthResetOnReAddedTarget checks that a target that is removed and added again starts without its old
// outcomes.
func TestHealthResetOnReAddedTarget(t *testing.T) {
	ti := newTestInstance(baseResources()...)
	for range 3 {
		ti.health.Report("t1", steering.OutcomeFailed, time.Now())
	}
	choose := func() string {
		grant, refused := ti.admit(time.Second, "")
		if refused != nil {
			t.Fatal(refused)
		}
		defer grant.Release()
		return grant.Target.Name
	}
	if got := choose(); got != "t2" {
		t.Errorf("got %s, want the next target while t1 is ejected", got)
	}
	ti.configure(slices.DeleteFunc(baseResources(), func(r resource.Resource) bool { return r.Name == "t1" })...)
	ti.configure(baseResources()...)
	if got := choose(); got != "t1" {
		t.Errorf("got %s, want t1 after it was added again", got)
	}
}
