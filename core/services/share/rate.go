package share

import (
	"slices"
	"time"
)

// rate is the state of one rate account at one process.
type rate struct {
	limit Limit
	// total is the limit in whole parts.
	total allowance
	// portion is what this process owns; what it has lent is still part of it.
	portion allowance
	// lent is the sum of the loans given; it exceeds the portion only after the portion has shrunk.
	lent allowance
	// held is the sum of the loans taken that have not expired.
	held allowance
	// bucket has the allowance portion - lent + held, or zero where that is negative.
	bucket bucket
	// loans are those given, by borrower.
	loans map[borrower]*rateLoan
	// holdings are those taken, by lender.
	holdings map[string]*rateHolding
	// passed are the tokens given to others for a moment; they count as lent until their end.
	passed []passedTokens
	// waiting is true after a take was refused, until one succeeds or passed tokens come.
	waiting bool
	// unneeded holds the question by whose answer tokens were passed that nobody waits for any more, by lender.
	unneeded map[string]uint64
	// nextExpiry is the earliest expiry among holdings; zero if there is none.
	nextExpiry time.Time
	// demand estimates the tokens asked for and missed those refused, both a second.
	demand, missed demand
	// before holds earlier totals, which bound the portion too until the time in beforeUntil: the burst decides to how
	// many seats the account is dealt, and others may not know of its change yet.
	before      []allowance
	beforeUntil time.Time
	// largest is the most tokens asked for at once lately.
	largest int64
}

// borrower names a process that borrows; the nonce tells it from a predecessor of the same name.
type borrower struct {
	id    string
	nonce uint64
}

// rateLoan is a loan given.
type rateLoan struct {
	allowance
	// need is what the borrower asked for last.
	need allowance
	// until is when the borrower has certainly stopped using the loan.
	until time.Time
}

// passedTokens are tokens given to a waiting request of another process.
type passedTokens struct {
	tokens int64
	// to and sequence name the receiver and its question.
	to       borrower
	sequence uint64
	// until is when the receiver has certainly stopped using them.
	until time.Time
}

// rateHolding is a loan taken.
type rateHolding struct {
	allowance
	// expires is counted from when the question was sent, on this process's clock.
	expires time.Time
}

func newRate(limit Limit, now time.Time) *rate {
	return &rate{
		bucket:   newBucket(allowance{}, now),
		loans:    map[borrower]*rateLoan{},
		unneeded: map[string]uint64{},
		holdings: map[string]*rateHolding{},
		demand:   newDemand(limit, now),
		missed:   newDemand(limit, now),
	}
}

// setLimit changes the limit; the zero limit takes everything away and keeps what was lent in mind.
func (r *rate) setLimit(limit Limit, now time.Time) {
	r.advance(now)
	r.limit = limit
	total := allowance{rate: tokensDown(limit.Rate), burst: tokensDown(limit.Burst)}
	if seatsFor(r.total.burst) != seatsFor(total.burst) {
		if r.total != (allowance{}) {
			r.before = append(r.before, r.total)
		}
		r.beforeUntil = now.Add(limitSpread)
	}
	r.total = total
	if limit.Rate == 0 {
		r.bucket.level = 0
	}
	r.demand.window = newDemand(limit, now).window
	r.missed.window = r.demand.window
}

// setPortion changes what this process owns.
func (r *rate) setPortion(portion allowance, now time.Time) {
	r.advance(now)
	r.portion = portion
	r.resize(now)
}

// missing reports whether a take of this process was refused within the given time.
func (r *rate) missing(term time.Duration, now time.Time) bool {
	return now.Sub(r.missed.updated) < term && r.missed.rate > 0
}

// lacks reports whether a request waits for tokens that this process does not have.
func (r *rate) lacks(now time.Time) bool { return r.waiting && r.missing(waitingTerm, now) }

// advance brings the state up to now: loans taken stop refilling at the moment of their expiry, and loans given come
// back empty.
func (r *rate) advance(now time.Time) {
	for !r.nextExpiry.IsZero() && !now.Before(r.nextExpiry) {
		r.bucket.refill(r.nextExpiry)
		r.dropExpired(r.nextExpiry)
	}
	r.bucket.refill(now)
}

// dropExpired forgets the holdings that have expired at the given time.
func (r *rate) dropExpired(at time.Time) {
	for lender, h := range r.holdings {
		if !at.Before(h.expires) {
			r.held = r.held.minus(h.allowance)
			delete(r.holdings, lender)
		}
	}
	r.schedule()
	r.resize(at)
}

// reclaim takes back the loans that have ended.
func (r *rate) reclaim(now time.Time) {
	r.advance(now)
	for b, loan := range r.loans {
		if !now.Before(loan.until) {
			r.lent = r.lent.minus(loan.allowance)
			delete(r.loans, b)
		}
	}
	r.passed = slices.DeleteFunc(r.passed, func(p passedTokens) bool {
		ended := !now.Before(p.until)
		if ended {
			r.lent.burst -= p.tokens
		}
		return ended
	})
	r.resize(now)
}

// size returns what the bucket should have.
func (r *rate) size() allowance {
	return r.portion.minus(r.lent).plus(r.held).atLeast(allowance{})
}

func (r *rate) resize(now time.Time) { r.bucket.resize(r.size(), now) }

func (r *rate) schedule() {
	r.nextExpiry = time.Time{}
	for _, h := range r.holdings {
		if r.nextExpiry.IsZero() || h.expires.Before(r.nextExpiry) {
			r.nextExpiry = h.expires
		}
	}
}

// take uses tokens if there are enough.
func (r *rate) take(n float64, now time.Time) bool {
	tokens := tokensUp(n)
	r.demand.add(n, now)
	r.largest = max(r.largest, tokens)
	r.advance(now)
	if r.limit.Rate == 0 || r.bucket.level < tokens {
		r.missed.add(n, now)
		r.waiting = true
		return false
	}
	r.waiting = false
	r.bucket.level -= tokens
	return true
}

// unused reports whether the account can be forgotten.
func (r *rate) unused() bool {
	return r.limit.Rate == 0 && len(r.loans) == 0 && len(r.holdings) == 0 && len(r.before) == 0 && len(r.passed) == 0
}
