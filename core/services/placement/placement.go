// Package placement selects the target of a request. Targets are ranked per object by weighted rendezvous hashing, so
// that all instances of a failure domain pick the same targets for an object without communicating, and requests reach
// targets that have served the object recently.
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

// Policy holds the limits and cost weights of target selection, which come from settings.
type Policy struct {
	// RegionShift is the maximum fraction of one origin's requests that may change region per second.
	RegionShift float64
	// RegionSpill is the maximum fraction of requests that may be served outside the region of their object because
	// that region has no free capacity.
	RegionSpill float64
	// EvacuationRamp is the time over which the objects of an evacuated failure domain are moved out of it, and over which
	// a restored one gets its objects back.
	EvacuationRamp time.Duration
	// EvacuationLimit is the time since an evacuation may have started after which the failure domain receives no more
	// requests, also if this instance learned of the evacuation late.
	EvacuationLimit time.Duration
	// OwnerTimeout is the time since the last confirmed contact with the store after which the instance no longer acts as an
	// owner, of cold targets and of the limits that targets name, as the others have chosen owners without it.
	OwnerTimeout time.Duration
	// Objects is the number of distinct objects of a service that the callers of one region use concurrently; zero if it is
	// learned from requests.
	Objects int
	// Candidates is the maximum number of targets compared for one request.
	Candidates int
	// RankCost is the cost of each position in an object's target ranking, in multiples of the latency goal.
	RankCost float64
	// DomainCost and RegionCost are the costs of leaving the instance's failure domain and region, in multiples of the
	// latency goal.
	DomainCost float64
	RegionCost float64
}

// Query describes a request that needs a target.
type Query struct {
	Service string
	// Object is the affinity key of the request. If it is empty, Spread is hashed instead.
	Object string
	// Spread is a hash value that differs between requests.
	Spread uint64
	// HomeRegions lists the only regions that may serve the request; empty permits all.
	HomeRegions []string
	// LatencyGoal is the latency goal of the route.
	LatencyGoal time.Duration
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
	// NonIdempotent is true for a request that may run only once, so that it cannot be sent to another target when the first one
	// is late. It prefers targets with more free slots.
	NonIdempotent bool
	// Excluded lists the IDs of targets that must not be selected.
	Excluded []string
	// MaxQueuePerSlot is the maximum number of requests queued at a target, per slot. Targets that would exceed it are
	// not selected.
	MaxQueuePerSlot float64
	// HedgeOf is the target at which the request is running already, or nil. The query is then for a hedge: only warm targets
	// with a free slot that name no limit are selected.
	HedgeOf *roster.Target
	// MeasureBusy is true if Choice.BusyShare is to be set.
	MeasureBusy bool
}

// Choice is a selected target with the estimates that led to its selection.
type Choice struct {
	Target roster.Target
	// Rank is the position of the target in the object's ranking, starting at 0.
	Rank int
	// Load is the estimated number of requests at the target.
	Load float64
	// Warm is true if the target is expected to have served the object recently.
	Warm bool
	// ExpectedTime is the estimated response time.
	ExpectedTime time.Duration
	// Pace is the factor in ExpectedTime for the pace that the target has reported; 1 if it has not.
	Pace float64
	// BusyShare is the share of busy slots of the compared targets.
	BusyShare float64
}

// Rejected counts the candidates that could not take a request, by reason.
type Rejected struct {
	// Full is the number of candidates without a free slot or room in the queue, Late the number whose queue is too long
	// for the deadline of the request, and Spill the number in another region, which may not take more requests now.
	Full, Late, Spill int
	// Limited is the number of targets that have named a limit and get no more requests from this instance now.
	Limited int
	// Paused is the number of targets that want no requests now, AvailableIn the shortest time until one of them does.
	Paused      int
	AvailableIn time.Duration
	// RoomIn is the shortest estimated time until one of the compared targets can take the request; zero if there is no estimate.
	RoomIn time.Duration
}

// addRoomIn takes into account that a target can take the request after the given time, if it is positive.
func (r *Rejected) addRoomIn(roomIn time.Duration) {
	if roomIn > 0 && (r.RoomIn == 0 || roomIn < r.RoomIn) {
		r.RoomIn = roomIn
	}
}

// Any reports whether a candidate was rejected for lack of capacity.
func (r Rejected) Any() bool { return r.Full+r.Late+r.Spill+r.Limited+r.Paused > 0 }

// OnlyPaused reports whether the request has no target because all that could have room want no requests now.
func (r Rejected) OnlyPaused() bool { return r.Paused > 0 && r.Full+r.Late+r.Spill+r.Limited == 0 }

// addPaused counts a target that takes requests again after the given time.
func (r *Rejected) addPaused(availableIn time.Duration) {
	if r.Paused == 0 || availableIn < r.AvailableIn {
		r.AvailableIn = availableIn
	}
	r.Paused++
	r.addRoomIn(availableIn)
}

// Placement selects targets for the requests of one instance. It is safe for concurrent use.
type Placement struct {
	state   *belief.State
	own     roster.Place
	origins []roster.Place
	policy  Policy
	loads   *LoadTracker

	mu sync.Mutex
	// plans is keyed by service and home regions.
	plans        map[planKey]*plan
	coldLimiter  coldLimiter
	limitLimiter limitLimiter
	spillLimiter spillLimiter
}

type planKey struct{ service, homes string }

// plan holds what is precomputed for a service and a set of home regions from one view.
type plan struct {
	// viewGeneration and intentVersion identify the view and the intent from which the plan was computed.
	viewGeneration, intentVersion uint64
	service                       string
	// available is the capacity from which shares was computed with scope. scopeCheckedAt is when the scope was last decided.
	available      capacity
	scope          affinityScope
	scopeCheckedAt time.Time
	shares         trafficShares
	ramp           shareRamp
	// byDomain holds the permitted targets of each failure domain, including evacuated domains.
	byDomain map[roster.Place][]hashedTarget
	places   []roster.Place
}

type hashedTarget struct {
	target roster.Target
	hash   uint64
}

// New returns a Placement for the instance self that runs at own. origins lists all failure domains from which callers
// send requests. It panics if Policy.OwnerTimeout is not positive: no instance would be an owner, and cold targets would get no
// requests.
func New(
	state *belief.State, self string, own roster.Place, origins []roster.Place, policy Policy, loads *LoadTracker,
) *Placement {
	if policy.OwnerTimeout <= 0 {
		panic("placement: Policy.OwnerTimeout must be positive")
	}
	state.SetContactTimeout(policy.OwnerTimeout)
	return &Placement{
		state: state, own: own, origins: origins, policy: policy, loads: loads,
		plans: map[planKey]*plan{},
		coldLimiter: coldLimiter{
			self: self, buckets: map[string]*coldBucket{}, takeOverDelay: time.Duration(takeOverFraction * float64(policy.OwnerTimeout)),
		},
		limitLimiter: limitLimiter{self: self, buckets: map[string]*limitBucket{}},
	}
}

// Choose returns the target with the lowest cost and counts the attempt as started; the caller must end it with
// LoadTracker.End. If no target can take the request, ok is false and rejected tells why.
func (p *Placement) Choose(q Query) (c Choice, rejected Rejected, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	view := p.state.View()
	if p.policy.Objects == 0 {
		p.loads.recordObject(q.Service, q.Object, now)
	}
	best := math.Inf(1)
	candidates := p.candidates(view, q, now, &rejected)
	for _, candidate := range candidates {
		t, e := candidate.target, candidate.estimate
		if t.Place.Region != q.homeRegion(candidates) && !p.spillLimiter.allows(now, p.policy.RegionSpill) {
			rejected.Spill++
			continue
		}
		maxQueuePerSlot := q.maxQueue()
		if candidate.rank > 0 && !e.warm && q.Object != "" {
			// A request for an object that is cold on this target takes several times as long, so only a free slot is
			// worth using.
			maxQueuePerSlot = 0
		}
		if surplus := e.load + 1 - float64(t.Slots)*(1+maxQueuePerSlot); surplus > 0 {
			rejected.Full++
			rejected.addRoomIn(time.Duration(surplus * float64(e.turnover)))
			continue
		}
		if e.wait > 0 && e.expected > q.TimeLeft {
			rejected.Late++
			// The queue shrinks as time passes, and a repeated request has as much time as this one had.
			rejected.addRoomIn(e.expected - q.TimeLeft)
			continue
		}
		if cost := p.cost(candidate, q) + q.hedgeCost(t); cost < best {
			best, ok = cost, true
			c = Choice{Target: t, Rank: candidate.rank, Load: e.load, Warm: e.warm, ExpectedTime: e.expected, Pace: e.pace}
		}
	}
	if ok {
		c.BusyShare = q.busyShare(candidates)
		p.spillLimiter.record(now, c.Target.Place.Region != q.homeRegion(candidates))
		p.coldLimiter.consume(c.Target)
		p.limitLimiter.consume(c.Target, now)
		p.loads.Begin(c.Target)
	}
	return c, rejected, ok
}

// cost returns the cost of sending a request to a candidate, in multiples of the latency goal: the estimated response
// time plus penalties for its rank and for leaving the failure domain or region. For a request that is not idempotent it includes
// the risk that the slots of the target are taken before the request arrives.
func (p *Placement) cost(candidate rankedTarget, q Query) float64 {
	seconds := candidate.estimate.expected.Seconds()
	if q.NonIdempotent {
		seconds += candidate.estimate.risk.Seconds()
	}
	cost := seconds/q.LatencyGoal.Seconds() + float64(candidate.rank)*p.policy.RankCost
	if candidate.target.Place != p.own {
		cost += p.policy.DomainCost
	}
	if candidate.target.Place.Region != p.own.Region {
		cost += p.policy.RegionCost
	}
	return cost
}

// rankedTarget is a usable target and its position in an object's ranking.
type rankedTarget struct {
	target   roster.Target
	estimate estimate
	rank     int
}

// candidates returns the usable targets in the ranking order of the object. Each region contributes at most half of
// them, so that requests can overflow into another region when the object's region is at peak load. Targets that want no
// requests now are counted in rejected.
func (p *Placement) candidates(view *belief.View, q Query, now time.Time, rejected *Rejected) []rankedTarget {
	object := hashString(q.Object)
	if q.Object == "" {
		object = mix(q.Spread)
	}
	pl, regions := p.plan(view, q, now)
	ranked := make([]rankedTarget, 0, p.policy.Candidates)
	inRegion, region := 0, ""
	for _, place := range pl.domainOrder(object, regions, p.own) {
		if p.isEvacuatedFor(view, place, object, p.state.Now()) {
			continue
		}
		if place.Region != region {
			inRegion, region = 0, place.Region
		}
		inDomain := 0
		targets := slices.Clone(pl.byDomain[place])
		slices.SortFunc(targets, func(a, b hashedTarget) int { return compare(a.score(object), b.score(object)) })
		for _, hashed := range targets {
			if len(ranked) == p.policy.Candidates {
				return ranked
			}
			if maxInRegion := max(1, p.policy.Candidates/2); inRegion == maxInRegion || inDomain == q.maxInDomain(maxInRegion) {
				break
			}
			if slices.Contains(q.Excluded, hashed.target.ID) || q.excludesCold(hashed.target, now) || !p.isColdAllowed(view, hashed.target, now, rejected) {
				continue
			}
			estimated := p.loads.estimate(hashed.target, q.Service, q.Object, len(ranked) == 0 && !q.isHedge(), q.LatencyGoal, now)
			if !estimated.isUsable(rejected) || q.excludesLimited(estimated) || !p.isWithinLimit(view, hashed.target, estimated, now, rejected) {
				continue
			}
			inRegion++
			inDomain++
			ranked = append(ranked, rankedTarget{target: hashed.target, estimate: estimated, rank: len(ranked)})
		}
	}
	return ranked
}

// isUsable reports whether requests may be sent to a target at all. A target that wants none for some time is counted in
// rejected.
func (e estimate) isUsable(rejected *Rejected) bool {
	if e.availableIn > 0 && !e.leaving {
		rejected.addPaused(e.availableIn)
	}
	if e.ejected && !e.leaving {
		rejected.addRoomIn(max(e.ejectedFor, e.availableIn))
	}
	return !e.leaving && !e.ejected && e.availableIn <= 0
}

// isConfirmed reports whether this instance may act as an owner. After it has lost contact with the store, it waits as long as
// it may take to learn which owners the others have chosen meanwhile.
func (p *Placement) isConfirmed() bool {
	return p.state.SinceConfirmed() <= p.policy.OwnerTimeout && p.state.SinceContactLost() >= p.policy.OwnerTimeout
}

// isColdAllowed reports whether one more request may be sent to a target with regard to its cold rate.
func (p *Placement) isColdAllowed(view *belief.View, t roster.Target, now time.Time, rejected *Rejected) bool {
	if p.coldLimiter.allows(view, t, p.isConfirmed(), now, p.state.Now()) {
		return true
	}
	rejected.addRoomIn(p.coldLimiter.availableIn(t, now))
	return false
}

// isWithinLimit reports whether one more request fits into the limit that a target names, if it names one.
func (p *Placement) isWithinLimit(view *belief.View, t roster.Target, e estimate, now time.Time, rejected *Rejected) bool {
	if !e.limited {
		p.limitLimiter.remove(t.ID)
		return true
	}
	if !p.limitLimiter.allows(view, t, e.limit, p.isConfirmed(), e.idle, now) {
		rejected.Limited++
		rejected.addRoomIn(p.limitLimiter.availableIn(t, now))
		return false
	}
	return true
}

// isEvacuatedFor reports whether an object must not use a failure domain at the boot time now because the domain is being
// evacuated or is being restored and the object has not moved back yet. Each object moves at its own time within
// EvacuationRamp, so that other targets, and the possibly cold targets of a restored domain, do not receive all objects
// at once.
func (p *Placement) isEvacuatedFor(view *belief.View, place roster.Place, object uint64, now time.Duration) bool {
	fraction := uniform(mix(object ^ hashString(place.FailureDomain)))
	if e, ok := view.Evacuated[place.FailureDomain]; ok {
		ramp := min(p.policy.EvacuationRamp, e.StartedAfter+p.policy.EvacuationLimit-e.LearnedAt)
		return (now - e.LearnedAt).Seconds() >= fraction*ramp.Seconds()
	}
	if restoredAt, ok := view.Restored[place.FailureDomain]; ok {
		return (now - restoredAt).Seconds() < fraction*p.policy.EvacuationRamp.Seconds()
	}
	return false
}

// plan returns the current plan for a query and the fraction of requests that each region receives now.
func (p *Placement) plan(view *belief.View, q Query, now time.Time) (*plan, map[string]float64) {
	key := planKey{service: q.Service}
	for _, r := range q.HomeRegions {
		key.homes += r + "\n"
	}
	pl := p.plans[key]
	if pl == nil || pl.viewGeneration != view.Generation || pl.intentVersion != intentVersion(view) {
		next := p.newPlan(view, q)
		if pl != nil {
			next.ramp, next.scope = pl.ramp, pl.scope
		}
		p.decideScope(next, pl == nil, now)
		p.plans[key] = next
		pl = next
	} else if p.policy.Objects == 0 && now.Sub(pl.scopeCheckedAt) >= scopeCheckInterval {
		p.decideScope(pl, false, now)
	}
	return pl, pl.ramp.advance(pl.shares.regions, now, p.policy.RegionShift)
}

// decideScope sets the scope and the shares of a plan. isFirst is true if the service has had no plan.
func (p *Placement) decideScope(pl *plan, isFirst bool, now time.Time) {
	switch {
	case p.policy.Objects > 0:
		pl.scope = chooseScope(pl.available, p.origins, p.policy.Objects)
	case isFirst:
		pl.scope = scopeFor(pl.available, p.origins, p.loads.countObjects(pl.service, now), nil)
	default:
		pl.scope = scopeFor(pl.available, p.origins, p.loads.countObjects(pl.service, now), &pl.scope)
	}
	pl.scopeCheckedAt = now
	pl.shares = computeShares(pl.available, p.origins, p.own, pl.scope)
}

// newPlan returns a plan without a scope and shares.
func (p *Placement) newPlan(view *belief.View, q Query) *plan {
	permitted := func(t roster.Target) bool {
		return !t.Leaving && (len(q.HomeRegions) == 0 || slices.Contains(q.HomeRegions, t.Place.Region))
	}
	targets := view.Targets[q.Service]
	available := newCapacity(targets, func(t roster.Target) bool {
		_, evacuated := view.Evacuated[t.Place.FailureDomain]
		return permitted(t) && !evacuated
	})
	if len(q.HomeRegions) == 0 && view.Intent != nil {
		available = available.withoutReserved(view.Intent.HomeRegionShares())
	}
	pl := &plan{
		viewGeneration: view.Generation, intentVersion: intentVersion(view), service: q.Service,
		byDomain: map[roster.Place][]hashedTarget{}, available: available,
	}
	for _, t := range targets {
		if !permitted(t) {
			continue
		}
		if _, ok := pl.byDomain[t.Place]; !ok {
			pl.places = append(pl.places, t.Place)
		}
		pl.byDomain[t.Place] = append(pl.byDomain[t.Place], hashedTarget{target: t, hash: hashString(t.ID)})
	}
	return pl
}

func intentVersion(view *belief.View) uint64 {
	if view.Intent == nil {
		return 0
	}
	return view.Intent.Version
}

// domainOrder returns the failure domains in the order in which an object uses them: first by region, weighted by the
// regions' fractions, then within the region by the domains' shares. Ties go to the instance's own region and domain.
func (pl *plan) domainOrder(object uint64, regions map[string]float64, own roster.Place) []roster.Place {
	places := slices.Clone(pl.places)
	regionScore := map[string]float64{}
	for _, place := range places {
		if _, ok := regionScore[place.Region]; !ok {
			regionScore[place.Region] = score(object, hashString(place.Region), regions[place.Region])
		}
	}
	slices.SortFunc(places, func(a, b roster.Place) int {
		if a.Region != b.Region {
			if c := compare(regionScore[a.Region], regionScore[b.Region]); c != 0 {
				return c
			}
			return compareOwnFirst(a.Region == own.Region, b.Region == own.Region, a.Region, b.Region)
		}
		aScore := score(object, hashString(a.FailureDomain), pl.shares.domains[a.FailureDomain])
		bScore := score(object, hashString(b.FailureDomain), pl.shares.domains[b.FailureDomain])
		if c := compare(aScore, bScore); c != 0 {
			return c
		}
		return compareOwnFirst(a == own, b == own, a.FailureDomain, b.FailureDomain)
	})
	return places
}

func compareOwnFirst(aIsOwn, bIsOwn bool, aName, bName string) int {
	switch {
	case aIsOwn == bIsOwn:
		return compare(aName, bName)
	case aIsOwn:
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

// score returns the weighted rendezvous score of a member for an object. The member with the lowest score ranks first.
func score(object, member uint64, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(1)
	}
	return -math.Log(uniform(mix(object^member))) / weight
}

func (t hashedTarget) score(object uint64) float64 {
	return score(object, t.hash, float64(t.target.Slots))
}

// uniform maps a hash to the open interval (0, 1).
func uniform(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }

func hashString(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return mix(h.Sum64())
}

// mix is a 64-bit hash finalizer: every input bit affects all output bits.
func mix(x uint64) uint64 {
	const first, second = 0xbf58476d1ce4e5b9, 0x94d049bb133111eb
	x = (x ^ x>>30) * first
	x = (x ^ x>>27) * second
	return x ^ x>>31
}
