package share

import (
	"slices"
	"time"
)

// rateAccount is the state of one account with a rate in one process.
type rateAccount struct {
	limit Limit
	// total is the limit in nanotokens.
	total allowance
	// owned is the share that this process owns; it includes what is lent.
	owned allowance
	// lent is the sum of the loans to borrowers; it exceeds owned only after owned has shrunk.
	lent allowance
	// borrowed is the sum of the loans from lenders that have not expired.
	borrowed allowance
	// bucket has the allowance owned - lent + borrowed, or zero where that is negative.
	bucket bucket
	// loansByBorrower holds the loans that this process has given.
	loansByBorrower map[borrower]*lentRate
	// loansByLender holds the loans that this process has received.
	loansByLender map[string]*borrowedRate
	// passed holds tokens passed to client requests at other processes; they count as lent until they expire.
	passed []passedTokens
	// waiting is true from a refused take until a take succeeds or enough passed tokens arrive.
	waiting bool
	// unneeded holds, by lender, the sequence of the request whose reply passed tokens that no client request
	// waits for any more.
	unneeded map[string]uint64
	// nextExpiry is the earliest expiry among loansByLender; zero if there is none.
	nextExpiry time.Time
	// demand estimates the tokens requested per second, refused those that were refused.
	demand, refused rateEstimate
	// previousTotals holds earlier totals, which also bound the owned share until previousTotalsUntil. The burst
	// determines among how many seats a limit is divided, and other processes may not know of its change yet.
	previousTotals      []allowance
	previousTotalsUntil time.Time
	// largestTake is the largest take so far, refused ones included, in nanotokens.
	largestTake int64
}

// borrower identifies a borrowing process; the nonce distinguishes it from an earlier process with the same ID.
type borrower struct {
	id    string
	nonce uint64
}

// lentRate is a loan to a borrower.
type lentRate struct {
	allowance
	// need is what the borrower needed at its last request.
	need allowance
	// reclaimAt is when the borrower has certainly stopped using the loan.
	reclaimAt time.Time
}

// passedTokens are tokens lent for a short time to another process where a client request waits for them.
type passedTokens struct {
	tokens int64
	// to and sequence identify the receiver and its request.
	to       borrower
	sequence uint64
	// reclaimAt is when the receiver has certainly stopped using the tokens.
	reclaimAt time.Time
}

// borrowedRate is a loan from a lender.
type borrowedRate struct {
	allowance
	// expiresAt is counted from when the request was sent, on this process's clock.
	expiresAt time.Time
}

func newRateAccount(limit Limit, now time.Time) *rateAccount {
	return &rateAccount{
		bucket:          newBucket(allowance{}, now),
		loansByBorrower: map[borrower]*lentRate{},
		unneeded:        map[string]uint64{},
		loansByLender:   map[string]*borrowedRate{},
		demand:          newRateEstimate(limit, now),
		refused:         newRateEstimate(limit, now),
	}
}

// setLimit changes the limit. The zero limit takes the account out of use but still tracks its loans.
func (r *rateAccount) setLimit(limit Limit, now time.Time) {
	r.advance(now)
	r.limit = limit
	total := allowance{rate: floorNanotokens(limit.Rate), burst: floorNanotokens(limit.Burst)}
	if seatsForBurst(r.total.burst) != seatsForBurst(total.burst) {
		if r.total != (allowance{}) {
			r.previousTotals = append(r.previousTotals, r.total)
		}
		r.previousTotalsUntil = now.Add(limitPropagation)
	}
	r.total = total
	if limit.Rate == 0 {
		r.bucket.level = 0
	}
	r.demand.windowSeconds = newRateEstimate(limit, now).windowSeconds
	r.refused.windowSeconds = r.demand.windowSeconds
}

// setOwned changes the share that this process owns.
func (r *rateAccount) setOwned(owned allowance, now time.Time) {
	r.advance(now)
	r.owned = owned
	r.resize(now)
}

// refusedWithin reports whether a take of this process was refused within the given period before now.
func (r *rateAccount) refusedWithin(period time.Duration, now time.Time) bool {
	return now.Sub(r.refused.updatedAt) < period && r.refused.rate > 0
}

// waitingForTokens reports whether a client request waits for tokens that this process does not have.
func (r *rateAccount) waitingForTokens(now time.Time) bool {
	return r.waiting && r.refusedWithin(tokenWaitTime, now)
}

// advance brings the state up to now. A loan from a lender stops refilling the bucket at its expiry.
func (r *rateAccount) advance(now time.Time) {
	for !r.nextExpiry.IsZero() && !now.Before(r.nextExpiry) {
		r.bucket.refill(r.nextExpiry)
		r.dropExpired(r.nextExpiry)
	}
	r.bucket.refill(now)
}

// dropExpired removes the loans from lenders that have expired.
func (r *rateAccount) dropExpired(now time.Time) {
	for lenderID, loan := range r.loansByLender {
		if !now.Before(loan.expiresAt) {
			r.borrowed = r.borrowed.minus(loan.allowance)
			delete(r.loansByLender, lenderID)
		}
	}
	r.updateNextExpiry()
	r.resize(now)
}

// reclaimExpired takes back expired loans to borrowers; no tokens return with them.
func (r *rateAccount) reclaimExpired(now time.Time) {
	r.advance(now)
	for b, loan := range r.loansByBorrower {
		if !now.Before(loan.reclaimAt) {
			r.lent = r.lent.minus(loan.allowance)
			delete(r.loansByBorrower, b)
		}
	}
	r.passed = slices.DeleteFunc(r.passed, func(p passedTokens) bool {
		ended := !now.Before(p.reclaimAt)
		if ended {
			r.lent.burst -= p.tokens
		}
		return ended
	})
	r.resize(now)
}

// effectiveAllowance returns the allowance of the bucket.
func (r *rateAccount) effectiveAllowance() allowance {
	return r.owned.minus(r.lent).plus(r.borrowed).atLeast(allowance{})
}

func (r *rateAccount) resize(now time.Time) { r.bucket.resize(r.effectiveAllowance(), now) }

func (r *rateAccount) updateNextExpiry() {
	r.nextExpiry = time.Time{}
	for _, loan := range r.loansByLender {
		if r.nextExpiry.IsZero() || loan.expiresAt.Before(r.nextExpiry) {
			r.nextExpiry = loan.expiresAt
		}
	}
}

// take consumes tokens if there are enough.
func (r *rateAccount) take(n float64, now time.Time) bool {
	tokens := ceilNanotokens(n)
	r.demand.add(n, now)
	r.largestTake = max(r.largestTake, tokens)
	r.advance(now)
	if r.limit.Rate == 0 || r.bucket.level < tokens {
		r.refused.add(n, now)
		r.waiting = true
		return false
	}
	r.waiting = false
	r.bucket.level -= tokens
	return true
}

// unused reports whether the account can be removed.
func (r *rateAccount) unused() bool {
	return r.limit.Rate == 0 && len(r.loansByBorrower) == 0 && len(r.loansByLender) == 0 && len(r.previousTotals) == 0 && len(r.passed) == 0
}
