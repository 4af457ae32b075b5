package prefix

import "slices"

// node holds the prefixes that end within one octet of the address, and the ways on. Each of its three parts fills one
// cache line, so that a look-up that only passes through touches one.
type node[V any] struct {
	// branches leads on to further nodes, by octet.
	branches sparse[*node[V]]
	// buckets holds the entries that go on by an octet while they are few; no octet is both here and in branches.
	buckets sparse[bucket[V]]
	// ends holds the values of the prefixes that end here, by the bit 1<<length | their bits, for a length from 0 to 7.
	ends sparse[V]
}

// longest returns the value of the longest prefix that ends in this node and contains the address; nil if there is none.
func (n *node[V]) longest(octet int) *V {
	if len(n.ends.values) == 0 {
		return nil
	}
	end, ok := n.ends.members.last(&covering[octet])
	if !ok {
		return nil
	}
	return n.ends.get(end)
}

// put adds an entry in place and reports whether its prefix is new; only for nodes that nobody else can see.
func (n *node[V]) put(e entry[V], depth int) bool {
	if depth == e.level() {
		return n.ends.put(e.end(), e.value)
	}
	octet := e.octet(depth)
	if branch := n.branches.get(octet); branch != nil {
		return (*branch).put(e, depth+1)
	}
	have := n.bucket(octet)
	filled, added := have.with(e)
	if len(filled) <= bucketSize {
		n.buckets.put(octet, filled)
		return added
	}
	branch := &node[V]{}
	for _, each := range filled {
		branch.put(each, depth+1)
	}
	n.buckets.drop(octet)
	n.branches.put(octet, branch)
	return added
}

// with returns a copy of the node that has the entry, and whether its prefix is new; the node may be nil.
func (n *node[V]) with(e entry[V], depth int) (*node[V], bool) {
	c := n.clone()
	if depth != e.level() {
		if branch := c.branches.get(e.octet(depth)); branch != nil {
			changed, added := (*branch).with(e, depth+1)
			*branch = changed
			return c, added
		}
	}
	return c, c.put(e, depth)
}

// without returns a copy of the node that lacks the entry's prefix, which the node has; nil if nothing is left.
func (n *node[V]) without(e entry[V], depth int) *node[V] {
	c := n.clone()
	octet := e.octet(depth)
	branch := c.branches.get(octet)
	switch {
	case depth == e.level():
		c.ends.drop(e.end())
	case branch != nil:
		c.replaceBranch(octet, (*branch).without(e, depth+1))
	default:
		rest := c.bucket(octet)
		c.replaceBucket(octet, rest.without(rest.find(e)))
	}
	if len(c.ends.values) == 0 && len(c.buckets.values) == 0 && len(c.branches.values) == 0 {
		return nil
	}
	return c
}

// replaceBranch puts what is left of a branch in its place; what fits one bucket becomes one.
func (n *node[V]) replaceBranch(octet int, rest *node[V]) {
	switch {
	case rest == nil:
		n.branches.drop(octet)
	case len(rest.ends.values) == 0 && len(rest.branches.values) == 0 && len(rest.buckets.values) == 1:
		n.branches.drop(octet)
		n.buckets.put(octet, rest.buckets.values[0])
	default:
		n.branches.put(octet, rest)
	}
}

func (n *node[V]) replaceBucket(octet int, rest bucket[V]) {
	if len(rest) == 0 {
		n.buckets.drop(octet)
		return
	}
	n.buckets.put(octet, rest)
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
	c.branches.values = slices.Clone(n.branches.values)
	c.buckets.values = slices.Clone(n.buckets.values)
	c.ends.values = slices.Clone(n.ends.values)
	return &c
}
