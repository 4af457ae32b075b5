package steering_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/modules/refusal"
	"medlarpond.dev/core/services/share"
	"medlarpond.dev/core/services/steering"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var localPlace = steering.Place{Region: "r1", FailureDomain: "r1-a"}

func newResource(kind resource.Kind, name string, spec any) resource.Resource {
	return resource.Resource{Kind: kind, Name: name, Spec: spec}
}

func seconds(s float64) resource.Duration { return resource.Duration(s * float64(time.Second)) }

// baseResources returns a service with two targets in the local region and one in another.
func baseResources() []resource.Resource {
	return []resource.Resource{
		newResource(resource.KindRegion, "r1", resource.Region{Capacity: 5}),
		newResource(resource.KindRegion, "r2", resource.Region{Capacity: 5}),
		newResource(resource.KindFailureDomain, "r1-a", resource.FailureDomain{Region: "r1", Capacity: 2}),
		newResource(resource.KindFailureDomain, "r1-b", resource.FailureDomain{Region: "r1"}),
		newResource(resource.KindFailureDomain, "r2-a", resource.FailureDomain{Region: "r2"}),
		newResource(resource.KindLink, "there", resource.Link{From: "r1", To: "r2", BytesPerSecond: 100_000}),
		newResource(resource.KindService, "desk", resource.Service{RequestTimeout: seconds(5), QueueTimeout: seconds(1), RequestBytes: 1000}),
		newResource(resource.KindShift, "move", resource.Shift{Service: "desk", From: "r1", To: "r2", Cap: 100}),
		newResource(resource.KindTarget, "t1", resource.Target{Service: "desk", FailureDomain: "r1-a", Slots: 3, Address: "192.0.2.1:80"}),
		newResource(resource.KindTarget, "t2", resource.Target{Service: "desk", FailureDomain: "r1-b", Slots: 3, Address: "192.0.2.2:80"}),
		newResource(resource.KindTarget, "t3", resource.Target{Service: "desk", FailureDomain: "r2-a", Slots: 3, Address: "192.0.2.3:80"}),
		newResource(resource.KindTeam, "lawns", resource.Team{Rate: 100, Burst: 20, Weight: 1}),
		newResource(resource.KindTeam, "riders", resource.Team{Rate: 1000, Burst: 200, Weight: 2}),
		newResource(resource.KindTeam, "late", resource.Team{Rate: 1000, Burst: 200, Weight: 1}),
	}
}

// testInstance is the only instance of its fleet.
type testInstance struct {
	*steering.Steering
	ledger        *share.Ledger
	health        *steering.Health
	configuration steering.Configuration
}

func newTestInstance(resources ...resource.Resource) *testInstance {
	ti := &testInstance{health: steering.NewHealth(steering.DefaultBreaker())}
	ti.ledger = share.NewLedger(func() { ti.Notify() })
	ti.Steering = steering.New(localPlace, ti.ledger, func([]share.Account, int) {}, ti.health)
	ti.configure(resources...)
	return ti
}

func (ti *testInstance) configure(resources ...resource.Resource) {
	ti.configuration = steering.Configuration{Snapshot: resource.NewSnapshotOf(resources), Revision: ti.configuration.Revision + 1}
	ti.Configure(ti.configuration)
}

func (ti *testInstance) admit(timeout time.Duration, team string) (*steering.Grant, *refusal.Refusal) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return ti.Admit(ctx, steering.AdmissionRequest{Configuration: ti.configuration, Service: "desk", Team: team})
}

func reasonOf(r *refusal.Refusal) refusal.Reason {
	if r == nil {
		return ""
	}
	return r.Reason
}

func TestLimits(t *testing.T) {
	limits := steering.Limits(resource.NewSnapshotOf(baseResources()))
	for account, want := range map[share.Account]share.Limit{
		{Kind: share.KindTeam, Name: "lawns"}:         {Rate: 100, Burst: 20},
		{Kind: share.KindTarget, Name: "t3"}:          {Units: 3, Hold: 7 * time.Second, Region: "r2"},
		{Kind: share.KindRegion, Name: "r1"}:          {Units: 5, Hold: 7 * time.Second, Region: "r1"},
		{Kind: share.KindFailureDomain, Name: "r1-a"}: {Units: 2, Hold: 7 * time.Second, Region: "r1"},
		{Kind: share.KindShift, Name: "move"}:         {Rate: 90, Burst: 10},
		{Kind: share.KindLink, Name: "there"}:         {Rate: 90_000, Burst: 10_000},
		{Kind: share.KindFailureDomain, Name: "r1-b"}: {},
	} {
		if limits[account] != want {
			t.Errorf("%v: got %+v, want %+v", account, limits[account], want)
		}
	}
}

// TestShiftRamp checks that the requests that a shift moves grow with its pace and never exceed its ramp or its cap.
func TestShiftRamp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		resources := baseResources()[:12]
		for i, r := range resources {
			switch r.Name {
			case "t1", "t2":
				resources[i].Spec = resource.Target{Service: "other", FailureDomain: "r1-a", Slots: 3, Address: "192.0.2.1:80"}
			case "t3":
				resources[i].Spec = resource.Target{Service: "desk", FailureDomain: "r2-a", Slots: 100, Address: "192.0.2.3:80"}
			case "r2":
				resources[i].Spec = resource.Region{Capacity: 100}
			case "move":
				resources[i].Spec = resource.Shift{Service: "desk", From: "r1", To: "r2", Cap: 40, Pace: 10}
			}
		}
		resources = append(resources, newResource(resource.KindTeam, "riders", resource.Team{Rate: 1000, Burst: 200, Weight: 1}),
			newResource(resource.KindService, "other", resource.Service{RequestTimeout: seconds(5)}),
			newResource(resource.KindService, "desk", resource.Service{RequestTimeout: seconds(5)}))
		ti := newTestInstance(resources...)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			_ = ti.Run(ctx, func() steering.Configuration { return ti.configuration }, func() <-chan struct{} { return nil })
		}()
		for second := 1; second <= 8; second++ {
			admitted := 0
			for range 200 {
				time.Sleep(5 * time.Millisecond)
				if grant, _ := ti.admit(time.Second, "riders"); grant != nil {
					admitted++
					grant.Release()
				}
			}
			if limit := min(40, 10*second); admitted > limit {
				t.Errorf("second %d: got %d requests moved, want at most %d", second, admitted, limit)
			}
			if least := min(40, 10*(second-1)) / 2; admitted < least {
				t.Errorf("second %d: got %d requests moved, want at least %d", second, admitted, least)
			}
		}
	})
}

// TestColdRamp checks that the slots of an added target grow step by step.
func TestColdRamp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		resources := append(baseResources(), newResource(resource.KindService, "desk", resource.Service{RequestTimeout: seconds(5), ColdRamp: seconds(10)}))
		ti := newTestInstance(resources...)
		cold := share.Account{Kind: share.KindTarget, Name: "t4"}
		ti.configure(append(resources, newResource(resource.KindTarget, "t4", resource.Target{Service: "desk", FailureDomain: "r1-a", Slots: 4, Address: "192.0.2.4:80"}))...)
		for second, want := range []int{1, 1, 1, 1, 1, 2, 2, 2, 3, 3, 4} {
			if free := ti.ledger.FreeUnits(cold); free != want {
				t.Errorf("after %d s: got %d slots, want %d", second, free, want)
			}
			time.Sleep(time.Second)
			ti.Configure(ti.configuration)
		}
		if warm := ti.ledger.FreeUnits(share.Account{Kind: share.KindTarget, Name: "t1"}); warm != 3 {
			t.Errorf("got %d slots for a target that existed before, want 3", warm)
		}
	})
}

// TestRefusals checks that each cause of a refusal has its own reason and that requests are refused as early as
// possible.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name     string
		override []resource.Resource
		team     string
		timeout  time.Duration
		occupied int
		want     refusal.Reason
		maxWait  time.Duration
	}{
		{"served", nil, "riders", time.Second, 0, "", 0},
		{"rate exceeded", []resource.Resource{newResource(resource.KindTeam, "riders", resource.Team{Rate: 0.1, Burst: 1, Weight: 1})}, "riders", 5 * time.Second, 0, refusal.RateExceeded, time.Second},
		{"no free slot", nil, "riders", 5 * time.Second, 8, refusal.Overloaded, time.Second},
		{"no free slot and short deadline", nil, "riders", 100 * time.Millisecond, 8, refusal.DeadlineTooShort, 100 * time.Millisecond},
		{"deadline too short", nil, "riders", time.Millisecond, 0, refusal.DeadlineTooShort, 0},
		{"no target", []resource.Resource{newResource(resource.KindService, "desk", resource.Service{RequestTimeout: seconds(5), QueueTimeout: seconds(1), Regions: []string{"r9"}})}, "riders", time.Second, 0, refusal.NoTarget, 0},
		{"no queue timeout", []resource.Resource{newResource(resource.KindService, "desk", resource.Service{RequestTimeout: seconds(5)})}, "riders", 5 * time.Second, 8, refusal.Overloaded, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ti := newTestInstance(append(baseResources(), test.override...)...)
				time.Sleep(time.Second)
				for range test.occupied {
					if grant, refused := ti.admit(time.Second, ""); grant == nil {
						t.Fatalf("cannot occupy all slots: %v", refused)
					}
				}
				start := time.Now()
				_, refused := ti.admit(test.timeout, test.team)
				if reasonOf(refused) != test.want || time.Since(start) > test.maxWait {
					t.Errorf("got %v after %v, want %q within %v", refused, time.Since(start), test.want, test.maxWait)
				}
				if refused != nil && !refused.NotRun {
					t.Error("got a refusal with NotRun false, want true")
				}
			})
		})
	}
}

// TestWait checks that a request waits for a slot or a token instead of being refused.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ti := newTestInstance(baseResources()...)
		time.Sleep(time.Second)
		var held []*steering.Grant
		for range 8 {
			grant, _ := ti.admit(time.Second, "")
			held = append(held, grant)
		}
		time.AfterFunc(300*time.Millisecond, held[3].Release)
		start := time.Now()
		grant, refused := ti.admit(5*time.Second, "riders")
		if grant == nil || time.Since(start) != 300*time.Millisecond {
			t.Fatalf("got %v after %v, want a grant after 300ms, when a slot becomes free", refused, time.Since(start))
		}
		grant.Release()
		for range 20 {
			if grant, _ := ti.admit(time.Second, "lawns"); grant != nil {
				grant.Release()
			}
		}
		start = time.Now()
		grant, refused = ti.admit(time.Second, "lawns")
		if grant == nil || time.Since(start) > 50*time.Millisecond {
			t.Fatalf("got %v after %v, want a grant within 50ms, when a token is available", refused, time.Since(start))
		}
	})
}

// TestFairness checks that waiting teams are served in proportion to their weights, whatever the length of their
// queues.
func TestFairness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ti := newTestInstance(baseResources()...)
		time.Sleep(time.Second)
		var mu sync.Mutex
		served := map[string]int{}
		var group sync.WaitGroup
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		for team, callers := range map[string]int{"riders": 40, "late": 200} {
			for range callers {
				group.Go(func() {
					for ctx.Err() == nil {
						grant, _ := ti.admit(3*time.Second, team)
						if grant == nil {
							time.Sleep(10 * time.Millisecond)
							continue
						}
						time.Sleep(40 * time.Millisecond)
						grant.Release()
						mu.Lock()
						served[team]++
						mu.Unlock()
					}
				})
			}
		}
		group.Wait()
		total := served["riders"] + served["late"]
		if total < 380 {
			t.Errorf("got %d requests served in 2 s on 8 slots at 40 ms each, want at least 380", total)
		}
		if least := float64(total) * 2 / 3 * 0.95; float64(served["riders"]) < least {
			t.Errorf("got %d of %d requests served for the team with weight 2 of 3, want at least 95%% of its share", served["riders"], total)
		}
	})
}

// TestDistance checks that the nearest free target is chosen, and that ejected and excluded targets are not.
func TestDistance(t *testing.T) {
	ti := newTestInstance(baseResources()...)
	choose := func(excluded ...string) string {
		grant, refused := ti.Admit(context.Background(), steering.AdmissionRequest{Configuration: ti.configuration, Service: "desk", Excluded: excluded})
		if refused != nil {
			return string(refused.Reason)
		}
		defer grant.Release()
		return grant.Target.Name
	}
	fail := func(target string) {
		for range 3 {
			ti.health.Report(target, steering.OutcomeFailed, time.Now())
		}
	}
	if got := choose(); got != "t1" {
		t.Errorf("got %s, want the target of the same failure domain", got)
	}
	if got := choose("t1"); got != "t2" {
		t.Errorf("got %s, want the target of the same region", got)
	}
	fail("t1")
	if got := choose(); got != "t2" {
		t.Errorf("got %s, want t2, which is not ejected", got)
	}
	fail("t2")
	if got := choose("t3"); got != "t1" && got != "t2" {
		t.Errorf("got %s, want an ejected target, since most of the service is ejected", got)
	}
	if got := choose("t1", "t2", "t3"); got != string(refusal.NoTarget) {
		t.Errorf("got %s, want no-target", got)
	}
}

// TestAdmission admits and ends requests at random and compares the free units with a model of those in use.
func TestAdmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ti := newTestInstance(append(baseResources(), newResource(resource.KindService, "desk", resource.Service{RequestTimeout: seconds(5)}))...)
		inUse := map[string]int{}
		limits := map[string]int{"t1": 3, "t2": 3, "t3": 3, "r1": 5, "r2": 5, "r1-a": 2}
		var held []*steering.Grant
		count := func(g *steering.Grant, n int) {
			for _, name := range []string{g.Target.Name, g.Target.Region, g.Target.FailureDomain} {
				inUse[name] += n
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				excluded := rapid.SliceOf(rapid.SampledFrom([]string{"t1", "t2", "t3"})).Draw(t, "excluded")
				grant, _ := ti.Admit(context.Background(), steering.AdmissionRequest{Configuration: ti.configuration, Service: "desk", Excluded: excluded})
				if grant != nil {
					held = append(held, grant)
					count(grant, 1)
				} else if len(excluded) == 0 && inUse["r1"] < 5 && inUse["t2"] < 3 {
					t.Fatalf("request was refused although t2 is free; in use: %v", inUse)
				}
			},
			"end": func(t *rapid.T) {
				if len(held) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(held)-1).Draw(t, "which")
				if rapid.Bool().Draw(t, "ran") {
					held[i].Release()
				} else {
					held[i].Cancel()
				}
				held[i].Release()
				count(held[i], -1)
				held = append(held[:i], held[i+1:]...)
			},
			"": func(t *rapid.T) {
				for name, limit := range limits {
					if inUse[name] > limit {
						t.Fatalf("%s: got %d in use, want at most %d", name, inUse[name], limit)
					}
				}
				for _, name := range []string{"t1", "t2", "t3"} {
					if free := ti.ledger.FreeUnits(share.Account{Kind: share.KindTarget, Name: name}); free != limits[name]-inUse[name] {
						t.Fatalf("%s: got %d free units, want the limit minus those in use: %s", name, free, fmt.Sprint(inUse))
					}
				}
			},
		})
	})
}
