package ratepool

import "time"

// Request is a message of a child to its parent: a delegation of what the child holds, and a draw of tokens. Its fields are encoded
// with gob and keep their names.
type Request struct {
	// From is the ID of the sending instance, Incarnation identifies its process. Sequence increases with each message of the
	// sending node.
	From        string
	Incarnation uint64
	Sequence    uint64
	// ToRoot is true for a message of a domain collector to the root, false for one of a member to its domain collector.
	ToRoot bool
	// Stamp echoes the latest stamp of the parent's process StampIncarnation; both are zero without one.
	Stamp            time.Duration
	StampIncarnation uint64
	// Shares is what the child delegates. It replaces what earlier messages have delegated.
	Shares []Share
	// Except holds the parts of single teams' limits that are not delegated, by team.
	Except map[string]float64
	// Wants is the number of tokens requested, by team.
	Wants map[string]int
	// Release ends the delegation of earlier messages at once.
	Release bool
}

// Share is the delegation of the shares of some instances.
type Share struct {
	// Members is the number of instances; each owns the part 1/Instances of the limits.
	Members, Instances int
	// All is true if the shares of all teams are delegated, and false if only those are of which an equal part is small.
	All bool
	// ValidFor is how long after the echoed stamp the delegation ends.
	ValidFor time.Duration
}

// Reply is the response of a parent.
type Reply struct {
	// Incarnation identifies the process, Stamp is its boot time at the reply.
	Incarnation uint64
	Stamp       time.Duration
	// Grants is the number of tokens granted, by team.
	Grants map[string]int
	// Waits is the time until a further token may be available, for each team with fewer tokens than requested.
	Waits map[string]time.Duration
	// Top is true if the tokens are from buckets of the parent itself, false if the parent has drawn them in turn.
	Top bool
	// Accepted is true if the delegation in the message replaced the earlier one.
	Accepted bool
	// Released is true if the message ended the delegation, and neither this process nor one above it uses it any more.
	Released bool
}
