package ratepool

import (
	"cmp"
	"maps"
	"slices"

	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/rendezvous"
)

const (
	// maxParents is the number of candidates for a parent.
	maxParents = 3
	// rootKey is the key by which the root is chosen, collectorKey the prefix of the keys by which domain collectors are.
	rootKey      = "rates"
	collectorKey = "rates/"
)

// hierarchy is what follows from a list of instances.
type hierarchy struct {
	// collectors are the candidates for the collector of this failure domain, roots those for the root, the first choice first.
	collectors, roots []Parent
	// uneven is true if callers are not directed to some of the instances.
	uneven bool
}

// newHierarchy returns the hierarchy for an instance at a place.
func newHierarchy(instances []roster.Instance, place roster.Place) (h hierarchy) {
	domains := map[roster.Place][]roster.Instance{}
	for _, i := range instances {
		domains[i.Place] = append(domains[i.Place], i)
	}
	h.collectors = collectorsOf(domains[place], place)
	var all []Parent
	for _, p := range slices.SortedFunc(maps.Keys(domains), func(a, b roster.Place) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.FailureDomain, b.FailureDomain))
	}) {
		if collectors := collectorsOf(domains[p], p); len(collectors) > 0 {
			all = append(all, collectors[0])
		}
		h.uneven = h.uneven || len(roster.Serving(domains[p], p)) < len(domains[p])
	}
	h.roots = rank(rootKey, all)
	return h
}

// collectorsOf returns the candidates for the collector of a failure domain with the given instances.
func collectorsOf(domain []roster.Instance, place roster.Place) []Parent {
	var serving []Parent
	for _, i := range roster.Serving(domain, place) {
		if i.Peer != "" {
			serving = append(serving, Parent{ID: i.ID, Address: i.Peer})
		}
	}
	return rank(collectorKey+place.Region+"/"+place.FailureDomain, serving)
}

// rank returns the first maxParents of the candidates by rendezvous hashing.
func rank(key string, candidates []Parent) []Parent {
	ids, byID := make([]string, 0, len(candidates)), make(map[string]Parent, len(candidates))
	for _, c := range candidates {
		ids = append(ids, c.ID)
		byID[c.ID] = c
	}
	ranked := make([]Parent, 0, maxParents)
	for _, id := range rendezvous.Owners([]byte(key), ids, maxParents) {
		ranked = append(ranked, byID[id])
	}
	return ranked
}
