package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/modules/logging"
	"medlarpond.dev/core/modules/refusal"
	"medlarpond.dev/core/services/crash"
	"medlarpond.dev/core/services/steering"
	"medlarpond.dev/core/services/target"
)

const (
	// maxAttempts is the maximum number of attempts of one request, including the first.
	maxAttempts = 3
	// cancelGrace is how long a target may keep running an attempt after it was cancelled.
	cancelGrace = 100 * time.Millisecond
	// peerCallTimeout is the timeout of the calls to other instances that one request causes.
	peerCallTimeout = 300 * time.Millisecond
	// retryAfterFailure is the Retry-After that a caller gets after a failed attempt.
	retryAfterFailure = time.Second
)

// errHeaderTimeout cancels an attempt whose response headers are late while there is still time for another attempt.
var errHeaderTimeout = errors.New("response headers did not arrive within the header timeout of the service")

// runAttempts tries targets until one responds or no further attempt is permitted. Once an attempt may have run, the
// refusal of that attempt is returned, whatever happens to later ones, so that the caller knows that the request may
// have run.
func (d *Dispatcher) runAttempts(ctx context.Context, c *call) (*Result, *refusal.Refusal) {
	var excluded []string
	var finalRefusal *refusal.Refusal
	d.retryBudgets.deposit(c.route.Service)
	for n := range maxAttempts {
		if n > 0 && !d.retryBudgets.withdraw(c.route.Service) {
			return nil, finalRefusal
		}
		grant, refused := d.steering.Admit(ctx, steering.AdmissionRequest{
			Configuration: steering.Configuration{Snapshot: c.view.Snapshot, Revision: c.view.Revision},
			Service:       c.route.Service, Team: c.team, Excluded: excluded,
		})
		if refused != nil {
			return nil, firstRefusal(finalRefusal, refused)
		}
		suspectAttempt, refused := d.checkBeforeSend(ctx, c)
		if refused != nil {
			grant.Cancel()
			return nil, firstRefusal(finalRefusal, refused)
		}
		result, attemptErr := d.sendAttempt(ctx, c, grant, suspectAttempt)
		if attemptErr == nil {
			return result, nil
		}
		c.running.Store(false)
		excluded = append(excluded, grant.Target.Name)
		if finalRefusal == nil || finalRefusal.NotRun {
			finalRefusal = attemptErr.refused
		}
		if !attemptErr.retryable {
			return nil, finalRefusal
		}
	}
	return nil, finalRefusal
}

// attemptError is the result of an attempt that got no response for the caller.
type attemptError struct {
	refused *refusal.Refusal
	// retryable is true if another target may be tried.
	retryable bool
}

// sendAttempt sends the request to the granted target. suspectAttempt marks the second attempt of a crash suspect, whose
// outcome decides whether the request is blocked.
func (d *Dispatcher) sendAttempt(ctx context.Context, c *call, grant *steering.Grant, suspectAttempt bool) (*Result, *attemptError) {
	started := time.Now()
	sendCtx, cancel := context.WithCancelCause(ctx)
	timer := d.headerTimer(c, cancel)
	c.running.Store(true)
	response, err := d.sender.Send(sendCtx, c.newAttempt(grant.Target, d.instances())) //nolint:bodyclose // the router streams and closes it
	if timer != nil && !timer.Stop() && err == nil {
		_ = response.Body.Close()
		err = &target.ErrInterrupted{Cause: errHeaderTimeout}
	}
	if err != nil {
		defer cancel(nil)
		headerTimedOut := errors.Is(context.Cause(sendCtx), errHeaderTimeout) || errors.Is(err, errHeaderTimeout)
		return nil, d.handleError(ctx, c, failedAttempt{grant: grant, started: started, headerTimedOut: headerTimedOut, suspectAttempt: suspectAttempt}, err)
	}
	if c.isShed(response) {
		_ = response.Body.Close()
		cancel(nil)
		return nil, d.handleShed(ctx, c, failedAttempt{grant: grant, started: started, suspectAttempt: suspectAttempt})
	}
	d.health.Report(grant.Target.Name, steering.OutcomeAnswered, started)
	d.latencies.add(c.route.Service, time.Since(started))
	if suspectAttempt {
		d.reportEvent(ctx, c, crash.EventCompleted)
	}
	release := func(complete bool) {
		cancel(nil)
		if complete {
			grant.Release()
			return
		}
		grant.ReleaseAfter(cancelGrace)
	}
	return &Result{Response: response, Target: grant.Target.Name, Deadline: c.deadline, release: release}, nil
}

// headerTimer starts a timer that cancels the attempt when its response headers do not arrive within the header timeout
// of the service. It returns nil if the request cannot be repeated, the mean latency of the service is unknown, or less
// than twice the header timeout remains, so that another attempt would not have as much time.
func (d *Dispatcher) headerTimer(c *call, cancel context.CancelCauseFunc) *time.Timer {
	if !c.idempotent || !c.body.replayable() {
		return nil
	}
	timeout, known := d.latencies.headerTimeout(c.route.Service)
	if !known || 2*timeout > time.Until(c.deadline) {
		return nil
	}
	return time.AfterFunc(timeout, func() { cancel(errHeaderTimeout) })
}

// failedAttempt describes an attempt that got no response for the caller.
type failedAttempt struct {
	grant   *steering.Grant
	started time.Time
	// headerTimedOut is true if the attempt was cancelled because its response headers were late.
	headerTimedOut bool
	// suspectAttempt is true for the second attempt of a crash suspect.
	suspectAttempt bool
}

// handleShed handles a response by which the target shed the request without running it.
func (d *Dispatcher) handleShed(ctx context.Context, c *call, failed failedAttempt) *attemptError {
	d.health.Report(failed.grant.Target.Name, steering.OutcomeShed, failed.started)
	d.handleNotRun(ctx, c, failed)
	refused := refusal.New(http.StatusServiceUnavailable, refusal.Overloaded,
		"the target sheds load").WithRetryAfter(retryAfterFailure)
	return &attemptError{refused: refused, retryable: c.body.replayable()}
}

// handleNotRun releases what the attempt holds, since the target has certainly not run it.
func (d *Dispatcher) handleNotRun(ctx context.Context, c *call, failed failedAttempt) {
	failed.grant.Cancel()
	if failed.suspectAttempt {
		d.reportEvent(ctx, c, crash.EventNotRun)
	}
}

// handleError handles an attempt that ended without a response.
func (d *Dispatcher) handleError(ctx context.Context, c *call, failed failedAttempt, err error) *attemptError {
	name := failed.grant.Target.Name
	d.logger.Info("attempt at a target failed", zap.String(logging.FieldService, c.route.Service),
		zap.String(logging.FieldTarget, name), zap.Error(err))
	if target.IsNotSent(err) {
		d.handleNotRun(ctx, c, failed)
		return d.handleNotSent(ctx, failed)
	}
	mayRetry := c.idempotent && c.body.replayable()
	switch {
	case c.body.readError() != nil:
		failed.grant.ReleaseAfter(cancelGrace)
		return &attemptError{refused: c.bodyRefusal(c.body.readError(), false)}
	case ctx.Err() != nil:
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			d.health.Report(name, steering.OutcomeTimedOut, failed.started)
		}
		failed.grant.ReleaseAfter(cancelGrace)
		return &attemptError{refused: deadlineRefusal()}
	case failed.headerTimedOut:
		d.health.Report(name, steering.OutcomeTimedOut, failed.started)
		failed.grant.ReleaseAfter(time.Until(c.deadline) + cancelGrace)
		return &attemptError{refused: deadlineRefusal(), retryable: mayRetry}
	default:
		d.health.Report(name, steering.OutcomeFailed, failed.started)
		failed.grant.ReleaseAfter(cancelGrace)
		d.reportCrash(ctx, c, failed)
		return &attemptError{retryable: mayRetry, refused: refusal.NewMayHaveRun(http.StatusBadGateway, refusal.OutcomeUnknown,
			"the target did not answer; it may have run the request")}
	}
}

// reportCrash reports to all instances that a target's connection closed while it had the request.
func (d *Dispatcher) reportCrash(ctx context.Context, c *call, failed failedAttempt) {
	if failed.suspectAttempt {
		d.reportEvent(ctx, c, crash.EventCrashedAgain)
		return
	}
	d.reportEvent(ctx, c, crash.EventCrashed)
}

// handleNotSent handles an attempt of which no byte reached the target.
func (d *Dispatcher) handleNotSent(ctx context.Context, failed failedAttempt) *attemptError {
	if ctx.Err() != nil {
		return &attemptError{refused: refusal.New(http.StatusGatewayTimeout, refusal.DeadlineTooShort,
			"the time was over before a target could be reached")}
	}
	outcome := steering.OutcomeFailed
	if failed.headerTimedOut {
		outcome = steering.OutcomeTimedOut
	}
	d.health.Report(failed.grant.Target.Name, outcome, failed.started)
	return &attemptError{retryable: true, refused: refusal.New(http.StatusBadGateway, refusal.TargetFailed,
		"no target could be reached").WithRetryAfter(retryAfterFailure)}
}

// checkBeforeSend repeats, immediately before sending, the checks whose result may have changed while the request was
// queued: whether its key is still valid, and whether the request is suspected of crashing targets. It returns true if
// the attempt is the second one of a crash suspect.
func (d *Dispatcher) checkBeforeSend(ctx context.Context, c *call) (bool, *refusal.Refusal) {
	if !d.keyValid(c) {
		return false, unknownKeyRefusal()
	}
	if !d.guard.HasSuspects() || !d.guard.IsSuspect(c.fingerprint()) {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	granted, suspectAttempt, err := d.guard.RequestAttempt(ctx, c.fingerprint())
	if err != nil {
		return false, refusal.New(http.StatusServiceUnavailable, refusal.CrashSuspected,
			"a target died while it had this request, and the instance that may permit another attempt cannot be reached").
			WithRetryAfter(retryAfterFailure)
	}
	if !granted {
		return false, refusal.New(http.StatusConflict, refusal.CrashSuspected, "targets died while they had this request")
	}
	return suspectAttempt, nil
}

// reportEvent reports an event to all instances. It returns before the caller gets its response and can repeat the
// request.
func (d *Dispatcher) reportEvent(ctx context.Context, c *call, e crash.Event) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerCallTimeout)
	defer cancel()
	d.guard.Report(ctx, c.fingerprint(), e)
}

func (c *call) isShed(r *http.Response) bool {
	s := c.service.Shedding
	return s != nil && r.StatusCode == s.Status && r.Header.Get(s.Header) != ""
}

func deadlineRefusal() *refusal.Refusal {
	return refusal.NewMayHaveRun(http.StatusGatewayTimeout, refusal.OutcomeUnknown, "the time was over before the target answered")
}

func firstRefusal(first, second *refusal.Refusal) *refusal.Refusal {
	if first != nil {
		return first
	}
	return second
}
