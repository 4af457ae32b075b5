// Package prefix finds the longest prefix that contains an IP address, in an immutable table.
//
// The table is a trie with a stride of eight bits for each address family. A change copies the nodes on the way to the
// prefix and shares all others, so look-ups in older tables go on undisturbed.
package prefix

import "net/netip"

// Table maps IP prefixes to values; it is immutable and safe for concurrent use. The zero value is an empty table.
type Table[V any] struct {
	// four and six are the roots of the tries; nil if the family has no prefix.
	four, six *node[V]
	size      int
}

// Entry is a prefix with its value.
type Entry[V any] struct {
	// Prefix has no bits past its length.
	Prefix netip.Prefix
	Value  V
}

// New returns a table of the given entries; of several with the same prefix the last one counts.
func New[V any](entries []Entry[V]) Table[V] {
	var t Table[V]
	for _, e := range entries {
		p := canonical(e.Prefix)
		root := t.root(p.Addr())
		if *root == nil {
			*root = &node[V]{}
		}
		if (*root).put(entryOf(p, e.Value), 0) {
			t.size++
		}
	}
	return t
}

// Len returns the number of prefixes.
func (t Table[V]) Len() int { return t.size }

// With returns a table in which the prefix has the value.
func (t Table[V]) With(p netip.Prefix, value V) Table[V] {
	p = canonical(p)
	root := t.root(p.Addr())
	changed, added := (*root).with(entryOf(p, value), 0)
	*root = changed
	if added {
		t.size++
	}
	return t
}

// Without returns a table that lacks the prefix.
func (t Table[V]) Without(p netip.Prefix) Table[V] {
	p = canonical(p)
	if _, ok := t.Get(p); !ok {
		return t
	}
	var none V
	root := t.root(p.Addr())
	*root = (*root).without(entryOf(p, none), 0)
	t.size--
	return t
}

// Get returns the value of exactly this prefix.
func (t Table[V]) Get(p netip.Prefix) (V, bool) {
	p = canonical(p)
	var none V
	e := entryOf(p, none)
	for n, depth := *t.root(p.Addr()), 0; n != nil; depth++ {
		if depth == e.level() {
			return valueOf(n.ends.get(e.end()))
		}
		octet := e.octet(depth)
		next := n.branches.get(octet)
		if next == nil {
			b := n.bucket(octet)
			if i := b.find(e); i >= 0 {
				return b[i].value, true
			}
			break
		}
		n = *next
	}
	return none, false
}

// Lookup returns the value of the longest prefix that contains the address.
func (t Table[V]) Lookup(a netip.Addr) (V, bool) {
	a = a.Unmap()
	k := keyOf(a)
	var best *V
	for n, depth := *t.root(a), 0; n != nil; depth++ {
		octet := k.octet(depth)
		if v := n.longest(octet); v != nil {
			best = v
		}
		next := n.branches.get(octet)
		if next == nil {
			if v := n.bucket(octet).longest(k); v != nil {
				best = v
			}
			break
		}
		n = *next
	}
	return valueOf(best)
}

func valueOf[V any](found *V) (V, bool) {
	if found == nil {
		var none V
		return none, false
	}
	return *found, true
}

func (t *Table[V]) root(a netip.Addr) **node[V] {
	if a.Is4() {
		return &t.four
	}
	return &t.six
}
