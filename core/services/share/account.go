// Package share divides fleet-wide limits among instances: each seat owns a share of every limit, and instances lend
// unused parts of their shares to one another.
package share

import (
	"math"
	"time"
)

// Kind is what an account limits.
type Kind string

// The kinds of accounts. Teams, shifts and links are limited by a rate; targets, regions and failure domains by a
// number of units in use at once, where each running request uses one. A shift limits a service's requests from one
// region to another, a link the bytes between two regions.
const (
	KindTeam          Kind = "team"
	KindShift         Kind = "shift"
	KindLink          Kind = "link"
	KindTarget        Kind = "target"
	KindRegion        Kind = "region"
	KindFailureDomain Kind = "failure-domain"
)

// Account identifies one fleet-wide limit.
type Account struct {
	Kind Kind
	Name string
}

// Limit is what all instances together may use of an account.
type Limit struct {
	// Rate is in tokens per second and Burst in tokens; both are zero for an account with units.
	Rate  float64
	Burst float64
	// Units is the number of units that may be in use at once; zero for an account with a rate.
	Units int
	// Hold is the longest time that a unit may stay in use.
	Hold time.Duration
	// Region is the region whose seats own the units; if it is empty or has no seats, all seats own them.
	Region string
}

// nanotokensPerToken is the number of nanotokens in a token. Amounts are integers in nanotokens, so that a limit which is
// divided and added up again is exactly the same.
const nanotokensPerToken = 1e9

// floorNanotokens converts tokens to nanotokens and rounds down.
func floorNanotokens(tokens float64) int64 { return int64(math.Floor(tokens * nanotokensPerToken)) }

// ceilNanotokens converts tokens to nanotokens and rounds up.
func ceilNanotokens(tokens float64) int64 { return int64(math.Ceil(tokens * nanotokensPerToken)) }

// allowance is a rate in nanotokens per second and a burst in nanotokens.
type allowance struct {
	rate, burst int64
}

func (a allowance) plus(b allowance) allowance { return allowance{a.rate + b.rate, a.burst + b.burst} }

func (a allowance) minus(b allowance) allowance { return allowance{a.rate - b.rate, a.burst - b.burst} }

func (a allowance) atLeast(b allowance) allowance {
	return allowance{max(a.rate, b.rate), max(a.burst, b.burst)}
}

func (a allowance) atMost(b allowance) allowance {
	return allowance{min(a.rate, b.rate), min(a.burst, b.burst)}
}

func (a allowance) within(b allowance) bool { return a.rate <= b.rate && a.burst <= b.burst }
