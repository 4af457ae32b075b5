package forward

import (
	"context"
	"hash/maphash"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/logging"
	"medlarpond.dev/core/modules/refusal"
	"medlarpond.dev/core/services/crash"
	"medlarpond.dev/core/services/placement"
	"medlarpond.dev/core/services/target"
)

// maxFingerprintBody is the length of the part of a body that belongs to the fingerprint. At least that much of a body is
// buffered whenever it is longer.
const maxFingerprintBody = 64 << 10

// maxDeathCheck is how long a second attempt waits for the check whether the first target has died. A target that lives, or whose
// process has ended, responds to it within a round trip.
const maxDeathCheck = 100 * time.Millisecond

const (
	// replacementTime is how long after a lost connection the description of the target's next incarnation may arrive. Targets
	// describe themselves when they start.
	replacementTime = 3 * time.Second
	// replacementPoll is the time between looks at the descriptions.
	replacementPoll = 250 * time.Millisecond
	// maxReplacementChecks bounds the lost connections that wait for that.
	maxReplacementChecks = 64
)

// fingerprint identifies repetitions of the same request, which have different request IDs.
func (c *call) fingerprint() crash.Fingerprint {
	if !c.hasFingerprint {
		c.cachedFingerprint = crash.NewFingerprint(
			[]byte(c.Method), []byte(c.Host), []byte(c.URI), []byte(c.team.Name), c.Body[:min(len(c.Body), maxFingerprintBody)],
			strconv.AppendInt(nil, c.Length, 10),
		)
		c.hasFingerprint = true
	}
	return c.cachedFingerprint
}

// historyKey identifies repetitions of the same request at this instance, at less cost than the fingerprint.
func (f *Forwarder) historyKey(c *call) uint64 {
	var h maphash.Hash
	h.SetSeed(f.hashSeed)
	for _, part := range []string{c.Method, c.Host, c.URI, c.team.Name} {
		_, _ = h.WriteString(part)
		_ = h.WriteByte(0)
	}
	_, _ = h.Write(c.Body[:min(len(c.Body), maxFingerprintBody)])
	return h.Sum64()
}

// isCrashing reports whether targets have died under the request, here or at other instances, so that it must not be sent
// to another one.
func (f *Forwarder) isCrashing(c *call) bool {
	return f.Crashes.HasSuspects() && f.Crashes.IsBlocked(c.fingerprint())
}

// refuseCrashing returns the refusal of a request that must not be sent to another target.
func (f *Forwarder) refuseCrashing(c *call) *refusal.Refusal {
	f.Logger.Info("targets died under the request; not sending it to another one", zap.String("request", c.ID),
		zap.Stringer("fingerprint", c.fingerprint()), zap.String(logging.FieldService, c.service))
	return refusal.New(http.StatusServiceUnavailable, refusal.CrashSuspected,
		"targets died while they had this request").WithRetryAfter(retryAfterCrash)
}

// permitAttempt reports whether the request may be sent to a target: it does not crash them, as far as is known, or all instances
// together grant it a trial.
func (f *Forwarder) permitAttempt(ctx context.Context, c *call) bool {
	if !f.isCrashing(c) {
		return true
	}
	c.isTrial = f.Crashes.RequestTrial(ctx, c.fingerprint())
	if c.isTrial {
		f.Logger.Info("targets died under the request; trying it once", zap.String("request", c.ID),
			zap.Stringer("fingerprint", c.fingerprint()), zap.String(logging.FieldService, c.service))
	}
	return c.isTrial
}

// endTrial ends the trial of a request, if the attempt was one.
func (f *Forwarder) endTrial(c *call, outcome crash.TrialOutcome) {
	if !c.isTrial {
		return
	}
	c.isTrial = false
	f.Crashes.EndTrial(c.fingerprint(), outcome)
	f.Meter.Count("medlarpond_crash_trials_total", "outcome", string(outcome))
	f.Logger.Info("trial of a request under which targets died", zap.String("request", c.ID),
		zap.Stringer("fingerprint", c.fingerprint()), zap.String("outcome", string(outcome)))
}

// recordRun records what an attempt shows about the request: a response, that it does not crash targets, and a lost
// connection, that it may have.
func (f *Forwarder) recordRun(c *call, choice placement.Choice, outcome requestOutcome, err error, sentAt time.Time) {
	if target.IsConnectionLost(err) {
		loss := lostConnection{id: c.ID, fingerprint: c.fingerprint(), historyKey: f.historyKey(c), target: choice.Target, sentAt: sentAt}
		checked := make(chan struct{})
		go f.recordLoss(loss, checked)
		if c.route.Idempotent {
			waitAtMost(checked, maxDeathCheck)
		}
	}
	switch {
	case outcome == outcomeAnswered || outcome == outcomeFailed:
		f.history.RecordCompleted(f.historyKey(c))
		if !c.isTrial && f.isCrashing(c) {
			f.logCompleted(c, choice.Target, outcome, sentAt)
		}
		f.endTrial(c, crash.TrialPassed)
	case target.IsNotSent(err):
		f.endTrial(c, crash.TrialUnused)
	default:
		f.endTrial(c, crash.TrialFailed)
	}
}

// logCompleted writes that a target has completed a blocked request, in an attempt that was sent before the request was blocked or
// known to be.
func (f *Forwarder) logCompleted(c *call, t roster.Target, outcome requestOutcome, sentAt time.Time) {
	f.Meter.Count("medlarpond_crash_suspects_completed_total", "service", c.service)
	f.Logger.Info("target completed a request under which others died", zap.String("request", c.ID),
		zap.Stringer("fingerprint", c.fingerprint()), zap.String(logging.FieldService, c.service),
		zap.String(logging.FieldTarget, t.ID), zap.String("outcome", outcome.String()), zap.Duration("sent-ago", time.Since(sentAt)))
}

// lostConnection describes an attempt whose connection was lost before the response.
type lostConnection struct {
	// id is the ID of the request.
	id          string
	fingerprint crash.Fingerprint
	historyKey  uint64
	target      roster.Target
	sentAt      time.Time
}

// recordLoss records the death of the target if it refuses a new connection, and closes checked then; or if another incarnation has
// its address soon.
func (f *Forwarder) recordLoss(loss lostConnection, checked chan<- struct{}) {
	died := f.Pool.RefusesConnections(context.Background(), loss.target.Address)
	if died {
		f.recordDeath(loss)
	}
	close(checked)
	switch {
	case died:
	case f.isReplaced(loss.target):
		f.recordDeath(loss)
	default:
		f.Logger.Info("target lost the connection of a request but lives; not counted as a death",
			zap.String("request", loss.id), zap.Stringer("fingerprint", loss.fingerprint),
			zap.String(logging.FieldService, loss.target.Service), zap.String(logging.FieldTarget, loss.target.ID))
	}
}

// isReplaced waits for up to replacementTime and reports whether another incarnation has the target's address then. It does not wait
// while maxReplacementChecks others do.
func (f *Forwarder) isReplaced(t roster.Target) bool {
	defer f.replacementChecks.Add(-1)
	if f.replacementChecks.Add(1) > maxReplacementChecks {
		return false
	}
	for end := time.Now().Add(replacementTime); time.Now().Before(end); time.Sleep(replacementPoll) {
		if hasNewerIncarnation(f.State.View().Targets, t) {
			return true
		}
	}
	return false
}

// hasNewerIncarnation reports whether the address of a target belongs to a later incarnation, of any service.
func hasNewerIncarnation(targets map[string][]roster.Target, t roster.Target) bool {
	for _, list := range targets {
		for _, other := range list {
			if other.Address == t.Address && other.Started > t.Started {
				return true
			}
		}
	}
	return false
}

func (f *Forwarder) recordDeath(loss lostConnection) {
	t := loss.target
	f.Meter.Count("medlarpond_target_crashes_total", "service", t.Service)
	if !f.history.RecordDeath(loss.historyKey, t.ID, t.Started) {
		f.Logger.Info("target died while it had the request, which others complete all the time; not blaming the request",
			zap.String("request", loss.id), zap.Stringer("fingerprint", loss.fingerprint),
			zap.String(logging.FieldService, t.Service), zap.String(logging.FieldTarget, t.ID))
		return
	}
	deaths := f.Crashes.RecordDeath(loss.fingerprint, t.ID, t.Started, loss.sentAt)
	f.Logger.Info("target died while it had the request", zap.String("request", loss.id), zap.Stringer("fingerprint", loss.fingerprint),
		zap.Int("deaths", deaths), zap.String(logging.FieldService, t.Service), zap.String(logging.FieldTarget, t.ID),
		zap.Int64("target-started", t.Started))
}

func waitAtMost(done <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}
