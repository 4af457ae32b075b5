package prefix

import (
	"encoding/binary"
	"net/netip"
)

const (
	// strideBits is the number of address bits that one level of the trie consumes.
	strideBits = 8
	wordBits   = 64
	// mappedBits is the length of the prefix of IPv4-mapped IPv6 addresses.
	mappedBits = 96
)

// key is an address as two words, with the first octet in the highest bits of high; an IPv4 address is padded with zeros.
type key struct {
	high, low uint64
}

func keyOf(a netip.Addr) key {
	if a.Is4() {
		ipv4 := a.As4()
		return key{high: uint64(binary.BigEndian.Uint32(ipv4[:])) << 32}
	}
	if !a.Is6() {
		return key{}
	}
	ipv6 := a.As16()
	return key{high: binary.BigEndian.Uint64(ipv6[:8]), low: binary.BigEndian.Uint64(ipv6[8:])}
}

// octet returns the octet of the address that the nodes at the given depth consume; zero past the end of the address.
func (k key) octet(depth int) int {
	if depth < wordBits/strideBits {
		return int(k.high >> (wordBits - strideBits - strideBits*depth) & 0xff)
	}
	return int(k.low >> uint(2*wordBits-strideBits-strideBits*depth) & 0xff)
}

// entry is a prefix with its value.
type entry[V any] struct {
	key
	length uint8
	value  V
}

// entryOf returns the entry of a canonical prefix.
func entryOf[V any](p netip.Prefix, value V) entry[V] {
	return entry[V]{key: keyOf(p.Addr()), length: uint8(p.Bits()), value: value} //nolint:gosec // at most 128
}

// contains reports whether the prefix contains an address of the same family.
func (e *entry[V]) contains(k key) bool {
	if e.length <= wordBits {
		return (e.high^k.high)>>(wordBits-e.length) == 0
	}
	return e.high == k.high && (e.low^k.low)>>(2*wordBits-e.length) == 0
}

// samePrefix reports whether two entries have the same prefix.
func (e *entry[V]) samePrefix(other entry[V]) bool {
	return e.key == other.key && e.length == other.length
}

// level returns the depth of the node that holds the prefix: the one whose octet contains the end of the prefix.
func (e *entry[V]) level() int { return int(e.length) / strideBits }

// prefixIndex returns the index of the prefix among the prefixes of the node that holds it.
func (e *entry[V]) prefixIndex() int {
	length := int(e.length) % strideBits
	return 1<<length | e.octet(e.level())>>(strideBits-length)
}

// canonical clears the bits past the length of the prefix, removes its zone and converts an IPv4-mapped IPv6 prefix to
// IPv4.
func canonical(p netip.Prefix) netip.Prefix {
	a, bits := p.Addr(), p.Bits()
	if a.Is4In6() && bits >= mappedBits {
		return netip.PrefixFrom(a.Unmap(), bits-mappedBits).Masked()
	}
	return netip.PrefixFrom(a.WithZone(""), bits).Masked()
}
