package dispatch

import (
	"sync"
	"time"
)

const (
	// retryFraction is the part of a service's requests that may be repeated.
	retryFraction = 0.1
	// retryFloor is the number of retries a second that are permitted however few requests there are.
	retryFloor = 1.0
	// maxRetries bounds the retries that can be saved up.
	maxRetries = 20.0
)

// budgets bounds the retries of each service, so that they cannot multiply the load on targets that fail.
type budgets struct {
	mu sync.Mutex
	// services is keyed by service name.
	services map[string]*budget
}

// budget is the number of retries that a service may make now; never above maxRetries.
type budget struct {
	left    float64
	updated time.Time
}

func newBudgets() *budgets { return &budgets{services: map[string]*budget{}} }

// earn counts a request.
func (b *budgets) earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(service)
	s.left = min(maxRetries, s.left+retryFraction)
}

// spend uses up one retry and reports whether there was one.
func (b *budgets) spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(service)
	now := time.Now()
	s.left = min(maxRetries, s.left+retryFloor*now.Sub(s.updated).Seconds())
	s.updated = now
	if s.left < 1 {
		return false
	}
	s.left--
	return true
}

func (b *budgets) of(service string) *budget {
	s, ok := b.services[service]
	if !ok {
		s = &budget{left: maxRetries, updated: time.Now()}
		b.services[service] = s
	}
	return s
}
