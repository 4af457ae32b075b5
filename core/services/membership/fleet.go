package membership

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// MaxSeats is the maximum number of seats in an epoch.
const MaxSeats = 7

// Fleet is the record of all instances that is kept in the platform's store. It is immutable.
type Fleet struct {
	// Sequence increases by one with every write of the record.
	Sequence uint64 `json:"sequence"`
	// Epoch increases by one whenever the set of seats changes.
	Epoch uint64 `json:"epoch"`
	// Members is sorted by ID; IDs and peer addresses are unique.
	Members []FleetMember `json:"members"`
	// OpenSets holds the seats of earlier epochs that some instance may still rely on, oldest first. A closed set stays
	// until none of its shares can be in use any more.
	OpenSets []SeatSet `json:"open,omitempty"`
	// Revision is the configuration revision that an instance must have applied before responses from seats can confirm
	// it. It covers every change accepted in epochs that are no longer open.
	Revision uint64 `json:"revision,omitempty"`
}

// FleetMember is one instance in the fleet record.
type FleetMember struct {
	ID string `json:"id"`
	// Incarnation increases with every new process of the same ID.
	Incarnation   uint64 `json:"incarnation"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	Caller        string `json:"caller"`
	Operator      string `json:"operator"`
	Peer          string `json:"peer"`
	State         State  `json:"state"`
	// Seat is true for a member that holds a seat in the record's epoch; a leaving member holds none.
	Seat bool `json:"seat,omitempty"`
}

// Seat entitles one process to a share of every fleet-wide limit during one epoch. It also counts toward the majority
// that confirms instances and accepts configuration changes.
type Seat struct {
	ID            string `json:"id"`
	Incarnation   uint64 `json:"incarnation"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	Peer          string `json:"peer"`
	// Gone is true once the process is known to have ended.
	Gone bool `json:"gone,omitempty"`
	// Settled is true once the process has ended with no capacity in use or on loan.
	Settled bool `json:"settled,omitempty"`
}

// SeatSet holds the seats of one epoch.
type SeatSet struct {
	Epoch uint64 `json:"epoch"`
	// Seats is sorted by ID.
	Seats []Seat `json:"seats"`
	// Closed is true once no process can be confirmed in the epoch and the record's revision covers every change
	// accepted in it. The set then only tells which processes may still be using their shares.
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

// Encode returns the stored form of the record.
func (f Fleet) Encode() ([]byte, error) {
	raw, err := json.Marshal(f)
	return raw, trace.Wrap(err)
}

// Seats returns the seats of the record's epoch, sorted by ID.
func (f Fleet) Seats() []Seat {
	var seats []Seat
	for _, m := range f.Members {
		if m.Seat {
			seats = append(seats, m.toSeat())
		}
	}
	return seats
}

// Member returns the member with an ID.
func (f Fleet) Member(id string) (FleetMember, bool) {
	i, ok := slices.BinarySearchFunc(f.Members, id, func(m FleetMember, id string) int { return strings.Compare(m.ID, id) })
	if !ok {
		return FleetMember{}, false
	}
	return f.Members[i], true
}

// WithMember returns a record with the member added or replaced, and free seats assigned. Processes that the member
// replaces, by ID or by peer address, are marked as gone.
func (f Fleet) WithMember(m FleetMember) Fleet {
	replaced := func(other FleetMember) bool { return other.ID == m.ID || other.Peer == m.Peer }
	next := f
	if current, ok := f.Member(m.ID); ok && current.Incarnation == m.Incarnation {
		m.Seat = current.Seat
	}
	next.Members = slices.DeleteFunc(slices.Clone(f.Members), replaced)
	next.Members = append(next.Members, m)
	slices.SortFunc(next.Members, func(a, b FleetMember) int { return strings.Compare(a.ID, b.ID) })
	return f.assignSeats(next).withEndedSeats(false, func(s Seat) bool {
		return (s.ID == m.ID && s.Incarnation < m.Incarnation) || (s.Peer == m.Peer && s.ID != m.ID)
	})
}

// WithoutMember returns a record without the given process.
func (f Fleet) WithoutMember(id string, incarnation uint64) Fleet {
	next := f
	next.Members = slices.DeleteFunc(slices.Clone(f.Members), func(m FleetMember) bool {
		return m.ID == id && m.Incarnation == incarnation
	})
	return f.assignSeats(next)
}

// WithoutSettled returns a record without a process that has ended after giving up its seat and all loans.
func (f Fleet) WithoutSettled(id string, incarnation uint64) Fleet {
	return f.WithoutMember(id, incarnation).withEndedSeats(true, func(s Seat) bool { return s.ID == id && s.Incarnation <= incarnation })
}

// WithGone returns a record without the member with an ID, in which all its processes are marked as gone. It is called
// when an operator states that they have ended.
func (f Fleet) WithGone(id string) Fleet {
	next := f
	next.Members = slices.DeleteFunc(slices.Clone(f.Members), func(m FleetMember) bool { return m.ID == id })
	return f.assignSeats(next).withEndedSeats(false, func(s Seat) bool { return s.ID == id })
}

// WithClosedSets returns a record in which the open sets selected by ended are closed. The revision must cover every
// change accepted in them.
func (f Fleet) WithClosedSets(revision uint64, ended func(SeatSet) bool) Fleet {
	open := slices.Clone(f.OpenSets)
	for i := range open {
		if !open[i].Closed && ended(open[i]) {
			open[i].Closed = true
			f.Revision = max(f.Revision, revision)
		}
	}
	f.OpenSets = open
	return f
}

// WithoutClosedSets returns a record without the closed sets selected by releasable.
func (f Fleet) WithoutClosedSets(releasable func(SeatSet) bool) Fleet {
	f.OpenSets = slices.DeleteFunc(slices.Clone(f.OpenSets), func(s SeatSet) bool { return s.Closed && releasable(s) })
	return f
}

func (f Fleet) withEndedSeats(settled bool, hasEnded func(Seat) bool) Fleet {
	open := make([]SeatSet, 0, len(f.OpenSets))
	for _, set := range f.OpenSets {
		seats := slices.Clone(set.Seats)
		for i := range seats {
			seats[i].Settled = seats[i].Settled || (settled && hasEnded(seats[i]))
			seats[i].Gone = seats[i].Gone || hasEnded(seats[i])
		}
		set.Seats = seats
		open = append(open, set)
	}
	f.OpenSets = open
	return f
}

// assignSeats assigns the seats of the next record, and starts a new epoch if they differ from those of f.
func (f Fleet) assignSeats(next Fleet) Fleet {
	next.Members = fillSeats(next.Members)
	before, after := f.Seats(), next.Seats()
	if slices.EqualFunc(before, after, sameProcess) {
		return next
	}
	if len(before) > 0 {
		next.OpenSets = append(slices.Clone(f.OpenSets), SeatSet{Epoch: f.Epoch, Seats: before})
	}
	next.Epoch++
	return next
}

// fillSeats gives free seats to members in the failure domains, then regions, with the fewest seats. A member keeps its
// seat until it is leaving or removed.
func fillSeats(members []FleetMember) []FleetMember {
	assigned := slices.Clone(members)
	seatCount := 0
	for i := range assigned {
		assigned[i].Seat = assigned[i].Seat && assigned[i].State != StateLeaving
		if assigned[i].Seat {
			seatCount++
		}
	}
	for ; seatCount < MaxSeats; seatCount++ {
		i := nextSeatHolder(assigned)
		if i < 0 {
			break
		}
		assigned[i].Seat = true
	}
	return assigned
}

// nextSeatHolder returns the index of the member that gets the next free seat, or -1 if there is none.
func nextSeatHolder(members []FleetMember) int {
	domains, regions := map[string]int{}, map[string]int{}
	for _, m := range members {
		if m.Seat {
			domains[m.FailureDomain]++
			regions[m.Region]++
		}
	}
	best := -1
	for i, m := range members {
		if m.Seat || m.State == StateLeaving {
			continue
		}
		if best < 0 || cmp.Or(
			cmp.Compare(domains[m.FailureDomain], domains[members[best].FailureDomain]),
			cmp.Compare(regions[m.Region], regions[members[best].Region]),
		) < 0 {
			best = i
		}
	}
	return best
}

func (m FleetMember) toSeat() Seat {
	return Seat{ID: m.ID, Incarnation: m.Incarnation, Region: m.Region, FailureDomain: m.FailureDomain, Peer: m.Peer}
}

// ProcessID returns an identifier of the process that holds the seat, made of its ID and incarnation.
func (s Seat) ProcessID() string { return processID(s.ID, s.Incarnation) }

func processID(id string, incarnation uint64) string {
	return id + "/" + strconv.FormatUint(incarnation, 10)
}

func sameProcess(a, b Seat) bool { return a.ID == b.ID && a.Incarnation == b.Incarnation }
