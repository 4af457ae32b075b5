// Package slopes measures how the costs of the control plane grow with the number of instances.
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
	// settleTime is the pause between the start of a fleet and the first measurement.
	settleTime = 3 * time.Second
	// idleMeasureTime is the duration of the measurement without changes.
	idleMeasureTime = 3 * time.Second
	// failureDomains is the number of failure domains that the instances are spread over; each region has two.
	failureDomains = 6
)

// Settings has the parameters of a benchmark run.
type Settings struct {
	// Instances lists the fleet sizes to measure, in instances.
	Instances []int
	// Changes is the number of configuration changes made to each fleet.
	Changes int
	// Runs is the number of measurements of each fleet size.
	Runs int
}

// Result has the costs of one fleet.
type Result struct {
	Instances int `json:"instances"`
	// Costs without changes: store calls per second of the whole fleet, and, per instance, payload bytes per second to and from
	// peers and the store, and CPU seconds per second including its share of the stand-in platform.
	StoreCallsPerSecond float64 `json:"store-calls-per-second"`
	PeerBytesPerSecond  float64 `json:"peer-bytes-per-second"`
	StoreBytesPerSecond float64 `json:"store-bytes-per-second"`
	CPUUsage            float64 `json:"processor"`
	// HeapBytes is the heap in use per instance after a garbage collection, including its share of the stand-in platform.
	HeapBytes float64 `json:"heap-bytes"`
	// Additional costs of one change: store calls of the whole fleet, and payload bytes per instance.
	StoreCallsPerChange float64 `json:"store-calls-per-change"`
	BytesPerChange      float64 `json:"bytes-per-change"`
	// ApplyTime is the mean time from the write of a change until every instance has applied it.
	ApplyTime time.Duration `json:"in-force-ns"`
}

// sample is a snapshot of cumulative counters of the whole fleet; cpuTime is that of this process.
type sample struct {
	takenAt    time.Time
	storeCalls uint64
	peerBytes  uint64
	storeBytes uint64
	cpuTime    time.Duration
}

// Run measures all fleet sizes, one after another.
func Run(ctx context.Context, s Settings) ([]Result, error) {
	var results []Result
	for range s.Runs {
		for _, n := range s.Instances {
			r, err := runFleet(ctx, n, s.Changes)
			if err != nil {
				return nil, err
			}
			results = append(results, r)
		}
	}
	return results, nil
}

func runFleet(ctx context.Context, n, changes int) (Result, error) {
	config, err := newFleetConfig(n)
	if err != nil {
		return Result{}, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	f := fleet.New(config, zap.NewNop())
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
		result, err = measureFleet(ctx, f, config, changes)
		return err
	})
	return result, group.Wait()
}

func measureFleet(ctx context.Context, f *fleet.Fleet, config fleet.Config, changes int) (Result, error) {
	n := float64(len(config.Entries))
	pause(ctx, settleTime)
	first := takeSample(f, config)
	pause(ctx, idleMeasureTime)
	second := takeSample(f, config)
	r := Result{Instances: len(config.Entries), HeapBytes: heapBytes() / n}
	seconds := second.takenAt.Sub(first.takenAt).Seconds()
	r.StoreCallsPerSecond = float64(second.storeCalls-first.storeCalls) / seconds
	r.PeerBytesPerSecond = float64(second.peerBytes-first.peerBytes) / seconds / n
	r.StoreBytesPerSecond = float64(second.storeBytes-first.storeBytes) / seconds / n
	r.CPUUsage = (second.cpuTime - first.cpuTime).Seconds() / seconds / n
	if changes == 0 {
		return r, nil
	}
	before := takeSample(f, config)
	applyTime, err := applyChanges(ctx, config, changes)
	if err != nil {
		return r, err
	}
	after := takeSample(f, config)
	elapsed, count := after.takenAt.Sub(before.takenAt).Seconds(), float64(changes)
	r.ApplyTime = applyTime / time.Duration(changes)
	r.StoreCallsPerChange = (float64(after.storeCalls-before.storeCalls) - r.StoreCallsPerSecond*elapsed) / count
	bytes := float64(after.peerBytes-before.peerBytes+after.storeBytes-before.storeBytes) / n
	r.BytesPerChange = (bytes - (r.PeerBytesPerSecond+r.StoreBytesPerSecond)*elapsed) / count
	return r, nil
}

func takeSample(f *fleet.Fleet, config fleet.Config) sample {
	peerPorts := map[uint16]bool{}
	for _, e := range config.Entries {
		peerPorts[netip.MustParseAddrPort(e.Peer).Port()] = true
	}
	storePorts := map[uint16]bool{netip.MustParseAddrPort(config.PlatformAddress).Port(): true}
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return sample{
		takenAt: time.Now(), storeCalls: f.StoreCalls(), peerBytes: payloadBytes(peerPorts), storeBytes: payloadBytes(storePorts),
		cpuTime: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
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

func newFleetConfig(n int) (fleet.Config, error) {
	addresses, err := fleet.FreeAddresses(3*n + 1)
	if err != nil {
		return fleet.Config{}, err
	}
	config := fleet.Config{PlatformAddress: addresses[3*n]}
	for i := range failureDomains / 2 {
		config.Resources = append(config.Resources, resource.Resource{Kind: resource.KindRegion, Name: regionName(2 * i), Spec: resource.Region{Capacity: 100}})
	}
	for i := range failureDomains {
		config.Resources = append(config.Resources, resource.Resource{Kind: resource.KindFailureDomain, Name: domainName(i), Spec: resource.FailureDomain{Region: regionName(i)}})
	}
	config.Resources = append(config.Resources, resource.Resource{Kind: resource.KindTeam, Name: teamName, Spec: resource.Team{Rate: 100, Burst: 10, Weight: 1}})
	for i := range n {
		config.Entries = append(config.Entries, fleet.Entry{
			ID: "entry-" + strconv.Itoa(i), Region: regionName(i % failureDomains), FailureDomain: domainName(i % failureDomains),
			Caller: addresses[3*i], Operator: addresses[3*i+1], Peer: addresses[3*i+2],
		})
	}
	return config, nil
}

func regionName(domainIndex int) string { return "r" + strconv.Itoa(domainIndex/2) }

func domainName(domainIndex int) string {
	return regionName(domainIndex) + "-" + strconv.Itoa(domainIndex%2)
}

// Print writes the results as a table.
func Print(w io.Writer, results []Result) {
	_, _ = fmt.Fprintln(w, "INSTANCES\tSTORE-CALLS/S\tPEER-BYTES/S\tSTORE-BYTES/S\tPROCESSOR\tHEAP-MB\tCALLS/CHANGE\tBYTES/CHANGE\tIN-FORCE")
	for _, r := range results {
		_, _ = fmt.Fprintf(w, "%d\t%.1f\t%.0f\t%.0f\t%.2f%%\t%.1f\t%.1f\t%.0f\t%v\n", r.Instances, r.StoreCallsPerSecond, r.PeerBytesPerSecond, r.StoreBytesPerSecond,
			r.CPUUsage*100, r.HeapBytes/(1<<20), r.StoreCallsPerChange, r.BytesPerChange, r.ApplyTime.Round(time.Millisecond))
	}
	_, _ = fmt.Fprintln(w, "\nbytes, processor and heap are per instance; store calls are for the whole fleet")
}
