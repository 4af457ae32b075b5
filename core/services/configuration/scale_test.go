package configuration_test

import (
	"fmt"
	"testing"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/services/configuration"
)

const (
	// benchmarkBlocks and benchmarkDomains are the size of the fleet to design for.
	benchmarkBlocks  = 200_000
	benchmarkDomains = 48
	// benchmarkChunk is the size of a chunk between instances.
	benchmarkChunk = 256 << 10
)

func benchmarkView() *configuration.View {
	all := make([]resource.Resource, 0, benchmarkBlocks)
	for i := range benchmarkBlocks {
		all = append(all, resource.Resource{
			Kind: resource.KindClientBlock, Name: fmt.Sprintf("block-%d", i), Version: uint64(i + 1),
			Spec: resource.ClientBlock{
				Prefix: fmt.Sprintf("%d.%d.%d.0/24", 1+i>>16, i>>8&0xff, i&0xff), FailureDomain: fmt.Sprintf("domain-%d", i%benchmarkDomains),
			},
		})
	}
	return &configuration.View{Snapshot: resource.NewSnapshotOf(all), Revision: benchmarkBlocks, Chain: "c"}
}

// BenchmarkImageWrite encodes the whole configuration for a newcomer.
func BenchmarkImageWrite(b *testing.B) {
	v := benchmarkView()
	size := 0
	for b.Loop() {
		image, err := configuration.NewImage(v, benchmarkChunk)
		if err != nil {
			b.Fatal(err)
		}
		size = 0
		for _, chunk := range image.Chunks {
			size += len(chunk)
		}
	}
	b.ReportMetric(float64(size)/(1<<20), "MB")
}

// BenchmarkImageRead puts the whole configuration in force at a newcomer.
func BenchmarkImageRead(b *testing.B) {
	image, err := configuration.NewImage(benchmarkView(), benchmarkChunk)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := image.View(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkApply puts one change of a client block in force in a large configuration.
func BenchmarkApply(b *testing.B) {
	s := configuration.NewState()
	s.Install(benchmarkView())
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		v := s.View()
		r, _ := v.Snapshot.Get(resource.KindClientBlock, "block-7")
		record, err := configuration.NewRecord(configuration.Change{
			ID: "x", Revision: v.Revision + 1, Previous: v.Chain, Action: configuration.ActionUpdate, Actor: "a", Reason: "r", Resource: &r, Before: &r,
		})
		if err != nil {
			b.Fatal(err)
		}
		if err := s.Apply(record); err != nil {
			b.Fatal(err)
		}
		size = len(record.Raw)
	}
	b.ReportMetric(float64(size), "record-bytes")
}
