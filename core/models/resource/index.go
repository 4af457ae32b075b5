package resource

import (
	"cmp"
	"encoding/hex"
	"slices"
	"strings"
)

// index holds the tables that are read for each request.
type index struct {
	teamByKey map[KeyHash]string
	// routes is sorted so that longer paths come first.
	routes []NamedRoute
	// targets holds the targets of each service.
	targets map[string][]NamedTarget
}

func newIndex(s Snapshot) *index {
	x := &index{teamByKey: map[KeyHash]string{}, targets: map[string][]NamedTarget{}}
	for _, r := range s.byKind[KindKey].All() {
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
	return x
}

func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}
