package resource

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
)

// KeyHash is the SHA-256 of a key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a key is stored.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Snapshot is an immutable set of resources with the indexes that requests need.
type Snapshot struct {
	// byKind is never written after the snapshot is built.
	byKind map[Kind]map[string]Resource
	// index is derived from byKind.
	index *index
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

type index struct {
	teamByKey map[KeyHash]string
	// routes is sorted so that longer paths come first.
	routes  []NamedRoute
	targets map[string][]NamedTarget
}

// NewSnapshot returns an empty snapshot.
func NewSnapshot() Snapshot {
	return Snapshot{byKind: map[Kind]map[string]Resource{}, index: &index{}}
}

// NewSnapshotOf returns a snapshot of the given resources.
func NewSnapshotOf(resources []Resource) Snapshot {
	byKind := map[Kind]map[string]Resource{}
	for _, r := range resources {
		if byKind[r.Kind] == nil {
			byKind[r.Kind] = map[string]Resource{}
		}
		byKind[r.Kind][r.Name] = r
	}
	return newIndexed(byKind)
}

// With returns a snapshot in which the resource replaces the one of its kind and name.
func (s Snapshot) With(r Resource) Snapshot {
	changed := maps.Clone(s.byKind[r.Kind])
	if changed == nil {
		changed = map[string]Resource{}
	}
	changed[r.Name] = r
	return s.withKind(r.Kind, changed)
}

// Without returns a snapshot that lacks the named resource.
func (s Snapshot) Without(kind Kind, name string) Snapshot {
	changed := maps.Clone(s.byKind[kind])
	delete(changed, name)
	return s.withKind(kind, changed)
}

func (s Snapshot) withKind(kind Kind, changed map[string]Resource) Snapshot {
	byKind := maps.Clone(s.byKind)
	byKind[kind] = changed
	if kind == KindClientBlock || kind == KindTeam || kind == KindShift {
		return Snapshot{byKind: byKind, index: s.index}
	}
	return newIndexed(byKind)
}

// Get returns one resource.
func (s Snapshot) Get(kind Kind, name string) (Resource, bool) {
	r, ok := s.byKind[kind][name]
	return r, ok
}

// List returns the resources of a kind, sorted by name.
func (s Snapshot) List(kind Kind) []Resource {
	return slices.SortedFunc(maps.Values(s.byKind[kind]), func(a, b Resource) int { return cmp.Compare(a.Name, b.Name) })
}

// All returns every resource, sorted by kind in the order of Kinds and then by name.
func (s Snapshot) All() []Resource {
	var all []Resource
	for _, k := range Kinds() {
		all = append(all, s.List(k)...)
	}
	return all
}

// Spec returns the typed spec of a resource.
func Spec[T any](s Snapshot, kind Kind, name string) (T, bool) {
	r, ok := s.byKind[kind][name]
	if !ok {
		var zero T
		return zero, false
	}
	spec, ok := r.Spec.(T)
	return spec, ok
}

// TeamOf returns the team that a key was granted to.
func (s Snapshot) TeamOf(h KeyHash) (string, bool) {
	team, ok := s.index.teamByKey[h]
	return team, ok
}

// RouteOf returns the route with the longest path that is a prefix of the given path.
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

func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

func newIndexed(byKind map[Kind]map[string]Resource) Snapshot {
	s := Snapshot{byKind: byKind}
	x := &index{teamByKey: map[KeyHash]string{}, targets: map[string][]NamedTarget{}}
	for _, r := range byKind[KindKey] {
		k := r.Spec.(Key)
		var h KeyHash
		if raw, err := hex.DecodeString(k.Hash); err == nil && copy(h[:], raw) == len(h) {
			x.teamByKey[h] = k.Team
		}
	}
	for _, r := range s.List(KindRoute) {
		x.routes = append(x.routes, NamedRoute{Name: r.Name, Route: r.Spec.(Route)})
	}
	slices.SortStableFunc(x.routes, func(a, b NamedRoute) int { return cmp.Compare(len(b.Path), len(a.Path)) })
	for _, r := range s.List(KindTarget) {
		t := r.Spec.(Target)
		d, _ := Spec[FailureDomain](s, KindFailureDomain, t.FailureDomain)
		x.targets[t.Service] = append(x.targets[t.Service], NamedTarget{Name: r.Name, Region: d.Region, Target: t})
	}
	s.index = x
	return s
}
