package placement

import (
	"maps"
	"slices"
	"time"

	"medlarpond.dev/core/models/roster"
)

// minLeft is the least part of a region that is left for requests that may be served anywhere: what rates tell of demand is
// rough, and a region that is used for nothing else is cold when it is needed.
const minLeft = 0.1

// shares says which part of the requests from one failure domain goes to which failure domain.
type shares struct {
	// regions maps each region to its part; the sum is 1.
	regions map[string]float64
	// domains maps each failure domain to its part of its region's requests, relative to the others of the region.
	domains map[string]float64
}

// capacity is what the targets of a service can run, by place.
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

// without returns what is left for requests that may be served anywhere; parts are those of requests that may not.
func (c capacity) without(parts map[string]float64) capacity {
	left := capacity{slots: map[roster.Place]float64{}, regions: map[string]float64{}}
	for place, slots := range c.slots {
		if region := c.regions[place.Region]; region > 0 {
			slots *= max(minLeft, 1-parts[place.Region]*c.total/region)
		}
		left.slots[place] = slots
		left.regions[place.Region] += slots
		left.total += slots
	}
	return left
}

// dealing assigns capacity to the places from which requests come: each uses its own targets first, then free ones of
// its region, then free ones elsewhere. Near targets save bytes on links.
type dealing struct {
	capacity capacity
	// flows maps a pair of places, from and to, to slots.
	flows map[[2]roster.Place]float64
}

// deal assigns capacity in proportion to the demand of each origin.
func deal(c capacity, demand map[roster.Place]float64) dealing {
	d := dealing{capacity: c, flows: map[[2]roster.Place]float64{}}
	total := 0.0
	for _, part := range demand {
		total += part
	}
	if total == 0 || c.total == 0 {
		return d
	}
	missing := map[roster.Place]float64{}
	free := maps.Clone(c.slots)
	groups := map[string][]roster.Place{}
	var origins []roster.Place
	for from, part := range demand {
		due := c.total * part / total
		own := min(due, free[from])
		d.flows[[2]roster.Place{from, from}] = own
		free[from] -= own
		missing[from] = due - own
		groups[from.Region] = append(groups[from.Region], from)
		origins = append(origins, from)
	}
	for region, members := range groups {
		d.fill(missing, free, members, func(to roster.Place) bool { return to.Region == region })
	}
	d.fill(missing, free, origins, func(roster.Place) bool { return true })
	return d
}

// fill covers what a group of failure domains misses from what is free at the permitted ones, in proportion to both.
func (d *dealing) fill(missing, free map[roster.Place]float64, group []roster.Place, permitted func(to roster.Place) bool) {
	wanted, available := 0.0, 0.0
	for _, from := range group {
		wanted += missing[from]
	}
	for to, slots := range free {
		if permitted(to) {
			available += slots
		}
	}
	if wanted <= 0 || available <= 0 {
		return
	}
	scale := 1 / max(wanted, available)
	for _, from := range group {
		for to, slots := range free {
			if permitted(to) {
				d.flows[[2]roster.Place{from, to}] += missing[from] * slots * scale
			}
		}
	}
	for _, from := range group {
		missing[from] *= 1 - available*scale
	}
	for to, slots := range free {
		if permitted(to) {
			free[to] = slots * (1 - wanted*scale)
		}
	}
}

// scope says among which targets an object has one that serves it.
type scope int

const (
	// scopeRegion gives an object a target for the callers of each region: in the region as far as capacity permits.
	scopeRegion scope = iota
	// scopeDomain gives an object a target for the callers of each failure domain, in it as far as capacity permits.
	scopeDomain
)

// scopeOf returns the narrowest scope in which the targets can run one request of every object at once for each group of
// callers. Callers ask for the objects of their region, so in a scope that is too narrow an object is cold in more
// places than its requests warm.
func scopeOf(c capacity, origins []roster.Place, objects int) scope {
	if c.total >= float64(objects*len(origins)) {
		return scopeDomain
	}
	return scopeRegion
}

// sharesOf returns the shares of one origin.
func sharesOf(c capacity, origins []roster.Place, origin roster.Place, s scope) shares {
	demand := map[roster.Place]float64{}
	if s == scopeDomain {
		for _, o := range origins {
			demand[o] = 1
		}
		return deal(c, demand).from(origin)
	}
	for _, o := range origins {
		demand[roster.Place{Region: o.Region}]++
	}
	regional := deal(c.byRegion(), demand).from(roster.Place{Region: origin.Region})
	regional.domains = c.domains()
	return regional
}

// byRegion returns the capacity with each region as one place.
func (c capacity) byRegion() capacity {
	joined := capacity{slots: map[roster.Place]float64{}, regions: c.regions, total: c.total}
	for region, slots := range c.regions {
		joined.slots[roster.Place{Region: region}] = slots
	}
	return joined
}

func (c capacity) domains() map[string]float64 {
	domains := map[string]float64{}
	for place, slots := range c.slots {
		domains[place.FailureDomain] = slots
	}
	return domains
}

// from returns the shares of one origin.
func (d dealing) from(origin roster.Place) shares {
	s := shares{regions: map[string]float64{}, domains: map[string]float64{}}
	if d.capacity.total == 0 {
		return s
	}
	sum := 0.0
	for place := range d.capacity.slots {
		f := d.flows[[2]roster.Place{origin, place}]
		s.regions[place.Region] += f
		sum += f
	}
	for place, slots := range d.capacity.slots {
		f := d.flows[[2]roster.Place{origin, place}]
		if s.regions[place.Region] <= 0 {
			// Nothing is due to the region, but a spill into it follows what it can run.
			f = slots
		}
		s.domains[place.FailureDomain] = f
	}
	for region, slots := range d.capacity.regions {
		if sum <= 0 {
			s.regions[region] = slots / d.capacity.total
			continue
		}
		s.regions[region] /= sum
	}
	return s
}

// glide moves the parts of regions towards what they should be, slowly enough for the bound on shifts between regions.
type glide struct {
	regions map[string]float64
	at      time.Time
}

// advance returns the parts that hold now. A region without targets gives up its part at once.
func (g *glide) advance(target map[string]float64, now time.Time, perSecond float64) map[string]float64 {
	if g.regions == nil {
		g.regions, g.at = maps.Clone(target), now
		return g.regions
	}
	step := perSecond * now.Sub(g.at).Seconds()
	g.at = now
	next := map[string]float64{}
	names := make([]string, 0, len(target))
	for name := range target {
		names = append(names, name)
	}
	slices.Sort(names)
	sum := 0.0
	for _, name := range names {
		present := g.regions[name]
		next[name] = max(0, present+min(max(target[name]-present, -step), step))
		sum += next[name]
	}
	if sum <= 0 {
		next, sum = maps.Clone(target), 1
	}
	for name := range next {
		next[name] /= sum
	}
	g.regions = next
	return next
}
