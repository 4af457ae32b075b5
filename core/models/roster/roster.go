// Package roster describes the processes that an edge instance knows of: targets and other instances.
package roster

import "time"

// Place is where a process runs.
type Place struct {
	Region        string
	FailureDomain string
}

// Target is one lifetime of a back end, as it describes itself.
type Target struct {
	// ID names the lifetime; a target may start again under the ID that it had.
	ID      string
	Service string
	// Address is an IP address and port, which another target may use later.
	Address string
	Place   Place
	// Slots is the number of requests that it runs at once; positive.
	Slots int
	// Leaving is true for a target that must receive no new work.
	Leaving bool
	// Started is when the lifetime began; Report counts what the target has said of itself in it.
	Started int64
	Report  int64
	// ColdUntil is when the target will have become warm; zero for a warm one.
	ColdUntil time.Time
	// Revision is the store's revision of this description.
	Revision uint64
}

// Supersedes reports whether this description of a target is newer than another of the same ID.
func (t Target) Supersedes(old Target) bool {
	if t.Revision <= old.Revision {
		return false
	}
	if t.Started != old.Started {
		return t.Started > old.Started
	}
	return t.Report >= old.Report
}

// Instance is another process of this system, or this one.
type Instance struct {
	ID    string
	Place Place
	// Caller is the address for callers and Peer the one for other instances; Peer is empty if they cannot call it.
	Caller string
	Peer   string
}
