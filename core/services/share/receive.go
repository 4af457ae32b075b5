package share

import (
	"math"
	"math/bits"
	"slices"
	"strconv"
	"time"
)

// settle applies an answer, unless a later question has made it void, and reports whether it brought something.
func (l *Ledger) settle(q question, reply LoanReply, err error, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := q.to
	p.asking = false
	p.silent = err != nil
	if err != nil {
		return false
	}
	expires := q.expires()
	gained := false
	for _, loan := range reply.Rates {
		if r, ok := l.rates[loan.Account]; ok {
			more, less := r.receive(p.seat, loan, q, now)
			gained = gained || more
			p.due = p.due || less
		}
	}
	for _, loan := range reply.Units {
		if u, ok := l.units[loan.Account]; ok {
			p.due = p.due || (loan.Recalled && loan.Units == 0 && u.free(now) > 0)
			if n := u.receive(p.seat, loan, expires, now); n > 0 {
				gained = true
				l.fulfil(loan.Account, n)
			}
		}
	}
	if gained {
		p.gap = minAskGap
	} else {
		p.gap = min(2*p.gap, maxAskGap)
	}
	l.signal()
	return gained
}

// receive replaces what is held from a lender and reports whether it grew or shrank.
func (r *rate) receive(seat string, loan RateLoan, q question, now time.Time) (more, less bool) {
	r.advance(now)
	expires := q.expires()
	if !now.Before(expires) {
		return false, false
	}
	h, ok := r.holdings[seat]
	if !ok {
		h = &rateHolding{}
		r.holdings[seat] = h
	}
	next := allowance{rate: loan.Rate, burst: loan.Burst}
	more, less = !next.within(h.allowance), !h.within(next)
	r.held = r.held.minus(h.allowance).plus(next)
	h.allowance, h.expires = next, expires
	if next == (allowance{}) {
		delete(r.holdings, seat)
	}
	kept := r.keep(seat, loan.Passed, q, now)
	r.schedule()
	r.resize(now)
	r.bucket.add(loan.Level+kept, now)
	return more || loan.Level > 0 || kept > 0, less || kept < loan.Passed
}

// keep adds passed tokens to what is held until they end, each pass with an end of its own, and returns their number. If
// no request waits for them any more they are given up, which the next question to the lender says.
func (r *rate) keep(seat string, tokens int64, q question, now time.Time) int64 {
	expires := q.sent.Add(passTerm)
	if tokens <= 0 || !now.Before(expires) {
		return 0
	}
	if !r.lacks(now) {
		r.unneeded[seat] = q.request.Sequence
		return 0
	}
	r.waiting = r.bucket.level+tokens < r.largest
	passed := allowance{burst: tokens}
	name := seat + "@" + strconv.FormatUint(q.request.Sequence, 10)
	r.holdings[name] = &rateHolding{allowance: passed, expires: expires}
	r.held = r.held.plus(passed)
	return tokens
}

// receive renews what is held from a lender and returns by how much it grew. A loan that is smaller than what is held was
// given by a process that does not know of it; it leaves the old one to its end.
func (u *unit) receive(seat string, loan UnitLoan, expires, now time.Time) int {
	u.advance(now)
	if !now.Before(expires) || loan.Hold < u.limit.Hold {
		return 0
	}
	h, ok := u.holdings[seat]
	if !ok && loan.Units == 0 {
		return 0
	}
	if !ok {
		h = &unitHolding{}
		u.holdings[seat] = h
	}
	if loan.Units < h.units || loan.Units == 0 {
		h.recalled = h.recalled || loan.Recalled
		return 0
	}
	added := loan.Units - h.units
	if added > 0 {
		u.busy = now
	}
	h.units, h.expires, h.recalled = loan.Units, expires, loan.Recalled
	return added
}

// fulfil reduces the wants that an account belongs to.
func (l *Ledger) fulfil(a Account, n int) {
	for first, w := range l.wants {
		if !slices.Contains(w.accounts, a) {
			continue
		}
		w.units -= n
		if w.units <= 0 {
			delete(l.wants, first)
		}
		return
	}
}

// scale returns amount x part / whole, rounded down; zero if the whole is.
func scale(amount, part, whole int64) int64 {
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
