package prefix

import "slices"

// bucketSize is the number of entries that a bucket may hold.
const bucketSize = 16

// bucket holds a few entries, longer prefixes first.
type bucket[V any] []entry[V]

// longest returns the value of the longest prefix that contains the address; nil if there is none.
func (b bucket[V]) longest(k key) *V {
	for i := range b {
		if b[i].contains(k) {
			return &b[i].value
		}
	}
	return nil
}

// find returns the index of a prefix; -1 if the bucket lacks it.
func (b bucket[V]) find(e entry[V]) int {
	return slices.IndexFunc(b, func(have entry[V]) bool { return have.isPrefix(e) })
}

// with returns a copy that has the entry, and whether its prefix is new.
func (b bucket[V]) with(e entry[V]) (bucket[V], bool) {
	if i := b.find(e); i >= 0 {
		c := slices.Clone(b)
		c[i] = e
		return c, false
	}
	at := slices.IndexFunc(b, func(have entry[V]) bool { return have.length < e.length })
	if at < 0 {
		at = len(b)
	}
	c := make(bucket[V], 0, len(b)+1)
	c = append(c, b[:at]...)
	c = append(c, e)
	return append(c, b[at:]...), true
}

// without returns a copy that lacks the prefix with the given index.
func (b bucket[V]) without(i int) bucket[V] { return slices.Delete(slices.Clone(b), i, i+1) }
