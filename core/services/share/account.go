// Package share accounts for limits that hold across the whole fleet: portions that belong to seats, and loans of them.
package share

import "time"

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
