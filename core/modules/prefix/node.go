package prefix

import "slices"

// node is a node of the trie. It holds the prefixes that end within one octet of the address, and its children. Each of
// its three fields fills one cache line, so that a lookup that only descends through a node touches one cache line.
type node[V any] struct {
	// children holds the child nodes by octet.
	children sparse[*node[V]]
	// buckets holds, by octet, the entries that end below this node, as long as one bucket can hold those of the octet; no
	// octet is both here and in children.
	buckets sparse[bucket[V]]
	// prefixes holds the values of the prefixes that end in this node, by the index 1<<length | bits, with the length and
	// the bits of the prefix within this octet; the length is from 0 to 7.
	prefixes sparse[V]
}

// longest returns the value of the longest prefix that ends in this node and contains the octet, or nil.
func (n *node[V]) longest(octet int) *V {
	if len(n.prefixes.values) == 0 {
		return nil
	}
	index, ok := n.prefixes.members.greatestCommon(&containingPrefixes[octet])
	if !ok {
		return nil
	}
	return n.prefixes.get(index)
}

// put adds an entry in place and reports whether its prefix is new; only for nodes that are not shared yet.
func (n *node[V]) put(e entry[V], depth int) bool {
	if depth == e.level() {
		return n.prefixes.put(e.prefixIndex(), e.value)
	}
	octet := e.octet(depth)
	if child := n.children.get(octet); child != nil {
		return (*child).put(e, depth+1)
	}
	current := n.bucket(octet)
	changed, added := current.with(e)
	if len(changed) <= bucketSize {
		n.buckets.put(octet, changed)
		return added
	}
	child := &node[V]{}
	for _, each := range changed {
		child.put(each, depth+1)
	}
	n.buckets.remove(octet)
	n.children.put(octet, child)
	return added
}

// with returns a copy of the node that has the entry, and whether its prefix is new; the node may be nil.
func (n *node[V]) with(e entry[V], depth int) (*node[V], bool) {
	c := n.clone()
	if depth != e.level() {
		if child := c.children.get(e.octet(depth)); child != nil {
			changed, added := (*child).with(e, depth+1)
			*child = changed
			return c, added
		}
	}
	return c, c.put(e, depth)
}

// without returns a copy of the node that lacks the entry's prefix, or nil if the copy would be empty. The node must have
// the prefix.
func (n *node[V]) without(e entry[V], depth int) *node[V] {
	c := n.clone()
	octet := e.octet(depth)
	child := c.children.get(octet)
	switch {
	case depth == e.level():
		c.prefixes.remove(e.prefixIndex())
	case child != nil:
		c.replaceChild(octet, (*child).without(e, depth+1))
	default:
		b := c.bucket(octet)
		c.replaceBucket(octet, b.without(b.find(e)))
	}
	if len(c.prefixes.values) == 0 && len(c.buckets.values) == 0 && len(c.children.values) == 0 {
		return nil
	}
	return c
}

// replaceChild replaces the child of an octet after a removal. A nil child is removed, and a child that consists of one
// bucket is replaced by that bucket.
func (n *node[V]) replaceChild(octet int, child *node[V]) {
	switch {
	case child == nil:
		n.children.remove(octet)
	case len(child.prefixes.values) == 0 && len(child.children.values) == 0 && len(child.buckets.values) == 1:
		n.children.remove(octet)
		n.buckets.put(octet, child.buckets.values[0])
	default:
		n.children.put(octet, child)
	}
}

// replaceBucket replaces the bucket of an octet after a removal; an empty bucket is removed.
func (n *node[V]) replaceBucket(octet int, b bucket[V]) {
	if len(b) == 0 {
		n.buckets.remove(octet)
		return
	}
	n.buckets.put(octet, b)
}

// bucket returns the bucket of an octet; empty if there is none.
func (n *node[V]) bucket(octet int) bucket[V] {
	if b := n.buckets.get(octet); b != nil {
		return *b
	}
	return nil
}

func (n *node[V]) clone() *node[V] {
	if n == nil {
		return &node[V]{}
	}
	c := *n
	c.children.values = slices.Clone(n.children.values)
	c.buckets.values = slices.Clone(n.buckets.values)
	c.prefixes.values = slices.Clone(n.prefixes.values)
	return &c
}
