// Package belief holds an edge instance's current knowledge of the system: intent, evacuations, targets and instances.
// Requests read immutable snapshots of it.
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
)

// View is an immutable snapshot of what the instance knows.
type View struct {
	// Intent is nil until the first one is received.
	Intent *intent.Intent
	// Evacuated holds the evacuated failure domains.
	Evacuated map[string]Evacuation
	// Restored maps each failure domain whose evacuation has ended to the boot time at which this instance learned of that.
	Restored map[string]time.Duration
	// Targets maps each service to all its targets, including leaving ones, sorted by ID.
	Targets map[string][]roster.Target
	// Instances holds the registered instances, sorted by ID. It is nil until the first list is received, and lacks this instance
	// until it is registered.
	Instances []roster.Instance
	// InstancesChangedAt is the boot time at which Instances was received. EarlierInstances is the list that was in force half of
	// the contact timeout before; nil if there was none.
	InstancesChangedAt time.Duration
	EarlierInstances   []roster.Instance
	// Generation increases with every change of targets or evacuations.
	Generation uint64
}

// Evacuation is the evacuation of a failure domain. Its times are boot times.
type Evacuation struct {
	// LearnedAt is when this instance learned of the evacuation.
	LearnedAt time.Duration
	// StartedAfter is when the last request to the store was sent whose response did not contain the evacuation. The
	// operators may have started it at any time since.
	StartedAfter time.Duration
}

// State holds the current view. It is safe for concurrent use.
type State struct {
	logger *zap.Logger
	// now returns the boot time.
	now func() time.Duration
	// onInstances is called with the registered instances whenever their list changes.
	onInstances func([]roster.Instance)
	view        atomic.Pointer[View]
	// confirmedAt is the boot time at which the latest request to the store with an applied response was sent.
	confirmedAt atomic.Int64
	// contactTimeout is the time without a confirmation after which contact with the store counts as lost; zero if it never
	// does. contactLostUntil is the boot time of the end of the latest loss.
	contactTimeout, contactLostUntil atomic.Int64

	mu sync.Mutex
	// targets holds all known targets by ID.
	targets map[string]roster.Target
	// intentRevision is the store's revision of the active intent.
	intentRevision uint64
}

// New returns an empty State. now returns the boot time; a clock that stops while the machine is suspended would make
// outdated knowledge look recent. onInstances is called with the registered instances whenever their list changes; it must not
// change the list.
func New(logger *zap.Logger, now func() time.Duration, onInstances func([]roster.Instance)) *State {
	s := &State{logger: logger, now: now, onInstances: onInstances, targets: map[string]roster.Target{}}
	s.confirmedAt.Store(int64(neverConfirmed))
	s.contactLostUntil.Store(int64(neverConfirmed))
	s.view.Store(&View{})
	return s
}

// neverConfirmed is a boot time older than any confirmation timeout.
const neverConfirmed = -time.Hour * 24 * 365

// Now returns the boot time.
func (s *State) Now() time.Duration { return s.now() }

// View returns the current view.
func (s *State) View() *View { return s.view.Load() }

// Confirm records that the response of the store to a request has been applied. sentAt is the boot time at which the
// request was sent.
func (s *State) Confirm(sentAt time.Duration) {
	previous, timeout := s.confirmedAt.Load(), s.contactTimeout.Load()
	if int64(sentAt) <= previous {
		return
	}
	if timeout > 0 && previous != int64(neverConfirmed) && int64(sentAt)-previous > timeout {
		s.contactLostUntil.Store(int64(s.now()))
	}
	s.confirmedAt.Store(int64(sentAt))
}

// SetContactTimeout sets the time without a confirmation after which contact with the store counts as lost.
func (s *State) SetContactTimeout(timeout time.Duration) { s.contactTimeout.Store(int64(timeout)) }

// SinceContactLost returns the time since the end of the latest loss of contact with the store, which is long if there was
// none. What the first responses after it do not contain may be outdated.
func (s *State) SinceContactLost() time.Duration {
	return s.now() - time.Duration(s.contactLostUntil.Load())
}

// SinceConfirmed returns the time since the latest confirmed request to the store was sent.
func (s *State) SinceConfirmed() time.Duration {
	return s.now() - time.Duration(s.confirmedAt.Load())
}

// SetIntent activates an intent unless a newer one is active. It reports whether it did.
func (s *State) SetIntent(i *intent.Intent, revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.view.Load()
	if current.Intent != nil && (revision <= s.intentRevision || i.Version <= current.Intent.Version) {
		if revision > s.intentRevision {
			s.logger.Warn("ignored an outdated intent", zap.Uint64("version", i.Version), zap.Uint64("revision", revision),
				zap.Uint64("version-in-force", current.Intent.Version))
		}
		return false
	}
	next := *current
	next.Intent = i
	s.intentRevision = revision
	s.view.Store(&next)
	s.logger.Info("new intent activated; requests now follow it", zap.Uint64("version", i.Version), zap.Uint64("revision", revision))
	return true
}

// SetEvacuated replaces the set of evacuated failure domains. It must be called before the response that contained the
// set is confirmed.
func (s *State) SetEvacuated(domains []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.view.Load()
	if len(domains) == len(current.Evacuated) && !slices.ContainsFunc(domains, func(d string) bool {
		_, known := current.Evacuated[d]
		return !known
	}) {
		return
	}
	next := *current
	next.Evacuated, next.Restored = map[string]Evacuation{}, maps.Clone(current.Restored)
	if next.Restored == nil {
		next.Restored = map[string]time.Duration{}
	}
	now := s.now()
	for _, d := range domains {
		evacuation, known := current.Evacuated[d]
		if !known {
			evacuation = Evacuation{LearnedAt: now, StartedAfter: time.Duration(s.confirmedAt.Load())}
			s.logger.Info("evacuation of a failure domain has started", zap.String("failure-domain", d),
				zap.Duration("started-at-most-ago", now-evacuation.StartedAfter))
		}
		next.Evacuated[d] = evacuation
	}
	for d := range current.Evacuated {
		if _, evacuated := next.Evacuated[d]; !evacuated {
			next.Restored[d] = now
			s.logger.Info("evacuation of a failure domain has ended", zap.String("failure-domain", d))
		}
	}
	next.Generation++
	s.view.Store(&next)
}

// UpdateTargets stores target descriptions and removes the targets in gone, which maps their IDs to the store's
// revision of the removal. Updates older than the stored description are ignored.
func (s *State) UpdateTargets(targets []roster.Target, gone map[string]uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for id, revision := range gone {
		if old, known := s.targets[id]; known && old.Revision <= revision {
			delete(s.targets, id)
			changed = true
			s.logger.Info("target removed", zap.String("target", id), zap.String("service", old.Service),
				zap.Uint64("revision", revision))
		}
	}
	for _, t := range targets {
		changed = s.storeTarget(t) || changed
	}
	if changed {
		s.publishTargets()
	}
}

// storeTarget stores one description if it supersedes the known one or none is known, and reports whether it did.
func (s *State) storeTarget(t roster.Target) bool {
	existing, known := s.targets[t.ID]
	if known && !t.Supersedes(existing) {
		return false
	}
	s.targets[t.ID] = t
	if !known || existing.Leaving != t.Leaving || existing.Started != t.Started || existing.Address != t.Address {
		s.logger.Info("target added or updated", zap.String("target", t.ID), zap.String("service", t.Service),
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
	next.Generation++
	s.view.Store(&next)
}

// SetInstances replaces the registered instances. It sorts the slice in place.
func (s *State) SetInstances(instances []roster.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortFunc(instances, func(a, b roster.Instance) int { return strings.Compare(a.ID, b.ID) })
	next := *s.view.Load()
	if next.Instances != nil && slices.Equal(next.Instances, instances) {
		return
	}
	if instances == nil {
		instances = []roster.Instance{}
	}
	ids := make([]string, 0, len(instances))
	for _, i := range instances {
		ids = append(ids, i.ID)
	}
	s.logger.Info("list of registered instances changed", zap.Strings("instances", ids))
	now := s.now()
	if now-next.InstancesChangedAt >= time.Duration(s.contactTimeout.Load())/2 && len(next.Instances) > 0 {
		next.EarlierInstances = next.Instances
	}
	next.Instances, next.InstancesChangedAt = instances, now
	s.view.Store(&next)
	s.onInstances(instances)
}
