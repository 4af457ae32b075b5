package prefix_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"runtime"
	"testing"

	"pgregory.net/rapid"

	"medlarpond.dev/core/modules/prefix"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	os.Exit(m.Run())
}

// drawAddr draws from few values for each octet, so that prefixes nest and meet often.
func drawAddr(t *rapid.T) netip.Addr {
	octet := rapid.SampledFrom([]byte{0, 1, 2, 127, 128, 129, 255})
	if rapid.Bool().Draw(t, "four") {
		var a [4]byte
		for i := range a {
			a[i] = octet.Draw(t, "octet")
		}
		return netip.AddrFrom4(a)
	}
	a := [16]byte{0x20, 0x01}
	for i := 2; i < 8; i++ {
		a[i] = octet.Draw(t, "octet")
	}
	a[15] = octet.Draw(t, "octet")
	return netip.AddrFrom16(a)
}

func drawPrefix(t *rapid.T) netip.Prefix {
	a := drawAddr(t)
	return netip.PrefixFrom(a, rapid.IntRange(0, a.BitLen()).Draw(t, "bits")).Masked()
}

// oracle is the table as a plain map.
type oracle map[netip.Prefix]int

func (o oracle) lookup(a netip.Addr) (value int, found bool) {
	longest := -1
	for p, v := range o {
		if p.Contains(a) && p.Bits() > longest {
			longest, value, found = p.Bits(), v, true
		}
	}
	return value, found
}

func (o oracle) entries() []prefix.Entry[int] {
	var entries []prefix.Entry[int]
	for p, v := range o {
		entries = append(entries, prefix.Entry[int]{Prefix: p, Value: v})
	}
	return entries
}

func (o oracle) check(t *rapid.T, what string, table prefix.Table[int], addresses []netip.Addr) {
	if table.Len() != len(o) {
		t.Fatalf("%s: %d prefixes, want %d", what, table.Len(), len(o))
	}
	for p, v := range o {
		if got, ok := table.Get(p); !ok || got != v {
			t.Fatalf("%s: %s: got %d %t, want %d", what, p, got, ok, v)
		}
	}
	for _, a := range addresses {
		got, ok := table.Lookup(a)
		if want, found := o.lookup(a); got != want || ok != found {
			t.Fatalf("%s: %s: got %d %t, want %d %t", what, a, got, ok, want, found)
		}
	}
}

// TestTable changes a table at random and compares it, its ancestors and a table built at once with a plain map.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		have := oracle{}
		var table, ancestor prefix.Table[int]
		ancestral := oracle{}
		var addresses []netip.Addr
		steps := rapid.IntRange(1, 120).Draw(t, "steps")
		for i := range steps {
			p := drawPrefix(t)
			addresses = append(addresses, drawAddr(t), p.Addr())
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				delete(have, p)
				table = table.Without(p)
			case 1:
				ancestor = table
				ancestral = oracle{}
				for p, v := range have {
					ancestral[p] = v
				}
			default:
				have[p] = i
				table = table.With(p, i)
			}
		}
		for p := range have {
			if rapid.Bool().Draw(t, "delete") {
				delete(have, p)
				table = table.Without(p)
			}
		}
		have.check(t, "changed table", table, addresses)
		ancestral.check(t, "ancestor", ancestor, addresses)
		have.check(t, "built table", prefix.New(have.entries()), addresses)
	})
}

// TestMapped checks that an IPv4 address finds its prefix in either notation.
func TestMapped(t *testing.T) {
	table := prefix.Table[int]{}.With(netip.MustParsePrefix("::ffff:192.0.2.0/120"), 7)
	for _, a := range []string{"192.0.2.1", "::ffff:192.0.2.1"} {
		if v, ok := table.Lookup(netip.MustParseAddr(a)); !ok || v != 7 {
			t.Errorf("%s: got %d %t, want 7", a, v, ok)
		}
	}
	wide := netip.MustParsePrefix("::ffff:0:0/90").Masked()
	if v, ok := table.With(wide, 8).Get(wide); !ok || v != 8 {
		t.Errorf("%s: got %d %t, want 8", wide, v, ok)
	}
	if _, ok := table.Lookup(netip.Addr{}); ok {
		t.Error("an invalid address has a prefix")
	}
}

const (
	benchmarkBlocks = 200_000
	benchmarkSites  = 710
	// benchmarkSixth is the share of IPv6 among the blocks, one in so many.
	benchmarkSixth = 4
)

// benchmarkEntries returns distinct blocks like those of clients: IPv4 from /16 to /24 and IPv6 from /32 to /48.
func benchmarkEntries() []prefix.Entry[uint16] {
	random := rand.New(rand.NewPCG(1, 2))
	seen := map[netip.Prefix]bool{}
	entries := make([]prefix.Entry[uint16], 0, benchmarkBlocks)
	for len(entries) < benchmarkBlocks {
		p := randomPrefix(random)
		if seen[p] {
			continue
		}
		seen[p] = true
		entries = append(entries, prefix.Entry[uint16]{Prefix: p, Value: uint16(random.IntN(benchmarkSites))})
	}
	return entries
}

func randomPrefix(random *rand.Rand) netip.Prefix {
	if random.IntN(benchmarkSixth) == 0 {
		a := [16]byte{0x20, 0x01 + byte(random.IntN(8)), byte(random.IntN(64)), byte(random.Uint32()), byte(random.Uint32()), byte(random.Uint32())}
		return netip.PrefixFrom(netip.AddrFrom16(a), 32+random.IntN(17)).Masked()
	}
	a := [4]byte{byte(1 + random.IntN(222)), byte(random.Uint32()), byte(random.Uint32())}
	return netip.PrefixFrom(netip.AddrFrom4(a), 16+random.IntN(9)).Masked()
}

func addressesIn(entries []prefix.Entry[uint16]) []netip.Addr {
	random := rand.New(rand.NewPCG(3, 4))
	addresses := make([]netip.Addr, 1<<16)
	for i := range addresses {
		addresses[i] = entries[random.IntN(len(entries))].Prefix.Addr()
	}
	return addresses
}

func BenchmarkLookup(b *testing.B) {
	entries := benchmarkEntries()
	table := prefix.New(entries)
	addresses := addressesIn(entries)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		_, _ = table.Lookup(addresses[i%len(addresses)])
		i++
	}
}

func BenchmarkWith(b *testing.B) {
	entries := benchmarkEntries()
	table := prefix.New(entries)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		table = table.With(entries[i%len(entries)].Prefix, uint16(i%benchmarkSites))
		i++
	}
}

func BenchmarkWithoutAndWith(b *testing.B) {
	entries := benchmarkEntries()
	table := prefix.New(entries)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		e := entries[i%len(entries)]
		table = table.Without(e.Prefix).With(e.Prefix, e.Value)
		i++
	}
}

func BenchmarkNew(b *testing.B) {
	entries := benchmarkEntries()
	before := heapBytes()
	table := prefix.New(entries)
	held := heapBytes() - before
	runtime.KeepAlive(table)
	for b.Loop() {
		_ = prefix.New(entries)
	}
	b.ReportMetric(float64(held)/(1<<20), "MB-held")
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func ExampleTable_Lookup() {
	table := prefix.New([]prefix.Entry[string]{
		{Prefix: netip.MustParsePrefix("192.0.2.0/24"), Value: "kolkata-a"},
		{Prefix: netip.MustParsePrefix("192.0.2.128/25"), Value: "siliguri-a"},
	})
	fmt.Println(table.Lookup(netip.MustParseAddr("192.0.2.200")))
	// Output: siliguri-a true
}
