package forward

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/services/hedge"
	"medlarpond.dev/core/services/placement"
	"medlarpond.dev/core/services/target"
)

// attempt is the sending of a request to one target.
type attempt struct {
	choice placement.Choice
	// pair is shared with the other attempt of a request that may be hedged; nil for other requests.
	pair *hedgedPair
	role hedgeRole
}

// attemptResult is the result of an attempt. The error is that of the exchange.
type attemptResult struct {
	choice   placement.Choice
	response *target.Response
	outcome  requestOutcome
	err      error
}

// discard releases a response that is not passed on.
func (r attemptResult) discard() {
	if r.response != nil && r.response.Rest != nil {
		_ = r.response.Rest.Close()
	}
}

// hedgeRole is the role of an attempt in a hedgedPair. Its value is that of the log field.
type hedgeRole string

const (
	roleFirst hedgeRole = "first"
	roleHedge hedgeRole = "hedge"
)

// hedgedPair is the first attempt of a request and its hedge. The attempt that is answered first wins; the other one is cancelled.
type hedgedPair struct {
	f *Forwarder
	// call is a copy of the request's state, as the first attempt changes its own.
	call  call
	first placement.Choice
	delay time.Duration
	// ctx is that of the request. cancelFirst and cancelHedge end the attempts.
	ctx                      context.Context //nolint:containedctx // the pair does not outlive the request's handling except to end the loser
	cancelFirst, cancelHedge context.CancelFunc
	// done is closed when the hedge has ended, or was withheld. result is set then.
	done   chan struct{}
	result attemptResult

	mu sync.Mutex
	// firstEnded is true once the outcome of the first attempt is known, sent once the hedge is being sent.
	firstEnded, sent bool
	// winner is the role of the attempt whose response is used; empty if there is none yet.
	winner hedgeRole
}

// sendHedged sends the request to the selected target, and to a second one if that takes long and a hedge is permitted. second is nil
// if no hedge was sent.
func (f *Forwarder) sendHedged(ctx context.Context, c *call, choice placement.Choice) (first attemptResult, second *attemptResult) {
	if c.tries == 0 && c.route.Idempotent {
		f.Hedger.CountRequest(c.route.Name, choice.BusyShare)
	}
	pair := f.newPair(ctx, c, choice)
	if pair == nil {
		return f.tryTarget(ctx, c, attempt{choice: choice}), nil
	}
	firstCtx, cancel := context.WithCancel(ctx)
	pair.cancelFirst = cancel
	timer := time.AfterFunc(pair.delay, pair.sendHedge)
	first = f.tryTarget(firstCtx, c, attempt{choice: choice, pair: pair, role: roleFirst})
	timer.Stop()
	cancelWhenRead(first.response, cancel)
	if !pair.isSent() || first.outcome == outcomeAnswered {
		return first, nil
	}
	c.hedged = true
	<-pair.done
	return first, &pair.result
}

// addFailedHedge counts a hedge that was not answered. If the first attempt has failed as well, its response is the one to pass on.
func (c *call) addFailedHedge(r attemptResult) {
	c.tries++
	earlier := c.failedResponse
	c.addFailed(r, false)
	if earlier != nil || r.outcome != outcomeFailed {
		r.discard()
		c.failedResponse = earlier
	}
}

// newPair returns the pair for an attempt, or nil if no hedge of the request can become due.
func (f *Forwarder) newPair(ctx context.Context, c *call, choice placement.Choice) *hedgedPair {
	if c.hedged || c.isTrial || !c.route.Idempotent || c.Rest != nil || c.possibleRuns > 0 || c.route.MaxAttempts < 2 {
		return nil
	}
	delay, ok := f.Hedger.Delay(c.route.Name)
	if !ok {
		f.countWithheld(hedge.Unlearned)
		return nil
	}
	if time.Until(c.deadline) < delay+minAttemptTime {
		return nil
	}
	return &hedgedPair{f: f, call: *c, first: choice, delay: delay, ctx: ctx, done: make(chan struct{})}
}

// sendHedge sends the hedge unless there is a reason not to. It runs when the delay has passed.
func (p *hedgedPair) sendHedge() {
	defer close(p.done)
	defer func() {
		if cause := recover(); cause != nil {
			p.f.Logger.Error("hedge failed unexpectedly; waiting for the first attempt", zap.String("request", p.call.ID),
				zap.Any("cause", cause), zap.Stack("stack"))
			p.result.outcome = outcomeUnknown
		}
	}()
	if p.isFirstEnded() {
		return
	}
	f := p.f
	choice, reason := f.chooseHedge(&p.call, p.first)
	if reason != hedge.Permitted {
		f.countWithheld(reason)
		return
	}
	p.result.choice = choice
	ctx, cancel := context.WithCancel(p.ctx)
	if !p.begin(cancel) {
		cancel()
		f.Loads.End(placement.Attempt{Target: choice.Target, Outcome: placement.OutcomeCancelled})
		f.Hedger.Refund(p.call.route.Name)
		return
	}
	f.Meter.Count("medlarpond_hedges_total", "result", "sent")
	p.result = f.tryTarget(ctx, &p.call, attempt{choice: choice, pair: p, role: roleHedge})
	cancelWhenRead(p.result.response, cancel)
}

// chooseHedge selects the target of a hedge, takes the hedge from the allowance and the retry budget, and counts it as started. Or it
// returns the reason to withhold the hedge.
func (f *Forwarder) chooseHedge(c *call, first placement.Choice) (placement.Choice, hedge.Reason) {
	situation := hedge.Situation{
		Idempotent: c.route.Idempotent, BodyHeld: c.Rest == nil, PossibleRuns: c.possibleRuns, MaxAttempts: c.route.MaxAttempts,
		TriesLeft: f.Policy.MaxTries - c.tries - 1, CrashSuspected: f.Crashes.HasSuspects() && f.Crashes.HasDeaths(c.fingerprint()),
		Confirmed: f.State.SinceConfirmed() <= f.Policy.ConfirmTimeout, Stopping: f.shutdown.Load() != nil,
		TimeLeft: time.Until(c.deadline), MinTime: minAttemptTime,
	}
	if reason := situation.Withhold(); reason != hedge.Permitted {
		return placement.Choice{}, reason
	}
	if !f.Hedger.HasAllowance(c.route.Name) {
		return placement.Choice{}, hedge.Allowance
	}
	query := f.newQuery(c)
	query.HedgeOf, query.Excluded = &first.Target, append(slices.Clone(query.Excluded), first.Target.ID)
	choice, _, ok := f.Placement.Choose(query)
	if !ok {
		return placement.Choice{}, hedge.NoTarget
	}
	reason := hedge.Deadline
	if choice.ExpectedTime <= query.TimeLeft {
		reason = f.Hedger.Take(c.route.Name, choice.BusyShare)
	}
	if reason == hedge.Permitted && !f.RetryBudget.Withdraw(c.service) {
		f.Hedger.Refund(c.route.Name)
		reason = hedge.RetryBudget
	}
	if reason != hedge.Permitted {
		f.Loads.End(placement.Attempt{Target: choice.Target, Outcome: placement.OutcomeCancelled})
		return placement.Choice{}, reason
	}
	return choice, hedge.Permitted
}

func (f *Forwarder) countWithheld(reason hedge.Reason) {
	f.Meter.Count("medlarpond_hedges_withheld_total", "reason", string(reason))
}

// begin records that the hedge is being sent; it returns false if the first attempt has ended.
func (p *hedgedPair) begin(cancel context.CancelFunc) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.firstEnded {
		return false
	}
	p.sent, p.cancelHedge = true, cancel
	return true
}

func (p *hedgedPair) isFirstEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.firstEnded
}

func (p *hedgedPair) isSent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent
}

// end records the outcome of an attempt. It reports whether the attempt has lost to the other one, whose response is used. An attempt
// that is answered first wins, and the other one is cancelled.
func (p *hedgedPair) end(role hedgeRole, outcome requestOutcome) (lost bool) {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if role == roleFirst {
		p.firstEnded = true
	}
	if p.winner != "" {
		return true
	}
	if outcome != outcomeAnswered {
		return false
	}
	p.winner = role
	switch {
	case role == roleHedge:
		p.cancelFirst()
		p.f.Meter.Count("medlarpond_hedges_total", "result", "won")
	case p.sent:
		p.cancelHedge()
		p.f.Meter.Count("medlarpond_hedges_total", "result", "cancelled")
	}
	return false
}

// recordResponseTime records how long an attempt took, or ran until it lost to its hedge or timed out.
func (f *Forwarder) recordResponseTime(c *call, a attempt, outcome placement.Outcome, lost bool, took time.Duration) {
	if f.Hedger == nil || a.role == roleHedge || !c.route.Idempotent || c.Rest != nil {
		return
	}
	if lost || outcome == placement.OutcomeAnswered || outcome == placement.OutcomeTimedOut {
		f.Hedger.Record(c.route.Name, took)
	}
}

// logFields returns the log fields about the hedge of the attempt's request, if it has one.
func (a attempt) logFields(lost bool) []zap.Field {
	if a.pair == nil || !a.pair.isSent() {
		return nil
	}
	return []zap.Field{zap.String("hedge", string(a.role)), zap.Bool("hedge-lost", lost)}
}

// cancelWhenRead releases the context of an attempt, or if the response is streamed, when that is closed.
func cancelWhenRead(r *target.Response, cancel context.CancelFunc) {
	if r == nil || r.Rest == nil {
		cancel()
		return
	}
	r.Rest = &cancellingBody{ReadCloser: r.Rest, cancel: cancel}
}

// cancellingBody cancels a context when it is closed.
type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancellingBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
