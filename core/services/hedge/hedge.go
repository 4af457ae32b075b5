// Package hedge decides whether a second attempt of a request, a hedge, is sent to another target while the first one is still
// running. It performs no I/O.
package hedge

import (
	"sync"
	"time"
)

// Policy holds the limits for hedges, which come from settings.
type Policy struct {
	// Ratio is the largest share of a route's requests that may be hedged.
	Ratio float64
	// Quantile is the quantile of a route's response times after which a hedge is due.
	Quantile float64
}

const (
	// fullAllowanceShare and noAllowanceShare are the shares of busy slots up to which requests add the whole ratio to the
	// allowance, and from which on they add nothing.
	fullAllowanceShare = 0.6
	noAllowanceShare   = 0.9
	// maxAllowance is the largest number of hedges that an instance saves for a route. It bounds what all instances together
	// send at once.
	maxAllowance = 1.0
	// allowanceRounding makes up for the rounding of sums: ten times 0.1 is less than 1.
	allowanceRounding = 1e-9
	// maxRoutes bounds the routes with response times of their own, which take up to 32 KB each. Further routes get no hedges.
	maxRoutes = 128
)

// Reason is why a hedge is not sent. It is the value of a metric's label.
type Reason string

// The reasons for withholding a hedge.
const (
	// Permitted is the absence of a reason.
	Permitted Reason = ""
	// NotIdempotent means that the request must not run twice, BodyNotHeld that its body cannot be sent again.
	NotIdempotent Reason = "not-idempotent"
	BodyNotHeld   Reason = "body-not-held"
	// Unlearned means that too few response times of the route are known.
	Unlearned Reason = "unlearned"
	// Attempts means that the request may not run at a second target or be offered to one.
	Attempts Reason = "attempts"
	// Crash means that a target has died under the request.
	Crash Reason = "crash"
	// Unconfirmed means that the contact with the store is too old, Stopping that the instance stops.
	Unconfirmed Reason = "unconfirmed"
	Stopping    Reason = "stopping"
	// Deadline means that too little time is left for a response.
	Deadline Reason = "deadline"
	// Allowance means that the share of hedged requests has reached Policy.Ratio, Busy that most slots are busy.
	Allowance Reason = "allowance"
	Busy      Reason = "busy"
	// RetryBudget means that the retry budget of the service is exhausted.
	RetryBudget Reason = "retry-budget"
	// NoTarget means that no other target may take a hedge now.
	NoTarget Reason = "no-target"
)

// Situation is what the decision about a hedge depends on, apart from the allowance and the targets.
type Situation struct {
	Idempotent, BodyHeld bool
	// PossibleRuns is the number of targets that may have run the request before the current attempt, MaxAttempts the largest
	// number that may run it.
	PossibleRuns, MaxAttempts int
	// TriesLeft is the number of further targets to which the request may be offered.
	TriesLeft int
	// CrashSuspected is true if a target has died under the request.
	CrashSuspected      bool
	Confirmed, Stopping bool
	// TimeLeft is the time until the deadline, MinTime the time that a response takes at least.
	TimeLeft, MinTime time.Duration
}

// Withhold returns the first reason not to send a hedge, or Permitted.
func (s Situation) Withhold() Reason {
	switch {
	case !s.Idempotent:
		return NotIdempotent
	case !s.BodyHeld:
		return BodyNotHeld
	case s.PossibleRuns > 0 || s.MaxAttempts < 2 || s.TriesLeft < 1:
		return Attempts
	case s.CrashSuspected:
		return Crash
	case !s.Confirmed:
		return Unconfirmed
	case s.Stopping:
		return Stopping
	case s.TimeLeft < s.MinTime:
		return Deadline
	default:
		return Permitted
	}
}

// Hedger keeps the response times and the allowance of each route at one instance. It is safe for concurrent use.
type Hedger struct {
	policy Policy

	mu sync.Mutex
	// routes is keyed by route name and has at most maxRoutes entries.
	routes map[string]*route
}

// route is the state of one route.
type route struct {
	times responseTimes
	// allowance is the number of hedges that may be sent now, at most maxAllowance.
	allowance float64
}

func (r *route) permitsHedge() bool { return r.allowance >= 1-allowanceRounding }

// New returns a Hedger that knows of no requests.
func New(p Policy) *Hedger { return &Hedger{policy: p, routes: map[string]*route{}} }

// get returns the state of a route, or nil if there are too many routes. The caller must hold mu.
func (h *Hedger) get(name string, now time.Time) *route {
	if r, ok := h.routes[name]; ok {
		return r
	}
	if len(h.routes) >= maxRoutes {
		for other, r := range h.routes {
			if r.times.isUnused(now) {
				delete(h.routes, other)
			}
		}
		if len(h.routes) >= maxRoutes {
			return nil
		}
	}
	r := &route{times: newResponseTimes(now)}
	h.routes[name] = r
	return r
}

// CountRequest adds a request of a route to its allowance. busyShare is the share of busy slots of the targets that were
// compared for it.
func (h *Hedger) CountRequest(name string, busyShare float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.get(name, time.Now()); r != nil {
		r.allowance = min(maxAllowance, r.allowance+h.policy.Ratio*allowanceFactor(busyShare))
	}
}

// allowanceFactor returns the fraction of the ratio that a request adds to the allowance.
func allowanceFactor(busyShare float64) float64 {
	return min(max((noAllowanceShare-busyShare)/(noAllowanceShare-fullAllowanceShare), 0), 1)
}

// HasAllowance reports whether Take may succeed.
func (h *Hedger) HasAllowance(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.routes[name]
	return r != nil && r.permitsHedge()
}

// Take takes one hedge from the allowance of a route. busyShare is the share of busy slots of the targets that were compared for
// the hedge.
func (h *Hedger) Take(name string, busyShare float64) Reason {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.routes[name]
	switch {
	case r == nil || !r.permitsHedge():
		return Allowance
	case allowanceFactor(busyShare) == 0:
		return Busy
	default:
		r.allowance--
		return Permitted
	}
}

// Refund undoes Take for a hedge that was not sent.
func (h *Hedger) Refund(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.routes[name]; r != nil {
		r.allowance = min(maxAllowance, r.allowance+1)
	}
}

// Record adds the response time of an attempt of a route, or the time after which the attempt was ended if that is as long as
// the response would have taken at least.
func (h *Hedger) Record(name string, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if r := h.get(name, now); r != nil {
		r.times.add(took, now)
	}
}

// Delay returns the time after which a hedge of a request is due. It is false if too few response times of the route are known.
func (h *Hedger) Delay(name string) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.routes[name]
	if r == nil {
		return 0, false
	}
	return r.times.quantile(h.policy.Quantile, time.Now())
}
