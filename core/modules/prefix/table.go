// Package prefix implements an immutable table for longest prefix matching of IP addresses.
//
// The table is a trie with a stride of eight bits for each address family. A change copies the nodes on the path to the
// prefix and shares all others, so concurrent lookups in older tables are not affected.
package prefix

import "net/netip"

// Table maps IP prefixes to values; it is immutable and safe for concurrent use. The zero value is an empty table.
type Table[V any] struct {
	// ipv4 and ipv6 are the roots of the tries; nil if the family has no prefix.
	ipv4, ipv6 *node[V]
	size       int
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

// With returns a copy of the table in which the prefix has the value.
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

// Without returns a copy of the table that lacks the prefix.
func (t Table[V]) Without(p netip.Prefix) Table[V] {
	p = canonical(p)
	if _, ok := t.Get(p); !ok {
		return t
	}
	var zero V
	root := t.root(p.Addr())
	*root = (*root).without(entryOf(p, zero), 0)
	t.size--
	return t
}

// Get returns the value of exactly this prefix.
func (t Table[V]) Get(p netip.Prefix) (V, bool) {
	p = canonical(p)
	var zero V
	e := entryOf(p, zero)
	for n, depth := *t.root(p.Addr()), 0; n != nil; depth++ {
		if depth == e.level() {
			return valueOf(n.prefixes.get(e.prefixIndex()))
		}
		octet := e.octet(depth)
		next := n.children.get(octet)
		if next == nil {
			b := n.bucket(octet)
			if i := b.find(e); i >= 0 {
				return b[i].value, true
			}
			break
		}
		n = *next
	}
	return zero, false
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
		next := n.children.get(octet)
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
		var zero V
		return zero, false
	}
	return *found, true
}

func (t *Table[V]) root(a netip.Addr) **node[V] {
	if a.Is4() {
		return &t.ipv4
	}
	return &t.ipv6
}
