// Package membership knows the instances of the fleet, the state of each, and whether this one is in contact with enough
// of them.
package membership

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// silenceTimeout is how long a member may be silent before look-ups leave it out.
	silenceTimeout = 3 * time.Second
	// forgetTimeout is how long a member that is not in the fleet record is remembered after it was last heard.
	forgetTimeout = 10 * time.Second
)

// State is the state of an instance as others should treat it.
type State string

// The states of instances, in the order in which an instance goes through them.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateLeaving  State = "leaving"
)

func (s State) order() int { return slices.Index([]State{StateStarting, StateReady, StateLeaving}, s) }

// Member is one instance with its addresses and what it last said of itself.
type Member struct {
	ID string
	// Incarnation is greater for a later process with the same ID.
	Incarnation   uint64
	Region        string
	FailureDomain string
	Caller        string
	Operator      string
	Peer          string
	State         State
	// Revision is the configuration in force at the member.
	Revision uint64
	// Confirmed is false while the member refuses keyed routes for lack of contact.
	Confirmed bool
	// Running is the number of callers' requests that the member is running.
	Running int
}

// WithState returns a copy in the given state.
func (m Member) WithState(s State) Member {
	m.State = s
	return m
}

// Process names the member's process for its whole life.
func (m Member) Process() string { return processName(m.ID, m.Incarnation) }

func (m Member) registered() Registered {
	return Registered{
		ID: m.ID, Incarnation: m.Incarnation, Region: m.Region, FailureDomain: m.FailureDomain,
		Caller: m.Caller, Operator: m.Operator, Peer: m.Peer, State: m.State,
	}
}

func (m Registered) member() Member {
	return Member{
		ID: m.ID, Incarnation: m.Incarnation, Region: m.Region, FailureDomain: m.FailureDomain,
		Caller: m.Caller, Operator: m.Operator, Peer: m.Peer, State: m.State,
	}
}

// Table holds the known members and when each was last heard.
type Table struct {
	mu sync.Mutex
	// members is keyed by ID.
	members map[string]sighting
	// changed is closed and replaced when a revision or state grows.
	changed chan struct{}
	// started is when this instance began to listen.
	started time.Time
}

// sighting is a member with the time at which it was certainly alive; zero if it was never heard.
type sighting struct {
	Member
	heard time.Time
}

// NewTable returns a table of the given members, heard now.
func NewTable(members ...Member) *Table {
	t := &Table{members: map[string]sighting{}, changed: make(chan struct{}), started: time.Now()}
	for _, m := range members {
		t.Put(m)
	}
	return t
}

// Put takes in what a member says of itself now.
func (t *Table) Put(m Member) { t.Observe(m, time.Now()) }

// Observe takes in what was true of a member at a time. The state and revision of one process never go back, whatever
// arrives late.
func (t *Table) Observe(m Member, heard time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	have, ok := t.members[m.ID]
	next := have
	switch {
	case !ok || m.Incarnation > have.Incarnation:
		next = sighting{Member: m, heard: heard}
	case m.Incarnation == have.Incarnation:
		next = have.merged(m, heard)
	}
	t.members[m.ID] = next
	if next.Revision != have.Revision || next.State != have.State {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// Changed returns a channel that is closed when the revision or state of a member grows.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// age returns for how long a member has been silent, at most for as long as this instance has listened.
func (t *Table) age(s sighting) time.Duration { return time.Since(later(s.heard, t.started)) }

func (s sighting) merged(m Member, heard time.Time) sighting {
	if heard.After(s.heard) {
		s.heard, s.Confirmed, s.Running = heard, m.Confirmed, m.Running
	}
	if m.State.order() > s.State.order() {
		s.State = m.State
	}
	s.Revision = max(s.Revision, m.Revision)
	return s
}

// Follow makes the table agree with a fleet record: its members are known, others are forgotten after a while.
func (t *Table) Follow(f Fleet) {
	for _, m := range f.Members {
		t.Observe(m.member(), time.Time{})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.members {
		m, ok := f.Member(id)
		if (!ok || m.Incarnation != s.Incarnation) && time.Since(s.heard) > forgetTimeout {
			delete(t.members, id)
		}
	}
}

// Get returns one member.
func (t *Table) Get(id string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.members[id]
	return m.Member, ok
}

// Silent returns for how long a process has been silent, at most for as long as this instance has listened.
func (t *Table) Silent(id string, incarnation uint64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.members[id]
	if s.Incarnation != incarnation {
		s.heard = time.Time{}
	}
	return t.age(s)
}

// All returns all members, sorted by ID.
func (t *Table) All() []Member {
	var all []Member
	for _, s := range t.sightings() {
		all = append(all, s.Member)
	}
	return all
}

// Lacking returns the IDs of the members at which a revision is not known to be in force.
func (t *Table) Lacking(revision uint64) []string {
	var ids []string
	for _, s := range t.sightings() {
		if s.Revision < revision {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// Nearest returns the members that callers may use, those nearest to the given place first and of those the ones with
// the fewest running requests. Members that are silent are left out, unless all are.
func (t *Table) Nearest(region, failureDomain string) []Member {
	usable := slices.DeleteFunc(t.sightings(), func(s sighting) bool { return s.State != StateReady })
	alive := slices.DeleteFunc(slices.Clone(usable), func(s sighting) bool {
		return !s.Confirmed || time.Since(s.heard) > silenceTimeout
	})
	if len(alive) > 0 {
		usable = alive
	}
	slices.SortStableFunc(usable, func(a, b sighting) int {
		return cmp.Or(distance(a.Member, region, failureDomain)-distance(b.Member, region, failureDomain), a.Running-b.Running)
	})
	members := make([]Member, 0, len(usable))
	for _, s := range usable {
		members = append(members, s.Member)
	}
	return members
}

// sightings returns a copy of the table, sorted by ID.
func (t *Table) sightings() []sighting {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]sighting, 0, len(t.members))
	for _, s := range t.members {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b sighting) int { return strings.Compare(a.ID, b.ID) })
	return all
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
