// Package share accounts for limits that hold across the whole fleet: portions that belong to seats, and loans of them.
package share

import (
	"math"
	"time"
)

// Kind says what an account limits.
type Kind string

// The kinds of account. Teams, shifts and links have rates; the others have units.
const (
	KindTeam          Kind = "team"
	KindShift         Kind = "shift"
	KindLink          Kind = "link"
	KindTarget        Kind = "target"
	KindRegion        Kind = "region"
	KindFailureDomain Kind = "failure-domain"
)

// Account names one fleet-wide limit.
type Account struct {
	Kind Kind
	Name string
}

// Limit is what all instances together may use of an account.
type Limit struct {
	// Rate is in tokens a second and Burst in tokens; both are zero for an account of units.
	Rate  float64
	Burst float64
	// Units may be in use at once; zero for an account of a rate.
	Units int
	// Hold is the longest time that a unit may stay in use.
	Hold time.Duration
	// Region is whose seats own the units first; empty for no preference.
	Region string
}

// nanosPerToken is the number of the smallest parts, which all sums are made of, in a token. Whole parts have no
// rounding errors, so what is split and put together again is exactly what it was.
const nanosPerToken = 1e9

// tokensDown converts tokens to whole parts, never to more than was given.
func tokensDown(tokens float64) int64 { return int64(math.Floor(tokens * nanosPerToken)) }

// tokensUp converts tokens to whole parts, never to less than was given.
func tokensUp(tokens float64) int64 { return int64(math.Ceil(tokens * nanosPerToken)) }

// allowance is a rate in parts of tokens a second and a burst in parts of tokens.
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
