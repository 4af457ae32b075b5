package share

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Ledger tracks what one process may use of every account. Until an epoch is set it owns the whole of every limit,
// which is correct only for a process that runs alone. Its methods may be called concurrently.
type Ledger struct {
	// Confirmed reports whether shares may be used and lent; nil means always. It must not call the ledger.
	Confirmed func() bool
	// RequestLoans sends a request to the process with the given ID; nil if there are no others. It must be set before
	// Run.
	RequestLoans func(ctx context.Context, lenderID string, request LoanRequest) (LoanReply, error)

	mu     sync.Mutex
	epochs epochState
	rates  map[Account]*rateAccount
	units  map[Account]*unitAccount
	// unitNeeds holds the groups of accounts of which units are needed, by the first account of each.
	unitNeeds map[Account]*unitNeed
	// lenders holds the processes that requests are sent to, by ID.
	lenders map[string]*lender
	// borrowers holds the processes that have sent requests recently.
	borrowers map[borrower]*borrowerState
	nonce     uint64
	// sequence is the number of the last request sent to any lender.
	sequence uint64
	// recomputeUntil is the time until which the owned shares change as time passes.
	recomputeUntil time.Time
	// notify is called, without the lock held, after tokens or units have become available.
	notify func()
	// wake starts a round of requests; it buffers at most one signal.
	wake chan struct{}
}

// NewLedger returns a ledger without accounts. notify is called after tokens or units have become available.
func NewLedger(notify func()) *Ledger {
	return &Ledger{
		rates: map[Account]*rateAccount{}, units: map[Account]*unitAccount{}, unitNeeds: map[Account]*unitNeed{},
		lenders: map[string]*lender{}, borrowers: map[borrower]*borrowerState{},
		nonce: rand.Uint64(), notify: notify, wake: make(chan struct{}, 1),
	}
}

// SetLimits replaces the limits of all accounts. A new rate account starts with an empty bucket.
func (l *Ledger) SetLimits(limits map[Account]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for a, r := range l.rates {
		if limits[a].Rate == 0 {
			r.setLimit(Limit{}, now)
		}
	}
	for a, u := range l.units {
		if limits[a].Units == 0 {
			u.setLimit(Limit{}, now)
		}
	}
	for a, limit := range limits {
		if limit.Units > 0 {
			l.unitAccount(a).setLimit(limit, now)
		} else if limit.Rate > 0 {
			l.rateAccount(a, limit, now).setLimit(limit, now)
		}
	}
	l.recomputeOwned(now)
}

// Take consumes n tokens of a rate account and reports whether it could. A refused take counts as demand.
func (l *Ledger) Take(a Account, n float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.rates[a]
	now := time.Now()
	if !ok || !l.confirmed() {
		return false
	}
	if r.take(n, now) {
		return true
	}
	l.wakeUp()
	return false
}

// Refund refunds tokens that were taken for a request that did not run, as far as no window can then exceed the limit.
// It must be called within a minute of the take.
func (l *Ledger) Refund(a Account, n float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.rates[a]; ok {
		r.advance(time.Now())
		r.bucket.refund(floorNanotokens(n))
	}
}

// Acquire puts a unit of an account in use and reports whether one was free.
func (l *Ledger) Acquire(a Account) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.units[a]
	now := time.Now()
	return ok && l.confirmed() && u.acquire(now)
}

// Release ends the use of a unit.
func (l *Ledger) Release(a Account) {
	l.mu.Lock()
	if u, ok := l.units[a]; ok && u.inUse > 0 {
		u.inUse--
	}
	l.mu.Unlock()
	l.notify()
}

// FreeUnits returns the number of units of an account that can be acquired without borrowing.
func (l *Ledger) FreeUnits(a Account) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.units[a]
	if !ok || u.limit.Units == 0 {
		return 0
	}
	return max(u.free(time.Now()), 0)
}

// RequestUnits requests n units of any of the accounts from the other processes. It returns at once; notify is called
// when units arrive. The slice must not be changed afterwards.
func (l *Ledger) RequestUnits(accounts []Account, n int) {
	if len(accounts) == 0 || n <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.unitNeeds[accounts[0]] = &unitNeed{accounts: accounts, units: n, since: now}
	l.recallUnits(accounts, borrower{}, now)
	l.wakeUp()
}

func (l *Ledger) confirmed() bool { return l.Confirmed == nil || l.Confirmed() }

func (l *Ledger) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// recomputeOwned recomputes the owned shares of all accounts.
func (l *Ledger) recomputeOwned(now time.Time) {
	l.recomputeUntil = now
	for a, r := range l.rates {
		r.reclaimExpired(now)
		owned := l.epochs.ownedAllowance(a, r.total, now)
		if a.Kind != KindTeam || !now.Before(r.previousTotalsUntil) {
			r.previousTotals = nil
		}
		for _, total := range r.previousTotals {
			owned = owned.atMost(l.epochs.ownedAllowance(a, total, now))
			l.recomputeUntil = later(l.recomputeUntil, r.previousTotalsUntil)
		}
		r.setOwned(owned, now)
	}
	hold := time.Duration(0)
	for a, u := range l.units {
		hold = max(hold, u.limit.Hold)
		u.advance(now)
		u.owned = l.epochs.ownedUnits(a, u.limit.Units, u.limit.Region, u.limit.Hold, now)
		if !now.Before(u.previousRegionsUntil) {
			u.previousRegions = nil
		}
		for _, region := range u.previousRegions {
			u.owned = min(u.owned, l.epochs.ownedUnits(a, u.limit.Units, region, u.limit.Hold, now))
			l.recomputeUntil = later(l.recomputeUntil, u.previousRegionsUntil)
		}
	}
	if !l.epochs.activatedAt.IsZero() && !l.epochs.settled {
		l.recomputeUntil = later(l.recomputeUntil, l.epochs.activatedAt.Add(lenderLoanTTL+hold))
	}
}

// reclaimExpired reclaims expired loans and removes accounts that are no longer used.
func (l *Ledger) reclaimExpired(now time.Time) {
	for a, r := range l.rates {
		r.reclaimExpired(now)
		if r.unused() {
			delete(l.rates, a)
		}
	}
	for a, u := range l.units {
		u.advance(now)
		if u.unused(now) {
			delete(l.units, a)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (l *Ledger) rateAccount(a Account, limit Limit, now time.Time) *rateAccount {
	r, ok := l.rates[a]
	if !ok {
		r = newRateAccount(limit, now)
		l.rates[a] = r
	}
	return r
}

func (l *Ledger) unitAccount(a Account) *unitAccount {
	u, ok := l.units[a]
	if !ok {
		u = newUnitAccount()
		l.units[a] = u
	}
	return u
}
