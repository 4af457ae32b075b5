// Package slopes measures how the cost of the control plane grows with the number of instances.
package slopes

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/standin/fleet"
)

const (
	// settle is how long a fleet is left alone before it is measured.
	settle = 3 * time.Second
	// rest is how long a fleet at rest is measured.
	rest = 3 * time.Second
	// domains is the number of failure domains that the instances are spread over, in regions of two each.
	domains = 6
)

// Settings say what to measure.
type Settings struct {
	// Instances lists the sizes of fleets.
	Instances []int
	// Changes is the number of changes that each fleet gets.
	Changes int
	// Runs is how often each size is measured.
	Runs int
}

// Result is what one fleet cost.
type Result struct {
	Instances int `json:"instances"`
	// The costs at rest: store calls a second in all, and for each instance payload bytes a second to and from peers and
	// the store, and processor seconds a second with its part of the stand-in platform.
	StoreCalls float64 `json:"store-calls-per-second"`
	PeerBytes  float64 `json:"peer-bytes-per-second"`
	StoreBytes float64 `json:"store-bytes-per-second"`
	Processor  float64 `json:"processor"`
	// HeapBytes is the memory in use for each instance, with its part of the stand-in platform.
	HeapBytes float64 `json:"heap-bytes"`
	// What one change costs besides: store calls in all, and payload bytes for each instance.
	CallsPerChange float64 `json:"store-calls-per-change"`
	BytesPerChange float64 `json:"bytes-per-change"`
	// InForce is the mean time from a change's sending to its being in force in every instance.
	InForce time.Duration `json:"in-force-ns"`
}

// sample is the state of all counters at a time.
type sample struct {
	at        time.Time
	calls     uint64
	peer      uint64
	store     uint64
	processor time.Duration
}

// Run measures all sizes.
func Run(ctx context.Context, s Settings) ([]Result, error) {
	var results []Result
	for range s.Runs {
		for _, n := range s.Instances {
			r, err := measure(ctx, n, s.Changes)
			if err != nil {
				return nil, err
			}
			results = append(results, r)
		}
	}
	return results, nil
}

func measure(ctx context.Context, n, changes int) (Result, error) {
	p, err := newPlan(n)
	if err != nil {
		return Result{}, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	f := fleet.New(p, zap.NewNop())
	ready := make(chan struct{})
	group.Go(func() error { return f.Run(ctx, func() { close(ready) }) })
	var result Result
	group.Go(func() error {
		defer stop()
		select {
		case <-ready:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		var err error
		result, err = observe(ctx, f, p, changes)
		return err
	})
	return result, group.Wait()
}

func observe(ctx context.Context, f *fleet.Fleet, p fleet.Plan, changes int) (Result, error) {
	n := float64(len(p.Entries))
	pause(ctx, settle)
	first := take(f, p)
	pause(ctx, rest)
	second := take(f, p)
	r := Result{Instances: len(p.Entries), HeapBytes: heapBytes() / n}
	seconds := second.at.Sub(first.at).Seconds()
	r.StoreCalls = float64(second.calls-first.calls) / seconds
	r.PeerBytes = float64(second.peer-first.peer) / seconds / n
	r.StoreBytes = float64(second.store-first.store) / seconds / n
	r.Processor = (second.processor - first.processor).Seconds() / seconds / n
	if changes == 0 {
		return r, nil
	}
	before := take(f, p)
	spent, err := change(ctx, p, changes)
	if err != nil {
		return r, err
	}
	after := take(f, p)
	elapsed, count := after.at.Sub(before.at).Seconds(), float64(changes)
	r.InForce = spent / time.Duration(changes)
	r.CallsPerChange = (float64(after.calls-before.calls) - r.StoreCalls*elapsed) / count
	bytes := float64(after.peer-before.peer+after.store-before.store) / n
	r.BytesPerChange = (bytes - (r.PeerBytes+r.StoreBytes)*elapsed) / count
	return r, nil
}

func take(f *fleet.Fleet, p fleet.Plan) sample {
	peers := map[uint16]bool{}
	for _, e := range p.Entries {
		peers[netip.MustParseAddrPort(e.Peer).Port()] = true
	}
	store := map[uint16]bool{netip.MustParseAddrPort(p.Platform).Port(): true}
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return sample{
		at: time.Now(), calls: f.StoreCalls(), peer: payloadTo(peers), store: payloadTo(store),
		processor: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func newPlan(n int) (fleet.Plan, error) {
	free, err := fleet.FreeAddresses(3*n + 1)
	if err != nil {
		return fleet.Plan{}, err
	}
	p := fleet.Plan{Platform: free[3*n]}
	for i := range domains / 2 {
		p.Resources = append(p.Resources, resource.Resource{Kind: resource.KindRegion, Name: region(2 * i), Spec: resource.Region{Capacity: 100}})
	}
	for i := range domains {
		p.Resources = append(p.Resources, resource.Resource{Kind: resource.KindFailureDomain, Name: domain(i), Spec: resource.FailureDomain{Region: region(i)}})
	}
	p.Resources = append(p.Resources, resource.Resource{Kind: resource.KindTeam, Name: team, Spec: resource.Team{Rate: 100, Burst: 10, Weight: 1}})
	for i := range n {
		p.Entries = append(p.Entries, fleet.Entry{
			ID: "entry-" + strconv.Itoa(i), Region: region(i % domains), FailureDomain: domain(i % domains),
			Caller: free[3*i], Operator: free[3*i+1], Peer: free[3*i+2],
		})
	}
	return p, nil
}

func region(i int) string { return "r" + strconv.Itoa(i/2) }

func domain(i int) string { return region(i) + "-" + strconv.Itoa(i%2) }

// Print writes the results as a table.
func Print(w io.Writer, results []Result) {
	_, _ = fmt.Fprintln(w, "INSTANCES\tSTORE-CALLS/S\tPEER-BYTES/S\tSTORE-BYTES/S\tPROCESSOR\tHEAP-MB\tCALLS/CHANGE\tBYTES/CHANGE\tIN-FORCE")
	for _, r := range results {
		_, _ = fmt.Fprintf(w, "%d\t%.1f\t%.0f\t%.0f\t%.2f%%\t%.1f\t%.1f\t%.0f\t%v\n", r.Instances, r.StoreCalls, r.PeerBytes, r.StoreBytes,
			r.Processor*100, r.HeapBytes/(1<<20), r.CallsPerChange, r.BytesPerChange, r.InForce.Round(time.Millisecond))
	}
	_, _ = fmt.Fprintln(w, "\nbytes, processor and heap are for each instance; store calls are those of the whole fleet")
}
