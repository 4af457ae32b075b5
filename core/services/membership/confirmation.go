package membership

import (
	"slices"
	"sync"
	"time"

	"medlarpond.dev/core/services/configuration"
)

// Confirmation tracks the time as of which this instance is known to be up to date: the time at which it sent a request
// that was answered by the store, a majority of the seats, or an instance that is itself confirmed. It is safe for
// concurrent use.
type Confirmation struct {
	state *configuration.State

	mu sync.Mutex
	// storeConfirmedAt is the sending time of the last request that the store answered.
	storeConfirmedAt time.Time
	// viaPeer is the latest contact with a peer that was itself confirmed.
	viaPeer peerContact
	// seats holds the contacts with seats, keyed by process.
	seats map[string]peerContact
}

// peerContact is the latest response from a peer. A response counts only once this instance has applied what the peer
// had applied.
type peerContact struct {
	// confirmedAsOf is the sending time of the last request whose response counts.
	confirmedAsOf time.Time
	// pending is the latest response, which may not count yet.
	pending peerResponse
}

// peerResponse is the sending time of a request and what the responding peer had applied.
type peerResponse struct {
	sentAt time.Time
	replicaVersion
	// chain is the prefix of the chain hash of the revision.
	chain string
}

// replicaVersion is a configuration revision and the sequence of a fleet record.
type replicaVersion struct {
	revision, sequence uint64
}

// localVersion is what this instance has applied.
type localVersion struct {
	replicaVersion
	// hasChain reports whether this instance has applied a revision with the given chain prefix.
	hasChain func(revision uint64, chain string) bool
}

func (local localVersion) covers(response peerResponse) bool {
	return local.revision >= response.revision && local.sequence >= response.sequence && local.hasChain(response.revision, response.chain)
}

// NewConfirmation returns a tracker without any contact, for an instance with the given configuration state.
func NewConfirmation(state *configuration.State) *Confirmation {
	return &Confirmation{state: state, seats: map[string]peerContact{}}
}

// RecordStoreResponse records that the store has answered a request sent at the given time, and that this instance has
// applied what the store held.
func (c *Confirmation) RecordStoreResponse(sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeConfirmedAt = laterTime(c.storeConfirmedAt, sentAt)
}

// LastStoreResponse returns the sending time of the last request that the store answered.
func (c *Confirmation) LastStoreResponse() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeConfirmedAt
}

// RecordPeerResponse records the response of a peer to a request sent at the given time.
func (c *Confirmation) RecordPeerResponse(m Message, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	response := peerResponse{sentAt: sentAt, replicaVersion: m.version(), chain: m.Chain}
	c.seats[m.From.ProcessID()] = c.seats[m.From.ProcessID()].withPending(response)
	if m.From.Confirmed {
		response.sentAt = sentAt.Add(-m.Age)
		c.viaPeer = c.viaPeer.withPending(response)
	}
}

// promotePending counts the pending responses whose version this instance has caught up with.
func (c *Confirmation) promotePending(f Fleet) {
	local := localVersion{replicaVersion: replicaVersion{revision: c.state.View().Revision, sequence: f.Sequence}, hasChain: c.hasChain}
	for process, contact := range c.seats {
		c.seats[process] = contact.promote(local)
	}
	c.viaPeer = c.viaPeer.promote(local)
}

// hasChain reports whether this instance has applied a revision with the given chain prefix. A revision that is too old
// to be checked counts as applied.
func (c *Confirmation) hasChain(revision uint64, chain string) bool {
	localChain, ok := c.state.ChainAt(revision)
	return !ok || chainPrefix(localChain) == chain
}

// ConfirmedAsOf returns the time as of which this instance is known to be up to date; zero if it never had contact.
func (c *Confirmation) ConfirmedAsOf(f Fleet, self string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return laterTime(c.storeConfirmedAt, c.confirmedByPeers(f, self))
}

// ConfirmedByPeersAsOf is like ConfirmedAsOf, but disregards what this instance itself has read from the store. It
// considers a majority of the seats of the current epoch and of every earlier one that is not closed, and confirmed
// peers.
func (c *Confirmation) ConfirmedByPeersAsOf(f Fleet, self string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedByPeers(f, self)
}

// Prune drops the responses of processes without a seat in the record's epoch or in an earlier one that is not closed.
func (c *Confirmation) Prune(f Fleet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	retained := map[string]peerContact{}
	for _, set := range f.activeSeatSets() {
		for _, s := range set {
			retained[s.ProcessID()] = c.seats[s.ProcessID()]
		}
	}
	c.seats = retained
}

func (c *Confirmation) confirmedByPeers(f Fleet, self string) time.Time {
	c.promotePending(f)
	return laterTime(c.viaPeer.confirmedAsOf, c.confirmedBySeats(f, self))
}

func (c *Confirmation) confirmedBySeats(f Fleet, self string) time.Time {
	if c.state.View().Revision < f.Revision {
		return time.Time{}
	}
	now := time.Now()
	var oldest time.Time
	for _, set := range f.activeSeatSets() {
		majority := majorityTime(set, func(s Seat) time.Time {
			if s.ProcessID() == self {
				return now
			}
			return c.seats[s.ProcessID()].confirmedAsOf
		})
		if oldest.IsZero() || majority.Before(oldest) {
			oldest = majority
		}
		if majority.IsZero() {
			return time.Time{}
		}
	}
	return oldest
}

// majorityTime returns the latest time that a majority of the seats has reached; zero without seats.
func majorityTime(set []Seat, timeOf func(Seat) time.Time) time.Time {
	times := make([]time.Time, 0, len(set))
	for _, s := range set {
		times = append(times, timeOf(s))
	}
	if len(times) == 0 {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(times)/2]
}

func (c peerContact) withPending(response peerResponse) peerContact {
	if response.sentAt.Before(c.pending.sentAt) {
		return c
	}
	c.pending = response
	return c
}

func (c peerContact) promote(local localVersion) peerContact {
	if local.covers(c.pending) {
		c.confirmedAsOf = laterTime(c.confirmedAsOf, c.pending.sentAt)
	}
	return c
}

// activeSeatSets returns the seats of the record's epoch and of every earlier epoch that is not closed.
func (f Fleet) activeSeatSets() [][]Seat {
	sets := [][]Seat{f.Seats()}
	for _, s := range f.OpenSets {
		if !s.Closed {
			sets = append(sets, s.Seats)
		}
	}
	return sets
}

func laterTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
