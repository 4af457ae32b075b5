// Package forward handles a caller's request in an edge instance: routing, authentication, rate limiting, target
// selection and retries. No other package retries requests.
package forward

import (
	"context"
	"hash/maphash"
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
	"medlarpond.dev/core/services/crash"
	"medlarpond.dev/core/services/hedge"
	"medlarpond.dev/core/services/placement"
	"medlarpond.dev/core/services/ratepool"
	"medlarpond.dev/core/services/target"
)

// Headers holds the header names that callers and targets of a deployment use.
type Headers struct {
	// RequestID identifies one attempt of a caller; targets echo it.
	RequestID string
	// TimeLeft is the remaining time of the request in milliseconds.
	TimeLeft string
	// ExpectedTarget carries the ID of the only target that may run the request.
	ExpectedTarget string
	// Team carries the name of the request's team.
	Team string
	// Seal proves that a response was created by the target itself.
	Seal string
	// NotRun marks the response of a target that has not run the request.
	NotRun string
	// Load carries the target's numbers of running requests, waiting requests and slots, and possibly its pace in percent,
	// separated by commas.
	Load string
	// Leaving is 1 in the responses of a target that leaves.
	Leaving string
	// Limit is the number of requests per second that the target takes from all instances together.
	Limit string
	// ObjectCookie is the name of the cookie that holds the object of the request.
	ObjectCookie string
}

// Policy holds the limits for handling requests.
type Policy struct {
	// ConfirmTimeout is the maximum time since the last confirmed contact with the store for which API keys are
	// accepted.
	ConfirmTimeout time.Duration
	// MaxTries is the maximum number of targets that a request is sent to, including those that did not run it.
	MaxTries int
	// UnsafeIdle and SafeIdle are the maximum idle times of connections that are reused for non-idempotent and
	// idempotent requests.
	UnsafeIdle, SafeIdle time.Duration
	// UrgentQueuePerSlot and OtherQueuePerSlot are the maximum numbers of requests queued at a target, per slot, for
	// the most and the least urgent requests of a service.
	UrgentQueuePerSlot, OtherQueuePerSlot float64
}

const (
	// minAttemptTime is the minimum time until the deadline for an attempt to be started.
	minAttemptTime = 25 * time.Millisecond
	// responseMargin is how long after the deadline a target's response is still accepted.
	responseMargin = 40 * time.Millisecond
	// answerMargin is how long before the end of a shutdown the requests that are still at targets are answered, so that their
	// callers get an answer before the connections are closed.
	answerMargin = 100 * time.Millisecond
	// Retry-After values for callers. retryAfterOverload applies if there is no estimate of when a target has room.
	retryAfterUnready  = 300 * time.Millisecond
	retryAfterOverload = 400 * time.Millisecond
	minRetryAfter      = 100 * time.Millisecond
	maxRetryAfter      = 2 * time.Second
	retryAfterCrash    = 30 * time.Second
	maxRetryAfterPause = 30 * time.Second
)

// Config holds the dependencies and settings of a Forwarder.
type Config struct {
	State       *belief.State
	Placement   *placement.Placement
	Loads       *placement.LoadTracker
	Rates       *ratepool.Pool
	RetryBudget *allowance.RetryBudget
	Crashes     *crash.Tally
	// Hedger is nil if requests are not hedged.
	Hedger  *hedge.Hedger
	Pool    *target.Pool
	Headers Headers
	Policy  Policy
	Meter   *meter.Meter
	Logger  *zap.Logger
}

// Forwarder forwards requests to targets. It is safe for concurrent use.
type Forwarder struct {
	Config
	splitter *weightedSplitter
	// responseHeaders holds the names of headers that targets have sent.
	responseHeaders headerNames
	// malformedReports holds the IDs of targets whose malformed load reports have been logged.
	malformedReports loggedTargets
	// shutdown is nil until the instance starts to stop.
	shutdown atomic.Pointer[shutdown]
	// attempts is done when a shutdown ends all attempts, by calling endAttempts.
	attempts    context.Context //nolint:containedctx // bounds all attempts of the process, not one call
	endAttempts context.CancelFunc
	// history counts the attempts of requests by historyKey. Hash values of requests use hashSeed.
	history  *crash.History
	hashSeed maphash.Seed
	// replacementChecks is the number of lost connections whose targets may turn out to have been replaced.
	replacementChecks atomic.Int64
}

// shutdown says which requests a stopping instance sends to targets.
type shutdown struct {
	// After refuseAfter, no attempt is started that may last until end, when the connections of callers are closed.
	refuseAfter, end time.Time
}

// BeginShutdown keeps requests whose deadline lets them last until end from being sent to targets after refuseAfter.
// Requests that are still at a target answerMargin before end are answered without it.
func (f *Forwarder) BeginShutdown(refuseAfter, end time.Time) {
	f.shutdown.Store(&shutdown{refuseAfter: refuseAfter, end: end})
	time.AfterFunc(time.Until(end)-answerMargin, f.endAttempts)
}

// boundByShutdown returns a context that also ends when a shutdown ends all attempts, and a function that must be called once the
// attempts have ended. It does not end the context then, as a response may still be streamed.
func (f *Forwarder) boundByShutdown(ctx context.Context) (bounded context.Context, release func()) {
	bounded, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(f.attempts, cancel)
	return bounded, func() { stop() }
}

// refuseStopping returns a refusal if the shutdown may cut off the request when it is sent to a target now, and nil otherwise. It
// goes by the present time and not by that of the arrival: the body may have arrived slowly, and earlier attempts may have
// taken long.
func (f *Forwarder) refuseStopping(c *call) *refusal.Refusal {
	s := f.shutdown.Load()
	if s == nil || !time.Now().After(s.refuseAfter) || !c.deadline.Add(responseMargin).After(s.end) {
		return nil
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.Leaving,
		"this instance is stopping; use another one").WithRetryAfter(minRetryAfter)
}

// New returns a Forwarder.
func New(config Config) *Forwarder {
	attempts, endAttempts := context.WithCancel(context.Background())
	return &Forwarder{
		attempts: attempts, endAttempts: endAttempts,
		Config: config, splitter: newWeightedSplitter(), history: crash.NewHistory(), hashSeed: maphash.MakeSeed(),
	}
}

// Request is a caller's request.
type Request struct {
	Method, URI, Path, Host string
	// Header contains neither hop-by-hop fields nor the API key.
	Header http.Header
	// Body is the part of the body that has been read. Rest is the unread remainder, or nil.
	Body []byte
	Rest io.Reader
	// Length is the length of the whole body; negative if unknown.
	Length int64
	// ID, Object and Key, the API key, are taken from the headers; Object and Key may be empty.
	ID, Object, Key string
	// Timeout is the caller's timeout, measured from Arrived; zero means none.
	Timeout time.Duration
	Arrived time.Time
}

// Result is the outcome of a request: either Response, from a target, or Refusal is set.
type Result struct {
	Response *target.Response
	Refusal  *refusal.Refusal
	// Team and Route are empty if the request was refused before they were determined.
	Team, Route string
}

// call is a request with the state of its handling.
type call struct {
	Request
	view    *belief.View
	route   *intent.Route
	team    intent.Team
	service string
	// object is the affinity key of a request on a sticky route, prefixed with the route; empty for other requests.
	object           string
	permittedRegions []string
	// deadline is when the final response is due.
	deadline time.Time
	// excludedTargets lists the IDs of targets that are not tried again. lastTarget is the ID of the target tried last.
	excludedTargets []string
	lastTarget      string
	// tries is the number of targets that the request was offered to before the current attempt. hedged is true once a hedge was sent.
	tries  int
	hedged bool
	// sentCount is the number of attempts that may have reached a target, failedResponse the response of a target that has run the
	// request and failed.
	sentCount      int
	failedResponse *target.Response
	// possibleRuns is the number of targets that may have run the request.
	possibleRuns int
	// bodyTooLarge is true if the body turned out to be over the limit while it was sent to a target.
	bodyTooLarge bool
	// cachedFingerprint is set if hasFingerprint is true.
	cachedFingerprint crash.Fingerprint
	hasFingerprint    bool
	// isTrial is true while the next or the current attempt is a trial of a request under which targets have died.
	isTrial bool
	// rate is the decision of the team's rate limit; empty if it was not asked.
	rate ratepool.Decision
}

// IsIdempotent reports whether the requests for a host and path may run more than once.
func (f *Forwarder) IsIdempotent(host, path string) bool {
	i := f.State.View().Intent
	if i == nil {
		return false
	}
	route, ok := i.RouteOf(host, path)
	return ok && route.Idempotent
}

// MaxBodyBytes returns the limit on the size of a request body; zero if there is none.
func (f *Forwarder) MaxBodyBytes() int64 {
	if i := f.State.View().Intent; i != nil {
		return i.Limits.BodyBytes
	}
	return 0
}

// Forward handles the request and returns its outcome.
func (f *Forwarder) Forward(ctx context.Context, r Request) Result {
	c := &call{Request: r}
	refused := f.admit(ctx, c)
	var response *target.Response
	if refused == nil {
		bounded, release := f.boundByShutdown(ctx)
		response, refused = f.tryTargets(bounded, c)
		release()
	}
	result := Result{Response: response, Refusal: refused, Team: c.team.Name}
	if c.route != nil {
		result.Route = c.route.Name
	}
	if refused != nil {
		if refused.NotRun && c.rate.OK {
			f.Rates.Refund(c.team, c.rate)
		}
		f.logRefusal(c, refused)
	}
	return result
}

// admit determines route, team and service, and checks the body size, the API key and the rate limit. It also refuses
// requests during a shutdown.
func (f *Forwarder) admit(ctx context.Context, c *call) *refusal.Refusal {
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
	c.deadline = c.Arrived.Add(route.Timeout)
	if c.Timeout > 0 && c.Timeout < route.Timeout {
		c.deadline = c.Arrived.Add(c.Timeout)
	}
	if refused := f.refuseStopping(c); refused != nil {
		return refused
	}
	if limit := c.view.Intent.Limits.BodyBytes; limit > 0 && c.Length > limit {
		return refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge, "the body is over the limit")
	}
	c.permittedRegions = route.HomeRegions
	if route.Sticky && c.Object != "" {
		c.object = route.Name + "/" + c.Object
	}
	if !route.Open {
		if refused := f.authorize(c); refused != nil {
			return refused
		}
	}
	c.service = f.splitter.next(route)
	if c.team.Name == "" {
		return nil
	}
	if c.rate = f.Rates.Take(ctx, c.team); !c.rate.OK {
		return refusal.New(http.StatusTooManyRequests, refusal.RateExceeded,
			"the team is over its rate").WithRetryAfter(min(max(c.rate.RetryAfter, minRetryAfter), maxRetryAfter))
	}
	return nil
}

// authorize determines the team of the API key, if the intent asks for one. Requests are accepted only while contact with the
// store is recent enough, as a key may have been revoked, or teams may have been added, since the last contact. Teams with a rate
// limit are refused while no instance is known to be registered, as nothing tells how many instances share the limit.
func (f *Forwarder) authorize(c *call) *refusal.Refusal {
	if f.State.SinceConfirmed() > f.Policy.ConfirmTimeout {
		return refusal.New(http.StatusServiceUnavailable, refusal.Unconfirmed,
			"this instance has lost contact with the store").WithRetryAfter(retryAfterUnready)
	}
	if c.view.Intent.WithoutKeys {
		return nil
	}
	if c.Key == "" {
		return refusal.New(http.StatusUnauthorized, refusal.NoKey, "this route needs a key")
	}
	team, ok := c.view.Intent.TeamOf(c.Key)
	if !ok {
		return refusal.New(http.StatusUnauthorized, refusal.UnknownKey, "this key does not exist or was withdrawn")
	}
	if team.Rate > 0 && len(c.view.Instances) == 0 {
		return refusal.New(http.StatusServiceUnavailable, refusal.Unconfirmed,
			"this instance does not know the other instances, which share the rate limit").WithRetryAfter(retryAfterUnready)
	}
	c.team = team
	if len(team.HomeRegions) > 0 {
		c.permittedRegions = intersect(c.permittedRegions, team.HomeRegions)
	}
	return nil
}

// intersect returns the regions in both lists; an empty first list stands for all regions. Without a common region, it
// returns a list with the empty name, which matches no region.
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

// maxQueuePerSlot returns the maximum number of requests queued at a target, per slot, for a request of this urgency.
func (f *Forwarder) maxQueuePerSlot(c *call) float64 {
	urgency := c.view.Intent.Urgency(c.team, c.route, c.service)
	return f.Policy.OtherQueuePerSlot + urgency*(f.Policy.UrgentQueuePerSlot-f.Policy.OtherQueuePerSlot)
}

func (f *Forwarder) logRefusal(c *call, r *refusal.Refusal) {
	fields := []zap.Field{
		zap.String("request", c.ID), zap.String(logging.FieldTeam, c.team.Name),
		zap.String("route", c.routeName()), zap.String("service", c.service), zap.String("reason", string(r.Reason)),
		zap.Int("status", r.Status), zap.Bool("not-run", r.NotRun), zap.Int("tries", len(c.excludedTargets)),
		zap.Uint64("intent", c.intentVersion()), zap.Duration("confirmed-ago", f.State.SinceConfirmed()),
		zap.Duration("after", time.Since(c.Arrived)),
	}
	if r.Reason == refusal.RateExceeded && c.rate.Pooled {
		fields = append(fields, zap.Float64("share-held", c.rate.Held), zap.Float64("share-requested", c.rate.Requested))
	}
	f.Logger.Info("request refused", fields...)
}

func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

func (c *call) intentVersion() uint64 {
	if c.view == nil || c.view.Intent == nil {
		return 0
	}
	return c.view.Intent.Version
}
