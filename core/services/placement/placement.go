// Package placement chooses the target of a request. The same object finds the same targets from every instance of a
// failure domain without talk between instances, so that targets that have served an object recently serve it again.
package placement

import (
	"hash/fnv"
	"math"
	"slices"
	"sync"
	"time"

	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/services/belief"
)

// Policy holds the weights of the choice; all come from settings.
type Policy struct {
	// RegionShift is the part of the requests of one origin that may change its region within one second.
	RegionShift float64
	// RegionSpill is the part of the requests that may be served outside the region of their object for want of room.
	RegionSpill float64
	// EvacuationRamp is the time after which an evacuated failure domain receives nothing more, and over which one that
	// was taken back gets its objects again.
	EvacuationRamp time.Duration
	// Objects is the number of objects of a service that the callers of one region use at once.
	Objects int
	// Candidates bounds the targets that are compared for one request.
	Candidates int
	// RankCost is the cost of each step down the order of an object, in latency goals.
	RankCost float64
	// DomainCost and RegionCost are the costs of leaving the failure domain and the region, in latency goals.
	DomainCost float64
	RegionCost float64
}

// Query is a request that needs a target.
type Query struct {
	Service string
	// Object is what the request concerns; empty for none, then Spread takes its place.
	Object string
	// Spread is different for each request.
	Spread uint64
	// HomeRegions are the only regions that may serve the request; empty permits all.
	HomeRegions []string
	// Goal is the latency goal.
	Goal time.Duration
	// TimeLeft is the time in which the answer is of use.
	TimeLeft time.Duration
	// Excluded lists the IDs of targets that must not be chosen.
	Excluded []string
	// Room is the number of requests that a target may have beyond its slots, per slot, before this request is refused.
	Room float64
}

// Choice is a target and what was known when it was chosen.
type Choice struct {
	Target roster.Target
	// Rank is the place of the target in the order of the object.
	Rank int
	// Load is the number of requests that the target was believed to have.
	Load float64
	// Warm is true if the target has served the object recently.
	Warm bool
	// Expected is the time in which an answer was expected.
	Expected time.Duration
}

// Placement is the choice of one instance.
type Placement struct {
	state   *belief.State
	own     roster.Place
	origins []roster.Place
	policy  Policy
	loads   *Loads

	mu sync.Mutex
	// plans is keyed by service and home regions.
	plans map[planKey]*plan
	cold  cold
	spill spill
}

type planKey struct{ service, homes string }

// plan is what is worked out once for each view.
type plan struct {
	// number and version are those of the view and of the intent.
	number, version uint64
	service         string
	shares          shares
	glide           glide
	// byDomain holds the usable targets of each failure domain; evacuated ones while their ramp lasts.
	byDomain map[roster.Place][]entry
	places   []roster.Place
}

type entry struct {
	target roster.Target
	hash   uint64
}

// New returns a placement for the instance self at a place; origins are all failure domains from which requests come.
func New(
	state *belief.State, self string, own roster.Place, origins []roster.Place, policy Policy, loads *Loads,
) *Placement {
	return &Placement{
		state: state, own: own, origins: origins, policy: policy, loads: loads,
		plans: map[planKey]*plan{}, cold: cold{self: self, buckets: map[string]coldBucket{}},
	}
}

// Choose returns the best target and counts the attempt, which ends with Loads.End; ok is false if none may take the
// request, and then full tells whether targets exist but have no room.
func (p *Placement) Choose(q Query) (c Choice, full, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	view := p.state.View()
	best := math.Inf(1)
	candidates := p.candidates(view, q, now)
	for _, candidate := range candidates {
		t, e := candidate.target, candidate.estimate
		if t.Place.Region != candidates[0].target.Place.Region && !p.spill.room(now, p.policy.RegionSpill) {
			full = true
			continue
		}
		room := q.Room
		if candidate.rank > 0 && !e.warm {
			// Work on an object that is new to the target takes several times as long, so it is worth it in free slots only.
			room = 0
		}
		if e.load+1 > float64(t.Slots)*(1+room) || (e.wait > 0 && e.expected > q.TimeLeft) {
			full = true
			continue
		}
		if cost := p.cost(candidate, q.Goal); cost < best {
			best, ok = cost, true
			c = Choice{Target: t, Rank: candidate.rank, Load: e.load, Warm: e.warm, Expected: e.expected}
		}
	}
	if ok {
		p.spill.count(now, c.Target.Place.Region != candidates[0].target.Place.Region)
		p.cold.take(c.Target)
		p.loads.Begin(c.Target)
	}
	return c, full, ok
}

// cost weighs the expected time against the order of the object and the way to the target, in latency goals.
func (p *Placement) cost(candidate ranked, goal time.Duration) float64 {
	cost := candidate.estimate.expected.Seconds()/goal.Seconds() + float64(candidate.rank)*p.policy.RankCost
	if candidate.target.Place != p.own {
		cost += p.policy.DomainCost
	}
	if candidate.target.Place.Region != p.own.Region {
		cost += p.policy.RegionCost
	}
	return cost
}

// ranked is a target that may be used, at its place in the order of an object.
type ranked struct {
	target   roster.Target
	estimate estimate
	rank     int
}

// candidates returns targets that may be used in the order of the object: at most half of them in the object's region,
// so that a region at its peak finds room elsewhere.
func (p *Placement) candidates(view *belief.View, q Query, now time.Time) []ranked {
	object := hashOf(q.Object)
	if q.Object == "" {
		object = mix(q.Spread)
	}
	pl, regions := p.plan(view, q, now)
	order := make([]ranked, 0, p.policy.Candidates)
	inRegion, region := 0, ""
	for _, place := range pl.order(object, regions, p.own) {
		if p.leaves(view, place, object, now) {
			continue
		}
		if place.Region != region {
			inRegion, region = 0, place.Region
		}
		entries := slices.Clone(pl.byDomain[place])
		slices.SortFunc(entries, func(a, b entry) int { return compare(a.score(object), b.score(object)) })
		for _, e := range entries {
			if len(order) == p.policy.Candidates {
				return order
			}
			if inRegion == max(1, p.policy.Candidates/2) {
				break
			}
			if slices.Contains(q.Excluded, e.target.ID) || !p.cold.room(view, e.target, now) {
				continue
			}
			known := p.loads.estimate(e.target, q.Service, q.Object, len(order) == 0, q.Goal, now)
			if known.ejected {
				continue
			}
			inRegion++
			order = append(order, ranked{target: e.target, estimate: known, rank: len(order)})
		}
	}
	return order
}

// leaves reports whether an object may not use an evacuated failure domain even as a last resort, or has not yet returned
// to one that was taken back. Objects return one by one, so that its targets, which may be cold, do not get all at once.
func (p *Placement) leaves(view *belief.View, place roster.Place, object uint64, now time.Time) bool {
	part := uniform(mix(object ^ hashOf(place.FailureDomain)))
	if since, ok := view.Evacuated[place.FailureDomain]; ok {
		return now.Sub(since).Seconds() >= part*p.policy.EvacuationRamp.Seconds()
	}
	if since, ok := view.Returned[place.FailureDomain]; ok {
		return now.Sub(since).Seconds() < part*p.policy.EvacuationRamp.Seconds()
	}
	return false
}

// plan returns the plan for a view and the parts of regions that hold now.
func (p *Placement) plan(view *belief.View, q Query, now time.Time) (*plan, map[string]float64) {
	key := planKey{service: q.Service}
	for _, r := range q.HomeRegions {
		key.homes += r + "\n"
	}
	pl := p.plans[key]
	if pl == nil || pl.number != view.Number || pl.version != versionOf(view) {
		next := p.newPlan(view, q)
		if pl != nil {
			next.glide = pl.glide
		}
		p.plans[key] = next
		pl = next
	}
	return pl, pl.glide.advance(pl.shares.regions, now, p.policy.RegionShift)
}

func (p *Placement) newPlan(view *belief.View, q Query) *plan {
	permitted := func(t roster.Target) bool {
		return !t.Leaving && (len(q.HomeRegions) == 0 || slices.Contains(q.HomeRegions, t.Place.Region))
	}
	targets := view.Targets[q.Service]
	c := newCapacity(targets, func(t roster.Target) bool {
		_, evacuated := view.Evacuated[t.Place.FailureDomain]
		return permitted(t) && !evacuated
	})
	if len(q.HomeRegions) == 0 && view.Intent != nil {
		c = c.without(view.Intent.Homed())
	}
	pl := &plan{
		number: view.Number, version: versionOf(view), service: q.Service, byDomain: map[roster.Place][]entry{},
		shares: sharesOf(c, p.origins, p.own, scopeOf(c, p.origins, p.policy.Objects)),
	}
	for _, t := range targets {
		if !permitted(t) {
			continue
		}
		if _, ok := pl.byDomain[t.Place]; !ok {
			pl.places = append(pl.places, t.Place)
		}
		pl.byDomain[t.Place] = append(pl.byDomain[t.Place], entry{target: t, hash: hashOf(t.ID)})
	}
	return pl
}

func versionOf(view *belief.View) uint64 {
	if view.Intent == nil {
		return 0
	}
	return view.Intent.Version
}

// order returns the failure domains in the order in which an object uses them: its region by the parts of the regions,
// then the region's failure domains by theirs, then the other regions.
func (pl *plan) order(object uint64, regions map[string]float64, own roster.Place) []roster.Place {
	places := slices.Clone(pl.places)
	regionScore := map[string]float64{}
	for _, place := range places {
		if _, ok := regionScore[place.Region]; !ok {
			regionScore[place.Region] = score(object, hashOf(place.Region), regions[place.Region])
		}
	}
	slices.SortFunc(places, func(a, b roster.Place) int {
		if a.Region != b.Region {
			if c := compare(regionScore[a.Region], regionScore[b.Region]); c != 0 {
				return c
			}
			return preferOwn(a.Region == own.Region, b.Region == own.Region, a.Region, b.Region)
		}
		x := score(object, hashOf(a.FailureDomain), pl.shares.domains[a.FailureDomain])
		y := score(object, hashOf(b.FailureDomain), pl.shares.domains[b.FailureDomain])
		if c := compare(x, y); c != 0 {
			return c
		}
		return preferOwn(a == own, b == own, a.FailureDomain, b.FailureDomain)
	})
	return places
}

func preferOwn(a, b bool, x, y string) int {
	switch {
	case a == b:
		return compare(x, y)
	case a:
		return -1
	default:
		return 1
	}
}

func compare[T ~float64 | ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// score is the weighted rendezvous score of a member for an object; the lowest wins.
func score(object, member uint64, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(1)
	}
	return -math.Log(uniform(mix(object^member))) / weight
}

func (e entry) score(object uint64) float64 { return score(object, e.hash, float64(e.target.Slots)) }

// uniform maps a hash to the open interval between 0 and 1.
func uniform(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }

func hashOf(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return mix(h.Sum64())
}

// mix spreads every input bit over the whole word.
func mix(x uint64) uint64 {
	const first, second = 0xbf58476d1ce4e5b9, 0x94d049bb133111eb
	x = (x ^ x>>30) * first
	x = (x ^ x>>27) * second
	return x ^ x>>31
}
