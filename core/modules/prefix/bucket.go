package prefix

import "slices"

// bucketSize is the number of entries that a bucket may hold.
const bucketSize = 16

// bucket is a short list of entries, longer prefixes first.
type bucket[V any] []entry[V]

// longest returns the value of the longest prefix that contains the address, or nil.
func (b bucket[V]) longest(k key) *V {
	for i := range b {
		if b[i].contains(k) {
			return &b[i].value
		}
	}
	return nil
}

// find returns the index of the entry with the same prefix, or -1.
func (b bucket[V]) find(e entry[V]) int {
	return slices.IndexFunc(b, func(candidate entry[V]) bool { return candidate.samePrefix(e) })
}

// with returns a copy that has the entry, and whether the bucket lacked its prefix.
func (b bucket[V]) with(e entry[V]) (bucket[V], bool) {
	if i := b.find(e); i >= 0 {
		c := slices.Clone(b)
		c[i] = e
		return c, false
	}
	index := slices.IndexFunc(b, func(candidate entry[V]) bool { return candidate.length < e.length })
	if index < 0 {
		index = len(b)
	}
	c := make(bucket[V], 0, len(b)+1)
	c = append(c, b[:index]...)
	c = append(c, e)
	return append(c, b[index:]...), true
}

// without returns a copy that lacks the entry with the given index.
func (b bucket[V]) without(i int) bucket[V] { return slices.Delete(slices.Clone(b), i, i+1) }
