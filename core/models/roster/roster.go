// Package roster describes the processes that an edge instance knows of: targets and other instances.
package roster

import "time"

// Place is the location of a process.
type Place struct {
	Region        string
	FailureDomain string
}

// Target is one incarnation of a back end, as the back end describes itself.
type Target struct {
	// ID identifies the incarnation, but a restarted target may reuse its earlier ID.
	ID      string
	Service string
	// Address is an IP address and port, which another target may use later.
	Address string
	Place   Place
	// Slots is the number of requests that the target runs concurrently; positive.
	Slots int
	// Leaving is true for a target that must receive no new requests.
	Leaving bool
	// Started is the start time of the incarnation in Unix milliseconds. ReportSequence is the sequence number of the
	// target's latest report in this incarnation.
	Started        int64
	ReportSequence int64
	// ColdUntil is the time at which the target becomes warm; zero for a warm target.
	ColdUntil time.Time
	// Revision is the store's revision of this description.
	Revision uint64
}

// Supersedes reports whether this description of a target is newer than another one with the same ID.
func (t Target) Supersedes(old Target) bool {
	if t.Revision <= old.Revision {
		return false
	}
	if t.Started != old.Started {
		return t.Started > old.Started
	}
	return t.ReportSequence >= old.ReportSequence
}

// Instance is an instance of this system, which may be the current process.
type Instance struct {
	ID    string
	Place Place
	// Caller is the address for callers, Peer the address for other instances; Peer is empty if they cannot call it.
	Caller string
	Peer   string
	// Capacity is the relative capacity for the requests of callers; zero if it is unknown.
	Capacity float64
}
