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

// TestMain fixes the seed and the number of checks, unless the command sets others.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "10")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

var (
	team    = share.Account{Kind: share.KindTeam, Name: "lawns"}
	small   = share.Account{Kind: share.KindTeam, Name: "yards"}
	slots   = share.Account{Kind: share.KindTarget, Name: "t-1"}
	region0 = share.Account{Kind: share.KindRegion, Name: "r0"}
)

const testHold = 600 * time.Millisecond

func testLimits() map[share.Account]share.Limit {
	return map[share.Account]share.Limit{
		team:    {Rate: 200, Burst: 50},
		small:   {Rate: 20, Burst: 4},
		slots:   {Units: 3, Hold: testHold, Region: "r0"},
		region0: {Units: 20, Hold: testHold},
	}
}

// step is one thing that happens, followed by a pause.
type step struct {
	kind          string
	target, value int
	pause         time.Duration
}

var stepKinds = []string{
	"greedy", "light", "idle", "surge", "surge", "calm", "calm", "burst", "partition", "heal", "pause", "resume", "kill", "reseat", "unseat",
	"cut", "limit", "delete", "move",
}

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:   rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			target: rapid.IntRange(0, 6).Draw(t, "target"),
			value:  rapid.IntRange(0, 3).Draw(t, "value"),
			pause:  time.Duration(rapid.SampledFrom([]int{3, 40, 200, 700, 1800}).Draw(t, "pause")) * time.Millisecond,
		}
	}), 5, 25).Draw(t, "steps")
}

// play is a world with callers.
type play struct {
	*world
	// modes says how much each instance asks of each account: 0 nothing, 1 little, 2 all it can get.
	modes map[*instance]map[share.Account]int
}

var accounts = []share.Account{team, small, slots, region0}

func newPlay(seed uint64, n network, count int) *play {
	p := &play{world: newWorld(seed, n, testHold, testLimits()), modes: map[*instance]map[share.Account]int{}}
	for n := range count {
		p.join(fmt.Sprintf("r%d", n%3))
	}
	p.reseat()
	return p
}

func (p *play) join(region string) {
	p.modes[p.add(region, func() {})] = map[share.Account]int{team: p.born % 3, small: 2 - p.born%3, slots: 2, region0: 2}
}

// drive lets the callers act for a time.
func (p *play) drive(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		for _, i := range p.running() {
			for _, a := range accounts {
				p.act(i, a, p.modes[i][a])
			}
		}
	}
}

func (p *play) act(i *instance, a share.Account, mode int) {
	use := func() bool { return p.take(i, a, 1) }
	if a.Kind != share.KindTeam {
		use = func() bool { return p.acquire(i, a) }
	}
	if mode == 1 && time.Now().UnixMilli()%50 < 5 {
		use()
	}
	if mode == 2 {
		for use() {
			continue
		}
		if a.Kind != share.KindTeam {
			i.ledger.Want([]share.Account{a}, 3)
		}
	}
}

func (p *play) apply(s step) {
	running := p.running()
	if len(running) == 0 {
		return
	}
	i := running[s.target%len(running)]
	a := accounts[s.value]
	switch s.kind {
	case "idle":
		p.modes[i][a] = 0
	case "light":
		p.modes[i][a] = 1
	case "greedy":
		p.modes[i][a] = 2
	case "surge", "calm":
		for _, modes := range p.modes {
			modes[a] = map[string]int{"surge": 2}[s.kind]
		}
	case "burst":
		for n := 0; n < 5*s.target && a.Kind == share.KindTeam; n++ {
			p.take(i, a, 1+s.value)
		}
	case "pause":
		p.pause(i)
	case "kill":
		p.end(i)
		p.join(i.region)
		p.reseat()
	case "limit", "delete", "move":
		p.changeLimit(s, a)
	default:
		p.mend(s, i)
	}
}

// mend applies the steps that concern the connections and seats.
func (p *play) mend(s step, i *instance) {
	p.mu.Lock()
	for n, other := range p.instances {
		switch s.kind {
		case "partition":
			other.group = (n + s.target) % 2
		case "heal":
			other.group, other.cut = 0, false
		case "cut":
			other.cut = n%3 == s.target%3
		}
	}
	if s.kind == "unseat" {
		i.seat = !i.seat
	}
	p.mu.Unlock()
	if s.kind == "reseat" || s.kind == "unseat" {
		p.reseat()
	}
	if s.kind == "resume" {
		for _, other := range p.instances {
			p.resume(other)
		}
	}
}

func (p *play) changeLimit(s step, a share.Account) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limits := testLimits()
	limit := limits[a]
	factor := []float64{0.25, 0.5, 1, 2, 1, 0.5, 1}[s.target]
	limit.Rate, limit.Burst = limit.Rate*factor, limit.Burst*factor
	limit.Units = int(float64(limit.Units) * factor)
	limits[a] = limit
	if s.kind == "delete" {
		delete(limits, a)
	}
	if s.kind == "move" {
		moved := limits[slots]
		moved.Region = fmt.Sprintf("r%d", s.value%3)
		limits[slots] = moved
	}
	p.revisions = append(p.revisions, revision{time.Now(), limits})
}

// recover lets everything be well again and checks that one instance gets nearly all and that nothing is lost for good.
func (p *play) recover() []string {
	p.mend(step{kind: "heal"}, nil)
	p.mend(step{kind: "resume"}, nil)
	p.mu.Lock()
	p.network.loss, p.network.late, p.returns = 0, 0, false
	p.revisions = append(p.revisions, revision{time.Now(), testLimits()})
	for _, i := range p.instances {
		i.seat = !i.dead
		p.modes[i] = map[share.Account]int{}
	}
	p.mu.Unlock()
	p.reseat()
	p.drive(20 * time.Second)
	var found []string
	one := p.running()[0]
	for _, a := range accounts {
		p.modes[one][a] = 2
	}
	p.drive(2 * time.Second)
	since := time.Now()
	p.drive(2 * time.Second)
	for _, a := range []share.Account{team, small} {
		if got, want := p.oracle.takenSince(a, since), int(testLimits()[a].Rate*2*0.9); got < want {
			found = append(found, fmt.Sprintf("%v: one instance got %d tokens, want at least %d", a, got, want))
		}
	}
	for _, a := range []share.Account{slots, region0} {
		if got, want := p.oracle.used(a), testLimits()[a].Units; got < want/2 {
			found = append(found, fmt.Sprintf("%v: one instance got %d units, want at least %d", a, got, want/2))
		}
	}
	p.modes[one] = map[share.Account]int{}
	p.drive(testHold + 5*time.Second)
	for _, a := range []share.Account{slots, region0} {
		sum := 0
		for _, i := range p.running() {
			sum += i.ledger.Free(a)
		}
		if sum != testLimits()[a].Units {
			found = append(found, fmt.Sprintf("%v: %d units are free at the end", a, sum))
		}
	}
	return found
}

// TestLimitsHold runs random faults, demands and changes, checks every window and every use of a unit, and that all is
// well again afterwards.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := drawSteps(r)
		seed := rapid.Uint64().Draw(r, "seed")
		count := rapid.IntRange(2, 7).Draw(r, "instances")
		faulty := rapid.Bool().Draw(r, "faulty")
		var found []string
		synctest.Test(t, func(*testing.T) {
			n := network{near: 1500 * time.Microsecond, far: 12 * time.Millisecond}
			if faulty {
				n.loss, n.late = 0.1, 0.2
			}
			p := newPlay(seed, n, count)
			p.drive(2 * time.Second)
			for _, s := range steps {
				p.apply(s)
				p.drive(s.pause)
			}
			found = p.recover()
			found = append(found, p.oracle.check()...)
			p.close()
		})
		if len(found) > 0 {
			r.Fatalf("%d faults, the first: %s", len(found), found[0])
		}
	})
}
