package forward

import (
	"math/rand/v2"
	"sync"

	"medlarpond.dev/core/models/intent"
)

// maxSplitPhase is the number of requests among which the start of a new round robin is chosen at random.
const maxSplitPhase = 64

// weightedSplitter distributes the requests of each route over its services by smooth weighted round robin. Load pattern:
// many instances, each of which gets a few requests of a route, and weights that change while requests arrive.
type weightedSplitter struct {
	mu sync.Mutex
	// splits is keyed by route name.
	splits map[string]*split
}

// split is the state of the round robin of a route.
type split struct {
	services []intent.WeightedService
	// credits holds how far each service is behind its share, in requests times total; their sum is zero. Whole weights keep
	// them exact, so that equal credits stay equal.
	credits []float64
	// total is the sum of the weights in force; zero before the first request.
	total float64
}

func newWeightedSplitter() *weightedSplitter {
	return &weightedSplitter{splits: map[string]*split{}}
}

// next returns the service for the next request.
func (s *weightedSplitter) next(r *intent.Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.splits[r.Name]
	if state == nil || len(state.credits) != len(r.Services) {
		// Instances that start at the same time would otherwise all begin with the same service.
		state = &split{services: r.Services, credits: make([]float64, len(r.Services))}
		for range rand.IntN(maxSplitPhase) {
			state.next()
		}
		s.splits[r.Name] = state
	}
	state.services = r.Services
	return state.services[state.next()].Service
}

// next returns the index of the service for the next request.
func (s *split) next() int {
	total, best := 0.0, 0
	for _, service := range s.services {
		total += service.Weight
	}
	if s.total != 0 && s.total != total {
		for i := range s.credits {
			s.credits[i] *= total / s.total
		}
	}
	s.total = total
	for i, service := range s.services {
		s.credits[i] += service.Weight
		if s.credits[i] > s.credits[best] {
			best = i
		}
	}
	s.credits[best] -= total
	return best
}
