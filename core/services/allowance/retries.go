package allowance

import (
	"sync"
)

// RetryPolicy bounds the repeats of requests to a service by all instances together.
type RetryPolicy struct {
	// Ratio is the number of repeats that each request earns.
	Ratio float64
	// Reserve is the number of repeats that all instances together may save up.
	Reserve float64
}

// Retries are the repeats that one instance may send.
type Retries struct {
	policy RetryPolicy

	mu        sync.Mutex
	instances int
	// left is keyed by service; a value never exceeds the instance's part of the reserve.
	left map[string]float64
}

// NewRetries returns the retries of an instance that knows of no other.
func NewRetries(p RetryPolicy) *Retries {
	return &Retries{policy: p, instances: 1, left: map[string]float64{}}
}

// SetInstances notes how many instances share the reserve.
func (r *Retries) SetInstances(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = max(n, 1)
}

func (r *Retries) reserve() float64 { return max(1, r.policy.Reserve/float64(r.instances)) }

// Earn counts a request to a service.
func (r *Retries) Earn(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	left, known := r.left[service]
	if !known {
		left = r.reserve()
	}
	r.left[service] = min(r.reserve(), left+r.policy.Ratio)
}

// Spend uses up one repeat and reports whether there was one.
func (r *Retries) Spend(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.left[service] < 1 {
		return false
	}
	r.left[service]--
	return true
}
