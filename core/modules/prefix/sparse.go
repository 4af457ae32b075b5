package prefix

import (
	"math/bits"
	"slices"
)

// bitsetSize is the number of bits of a bitset.
const bitsetSize = 1 << strideBits

// sparse is an array of 256 elements that allocates memory only for those that are set.
type sparse[E any] struct {
	members bitset
	// values has one element for each member, in ascending order of the members.
	values []E
	// precedingCounts holds for each word of members the number of members in the words before it; at most 192, so that it
	// fits into 8 bits.
	precedingCounts [bitsetSize / wordBits]uint8
}

// rank returns how many members are smaller than i.
func (s *sparse[E]) rank(i int) int {
	word := uint(i) / wordBits % uint(len(s.members))
	return int(s.precedingCounts[word]) + bits.OnesCount64(s.members[word]&(1<<(uint(i)%wordBits)-1))
}

// toggle adds or removes a member.
func (s *sparse[E]) toggle(i int) {
	s.members[i/wordBits] ^= 1 << (i % wordBits)
	for word := 1; word < len(s.precedingCounts); word++ {
		s.precedingCounts[word] = s.precedingCounts[word-1] + uint8(bits.OnesCount64(s.members[word-1])) //nolint:gosec // at most 64
	}
}

// get returns a pointer to an element, or nil if it is not set. The pointer is valid until the array changes.
func (s *sparse[E]) get(i int) *E {
	if !s.members.has(i) {
		return nil
	}
	return &s.values[s.rank(i)]
}

// put sets an element and reports whether it was not set before.
func (s *sparse[E]) put(i int, e E) bool {
	if current := s.get(i); current != nil {
		*current = e
		return false
	}
	rank := s.rank(i)
	s.toggle(i)
	if len(s.values) == cap(s.values) {
		// Arrays change rarely, so they grow by only a quarter to save memory.
		grown := make([]E, len(s.values), len(s.values)+len(s.values)/4+1)
		copy(grown, s.values)
		s.values = grown
	}
	s.values = slices.Insert(s.values, rank, e)
	return true
}

// remove unsets an element, which must be set.
func (s *sparse[E]) remove(i int) {
	rank := s.rank(i)
	s.values = slices.Delete(s.values, rank, rank+1)
	s.toggle(i)
}

// bitset is a set of numbers from 0 to 255.
type bitset [bitsetSize / wordBits]uint64

func (b *bitset) has(i int) bool { return b[i/wordBits]&(1<<(i%wordBits)) != 0 }

// greatestCommon returns the greatest number that is in both sets.
func (b *bitset) greatestCommon(other *bitset) (int, bool) {
	for i := len(b) - 1; i >= 0; i-- {
		if both := b[i] & other[i]; both != 0 {
			return i*wordBits + bits.Len64(both) - 1, true
		}
	}
	return 0, false
}

// containingPrefixes holds, for each octet, the indexes of the prefixes within a node that contain it.
var containingPrefixes = newContainingPrefixes()

func newContainingPrefixes() (sets [bitsetSize]bitset) {
	for octet := range sets {
		for index := (bitsetSize | octet) >> 1; index > 0; index >>= 1 {
			sets[octet][index/wordBits] |= 1 << (index % wordBits)
		}
	}
	return sets
}
