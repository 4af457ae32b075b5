package prefix

import (
	"encoding/binary"
	"net/netip"
)

const (
	// strideBits is the number of address bits that one level of the trie consumes.
	strideBits = 8
	wordBits   = 64
	// mappedBits is the length of the prefix that maps IPv4 into IPv6.
	mappedBits = 96
)

// key is an address as two words, the first octet in the highest bits of high; an IPv4 address is followed by zeros.
type key struct {
	high, low uint64
}

func keyOf(a netip.Addr) key {
	if a.Is4() {
		four := a.As4()
		return key{high: uint64(binary.BigEndian.Uint32(four[:])) << 32}
	}
	if !a.Is6() {
		return key{}
	}
	sixteen := a.As16()
	return key{high: binary.BigEndian.Uint64(sixteen[:8]), low: binary.BigEndian.Uint64(sixteen[8:])}
}

// octet returns the octet that the given level of the trie consumes; zero past the end of the address.
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

// contains reports whether an address of the same family begins with the prefix.
func (e *entry[V]) contains(k key) bool {
	if e.length <= wordBits {
		return (e.high^k.high)>>(wordBits-e.length) == 0
	}
	return e.high == k.high && (e.low^k.low)>>(2*wordBits-e.length) == 0
}

// isPrefix reports whether two entries have the same prefix.
func (e *entry[V]) isPrefix(other entry[V]) bool {
	return e.key == other.key && e.length == other.length
}

// level returns the depth of the node in which the prefix ends.
func (e *entry[V]) level() int { return int(e.length) / strideBits }

// end returns the bit of the prefix in the node in which it ends.
func (e *entry[V]) end() int {
	length := int(e.length) % strideBits
	return 1<<length | e.octet(e.level())>>(strideBits-length)
}

// canonical returns the prefix without the bits past its length, zone and mapping of IPv4 into IPv6.
func canonical(p netip.Prefix) netip.Prefix {
	a, bits := p.Addr(), p.Bits()
	if a.Is4In6() && bits >= mappedBits {
		return netip.PrefixFrom(a.Unmap(), bits-mappedBits).Masked()
	}
	return netip.PrefixFrom(a.WithZone(""), bits).Masked()
}
