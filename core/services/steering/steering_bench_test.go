package steering_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/services/share"
	"medlarpond.dev/core/services/steering"
)

// deployment is the size of one of the two reference sites.
type deployment struct {
	name    string
	regions []string
	targets int
	slots   int
	// delayWithinRegion and delayBetweenRegions are the one-way network delays between instances in the same region
	// and in different regions.
	delayWithinRegion, delayBetweenRegions time.Duration
}

var deployments = []deployment{
	{"sonargaon", []string{"kolkata", "siliguri", "durgapur"}, 20, 3, 1500 * time.Microsecond, 12 * time.Millisecond},
	{"trust", []string{"pos", "sfo", "pta"}, 20, 4, time.Millisecond, 12 * time.Millisecond},
}

const (
	benchInstances = 7
	// benchProcessingTime is how long a target processes a request.
	benchProcessingTime = 20 * time.Millisecond
	// callersPerSlot is the number of callers for each slot of the targets.
	callersPerSlot = 8
)

// teamWeights are the weights of the 8 teams; two of them are large.
var teamWeights = []float64{4, 4, 1, 1, 1, 1, 1, 1}

func (d deployment) totalSlots() int { return d.targets * d.slots }

func (d deployment) place(n int) steering.Place {
	region := d.regions[n%len(d.regions)]
	return steering.Place{Region: region, FailureDomain: fmt.Sprintf("%s-%d", region, n/len(d.regions)%2)}
}

func (d deployment) resources() []resource.Resource {
	all := []resource.Resource{newResource(resource.KindService, "desk", resource.Service{
		RequestTimeout: seconds(5), QueueTimeout: seconds(0.2), RequestBytes: 1000,
	})}
	for _, from := range d.regions {
		all = append(all, newResource(resource.KindRegion, from, resource.Region{Capacity: d.totalSlots()}))
		for n := range 2 {
			all = append(all, newResource(resource.KindFailureDomain, fmt.Sprintf("%s-%d", from, n), resource.FailureDomain{Region: from}))
		}
		for _, to := range d.regions {
			if from != to {
				all = append(all, newResource(resource.KindLink, from+"-"+to, resource.Link{From: from, To: to, BytesPerSecond: 37_500_000}))
			}
		}
	}
	for n := range d.targets {
		all = append(all, newResource(resource.KindTarget, fmt.Sprintf("t%02d", n), resource.Target{
			Service: "desk", FailureDomain: d.place(n).FailureDomain, Slots: d.slots, Connections: 400, Address: fmt.Sprintf("192.0.2.%d:80", n+1),
		}))
	}
	for n, weight := range teamWeights {
		all = append(all, newResource(resource.KindTeam, fmt.Sprintf("team-%d", n), resource.Team{Rate: 1e6, Burst: 1e5, Weight: weight}))
	}
	return all
}

// cluster is the instances of a deployment, whose ledgers lend to each other.
type cluster struct {
	deployment
	instances []*testInstance
	stop      context.CancelFunc
	// overSlots counts the requests that were sent to a target beyond its slots.
	overSlots atomic.Int64
	running   []atomic.Int64
}

// newCluster starts the instances. Without loans, each keeps an equal share of every limit.
func newCluster(d deployment, instances int, loans bool) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{deployment: d, stop: cancel, running: make([]atomic.Int64, d.targets)}
	epoch := share.Epoch{Number: 1}
	for n := range instances {
		epoch.Seats = append(epoch.Seats, share.Seat{ID: fmt.Sprint(n), Region: d.place(n).Region})
	}
	resources := d.resources()
	for n := range instances {
		ti := &testInstance{health: steering.NewHealth(steering.DefaultBreaker())}
		ti.ledger = share.NewLedger(func() { ti.Notify() })
		ti.ledger.RequestLoans = func(_ context.Context, seat string, r share.LoanRequest) (share.LoanReply, error) {
			var to int
			_, _ = fmt.Sscan(seat, &to)
			time.Sleep(2 * c.delay(n, to))
			return c.instances[to].ledger.Lend(r), nil
		}
		if instances > 1 {
			ti.ledger.SetEpoch(epoch, nil, fmt.Sprint(n))
			ti.ledger.Activate(1, true)
		}
		ti.Steering = steering.New(d.place(n), ti.ledger, ti.ledger.RequestUnits, ti.health)
		c.instances = append(c.instances, ti)
		ti.configure(resources...)
	}
	if loans {
		for _, ti := range c.instances {
			go func() { _ = ti.ledger.Run(ctx) }()
		}
	}
	time.Sleep(300 * time.Millisecond)
	return c
}

func (c *cluster) delay(a, b int) time.Duration {
	if c.place(a).Region == c.place(b).Region {
		return c.delayWithinRegion
	}
	return c.delayBetweenRegions
}

// send admits a request and keeps its target busy for the given time. It reports false for a refusal.
func (c *cluster) send(instance int, team string, processingTime time.Duration) bool {
	grant, _ := c.instances[instance].admit(5*time.Second, team)
	if grant == nil {
		return false
	}
	var n int
	_, _ = fmt.Sscanf(grant.Target.Name, "t%d", &n)
	if c.running[n].Add(1) > int64(c.slots) {
		c.overSlots.Add(1)
	}
	time.Sleep(processingTime)
	c.running[n].Add(-1)
	grant.Release()
	return true
}

// BenchmarkSteeringDecision measures the time of an admission that needs no other instance, next to that of a local
// least-loaded choice.
func BenchmarkSteeringDecision(b *testing.B) {
	for _, d := range deployments {
		b.Run(d.name+"/steering", func(b *testing.B) {
			c := newCluster(d, 1, false)
			defer c.stop()
			time.Sleep(200 * time.Millisecond)
			request := steering.AdmissionRequest{Configuration: c.instances[0].configuration, Service: "desk", Team: "team-0"}
			measure(b, func() {
				if grant, _ := c.instances[0].Admit(context.Background(), request); grant != nil {
					grant.Release()
				}
			})
		})
		b.Run(d.name+"/least-loaded", func(b *testing.B) {
			var mu sync.Mutex
			running := map[string]int{}
			names := make([]string, d.targets)
			for n := range names {
				names[n] = fmt.Sprintf("t%02d", n)
			}
			measure(b, func() {
				mu.Lock()
				defer mu.Unlock()
				best := names[0]
				for _, name := range names {
					if running[name] < running[best] {
						best = name
					}
				}
				running[best]++
				running[best]--
			})
		})
	}
}

func measure(b *testing.B, decide func()) {
	b.Helper()
	b.ReportAllocs()
	times := make([]time.Duration, 0, b.N)
	for b.Loop() {
		start := time.Now()
		decide()
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	for name, quantile := range map[string]float64{"p50-ns": 0.5, "p99-ns": 0.99, "p999-ns": 0.999} {
		b.ReportMetric(float64(times[int(quantile*float64(len(times)-1))]), name)
	}
}

// BenchmarkSteeringHeadroom measures the percentage of all slots that is busy at the first refusal, with all requests
// at one of seven instances.
func BenchmarkSteeringHeadroom(b *testing.B) {
	for _, d := range deployments {
		for name, loans := range map[string]bool{"steering": true, "static-split": false} {
			b.Run(d.name+"/"+name, func(b *testing.B) {
				for b.Loop() {
					c := newCluster(d, benchInstances, loans)
					busy := 0
					for {
						grant, _ := c.instances[0].admit(time.Second, "")
						if grant == nil {
							break
						}
						busy++
					}
					c.stop()
					b.ReportMetric(100*float64(busy)/float64(d.totalSlots()), "%busy")
				}
			})
		}
	}
}

// BenchmarkSteeringFairness measures the worst-served team's fraction of its weighted max-min share and the requests
// beyond a target's slots, while closed-loop callers request several times the targets' capacity.
func BenchmarkSteeringFairness(b *testing.B) {
	for _, d := range deployments {
		for name, instances := range map[string]int{"one-instance": 1, "seven-instances": benchInstances} {
			b.Run(d.name+"/"+name, func(b *testing.B) {
				for b.Loop() {
					c := newCluster(d, instances, instances > 1)
					worst, used, refused := c.runOverload(2 * time.Second)
					c.stop()
					b.ReportMetric(100*worst, "%worst-share")
					b.ReportMetric(100*used, "%used")
					b.ReportMetric(100*refused, "%refused")
					b.ReportMetric(float64(c.overSlots.Load()), "over-slots")
				}
			})
		}
	}
}

// runOverload runs callers for the given time and returns the worst-served team's fraction of its share, the fraction
// of all slots that was used, and the fraction of the requests that was refused.
func (c *cluster) runOverload(duration time.Duration) (worst, used, refused float64) {
	var served [8]atomic.Int64
	var refusals atomic.Int64
	var group sync.WaitGroup
	var measureFrom, until time.Time
	measureFrom = time.Now().Add(time.Second)
	until = measureFrom.Add(duration)
	callers := callersPerSlot * c.totalSlots() / len(teamWeights)
	for team := range teamWeights {
		for caller := range callers {
			instance := caller % len(c.instances)
			group.Go(func() {
				for time.Now().Before(until) {
					ok := c.send(instance, fmt.Sprintf("team-%d", team), benchProcessingTime)
					switch {
					case time.Now().Before(measureFrom):
					case ok:
						served[team].Add(1)
					default:
						refusals.Add(1)
					}
					if !ok {
						time.Sleep(benchProcessingTime)
					}
				}
			})
		}
	}
	group.Wait()
	var total int64
	for team := range teamWeights {
		total += served[team].Load()
	}
	shares := maxMinShares(float64(total), teamWeights, float64(callers)/benchProcessingTime.Seconds()*duration.Seconds())
	worst = 1
	for team, fair := range shares {
		worst = min(worst, float64(served[team].Load())/fair)
	}
	capacity := float64(c.totalSlots()) / benchProcessingTime.Seconds() * duration.Seconds()
	return worst, float64(total) / capacity, float64(refusals.Load()) / float64(refusals.Load()+total)
}

// maxMinShares divides an amount among teams by weight; no team gets more than limit.
func maxMinShares(amount float64, weights []float64, limit float64) []float64 {
	shares := make([]float64, len(weights))
	unsatisfied := map[int]bool{}
	for i := range weights {
		unsatisfied[i] = true
	}
	for len(unsatisfied) > 0 {
		sum := 0.0
		for i := range unsatisfied {
			sum += weights[i]
		}
		full := false
		for i := range unsatisfied {
			if amount*weights[i]/sum >= limit {
				shares[i] = limit
				amount -= limit
				delete(unsatisfied, i)
				full = true
				break
			}
		}
		if full {
			continue
		}
		for i := range unsatisfied {
			shares[i] = amount * weights[i] / sum
		}
		break
	}
	return shares
}
