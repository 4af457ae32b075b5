package resource

import (
	"cmp"
	"crypto/sha256"
	"iter"
	"maps"
	"slices"

	"medlarpond.dev/core/modules/persistent"
)

// KeyHash is the SHA-256 hash of an API key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which an API key is stored.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Snapshot is an immutable set of resources with the indexes that serving requests needs.
type Snapshot struct {
	// byKind is never written after the snapshot is built.
	byKind map[Kind]persistent.Map[Resource]
	// index and blocks are derived from byKind.
	index  *index
	blocks blockTable
}

// NamedTarget is a target with its name and region.
type NamedTarget struct {
	Name   string
	Region string
	Target
}

// NamedRoute is a route with its name.
type NamedRoute struct {
	Name string
	Route
}

// NewSnapshot returns an empty snapshot.
func NewSnapshot() Snapshot {
	return Snapshot{byKind: map[Kind]persistent.Map[Resource]{}, index: &index{}}
}

// NewSnapshotOf returns a snapshot of the given resources; of several with the same kind and name the last one counts.
func NewSnapshotOf(resources []Resource) Snapshot {
	grouped := map[Kind][]Resource{}
	for _, r := range resources {
		grouped[r.Kind] = append(grouped[r.Kind], r)
	}
	byKind := map[Kind]persistent.Map[Resource]{}
	for kind, all := range grouped {
		byKind[kind] = persistent.NewMap(keyedByName(all))
	}
	s := Snapshot{byKind: byKind, blocks: newBlocks(byKind[KindClientBlock])}
	s.index = newIndex(s)
	return s
}

func keyedByName(resources []Resource) iter.Seq2[string, Resource] {
	return func(yield func(string, Resource) bool) {
		for _, r := range resources {
			if !yield(r.Name, r) {
				return
			}
		}
	}
}

// With returns a snapshot in which the resource replaces the one of its kind and name.
func (s Snapshot) With(r Resource) Snapshot {
	blocks := s.blocks
	if r.Kind == KindClientBlock {
		before, _ := s.Get(r.Kind, r.Name)
		blocks = withBlock(withoutBlock(blocks, before), r)
	}
	return s.replaceKind(r.Kind, s.byKind[r.Kind].With(r.Name, r), blocks)
}

// Without returns a snapshot that lacks the named resource.
func (s Snapshot) Without(kind Kind, name string) Snapshot {
	blocks := s.blocks
	if kind == KindClientBlock {
		before, _ := s.Get(kind, name)
		blocks = withoutBlock(blocks, before)
	}
	return s.replaceKind(kind, s.byKind[kind].Without(name), blocks)
}

// replaceKind returns a snapshot with other resources of a kind. It rebuilds the index only for kinds that the index
// depends on.
func (s Snapshot) replaceKind(kind Kind, changed persistent.Map[Resource], blocks blockTable) Snapshot {
	byKind := maps.Clone(s.byKind)
	byKind[kind] = changed
	c := Snapshot{byKind: byKind, index: s.index, blocks: blocks}
	if kind != KindClientBlock && kind != KindTeam && kind != KindShift {
		c.index = newIndex(c)
	}
	return c
}

// Get returns one resource.
func (s Snapshot) Get(kind Kind, name string) (Resource, bool) {
	return s.byKind[kind].Get(name)
}

// List returns the resources of a kind, sorted by name.
func (s Snapshot) List(kind Kind) []Resource {
	all := s.listUnsorted(kind)
	slices.SortFunc(all, func(a, b Resource) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Count returns the number of resources of a kind.
func (s Snapshot) Count(kind Kind) int { return s.byKind[kind].Len() }

func (s Snapshot) listUnsorted(kind Kind) []Resource {
	all := make([]Resource, 0, s.byKind[kind].Len())
	for _, r := range s.byKind[kind].All() {
		all = append(all, r)
	}
	return all
}

// All returns every resource, sorted by kind in the order of Kinds and then by name.
func (s Snapshot) All() []Resource {
	var all []Resource
	for _, k := range Kinds() {
		all = append(all, s.List(k)...)
	}
	return all
}

// Spec returns the spec of a resource as type T, and false if the resource does not exist or its spec has another type.
func Spec[T any](s Snapshot, kind Kind, name string) (T, bool) {
	r, ok := s.Get(kind, name)
	if !ok {
		var zero T
		return zero, false
	}
	spec, ok := r.Spec.(T)
	return spec, ok
}

// TeamOf returns the team to which an API key belongs.
func (s Snapshot) TeamOf(h KeyHash) (string, bool) {
	team, ok := s.index.teamByKey[h]
	return team, ok
}

// RouteOf returns the route whose path is the longest prefix of the given path, in whole path segments.
func (s Snapshot) RouteOf(path string) (NamedRoute, bool) {
	for _, r := range s.index.routes {
		if hasPathPrefix(path, r.Path) {
			return r, true
		}
	}
	return NamedRoute{}, false
}

// TargetsOf returns the targets of a service, sorted by name; the caller must not change them.
func (s Snapshot) TargetsOf(service string) []NamedTarget { return s.index.targets[service] }
