package configuration_test

import (
	"fmt"
	"testing"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/services/configuration"
)

const (
	// benchmarkClientBlocks and benchmarkFailureDomains are the size of the configuration that the system is designed
	// for.
	benchmarkClientBlocks   = 200_000
	benchmarkFailureDomains = 48
	// benchmarkChunkBytes is the size of the chunks in which instances send images to each other.
	benchmarkChunkBytes = 256 << 10
)

func benchmarkView() *configuration.View {
	all := make([]resource.Resource, 0, benchmarkClientBlocks)
	for i := range benchmarkClientBlocks {
		all = append(all, resource.Resource{
			Kind: resource.KindClientBlock, Name: fmt.Sprintf("block-%d", i), Version: uint64(i + 1),
			Spec: resource.ClientBlock{
				Prefix: fmt.Sprintf("%d.%d.%d.0/24", 1+i>>16, i>>8&0xff, i&0xff), FailureDomain: fmt.Sprintf("domain-%d", i%benchmarkFailureDomains),
			},
		})
	}
	return &configuration.View{Snapshot: resource.NewSnapshotOf(all), Revision: benchmarkClientBlocks, Chain: "c"}
}

// BenchmarkImageWrite encodes a large configuration as an image.
func BenchmarkImageWrite(b *testing.B) {
	v := benchmarkView()
	size := 0
	for b.Loop() {
		image, err := configuration.NewImage(v, benchmarkChunkBytes)
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

// BenchmarkImageRead decodes an image of a large configuration.
func BenchmarkImageRead(b *testing.B) {
	image, err := configuration.NewImage(benchmarkView(), benchmarkChunkBytes)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := image.View(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkApply applies a change of one client block to a large configuration.
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
