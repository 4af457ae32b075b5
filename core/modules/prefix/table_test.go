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

// drawAddr draws from few values for each octet, so that prefixes often nest and coincide.
func drawAddr(t *rapid.T) netip.Addr {
	octet := rapid.SampledFrom([]byte{0, 1, 2, 127, 128, 129, 255})
	if rapid.Bool().Draw(t, "ipv4") {
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

// referenceTable is a simple implementation of the table, for comparison.
type referenceTable map[netip.Prefix]int

func (r referenceTable) lookup(a netip.Addr) (value int, found bool) {
	longest := -1
	for p, v := range r {
		if p.Contains(a) && p.Bits() > longest {
			longest, value, found = p.Bits(), v, true
		}
	}
	return value, found
}

func (r referenceTable) entries() []prefix.Entry[int] {
	var entries []prefix.Entry[int]
	for p, v := range r {
		entries = append(entries, prefix.Entry[int]{Prefix: p, Value: v})
	}
	return entries
}

func (r referenceTable) check(t *rapid.T, name string, table prefix.Table[int], addresses []netip.Addr) {
	if table.Len() != len(r) {
		t.Fatalf("%s: Len: got %d, want %d", name, table.Len(), len(r))
	}
	for p, v := range r {
		if got, ok := table.Get(p); !ok || got != v {
			t.Fatalf("%s: Get(%s): got %d, %t; want %d, true", name, p, got, ok, v)
		}
	}
	for _, a := range addresses {
		got, ok := table.Lookup(a)
		if want, found := r.lookup(a); got != want || ok != found {
			t.Fatalf("%s: Lookup(%s): got %d, %t; want %d, %t", name, a, got, ok, want, found)
		}
	}
}

// TestTable makes random changes to a table and compares the result, an earlier version, and a table that is built at
// once from the same entries with reference tables.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := referenceTable{}
		var table, earlier prefix.Table[int]
		wantEarlier := referenceTable{}
		var addresses []netip.Addr
		steps := rapid.IntRange(1, 120).Draw(t, "steps")
		for i := range steps {
			p := drawPrefix(t)
			addresses = append(addresses, drawAddr(t), p.Addr())
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				delete(want, p)
				table = table.Without(p)
			case 1:
				earlier = table
				wantEarlier = referenceTable{}
				for p, v := range want {
					wantEarlier[p] = v
				}
			default:
				want[p] = i
				table = table.With(p, i)
			}
		}
		for p := range want {
			if rapid.Bool().Draw(t, "delete") {
				delete(want, p)
				table = table.Without(p)
			}
		}
		want.check(t, "changed table", table, addresses)
		wantEarlier.check(t, "earlier table", earlier, addresses)
		want.check(t, "table built at once", prefix.New(want.entries()), addresses)
	})
}

// TestIPv4MappedAddress checks that an IPv4 address and its IPv4-mapped IPv6 form match the same prefix.
func TestIPv4MappedAddress(t *testing.T) {
	table := prefix.Table[int]{}.With(netip.MustParsePrefix("::ffff:192.0.2.0/120"), 7)
	for _, a := range []string{"192.0.2.1", "::ffff:192.0.2.1"} {
		if v, ok := table.Lookup(netip.MustParseAddr(a)); !ok || v != 7 {
			t.Errorf("Lookup(%s): got %d, %t; want 7, true", a, v, ok)
		}
	}
	wide := netip.MustParsePrefix("::ffff:0:0/90").Masked()
	if v, ok := table.With(wide, 8).Get(wide); !ok || v != 8 {
		t.Errorf("Get(%s): got %d, %t; want 8, true", wide, v, ok)
	}
	if _, ok := table.Lookup(netip.Addr{}); ok {
		t.Error("Lookup of an invalid address: got a value, want none")
	}
}

const (
	benchmarkBlocks = 200_000
	benchmarkValues = 710
	// benchmarkIPv6Ratio is the number of blocks of which, on average, one is an IPv6 block.
	benchmarkIPv6Ratio = 4
)

// benchmarkEntries returns distinct blocks like those of real clients: IPv4 from /16 to /24 and IPv6 from /32 to /48.
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
		entries = append(entries, prefix.Entry[uint16]{Prefix: p, Value: uint16(random.IntN(benchmarkValues))})
	}
	return entries
}

func randomPrefix(random *rand.Rand) netip.Prefix {
	if random.IntN(benchmarkIPv6Ratio) == 0 {
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
		table = table.With(entries[i%len(entries)].Prefix, uint16(i%benchmarkValues))
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
	retained := heapBytes() - before
	runtime.KeepAlive(table)
	for b.Loop() {
		_ = prefix.New(entries)
	}
	b.ReportMetric(float64(retained)/(1<<20), "MB-held")
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
