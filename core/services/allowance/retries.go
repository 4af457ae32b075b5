package allowance

import (
	"sync"
)

// RetryPolicy limits the retries of requests to a service by all instances together.
type RetryPolicy struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Reserve is the maximum number of retries that all instances together may accumulate.
	Reserve float64
}

// RetryBudget is the retry budget of one instance. It is safe for concurrent use.
type RetryBudget struct {
	policy RetryPolicy

	mu        sync.Mutex
	instances int
	// balances is keyed by service. A balance never exceeds the instance's share of the reserve. It starts with initialFraction of
	// it, because a predecessor that was killed may have used the share just before.
	balances map[string]float64
}

// initialFraction is the fraction of the instance's share of the reserve with which a new process starts, so that the first requests
// after a restart can be sent to a second target.
const initialFraction = 0.25

// NewRetryBudget returns the retry budget of an instance that knows of no other instances.
func NewRetryBudget(p RetryPolicy) *RetryBudget {
	return &RetryBudget{policy: p, instances: 1, balances: map[string]float64{}}
}

// SetInstances sets the number of instances that share the reserve.
func (r *RetryBudget) SetInstances(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = max(n, 1)
}

func (r *RetryBudget) maxBalance() float64 { return max(1, r.policy.Reserve/float64(r.instances)) }

// Deposit counts a request to a service and adds to its budget.
func (r *RetryBudget) Deposit(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	balance, known := r.balances[service]
	if !known {
		balance = initialFraction * r.maxBalance()
	}
	r.balances[service] = min(r.maxBalance(), balance+r.policy.Ratio)
}

// Withdraw takes one retry from the budget and reports whether there was one.
func (r *RetryBudget) Withdraw(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.balances[service] < 1 {
		return false
	}
	r.balances[service]--
	return true
}
