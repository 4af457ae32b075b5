// Package dispatch handles a caller's request: it finds the route, checks the API key, claims the idempotency key,
// admits the request and sends it to targets.
package dispatch

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/modules/refusal"
	"medlarpond.dev/core/services/configuration"
	"medlarpond.dev/core/services/crash"
	"medlarpond.dev/core/services/idempotency"
	"medlarpond.dev/core/services/steering"
	"medlarpond.dev/core/services/target"
)

// bodyReadMargin is how long after its deadline the body of a request may still be read.
const bodyReadMargin = time.Second

// Dispatcher dispatches requests to targets. It is safe for concurrent use.
type Dispatcher struct {
	state    *configuration.State
	steering *steering.Steering
	health   *steering.Health
	sender   *target.Sender
	claimer  *idempotency.Claimer
	guard    *crash.Guard
	logger   *zap.Logger
	// confirmed reports whether routes that require a key may be served.
	confirmed func() bool
	// instances returns the number of instances that share the targets' connections.
	instances    func() int
	retryBudgets *retryBudgets
	latencies    *serviceLatencies
	inFlight     *inFlightCalls
}

// Config holds the dependencies of a Dispatcher.
type Config struct {
	State    *configuration.State
	Steering *steering.Steering
	Health   *steering.Health
	Sender   *target.Sender
	Claimer  *idempotency.Claimer
	Guard    *crash.Guard
	Logger   *zap.Logger
	// Confirmed reports whether routes that require a key may be served.
	Confirmed func() bool
	// Instances returns the number of instances that share the targets' connections.
	Instances func() int
}

// Labels attribute a request for metrics. A field is empty if the request was refused before its value was known.
type Labels struct {
	Team    string
	Service string
}

// Result is the response of a target. The caller streams it to its client and then releases it.
type Result struct {
	Response *http.Response
	Target   string
	// Deadline is when the response body must be complete.
	Deadline time.Time
	release  func(complete bool)
}

// Release ends the attempt. complete tells whether the response was read to its end.
func (r *Result) Release(complete bool) { r.release(complete) }

// New returns a dispatcher.
func New(config Config) *Dispatcher {
	return &Dispatcher{
		state: config.State, steering: config.Steering, health: config.Health, sender: config.Sender, claimer: config.Claimer, guard: config.Guard,
		logger: config.Logger, confirmed: config.Confirmed, instances: config.Instances,
		retryBudgets: newRetryBudgets(), latencies: newLatencies(), inFlight: newInFlightCalls(),
	}
}

// call is the state of one request while it is dispatched.
type call struct {
	request  *http.Request
	view     *configuration.View
	route    resource.NamedRoute
	service  resource.Service
	deadline time.Time
	// team is the team of the key; empty on a route that needs no key.
	team string
	// key is the API key that came with the request; it is never logged.
	key        string
	keyHash    resource.KeyHash
	idempotent bool
	body       body
	// running is true while a target may be running the request.
	running atomic.Bool
	// cachedFingerprint is valid if hasFingerprint is true.
	cachedFingerprint crash.Fingerprint
	hasFingerprint    bool
}

// Dispatch sends the request to a target or refuses it. The caller must stream the result and release it. Dispatch
// calls setReadDeadline to limit the reading of the request's body.
func (d *Dispatcher) Dispatch(r *http.Request, setReadDeadline func(time.Time)) (*Result, Labels, *refusal.Refusal) {
	c, refused := d.authorize(r)
	if refused != nil {
		return nil, Labels{}, refused
	}
	setReadDeadline(c.deadline.Add(bodyReadMargin))
	labels := Labels{Team: c.team, Service: c.route.Service}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	ctx, cancelWithCause := context.WithCancelCause(ctx)
	removeCall := d.inFlight.add(c, cancelWithCause)
	finish := func() {
		removeCall()
		cancelWithCause(nil)
		cancel()
	}
	result, refused := d.run(ctx, c)
	if refused != nil {
		if refused.NotRun && keyRevoked(ctx) {
			refused = unknownKeyRefusal()
		}
		finish()
		return nil, labels, refused
	}
	releaseAttempt := result.release
	result.release = func(complete bool) {
		finish()
		releaseAttempt(complete)
	}
	return result, labels, nil
}

// run buffers the body, claims the idempotency key and makes the attempts.
func (d *Dispatcher) run(ctx context.Context, c *call) (*Result, *refusal.Refusal) {
	if refused := c.readBody(); refused != nil {
		return nil, refused
	}
	claim, refused := d.claim(ctx, c)
	if refused != nil {
		return nil, refused
	}
	result, refused := d.runAttempts(ctx, c)
	if refused != nil && refused.NotRun && claim != nil {
		d.withdrawClaim(ctx, *claim)
	}
	return result, refused
}

// authorize finds the route, validates the request and checks its key.
func (d *Dispatcher) authorize(r *http.Request) (*call, *refusal.Refusal) {
	view := d.state.View()
	route, ok := view.Snapshot.RouteOf(r.URL.Path)
	if !ok {
		return nil, refusal.New(http.StatusNotFound, refusal.NoRoute, "no route has this path")
	}
	service, ok := resource.Spec[resource.Service](view.Snapshot, resource.KindService, route.Service)
	if !ok {
		return nil, refusal.New(http.StatusNotFound, refusal.NoRoute, "the service of this route does not exist")
	}
	keys := presentedKeys(r)
	if len(keys) > 1 {
		return nil, refusal.New(http.StatusBadRequest, refusal.Malformed, "the request carries different keys")
	}
	c := &call{request: r, view: view, route: route, service: service, key: strings.Join(keys, "")}
	c.idempotent = isIdempotent(service, r.Method)
	c.deadline = time.Now().Add(c.timeout())
	if c.key != "" {
		c.keyHash = resource.HashKey(c.key)
	}
	if refused := c.validateRequest(); refused != nil {
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
	team, ok := c.view.Snapshot.TeamOf(c.keyHash)
	if !ok {
		return unknownKeyRefusal()
	}
	if len(c.route.Teams) > 0 && !slices.Contains(c.route.Teams, team) {
		return refusal.New(http.StatusForbidden, refusal.TeamNotPermitted, "this route is not open to the key's team")
	}
	c.team = team
	return nil
}

// validateRequest refuses requests that must not be sent to any target.
func (c *call) validateRequest() *refusal.Refusal {
	if c.request.ContentLength > c.service.MaxBodyBytes {
		return c.bodyTooLargeRefusal()
	}
	if c.request.Header.Get("Upgrade") != "" || c.request.Method == http.MethodConnect {
		return refusal.New(http.StatusNotImplemented, refusal.UpgradeRefused, "connection upgrades are not supported")
	}
	if c.containsKey(c.request.URL.EscapedPath()) || c.containsKey(c.request.Method) {
		return refusal.New(http.StatusBadRequest, refusal.Malformed, "the path or the method contains the key")
	}
	return nil
}

// timeout returns how long the request may take: the service's timeout, or the caller's if that is shorter.
func (c *call) timeout() time.Duration {
	limit := time.Duration(c.service.RequestTimeout)
	seconds, err := strconv.ParseFloat(c.request.Header.Get(target.TimeoutHeader), 64)
	if err != nil || !(seconds > 0 && seconds < limit.Seconds()) {
		return limit
	}
	return time.Duration(seconds * float64(time.Second))
}

func unknownKeyRefusal() *refusal.Refusal {
	return refusal.New(http.StatusUnauthorized, refusal.UnknownKey, "this key does not exist or was withdrawn")
}

func isIdempotent(s resource.Service, method string) bool {
	if len(s.IdempotentMethods) > 0 {
		return slices.Contains(s.IdempotentMethods, method)
	}
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}
