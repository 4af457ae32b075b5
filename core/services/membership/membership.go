// Package membership tracks the instances of the fleet and their states, and whether this instance has recent contact
// with enough of them.
package membership

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// unresponsiveTimeout is the time since a member was last seen after which lookups leave it out.
	unresponsiveTimeout = 3 * time.Second
	// unregisteredRetention is the time since a member was last seen after which it is removed from the table if the
	// fleet record does not list it.
	unregisteredRetention = 10 * time.Second
)

// State is the lifecycle state that an instance announces to others.
type State string

// The states of an instance, in the order in which it goes through them.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateLeaving  State = "leaving"
)

func (s State) order() int { return slices.Index([]State{StateStarting, StateReady, StateLeaving}, s) }

// Member is one instance, with its addresses and the status that it last reported.
type Member struct {
	ID string
	// Incarnation increases with every new process of the same ID.
	Incarnation   uint64
	Region        string
	FailureDomain string
	Caller        string
	Operator      string
	Peer          string
	State         State
	// Revision is the active configuration revision of the member.
	Revision uint64
	// Confirmed is false while the member refuses routes that require an API key, because it lacks contact with the store and
	// its peers.
	Confirmed bool
	// Running is the number of caller requests that the member is processing.
	Running int
}

// WithState returns a copy of the member in the given state.
func (m Member) WithState(s State) Member {
	m.State = s
	return m
}

// ProcessID returns an identifier of the member's process, made of its ID and incarnation.
func (m Member) ProcessID() string { return processID(m.ID, m.Incarnation) }

func (m Member) toFleetMember() FleetMember {
	return FleetMember{
		ID: m.ID, Incarnation: m.Incarnation, Region: m.Region, FailureDomain: m.FailureDomain,
		Caller: m.Caller, Operator: m.Operator, Peer: m.Peer, State: m.State,
	}
}

func (m FleetMember) toMember() Member {
	return Member{
		ID: m.ID, Incarnation: m.Incarnation, Region: m.Region, FailureDomain: m.FailureDomain,
		Caller: m.Caller, Operator: m.Operator, Peer: m.Peer, State: m.State,
	}
}

// Table holds the known members and when each was last known to be alive. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// members is keyed by ID.
	members map[string]memberEntry
	// changed is closed and replaced when the revision or the state of a member advances.
	changed chan struct{}
	// startedAt is when the table was created; no member counts as unresponsive for longer than since then.
	startedAt time.Time
}

// memberEntry is a member and the latest time at which it was known to be alive; zero if it was never seen.
type memberEntry struct {
	Member
	lastSeen time.Time
}

// NewTable returns a table of the given members, all last seen now.
func NewTable(members ...Member) *Table {
	t := &Table{members: map[string]memberEntry{}, changed: make(chan struct{}), startedAt: time.Now()}
	for _, m := range members {
		t.Put(m)
	}
	return t
}

// Put records the present status of a member.
func (t *Table) Put(m Member) { t.Observe(m, time.Now()) }

// Observe records the status that a member had at the given time. Reports may arrive out of order: the state and
// revision of a process never go back, and reports of earlier incarnations are ignored.
func (t *Table) Observe(m Member, seenAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, ok := t.members[m.ID]
	updated := current
	switch {
	case !ok || m.Incarnation > current.Incarnation:
		updated = memberEntry{Member: m, lastSeen: seenAt}
	case m.Incarnation == current.Incarnation:
		updated = current.merge(m, seenAt)
	}
	t.members[m.ID] = updated
	if updated.Revision != current.Revision || updated.State != current.State {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// Changed returns a channel that is closed when the revision or the state of a member advances.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// entryAge returns the time since the member was last known to be alive, at most the uptime of this instance.
func (t *Table) entryAge(e memberEntry) time.Duration {
	return time.Since(laterTime(e.lastSeen, t.startedAt))
}

func (e memberEntry) merge(m Member, seenAt time.Time) memberEntry {
	if seenAt.After(e.lastSeen) {
		e.lastSeen, e.Confirmed, e.Running = seenAt, m.Confirmed, m.Running
	}
	if m.State.order() > e.State.order() {
		e.State = m.State
	}
	e.Revision = max(e.Revision, m.Revision)
	return e
}

// ApplyFleet merges a fleet record into the table: its members are added, and processes that it does not list are
// removed once they were not seen for unregisteredRetention.
func (t *Table) ApplyFleet(f Fleet) {
	for _, m := range f.Members {
		t.Observe(m.toMember(), time.Time{})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.members {
		m, ok := f.Member(id)
		if (!ok || m.Incarnation != e.Incarnation) && time.Since(e.lastSeen) > unregisteredRetention {
			delete(t.members, id)
		}
	}
}

// Get returns the member with an ID.
func (t *Table) Get(id string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.members[id]
	return m.Member, ok
}

// SinceLastSeen returns the time since a process was last known to be alive, at most the uptime of this instance.
func (t *Table) SinceLastSeen(id string, incarnation uint64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.members[id]
	if e.Incarnation != incarnation {
		e.lastSeen = time.Time{}
	}
	return t.entryAge(e)
}

// All returns all members, sorted by ID.
func (t *Table) All() []Member {
	var all []Member
	for _, e := range t.entries() {
		all = append(all, e.Member)
	}
	return all
}

// MembersBehind returns the IDs of the members that are not known to have applied a revision.
func (t *Table) MembersBehind(revision uint64) []string {
	var ids []string
	for _, e := range t.entries() {
		if e.Revision < revision {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// Nearest returns the ready members in the order in which callers should use them: nearest to the given location first,
// then by the number of running requests. Unconfirmed and unresponsive members are left out, unless that would leave
// none.
func (t *Table) Nearest(region, failureDomain string) []Member {
	usable := slices.DeleteFunc(t.entries(), func(e memberEntry) bool { return e.State != StateReady })
	alive := slices.DeleteFunc(slices.Clone(usable), func(e memberEntry) bool {
		return !e.Confirmed || time.Since(e.lastSeen) > unresponsiveTimeout
	})
	if len(alive) > 0 {
		usable = alive
	}
	slices.SortStableFunc(usable, func(a, b memberEntry) int {
		return cmp.Or(distance(a.Member, region, failureDomain)-distance(b.Member, region, failureDomain), a.Running-b.Running)
	})
	members := make([]Member, 0, len(usable))
	for _, e := range usable {
		members = append(members, e.Member)
	}
	return members
}

// entries returns a copy of all entries, sorted by ID.
func (t *Table) entries() []memberEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]memberEntry, 0, len(t.members))
	for _, e := range t.members {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b memberEntry) int { return strings.Compare(a.ID, b.ID) })
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
