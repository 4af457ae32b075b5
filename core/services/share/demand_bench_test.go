package share_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"medlarpond.dev/core/services/share"
)

const (
	// benchInterval is the time between two rounds of arrivals.
	benchInterval = time.Millisecond
	// maxTokenWait is how long a request may wait for its token before it counts as refused.
	maxTokenWait = 50 * time.Millisecond
	// smallTeam is the index of a team whose burst is less than one token per seat.
	smallTeam = 7
	// measureDuration is the time over which requests are counted.
	measureDuration = 10 * time.Second
	// warmupDuration is the time after which a change of demand should be served.
	warmupDuration = time.Second
)

// strategy is a way to enforce limits.
type strategy string

const (
	strategyLoans      strategy = "loans"
	strategyEqualSplit strategy = "equal-split"
	strategyNoLimits   strategy = "no-limits"
)

// bench runs seven instances with callers of eight teams, two of which have large limits.
type bench struct {
	*cluster
	strategy strategy
	// globalBuckets holds one bucket per team, from which all takes are deducted. A refusal while it has a token is
	// wrongful.
	globalBuckets map[share.Account]*globalBucket
	// waiting holds the waiting requests, oldest first, by instance and team.
	waiting map[*instance]map[share.Account][]time.Time
	due     map[*instance]map[share.Account]float64
	// measuring is true after the warm-up; wrongfulRefusals and offered are counted only then.
	measuring                 bool
	wrongfulRefusals, offered int
	excessTakes, admitted     int
	// offeredBy and admittedBy are the counts of offered and admitted by team.
	offeredBy, admittedBy map[share.Account]int
}

type globalBucket struct {
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

func newBench(s strategy, near time.Duration) *bench {
	limits := benchTeams()
	b := &bench{
		strategy: s, cluster: newCluster(1, network{near: near, far: 12 * time.Millisecond}, time.Second, limits),
		globalBuckets: map[share.Account]*globalBucket{},
		offeredBy:     map[share.Account]int{}, admittedBy: map[share.Account]int{},
		waiting: map[*instance]map[share.Account][]time.Time{}, due: map[*instance]map[share.Account]float64{},
	}
	for a, limit := range limits {
		b.globalBuckets[a] = &globalBucket{limit: limit}
	}
	for n := range 7 {
		i := b.addInstance(fmt.Sprintf("r%d", n%3), func() {})
		if s == strategyEqualSplit {
			i.ledger.RequestLoans = nil
		}
		b.waiting[i], b.due[i] = map[share.Account][]time.Time{}, map[share.Account]float64{}
	}
	b.refundSome = false
	b.startEpoch()
	time.Sleep(5 * time.Second)
	return b
}

// load returns the requests per second of a team at an instance.
type load func(instance, team int, elapsed time.Duration) float64

// run offers a load for the given duration, except at dead or paused instances. Their callers use another instance
// after the next lookup, which the load functions of the scenarios model.
func (b *bench) run(d time.Duration, l load) {
	started := time.Now()
	for time.Since(started) < d {
		for _, bucket := range b.globalBuckets {
			bucket.level = min(bucket.limit.Burst, bucket.level+bucket.limit.Rate*benchInterval.Seconds())
		}
		running := map[*instance]bool{}
		for _, i := range b.runningInstances() {
			running[i] = true
		}
		for n, i := range b.instances {
			if running[i] {
				b.offerRequests(i, n, l, time.Since(started))
			}
		}
		time.Sleep(benchInterval)
	}
}

func (b *bench) offerRequests(i *instance, n int, l load, elapsed time.Duration) {
	for t := range 8 {
		a := benchTeam(t)
		// Arrivals are random and independent, at the rate of the load.
		b.mu.Lock()
		arrives := b.random.Float64() < l(n, t, elapsed)*benchInterval.Seconds()
		b.mu.Unlock()
		if arrives {
			b.waiting[i][a] = append(b.waiting[i][a], time.Now())
			b.offered += map[bool]int{true: 1}[b.measuring]
			b.offeredBy[a] += map[bool]int{true: 1}[b.measuring]
		}
		for len(b.waiting[i][a]) > 0 && b.admit(i, a) {
			b.waiting[i][a] = b.waiting[i][a][1:]
		}
		for len(b.waiting[i][a]) > 0 && time.Since(b.waiting[i][a][0]) >= maxTokenWait {
			b.waiting[i][a] = b.waiting[i][a][1:]
			if b.measuring && b.globalBuckets[a].level >= 1 {
				b.wrongfulRefusals++
				b.globalBuckets[a].level--
			}
		}
	}
}

func (b *bench) admit(i *instance, a share.Account) bool {
	if b.strategy == strategyNoLimits {
		b.excessTakes += map[bool]int{true: 1}[b.globalBuckets[a].level < 1]
	} else if !b.take(i, a, 1) {
		return false
	}
	b.globalBuckets[a].level--
	if b.strategy == strategyNoLimits {
		b.globalBuckets[a].level = max(b.globalBuckets[a].level, 0)
	}
	b.admitted += map[bool]int{true: 1}[b.measuring]
	b.admittedBy[a] += map[bool]int{true: 1}[b.measuring]
	return true
}

// scenario is a load and an event that happens before the measurement.
type scenario struct {
	name   string
	load   load
	before func(b *bench)
}

func teamRate(team int) float64 { return benchTeams()[benchTeam(team)].Rate }

// homeLoad sends all of a team's demand, as a fraction of its rate, to one instance.
func homeLoad(fraction float64) load {
	return func(instance, team int, _ time.Duration) float64 {
		if instance != team%7 {
			return 0
		}
		return fraction * teamRate(team)
	}
}

func spreadLoad(fraction float64) load {
	return func(_, team int, _ time.Duration) float64 { return fraction * teamRate(team) / 7 }
}

func scenarios() []scenario {
	movingLoad := func(instance, team int, elapsed time.Duration) float64 {
		offset := int(elapsed / (3 * time.Second))
		if instance != (team+offset)%7 {
			return 0
		}
		return 0.8 * teamRate(team)
	}
	greedyTeam := func(instance, team int, elapsed time.Duration) float64 {
		if team == 0 {
			return 4 * teamRate(0) / 7
		}
		return homeLoad(0.8)(instance, team, elapsed)
	}
	greedySmallTeam := func(instance, team int, elapsed time.Duration) float64 {
		if team == smallTeam {
			return 4 * teamRate(smallTeam) / 7
		}
		return spreadLoad(0.8)(instance, team, elapsed)
	}
	afterInstanceLoss := func(fraction float64, lost int) load {
		return func(instance, team int, elapsed time.Duration) float64 {
			if team%7 == lost {
				return homeLoad(fraction)(instance-1, team, elapsed)
			}
			return homeLoad(fraction)(instance, team, elapsed)
		}
	}
	return []scenario{
		{"one-instance-80", homeLoad(0.8), nil},
		{"one-instance-95", homeLoad(0.95), nil},
		{"spread-80", spreadLoad(0.8), nil},
		{"spread-95", spreadLoad(0.95), nil},
		{"moving-80", movingLoad, nil},
		{"greedy-team", greedyTeam, nil},
		{"greedy-small-team", greedySmallTeam, nil},
		{"instance-lost", afterInstanceLoss(0.8, 0), func(b *bench) { b.killInstance(b.instances[0]); b.startEpoch() }},
		{"store-down-instance-lost", afterInstanceLoss(0.8, 0), func(b *bench) { b.killInstance(b.instances[0]) }},
		{"holder-paused", afterInstanceLoss(0.8, 0), func(b *bench) {
			b.pause(b.instances[0])
			time.AfterFunc(5*time.Second, func() { b.resume(b.instances[0]) })
		}},
	}
}

// BenchmarkDemand reports wrongful refusals and violations of limits for the network delays of both deployments and
// compares loans with an equal split and with no limits. A refusal is wrongful if one bucket for the whole fleet with
// the team's rate and burst still had a token.
func BenchmarkDemand(b *testing.B) {
	for name, near := range map[string]time.Duration{"sonargaon": 1500 * time.Microsecond, "trust": time.Millisecond} {
		for _, s := range scenarios() {
			for _, m := range []strategy{strategyLoans, strategyEqualSplit, strategyNoLimits} {
				b.Run(fmt.Sprintf("%s/%s/%s", name, s.name, m), func(b *testing.B) {
					for b.Loop() {
						measure(b, m, near, s)
					}
				})
			}
		}
	}
}

func measure(b *testing.B, strategy strategy, near time.Duration, s scenario) {
	b.Helper()
	var result *bench
	violations := 0
	runWithVirtualTime(func() {
		result = newBench(strategy, near)
		if s.before != nil {
			result.run(warmupDuration, homeLoad(0.8))
			s.before(result)
		}
		result.run(warmupDuration, s.load)
		result.measuring = true
		result.run(measureDuration, s.load)
		violations = len(result.oracle.checkTakes()) + result.excessTakes
		result.shutDown()
	})
	b.ReportMetric(100*float64(result.wrongfulRefusals)/float64(max(result.offered, 1)), "wrongful-%")
	b.ReportMetric(100*float64(result.admitted)/float64(max(result.offered, 1)), "admitted-%")
	b.ReportMetric(result.worstTeam(), "worst-team-%")
	b.ReportMetric(float64(violations), "violations")
	b.ReportMetric(0, "ns/op")
}

// worstTeam returns the lowest percentage of admitted requests of any team, relative to what it offered or what its
// rate permits, whichever is less.
func (b *bench) worstTeam() float64 {
	worst := 100.0
	for a, limit := range benchTeams() {
		expected := min(float64(b.offeredBy[a]), limit.Rate*measureDuration.Seconds())
		if expected > 0 {
			worst = min(worst, 100*float64(b.admittedBy[a])/expected)
		}
	}
	return worst
}

// runWithVirtualTime runs a function in a synctest bubble, which requires a test.
func runWithVirtualTime(run func()) {
	testing.RunTests(func(_, _ string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: "demand", F: func(t *testing.T) { synctest.Test(t, func(*testing.T) { run() }) }, //nolint:thelper // it is the test itself
	}})
}
