package share

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Ledger holds what one process may use of every account. Without an epoch it owns the whole of every limit, which is
// right only for a process that is alone.
type Ledger struct {
	// Confirmed reports whether shares may be used and lent; nil means always. It must not call the ledger.
	Confirmed func() bool
	// Ask sends a question to the process with the given seat; nil if there are no others. Set it before Run.
	Ask func(ctx context.Context, seat string, r LoanRequest) (LoanReply, error)

	mu    sync.Mutex
	reign reign
	rates map[Account]*rate
	units map[Account]*unit
	// wants are the groups of accounts of which units are needed, by the first account of each.
	wants map[Account]*want
	// lenders are the processes that are asked, by seat.
	lenders map[string]*lender
	// borrowers are the processes that have asked lately.
	borrowers map[borrower]*asker
	nonce     uint64
	// sequence is that of the last question sent to anybody.
	sequence uint64
	// dealing is until when portions change as time passes.
	dealing time.Time
	// notify is called, without the lock held, after something has become free.
	notify func()
	// wake starts a round of questions; it holds at most one signal.
	wake chan struct{}
}

// NewLedger returns a ledger without accounts; notify is called after something has become free.
func NewLedger(notify func()) *Ledger {
	return &Ledger{
		rates: map[Account]*rate{}, units: map[Account]*unit{}, wants: map[Account]*want{},
		lenders: map[string]*lender{}, borrowers: map[borrower]*asker{},
		nonce: rand.Uint64(), notify: notify, wake: make(chan struct{}, 1),
	}
}

// SetLimits replaces the limits of all accounts. A new rate account starts empty.
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
			l.unitOf(a).setLimit(limit, now)
		} else if limit.Rate > 0 {
			l.rateOf(a, limit, now).setLimit(limit, now)
		}
	}
	l.deal(now)
}

// Take uses n tokens of a rate account and reports whether it could. A refusal counts as demand.
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
	l.signal()
	return false
}

// Return gives back tokens that were taken for a request that did not run, as far as no window can then exceed the
// limit. It must be called within a minute of the take.
func (l *Ledger) Return(a Account, n float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.rates[a]; ok {
		r.advance(time.Now())
		r.bucket.giveBack(tokensDown(n))
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
	if u, ok := l.units[a]; ok && u.used > 0 {
		u.used--
	}
	l.mu.Unlock()
	l.notify()
}

// Free returns the number of units of an account that can be acquired without borrowing.
func (l *Ledger) Free(a Account) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.units[a]
	if !ok || u.limit.Units == 0 {
		return 0
	}
	return max(u.free(time.Now()), 0)
}

// Want asks the other processes for n units of any of the accounts, which must not be changed afterwards. It returns at
// once; notify tells of what came.
func (l *Ledger) Want(any []Account, n int) {
	if len(any) == 0 || n <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.wants[any[0]] = &want{accounts: any, units: n, since: now}
	l.contest(any, borrower{}, now)
	l.signal()
}

func (l *Ledger) confirmed() bool { return l.Confirmed == nil || l.Confirmed() }

func (l *Ledger) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// deal works out the portions.
func (l *Ledger) deal(now time.Time) {
	l.dealing = now
	for a, r := range l.rates {
		r.reclaim(now)
		portion := l.reign.allowance(a, r.total, now)
		if a.Kind != KindTeam || !now.Before(r.beforeUntil) {
			r.before = nil
		}
		for _, total := range r.before {
			portion = portion.atMost(l.reign.allowance(a, total, now))
			l.dealing = later(l.dealing, r.beforeUntil)
		}
		r.setPortion(portion, now)
	}
	hold := time.Duration(0)
	for a, u := range l.units {
		hold = max(hold, u.limit.Hold)
		u.advance(now)
		u.portion = l.reign.units(a, u.limit.Units, u.limit.Region, u.limit.Hold, now)
		if !now.Before(u.regionUntil) {
			u.regionsBefore = nil
		}
		for _, region := range u.regionsBefore {
			u.portion = min(u.portion, l.reign.units(a, u.limit.Units, region, u.limit.Hold, now))
			l.dealing = later(l.dealing, u.regionUntil)
		}
	}
	if !l.reign.activated.IsZero() && !l.reign.settled {
		l.dealing = later(l.dealing, l.reign.activated.Add(lenderTerm+hold))
	}
}

// reclaim takes back what has ended and forgets accounts that nobody needs any more.
func (l *Ledger) reclaim(now time.Time) {
	for a, r := range l.rates {
		r.reclaim(now)
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

func (l *Ledger) rateOf(a Account, limit Limit, now time.Time) *rate {
	r, ok := l.rates[a]
	if !ok {
		r = newRate(limit, now)
		l.rates[a] = r
	}
	return r
}

func (l *Ledger) unitOf(a Account) *unit {
	u, ok := l.units[a]
	if !ok {
		u = newUnit()
		l.units[a] = u
	}
	return u
}
