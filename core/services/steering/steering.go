// Package steering admits requests: it accounts for what each attempt uses, chooses its target, and lets requests wait
// for a short time when nothing is free.
package steering

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/services/share"
)

// rampInterval is the pause between two steps of a growing limit.
const rampInterval = 100 * time.Millisecond

// Place is where an instance stands.
type Place struct {
	Region        string
	FailureDomain string
}

// Configuration is what the operators have written, at one revision.
type Configuration struct {
	Snapshot resource.Snapshot
	Revision uint64
}

// Steering admits the requests of one instance.
type Steering struct {
	place  Place
	ledger *share.Ledger
	// want asks for units of any one of the accounts, or tokens, because requests wait for them.
	want   func(anyOf []share.Account, n int)
	health *Health
	plan   atomic.Pointer[plan]
	// waiting counts the requests in all queues.
	waiting atomic.Int64
	// quiet is positive while notifications are of no use to waiting requests.
	quiet   atomic.Int64
	scratch sync.Pool

	mu sync.Mutex
	// queues is keyed by service.
	queues map[string]*queue
	ramps  ramps
	// growing is true while a limit has not reached its configured value.
	growing bool
}

// New returns a steering for an instance at the given place.
func New(place Place, ledger *share.Ledger, want func(anyOf []share.Account, n int), health *Health) *Steering {
	s := &Steering{place: place, ledger: ledger, want: want, health: health, queues: map[string]*queue{}}
	s.scratch.New = func() any { return new([]float64) }
	s.plan.Store(&plan{})
	return s
}

// Run keeps the limits as the configuration has them until the context ends. Changed returns a channel that is closed
// at the next change of the configuration.
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

// Configure puts a configuration in force; an older one than the present is ignored.
func (s *Steering) Configure(c Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := s.plan.Load()
	isNew := present.services == nil || c.Revision > present.revision
	if !isNew && !s.growing {
		return
	}
	now := time.Now()
	if isNew {
		s.ramps.learn(c.Snapshot, now)
	}
	limits := Limits(c.Snapshot)
	s.growing = s.ramps.apply(limits, c.Snapshot, now)
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

// Notify lets waiting requests try again; the ledger calls it when something has become free.
func (s *Steering) Notify() {
	if s.waiting.Load() == 0 || s.quiet.Load() > 0 {
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

// queueOf returns the queue of a service; s.mu must be held.
func (s *Steering) queueOf(service string) *queue {
	q, ok := s.queues[service]
	if !ok {
		q = newQueue(s, service)
		s.queues[service] = q
	}
	return q
}
