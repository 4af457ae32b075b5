package resource

import (
	"net/netip"
	"unique"

	"medlarpond.dev/core/modules/persistent"
	"medlarpond.dev/core/modules/prefix"
)

// block is the value of a prefix in the table of client blocks; it is small because a lookup reads several of them.
type block struct {
	// failureDomain is interned: the few distinct names stay in the CPU cache.
	failureDomain unique.Handle[string]
	// name is the name of the client block.
	name *string
}

type blockTable = prefix.Table[block]

// FailureDomainOf returns the failure domain that is nearest to a client: the one of the client block with the longest
// prefix that contains the address.
func (s Snapshot) FailureDomainOf(client netip.Addr) (string, bool) {
	b, ok := s.blocks.Lookup(client)
	if !ok {
		return "", false
	}
	return b.failureDomain.Value(), true
}

// BlockOf returns the name of the client block with exactly this prefix.
func (s Snapshot) BlockOf(p netip.Prefix) (string, bool) {
	b, ok := s.blocks.Get(p)
	if !ok {
		return "", false
	}
	return *b.name, true
}

func newBlocks(resources persistent.Map[Resource]) blockTable {
	entries := make([]prefix.Entry[block], 0, resources.Len())
	for _, r := range resources.All() {
		if p, b, ok := blockOf(r); ok {
			entries = append(entries, prefix.Entry[block]{Prefix: p, Value: b})
		}
	}
	return prefix.New(entries)
}

func withBlock(t blockTable, r Resource) blockTable {
	p, b, ok := blockOf(r)
	if !ok {
		return t
	}
	return t.With(p, b)
}

// withoutBlock removes the prefix of a resource unless the prefix belongs to another resource now.
func withoutBlock(t blockTable, r Resource) blockTable {
	p, _, ok := blockOf(r)
	if !ok {
		return t
	}
	if current, found := t.Get(p); !found || *current.name != r.Name {
		return t
	}
	return t.Without(p)
}

func blockOf(r Resource) (netip.Prefix, block, bool) {
	spec, ok := r.Spec.(ClientBlock)
	if !ok {
		return netip.Prefix{}, block{}, false
	}
	p, err := netip.ParsePrefix(spec.Prefix)
	if err != nil {
		return netip.Prefix{}, block{}, false
	}
	name := r.Name
	return p, block{name: &name, failureDomain: unique.Make(spec.FailureDomain)}, true
}
