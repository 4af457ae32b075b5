// Package forward takes a caller's request through the decisions of an edge instance: route, key, allowance, target,
// attempts. It is the only place that repeats a request.
package forward

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/intent"
	"medlarpond.dev/core/modules/logging"
	"medlarpond.dev/core/modules/meter"
	"medlarpond.dev/core/modules/refusal"
	"medlarpond.dev/core/services/allowance"
	"medlarpond.dev/core/services/belief"
	"medlarpond.dev/core/services/placement"
	"medlarpond.dev/core/services/target"
)

// Headers name the headers that this deployment's callers and targets use.
type Headers struct {
	// RequestID identifies one attempt of a caller; targets echo it.
	RequestID string
	// TimeLeft is how many milliseconds the sender will wait for the answer.
	TimeLeft string
	// Expected names the target that alone may run the request.
	Expected string
	// Team names the team of the request.
	Team string
	// Seal proves that an answer is the target's own.
	Seal string
	// NotRun marks an answer of a target that has not run the request.
	NotRun string
	// Load is a target's report of running requests, waiting requests and slots, separated by commas.
	Load string
	// ObjectCookie names the cookie that says what object the request concerns.
	ObjectCookie string
}

// Policy holds the bounds of the request path.
type Policy struct {
	// ConfirmTimeout is the age of the last confirmed contact with the store up to which keys are accepted.
	ConfirmTimeout time.Duration
	// MaxTries bounds the targets that one request is offered to, those that did not run it included.
	MaxTries int
	// UnsafeIdle and SafeIdle are the ages of idle connections up to which requests that must not and may run twice use
	// them.
	UnsafeIdle, SafeIdle time.Duration
	// UrgentRoom and OtherRoom are the requests per slot that may wait at a target, for the most and the least urgent
	// requests of a service.
	UrgentRoom, OtherRoom float64
}

const (
	// minTimeLeft is the least time with which an attempt is begun.
	minTimeLeft = 25 * time.Millisecond
	// answerMargin is how long after its time has run out an answer of a target may still come.
	answerMargin = 40 * time.Millisecond
	// The pauses that callers are asked for.
	retryAfterUnready  = 300 * time.Millisecond
	retryAfterOverload = 400 * time.Millisecond
	minRetryAfter      = 100 * time.Millisecond
	maxRetryAfter      = 2 * time.Second
)

// Parts are what a forwarder works with.
type Parts struct {
	State      *belief.State
	Placement  *placement.Placement
	Loads      *placement.Loads
	Allowances *allowance.Allowances
	Retries    *allowance.Retries
	Pool       *target.Pool
	Headers    Headers
	Policy     Policy
	Meter      *meter.Meter
	Logger     *zap.Logger
}

// Forwarder decides what becomes of each request.
type Forwarder struct {
	Parts
	splits *splits
	// leaving is nil until the instance stops.
	leaving atomic.Pointer[leaving]
}

// leaving says how an instance that stops treats requests.
type leaving struct {
	// refuseFrom is when requests that may last beyond end begin to be refused.
	refuseFrom, end time.Time
}

// Leave refuses requests that arrive after refuseFrom and may last beyond end.
func (f *Forwarder) Leave(refuseFrom, end time.Time) {
	f.leaving.Store(&leaving{refuseFrom: refuseFrom, end: end})
}

// New returns a forwarder.
func New(p Parts) *Forwarder { return &Forwarder{Parts: p, splits: newSplits()} }

// Request is a caller's request.
type Request struct {
	Method, URI, Path, Host string
	// Header has no field that concerns one connection only and no key.
	Header http.Header
	// Body is the part that was read, Rest what follows or nil.
	Body []byte
	Rest io.Reader
	// Length is that of the whole body; negative if unknown.
	Length int64
	// ID, Object and Key are taken from the headers; Object and Key may be empty.
	ID, Object, Key string
	// Patience is how long the caller will wait from Arrived; zero sets no bound.
	Patience time.Duration
	Arrived  time.Time
}

// Result is the answer for a caller: Answer of a target, or Refused.
type Result struct {
	Answer  *target.Answer
	Refused *refusal.Refusal
	// Team and Route are empty if the request was refused before they were known.
	Team, Route string
}

// call is a request on its way through the decisions.
type call struct {
	Request
	view    *belief.View
	route   *intent.Route
	team    intent.Team
	service string
	// object names what a request on a sticky route concerns; empty for none. Targets know objects by route.
	object string
	homes  []string
	// ends is when the final answer is due.
	ends time.Time
	// excluded lists the targets that are not tried again, last is the one that was tried last.
	excluded []string
	last     string
	// ran is the number of targets that may have run the request.
	ran int
	// charged is true while the team's allowance is charged.
	charged bool
}

// Forward answers the request.
func (f *Forwarder) Forward(ctx context.Context, r Request) Result {
	c := &call{Request: r}
	refused := f.admit(c)
	var answer *target.Answer
	if refused == nil {
		answer, refused = f.attempts(ctx, c)
	}
	result := Result{Answer: answer, Refused: refused, Team: c.team.Name}
	if c.route != nil {
		result.Route = c.route.Name
	}
	if refused != nil {
		if refused.NotRun && c.charged {
			f.Allowances.Return(c.team)
		}
		f.logRefused(c, refused)
	}
	return result
}

// admit finds the route and checks key and allowance.
func (f *Forwarder) admit(c *call) *refusal.Refusal {
	c.view = f.State.View()
	if c.view.Intent == nil {
		return refusal.New(http.StatusServiceUnavailable, refusal.Unconfirmed,
			"this instance does not know the intent yet").WithRetryAfter(retryAfterUnready)
	}
	route, ok := c.view.Intent.RouteOf(c.Host, c.Path)
	if !ok {
		return refusal.New(http.StatusNotFound, refusal.NoRoute, "no route has this host and path")
	}
	c.route = route
	c.ends = c.Arrived.Add(route.Timeout)
	if c.Patience > 0 && c.Patience < route.Timeout {
		c.ends = c.Arrived.Add(c.Patience)
	}
	if l := f.leaving.Load(); l != nil && c.Arrived.After(l.refuseFrom) && c.ends.After(l.end) {
		return refusal.New(http.StatusServiceUnavailable, refusal.Leaving,
			"this instance is stopping; use another one").WithRetryAfter(minRetryAfter)
	}
	if limit := c.view.Intent.Limits.BodyBytes; limit > 0 && c.Length > limit {
		return refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge, "the body is over the limit")
	}
	c.homes = route.HomeRegions
	if route.Sticky && c.Object != "" {
		c.object = route.Name + "/" + c.Object
	}
	if !route.Open {
		if refused := f.authorize(c); refused != nil {
			return refused
		}
	}
	c.service = f.splits.choose(route)
	if c.team.Name == "" {
		return nil
	}
	if ok, wait := f.Allowances.Take(c.team); !ok {
		return refusal.New(http.StatusTooManyRequests, refusal.RateExceeded,
			"the team is over its rate").WithRetryAfter(min(max(wait, minRetryAfter), maxRetryAfter))
	}
	c.charged = true
	return nil
}

// authorize finds the team of the key. Only an instance whose contact with the store is recent enough accepts keys, as
// a key may have been withdrawn since.
func (f *Forwarder) authorize(c *call) *refusal.Refusal {
	if age := f.State.Age(); age > f.Policy.ConfirmTimeout || len(c.view.Instances) == 0 {
		return refusal.New(http.StatusServiceUnavailable, refusal.Unconfirmed,
			"this instance has lost contact with the store").WithRetryAfter(retryAfterUnready)
	}
	if c.Key == "" {
		return refusal.New(http.StatusUnauthorized, refusal.NoKey, "this route needs a key")
	}
	team, ok := c.view.Intent.TeamOf(c.Key)
	if !ok {
		return refusal.New(http.StatusUnauthorized, refusal.UnknownKey, "this key does not exist or was withdrawn")
	}
	c.team = team
	if len(team.HomeRegions) > 0 {
		c.homes = intersect(c.homes, team.HomeRegions)
	}
	return nil
}

// intersect returns the regions in both lists; an empty first list stands for all regions. No region in common leaves
// one name that no region has.
func intersect(a, b []string) []string {
	if len(a) == 0 {
		return b
	}
	var both []string
	for _, x := range a {
		for _, y := range b {
			if x == y {
				both = append(both, x)
			}
		}
	}
	if both == nil {
		return []string{""}
	}
	return both
}

// room returns the requests per slot that may wait at a target for a request of this urgency.
func (f *Forwarder) room(c *call) float64 {
	urgency := c.view.Intent.Urgency(c.team, c.route, c.service)
	return f.Policy.OtherRoom + urgency*(f.Policy.UrgentRoom-f.Policy.OtherRoom)
}

func (f *Forwarder) logRefused(c *call, r *refusal.Refusal) {
	f.Logger.Info("request refused", zap.String("request", c.ID), zap.String(logging.FieldTeam, c.team.Name),
		zap.String("route", c.routeName()), zap.String("service", c.service), zap.String("reason", string(r.Reason)),
		zap.Int("status", r.Status), zap.Bool("not-run", r.NotRun), zap.Int("tries", len(c.excluded)),
		zap.Uint64("intent", c.version()), zap.Duration("confirmed-ago", f.State.Age()),
		zap.Duration("after", time.Since(c.Arrived)))
}

func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

func (c *call) version() uint64 {
	if c.view == nil || c.view.Intent == nil {
		return 0
	}
	return c.view.Intent.Version
}
