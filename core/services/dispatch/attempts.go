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
	// maxAttempts bounds the attempts of one request, the first included.
	maxAttempts = 3
	// cancelTime is how long a target may take to learn that an attempt was cancelled, and to end it.
	cancelTime = 100 * time.Millisecond
	// tellTimeout bounds the calls to other instances about one request.
	tellTimeout = 300 * time.Millisecond
	// retryAfterFailure is what a caller is told to wait after a failed attempt.
	retryAfterFailure = time.Second
)

// errHeaderTimeout ends an attempt whose answer is late while another target may still answer in time.
var errHeaderTimeout = errors.New("the answer is late for this service")

// attempts tries targets until one answers or no further attempt is permitted. Once an attempt may have run, the refusal
// says so, whatever became of later ones.
func (d *Dispatcher) attempts(ctx context.Context, c *call) (*Result, *refusal.Refusal) {
	var excluded []string
	var last *refusal.Refusal
	d.budgets.earn(c.route.Service)
	for n := range maxAttempts {
		if n > 0 && !d.budgets.spend(c.route.Service) {
			return nil, last
		}
		grant, refused := d.steering.Admit(ctx, steering.Demand{
			Configuration: steering.Configuration{Snapshot: c.view.Snapshot, Revision: c.view.Revision},
			Service:       c.route.Service, Team: c.team, Excluded: excluded,
		})
		if refused != nil {
			return nil, orElse(last, refused)
		}
		decisive, refused := d.check(ctx, c)
		if refused != nil {
			grant.NotRun()
			return nil, orElse(last, refused)
		}
		result, failed := d.attempt(ctx, c, grant, decisive)
		if failed == nil {
			return result, nil
		}
		c.running.Store(false)
		excluded = append(excluded, grant.Target.Name)
		if last == nil || last.NotRun {
			last = failed.refused
		}
		if !failed.retry {
			return nil, last
		}
	}
	return nil, last
}

// failure is an attempt that gave no answer.
type failure struct {
	refused *refusal.Refusal
	// retry is true if another target may be tried.
	retry bool
}

// attempt sends the request to the granted target. A decisive attempt decides whether the request is blocked.
func (d *Dispatcher) attempt(ctx context.Context, c *call, grant *steering.Grant, decisive bool) (*Result, *failure) {
	began := time.Now()
	sendCtx, cancel := context.WithCancelCause(ctx)
	timer := d.headerTimer(c, cancel)
	c.running.Store(true)
	response, err := d.sender.Send(sendCtx, c.attempt(grant.Target, d.instances())) //nolint:bodyclose // the router streams and closes it
	if timer != nil && !timer.Stop() && err == nil {
		_ = response.Body.Close()
		err = &target.ErrBroken{Cause: errHeaderTimeout}
	}
	if err != nil {
		defer cancel(nil)
		late := errors.Is(context.Cause(sendCtx), errHeaderTimeout) || errors.Is(err, errHeaderTimeout)
		return nil, d.failed(ctx, c, try{grant: grant, began: began, late: late, decisive: decisive}, err)
	}
	if c.isShed(response) {
		_ = response.Body.Close()
		cancel(nil)
		return nil, d.shed(ctx, c, try{grant: grant, began: began, decisive: decisive})
	}
	d.health.Report(grant.Target.Name, steering.OutcomeAnswered, began)
	d.latencies.add(c.route.Service, time.Since(began))
	if decisive {
		d.report(ctx, c, crash.EventSurvived)
	}
	release := func(complete bool) {
		cancel(nil)
		if complete {
			grant.Ran()
			return
		}
		grant.Abandoned(cancelTime)
	}
	return &Result{Response: response, Target: grant.Target.Name, Deadline: c.deadline, release: release}, nil
}

// headerTimer ends an attempt that may be repeated when its answer is late for the service, if another attempt then has
// as much time again. Services whose answers usually take long are left alone.
func (d *Dispatcher) headerTimer(c *call, cancel context.CancelCauseFunc) *time.Timer {
	if !c.idempotent || !c.body.replayable() {
		return nil
	}
	late, known := d.latencies.late(c.route.Service)
	if !known || 2*late > time.Until(c.deadline) {
		return nil
	}
	return time.AfterFunc(late, func() { cancel(errHeaderTimeout) })
}

// try is an attempt that gave no answer.
type try struct {
	grant *steering.Grant
	began time.Time
	// late is true if it was ended because its answer was late.
	late bool
	// decisive is true for the one attempt of a suspected request.
	decisive bool
}

// shed handles a target's answer that it has not run the request.
func (d *Dispatcher) shed(ctx context.Context, c *call, t try) *failure {
	d.health.Report(t.grant.Target.Name, steering.OutcomeShed, t.began)
	d.unused(ctx, c, t)
	refused := refusal.New(http.StatusServiceUnavailable, refusal.Overloaded,
		"the target sheds load").WithRetryAfter(retryAfterFailure)
	return &failure{refused: refused, retry: c.body.replayable()}
}

// unused gives back what an attempt held that was certainly not run.
func (d *Dispatcher) unused(ctx context.Context, c *call, t try) {
	t.grant.NotRun()
	if t.decisive {
		d.report(ctx, c, crash.EventUnused)
	}
}

// failed handles an attempt without an answer.
func (d *Dispatcher) failed(ctx context.Context, c *call, t try, err error) *failure {
	name := t.grant.Target.Name
	d.logger.Info("attempt failed", zap.String(logging.FieldService, c.route.Service),
		zap.String(logging.FieldTarget, name), zap.Error(err))
	if target.IsNotSent(err) {
		d.unused(ctx, c, t)
		return d.notSent(ctx, t)
	}
	mayRetry := c.idempotent && c.body.replayable()
	switch {
	case c.body.failure() != nil:
		t.grant.Abandoned(cancelTime)
		return &failure{refused: c.brokenBody(c.body.failure(), false)}
	case ctx.Err() != nil:
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			d.health.Report(name, steering.OutcomeSlow, t.began)
		}
		t.grant.Abandoned(cancelTime)
		return &failure{refused: outOfTime()}
	case t.late:
		d.health.Report(name, steering.OutcomeSlow, t.began)
		t.grant.Abandoned(time.Until(c.deadline) + cancelTime)
		return &failure{refused: outOfTime(), retry: mayRetry}
	default:
		d.health.Report(name, steering.OutcomeFailed, t.began)
		t.grant.Abandoned(cancelTime)
		d.died(ctx, c, t)
		return &failure{retry: mayRetry, refused: refusal.NewRan(http.StatusBadGateway, refusal.OutcomeUnknown,
			"the target did not answer; it may have run the request")}
	}
}

// died tells the instances that a target's connection died while it had the request.
func (d *Dispatcher) died(ctx context.Context, c *call, t try) {
	if t.decisive {
		d.report(ctx, c, crash.EventDiedAgain)
		return
	}
	d.report(ctx, c, crash.EventDied)
}

// notSent handles an attempt of which no byte reached a target.
func (d *Dispatcher) notSent(ctx context.Context, t try) *failure {
	if ctx.Err() != nil {
		return &failure{refused: refusal.New(http.StatusGatewayTimeout, refusal.DeadlineTooShort,
			"the time was over before a target could be reached")}
	}
	outcome := steering.OutcomeFailed
	if t.late {
		outcome = steering.OutcomeSlow
	}
	d.health.Report(t.grant.Target.Name, outcome, t.began)
	return &failure{retry: true, refused: refusal.New(http.StatusBadGateway, refusal.TargetFailed,
		"no target could be reached").WithRetryAfter(retryAfterFailure)}
}

// check looks again, right before sending, at what may have changed while the request waited: its key, and whether it
// is suspected of making targets die. It reports true for the one attempt that a suspect is allowed.
func (d *Dispatcher) check(ctx context.Context, c *call) (bool, *refusal.Refusal) {
	if !d.stillGranted(c) {
		return false, unknownKey()
	}
	if !d.guard.Any() || !d.guard.Suspected(c.fingerprint()) {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	granted, decisive, err := d.guard.Request(ctx, c.fingerprint())
	if err != nil {
		return false, refusal.New(http.StatusServiceUnavailable, refusal.CrashSuspected,
			"a target died while it had this request, and the instance that may permit another attempt cannot be reached").
			WithRetryAfter(retryAfterFailure)
	}
	if !granted {
		return false, refusal.New(http.StatusConflict, refusal.CrashSuspected, "targets died while they had this request")
	}
	return decisive, nil
}

// report tells all instances of an event before the caller gets its answer and can send the request again.
func (d *Dispatcher) report(ctx context.Context, c *call, e crash.Event) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellTimeout)
	defer cancel()
	d.guard.Report(ctx, c.fingerprint(), e)
}

func (c *call) isShed(r *http.Response) bool {
	s := c.service.Shedding
	return s != nil && r.StatusCode == s.Status && r.Header.Get(s.Header) != ""
}

func outOfTime() *refusal.Refusal {
	return refusal.NewRan(http.StatusGatewayTimeout, refusal.OutcomeUnknown, "the time was over before the target answered")
}

func orElse(first, second *refusal.Refusal) *refusal.Refusal {
	if first != nil {
		return first
	}
	return second
}
