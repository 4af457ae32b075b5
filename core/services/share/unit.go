package share

import "time"

// limitSpread is how long instances may take to learn that a limit has changed; an instance that has not learned of a
// change by then is not confirmed.
const limitSpread = 10 * time.Second

// unit is the state of one account of units at one process.
type unit struct {
	limit Limit
	// portion is what this process owns; what it has lent is still part of it.
	portion int
	// lent is the sum of the loans given.
	lent int
	// used counts the units in use; used + lent exceeds portion + cover only after the portion has shrunk.
	used int
	// loans are those given, by borrower.
	loans map[borrower]*unitLoan
	// holdings are those taken, by lender.
	holdings map[string]*unitHolding
	// busy is when a unit was last asked for while none was free.
	busy time.Time
	// contested is when somebody last needed units that are lent.
	contested time.Time
	// contestedBy is the only one who did so lately; empty if it was this process or several did.
	contestedBy borrower
	// regionsBefore bound the portion too until regionUntil, after the account has moved or come back.
	regionsBefore []string
	regionUntil   time.Time
}

// unitLoan is a loan given.
type unitLoan struct {
	units int
	// hold is the longest time that the borrower may keep a unit in use.
	hold time.Duration
	// until is when every unit of the loan has certainly ended its use.
	until time.Time
}

// unitHolding is a loan taken.
type unitHolding struct {
	units int
	// expires is counted from when the question was sent; from then on units in use stay covered but none is put in use.
	expires time.Time
	// recalled is true after the lender has asked for the return of what is free.
	recalled bool
}

func newUnit() *unit {
	return &unit{loans: map[borrower]*unitLoan{}, holdings: map[string]*unitHolding{}}
}

// setLimit changes the limit; the zero limit takes everything away and keeps what is lent and in use in mind.
func (u *unit) setLimit(limit Limit, now time.Time) {
	if limit.Units == 0 {
		if u.limit.Units > 0 {
			u.leaveRegion(u.limit.Hold, now)
		}
		limit.Region = u.limit.Region
	}
	if u.limit.Units > 0 && limit.Region != u.limit.Region {
		u.leaveRegion(max(u.limit.Hold, limit.Hold), now)
	}
	limit.Hold = max(limit.Hold, u.limit.Hold)
	u.limit = limit
}

// leaveRegion notes that seats of the present region may use units for some time yet.
func (u *unit) leaveRegion(hold time.Duration, now time.Time) {
	u.regionsBefore = append(u.regionsBefore, u.limit.Region)
	u.regionUntil = later(u.regionUntil, now.Add(limitSpread+hold))
}

// advance keeps of the holdings that have expired only what covers units in use, and takes back loans that have ended. A
// holding without units stays until the lender has been told.
func (u *unit) advance(now time.Time) {
	for b, loan := range u.loans {
		if !now.Before(loan.until) {
			u.lent -= loan.units
			delete(u.loans, b)
		}
	}
	for lender, h := range u.holdings {
		if !now.Before(h.expires) {
			h.units = min(h.units, max(u.used+u.lent-u.portion-u.coverWithout(lender), 0))
		}
	}
}

// live returns the units of loans taken that may still be put in use.
func (u *unit) live(now time.Time) int {
	n := 0
	for _, h := range u.holdings {
		if now.Before(h.expires) {
			n += h.units
		}
	}
	return n
}

// cover returns the units of all loans taken, expired ones with units in use included.
func (u *unit) cover() int { return u.coverWithout("") }

func (u *unit) coverWithout(lender string) int {
	n := 0
	for id, h := range u.holdings {
		if id != lender {
			n += h.units
		}
	}
	return n
}

// free returns the units that can be put in use now; negative after the portion has shrunk or a loan has expired.
func (u *unit) free(now time.Time) int { return u.portion - u.lent + u.live(now) - u.used }

// acquire puts a unit in use if one is free.
func (u *unit) acquire(now time.Time) bool {
	if u.limit.Units == 0 || u.free(now) <= 0 {
		u.busy = now
		return false
	}
	u.used++
	return true
}

// unused reports whether the account can be forgotten.
func (u *unit) unused(now time.Time) bool {
	return u.limit.Units == 0 && u.used == 0 && len(u.loans) == 0 && len(u.holdings) == 0 && now.After(u.regionUntil)
}
