package share_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"medlarpond.dev/core/services/share"
)

// TestMain fixes the seed and the number of checks, unless the command line sets others.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "10")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

var (
	teamAccount    = share.Account{Kind: share.KindTeam, Name: "lawns"}
	smallBurstTeam = share.Account{Kind: share.KindTeam, Name: "yards"}
	targetAccount  = share.Account{Kind: share.KindTarget, Name: "t-1"}
	regionAccount  = share.Account{Kind: share.KindRegion, Name: "r0"}
)

const testHold = 600 * time.Millisecond

func testLimits() map[share.Account]share.Limit {
	return map[share.Account]share.Limit{
		teamAccount:    {Rate: 200, Burst: 50},
		smallBurstTeam: {Rate: 20, Burst: 4},
		targetAccount:  {Units: 3, Hold: testHold, Region: "r0"},
		regionAccount:  {Units: 20, Hold: testHold},
	}
}

// step is an event, followed by a pause.
type step struct {
	kind         string
	index, value int
	pause        time.Duration
}

var stepKinds = []string{
	"greedy", "light", "idle", "surge", "surge", "calm", "calm", "burst", "partition", "heal", "pause", "resume", "kill", "reseat", "unseat",
	"cut", "limit", "delete", "move",
}

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:  rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			index: rapid.IntRange(0, 6).Draw(t, "target"),
			value: rapid.IntRange(0, 3).Draw(t, "value"),
			pause: time.Duration(rapid.SampledFrom([]int{3, 40, 200, 700, 1800}).Draw(t, "pause")) * time.Millisecond,
		}
	}), 5, 25).Draw(t, "steps")
}

// simulation is a cluster with callers.
type simulation struct {
	*cluster
	// demand is how much each instance requests of each account: 0 nothing, 1 little, 2 all it can get.
	demand map[*instance]map[share.Account]int
}

var accounts = []share.Account{teamAccount, smallBurstTeam, targetAccount, regionAccount}

func newSimulation(seed uint64, n network, count int) *simulation {
	sim := &simulation{cluster: newCluster(seed, n, testHold, testLimits()), demand: map[*instance]map[share.Account]int{}}
	for n := range count {
		sim.addInstanceWithDemand(fmt.Sprintf("r%d", n%3))
	}
	sim.startEpoch()
	return sim
}

func (sim *simulation) addInstanceWithDemand(region string) {
	sim.demand[sim.addInstance(region, func() {})] = map[share.Account]int{teamAccount: sim.created % 3, smallBurstTeam: 2 - sim.created%3, targetAccount: 2, regionAccount: 2}
}

// runCallers lets the callers send requests for the given duration.
func (sim *simulation) runCallers(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		for _, i := range sim.runningInstances() {
			for _, a := range accounts {
				sim.generateDemand(i, a, sim.demand[i][a])
			}
		}
	}
}

func (sim *simulation) generateDemand(i *instance, a share.Account, level int) {
	use := func() bool { return sim.take(i, a, 1) }
	if a.Kind != share.KindTeam {
		use = func() bool { return sim.acquire(i, a) }
	}
	if level == 1 && time.Now().UnixMilli()%50 < 5 {
		use()
	}
	if level == 2 {
		for use() {
			continue
		}
		if a.Kind != share.KindTeam {
			i.ledger.RequestUnits([]share.Account{a}, 3)
		}
	}
}

func (sim *simulation) applyStep(s step) {
	running := sim.runningInstances()
	if len(running) == 0 {
		return
	}
	i := running[s.index%len(running)]
	a := accounts[s.value]
	switch s.kind {
	case "idle":
		sim.demand[i][a] = 0
	case "light":
		sim.demand[i][a] = 1
	case "greedy":
		sim.demand[i][a] = 2
	case "surge", "calm":
		for _, levels := range sim.demand {
			levels[a] = map[string]int{"surge": 2}[s.kind]
		}
	case "burst":
		for n := 0; n < 5*s.index && a.Kind == share.KindTeam; n++ {
			sim.take(i, a, 1+s.value)
		}
	case "pause":
		sim.pause(i)
	case "kill":
		sim.killInstance(i)
		sim.addInstanceWithDemand(i.region)
		sim.startEpoch()
	case "limit", "delete", "move":
		sim.changeLimit(s, a)
	default:
		sim.applyClusterStep(s, i)
	}
}

// applyClusterStep applies the steps that change connections, pauses and seats.
func (sim *simulation) applyClusterStep(s step, i *instance) {
	sim.mu.Lock()
	for n, other := range sim.instances {
		switch s.kind {
		case "partition":
			other.partition = (n + s.index) % 2
		case "heal":
			other.partition, other.disconnected = 0, false
		case "cut":
			other.disconnected = n%3 == s.index%3
		}
	}
	if s.kind == "unseat" {
		i.eligible = !i.eligible
	}
	sim.mu.Unlock()
	if s.kind == "reseat" || s.kind == "unseat" {
		sim.startEpoch()
	}
	if s.kind == "resume" {
		for _, other := range sim.instances {
			sim.resume(other)
		}
	}
}

func (sim *simulation) changeLimit(s step, a share.Account) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	limits := testLimits()
	limit := limits[a]
	factor := []float64{0.25, 0.5, 1, 2, 1, 0.5, 1}[s.index]
	limit.Rate, limit.Burst = limit.Rate*factor, limit.Burst*factor
	limit.Units = int(float64(limit.Units) * factor)
	limits[a] = limit
	if s.kind == "delete" {
		delete(limits, a)
	}
	if s.kind == "move" {
		moved := limits[targetAccount]
		moved.Region = fmt.Sprintf("r%d", s.value%3)
		limits[targetAccount] = moved
	}
	sim.revisions = append(sim.revisions, revision{time.Now(), limits})
}

// checkRecovery ends all faults, restores the limits and checks that one instance can then use nearly the whole of each
// limit and that no unit is lost.
func (sim *simulation) checkRecovery() []string {
	sim.applyClusterStep(step{kind: "heal"}, nil)
	sim.applyClusterStep(step{kind: "resume"}, nil)
	sim.mu.Lock()
	sim.network.loss, sim.network.late, sim.refundSome = 0, 0, false
	sim.revisions = append(sim.revisions, revision{time.Now(), testLimits()})
	for _, i := range sim.instances {
		i.eligible = !i.dead
		sim.demand[i] = map[share.Account]int{}
	}
	sim.mu.Unlock()
	sim.startEpoch()
	sim.runCallers(20 * time.Second)
	var problems []string
	single := sim.runningInstances()[0]
	for _, a := range accounts {
		sim.demand[single][a] = 2
	}
	sim.runCallers(2 * time.Second)
	since := time.Now()
	sim.runCallers(2 * time.Second)
	for _, a := range []share.Account{teamAccount, smallBurstTeam} {
		if got, want := sim.oracle.takenSince(a, since), int(testLimits()[a].Rate*2*0.9); got < want {
			problems = append(problems, fmt.Sprintf("%v: got %d tokens at one instance after recovery, want at least %d", a, got, want))
		}
	}
	for _, a := range []share.Account{targetAccount, regionAccount} {
		if got, want := sim.oracle.unitsInUse(a), testLimits()[a].Units; got < want/2 {
			problems = append(problems, fmt.Sprintf("%v: got %d units at one instance after recovery, want at least %d", a, got, want/2))
		}
	}
	sim.demand[single] = map[share.Account]int{}
	sim.runCallers(testHold + 5*time.Second)
	for _, a := range []share.Account{targetAccount, regionAccount} {
		sum := 0
		for _, i := range sim.runningInstances() {
			sum += i.ledger.FreeUnits(a)
		}
		if sum != testLimits()[a].Units {
			problems = append(problems, fmt.Sprintf("%v: got %d free units without demand, want the whole limit", a, sum))
		}
	}
	return problems
}

// TestLimitsHold runs random faults, demand and changes of limits and seats. It checks that no window admits more than
// a limit, that no more units are in use than permitted, and that the instances recover afterwards.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := drawSteps(r)
		seed := rapid.Uint64().Draw(r, "seed")
		count := rapid.IntRange(2, 7).Draw(r, "instances")
		faulty := rapid.Bool().Draw(r, "faulty")
		var problems []string
		synctest.Test(t, func(*testing.T) {
			n := network{near: 1500 * time.Microsecond, far: 12 * time.Millisecond}
			if faulty {
				n.loss, n.late = 0.1, 0.2
			}
			sim := newSimulation(seed, n, count)
			sim.runCallers(2 * time.Second)
			for _, s := range steps {
				sim.applyStep(s)
				sim.runCallers(s.pause)
			}
			problems = sim.checkRecovery()
			problems = append(problems, sim.oracle.checkTakes()...)
			sim.shutDown()
		})
		if len(problems) > 0 {
			r.Fatalf("got %d problems, want none; the first: %s", len(problems), problems[0])
		}
	})
}
