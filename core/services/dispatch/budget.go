package dispatch

import (
	"sync"
	"time"
)

const (
	// retryRatio is the number of retries permitted per request of a service.
	retryRatio = 0.1
	// minRetriesPerSecond is the rate of retries permitted per service regardless of its number of requests.
	minRetriesPerSecond = 1.0
	// maxRetryTokens is the maximum number of unused retries that a service accumulates.
	maxRetryTokens = 20.0
)

// retryBudgets limits the retries of each service, so that retries cannot multiply the load on failing targets.
type retryBudgets struct {
	mu sync.Mutex
	// services is keyed by service name.
	services map[string]*retryBudget
}

// retryBudget is a token bucket of retries; tokens never exceeds maxRetryTokens.
type retryBudget struct {
	tokens    float64
	updatedAt time.Time
}

func newRetryBudgets() *retryBudgets { return &retryBudgets{services: map[string]*retryBudget{}} }

// deposit counts a request to a service and adds retryRatio tokens to its budget.
func (b *retryBudgets) deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.budget(service)
	s.tokens = min(maxRetryTokens, s.tokens+retryRatio)
}

// withdraw takes one token from the budget and reports whether there was one.
func (b *retryBudgets) withdraw(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.budget(service)
	now := time.Now()
	s.tokens = min(maxRetryTokens, s.tokens+minRetriesPerSecond*now.Sub(s.updatedAt).Seconds())
	s.updatedAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

func (b *retryBudgets) budget(service string) *retryBudget {
	s, ok := b.services[service]
	if !ok {
		s = &retryBudget{tokens: maxRetryTokens, updatedAt: time.Now()}
		b.services[service] = s
	}
	return s
}
