// Package rendezvous chooses owners of keys by highest random weight, so that every chooser with the same list of
// members chooses the same owners and a changed list moves few keys.
package rendezvous

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// Owners returns up to n members, the first owner of the key first. It does not change members.
func Owners(key []byte, members []string, n int) []string {
	ranked := make([]weighted, 0, len(members))
	for _, m := range members {
		ranked = append(ranked, weighted{member: m, weight: weigh(key, m)})
	}
	slices.SortFunc(ranked, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member, b.member))
	})
	owners := make([]string, 0, n)
	for _, w := range ranked[:min(n, len(ranked))] {
		owners = append(owners, w.member)
	}
	return owners
}

type weighted struct {
	member string
	weight uint64
}

func weigh(key []byte, member string) uint64 {
	h := fnv.New128a()
	_, _ = h.Write([]byte(member))
	_, _ = h.Write(key)
	sum := h.Sum(nil)
	return mix(binary.BigEndian.Uint64(sum) ^ binary.BigEndian.Uint64(sum[8:]))
}

// mix spreads every input bit over the whole word; the hash alone leaves the last bytes of a key near each other.
func mix(x uint64) uint64 {
	const first, second = 0xbf58476d1ce4e5b9, 0x94d049bb133111eb
	x = (x ^ x>>30) * first
	x = (x ^ x>>27) * second
	return x ^ x>>31
}
