package share

import (
	"math"
	"math/bits"
	"slices"
	"strconv"
	"time"
)

// applyReply applies a reply and reports whether it brought tokens, units or a larger loan. Loans that expired before
// the reply arrived are ignored.
func (l *Ledger) applyReply(pending pendingRequest, reply LoanReply, err error, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := pending.lender
	p.awaitingReply = false
	p.unresponsive = err != nil
	if err != nil {
		return false
	}
	expiresAt := pending.loanExpiry()
	gained := false
	for _, loan := range reply.Rates {
		if r, ok := l.rates[loan.Account]; ok {
			grew, shrank := r.applyLoan(p.id, loan, pending, now)
			gained = gained || grew
			p.requestDue = p.requestDue || shrank
		}
	}
	for _, loan := range reply.Units {
		if u, ok := l.units[loan.Account]; ok {
			p.requestDue = p.requestDue || (loan.Recalled && loan.Units == 0 && u.free(now) > 0)
			if n := u.applyLoan(p.id, loan, expiresAt, now); n > 0 {
				gained = true
				l.reduceUnitNeeds(loan.Account, n)
			}
		}
	}
	if gained {
		p.interval = minRequestInterval
	} else {
		p.interval = min(2*p.interval, maxRequestInterval)
	}
	l.wakeUp()
	return gained
}

// applyLoan replaces what is borrowed from a lender and reports whether it grew or shrank.
func (r *rateAccount) applyLoan(lenderID string, loan RateLoan, pending pendingRequest, now time.Time) (grew, shrank bool) {
	r.advance(now)
	expiresAt := pending.loanExpiry()
	if !now.Before(expiresAt) {
		return false, false
	}
	current, ok := r.loansByLender[lenderID]
	if !ok {
		current = &borrowedRate{}
		r.loansByLender[lenderID] = current
	}
	next := allowance{rate: loan.Rate, burst: loan.Burst}
	grew, shrank = !next.within(current.allowance), !current.within(next)
	r.borrowed = r.borrowed.minus(current.allowance).plus(next)
	current.allowance, current.expiresAt = next, expiresAt
	if next == (allowance{}) {
		delete(r.loansByLender, lenderID)
	}
	passed := r.applyPassed(lenderID, loan.Passed, pending, now)
	r.updateNextExpiry()
	r.resize(now)
	r.bucket.add(loan.Level+passed, now)
	return grew || loan.Level > 0 || passed > 0, shrank || passed < loan.Passed
}

// applyPassed adds passed tokens as a loan with its own expiry and returns the amount. If no client request waits for
// them any more they are given up, which the next request to the lender reports.
func (r *rateAccount) applyPassed(lenderID string, tokens int64, pending pendingRequest, now time.Time) int64 {
	expiresAt := pending.sentAt.Add(passedTTL)
	if tokens <= 0 || !now.Before(expiresAt) {
		return 0
	}
	if !r.waitingForTokens(now) {
		r.unneeded[lenderID] = pending.request.Sequence
		return 0
	}
	r.waiting = r.bucket.level+tokens < r.largestTake
	passed := allowance{burst: tokens}
	key := lenderID + "@" + strconv.FormatUint(pending.request.Sequence, 10)
	r.loansByLender[key] = &borrowedRate{allowance: passed, expiresAt: expiresAt}
	r.borrowed = r.borrowed.plus(passed)
	return tokens
}

// applyLoan renews what is borrowed from a lender and returns the number of units added. A reply with fewer units than
// are held comes from a lender that does not know of the loan; the loan is then left to expire.
func (u *unitAccount) applyLoan(lenderID string, loan UnitLoan, expiresAt, now time.Time) int {
	u.advance(now)
	if !now.Before(expiresAt) || loan.Hold < u.limit.Hold {
		return 0
	}
	current, ok := u.loansByLender[lenderID]
	if !ok && loan.Units == 0 {
		return 0
	}
	if !ok {
		current = &borrowedUnits{}
		u.loansByLender[lenderID] = current
	}
	if loan.Units < current.units || loan.Units == 0 {
		current.recalled = current.recalled || loan.Recalled
		return 0
	}
	added := loan.Units - current.units
	if added > 0 {
		u.lastNeeded = now
	}
	current.units, current.expiresAt, current.recalled = loan.Units, expiresAt, loan.Recalled
	return added
}

// reduceUnitNeeds deducts n received units from one of the needs that include the account.
func (l *Ledger) reduceUnitNeeds(a Account, n int) {
	for first, need := range l.unitNeeds {
		if !slices.Contains(need.accounts, a) {
			continue
		}
		need.units -= n
		if need.units <= 0 {
			delete(l.unitNeeds, first)
		}
		return
	}
}

// mulDiv returns amount * part / whole, rounded down and at most amount. It returns zero if an argument is not
// positive.
func mulDiv(amount, part, whole int64) int64 {
	if whole <= 0 || part <= 0 || amount <= 0 {
		return 0
	}
	if part >= whole {
		return amount
	}
	high, low := bits.Mul64(uint64(amount), uint64(part))
	scaled, _ := bits.Div64(high, low, uint64(whole))
	return int64(min(scaled, math.MaxInt64))
}
