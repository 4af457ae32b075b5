package steering

import (
	"context"
	"net/http"
	"time"

	"medlarpond.dev/core/modules/refusal"
)

const (
	// MinAttemptTime is the least remaining time in which an attempt is started.
	MinAttemptTime = 5 * time.Millisecond
	// overloadRetryAfter is the Retry-After of a response to a caller when no target can take the request.
	overloadRetryAfter = time.Second
	// publicRouteWeight is the weight that all routes without a team share when requests queue.
	publicRouteWeight = 1.0
)

// AdmissionRequest asks for the admission of one attempt of a request.
type AdmissionRequest struct {
	Configuration Configuration
	Service       string
	// Team is empty for a route that needs no team.
	Team string
	// Excluded names the targets at which earlier attempts of the request failed.
	Excluded []string
}

// Admit reserves the units and tokens for one attempt. If they are not available, it waits for them as long as the
// service's queue timeout and the context's deadline permit.
func (s *Steering) Admit(ctx context.Context, r AdmissionRequest) (*Grant, *refusal.Refusal) {
	if s.plan.Load().revision < r.Configuration.Revision {
		s.Configure(r.Configuration)
	}
	p := s.plan.Load()
	service := p.services[r.Service]
	if service == nil {
		return nil, noTarget()
	}
	if timeLeft(ctx) < MinAttemptTime {
		return nil, deadlineTooShort()
	}
	q := service.queue
	if q.length.Load() == 0 {
		grant, missing := s.tryAdmit(service, r.Team, r.Excluded)
		if grant != nil {
			return grant, nil
		}
		if missing == shortageTargets {
			return nil, noTarget()
		}
		s.requestMissing(service, r.Team, missing, 1)
		if time.Duration(service.spec.QueueTimeout) <= 0 {
			return nil, s.newRefusal(p, r, missing, 1)
		}
	}
	return s.waitInQueue(ctx, q, p, service, r)
}

// waitInQueue queues a request for at most the service's queue timeout.
func (s *Steering) waitInQueue(ctx context.Context, q *queue, p *plan, service *servicePlan, r AdmissionRequest) (*Grant, *refusal.Refusal) {
	weight := p.weight(r.Team)
	budget := time.Duration(service.spec.QueueTimeout)
	remaining := timeLeft(ctx) - MinAttemptTime
	if refused := s.refuseIfTooLate(q, p, r, min(budget, remaining)); refused != nil {
		return nil, refused
	}
	w := &waiter{team: r.Team, excluded: r.Excluded, done: make(chan *Grant, 1)}
	q.add(w, weight)
	q.serve()
	timer := time.NewTimer(min(budget, remaining))
	defer timer.Stop()
	select {
	case grant := <-w.done:
		return s.queueResult(p, r, grant)
	case <-timer.C:
	case <-ctx.Done():
	}
	missing := q.shortageOf(r.Team)
	if !q.remove(w) {
		return s.queueResult(p, r, <-w.done)
	}
	if remaining < budget {
		return nil, deadlineTooShort()
	}
	return nil, s.newRefusal(p, r, missing, 1)
}

// queueResult returns the result of a queued request; a nil grant means that the queue dropped the request.
func (s *Steering) queueResult(p *plan, r AdmissionRequest, grant *Grant) (*Grant, *refusal.Refusal) {
	if grant == nil {
		return nil, s.newRefusal(p, r, shortageCapacity, 1)
	}
	return grant, nil
}

// refuseIfTooLate refuses a request that the queue cannot serve within budget: either the team's rate limit or the
// measured throughput of the queue is too low for the requests ahead of it.
func (s *Steering) refuseIfTooLate(q *queue, p *plan, r AdmissionRequest, budget time.Duration) *refusal.Refusal {
	waiting, fraction, throughput := q.backlog(r.Team, p.weight(r.Team))
	if t, ok := p.teams[r.Team]; ok && float64(waiting) > t.Burst+t.Rate*budget.Seconds() {
		return s.newRefusal(p, r, shortageTokens, waiting)
	}
	if throughput > 0 && float64(waiting) > throughput*fraction*budget.Seconds() && q.shortageOf(r.Team) == shortageCapacity {
		return s.newRefusal(p, r, shortageCapacity, waiting)
	}
	return nil
}

// newRefusal returns the refusal for a shortage. If the team is over its rate, Retry-After is the time in which it earns
// as many tokens as requests are waiting.
func (s *Steering) newRefusal(p *plan, r AdmissionRequest, missing shortage, waiting int) *refusal.Refusal {
	if t, ok := p.teams[r.Team]; ok && missing == shortageTokens {
		wait := time.Duration(float64(waiting) / t.Rate * float64(time.Second))
		return refusal.New(http.StatusTooManyRequests, refusal.RateExceeded, "the team is over its rate").WithRetryAfter(wait)
	}
	if missing == shortageTokens {
		return refusal.New(http.StatusTooManyRequests, refusal.RateExceeded, "the team has no rate").WithRetryAfter(time.Second)
	}
	if missing == shortageTargets {
		return noTarget()
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.Overloaded,
		"no target has a free slot").WithRetryAfter(overloadRetryAfter)
}

func (p *plan) weight(team string) float64 {
	if t, ok := p.teams[team]; ok {
		return t.Weight
	}
	return publicRouteWeight
}

// tokenRetryDelay returns how long a team without tokens waits before its next try.
func (p *plan) tokenRetryDelay(team string) time.Duration {
	t, ok := p.teams[team]
	if !ok {
		return maxTokenRetryDelay
	}
	return min(max(time.Duration(float64(time.Second)/t.Rate), pollInterval), maxTokenRetryDelay)
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
