package steering

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/services/share"
)

// dryPause is how long a candidate is passed over after its shift or link had no tokens left.
const dryPause = 5 * time.Millisecond

// Grant is the permission for one attempt at a target. Its holder ends it once.
type Grant struct {
	Target   resource.NamedTarget
	steering *Steering
	chosen   *candidate
	// team is empty on a route that is open to all.
	team  string
	ended atomic.Bool
}

// Ran gives back the units of an attempt that has ended. Further calls do nothing.
func (g *Grant) Ran() {
	if g.ended.Swap(true) {
		return
	}
	g.steering.release(g.chosen.units)
}

// NotRun gives back everything, since the attempt has certainly not run. Further calls do nothing.
func (g *Grant) NotRun() {
	if g.ended.Swap(true) {
		return
	}
	g.steering.returnTokens(g.chosen.charges, g.team)
	g.steering.release(g.chosen.units)
}

// Abandoned gives back the units after the time that the target may still run the attempt.
func (g *Grant) Abandoned(running time.Duration) {
	if running <= 0 {
		g.Ran()
		return
	}
	time.AfterFunc(running, g.Ran)
}

// shortage says what kept a request from being admitted.
type shortage int

const (
	shortNothing shortage = iota
	// shortTokens means that the team is over its rate for now.
	shortTokens
	// shortRoom means that no target may take the request for now.
	shortRoom
	// shortTargets means that no target is left that could ever take it.
	shortTargets
)

// try takes everything that an attempt needs, or nothing. It looks for room before it takes a token, because a token
// that is given back may be lost.
func (s *Steering) try(service *servicePlan, team string, excluded []string) (*Grant, shortage) {
	costs, _ := s.scratch.Get().(*[]float64)
	defer s.scratch.Put(costs)
	search := search{steering: s, service: service, view: s.health.view(service), excluded: excluded, costs: (*costs)[:0]}
	defer func() { *costs = search.costs }()
	taken := team == ""
	for c := search.next(); c != nil; c = search.next() {
		if !s.hasRoom(c) {
			continue
		}
		if !taken && !s.ledger.Take(teamAccount(team), 1) {
			return nil, shortTokens
		}
		taken = true
		if s.hold(c) {
			return &Grant{Target: c.target, steering: s, chosen: c, team: team}, shortNothing
		}
	}
	if taken {
		s.returnTokens(nil, team)
	}
	if search.usable == 0 {
		return nil, shortTargets
	}
	return nil, shortRoom
}

// search yields the candidates of a service that have a free slot, the cheapest first. It looks at no farther candidate
// than it must.
type search struct {
	steering *Steering
	service  *servicePlan
	view     healthView
	excluded []string
	// costs holds the costs of the candidates that were looked at; infinite for those that were yielded or cannot serve.
	costs []float64
	// usable counts the candidates looked at that could serve if they had a free slot.
	usable int
}

func (x *search) next() *candidate {
	best, least := -1, math.Inf(1)
	for i, cost := range x.costs {
		if cost < least {
			best, least = i, cost
		}
	}
	for i := len(x.costs); i < len(x.service.candidates) && x.service.candidates[i].distance < least; i++ {
		cost := x.rate(&x.service.candidates[i])
		x.costs = append(x.costs, cost)
		if cost < least {
			best, least = i, cost
		}
	}
	if best < 0 {
		return nil
	}
	x.costs[best] = math.Inf(1)
	return &x.service.candidates[best]
}

// rate returns the cost of a candidate, which is at least its distance.
func (x *search) rate(c *candidate) float64 {
	penalty, ejected := x.view.penalty(c.target.Name)
	if ejected || slices.Contains(x.excluded, c.target.Name) {
		return math.Inf(1)
	}
	x.usable++
	free := x.steering.ledger.FreeUnits(c.units[0])
	if free == 0 {
		return math.Inf(1)
	}
	return c.distance + penalty + max(0, 1-float64(free)/float64(c.target.Slots))
}

// hasRoom reports whether all units of a candidate are free and its charges were not refused a moment ago.
func (s *Steering) hasRoom(c *candidate) bool {
	for _, a := range c.units[1:] {
		if s.ledger.FreeUnits(a) == 0 {
			return false
		}
	}
	return len(c.charges) == 0 || time.Now().UnixNano() >= c.dryUntil.Load()
}

// hold takes all charges and units of a candidate, or none.
func (s *Steering) hold(c *candidate) bool {
	for i, charge := range c.charges {
		if !s.ledger.Take(charge.account, charge.amount) {
			c.dryUntil.Store(time.Now().Add(dryPause).UnixNano())
			s.returnTokens(c.charges[:i], "")
			return false
		}
	}
	if !s.acquire(c) {
		s.returnTokens(c.charges, "")
		return false
	}
	return true
}

// rollBack gives back units without waking the waiting requests, which look again soon in any case.
func (s *Steering) rollBack(units []share.Account) {
	s.quiet.Add(1)
	defer s.quiet.Add(-1)
	s.release(units)
}

func (s *Steering) release(units []share.Account) {
	for _, a := range units {
		s.ledger.Release(a)
	}
}

func (s *Steering) returnTokens(charges []charge, team string) {
	for _, c := range charges {
		s.ledger.Refund(c.account, c.amount)
	}
	if team != "" {
		s.ledger.Refund(teamAccount(team), 1)
	}
}

// ask tells the ledger what waiting requests lack.
func (s *Steering) ask(service *servicePlan, team string, short shortage, n int) {
	switch short {
	case shortTokens:
		s.want([]share.Account{teamAccount(team)}, n)
	case shortRoom:
		s.askRoom(service, n)
	default:
	}
}

// askRoom asks for slots where none is free here, and for the capacity that a free slot lacks.
func (s *Steering) askRoom(service *servicePlan, n int) {
	var slots, capacity []share.Account
	view := s.health.view(service)
	for i := range service.candidates {
		c := &service.candidates[i]
		if _, ejected := view.penalty(c.target.Name); ejected {
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
		s.want(slots, n)
	}
	for _, a := range capacity {
		s.want([]share.Account{a}, n)
	}
}

func teamAccount(team string) share.Account { return share.Account{Kind: share.KindTeam, Name: team} }
