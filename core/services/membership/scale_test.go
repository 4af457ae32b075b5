package membership_test

import (
	"fmt"
	"testing"

	"medlarpond.dev/core/services/membership"
)

const (
	// benchmarkMembers, benchmarkDomains and benchmarkRegions are the fleet size that the program is designed for.
	benchmarkMembers = 3100
	benchmarkDomains = 48
	benchmarkRegions = 21
)

func benchmarkFleet() []membership.Member {
	members := make([]membership.Member, 0, benchmarkMembers)
	for i := range benchmarkMembers {
		members = append(members, membership.Member{
			ID: fmt.Sprintf("entry-%d", i), Incarnation: uint64(1e18 + i),
			Region: fmt.Sprintf("region-%d", i%benchmarkRegions), FailureDomain: fmt.Sprintf("domain-%d", i%benchmarkDomains),
			Caller: fmt.Sprintf("10.0.%d.%d:7101", i/250, i%250), Operator: fmt.Sprintf("10.0.%d.%d:7201", i/250, i%250),
			Peer: fmt.Sprintf("10.0.%d.%d:7301", i/250, i%250), State: membership.StateReady,
		})
	}
	return members
}

// BenchmarkFleetRecord reports the size of the record of a large fleet and the time to decode it.
func BenchmarkFleetRecord(b *testing.B) {
	var f membership.Fleet
	for _, m := range benchmarkFleet() {
		f.Members = append(f.Members, membership.FleetMember{
			ID: m.ID, Incarnation: m.Incarnation, Region: m.Region, FailureDomain: m.FailureDomain,
			Caller: m.Caller, Operator: m.Operator, Peer: m.Peer, State: m.State,
		})
	}
	raw, err := f.Encode()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := membership.DecodeFleet(raw); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(raw)), "bytes")
}

// BenchmarkNearest measures a lookup of instances in a large fleet.
func BenchmarkNearest(b *testing.B) {
	t := membership.NewTable()
	for _, m := range benchmarkFleet() {
		m.Confirmed = true
		t.Put(m)
	}
	b.ReportAllocs()
	for b.Loop() {
		_ = t.Nearest("region-3", "domain-3")
	}
}
