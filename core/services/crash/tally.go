package crash

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxDeaths is the number of targets that may die under a request before it is blocked.
	MaxDeaths = 3
	// RecordTTL is how long the deaths under a request are remembered after the last one. The store may forget them after half
	// of it.
	RecordTTL = 10 * time.Minute
	// maxDeaths is the maximum number of deaths in a record.
	maxDeaths = 100
)

// Death is the death of a target. Instances that see the same death describe it in the same way.
type Death struct {
	// Target and Started identify the incarnation, as far as the instance that saw the death knew it.
	Target  string
	Started int64
	// Repeat is the number of earlier deaths with the same Target and Started: the target has restarted since, and its new
	// description was not known yet.
	Repeat int
}

// Record is what the store holds of a request under which targets have died.
type Record struct {
	// Deaths is not empty. Once there are more than maxDeaths, the oldest are left out.
	Deaths []Death
	// Trials holds the attempts that were granted while the request was blocked. Those that were passed before the last
	// death are left out.
	Trials []Trial
	// Revision is the store's revision of the record.
	Revision uint64
}

// Update is a change of the record of a fingerprint that the store does not have yet. The revision of the record is that of
// the record that it replaces; zero if there is none.
type Update struct {
	Fingerprint Fingerprint
	Record
}

// Tally counts the targets that died under each request, by its fingerprint. It combines what this instance has seen with the
// records that all instances share through the store. A request is blocked after MaxDeaths, until enough trials were passed or
// the deaths have expired. Other completed attempts lift nothing: they may be other requests with the same fingerprint. It is
// safe for concurrent use.
type Tally struct {
	// wake has capacity 1 and is signaled when there are updates for the store.
	wake chan struct{}
	// suspectCount is the number of suspects, readable without mu.
	suspectCount atomic.Int64

	mu sync.Mutex
	// suspects has at most maxSuspects entries.
	suspects map[Fingerprint]*tallied
}

// tallied is what is known of one fingerprint.
type tallied struct {
	// stored is the record in the store, as far as this instance knows; the zero value if there is none.
	stored Record
	// pending holds deaths that this instance has seen and the store does not have yet.
	pending []Death
	// changedAt is when the last death was recorded or learned of.
	changedAt time.Time
	// failedBefore holds the IDs of the trials that had not passed before StoreAgain. They still count, as the store may have lost them.
	failedBefore []string
	// trialAt is when this instance learned of the last trial that was granted.
	trialAt time.Time
	// trial is this instance's trial whose state the store does not have yet, or that is running; nil if there is none.
	trial *ownTrial
}

func (s *tallied) deaths() []Death { return append(slices.Clone(s.stored.Deaths), s.pending...) }

// repeats returns the number of deaths of an incarnation.
func (s *tallied) repeats(target string, started int64) int {
	n := 0
	for _, d := range s.deaths() {
		if d.Target == target && d.Started == started {
			n++
		}
	}
	return n
}

func (s *tallied) isBlocked() bool {
	if len(s.stored.Deaths)+len(s.pending) < MaxDeaths {
		return false
	}
	_, passed := s.countTrials()
	return len(s.pending) > 0 || passed < requiredPasses
}

// next returns the record that the store should have.
func (s *tallied) next() Record {
	next := Record{Deaths: s.deaths(), Revision: s.stored.Revision}
	next.Deaths = next.Deaths[max(0, len(next.Deaths)-maxDeaths):]
	for _, t := range s.stored.Trials {
		if s.trial != nil && t.ID == s.trial.id {
			if s.trial.state == trialUnused {
				continue
			}
			t.Passed = t.Passed || s.trial.state == trialPassed
		}
		if !t.Passed || len(s.pending) == 0 {
			next.Trials = append(next.Trials, t)
		}
	}
	if s.trial != nil && s.trial.state == trialRequested {
		next.Trials = append(next.Trials, Trial{ID: s.trial.id})
	}
	return next
}

// NewTally returns an empty Tally.
func NewTally() *Tally {
	return &Tally{wake: make(chan struct{}, 1), suspects: map[Fingerprint]*tallied{}}
}

// HasSuspects reports whether targets have died under any request, without locking.
func (t *Tally) HasSuspects() bool { return t.suspectCount.Load() > 0 }

// IsBlocked reports whether a request must not be sent to targets, because MaxDeaths have died under it.
func (t *Tally) IsBlocked(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.lookup(f)
	return s != nil && s.isBlocked()
}

// HasDeaths reports whether any target has died under a request, as far as this instance knows.
func (t *Tally) HasDeaths(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.lookup(f)
	return s != nil && len(s.stored.Deaths)+len(s.pending) > 0
}

// RecordDeath records that an incarnation of a target has died during an attempt that was sent at sentAt. It returns the
// number of deaths under the request. Several attempts can see the same death; one that was sent after a death of the
// incarnation was recorded sees the next one.
func (t *Tally) RecordDeath(f Fingerprint, target string, started int64, sentAt time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(f)
	repeat := s.repeats(target, started)
	if repeat == 0 || sentAt.After(s.changedAt) {
		s.pending = append(s.pending, Death{Target: target, Started: started, Repeat: repeat})
		s.changedAt = time.Now()
		t.signal()
	}
	return len(s.stored.Deaths) + len(s.pending)
}

// Learn applies a record of the store unless a later one is known.
func (t *Tally) Learn(f Fingerprint, r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(f)
	if r.Revision <= s.stored.Revision {
		return
	}
	if slices.ContainsFunc(r.Deaths, func(d Death) bool { return !slices.Contains(s.deaths(), d) }) {
		s.changedAt = time.Now()
	}
	if slices.ContainsFunc(r.Trials, func(next Trial) bool { return !containsTrial(s.stored.Trials, next.ID) }) {
		s.trialAt = time.Now()
	}
	s.stored = r
	s.pending = slices.DeleteFunc(s.pending, func(d Death) bool { return slices.Contains(r.Deaths, d) })
	s.settleTrial()
}

// LearnRemoval applies that the store has no record at a revision.
func (t *Tally) LearnRemoval(f Fingerprint, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.lookup(f)
	if s == nil || revision < s.stored.Revision {
		return
	}
	s.stored = Record{}
	s.settleTrial()
	if len(s.pending) == 0 {
		t.remove(f)
	}
}

// StoreAgain makes the deaths that are known from the store updates again, as the store may have lost them. Trials that it has granted
// have ended: passed ones lift nothing, the others still count as failed.
func (t *Tally) StoreAgain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.suspects {
		for _, trial := range s.stored.Trials {
			if !trial.Passed && !slices.Contains(s.failedBefore, trial.ID) {
				s.failedBefore = append(s.failedBefore, trial.ID)
			}
		}
		s.pending, s.stored = s.deaths(), Record{}
		s.settleTrial()
	}
	t.signal()
}

// Wake returns a channel that is signaled when there are updates for the store.
func (t *Tally) Wake() <-chan struct{} { return t.wake }

// Updates returns at most limit updates that the store does not have yet.
func (t *Tally) Updates(limit int) []Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	var updates []Update
	for f, s := range t.suspects {
		if len(updates) == limit {
			break
		}
		s.dropRequestedTrial()
		if len(s.pending) > 0 || s.hasUnsavedTrial() {
			updates = append(updates, Update{Fingerprint: f, Record: s.next()})
			if s.trial != nil {
				s.trial.isWritten = true
			}
		}
	}
	return updates
}

// lookup returns a suspect, or nil if it is unknown or has expired. The caller must hold mu.
func (t *Tally) lookup(f Fingerprint) *tallied {
	s, ok := t.suspects[f]
	if !ok {
		return nil
	}
	if time.Since(s.changedAt) > RecordTTL {
		t.remove(f)
		return nil
	}
	return s
}

// getOrCreate returns a suspect, which is added if it is unknown. The caller must hold mu.
func (t *Tally) getOrCreate(f Fingerprint) *tallied {
	if s := t.lookup(f); s != nil {
		return s
	}
	if len(t.suspects) >= maxSuspects {
		t.evict()
	}
	s := &tallied{changedAt: time.Now()}
	t.suspects[f] = s
	t.suspectCount.Store(int64(len(t.suspects)))
	return s
}

// evict removes the suspect whose last death is the oldest, among those with the fewest deaths. The caller must hold mu.
func (t *Tally) evict() {
	var oldest Fingerprint
	var found *tallied
	for f, s := range t.suspects {
		if found == nil || s.isBlocked() != found.isBlocked() && !s.isBlocked() ||
			s.isBlocked() == found.isBlocked() && s.changedAt.Before(found.changedAt) {
			oldest, found = f, s
		}
	}
	t.remove(oldest)
}

func (t *Tally) remove(f Fingerprint) {
	if s := t.suspects[f]; s != nil && s.trial != nil {
		s.trial.resolve(false)
	}
	delete(t.suspects, f)
	t.suspectCount.Store(int64(len(t.suspects)))
}

func (t *Tally) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}
