package placement

import (
	"maps"
	"slices"
	"time"

	"medlarpond.dev/core/models/roster"
)

// minUnreservedFraction is the minimum fraction of a region's capacity that remains for requests without home regions.
// Configured rates only approximate demand, and targets that such requests never use would be cold when needed.
const minUnreservedFraction = 0.1

// trafficShares holds how the requests from one failure domain are distributed.
type trafficShares struct {
	// regions maps each region to its fraction of the requests; the sum is 1.
	regions map[string]float64
	// domains maps each failure domain to its weight among the domains of its region.
	domains map[string]float64
}

// capacity is the number of slots of a service, by place and region.
type capacity struct {
	slots   map[roster.Place]float64
	regions map[string]float64
	total   float64
}

func newCapacity(targets []roster.Target, usable func(roster.Target) bool) capacity {
	c := capacity{slots: map[roster.Place]float64{}, regions: map[string]float64{}}
	for _, t := range targets {
		if !usable(t) {
			continue
		}
		c.slots[t.Place] += float64(t.Slots)
		c.regions[t.Place.Region] += float64(t.Slots)
		c.total += float64(t.Slots)
	}
	return c
}

// withoutReserved returns the capacity that remains for requests without home regions. reserved maps each region to the
// fraction of all requests that must be served in it.
func (c capacity) withoutReserved(reserved map[string]float64) capacity {
	remaining := capacity{slots: map[roster.Place]float64{}, regions: map[string]float64{}}
	for place, slots := range c.slots {
		if regionSlots := c.regions[place.Region]; regionSlots > 0 {
			slots *= max(minUnreservedFraction, 1-reserved[place.Region]*c.total/regionSlots)
		}
		remaining.slots[place] = slots
		remaining.regions[place.Region] += slots
		remaining.total += slots
	}
	return remaining
}

// allocation assigns capacity to the places from which requests come: each origin uses the targets of its own place
// first, then free capacity in its region, then in other regions. Nearby targets save bandwidth between sites.
type allocation struct {
	capacity capacity
	// flows maps pairs of origin and destination to slots.
	flows map[[2]roster.Place]float64
}

// allocate assigns capacity in proportion to the demand of each origin.
func allocate(c capacity, demand map[roster.Place]float64) allocation {
	a := allocation{capacity: c, flows: map[[2]roster.Place]float64{}}
	total := 0.0
	for _, weight := range demand {
		total += weight
	}
	if total == 0 || c.total == 0 {
		return a
	}
	unmet := map[roster.Place]float64{}
	free := maps.Clone(c.slots)
	originsByRegion := map[string][]roster.Place{}
	var origins []roster.Place
	for from, weight := range demand {
		demanded := c.total * weight / total
		own := min(demanded, free[from])
		a.flows[[2]roster.Place{from, from}] = own
		free[from] -= own
		unmet[from] = demanded - own
		originsByRegion[from.Region] = append(originsByRegion[from.Region], from)
		origins = append(origins, from)
	}
	for region, regionOrigins := range originsByRegion {
		a.assignFree(unmet, free, regionOrigins, func(to roster.Place) bool { return to.Region == region })
	}
	a.assignFree(unmet, free, origins, func(roster.Place) bool { return true })
	return a
}

// assignFree covers the unmet demand of some origins with free capacity at the permitted places, in proportion to both.
func (a *allocation) assignFree(unmet, free map[roster.Place]float64, origins []roster.Place, permitted func(to roster.Place) bool) {
	demanded, available := 0.0, 0.0
	for _, from := range origins {
		demanded += unmet[from]
	}
	for to, slots := range free {
		if permitted(to) {
			available += slots
		}
	}
	if demanded <= 0 || available <= 0 {
		return
	}
	scale := 1 / max(demanded, available)
	for _, from := range origins {
		for to, slots := range free {
			if permitted(to) {
				a.flows[[2]roster.Place{from, to}] += unmet[from] * slots * scale
			}
		}
	}
	for _, from := range origins {
		unmet[from] *= 1 - available*scale
	}
	for to, slots := range free {
		if permitted(to) {
			free[to] = slots * (1 - demanded*scale)
		}
	}
}

// affinityScope is the set of callers that share one preferred target per object.
type affinityScope int

const (
	// scopeRegion prefers one target per object for the callers of each region, within the region as far as its
	// capacity permits.
	scopeRegion affinityScope = iota
	// scopeDomain prefers one target per object for the callers of each failure domain, within the domain as far as its
	// capacity permits.
	scopeDomain
)

// chooseScope returns scopeDomain if the targets can run one request for every object and origin at once, otherwise
// scopeRegion. The callers of a region use the same objects, so in a scope that is too narrow an object is spread over
// more targets than its requests keep warm.
func chooseScope(c capacity, origins []roster.Place, objects int) affinityScope {
	if c.total >= float64(objects*len(origins)) {
		return scopeDomain
	}
	return scopeRegion
}

// computeShares returns the shares of one origin.
func computeShares(c capacity, origins []roster.Place, origin roster.Place, scope affinityScope) trafficShares {
	demand := map[roster.Place]float64{}
	if scope == scopeDomain {
		for _, o := range origins {
			demand[o] = 1
		}
		return allocate(c, demand).sharesFor(origin)
	}
	for _, o := range origins {
		demand[roster.Place{Region: o.Region}]++
	}
	regional := allocate(c.byRegion(), demand).sharesFor(roster.Place{Region: origin.Region})
	regional.domains = c.domains()
	return regional
}

// byRegion returns the capacity with each region merged into one place.
func (c capacity) byRegion() capacity {
	merged := capacity{slots: map[roster.Place]float64{}, regions: c.regions, total: c.total}
	for region, slots := range c.regions {
		merged.slots[roster.Place{Region: region}] = slots
	}
	return merged
}

func (c capacity) domains() map[string]float64 {
	domains := map[string]float64{}
	for place, slots := range c.slots {
		domains[place.FailureDomain] = slots
	}
	return domains
}

// sharesFor returns the shares of one origin.
func (a allocation) sharesFor(origin roster.Place) trafficShares {
	s := trafficShares{regions: map[string]float64{}, domains: map[string]float64{}}
	if a.capacity.total == 0 {
		return s
	}
	sum := 0.0
	for place := range a.capacity.slots {
		f := a.flows[[2]roster.Place{origin, place}]
		s.regions[place.Region] += f
		sum += f
	}
	for place, slots := range a.capacity.slots {
		f := a.flows[[2]roster.Place{origin, place}]
		if s.regions[place.Region] <= 0 {
			// The region is assigned none of the origin's requests; requests that overflow into it are distributed by
			// capacity.
			f = slots
		}
		s.domains[place.FailureDomain] = f
	}
	for region, slots := range a.capacity.regions {
		if sum <= 0 {
			s.regions[region] = slots / a.capacity.total
			continue
		}
		s.regions[region] /= sum
	}
	return s
}

// shareRamp limits how fast the fractions of regions follow the desired ones.
type shareRamp struct {
	current   map[string]float64
	updatedAt time.Time
}

// advance returns the fractions that apply now. A region without targets loses its fraction immediately.
func (r *shareRamp) advance(desired map[string]float64, now time.Time, maxStepPerSecond float64) map[string]float64 {
	if r.current == nil {
		r.current, r.updatedAt = maps.Clone(desired), now
		return r.current
	}
	step := maxStepPerSecond * now.Sub(r.updatedAt).Seconds()
	r.updatedAt = now
	next := map[string]float64{}
	names := make([]string, 0, len(desired))
	for name := range desired {
		names = append(names, name)
	}
	slices.Sort(names)
	sum := 0.0
	for _, name := range names {
		current := r.current[name]
		next[name] = max(0, current+min(max(desired[name]-current, -step), step))
		sum += next[name]
	}
	if sum <= 0 {
		next, sum = maps.Clone(desired), 1
	}
	for name := range next {
		next[name] /= sum
	}
	r.current = next
	return next
}
