package configuration

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"medlarpond.dev/core/models/resource"
)

// HistoryLength is the number of changes that an instance keeps in memory for history queries and watches.
const HistoryLength = 10_000

// View is the active configuration at one revision. It is immutable.
type View struct {
	Snapshot resource.Snapshot
	Revision uint64
	Chain    ChainHash
}

// State holds the active configuration of one instance. Its revision never decreases. It is safe for concurrent use.
type State struct {
	view atomic.Pointer[View]

	mu sync.Mutex
	// history holds the latest records, oldest first and without gaps.
	history []Record
	// changed is closed and replaced whenever the view changes.
	changed chan struct{}
}

// NewState returns an empty state at revision 0.
func NewState() *State {
	s := &State{changed: make(chan struct{})}
	s.view.Store(&View{Snapshot: resource.NewSnapshot()})
	return s
}

// View returns the active configuration.
func (s *State) View() *View { return s.view.Load() }

// Apply activates the next change. A change that was already applied is ignored. Apply returns ErrGap if the change
// does not follow the active revision, and ErrDiverged if its history differs from the state's.
func (s *State) Apply(r Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.view.Load()
	if r.Revision <= v.Revision {
		return s.checkApplied(r)
	}
	if r.Revision != v.Revision+1 {
		return &ErrGap{Current: v.Revision, Got: r.Revision}
	}
	if r.Previous != v.Chain {
		return &ErrDiverged{Revision: r.Revision}
	}
	s.view.Store(&View{Snapshot: applyChange(v.Snapshot, r.Change), Revision: r.Revision, Chain: r.Chain})
	s.history = append(s.history, r)
	if len(s.history) > HistoryLength {
		s.history = slices.Clone(s.history[len(s.history)-HistoryLength:])
	}
	s.broadcast()
	return nil
}

// Install activates a complete configuration on a state that is still empty. Otherwise it does nothing and returns
// false.
func (s *State) Install(v *View) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view.Load().Revision > 0 {
		return false
	}
	s.view.Store(v)
	s.broadcast()
	return true
}

// Prepend adds r to the front of the history if r directly precedes the oldest record held, and reports whether it did.
func (s *State) Prepend(r Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.view.Load()
	if r.Revision != v.Revision-uint64(len(s.history)) || len(s.history) >= HistoryLength {
		return false
	}
	want := v.Chain
	if len(s.history) > 0 {
		want = s.history[0].Previous
	}
	if r.Chain != want {
		return false
	}
	s.history = slices.Insert(s.history, 0, r)
	return true
}

// Changed returns a channel that is closed at the next change of the view.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// WaitFor blocks until the active revision is at least the given one, or the context ends.
func (s *State) WaitFor(ctx context.Context, revision uint64) error {
	for {
		changed := s.Changed()
		if s.View().Revision >= revision {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// RecordsAfter returns up to limit records that follow the given revision, oldest first. It returns ErrVersionTooOld if
// the history no longer reaches back that far.
func (s *State) RecordsAfter(revision uint64, limit int) ([]Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.view.Load().Revision
	if revision >= current {
		return nil, nil
	}
	oldest := current - uint64(len(s.history))
	if revision < oldest {
		return nil, &ErrVersionTooOld{Oldest: oldest}
	}
	records := s.history[revision-oldest:]
	if len(records) > limit {
		records = records[:limit]
	}
	return slices.Clone(records), nil
}

// ChainAt returns the chain hash at an applied revision, and false if the revision is not in the history.
func (s *State) ChainAt(revision uint64) (ChainHash, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.view.Load()
	if revision == v.Revision {
		return v.Chain, true
	}
	oldest := v.Revision - uint64(len(s.history))
	if revision > v.Revision || revision <= oldest {
		return "", false
	}
	return s.history[revision-oldest-1].Chain, true
}

// FindByID returns the change with the given ID if it is still in the history.
func (s *State) FindByID(id string) (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range slices.Backward(s.history) {
		if r.ID == id {
			return r, true
		}
	}
	return Record{}, false
}

// checkApplied returns ErrDiverged if the history holds a different change at the revision of r.
func (s *State) checkApplied(r Record) error {
	oldest := s.view.Load().Revision - uint64(len(s.history))
	if r.Revision <= oldest {
		return nil
	}
	if s.history[r.Revision-oldest-1].Chain != r.Chain {
		return &ErrDiverged{Revision: r.Revision}
	}
	return nil
}

func (s *State) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func applyChange(s resource.Snapshot, c Change) resource.Snapshot {
	switch c.Action {
	case ActionCreate, ActionUpdate:
		return s.With(c.Resource.WithVersion(c.Revision))
	case ActionDelete:
		return s.Without(c.Resource.Kind, c.Resource.Name)
	default:
		return s
	}
}
