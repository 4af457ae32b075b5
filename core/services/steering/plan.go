package steering

import (
	"slices"
	"sync/atomic"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/services/share"
)

// Distance costs. A cost of 1 equals the load of a fully loaded target.
const (
	costOtherFailureDomain = 0.25
	costOtherRegion        = 2.0
)

// plan is a configuration compiled for the requests of one instance. It is immutable, but for the retry times of the
// candidates' charges.
type plan struct {
	revision uint64
	services map[string]*servicePlan
	teams    map[string]resource.Team
}

// servicePlan holds the targets that may serve a service.
type servicePlan struct {
	name  string
	spec  resource.Service
	queue *queue
	// candidates is sorted by distance, nearest first.
	candidates []candidate
}

// candidate is a target and the units and tokens that an attempt at it needs.
type candidate struct {
	target resource.NamedTarget
	// units lists the accounts of which an attempt holds one unit each; the target's own account comes first.
	units []share.Account
	// charges lists the tokens that an attempt spends for leaving the instance's region.
	charges  []charge
	distance float64
	// chargesRetryAt is the time before which the charges are not tried again, in Unix nanoseconds.
	chargesRetryAt *atomic.Int64
}

// charge is an amount of tokens of a rate account.
type charge struct {
	account share.Account
	amount  float64
}

func newPlan(s resource.Snapshot, revision uint64, place Place) *plan {
	p := &plan{revision: revision, services: map[string]*servicePlan{}, teams: map[string]resource.Team{}}
	for _, r := range s.List(resource.KindTeam) {
		p.teams[r.Name] = r.Spec.(resource.Team)
	}
	for _, r := range s.List(resource.KindService) {
		service := &servicePlan{name: r.Name, spec: r.Spec.(resource.Service)}
		for _, t := range s.TargetsOf(r.Name) {
			if mayServe(service.spec, t) {
				service.candidates = append(service.candidates, newCandidate(s, service, t, place))
			}
		}
		slices.SortStableFunc(service.candidates, func(a, b candidate) int {
			return int(1 / costOtherFailureDomain * (a.distance - b.distance))
		})
		p.services[r.Name] = service
	}
	return p
}

func newCandidate(s resource.Snapshot, service *servicePlan, t resource.NamedTarget, place Place) candidate {
	c := candidate{target: t, distance: distance(t, place), chargesRetryAt: new(atomic.Int64)}
	c.units = append(c.units, share.Account{Kind: share.KindTarget, Name: t.Name}, share.Account{Kind: share.KindRegion, Name: t.Region})
	d, _ := resource.Spec[resource.FailureDomain](s, resource.KindFailureDomain, t.FailureDomain)
	if d.Capacity > 0 {
		c.units = append(c.units, share.Account{Kind: share.KindFailureDomain, Name: t.FailureDomain})
	}
	if t.Region == place.Region {
		return c
	}
	for _, r := range s.List(resource.KindShift) {
		shift := r.Spec.(resource.Shift)
		if shift.Service == service.name && shift.From == place.Region && shift.To == t.Region {
			c.charges = append(c.charges, charge{share.Account{Kind: share.KindShift, Name: r.Name}, 1})
		}
	}
	if service.spec.RequestBytes == 0 {
		return c
	}
	for _, r := range s.List(resource.KindLink) {
		link := r.Spec.(resource.Link)
		outbound := link.From == place.Region && link.To == t.Region
		inbound := link.From == t.Region && link.To == place.Region
		if outbound || inbound {
			c.charges = append(c.charges, charge{share.Account{Kind: share.KindLink, Name: r.Name}, float64(service.spec.RequestBytes)})
		}
	}
	return c
}

func mayServe(s resource.Service, t resource.NamedTarget) bool {
	return !t.Leaving && (len(s.Regions) == 0 || slices.Contains(s.Regions, t.Region))
}

func distance(t resource.NamedTarget, place Place) float64 {
	switch {
	case t.FailureDomain == place.FailureDomain:
		return 0
	case t.Region == place.Region:
		return costOtherFailureDomain
	default:
		return costOtherRegion
	}
}
