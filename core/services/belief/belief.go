// Package belief holds what an edge instance believes about the world: intent, evacuations, targets and instances.
// Requests read immutable views of it.
package belief

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/intent"
	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/boottime"
)

// View is what an instance believes at one moment; it never changes.
type View struct {
	// Intent is nil until the first one is known.
	Intent *intent.Intent
	// Evacuated maps each evacuated failure domain to when this instance learnt of it.
	Evacuated map[string]time.Time
	// Returned maps each failure domain that was taken back to when this instance learnt of it.
	Returned map[string]time.Time
	// Targets maps each service to all its targets, sorted by ID, leaving ones included.
	Targets map[string][]roster.Target
	// Instances are sorted by ID and include this one once it is registered.
	Instances []roster.Instance
	// Number grows with every change of targets or evacuations.
	Number uint64
}

// State keeps the present view.
type State struct {
	logger *zap.Logger
	// onInstances is told the number of known instances whenever it changes.
	onInstances func(n int)
	view        atomic.Pointer[View]
	// confirmedAt is the boot time at which a question was sent that the store has answered and whose answer is in force.
	confirmedAt atomic.Int64

	mu sync.Mutex
	// targets holds every known target by ID.
	targets map[string]roster.Target
	// intentRevision is the store's revision of the intent in force.
	intentRevision uint64
}

// New returns a state that knows nothing; onInstances is told the number of instances whenever their list changes.
func New(logger *zap.Logger, onInstances func(n int)) *State {
	s := &State{logger: logger, onInstances: onInstances, targets: map[string]roster.Target{}}
	s.confirmedAt.Store(int64(never))
	s.view.Store(&View{})
	return s
}

// never is a boot time that is older than any bound.
const never = -time.Hour * 24 * 365

// View returns the present view.
func (s *State) View() *View { return s.view.Load() }

// Confirm notes that the store has answered a question sent at a boot time and that the answer is in force.
func (s *State) Confirm(asked time.Duration) {
	if int64(asked) > s.confirmedAt.Load() {
		s.confirmedAt.Store(int64(asked))
	}
}

// Age returns how long ago the newest confirmed question was sent.
func (s *State) Age() time.Duration {
	return boottime.Now() - time.Duration(s.confirmedAt.Load())
}

// SetIntent puts an intent in force unless a newer one is; it reports whether it did.
func (s *State) SetIntent(i *intent.Intent, revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := s.view.Load()
	if present.Intent != nil && (revision <= s.intentRevision || i.Version <= present.Intent.Version) {
		if revision > s.intentRevision {
			s.logger.Warn("ignored an older intent", zap.Uint64("version", i.Version), zap.Uint64("revision", revision),
				zap.Uint64("version-in-force", present.Intent.Version))
		}
		return false
	}
	next := *present
	next.Intent = i
	s.intentRevision = revision
	s.view.Store(&next)
	s.logger.Info("intent in force", zap.Uint64("version", i.Version), zap.Uint64("revision", revision))
	return true
}

// SetEvacuated replaces the set of evacuated failure domains.
func (s *State) SetEvacuated(domains []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := s.view.Load()
	if len(domains) == len(present.Evacuated) && !slices.ContainsFunc(domains, func(d string) bool {
		_, known := present.Evacuated[d]
		return !known
	}) {
		return
	}
	next := *present
	next.Evacuated, next.Returned = map[string]time.Time{}, maps.Clone(present.Returned)
	if next.Returned == nil {
		next.Returned = map[string]time.Time{}
	}
	now := time.Now()
	for _, d := range domains {
		since, known := present.Evacuated[d]
		if !known {
			since = now
			s.logger.Info("failure domain is evacuated", zap.String("failure-domain", d))
		}
		next.Evacuated[d] = since
	}
	for d := range present.Evacuated {
		if _, still := next.Evacuated[d]; !still {
			next.Returned[d] = now
			s.logger.Info("failure domain is taken back", zap.String("failure-domain", d))
		}
	}
	next.Number++
	s.view.Store(&next)
}

// UpdateTargets takes descriptions of targets and the IDs of targets that are gone, with the revision of their end. What
// is older than known is ignored.
func (s *State) UpdateTargets(targets []roster.Target, gone map[string]uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for id, revision := range gone {
		if old, known := s.targets[id]; known && old.Revision <= revision {
			delete(s.targets, id)
			changed = true
			s.logger.Info("target is gone", zap.String("target", id), zap.String("service", old.Service),
				zap.Uint64("revision", revision))
		}
	}
	for _, t := range targets {
		changed = s.putTarget(t) || changed
	}
	if changed {
		s.publishTargets()
	}
}

// putTarget takes one description and reports whether it is news.
func (s *State) putTarget(t roster.Target) bool {
	old, known := s.targets[t.ID]
	if known && !t.Supersedes(old) {
		return false
	}
	s.targets[t.ID] = t
	if !known || old.Leaving != t.Leaving || old.Started != t.Started || old.Address != t.Address {
		s.logger.Info("target reported", zap.String("target", t.ID), zap.String("service", t.Service),
			zap.String("address", t.Address), zap.Bool("leaving", t.Leaving), zap.Uint64("revision", t.Revision))
	}
	return true
}

func (s *State) publishTargets() {
	next := *s.view.Load()
	next.Targets = map[string][]roster.Target{}
	for _, t := range s.targets {
		next.Targets[t.Service] = append(next.Targets[t.Service], t)
	}
	for _, targets := range next.Targets {
		slices.SortFunc(targets, func(a, b roster.Target) int { return strings.Compare(a.ID, b.ID) })
	}
	next.Number++
	s.view.Store(&next)
}

// SetInstances replaces the known instances.
func (s *State) SetInstances(instances []roster.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortFunc(instances, func(a, b roster.Instance) int { return strings.Compare(a.ID, b.ID) })
	next := *s.view.Load()
	if slices.Equal(next.Instances, instances) {
		return
	}
	ids := make([]string, 0, len(instances))
	for _, i := range instances {
		ids = append(ids, i.ID)
	}
	s.logger.Info("instances known", zap.Strings("instances", ids))
	next.Instances = instances
	s.view.Store(&next)
	s.onInstances(len(instances))
}
