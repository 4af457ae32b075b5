package crash

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

const (
	// trialDelay is the time after a death, or after a trial that was not passed, until the next trial.
	trialDelay = 10 * time.Second
	// maxFailedTrials is the number of trials that all instances together start without one that is passed. In touch with the
	// store, a request may reach targets three times after it has crashed three; the third one is left for an instance that
	// learns of the deaths late.
	maxFailedTrials = 2
	// extraTrialInterval is the time after the last death that permits another trial.
	extraTrialInterval = RecordTTL / 2
	// requiredPasses is the number of trials that must be passed after the last death for a request to be no longer blocked.
	// Requests with the same fingerprint may pass some of them although another one crashes targets.
	requiredPasses = 10
	// passesPerTrial is the number of passed trials that permit another one at the same time.
	passesPerTrial = 3
	// trialTimeout is how long a request waits for the store to grant its trial.
	trialTimeout = 500 * time.Millisecond
)

// Trial is a single attempt of a blocked request. All instances together run one at a time, and more while trials are passed.
type Trial struct {
	ID string
	// Passed is true if a target has completed the attempt.
	Passed bool
}

// TrialOutcome is the outcome of a trial.
type TrialOutcome string

const (
	// TrialPassed means that a target has completed the attempt.
	TrialPassed TrialOutcome = "passed"
	// TrialUnused means that the attempt was not sent.
	TrialUnused TrialOutcome = "unused"
	// TrialFailed means that the attempt may have reached a target, which has not completed it.
	TrialFailed TrialOutcome = "failed"
)

// trialState is the state of a trial at the instance that requests it.
type trialState int

const (
	// trialRequested means that the store may not have the trial yet.
	trialRequested trialState = iota
	// trialGranted means that the attempt may be sent or its outcome is not known. That of a trial that was not passed never is.
	trialGranted
	// trialPassed means that a target has completed the attempt.
	trialPassed
	// trialUnused means that the attempt was not sent.
	trialUnused
)

// ownTrial is a trial that this instance has requested.
type ownTrial struct {
	id    string
	state trialState
	// requestedAt is earlier than the attempt.
	requestedAt time.Time
	// isWritten is true once an update that requests the trial was handed out: the store may have it, or get it late.
	isWritten bool
	// granted has capacity 1 and receives whether the trial is granted.
	granted chan bool
}

// resolve ends the wait for a trial; later results are ignored.
func (o *ownTrial) resolve(granted bool) {
	select {
	case o.granted <- granted:
	default:
	}
}

// RequestTrial asks for the trial of a blocked request, which the store grants. The caller must end a
// granted trial by EndTrial. It returns false at once if there can be no trial now.
func (t *Tally) RequestTrial(ctx context.Context, f Fingerprint) bool {
	o := t.addTrial(f)
	if o == nil {
		return false
	}
	timeout := time.NewTimer(trialTimeout)
	defer timeout.Stop()
	granted := false
	select {
	case granted = <-o.granted:
	case <-timeout.C:
	case <-ctx.Done():
	}
	if !granted {
		t.abandonTrial(f, o)
	}
	return granted
}

// addTrial adds a trial that the next update requests, or returns nil if there can be none now.
func (t *Tally) addTrial(f Fingerprint) *ownTrial {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.lookup(f)
	if s == nil || s.trial != nil || !s.permitsTrial() {
		return nil
	}
	s.trial = &ownTrial{
		id: strconv.FormatUint(rand.Uint64(), 16), requestedAt: time.Now(), granted: make(chan bool, 1),
	}
	t.signal()
	return s.trial
}

// abandonTrial makes sure that a trial whose attempt is not sent does not count.
func (t *Tally) abandonTrial(f Fingerprint, o *ownTrial) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.lookup(f); s != nil && s.trial == o {
		s.withdrawTrial()
		t.signal()
	}
}

// EndTrial records the outcome of a granted trial.
func (t *Tally) EndTrial(f Fingerprint, outcome TrialOutcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.lookup(f)
	switch {
	case s == nil || s.trial == nil:
	case outcome == TrialUnused, outcome == TrialPassed && s.changedAt.After(s.trial.requestedAt):
		// An attempt that was sent before the last death says nothing about it.
		s.trial.state = trialUnused
		t.signal()
	case outcome == TrialPassed:
		s.trial.state = trialPassed
		t.signal()
	default:
		s.trial = nil
	}
}

// countTrials returns the number of trials that were not passed, or not yet, and of those that were.
func (s *tallied) countTrials() (failed, passed int) {
	failed = len(s.failedBefore)
	for _, t := range s.stored.Trials {
		switch {
		case t.Passed:
			passed++
		case !slices.Contains(s.failedBefore, t.ID):
			failed++
		}
	}
	return failed, passed
}

// permitsTrial reports whether a blocked request may have a trial now.
func (s *tallied) permitsTrial() bool {
	failed, passed := s.countTrials()
	switch {
	case !s.isBlocked() || len(s.pending) > 0:
		return false
	case passed > 0 && failed < 1+passed/passesPerTrial:
		return true
	case failed >= maxFailedTrials+int(time.Since(s.changedAt)/extraTrialInterval):
		return false
	default:
		return time.Since(s.changedAt) >= trialDelay && (failed == 0 || time.Since(s.trialAt) >= trialDelay)
	}
}

// dropRequestedTrial denies a requested trial if another one has been granted or a target has died in the meantime.
func (s *tallied) dropRequestedTrial() {
	if s.trial != nil && s.trial.state == trialRequested && !s.permitsTrial() {
		s.withdrawTrial()
	}
}

// withdrawTrial denies the trial, and keeps it until the store has a record without it if the store may have it.
func (s *tallied) withdrawTrial() {
	s.trial.resolve(false)
	s.trial.state = trialUnused
	if !s.trial.isWritten {
		s.trial = nil
	}
}

// hasUnsavedTrial reports whether the state of the trial is not in the store yet.
func (s *tallied) hasUnsavedTrial() bool { return s.trial != nil && s.trial.state != trialGranted }

// settleTrial compares the trial with the record of the store.
func (s *tallied) settleTrial() {
	if s.trial == nil {
		return
	}
	stored, passed := false, false
	for _, t := range s.stored.Trials {
		if t.ID == s.trial.id {
			stored, passed = true, t.Passed
		}
	}
	switch s.trial.state {
	case trialGranted:
		// EndTrial ends it.
	case trialRequested:
		if stored {
			s.trial.state = trialGranted
			s.trial.resolve(true)
		}
	case trialPassed:
		if !stored || passed {
			s.trial = nil
		}
	case trialUnused:
		if !stored {
			s.trial = nil
		}
	}
}

func containsTrial(trials []Trial, id string) bool {
	for _, t := range trials {
		if t.ID == id {
			return true
		}
	}
	return false
}
