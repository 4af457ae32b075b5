package resource_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"reflect"
	"runtime"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"medlarpond.dev/core/models/resource"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func clientBlock(name, prefix, failureDomain string) resource.Resource {
	return resource.Resource{
		Kind: resource.KindClientBlock, Name: name,
		Spec: resource.ClientBlock{Prefix: prefix, FailureDomain: failureDomain},
	}
}

func drawResource(t *rapid.T) resource.Resource {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
	domain := rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "domain")
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		return resource.Resource{Kind: resource.KindFailureDomain, Name: domain, Spec: resource.FailureDomain{Region: "r-" + name}}
	case 1:
		return resource.Resource{Kind: resource.KindTarget, Name: name, Spec: resource.Target{Service: "s", FailureDomain: domain, Slots: 1}}
	case 2:
		return resource.Resource{Kind: resource.KindRoute, Name: name, Spec: resource.Route{Path: "/" + name, Service: "s"}}
	default:
		prefix := rapid.SampledFrom([]string{"10.0.0.0/8", "10.1.0.0/16", "10.1.1.0/24", "2001:db8::/32"}).Draw(t, "prefix")
		return clientBlock("block-"+prefix[:4]+strconv.Itoa(len(prefix)), prefix, domain)
	}
}

// TestChangedSnapshotEqualsRebuilt checks that a snapshot reached by single changes has the same lookups as one built from
// the same resources at once, and that no change modifies the snapshot before it.
func TestChangedSnapshotEqualsRebuilt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := resource.NewSnapshot()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			r := drawResource(t)
			before, all := s, s.All()
			if rapid.Bool().Draw(t, "delete") {
				s = s.Without(r.Kind, r.Name)
			} else {
				s = s.With(r)
			}
			if !reflect.DeepEqual(before.All(), all) {
				t.Fatalf("the change of %s %s modified the snapshot before it", r.Kind, r.Name)
			}
			compare(t, s, resource.NewSnapshotOf(s.All()))
		}
	})
}

func compare(t *rapid.T, got, want resource.Snapshot) {
	if !reflect.DeepEqual(got.TargetsOf("s"), want.TargetsOf("s")) {
		t.Fatalf("targets: got %v, want %v", got.TargetsOf("s"), want.TargetsOf("s"))
	}
	for _, path := range []string{"/a", "/b/x", "/c", "/d"} {
		gotRoute, ok := got.RouteOf(path)
		if wantRoute, found := want.RouteOf(path); gotRoute.Name != wantRoute.Name || ok != found {
			t.Fatalf("route of %s: got %q, want %q", path, gotRoute.Name, wantRoute.Name)
		}
	}
	for _, address := range []string{"10.0.0.1", "10.1.0.1", "10.1.1.1", "11.0.0.1", "2001:db8::1"} {
		a := netip.MustParseAddr(address)
		gotDomain, ok := got.FailureDomainOf(a)
		if wantDomain, found := want.FailureDomainOf(a); gotDomain != wantDomain || ok != found {
			t.Fatalf("failure domain of %s: got %q, want %q", a, gotDomain, wantDomain)
		}
	}
}

// TestDuplicateClientBlockPrefix checks that validation rejects a client block with the prefix of another one.
func TestDuplicateClientBlockPrefix(t *testing.T) {
	s := resource.NewSnapshotOf([]resource.Resource{
		{Kind: resource.KindFailureDomain, Name: "d1", Spec: resource.FailureDomain{Region: "r1"}},
		clientBlock("first", "192.0.2.0/24", "d1"),
	})
	tests := []struct {
		name, prefix string
		taken        bool
	}{
		{"second", "192.0.2.0/24", true},
		{"first", "192.0.2.0/24", false},
		{"second", "192.0.2.0/25", false},
	}
	for _, test := range tests {
		t.Run(test.name+" "+test.prefix, func(t *testing.T) {
			var invalid *resource.ErrInvalid
			if got := errors.As(resource.Validate(s, clientBlock(test.name, test.prefix, "d1")), &invalid); got != test.taken {
				t.Fatalf("rejected: got %t, want %t", got, test.taken)
			}
		})
	}
}

const (
	benchmarkBlocks  = 200_000
	benchmarkDomains = 48
)

func benchmarkResources() []resource.Resource {
	random := rand.New(rand.NewPCG(1, 2))
	var all []resource.Resource
	for i := range benchmarkDomains {
		all = append(all, resource.Resource{
			Kind: resource.KindFailureDomain, Name: fmt.Sprintf("domain-%d", i), Spec: resource.FailureDomain{Region: "r1"},
		})
	}
	seen := map[netip.Prefix]bool{}
	for len(seen) < benchmarkBlocks {
		a := netip.AddrFrom4([4]byte{byte(1 + random.IntN(222)), byte(random.Uint32()), byte(random.Uint32())})
		p := netip.PrefixFrom(a, 16+random.IntN(9)).Masked()
		if seen[p] {
			continue
		}
		seen[p] = true
		all = append(all, clientBlock(fmt.Sprintf("block-%d", len(seen)), p.String(), fmt.Sprintf("domain-%d", random.IntN(benchmarkDomains))))
	}
	return all
}

func BenchmarkFailureDomainOf(b *testing.B) {
	all := benchmarkResources()
	s := resource.NewSnapshotOf(all)
	var addresses []netip.Addr
	for _, r := range all[benchmarkDomains:] {
		p := netip.MustParsePrefix(r.Spec.(resource.ClientBlock).Prefix)
		addresses = append(addresses, p.Addr())
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		_, _ = s.FailureDomainOf(addresses[i%len(addresses)])
		i++
	}
}

func BenchmarkWithClientBlock(b *testing.B) {
	all := benchmarkResources()
	s := resource.NewSnapshotOf(all)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		s = s.With(all[benchmarkDomains+i%benchmarkBlocks])
		i++
	}
}

func BenchmarkNewSnapshotOf(b *testing.B) {
	all := benchmarkResources()
	before := heapBytes()
	s := resource.NewSnapshotOf(all)
	retained := heapBytes() - before
	runtime.KeepAlive(s)
	for b.Loop() {
		_ = resource.NewSnapshotOf(all)
	}
	b.ReportMetric(float64(retained)/(1<<20), "MB-held")
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
