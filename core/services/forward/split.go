package forward

import (
	"sync"

	"medlarpond.dev/core/models/intent"
)

// splits deals the requests of a route to its parts in proportion to their weights, as evenly as whole requests allow.
type splits struct {
	mu sync.Mutex
	// credits holds for each route what is due to each part; the sum over the parts of a route is zero.
	credits map[string][]float64
}

func newSplits() *splits { return &splits{credits: map[string][]float64{}} }

// choose returns the service of the next request.
func (s *splits) choose(r *intent.Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credits := s.credits[r.Name]
	if len(credits) != len(r.Parts) {
		credits = make([]float64, len(r.Parts))
		s.credits[r.Name] = credits
	}
	total, best := 0.0, 0
	for i, p := range r.Parts {
		credits[i] += p.Weight
		total += p.Weight
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= total
	return r.Parts[best].Service
}
