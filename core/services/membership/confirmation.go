package membership

import (
	"slices"
	"sync"
	"time"

	"medlarpond.dev/core/services/configuration"
)

// Confirmation tells since when this instance can have missed nothing: the time at which it sent a question to which
// the store, most seats, or an instance that is itself confirmed has answered.
type Confirmation struct {
	state *configuration.State

	mu sync.Mutex
	// store is when the last question was sent to which the store answered.
	store time.Time
	// relayed is as of when a confirmed peer has vouched.
	relayed evidence
	// seats is keyed by process.
	seats map[string]evidence
}

// evidence is an answer's worth. An answer counts only once this instance has in force what the answerer had.
type evidence struct {
	// asked is the sending time of the last question whose answer counts.
	asked time.Time
	// pending is the answer that does not count yet.
	pending answered
}

// answered is the time of a question and what the answerer had in force.
type answered struct {
	asked time.Time
	position
	// chain is the start of the chain of the revision.
	chain string
}

// position is a revision and the sequence of a fleet record.
type position struct {
	revision, sequence uint64
}

// holding is what this instance has in force.
type holding struct {
	position
	// has reports whether a revision with a chain is in force here.
	has func(revision uint64, chain string) bool
}

func (h holding) reaches(a answered) bool {
	return h.revision >= a.revision && h.sequence >= a.sequence && h.has(a.revision, a.chain)
}

// NewConfirmation returns a confirmation without any contact, of an instance with the given state.
func NewConfirmation(state *configuration.State) *Confirmation {
	return &Confirmation{state: state, seats: map[string]evidence{}}
}

// Store notes that the store has answered a question, and that what it held was in force.
func (c *Confirmation) Store(asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store = later(c.store, asked)
}

// StoreAnswered returns when the last question was sent to which the store answered.
func (c *Confirmation) StoreAnswered() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store
}

// Answered notes that a peer has answered a question, and what it had in force.
func (c *Confirmation) Answered(m Message, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := answered{asked: asked, position: m.position(), chain: m.Chain}
	c.seats[m.From.Process()] = c.seats[m.From.Process()].with(a)
	if m.From.Confirmed {
		a.asked = asked.Add(-m.Age)
		c.relayed = c.relayed.with(a)
	}
}

// applied lets pending answers count that this instance has caught up with.
func (c *Confirmation) applied(f Fleet) {
	h := holding{position: position{revision: c.state.View().Revision, sequence: f.Sequence}, has: c.has}
	for process, e := range c.seats {
		c.seats[process] = e.counted(h)
	}
	c.relayed = c.relayed.counted(h)
}

// has reports whether a revision with a chain is in force here; one that is too old to tell counts.
func (c *Confirmation) has(revision uint64, chain string) bool {
	have, ok := c.state.ChainAt(revision)
	return !ok || prefixOf(have) == chain
}

// Since returns the time as of which this instance has missed nothing; zero if it never had contact.
func (c *Confirmation) Since(f Fleet, self string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return later(c.store, c.byPeers(f, self))
}

// ByPeers returns the time as of which this instance has missed nothing, without what the store has told it itself: that
// of most seats of every open epoch, or of a confirmed peer.
func (c *Confirmation) ByPeers(f Fleet, self string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byPeers(f, self)
}

// Forget drops what processes outside the fleet record have answered.
func (c *Confirmation) Forget(f Fleet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := map[string]evidence{}
	for _, set := range f.sets() {
		for _, s := range set {
			kept[s.Process()] = c.seats[s.Process()]
		}
	}
	c.seats = kept
}

func (c *Confirmation) byPeers(f Fleet, self string) time.Time {
	c.applied(f)
	return later(c.relayed.asked, c.bySeats(f, self))
}

func (c *Confirmation) bySeats(f Fleet, self string) time.Time {
	if c.state.View().Revision < f.Revision {
		return time.Time{}
	}
	now := time.Now()
	var oldest time.Time
	for _, set := range f.sets() {
		most := mostOf(set, func(s Seat) time.Time {
			if s.Process() == self {
				return now
			}
			return c.seats[s.Process()].asked
		})
		if oldest.IsZero() || most.Before(oldest) {
			oldest = most
		}
		if most.IsZero() {
			return time.Time{}
		}
	}
	return oldest
}

// mostOf returns the latest time that most of the seats have reached.
func mostOf(set []Seat, at func(Seat) time.Time) time.Time {
	times := make([]time.Time, 0, len(set))
	for _, s := range set {
		times = append(times, at(s))
	}
	if len(times) == 0 {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(times)/2]
}

func (e evidence) with(a answered) evidence {
	if a.asked.Before(e.pending.asked) {
		return e
	}
	e.pending = a
	return e
}

func (e evidence) counted(h holding) evidence {
	if h.reaches(e.pending) {
		e.asked = later(e.asked, e.pending.asked)
	}
	return e
}

// sets returns the seats of the record's epoch and of every earlier one that is not closed.
func (f Fleet) sets() [][]Seat {
	sets := [][]Seat{f.Seats()}
	for _, s := range f.Open {
		if !s.Closed {
			sets = append(sets, s.Seats)
		}
	}
	return sets
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
