package steering

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/services/share"
)

// chargesRetryDelay is how long a candidate is skipped after its shift or link had no tokens left.
const chargesRetryDelay = 5 * time.Millisecond

// Grant is the permission for one attempt at a target. Its holder ends it once, with Release, Cancel or ReleaseAfter.
type Grant struct {
	Target    resource.NamedTarget
	steering  *Steering
	candidate *candidate
	// team is empty for a route that needs no team.
	team     string
	released atomic.Bool
}

// Release releases the units of an attempt that has ended. The tokens stay spent. Further calls do nothing.
func (g *Grant) Release() {
	if g.released.Swap(true) {
		return
	}
	g.steering.releaseUnits(g.candidate.units)
}

// Cancel releases the units and refunds the tokens of an attempt that certainly has not run. Further calls do
// nothing.
func (g *Grant) Cancel() {
	if g.released.Swap(true) {
		return
	}
	g.steering.refundTokens(g.candidate.charges, g.team)
	g.steering.releaseUnits(g.candidate.units)
}

// ReleaseAfter releases the units after delay, the time for which the target may still process the attempt.
func (g *Grant) ReleaseAfter(delay time.Duration) {
	if delay <= 0 {
		g.Release()
		return
	}
	time.AfterFunc(delay, g.Release)
}

// shortage is the reason why a request could not be admitted.
type shortage int

const (
	shortageNone shortage = iota
	// shortageTokens means that the team is over its rate limit at present.
	shortageTokens
	// shortageCapacity means that no target has free capacity at present.
	shortageCapacity
	// shortageTargets means that every target is excluded or ejected, or that there is none.
	shortageTargets
)

// tryAdmit reserves everything that an attempt needs, or nothing. It checks for free capacity before it takes a token
// of the team, because a refunded token may be lost.
func (s *Steering) tryAdmit(service *servicePlan, team string, excluded []string) (*Grant, shortage) {
	costs, _ := s.costBuffers.Get().(*[]float64)
	defer s.costBuffers.Put(costs)
	candidates := candidateSearch{steering: s, service: service, health: s.health.snapshot(service), excluded: excluded, costs: (*costs)[:0]}
	defer func() { *costs = candidates.costs }()
	hasToken := team == ""
	for c := candidates.next(); c != nil; c = candidates.next() {
		if !s.hasCapacity(c) {
			continue
		}
		if !hasToken && !s.ledger.Take(teamAccount(team), 1) {
			return nil, shortageTokens
		}
		hasToken = true
		if s.reserve(c) {
			return &Grant{Target: c.target, steering: s, candidate: c, team: team}, shortageNone
		}
	}
	if hasToken {
		s.refundTokens(nil, team)
	}
	if candidates.usable == 0 {
		return nil, shortageTargets
	}
	return nil, shortageCapacity
}

// candidateSearch iterates over the candidates of a service that have a free slot, in the order of their costs. It
// evaluates only as many candidates as needed: one whose distance alone exceeds the lowest cost is not evaluated.
type candidateSearch struct {
	steering *Steering
	service  *servicePlan
	health   healthSnapshot
	excluded []string
	// costs holds the costs of the candidates evaluated so far; infinite for those already returned or unable to
	// serve.
	costs []float64
	// usable counts the evaluated candidates that are neither excluded nor ejected, with or without a free slot.
	usable int
}

func (cs *candidateSearch) next() *candidate {
	best, lowestCost := -1, math.Inf(1)
	for i, cost := range cs.costs {
		if cost < lowestCost {
			best, lowestCost = i, cost
		}
	}
	for i := len(cs.costs); i < len(cs.service.candidates) && cs.service.candidates[i].distance < lowestCost; i++ {
		cost := cs.cost(&cs.service.candidates[i])
		cs.costs = append(cs.costs, cost)
		if cost < lowestCost {
			best, lowestCost = i, cost
		}
	}
	if best < 0 {
		return nil
	}
	cs.costs[best] = math.Inf(1)
	return &cs.service.candidates[best]
}

// cost returns the cost of a candidate, which is never below its distance; infinite if it cannot serve.
func (cs *candidateSearch) cost(c *candidate) float64 {
	penalty, ejected := cs.health.penalty(c.target.Name)
	if ejected || slices.Contains(cs.excluded, c.target.Name) {
		return math.Inf(1)
	}
	cs.usable++
	free := cs.steering.ledger.FreeUnits(c.units[0])
	if free == 0 {
		return math.Inf(1)
	}
	return c.distance + penalty + max(0, 1-float64(free)/float64(c.target.Slots))
}

// hasCapacity reports whether the candidate's units besides the target's own are free and its charges were not
// refused within the last chargesRetryDelay.
func (s *Steering) hasCapacity(c *candidate) bool {
	for _, a := range c.units[1:] {
		if s.ledger.FreeUnits(a) == 0 {
			return false
		}
	}
	return len(c.charges) == 0 || time.Now().UnixNano() >= c.chargesRetryAt.Load()
}

// reserve takes all charges and units of a candidate, or none.
func (s *Steering) reserve(c *candidate) bool {
	for i, charge := range c.charges {
		if !s.ledger.Take(charge.account, charge.amount) {
			c.chargesRetryAt.Store(time.Now().Add(chargesRetryDelay).UnixNano())
			s.refundTokens(c.charges[:i], "")
			return false
		}
	}
	if !s.acquireUnits(c) {
		s.refundTokens(c.charges, "")
		return false
	}
	return true
}

// releaseWithoutNotify releases units without serving the queues, which poll again soon in any case.
func (s *Steering) releaseWithoutNotify(units []share.Account) {
	s.notifySuppressed.Add(1)
	defer s.notifySuppressed.Add(-1)
	s.releaseUnits(units)
}

func (s *Steering) releaseUnits(units []share.Account) {
	for _, a := range units {
		s.ledger.Release(a)
	}
}

func (s *Steering) refundTokens(charges []charge, team string) {
	for _, c := range charges {
		s.ledger.Refund(c.account, c.amount)
	}
	if team != "" {
		s.ledger.Refund(teamAccount(team), 1)
	}
}

// requestMissing asks the other instances for n units or tokens of what waiting requests lack.
func (s *Steering) requestMissing(service *servicePlan, team string, missing shortage, n int) {
	switch missing {
	case shortageTokens:
		s.requestUnits([]share.Account{teamAccount(team)}, n)
	case shortageCapacity:
		s.requestCapacity(service, n)
	default:
	}
}

// requestCapacity asks for slots of targets that have none free here, and for the other units and tokens that
// attempts at them need.
func (s *Steering) requestCapacity(service *servicePlan, n int) {
	var slots, capacity []share.Account
	health := s.health.snapshot(service)
	for i := range service.candidates {
		c := &service.candidates[i]
		if _, ejected := health.penalty(c.target.Name); ejected {
			continue
		}
		if s.ledger.FreeUnits(c.units[0]) == 0 {
			slots = append(slots, c.units[0])
		}
		for _, a := range c.units[1:] {
			if s.ledger.FreeUnits(a) == 0 && !slices.Contains(capacity, a) {
				capacity = append(capacity, a)
			}
		}
		for _, charge := range c.charges {
			if !slices.Contains(capacity, charge.account) {
				capacity = append(capacity, charge.account)
			}
		}
	}
	if len(slots) > 0 {
		s.requestUnits(slots, n)
	}
	for _, a := range capacity {
		s.requestUnits([]share.Account{a}, n)
	}
}

func teamAccount(team string) share.Account { return share.Account{Kind: share.KindTeam, Name: team} }
