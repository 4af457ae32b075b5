// Package dispatch takes a caller's request through the decisions: route, key, admission, target, attempts.
package dispatch

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/modules/logging"
	"medlarpond.dev/core/modules/refusal"
	"medlarpond.dev/core/services/configuration"
	"medlarpond.dev/core/services/steering"
	"medlarpond.dev/core/services/target"
)

const (
	// maxAttempts bounds the attempts of one request, the first included.
	maxAttempts = 3
	// minAttemptTime is the least time in which an attempt is worth starting.
	minAttemptTime = 5 * time.Millisecond
	// overloadRetryAfter is what a caller is told to wait when no slot is free.
	overloadRetryAfter = 1 * time.Second
)

// Dispatcher decides what becomes of each request.
type Dispatcher struct {
	state    *configuration.State
	steering *steering.Steering
	sender   *target.Sender
	logger   *zap.Logger
	// confirmed reports whether keyed routes may be served.
	confirmed func() bool
}

// Result is the answer of a target, to be streamed to the caller and then released.
type Result struct {
	Response *http.Response
	Team     string
	Service  string
	Target   string
	release  func()
}

// Release gives back the slot and ends the attempt.
func (r *Result) Release() { r.release() }

// New returns a dispatcher.
func New(
	state *configuration.State, steering *steering.Steering, sender *target.Sender, confirmed func() bool, logger *zap.Logger,
) *Dispatcher {
	return &Dispatcher{state: state, steering: steering, sender: sender, confirmed: confirmed, logger: logger}
}

// call is one request on its way through the decisions.
type call struct {
	request  *http.Request
	snapshot resource.Snapshot
	route    resource.NamedRoute
	service  resource.Service
	// team is empty on a route that is open to all.
	team string
	// key is the key that came with the request; it is never logged.
	key        string
	idempotent bool
}

// Dispatch runs the request at a target or refuses it. The caller of Dispatch streams the result and releases it.
func (d *Dispatcher) Dispatch(r *http.Request) (*Result, *refusal.Refusal) {
	c, refused := d.authorize(r)
	if refused != nil {
		return nil, refused
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.timeout())
	result, refused := d.attempts(ctx, c)
	if refused != nil {
		cancel()
		return nil, refused
	}
	inner := result.release
	result.release = func() {
		cancel()
		inner()
	}
	return result, nil
}

// authorize finds the route and checks the key.
func (d *Dispatcher) authorize(r *http.Request) (*call, *refusal.Refusal) {
	snapshot := d.state.View().Snapshot
	route, ok := snapshot.RouteOf(r.URL.Path)
	if !ok {
		return nil, refusal.New(http.StatusNotFound, refusal.NoRoute, "no route has this path")
	}
	service, ok := resource.Spec[resource.Service](snapshot, resource.KindService, route.Service)
	if !ok {
		return nil, refusal.New(http.StatusNotFound, refusal.NoRoute, "the service of this route does not exist")
	}
	c := &call{request: r, snapshot: snapshot, route: route, service: service, key: presentedKey(r)}
	c.idempotent = isIdempotent(service, r.Method)
	if refused := c.checkBody(); refused != nil {
		return nil, refused
	}
	if route.Open {
		return c, nil
	}
	if !d.confirmed() {
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.Unconfirmed,
			"this instance has lost contact; use another one").WithRetryAfter(time.Second)
	}
	return c, c.checkKey()
}

func (c *call) checkKey() *refusal.Refusal {
	if c.key == "" {
		return refusal.New(http.StatusUnauthorized, refusal.NoKey, "this route needs a key")
	}
	team, ok := c.snapshot.TeamOf(resource.HashKey(c.key))
	if !ok {
		return refusal.New(http.StatusUnauthorized, refusal.UnknownKey, "this key does not exist or was withdrawn")
	}
	if len(c.route.Teams) > 0 && !slices.Contains(c.route.Teams, team) {
		return refusal.New(http.StatusForbidden, refusal.TeamNotPermitted, "this route is not open to the key's team")
	}
	c.team = team
	return nil
}

func (c *call) checkBody() *refusal.Refusal {
	if c.request.ContentLength > c.service.MaxBodyBytes {
		return refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge,
			"the body is over the limit of "+strconv.FormatInt(c.service.MaxBodyBytes, 10)+" bytes")
	}
	if c.request.Header.Get("Upgrade") != "" {
		return refusal.New(http.StatusNotImplemented, refusal.UpgradeRefused, "connection upgrades are not supported")
	}
	return nil
}

// timeout returns the time that the request may take: the service's bound or the caller's, if that is shorter.
func (c *call) timeout() time.Duration {
	bound := time.Duration(c.service.RequestTimeout)
	seconds, err := strconv.ParseFloat(c.request.Header.Get(target.TimeoutHeader), 64)
	if err != nil || seconds <= 0 {
		return bound
	}
	return min(bound, time.Duration(seconds*float64(time.Second)))
}

// attempts tries targets until one answers or no further attempt is permitted.
func (d *Dispatcher) attempts(ctx context.Context, c *call) (*Result, *refusal.Refusal) {
	excluded := map[string]bool{}
	var last *refusal.Refusal
	for range maxAttempts {
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < minAttemptTime {
			return nil, orElse(last, refusal.New(http.StatusGatewayTimeout, refusal.DeadlineTooShort, "too little time is left"))
		}
		choice, ok := d.steering.Choose(c.snapshot, c.route.Service, excluded)
		if !ok {
			return nil, orElse(last, refusal.New(http.StatusServiceUnavailable, refusal.Overloaded,
				"no target has a free slot").WithRetryAfter(overloadRetryAfter))
		}
		response, err := d.sender.Send(ctx, c.attempt(choice.Target.Address)) //nolint:bodyclose // the router streams and closes it
		if err == nil {
			return &Result{
				Response: response, Team: c.team, Service: c.route.Service, Target: choice.Target.Name, release: choice.Release,
			}, nil
		}
		choice.Release()
		excluded[choice.Target.Name] = true
		d.logger.Info("attempt failed", zap.String(logging.FieldService, c.route.Service),
			zap.String(logging.FieldTarget, choice.Target.Name), zap.Error(err))
		last = failure(ctx, err)
		if !c.mayRetry(err) {
			return nil, last
		}
	}
	return nil, last
}

func (c *call) mayRetry(err error) bool {
	if target.IsNotSent(err) {
		return true
	}
	return c.idempotent && !hasBody(c.request)
}

func failure(ctx context.Context, err error) *refusal.Refusal {
	switch {
	case target.IsNotSent(err):
		return refusal.New(http.StatusBadGateway, refusal.TargetFailed, "no target could be reached").WithRetryAfter(time.Second)
	case ctx.Err() != nil:
		return refusal.NewRan(http.StatusGatewayTimeout, refusal.OutcomeUnknown, "the time was over before the target answered")
	default:
		return refusal.NewRan(http.StatusBadGateway, refusal.OutcomeUnknown, "the target did not answer; it may have run the request")
	}
}

func orElse(first, second *refusal.Refusal) *refusal.Refusal {
	if first != nil {
		return first
	}
	return second
}

func hasBody(r *http.Request) bool { return r.ContentLength != 0 }

func isIdempotent(s resource.Service, method string) bool {
	if len(s.IdempotentMethods) > 0 {
		return slices.Contains(s.IdempotentMethods, method)
	}
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}
