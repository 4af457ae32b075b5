package forward

import (
	"context"
	"errors"
	"hash/fnv"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/modules/logging"
	"medlarpond.dev/core/modules/refusal"
	"medlarpond.dev/core/services/crash"
	"medlarpond.dev/core/services/placement"
	"medlarpond.dev/core/services/target"
)

// requestOutcome is the result of an attempt with regard to the request.
type requestOutcome int

const (
	// outcomeAnswered means that the response is passed on to the caller.
	outcomeAnswered requestOutcome = iota
	// outcomeNotRun means that the target certainly has not run the request.
	outcomeNotRun
	// outcomeUnknown means that the target may have run the request, but there is no response to pass on.
	outcomeUnknown
	// outcomeFailed means that the target has run the request and returned a failure.
	outcomeFailed
)

// tryTargets sends the request to one target after another until one responds or no further attempt is permitted.
func (f *Forwarder) tryTargets(ctx context.Context, c *call) (*target.Response, *refusal.Refusal) {
	f.RetryBudget.Deposit(c.service)
	for ; c.tries < f.Policy.MaxTries; c.tries++ {
		if time.Until(c.deadline) < minAttemptTime {
			break
		}
		choice, refused, ok := f.nextTarget(ctx, c, c.sentCount)
		if refused != nil && c.possibleRuns == 0 {
			return nil, refused
		}
		if !ok {
			break
		}
		first, second := f.send(ctx, c, choice)
		response := first.response
		retrySame := first.outcome == outcomeNotRun && f.reportsFreeSlots(response) && c.lastTarget != choice.Target.ID
		c.lastTarget = choice.Target.ID
		if first.outcome == outcomeAnswered {
			return response, nil
		}
		c.addFailed(first, retrySame)
		if second != nil {
			if second.outcome == outcomeAnswered {
				first.discard()
				return second.response, nil
			}
			c.addFailedHedge(*second)
		}
		sent := !target.IsNotSent(first.err)
		if ctx.Err() != nil || (c.possibleRuns > 0 && (!c.route.Idempotent || c.possibleRuns >= c.route.MaxAttempts)) || (c.Rest != nil && sent) {
			c.bodyTooLarge = isBodyTooLarge(first.err)
			break
		}
	}
	return f.giveUp(c, c.failedResponse)
}

// send sends the request to the selected target. second is the result of its hedge; nil if none was sent.
func (f *Forwarder) send(ctx context.Context, c *call, choice placement.Choice) (first attemptResult, second *attemptResult) {
	if f.Hedger == nil {
		return f.tryTarget(ctx, c, attempt{choice: choice}), nil
	}
	return f.sendHedged(ctx, c, choice)
}

// addFailed counts an attempt that was not answered. The target is not tried again unless retrySame is true.
func (c *call) addFailed(r attemptResult, retrySame bool) {
	if !target.IsNotSent(r.err) {
		c.sentCount++
	}
	if !retrySame {
		c.excludedTargets = append(c.excludedTargets, r.choice.Target.ID)
	}
	if r.outcome == outcomeFailed {
		c.failedResponse = r.response
	}
	if r.outcome != outcomeNotRun {
		c.possibleRuns++
	}
}

// nextTarget selects the target of the next attempt; sentCount is the number of targets that the request was sent to. If
// there must be no further attempt, ok is false, and refused is the response to a request that has not run, if there is a
// particular one.
func (f *Forwarder) nextTarget(ctx context.Context, c *call, sentCount int) (choice placement.Choice, refused *refusal.Refusal, ok bool) {
	if refused := f.refuseStopping(c); refused != nil {
		return placement.Choice{}, refused, false
	}
	if !f.permitAttempt(ctx, c) {
		return placement.Choice{}, f.refuseCrashing(c), false
	}
	query := f.newQuery(c)
	choice, rejected, ok := f.Placement.Choose(query)
	if !ok {
		f.endTrial(c, crash.TrialUnused)
		refused := f.refuseNoTarget(c, rejected)
		f.logNoTarget(c, query, rejected, refused.RetryAfter)
		return placement.Choice{}, refused, false
	}
	if sentCount > 0 && !f.RetryBudget.Withdraw(c.service) {
		f.Loads.End(placement.Attempt{Target: choice.Target, Outcome: placement.OutcomeCancelled})
		f.endTrial(c, crash.TrialUnused)
		f.Meter.Count("medlarpond_retries_denied_total", "service", c.service)
		f.Logger.Info("retry budget of the service is exhausted; the request is not retried further", zap.String("request", c.ID), zap.String("service", c.service))
		return placement.Choice{}, nil, false
	}
	return choice, nil, true
}

func (f *Forwarder) newQuery(c *call) placement.Query {
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.ID))
	return placement.Query{
		Service: c.service, Object: c.object, Spread: h.Sum64(), HomeRegions: c.permittedRegions, LatencyGoal: c.route.LatencyGoal,
		NonIdempotent: !c.route.Idempotent, Excluded: c.excludedTargets, MaxQueuePerSlot: f.maxQueuePerSlot(c), TimeLeft: time.Until(c.deadline),
		MeasureBusy: f.Hedger != nil,
	}
}

// refuseNoTarget returns the refusal of a request for which no target could be selected.
func (f *Forwarder) refuseNoTarget(c *call, rejected placement.Rejected) *refusal.Refusal {
	reason, message := refusal.NoTarget, "no target may take the request now"
	if rejected.Any() {
		reason, message = refusal.Overloaded, "the targets have no room"
	}
	retryAfter := f.retryAfterRoom(c, rejected.RoomIn)
	if rejected.OnlyPaused() {
		retryAfter = min(max(rejected.AvailableIn, minRetryAfter), maxRetryAfterPause)
	}
	return refusal.New(http.StatusServiceUnavailable, reason, message).WithRetryAfter(retryAfter)
}

// giveUp returns the response to a request that is not retried. A failure response of a target is passed on unchanged.
func (f *Forwarder) giveUp(c *call, failedResponse *target.Response) (*target.Response, *refusal.Refusal) {
	expired := time.Until(c.deadline) < minAttemptTime
	switch {
	case failedResponse != nil:
		return failedResponse, nil
	case c.bodyTooLarge:
		return nil, refusal.NewMayHaveRun(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge, "the body is over the limit")
	case c.possibleRuns > 0 && expired:
		return nil, refusal.NewMayHaveRun(http.StatusGatewayTimeout, refusal.OutcomeUnknown, "no target answered in time")
	case c.possibleRuns > 0:
		return nil, refusal.NewMayHaveRun(http.StatusBadGateway, refusal.OutcomeUnknown, "the target broke off; it may have run the request")
	case expired:
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.DeadlineTooShort,
			"no time is left for the request").WithRetryAfter(f.retryAfterRoom(c, 0))
	default:
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.TargetFailed,
			"no target has taken the request").WithRetryAfter(f.retryAfterRoom(c, 0))
	}
}

// isBodyTooLarge reports whether an attempt failed because the caller sent more than the limit of the intent.
func isBodyTooLarge(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}

// tryTarget sends the request to the selected target.
func (f *Forwarder) tryTarget(ctx context.Context, c *call, a attempt) attemptResult {
	choice, started := a.choice, time.Now()
	idle := f.Policy.UnsafeIdle
	if c.route.Idempotent {
		idle = f.Policy.SafeIdle
	}
	response, err := f.Pool.Do(ctx, target.Exchange{
		Address: choice.Target.Address, Request: f.newTargetRequest(c, choice), IDHeader: f.Headers.RequestID, ID: c.ID,
		Deadline: c.deadline.Add(responseMargin), MaxIdle: idle, NonIdempotent: !c.route.Idempotent,
	})
	outcome, targetOutcome := f.classify(ctx, c, response, err)
	report, hints := placement.Report{}, placement.Hints{}
	if response != nil && targetOutcome != placement.OutcomeMisdirected {
		// A misdirected request was answered by another target, which says nothing about this one.
		report, hints = f.loadReport(choice.Target.ID, response), f.parseHints(response)
	}
	lost := a.pair.end(a.role, outcome)
	if lost {
		outcome, targetOutcome = outcomeUnknown, placement.OutcomeCancelled
	}
	took := time.Since(started)
	f.recordResponseTime(c, a, targetOutcome, lost, took)
	ejected := f.Loads.End(placement.Attempt{
		Target: choice.Target, Service: c.service, Object: c.object, LatencyGoal: c.route.LatencyGoal, Duration: took,
		Load: choice.Load, Warm: choice.Warm, Outcome: targetOutcome, Report: report, Hints: hints,
	})
	f.Meter.Count("medlarpond_attempts_total", "outcome", outcome.String())
	var oversized *target.ErrOversizedResponse
	if errors.As(err, &oversized) {
		f.Meter.Count("medlarpond_oversized_responses_total", "part", oversized.Part)
	}
	f.logAttempt(c, a, response, err, outcome, took, lost)
	f.recordRun(c, choice, outcome, err, started)
	if ejected {
		f.Meter.Count("medlarpond_ejections_total", "service", c.service)
		f.Logger.Warn("target ejected after failures", zap.String(logging.FieldTarget, choice.Target.ID),
			zap.String("service", c.service))
	}
	result := attemptResult{choice: choice, response: response, outcome: outcome, err: err}
	if lost {
		result.discard()
		result.response = nil
	}
	return result
}

// classify returns what a response or error means for the request and for the target's health.
func (f *Forwarder) classify(ctx context.Context, c *call, response *target.Response, err error) (requestOutcome, placement.Outcome) {
	if err != nil {
		if ctx.Err() != nil {
			return outcomeUnknown, placement.OutcomeCancelled
		}
		if target.IsNotSent(err) {
			return outcomeNotRun, placement.OutcomeUnreachable
		}
		var body *target.ErrRequestBody
		if errors.As(err, &body) {
			return outcomeUnknown, placement.OutcomeCancelled
		}
		if time.Until(c.deadline) < minAttemptTime {
			return outcomeUnknown, placement.OutcomeTimedOut
		}
		if errors.Is(err, syscall.ETIMEDOUT) {
			return outcomeUnknown, placement.OutcomeUnreachable
		}
		return outcomeUnknown, placement.OutcomeFailed
	}
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		return outcomeNotRun, placement.OutcomeMisdirected
	case response.Header.Get(f.Headers.NotRun) != "":
		return outcomeNotRun, placement.OutcomeRefused
	case response.Header.Get(f.Headers.Seal) == "" && (response.Status < http.StatusBadRequest || meansNotRun(response.Status)):
		return outcomeUnknown, placement.OutcomeFailed
	case response.Status >= http.StatusInternalServerError:
		if time.Until(c.deadline) < minAttemptTime {
			// The target aborted the request because its deadline passed, which says little about the target's health.
			return outcomeFailed, placement.OutcomeCancelled
		}
		return outcomeFailed, placement.OutcomeFailed
	default:
		return outcomeAnswered, placement.OutcomeAnswered
	}
}

// meansNotRun reports whether a caller takes a status for the statement that its request has not run. Only a target's mark for
// that, or its seal, shows that the target has said so itself.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// reportsFreeSlots reports whether a target that refused a request has free slots according to its load report. A
// target with free slots refuses at random, so it is worth a retry: another one would not have the object warm.
func (f *Forwarder) reportsFreeSlots(refused *target.Response) bool {
	if refused == nil || refused.Header.Get(f.Headers.NotRun) == "" {
		return false
	}
	r, _ := parseLoad(refused.Header.Values(f.Headers.Load))
	return r.Known && r.Running+r.Waiting < r.Slots
}

// newTargetRequest returns the request as sent to the target.
func (f *Forwarder) newTargetRequest(c *call, choice placement.Choice) target.Request {
	h := c.Header.Clone()
	timeLeft := max(time.Until(c.deadline), 0)
	h.Set(f.Headers.TimeLeft, strconv.FormatInt(timeLeft.Milliseconds(), 10))
	h.Set(f.Headers.ExpectedTarget, choice.Target.ID)
	if c.team.Name == "" {
		h.Del(f.Headers.Team)
	} else {
		h.Set(f.Headers.Team, c.team.Name)
	}
	return target.Request{
		Method: c.Method, URI: c.URI, Host: c.Host, Header: h, Body: c.Body, Rest: c.Rest, Length: c.Length,
	}
}

// logNoTarget writes the figures by which no target was selected for a request.
func (f *Forwarder) logNoTarget(c *call, q placement.Query, rejected placement.Rejected, retryAfter time.Duration) {
	f.Logger.Info("no target can take the request", zap.String("request", c.ID), zap.String(logging.FieldService, c.service),
		zap.Int("full", rejected.Full), zap.Int("late", rejected.Late), zap.Int("spill", rejected.Spill),
		zap.Int("limited", rejected.Limited), zap.Int("paused", rejected.Paused), zap.Duration("available-in", rejected.AvailableIn),
		zap.Float64("queue-per-slot", q.MaxQueuePerSlot), zap.Duration("time-left", q.TimeLeft),
		zap.Duration("room-in", rejected.RoomIn), zap.Duration("retry-after", retryAfter))
}

// logAttempt writes the log line from which the path of a request can be reconstructed.
func (f *Forwarder) logAttempt(
	c *call, a attempt, response *target.Response, err error, outcome requestOutcome, took time.Duration, lost bool,
) {
	choice := a.choice
	fields := []zap.Field{
		zap.String("request", c.ID), zap.String("route", c.route.Name), zap.String(logging.FieldTeam, c.team.Name),
		zap.String(logging.FieldService, c.service), zap.String(logging.FieldTarget, choice.Target.ID),
		zap.String("object", c.Object), zap.String("target-domain", choice.Target.Place.FailureDomain),
		zap.Uint64("target-revision", choice.Target.Revision), zap.Uint64("intent", c.intentVersion()),
		zap.Int("rank", choice.Rank), zap.Float64("load", choice.Load), zap.Bool("warm", choice.Warm),
		zap.Float64("pace", choice.Pace),
		zap.Duration("expected", choice.ExpectedTime), zap.Duration("took", took), zap.String("outcome", outcome.String()),
	}
	fields = append(fields, a.logFields(lost)...)
	if response != nil {
		fields = append(fields, zap.Int("status", response.Status), zap.String("target-load", response.Header.Get(f.Headers.Load)))
		fields = append(fields, f.hintFields(response.Header)...)
		f.logNewHeaders(choice.Target.ID, response.Header)
	}
	if err != nil {
		var interrupted *target.ErrInterrupted
		fields = append(fields, zap.Bool("sent", errors.As(err, &interrupted)), zap.NamedError("cause", err))
	}
	f.Logger.Info("attempt", fields...)
}

// String returns the value used in logs and metrics.
func (o requestOutcome) String() string {
	switch o {
	case outcomeAnswered:
		return "answered"
	case outcomeNotRun:
		return "not-run"
	case outcomeUnknown:
		return "unknown"
	case outcomeFailed:
		return "failed"
	default:
		return "invalid"
	}
}
