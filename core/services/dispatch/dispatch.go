// Package dispatch takes a caller's request through the decisions: route, key, admission, target, attempts.
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

// bodyMargin is how long after its deadline a request's body may still be read.
const bodyMargin = time.Second

// Dispatcher decides what becomes of each request.
type Dispatcher struct {
	state    *configuration.State
	steering *steering.Steering
	health   *steering.Health
	sender   *target.Sender
	claimer  *idempotency.Claimer
	guard    *crash.Guard
	logger   *zap.Logger
	// confirmed reports whether keyed routes may be served.
	confirmed func() bool
	// instances returns the number of instances that share the targets' connections.
	instances func() int
	budgets   *budgets
	latencies *latencies
	open      *openCalls
}

// Parts are what a dispatcher works with.
type Parts struct {
	State    *configuration.State
	Steering *steering.Steering
	Health   *steering.Health
	Sender   *target.Sender
	Claimer  *idempotency.Claimer
	Guard    *crash.Guard
	Logger   *zap.Logger
	// Confirmed reports whether keyed routes may be served.
	Confirmed func() bool
	// Instances returns the number of instances that share the targets' connections.
	Instances func() int
}

// Labels say for whom a request counts; a field is empty if the request was refused before it was known.
type Labels struct {
	Team    string
	Service string
}

// Result is the answer of a target, to be streamed to the caller and then released.
type Result struct {
	Response *http.Response
	Target   string
	// Deadline is when the answer must be at its end.
	Deadline time.Time
	release  func(complete bool)
}

// Release ends the attempt; complete tells whether the answer was read to its end.
func (r *Result) Release(complete bool) { r.release(complete) }

// New returns a dispatcher.
func New(p Parts) *Dispatcher {
	return &Dispatcher{
		state: p.State, steering: p.Steering, health: p.Health, sender: p.Sender, claimer: p.Claimer, guard: p.Guard,
		logger: p.Logger, confirmed: p.Confirmed, instances: p.Instances,
		budgets: newBudgets(), latencies: newLatencies(), open: newOpenCalls(),
	}
}

// call is one request on its way through the decisions.
type call struct {
	request  *http.Request
	view     *configuration.View
	route    resource.NamedRoute
	service  resource.Service
	deadline time.Time
	// team is empty on a route that is open to all.
	team string
	// key is the key that came with the request; it is never logged.
	key        string
	keyHash    resource.KeyHash
	idempotent bool
	body       body
	// running is true while a target may run the request.
	running atomic.Bool
	// cachedFingerprint is valid if hasFingerprint is true.
	cachedFingerprint crash.Fingerprint
	hasFingerprint    bool
}

// Dispatch runs the request at a target or refuses it. The caller of Dispatch streams the result and releases it; readBy
// bounds the reading of the request's body.
func (d *Dispatcher) Dispatch(r *http.Request, readBy func(time.Time)) (*Result, Labels, *refusal.Refusal) {
	c, refused := d.authorize(r)
	if refused != nil {
		return nil, Labels{}, refused
	}
	readBy(c.deadline.Add(bodyMargin))
	labels := Labels{Team: c.team, Service: c.route.Service}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	ctx, withdraw := context.WithCancelCause(ctx)
	forget := d.open.add(c, withdraw)
	end := func() {
		forget()
		withdraw(nil)
		cancel()
	}
	result, refused := d.run(ctx, c)
	if refused != nil {
		if refused.NotRun && withdrawn(ctx) {
			refused = unknownKey()
		}
		end()
		return nil, labels, refused
	}
	inner := result.release
	result.release = func(complete bool) {
		end()
		inner(complete)
	}
	return result, labels, nil
}

// run reads what of the body is needed, claims the idempotency key and makes the attempts.
func (d *Dispatcher) run(ctx context.Context, c *call) (*Result, *refusal.Refusal) {
	if refused := c.readBody(); refused != nil {
		return nil, refused
	}
	claim, refused := d.claim(ctx, c)
	if refused != nil {
		return nil, refused
	}
	result, refused := d.attempts(ctx, c)
	if refused != nil && refused.NotRun && claim != nil {
		d.withdrawClaim(ctx, *claim)
	}
	return result, refused
}

// authorize finds the route and checks the key.
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
	if refused := c.checkForm(); refused != nil {
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
		return unknownKey()
	}
	if len(c.route.Teams) > 0 && !slices.Contains(c.route.Teams, team) {
		return refusal.New(http.StatusForbidden, refusal.TeamNotPermitted, "this route is not open to the key's team")
	}
	c.team = team
	return nil
}

// checkForm refuses what no target may receive.
func (c *call) checkForm() *refusal.Refusal {
	if c.request.ContentLength > c.service.MaxBodyBytes {
		return c.bodyTooLarge()
	}
	if c.request.Header.Get("Upgrade") != "" || c.request.Method == http.MethodConnect {
		return refusal.New(http.StatusNotImplemented, refusal.UpgradeRefused, "connection upgrades are not supported")
	}
	if c.containsKey(c.request.URL.EscapedPath()) || c.containsKey(c.request.Method) {
		return refusal.New(http.StatusBadRequest, refusal.Malformed, "the path or the method contains the key")
	}
	return nil
}

// timeout returns the time that the request may take: the service's bound or the caller's, if that is shorter.
func (c *call) timeout() time.Duration {
	bound := time.Duration(c.service.RequestTimeout)
	seconds, err := strconv.ParseFloat(c.request.Header.Get(target.TimeoutHeader), 64)
	if err != nil || !(seconds > 0 && seconds < bound.Seconds()) {
		return bound
	}
	return time.Duration(seconds * float64(time.Second))
}

func unknownKey() *refusal.Refusal {
	return refusal.New(http.StatusUnauthorized, refusal.UnknownKey, "this key does not exist or was withdrawn")
}

func isIdempotent(s resource.Service, method string) bool {
	if len(s.IdempotentMethods) > 0 {
		return slices.Contains(s.IdempotentMethods, method)
	}
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}
