package share_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"medlarpond.dev/core/services/share"
)

const (
	// benchTick is the step of the callers.
	benchTick = time.Millisecond
	// benchWait is how long a request may wait for its token before it counts as refused.
	benchWait = 50 * time.Millisecond
	// smallTeam is a team whose burst is less than one token for each seat.
	smallTeam = 7
	// counted is the time over which requests are counted.
	counted = 10 * time.Second
	// adapting is the time after which a change of demand should be served.
	adapting = time.Second
)

// method is a way to account for limits.
type method string

const (
	lending method = "loans"
	equal   method = "equal-split"
	absent  method = "no-limits"
)

// bench is seven instances with callers of eight teams, two of them large.
type bench struct {
	*world
	method method
	// fair is one bucket for each team that all takes are charged to; a refusal while it has a token is wrongful.
	fair map[share.Account]*fairBucket
	// waiting are the requests that wait, oldest first, by instance and team.
	waiting map[*instance]map[share.Account][]time.Time
	due     map[*instance]map[share.Account]float64
	// counting is true after the time for adapting; wrongful and offered count from then on.
	counting          bool
	wrongful, offered int
	excess, admitted  int
	// offeredBy and admittedBy count like offered and admitted, by team.
	offeredBy, admittedBy map[share.Account]int
}

type fairBucket struct {
	limit share.Limit
	level float64
}

func benchTeams() map[share.Account]share.Limit {
	limits := map[share.Account]share.Limit{}
	for n := range 8 {
		limit := share.Limit{Rate: 40, Burst: 10}
		switch {
		case n < 2:
			limit = share.Limit{Rate: 300, Burst: 60}
		case n == smallTeam:
			limit = share.Limit{Rate: 20, Burst: 5}
		}
		limits[benchTeam(n)] = limit
	}
	return limits
}

func benchTeam(n int) share.Account {
	return share.Account{Kind: share.KindTeam, Name: fmt.Sprintf("team-%d", n)}
}

func newBench(m method, near time.Duration) *bench {
	limits := benchTeams()
	b := &bench{
		method: m, world: newWorld(1, network{near: near, far: 12 * time.Millisecond}, time.Second, limits),
		fair:      map[share.Account]*fairBucket{},
		offeredBy: map[share.Account]int{}, admittedBy: map[share.Account]int{},
		waiting: map[*instance]map[share.Account][]time.Time{}, due: map[*instance]map[share.Account]float64{},
	}
	for a, limit := range limits {
		b.fair[a] = &fairBucket{limit: limit}
	}
	for n := range 7 {
		i := b.add(fmt.Sprintf("r%d", n%3), func() {})
		if m == equal {
			i.ledger.Ask = nil
		}
		b.waiting[i], b.due[i] = map[share.Account][]time.Time{}, map[share.Account]float64{}
	}
	b.returns = false
	b.reseat()
	time.Sleep(5 * time.Second)
	return b
}

// load returns the requests a second of a team at an instance.
type load func(instance, team int, elapsed time.Duration) float64

// run offers a load; callers of a dead or paused instance go to the next one after the time that look-ups need.
func (b *bench) run(d time.Duration, l load) {
	started := time.Now()
	for time.Since(started) < d {
		for _, f := range b.fair {
			f.level = min(f.limit.Burst, f.level+f.limit.Rate*benchTick.Seconds())
		}
		running := map[*instance]bool{}
		for _, i := range b.running() {
			running[i] = true
		}
		for n, i := range b.instances {
			if running[i] {
				b.serve(i, n, l, time.Since(started))
			}
		}
		time.Sleep(benchTick)
	}
}

func (b *bench) serve(i *instance, n int, l load, elapsed time.Duration) {
	for t := range 8 {
		a := benchTeam(t)
		// Arrivals are random and independent, with the rate of the load.
		b.mu.Lock()
		arrives := b.random.Float64() < l(n, t, elapsed)*benchTick.Seconds()
		b.mu.Unlock()
		if arrives {
			b.waiting[i][a] = append(b.waiting[i][a], time.Now())
			b.offered += map[bool]int{true: 1}[b.counting]
			b.offeredBy[a] += map[bool]int{true: 1}[b.counting]
		}
		for len(b.waiting[i][a]) > 0 && b.admit(i, a) {
			b.waiting[i][a] = b.waiting[i][a][1:]
		}
		for len(b.waiting[i][a]) > 0 && time.Since(b.waiting[i][a][0]) >= benchWait {
			b.waiting[i][a] = b.waiting[i][a][1:]
			if b.counting && b.fair[a].level >= 1 {
				b.wrongful++
				b.fair[a].level--
			}
		}
	}
}

func (b *bench) admit(i *instance, a share.Account) bool {
	if b.method == absent {
		b.excess += map[bool]int{true: 1}[b.fair[a].level < 1]
	} else if !b.take(i, a, 1) {
		return false
	}
	b.fair[a].level--
	if b.method == absent {
		b.fair[a].level = max(b.fair[a].level, 0)
	}
	b.admitted += map[bool]int{true: 1}[b.counting]
	b.admittedBy[a] += map[bool]int{true: 1}[b.counting]
	return true
}

// scenario is a load with what happens before the count begins.
type scenario struct {
	name   string
	load   load
	before func(b *bench)
}

func rateOf(team int) float64 { return benchTeams()[benchTeam(team)].Rate }

// home is a load with all of each team's demand, as a part of its rate, at one instance.
func home(part float64) load {
	return func(instance, team int, _ time.Duration) float64 {
		if instance != team%7 {
			return 0
		}
		return part * rateOf(team)
	}
}

func spread(part float64) load {
	return func(_, team int, _ time.Duration) float64 { return part * rateOf(team) / 7 }
}

func scenarios() []scenario {
	moving := func(instance, team int, elapsed time.Duration) float64 {
		second := int(elapsed / (3 * time.Second))
		if instance != (team+second)%7 {
			return 0
		}
		return 0.8 * rateOf(team)
	}
	greedy := func(instance, team int, elapsed time.Duration) float64 {
		if team == 0 {
			return 4 * rateOf(0) / 7
		}
		return home(0.8)(instance, team, elapsed)
	}
	greedySmall := func(instance, team int, elapsed time.Duration) float64 {
		if team == smallTeam {
			return 4 * rateOf(smallTeam) / 7
		}
		return spread(0.8)(instance, team, elapsed)
	}
	survivors := func(part float64, lost int) load {
		return func(instance, team int, elapsed time.Duration) float64 {
			if team%7 == lost {
				return home(part)(instance-1, team, elapsed)
			}
			return home(part)(instance, team, elapsed)
		}
	}
	return []scenario{
		{"one-instance-80", home(0.8), nil},
		{"one-instance-95", home(0.95), nil},
		{"spread-80", spread(0.8), nil},
		{"spread-95", spread(0.95), nil},
		{"moving-80", moving, nil},
		{"greedy-team", greedy, nil},
		{"greedy-small-team", greedySmall, nil},
		{"instance-lost", survivors(0.8, 0), func(b *bench) { b.end(b.instances[0]); b.reseat() }},
		{"store-down-instance-lost", survivors(0.8, 0), func(b *bench) { b.end(b.instances[0]) }},
		{"holder-paused", survivors(0.8, 0), func(b *bench) {
			b.pause(b.instances[0])
			time.AfterFunc(5*time.Second, func() { b.resume(b.instances[0]) })
		}},
	}
}

// BenchmarkDemand reports wrongful refusals and violations for the delays of both deployments, beside the plain ways. A
// wrongful refusal is one while the team's rate and burst, counted in one bucket for the whole fleet, had a token left.
func BenchmarkDemand(b *testing.B) {
	for name, near := range map[string]time.Duration{"sonargaon": 1500 * time.Microsecond, "trust": time.Millisecond} {
		for _, s := range scenarios() {
			for _, m := range []method{lending, equal, absent} {
				b.Run(fmt.Sprintf("%s/%s/%s", name, s.name, m), func(b *testing.B) {
					for b.Loop() {
						measure(b, m, near, s)
					}
				})
			}
		}
	}
}

func measure(b *testing.B, m method, near time.Duration, s scenario) {
	b.Helper()
	var w *bench
	violations := 0
	inVirtualTime(func() {
		w = newBench(m, near)
		if s.before != nil {
			w.run(adapting, home(0.8))
			s.before(w)
		}
		w.run(adapting, s.load)
		w.counting = true
		w.run(counted, s.load)
		violations = len(w.oracle.check()) + w.excess
		w.close()
	})
	b.ReportMetric(100*float64(w.wrongful)/float64(max(w.offered, 1)), "wrongful-%")
	b.ReportMetric(100*float64(w.admitted)/float64(max(w.offered, 1)), "admitted-%")
	b.ReportMetric(w.worstTeam(), "worst-team-%")
	b.ReportMetric(float64(violations), "violations")
	b.ReportMetric(0, "ns/op")
}

// worstTeam returns the least part of what a team offered or its rate permits, whichever is less, that was admitted.
func (b *bench) worstTeam() float64 {
	worst := 100.0
	for a, limit := range benchTeams() {
		due := min(float64(b.offeredBy[a]), limit.Rate*counted.Seconds())
		if due > 0 {
			worst = min(worst, 100*float64(b.admittedBy[a])/due)
		}
	}
	return worst
}

// inVirtualTime runs a function in a bubble, for which a test is needed.
func inVirtualTime(run func()) {
	testing.RunTests(func(_, _ string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: "demand", F: func(t *testing.T) { synctest.Test(t, func(*testing.T) { run() }) }, //nolint:thelper // it is the test
	}})
}
