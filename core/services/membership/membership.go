// Package membership knows the instances of the fleet and the state of each.
package membership

import (
	"slices"
	"strings"
	"sync"
)

// State is the state of an instance as others should treat it.
type State string

// The states of instances.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateLeaving  State = "leaving"
)

// Member is one instance with its addresses.
type Member struct {
	ID            string
	Region        string
	FailureDomain string
	Caller        string
	Operator      string
	Peer          string
	State         State
	// Revision is the configuration in force at the member.
	Revision uint64
}

// WithState returns a copy in the given state.
func (m Member) WithState(s State) Member {
	m.State = s
	return m
}

// Table holds the known members.
type Table struct {
	mu sync.Mutex
	// members is keyed by ID.
	members map[string]Member
}

// NewTable returns a table of the given members.
func NewTable(members ...Member) *Table {
	t := &Table{members: map[string]Member{}}
	for _, m := range members {
		t.members[m.ID] = m
	}
	return t
}

// Put adds or replaces a member.
func (t *Table) Put(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members[m.ID] = m
}

// Remove drops a member.
func (t *Table) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.members, id)
}

// Get returns one member.
func (t *Table) Get(id string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.members[id]
	return m, ok
}

// All returns all members, sorted by ID.
func (t *Table) All() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// Nearest returns the ready members, those nearest to the given place first.
func (t *Table) Nearest(region, failureDomain string) []Member {
	ready := slices.DeleteFunc(t.All(), func(m Member) bool { return m.State != StateReady })
	slices.SortStableFunc(ready, func(a, b Member) int {
		return distance(a, region, failureDomain) - distance(b, region, failureDomain)
	})
	return ready
}

func distance(m Member, region, failureDomain string) int {
	switch {
	case m.FailureDomain == failureDomain:
		return 0
	case m.Region == region:
		return 1
	default:
		return 2
	}
}
