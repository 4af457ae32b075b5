package share

import "time"

// limitPropagation is the longest time until instances learn of a changed limit. An instance that has not learned of a
// change by then is not confirmed.
const limitPropagation = 10 * time.Second

// unitAccount is the state of one account with units in one process.
type unitAccount struct {
	limit Limit
	// owned is the share that this process owns; it includes what is lent.
	owned int
	// lent is the sum of the loans to borrowers.
	lent int
	// inUse is the number of units in use. inUse + lent exceeds owned + borrowed() only after owned has shrunk.
	inUse int
	// loansByBorrower holds the loans that this process has given.
	loansByBorrower map[borrower]*lentUnits
	// loansByLender holds the loans that this process has received.
	loansByLender map[string]*borrowedUnits
	// lastNeeded is when a unit was last requested while none was free, or borrowed units last arrived.
	lastNeeded time.Time
	// shortageAt is when a process last needed units that are lent to others.
	shortageAt time.Time
	// shortageBorrower is the only borrower that caused a shortage within needTTL; empty if this process or several
	// borrowers did.
	shortageBorrower borrower
	// previousRegions also bound the owned share until previousRegionsUntil, after the region of the account has
	// changed or the account was deleted.
	previousRegions      []string
	previousRegionsUntil time.Time
}

// lentUnits is a loan to a borrower.
type lentUnits struct {
	units int
	// hold is the longest time that the borrower may keep a unit in use.
	hold time.Duration
	// reclaimAt is when the use of every unit of the loan has certainly ended.
	reclaimAt time.Time
}

// borrowedUnits is a loan from a lender.
type borrowedUnits struct {
	units int
	// expiresAt is counted from when the request was sent. After it, units in use stay covered but none is put in use.
	expiresAt time.Time
	// recalled is true after the lender has asked for the return of free units.
	recalled bool
}

func newUnitAccount() *unitAccount {
	return &unitAccount{loansByBorrower: map[borrower]*lentUnits{}, loansByLender: map[string]*borrowedUnits{}}
}

// setLimit changes the limit. The zero limit takes the account out of use but still tracks its loans and its units in
// use.
func (u *unitAccount) setLimit(limit Limit, now time.Time) {
	if limit.Units == 0 {
		if u.limit.Units > 0 {
			u.recordPreviousRegion(u.limit.Hold, now)
		}
		limit.Region = u.limit.Region
	}
	if u.limit.Units > 0 && limit.Region != u.limit.Region {
		u.recordPreviousRegion(max(u.limit.Hold, limit.Hold), now)
	}
	limit.Hold = max(limit.Hold, u.limit.Hold)
	u.limit = limit
}

// recordPreviousRegion records that the seats of the current region may use units for some more time.
func (u *unitAccount) recordPreviousRegion(hold time.Duration, now time.Time) {
	u.previousRegions = append(u.previousRegions, u.limit.Region)
	u.previousRegionsUntil = later(u.previousRegionsUntil, now.Add(limitPropagation+hold))
}

// advance takes back expired loans to borrowers and reduces expired loans from lenders to what covers units in use. An
// empty loan from a lender is kept until the lender has been told.
func (u *unitAccount) advance(now time.Time) {
	for b, loan := range u.loansByBorrower {
		if !now.Before(loan.reclaimAt) {
			u.lent -= loan.units
			delete(u.loansByBorrower, b)
		}
	}
	for lenderID, loan := range u.loansByLender {
		if !now.Before(loan.expiresAt) {
			loan.units = min(loan.units, max(u.inUse+u.lent-u.owned-u.borrowedExcept(lenderID), 0))
		}
	}
}

// unexpiredBorrowed returns the borrowed units that may still be put in use.
func (u *unitAccount) unexpiredBorrowed(now time.Time) int {
	n := 0
	for _, loan := range u.loansByLender {
		if now.Before(loan.expiresAt) {
			n += loan.units
		}
	}
	return n
}

// borrowed returns all borrowed units, including those of expired loans that cover units in use.
func (u *unitAccount) borrowed() int { return u.borrowedExcept("") }

func (u *unitAccount) borrowedExcept(lenderID string) int {
	n := 0
	for id, loan := range u.loansByLender {
		if id != lenderID {
			n += loan.units
		}
	}
	return n
}

// free returns the units that can be put in use now. It is negative after the owned share has shrunk or a loan has
// expired.
func (u *unitAccount) free(now time.Time) int {
	return u.owned - u.lent + u.unexpiredBorrowed(now) - u.inUse
}

// acquire puts a unit in use if one is free.
func (u *unitAccount) acquire(now time.Time) bool {
	if u.limit.Units == 0 || u.free(now) <= 0 {
		u.lastNeeded = now
		return false
	}
	u.inUse++
	return true
}

// unused reports whether the account can be removed.
func (u *unitAccount) unused(now time.Time) bool {
	return u.limit.Units == 0 && u.inUse == 0 && len(u.loansByBorrower) == 0 && len(u.loansByLender) == 0 && now.After(u.previousRegionsUntil)
}
