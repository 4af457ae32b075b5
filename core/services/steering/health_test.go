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

var errBroken = errors.New("broken")

// faultRun is what requests met while some targets were broken for a time.
type faultRun struct {
	// wasted counts attempts at broken targets, failed the requests that no attempt answered.
	wasted, failed int
	// back is how long after the end of the fault the last broken target answered again; zero if none did.
	back time.Duration
}

// runFaults sends 200 requests a second for a minute, up to two attempts each; the named targets are broken from second 10
// to second 30. With probes, suspects are probed.
func runFaults(t *testing.T, breaker steering.Breaker, probes bool, broken ...string) (run faultRun) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		resources := append(deployments[0].resources(), named(resource.KindService, "desk", resource.Service{RequestTimeout: seconds(5), ProbePath: "/healthz"}))
		b := &bench{health: steering.NewHealth(breaker)}
		b.ledger = share.NewLedger(func() { b.Notify() })
		b.Steering = steering.New(deployments[0].place(0), b.ledger, b.ledger.RequestUnits, b.health)
		b.put(resources...)
		ctx, cancel := context.WithCancel(context.Background())
		start := time.Now()
		isBroken := func(name string) bool {
			passed := time.Since(start)
			return slices.Contains(broken, name) && passed >= 10*time.Second && passed < 30*time.Second
		}
		if probes {
			go func() {
				_ = b.Probe(ctx, func(_ context.Context, address, _ string) error {
					if isBroken(nameOf(resources, address)) {
						return errBroken
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
				grant, refused := b.Admit(ctx, steering.Demand{Configuration: b.configuration, Service: "desk", Excluded: excluded})
				if refused != nil {
					t.Fatal(refused)
				}
				began := time.Now()
				if isBroken(grant.Target.Name) {
					run.wasted++
					excluded = append(excluded, grant.Target.Name)
					b.health.Report(grant.Target.Name, steering.OutcomeFailed, began)
					grant.Ran()
					continue
				}
				b.health.Report(grant.Target.Name, steering.OutcomeAnswered, began)
				if since := time.Since(start) - 30*time.Second; since >= 0 && slices.Contains(broken, grant.Target.Name) && !answered[grant.Target.Name] {
					answered[grant.Target.Name] = true
					run.back = since
				}
				time.AfterFunc(60*time.Millisecond, grant.Ran)
				break
			}
			if len(excluded) == 2 {
				run.failed++
			}
		}
		cancel()
		time.Sleep(time.Second)
	})
	return run
}

func nameOf(resources []resource.Resource, address string) string {
	for _, r := range resources {
		if target, ok := r.Spec.(resource.Target); ok && target.Address == address {
			return r.Name
		}
	}
	return ""
}

// TestBreakers compares ways to deal with targets that fail: no memory, a breaker that opens for 30 s after three failures,
// and the one that instances use, alone and with probes.
func TestBreakers(t *testing.T) {
	fixedBreaker := steering.Breaker{Threshold: 3, Cooldown: 30 * time.Second, MaxCooldown: 30 * time.Second}
	for _, broken := range [][]string{{"t00"}, {"t00", "t06"}, {"t00", "t03", "t06", "t09", "t12", "t15", "t18"}} {
		plain := runFaults(t, steering.Breaker{}, false, broken...)
		fixed := runFaults(t, fixedBreaker, false, broken...)
		alone := runFaults(t, steering.DefaultBreaker(), false, broken...)
		probed := runFaults(t, steering.DefaultBreaker(), true, broken...)
		t.Logf("%d broken: plain %+v, fixed 30 s %+v, doubling %+v, doubling with probes %+v", len(broken), plain, fixed, alone, probed)
		if probed.wasted >= plain.wasted || probed.failed > plain.failed {
			t.Errorf("%d broken: the breaker wastes %+v, without it %+v", len(broken), probed, plain)
		}
		if probed.back > fixed.back && fixed.back > 0 {
			t.Errorf("%d broken: back after %v, with a fixed cooldown after %v", len(broken), probed.back, fixed.back)
		}
	}
}

// TestProbe checks that only suspects are probed, that a probe holds a slot, and that none is sent where no slot is free.
func TestProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := named(resource.KindService, "desk", resource.Service{RequestTimeout: seconds(5), ProbePath: "/healthz"})
		b := newBench(append(basic(), service)...)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		account := share.Account{Kind: share.KindTarget, Name: "t2"}
		var probed []string
		go func() {
			_ = b.Probe(ctx, func(_ context.Context, address, _ string) error {
				probed = append(probed, address)
				if free := b.ledger.FreeUnits(account); free != 2 {
					t.Errorf("%d slots are free during a probe, want 2", free)
				}
				return nil
			})
		}()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if len(probed) != 0 {
			t.Fatalf("probed %v, although nothing is suspected", probed)
		}
		for range 3 {
			if !b.ledger.Acquire(account) {
				t.Fatal("a slot is taken")
			}
		}
		b.health.Report("t2", steering.OutcomeFailed, time.Now())
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if len(probed) != 0 {
			t.Fatalf("probed %v, although no slot is free", probed)
		}
		for range 3 {
			b.ledger.Release(account)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if want := []string{"192.0.2.2:80", "192.0.2.2:80", "192.0.2.2:80"}; !slices.Equal(probed, want) {
			t.Errorf("probed %v, want three probes of the suspect until it is cleared", probed)
		}
	})
}

// TestRegionFailure checks that when most targets of a service die with their region, the other region takes what capacity
// and shift permit, fairly among teams, and the rest is refused as not run.
func TestRegionFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(append(basic(),
			named(resource.KindService, "desk", resource.Service{RequestTimeout: seconds(5), QueueTimeout: seconds(0.1)}),
			named(resource.KindShift, "move", resource.Shift{Service: "desk", From: "r1", To: "r2", Cap: 40}))...)
		time.Sleep(time.Second)
		var mu sync.Mutex
		served := map[string]int{}
		running, total := 0, 0
		for n := range 2000 {
			time.Sleep(5 * time.Millisecond)
			team := []string{"late", "riders"}[n%2]
			go func() {
				grant, refused := b.admit(time.Second, team)
				if grant == nil {
					if !refused.NotRun {
						t.Errorf("refused as %v", refused)
					}
					return
				}
				began := time.Now()
				if grant.Target.Region == "r1" {
					b.health.Report(grant.Target.Name, steering.OutcomeFailed, began)
					grant.NotRun()
					return
				}
				mu.Lock()
				if running++; running > 3 {
					t.Errorf("%d requests run in the other region at once", running)
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
				mu.Lock()
				running--
				total++
				served[team]++
				mu.Unlock()
				b.health.Report(grant.Target.Name, steering.OutcomeAnswered, began)
				grant.Ran()
			}()
			synctest.Wait()
		}
		time.Sleep(time.Second)
		if total > 40*11 || total < 40*10*8/10 {
			t.Errorf("%d requests were served in 10 s by a shift of 40 a second", total)
		}
		if served["late"] < total/4 {
			t.Errorf("served %v, want at least a quarter for the team with a third of the weight", served)
		}
	})
}

// TestRemovedTarget checks that a target that is taken away and added again starts without its bad outcomes.
func TestRemovedTarget(t *testing.T) {
	b := newBench(basic()...)
	for range 3 {
		b.health.Report("t1", steering.OutcomeFailed, time.Now())
	}
	choose := func() string {
		grant, refused := b.admit(time.Second, "")
		if refused != nil {
			t.Fatal(refused)
		}
		defer grant.Ran()
		return grant.Target.Name
	}
	if got := choose(); got != "t2" {
		t.Errorf("got %s, want the next target while t1 is ejected", got)
	}
	b.put(slices.DeleteFunc(basic(), func(r resource.Resource) bool { return r.Name == "t1" })...)
	b.put(basic()...)
	if got := choose(); got != "t1" {
		t.Errorf("got %s, want t1 again", got)
	}
}
