// Package rendezvous assigns keys to members by rendezvous hashing (highest random weight): processes with the same list
// of members choose the same owners, and a change of the list moves few keys.
package rendezvous

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// Owners returns the up to n members with the highest weights for the key, the highest first. It does not modify members.
func Owners(key []byte, members []string, n int) []string {
	ranked := make([]weightedMember, 0, len(members))
	for _, m := range members {
		ranked = append(ranked, weightedMember{member: m, weight: weightOf(key, m)})
	}
	slices.SortFunc(ranked, func(a, b weightedMember) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member, b.member))
	})
	owners := make([]string, 0, n)
	for _, w := range ranked[:min(n, len(ranked))] {
		owners = append(owners, w.member)
	}
	return owners
}

type weightedMember struct {
	member string
	weight uint64
}

func weightOf(key []byte, member string) uint64 {
	h := fnv.New128a()
	_, _ = h.Write([]byte(member))
	_, _ = h.Write(key)
	sum := h.Sum(nil)
	return mix(binary.BigEndian.Uint64(sum) ^ binary.BigEndian.Uint64(sum[8:]))
}

// mix spreads every input bit over the whole word. FNV-1a alone gives similar values to keys that differ only in their
// last bytes.
func mix(x uint64) uint64 {
	const first, second = 0xbf58476d1ce4e5b9, 0x94d049bb133111eb
	x = (x ^ x>>30) * first
	x = (x ^ x>>27) * second
	return x ^ x>>31
}
