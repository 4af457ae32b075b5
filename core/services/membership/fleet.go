package membership

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// MaxSeats is the largest number of seats of one epoch.
const MaxSeats = 7

// Fleet is the record of the instances in the platform's store; it is immutable.
type Fleet struct {
	// Sequence grows by one with every write of the record.
	Sequence uint64 `json:"sequence"`
	// Epoch grows by one whenever the set of seats changes.
	Epoch uint64 `json:"epoch"`
	// Members is sorted by ID; no two have the same ID or the same peer address.
	Members []Registered `json:"members"`
	// Open holds the seats of earlier epochs that some instance may still rely on, the oldest first.
	Open []SeatSet `json:"open,omitempty"`
	// Revision is the configuration that an instance must have in force before contact with seats confirms it; it
	// covers all that was accepted in epochs that are no longer open.
	Revision uint64 `json:"revision,omitempty"`
}

// Registered is one instance in the fleet record.
type Registered struct {
	ID string `json:"id"`
	// Incarnation is greater for a later process with the same ID.
	Incarnation   uint64 `json:"incarnation"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	Caller        string `json:"caller"`
	Operator      string `json:"operator"`
	Peer          string `json:"peer"`
	State         State  `json:"state"`
	// Seat is true for a member that holds a seat of the record's epoch; a leaving member holds none.
	Seat bool `json:"seat,omitempty"`
}

// Seat is the right of one process to a portion of every fleet-wide limit during one epoch.
type Seat struct {
	ID            string `json:"id"`
	Incarnation   uint64 `json:"incarnation"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	Peer          string `json:"peer"`
	// Gone is true once the process has certainly ended.
	Gone bool `json:"gone,omitempty"`
	// Settled is true once the process has ended with nothing used or lent.
	Settled bool `json:"settled,omitempty"`
}

// SeatSet holds the seats of one epoch.
type SeatSet struct {
	Epoch uint64 `json:"epoch"`
	// Seats is sorted by ID.
	Seats []Seat `json:"seats"`
	// Closed is true once no process can be confirmed in the epoch, and the record's revision covers all that was accepted
	// in it. Then the set only tells whose use of portions may go on.
	Closed bool `json:"closed,omitempty"`
}

// DecodeFleet decodes a stored record.
func DecodeFleet(raw []byte) (Fleet, error) {
	var f Fleet
	if err := json.Unmarshal(raw, &f); err != nil {
		return Fleet{}, trace.Wrap(err, "decoding the fleet record")
	}
	return f, nil
}

// Encode returns the stored form.
func (f Fleet) Encode() ([]byte, error) {
	raw, err := json.Marshal(f)
	return raw, trace.Wrap(err)
}

// Seats returns the seats of the record's epoch, sorted by ID.
func (f Fleet) Seats() []Seat {
	var seats []Seat
	for _, m := range f.Members {
		if m.Seat {
			seats = append(seats, m.seat())
		}
	}
	return seats
}

// Member returns the member with an ID.
func (f Fleet) Member(id string) (Registered, bool) {
	n, ok := slices.BinarySearchFunc(f.Members, id, func(m Registered, id string) int { return strings.Compare(m.ID, id) })
	if !ok {
		return Registered{}, false
	}
	return f.Members[n], true
}

// With returns a record with the member added or replaced and the seats filled. Processes that the member replaces,
// by ID or by peer address, are marked as gone.
func (f Fleet) With(m Registered) Fleet {
	replaced := func(other Registered) bool { return other.ID == m.ID || other.Peer == m.Peer }
	next := f
	if have, ok := f.Member(m.ID); ok && have.Incarnation == m.Incarnation {
		m.Seat = have.Seat
	}
	next.Members = slices.DeleteFunc(slices.Clone(f.Members), replaced)
	next.Members = append(next.Members, m)
	slices.SortFunc(next.Members, func(a, b Registered) int { return strings.Compare(a.ID, b.ID) })
	return f.reseated(next).withEnded(false, func(s Seat) bool {
		return (s.ID == m.ID && s.Incarnation < m.Incarnation) || (s.Peer == m.Peer && s.ID != m.ID)
	})
}

// Without returns a record that lacks the given process.
func (f Fleet) Without(id string, incarnation uint64) Fleet {
	next := f
	next.Members = slices.DeleteFunc(slices.Clone(f.Members), func(m Registered) bool {
		return m.ID == id && m.Incarnation == incarnation
	})
	return f.reseated(next)
}

// WithoutLeft returns a record that lacks a process which has given up its seat and all loans for good.
func (f Fleet) WithoutLeft(id string, incarnation uint64) Fleet {
	return f.Without(id, incarnation).withEnded(true, func(s Seat) bool { return s.ID == id && s.Incarnation <= incarnation })
}

// WithGone returns a record that lacks the named member and counts its processes as ended, as an operator has said.
func (f Fleet) WithGone(id string) Fleet {
	next := f
	next.Members = slices.DeleteFunc(slices.Clone(f.Members), func(m Registered) bool { return m.ID == id })
	return f.reseated(next).withEnded(false, func(s Seat) bool { return s.ID == id })
}

// WithClosed returns a record in which the open sets that the function selects are closed; the revision covers all that
// was accepted in them.
func (f Fleet) WithClosed(revision uint64, over func(SeatSet) bool) Fleet {
	open := slices.Clone(f.Open)
	for n := range open {
		if !open[n].Closed && over(open[n]) {
			open[n].Closed = true
			f.Revision = max(f.Revision, revision)
		}
	}
	f.Open = open
	return f
}

// WithoutClosed returns a record that lacks the closed sets that the function selects.
func (f Fleet) WithoutClosed(done func(SeatSet) bool) Fleet {
	f.Open = slices.DeleteFunc(slices.Clone(f.Open), func(s SeatSet) bool { return s.Closed && done(s) })
	return f
}

func (f Fleet) withEnded(settled bool, ended func(Seat) bool) Fleet {
	open := make([]SeatSet, 0, len(f.Open))
	for _, set := range f.Open {
		seats := slices.Clone(set.Seats)
		for n := range seats {
			seats[n].Settled = seats[n].Settled || (settled && ended(seats[n]))
			seats[n].Gone = seats[n].Gone || ended(seats[n])
		}
		set.Seats = seats
		open = append(open, set)
	}
	f.Open = open
	return f
}

// reseated fills the seats of the next record and begins an epoch if they differ from the ones of f.
func (f Fleet) reseated(next Fleet) Fleet {
	next.Members = withSeats(next.Members)
	before, after := f.Seats(), next.Seats()
	if slices.EqualFunc(before, after, sameProcess) {
		return next
	}
	if len(before) > 0 {
		next.Open = append(slices.Clone(f.Open), SeatSet{Epoch: f.Epoch, Seats: before})
	}
	next.Epoch++
	return next
}

// withSeats gives free seats to members in the failure domains and regions that hold the fewest. A holder keeps its
// seat while it stays and does not leave.
func withSeats(members []Registered) []Registered {
	seated := slices.Clone(members)
	held := 0
	for n := range seated {
		seated[n].Seat = seated[n].Seat && seated[n].State != StateLeaving
		if seated[n].Seat {
			held++
		}
	}
	for ; held < MaxSeats; held++ {
		n := nextSeat(seated)
		if n < 0 {
			break
		}
		seated[n].Seat = true
	}
	return seated
}

// nextSeat returns the position of the member that should have the next seat, or -1.
func nextSeat(members []Registered) int {
	domains, regions := map[string]int{}, map[string]int{}
	for _, m := range members {
		if m.Seat {
			domains[m.FailureDomain]++
			regions[m.Region]++
		}
	}
	best := -1
	for n, m := range members {
		if m.Seat || m.State == StateLeaving {
			continue
		}
		if best < 0 || cmp.Or(
			cmp.Compare(domains[m.FailureDomain], domains[members[best].FailureDomain]),
			cmp.Compare(regions[m.Region], regions[members[best].Region]),
		) < 0 {
			best = n
		}
	}
	return best
}

func (m Registered) seat() Seat {
	return Seat{ID: m.ID, Incarnation: m.Incarnation, Region: m.Region, FailureDomain: m.FailureDomain, Peer: m.Peer}
}

// Process names one process for its whole life; a later one with the same ID has another name.
func (s Seat) Process() string { return processName(s.ID, s.Incarnation) }

func processName(id string, incarnation uint64) string {
	return id + "/" + strconv.FormatUint(incarnation, 10)
}

func sameProcess(a, b Seat) bool { return a.ID == b.ID && a.Incarnation == b.Incarnation }
