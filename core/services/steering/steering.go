// Package steering implements admission control and load balancing: it reserves the units and tokens that each
// attempt needs, chooses the attempt's target, and queues requests briefly when no capacity is free.
package steering

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/services/share"
)

// rampInterval is the time between two increases of a ramping limit.
const rampInterval = 100 * time.Millisecond

// Place is the region and failure domain of an instance.
type Place struct {
	Region        string
	FailureDomain string
}

// Configuration is the operators' configuration at one revision.
type Configuration struct {
	Snapshot resource.Snapshot
	Revision uint64
}

// Steering admits the requests of one instance. It is safe for concurrent use.
type Steering struct {
	place  Place
	ledger *share.Ledger
	// requestUnits asks the other instances for n units or tokens of any one of the accounts, on behalf of waiting
	// requests.
	requestUnits func(anyOf []share.Account, n int)
	health       *Health
	plan         atomic.Pointer[plan]
	// waiting is the number of requests in all queues.
	waiting atomic.Int64
	// notifySuppressed is positive while a rollback releases units; Notify then does nothing.
	notifySuppressed atomic.Int64
	costBuffers      sync.Pool

	mu sync.Mutex
	// queues is keyed by service name.
	queues     map[string]*queue
	limitRamps limitRamps
	// ramping is true while any limit is below its configured value.
	ramping bool
}

// New returns a Steering for an instance at the given place. It calls requestUnits to borrow units or
// tokens from other instances.
func New(place Place, ledger *share.Ledger, requestUnits func(anyOf []share.Account, n int), health *Health) *Steering {
	s := &Steering{place: place, ledger: ledger, requestUnits: requestUnits, health: health, queues: map[string]*queue{}}
	s.costBuffers.New = func() any { return new([]float64) }
	s.plan.Store(&plan{})
	return s
}

// Run applies configuration changes and raises ramping limits until the context ends. current returns the latest
// configuration; changed returns a channel that is closed at the next change.
func (s *Steering) Run(ctx context.Context, current func() Configuration, changed func() <-chan struct{}) error {
	ticker := time.NewTicker(rampInterval)
	defer ticker.Stop()
	for {
		next := changed()
		s.Configure(current())
		select {
		case <-next:
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Configure applies a configuration. One that is not newer than the active one only updates ramping limits.
func (s *Steering) Configure(c Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	active := s.plan.Load()
	isNew := active.services == nil || c.Revision > active.revision
	if !isNew && !s.ramping {
		return
	}
	now := time.Now()
	if isNew {
		s.limitRamps.update(c.Snapshot, now)
	}
	limits := Limits(c.Snapshot)
	s.ramping = s.limitRamps.apply(limits, c.Snapshot, now)
	s.ledger.SetLimits(limits)
	if isNew {
		p := newPlan(c.Snapshot, c.Revision, s.place)
		for name, service := range p.services {
			service.queue = s.queueOf(name)
		}
		s.plan.Store(p)
		s.health.Retain(func(target string) bool {
			_, ok := c.Snapshot.Get(resource.KindTarget, target)
			return ok
		})
	}
}

// Notify serves the queues again. The ledger calls it after units or tokens have become free.
func (s *Steering) Notify() {
	if s.waiting.Load() == 0 || s.notifySuppressed.Load() > 0 {
		return
	}
	s.mu.Lock()
	queues := make([]*queue, 0, len(s.queues))
	for _, q := range s.queues {
		queues = append(queues, q)
	}
	s.mu.Unlock()
	for _, q := range queues {
		q.serve()
	}
}

// queueOf returns the queue of a service and creates it if needed. s.mu must be held.
func (s *Steering) queueOf(service string) *queue {
	q, ok := s.queues[service]
	if !ok {
		q = newQueue(s, service)
		s.queues[service] = q
	}
	return q
}
