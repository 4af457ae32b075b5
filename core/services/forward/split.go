package forward

import (
	"sync"

	"medlarpond.dev/core/models/intent"
)

// weightedSplitter distributes the requests of each route over its services by smooth weighted round robin.
type weightedSplitter struct {
	mu sync.Mutex
	// credits holds the current round-robin weights of each route's services; their sum is zero.
	credits map[string][]float64
}

func newWeightedSplitter() *weightedSplitter {
	return &weightedSplitter{credits: map[string][]float64{}}
}

// next returns the service for the next request.
func (s *weightedSplitter) next(r *intent.Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credits := s.credits[r.Name]
	if len(credits) != len(r.Services) {
		credits = make([]float64, len(r.Services))
		s.credits[r.Name] = credits
	}
	total, best := 0.0, 0
	for i, service := range r.Services {
		credits[i] += service.Weight
		total += service.Weight
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= total
	return r.Services[best].Service
}
