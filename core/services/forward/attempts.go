package forward

import (
	"context"
	"errors"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/modules/logging"
	"medlarpond.dev/core/modules/refusal"
	"medlarpond.dev/core/services/placement"
	"medlarpond.dev/core/services/target"
)

// verdict is what an attempt says of the request.
type verdict int

const (
	// verdictDone means that the answer goes to the caller.
	verdictDone verdict = iota
	// verdictNotRun means that the target has certainly not run the request.
	verdictNotRun
	// verdictUnknown means that the target may have run the request and there is no answer to pass on.
	verdictUnknown
	// verdictFailed means that the target has run the request and answered with a failure.
	verdictFailed
)

// attempts tries targets until one answers or no further attempt is permitted.
func (f *Forwarder) attempts(ctx context.Context, c *call) (*target.Answer, *refusal.Refusal) {
	f.Retries.Earn(c.service)
	var failure *target.Answer
	arrivals := 0
	for range f.Policy.MaxTries {
		if time.Until(c.ends) < minTimeLeft {
			break
		}
		choice, full, ok := f.Placement.Choose(f.query(c))
		if !ok {
			return f.noTarget(c, failure, full)
		}
		if arrivals > 0 && !f.Retries.Spend(c.service) {
			f.Loads.End(placement.Attempt{Target: choice.Target, Outcome: placement.OutcomeCancelled})
			f.Meter.Count("medlarpond_retries_denied_total", "service", c.service)
			f.Logger.Info("no retry left", zap.String("request", c.ID), zap.String("service", c.service))
			break
		}
		answer, v, arrived := f.attempt(ctx, c, choice)
		again := v == verdictNotRun && f.hasRoom(answer) && c.last != choice.Target.ID
		c.last = choice.Target.ID
		if v == verdictDone {
			return answer, nil
		}
		if arrived {
			arrivals++
		}
		if !again {
			c.excluded = append(c.excluded, choice.Target.ID)
		}
		if v == verdictFailed {
			failure = answer
		}
		if v != verdictNotRun {
			c.ran++
		}
		if ctx.Err() != nil || (c.ran > 0 && (!c.route.Idempotent || c.ran >= c.route.MaxAttempts)) || c.Rest != nil {
			break
		}
	}
	return f.giveUp(c, failure)
}

func (f *Forwarder) query(c *call) placement.Query {
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.ID))
	return placement.Query{
		Service: c.service, Object: c.object, Spread: h.Sum64(), HomeRegions: c.homes, Goal: c.route.LatencyGoal, Excluded: c.excluded,
		Room: f.room(c), TimeLeft: time.Until(c.ends),
	}
}

// noTarget answers a request for which there is no target.
func (f *Forwarder) noTarget(c *call, failure *target.Answer, full bool) (*target.Answer, *refusal.Refusal) {
	if c.ran > 0 {
		return f.giveUp(c, failure)
	}
	reason, message := refusal.NoTarget, "no target may take the request now"
	if full {
		reason, message = refusal.Overloaded, "the targets have no room"
	}
	return nil, refusal.New(http.StatusServiceUnavailable, reason, message).WithRetryAfter(retryAfterOverload)
}

// giveUp answers a request that gets no further attempt. A failure that a target has answered is passed on as it is.
func (f *Forwarder) giveUp(c *call, failure *target.Answer) (*target.Answer, *refusal.Refusal) {
	late := time.Until(c.ends) < minTimeLeft
	switch {
	case failure != nil:
		return failure, nil
	case c.ran > 0 && late:
		return nil, refusal.NewRan(http.StatusGatewayTimeout, refusal.OutcomeUnknown, "no target answered in time")
	case c.ran > 0:
		return nil, refusal.NewRan(http.StatusBadGateway, refusal.OutcomeUnknown, "the target broke off; it may have run the request")
	case late:
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.DeadlineTooShort,
			"no time is left for the request").WithRetryAfter(retryAfterOverload)
	default:
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.TargetFailed,
			"no target has taken the request").WithRetryAfter(retryAfterOverload)
	}
}

// attempt sends the request to the chosen target. Arrived is false if it cannot have reached the target.
func (f *Forwarder) attempt(ctx context.Context, c *call, choice placement.Choice) (a *target.Answer, v verdict, arrived bool) {
	began := time.Now()
	idle := f.Policy.UnsafeIdle
	if c.route.Idempotent {
		idle = f.Policy.SafeIdle
	}
	answer, err := f.Pool.Do(ctx, target.Exchange{
		Address: choice.Target.Address, Message: f.message(c, choice), IDHeader: f.Headers.RequestID, ID: c.ID,
		Deadline: c.ends.Add(answerMargin), MaxIdle: idle, Once: !c.route.Idempotent,
	})
	v, outcome := f.judge(ctx, c, answer, err)
	report := placement.Report{}
	if answer != nil {
		report = parseLoad(answer.Header.Get(f.Headers.Load))
	}
	took := time.Since(began)
	ejected := f.Loads.End(placement.Attempt{
		Target: choice.Target, Service: c.service, Object: c.object, Goal: c.route.LatencyGoal, Took: took,
		Load: choice.Load, Warm: choice.Warm, Outcome: outcome, Report: report,
	})
	f.Meter.Count("medlarpond_attempts_total", "outcome", v.String())
	f.logAttempt(c, choice, answer, err, v, took)
	if ejected {
		f.Meter.Count("medlarpond_ejections_total", "service", c.service)
		f.Logger.Warn("target is left out after failures", zap.String(logging.FieldTarget, choice.Target.ID),
			zap.String("service", c.service))
	}
	return answer, v, !target.IsNotSent(err)
}

// judge says what an answer or error means for the request and for the target.
func (f *Forwarder) judge(ctx context.Context, c *call, a *target.Answer, err error) (verdict, placement.Outcome) {
	if err != nil {
		if ctx.Err() != nil {
			return verdictUnknown, placement.OutcomeCancelled
		}
		if target.IsNotSent(err) {
			return verdictNotRun, placement.OutcomeUnreachable
		}
		if time.Until(c.ends) < minTimeLeft {
			return verdictUnknown, placement.OutcomeLate
		}
		if errors.Is(err, syscall.ETIMEDOUT) {
			return verdictUnknown, placement.OutcomeUnreachable
		}
		return verdictUnknown, placement.OutcomeFailed
	}
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		return verdictNotRun, placement.OutcomeMisdirected
	case a.Header.Get(f.Headers.NotRun) != "":
		return verdictNotRun, placement.OutcomeRefused
	case a.Header.Get(f.Headers.Seal) == "" && a.Status < http.StatusBadRequest:
		return verdictUnknown, placement.OutcomeFailed
	case a.Status >= http.StatusInternalServerError:
		if time.Until(c.ends) < minTimeLeft {
			// The target ended the work because the time had run out; that says little of its health.
			return verdictFailed, placement.OutcomeCancelled
		}
		return verdictFailed, placement.OutcomeFailed
	default:
		return verdictDone, placement.OutcomeAnswered
	}
}

// hasRoom reports whether a target that refused a request says that it has free slots: it refuses at random then, and
// another target would not know the object.
func (f *Forwarder) hasRoom(refused *target.Answer) bool {
	if refused == nil || refused.Header.Get(f.Headers.NotRun) == "" {
		return false
	}
	r := parseLoad(refused.Header.Get(f.Headers.Load))
	return r.Known && r.Running+r.Waiting < r.Slots
}

// message is the request as the target receives it.
func (f *Forwarder) message(c *call, choice placement.Choice) target.Message {
	h := c.Header.Clone()
	left := max(time.Until(c.ends), 0)
	h.Set(f.Headers.TimeLeft, strconv.FormatInt(left.Milliseconds(), 10))
	h.Set(f.Headers.Expected, choice.Target.ID)
	if c.team.Name == "" {
		h.Del(f.Headers.Team)
	} else {
		h.Set(f.Headers.Team, c.team.Name)
	}
	return target.Message{
		Method: c.Method, URI: c.URI, Host: c.Host, Header: h, Body: c.Body, Rest: c.Rest, Length: c.Length,
	}
}

// parseLoad reads a target's report of its load.
func parseLoad(value string) placement.Report {
	parts := strings.Split(value, ",")
	if len(parts) != 3 {
		return placement.Report{}
	}
	var numbers [3]int
	for i, part := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 0 {
			return placement.Report{}
		}
		numbers[i] = n
	}
	return placement.Report{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2], Known: true}
}

// logAttempt writes the line by which a request's way is found later.
func (f *Forwarder) logAttempt(
	c *call, choice placement.Choice, a *target.Answer, err error, v verdict, took time.Duration,
) {
	fields := []zap.Field{
		zap.String("request", c.ID), zap.String("route", c.route.Name), zap.String(logging.FieldTeam, c.team.Name),
		zap.String(logging.FieldService, c.service), zap.String(logging.FieldTarget, choice.Target.ID),
		zap.String("object", c.Object), zap.String("target-domain", choice.Target.Place.FailureDomain),
		zap.Uint64("target-revision", choice.Target.Revision), zap.Uint64("intent", c.version()),
		zap.Int("rank", choice.Rank), zap.Float64("load", choice.Load), zap.Bool("warm", choice.Warm),
		zap.Duration("expected", choice.Expected), zap.Duration("took", took), zap.String("outcome", v.String()),
	}
	if a != nil {
		fields = append(fields, zap.Int("status", a.Status), zap.String("target-load", a.Header.Get(f.Headers.Load)))
	}
	if err != nil {
		var broken *target.ErrBroken
		fields = append(fields, zap.Bool("sent", errors.As(err, &broken)), zap.NamedError("cause", err))
	}
	f.Logger.Info("attempt", fields...)
}

// String returns the word for log lines.
func (v verdict) String() string {
	switch v {
	case verdictDone:
		return "answered"
	case verdictNotRun:
		return "not-run"
	case verdictUnknown:
		return "unknown"
	case verdictFailed:
		return "failed"
	default:
		return "invalid"
	}
}
