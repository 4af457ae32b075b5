// Package steering chooses the target of each attempt and accounts for the slots that attempts hold.
package steering

import (
	"sync"

	"medlarpond.dev/core/models/resource"
)

// Place is where an instance stands.
type Place struct {
	Region        string
	FailureDomain string
}

// Steering chooses targets for one instance.
type Steering struct {
	place Place

	mu sync.Mutex
	// running counts the attempts that hold a slot, by target; never above the target's slots.
	running map[string]int
}

// Choice is a target with one of its slots, held until Release.
type Choice struct {
	Target   resource.NamedTarget
	steering *Steering
	once     *sync.Once
}

// New returns a steering for an instance at the given place.
func New(place Place) *Steering {
	return &Steering{place: place, running: map[string]int{}}
}

// Choose takes a slot of the nearest and least loaded target that is not excluded; it reports false if there is none.
func (s *Steering) Choose(snapshot resource.Snapshot, service string, excluded map[string]bool) (Choice, bool) {
	spec, ok := resource.Spec[resource.Service](snapshot, resource.KindService, service)
	if !ok {
		return Choice{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var best resource.NamedTarget
	bestCost := -1.0
	for _, t := range snapshot.TargetsOf(service) {
		if excluded[t.Name] || !permitted(spec, t) || s.running[t.Name] >= t.Slots {
			continue
		}
		cost := s.distance(t) + float64(s.running[t.Name])/float64(t.Slots)
		if bestCost < 0 || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	if bestCost < 0 {
		return Choice{}, false
	}
	s.running[best.Name]++
	return Choice{Target: best, steering: s, once: &sync.Once{}}, true
}

// Release gives the slot back; further calls do nothing.
func (c Choice) Release() {
	c.once.Do(func() {
		c.steering.mu.Lock()
		defer c.steering.mu.Unlock()
		c.steering.running[c.Target.Name]--
	})
}

func permitted(s resource.Service, t resource.NamedTarget) bool {
	if t.Leaving {
		return false
	}
	if len(s.Regions) == 0 {
		return true
	}
	for _, r := range s.Regions {
		if r == t.Region {
			return true
		}
	}
	return false
}

// The costs of distance, in units of a fully loaded target.
const (
	costOtherFailureDomain = 0.25
	costOtherRegion        = 2.0
)

func (s *Steering) distance(t resource.NamedTarget) float64 {
	switch {
	case t.FailureDomain == s.place.FailureDomain:
		return 0
	case t.Region == s.place.Region:
		return costOtherFailureDomain
	default:
		return costOtherRegion
	}
}
