package steering

import (
	"context"
	"sync"
	"time"
)

const (
	// probeInterval is the time between two probes of a target.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
)

// Probe sends health probes to the targets that have not recovered from a bad outcome, until the context ends. A probe
// reserves the same units as an attempt; if they are not free, the probe is skipped, which does not count as an outcome.
// Other targets are not probed, since requests already show their health at no cost.
func (s *Steering) Probe(ctx context.Context, send func(ctx context.Context, address, path string) error) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.probeSuspects(ctx, send)
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Steering) probeSuspects(ctx context.Context, send func(ctx context.Context, address, path string) error) {
	var group sync.WaitGroup
	for _, service := range s.plan.Load().services {
		if service.spec.ProbePath == "" {
			continue
		}
		for i := range service.candidates {
			c := &service.candidates[i]
			if s.health.isSuspect(c.target.Name) && s.acquireUnits(c) {
				group.Go(func() { s.probe(ctx, c, service.spec.ProbePath, send) })
			}
		}
	}
	group.Wait()
}

func (s *Steering) probe(
	ctx context.Context, c *candidate, path string, send func(ctx context.Context, address, path string) error,
) {
	defer s.releaseUnits(c.units)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	began := time.Now()
	err := send(ctx, c.target.Address, path)
	switch {
	case err == nil:
		s.health.Report(c.target.Name, OutcomeProbed, began)
	case ctx.Err() != nil:
		s.health.Report(c.target.Name, OutcomeTimedOut, began)
	default:
		s.health.Report(c.target.Name, OutcomeFailed, began)
	}
}

// acquireUnits acquires all units of a candidate, or none.
func (s *Steering) acquireUnits(c *candidate) bool {
	for i, a := range c.units {
		if !s.ledger.Acquire(a) {
			s.releaseWithoutNotify(c.units[:i])
			return false
		}
	}
	return true
}
