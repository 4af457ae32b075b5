package steering

import (
	"context"
	"net/http"
	"time"

	"medlarpond.dev/core/modules/refusal"
)

const (
	// MinAttemptTime is the least time in which an attempt is worth starting.
	MinAttemptTime = 5 * time.Millisecond
	// overloadRetryAfter is what a caller is told to wait when no target may take its request.
	overloadRetryAfter = time.Second
	// openWeight is the weight under overload of all routes that are open to everybody, together.
	openWeight = 1.0
)

// Demand is a request that wants to be admitted.
type Demand struct {
	Configuration Configuration
	Service       string
	// Team is empty on a route that is open to all.
	Team string
	// Excluded names the targets that have failed the request before.
	Excluded []string
}

// Admit takes what an attempt needs, waiting for it if the service and the deadline allow.
func (s *Steering) Admit(ctx context.Context, d Demand) (*Grant, *refusal.Refusal) {
	if s.plan.Load().revision < d.Configuration.Revision {
		s.Configure(d.Configuration)
	}
	p := s.plan.Load()
	service := p.services[d.Service]
	if service == nil {
		return nil, noTarget()
	}
	if timeLeft(ctx) < MinAttemptTime {
		return nil, deadlineTooShort()
	}
	q := service.queue
	if q.length.Load() == 0 {
		grant, short := s.try(service, d.Team, d.Excluded)
		if grant != nil {
			return grant, nil
		}
		if short == shortTargets {
			return nil, noTarget()
		}
		s.ask(service, d.Team, short, 1)
		if time.Duration(service.spec.QueueTimeout) <= 0 {
			return nil, s.refuse(p, d, short, 1)
		}
	}
	return s.wait(ctx, q, p, service, d)
}

// wait queues a demand for at most the service's queue timeout.
func (s *Steering) wait(ctx context.Context, q *queue, p *plan, service *servicePlan, d Demand) (*Grant, *refusal.Refusal) {
	weight := p.weight(d.Team)
	budget := time.Duration(service.spec.QueueTimeout)
	left := timeLeft(ctx) - MinAttemptTime
	if refused := s.refuseEarly(q, p, d, min(budget, left)); refused != nil {
		return nil, refused
	}
	w := &waiter{team: d.Team, excluded: d.Excluded, done: make(chan *Grant, 1)}
	q.add(w, weight)
	q.serve()
	timer := time.NewTimer(min(budget, left))
	defer timer.Stop()
	select {
	case grant := <-w.done:
		return s.served(p, d, grant)
	case <-timer.C:
	case <-ctx.Done():
	}
	short := q.shortOf(d.Team)
	if !q.remove(w) {
		return s.served(p, d, <-w.done)
	}
	if left < budget {
		return nil, deadlineTooShort()
	}
	return nil, s.refuse(p, d, short, 1)
}

// served turns what a waiter received into an answer; nil means that it was dropped.
func (s *Steering) served(p *plan, d Demand, grant *Grant) (*Grant, *refusal.Refusal) {
	if grant == nil {
		return nil, s.refuse(p, d, shortRoom, 1)
	}
	return grant, nil
}

// refuseEarly refuses a demand that cannot be served in time: if the team's rate or the measured pace of the queue
// does not reach the end of the requests ahead of it.
func (s *Steering) refuseEarly(q *queue, p *plan, d Demand, budget time.Duration) *refusal.Refusal {
	ahead, part, pace := q.ahead(d.Team, p.weight(d.Team))
	if t, ok := p.teams[d.Team]; ok && float64(ahead) > t.Burst+t.Rate*budget.Seconds() {
		return s.refuse(p, d, shortTokens, ahead)
	}
	if pace > 0 && float64(ahead) > pace*part*budget.Seconds() && q.shortOf(d.Team) == shortRoom {
		return s.refuse(p, d, shortRoom, ahead)
	}
	return nil
}

func (s *Steering) refuse(p *plan, d Demand, short shortage, ahead int) *refusal.Refusal {
	if t, ok := p.teams[d.Team]; ok && short == shortTokens {
		wait := time.Duration(float64(ahead) / t.Rate * float64(time.Second))
		return refusal.New(http.StatusTooManyRequests, refusal.RateExceeded, "the team is over its rate").WithRetryAfter(wait)
	}
	if short == shortTokens {
		return refusal.New(http.StatusTooManyRequests, refusal.RateExceeded, "the team has no rate").WithRetryAfter(time.Second)
	}
	if short == shortTargets {
		return noTarget()
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.Overloaded,
		"no target has a free slot").WithRetryAfter(overloadRetryAfter)
}

func (p *plan) weight(team string) float64 {
	if t, ok := p.teams[team]; ok {
		return t.Weight
	}
	return openWeight
}

// tokenPause returns how long a team that lacks a token waits before it is tried again.
func (p *plan) tokenPause(team string) time.Duration {
	t, ok := p.teams[team]
	if !ok {
		return maxTokenPause
	}
	return min(max(time.Duration(float64(time.Second)/t.Rate), lookInterval), maxTokenPause)
}

func noTarget() *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.NoTarget,
		"no target serves this now").WithRetryAfter(overloadRetryAfter)
}

func deadlineTooShort() *refusal.Refusal {
	return refusal.New(http.StatusGatewayTimeout, refusal.DeadlineTooShort, "too little time is left")
}

func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return time.Until(deadline)
}
