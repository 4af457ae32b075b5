package share

import (
	"slices"
	"time"
)

const (
	// needTerm is how long a need counts after the question that reported it.
	needTerm = 400 * time.Millisecond
	// minPass is the least part of a token that is passed on.
	minPass = nanosPerToken / 4
	// borrowerTerm is how long a borrower that does not ask any more is remembered.
	borrowerTerm = 10 * time.Minute
)

// asker is what a lender remembers of a borrower.
type asker struct {
	// sequence is that of the last question answered.
	sequence uint64
	asked    time.Time
}

// Lend answers a question of another process. What the answer grants is taken from this process's own use before the
// answer leaves, so an answer that is lost or late costs only the lender.
func (l *Ledger) Lend(q LoanRequest) LoanReply {
	reply, freed := l.lend(q)
	if freed {
		l.notify()
	}
	return reply
}

// lend reports also whether something has come back.
func (l *Ledger) lend(q LoanRequest) (reply LoanReply, freed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	from := borrower{id: q.From, nonce: q.Nonce}
	if !l.accept(from, q.Sequence, now) || !l.confirmed() {
		return LoanReply{}, false
	}
	l.heedRecall(q)
	for _, r := range q.Rates {
		if loan, ok := l.lendRate(from, q.Sequence, r, now); ok {
			reply.Rates = append(reply.Rates, loan)
		}
		freed = freed || r.Level > 0
	}
	for _, held := range q.Units {
		if u, ok := l.units[held.Account]; ok && u.settle(from, held.Held, now) {
			freed = true
		}
	}
	reply.Units = l.lendUnits(from, q, now)
	return reply, freed
}

// accept reports whether a question is newer than all that the borrower sent before.
func (l *Ledger) accept(from borrower, sequence uint64, now time.Time) bool {
	a, ok := l.borrowers[from]
	if !ok {
		a = &asker{}
		l.borrowers[from] = a
	}
	if sequence <= a.sequence {
		return false
	}
	a.sequence, a.asked = sequence, now
	return true
}

// heedRecall makes this process ask soon about what it has borrowed and the sender needs back.
func (l *Ledger) heedRecall(q LoanRequest) {
	if p, ok := l.lenders[q.From]; ok && len(q.Recall) > 0 && !p.due {
		p.due = true
		l.signal()
	}
}

// lendRate settles the borrower's loan of one account and returns what it may use from now on.
func (l *Ledger) lendRate(from borrower, sequence uint64, q RateQuestion, now time.Time) (RateLoan, bool) {
	r, ok := l.rates[q.Account]
	if !ok {
		return RateLoan{}, false
	}
	r.reclaim(now)
	r.takeBack(from, q.Unneeded, now)
	loan, ok := r.loans[from]
	if !ok {
		loan = &rateLoan{}
		r.loans[from] = loan
	}
	held := allowance{rate: max(q.HeldRate, 0), burst: max(q.HeldBurst, 0)}.atMost(loan.allowance)
	r.lent = r.lent.minus(loan.allowance).plus(held)
	loan.allowance = held
	loan.need = allowance{rate: max(q.NeedRate, 0), burst: max(q.NeedBurst, 0)}
	loan.until = now.Add(lenderTerm)
	r.resize(now)
	r.bucket.add(q.Level, now)
	target := r.allot(from, now)
	granted := target.atMost(held.plus(r.spare(now)))
	out := granted.atLeast(held)
	level := r.lend(loan, out, now)
	if !target.within(granted) {
		l.recallRate(r, from, now)
	}
	passed := r.pass(passedTokens{tokens: q.Waiting - level, to: from, sequence: sequence}, now)
	return RateLoan{Account: q.Account, Rate: granted.rate, Burst: granted.burst, Level: level, Passed: passed}, true
}

// lend raises a loan and returns the tokens that go along: the same part of them as of the burst.
func (r *rate) lend(loan *rateLoan, out allowance, now time.Time) int64 {
	added := out.minus(loan.allowance)
	var level int64
	if added.burst > 0 && r.bucket.burst > 0 {
		level = scale(r.bucket.level, added.burst, r.bucket.burst)
		r.bucket.level -= level
	}
	r.lent = r.lent.plus(added)
	loan.allowance = out
	r.resize(now)
	return level
}

// pass gives tokens away for a moment, if no request waits for them here, with the burst that they need, and returns
// their number.
func (r *rate) pass(p passedTokens, now time.Time) int64 {
	own := r.portion.minus(r.lent)
	p.tokens = min(p.tokens, own.burst, r.bucket.level)
	if p.tokens < minPass || r.lacks(now) {
		return 0
	}
	p.until = now.Add(lenderPassTerm)
	r.bucket.level -= p.tokens
	r.lent.burst += p.tokens
	r.passed = append(r.passed, p)
	r.resize(now)
	return p.tokens
}

// takeBack puts passed tokens back that their receiver has given up, unless their term has ended before.
func (r *rate) takeBack(from borrower, sequence uint64, now time.Time) {
	i := slices.IndexFunc(r.passed, func(p passedTokens) bool { return p.to == from && p.sequence == sequence })
	if sequence == 0 || i < 0 {
		return
	}
	tokens := r.passed[i].tokens
	r.passed = slices.Delete(r.passed, i, i+1)
	r.lent.burst -= tokens
	r.resize(now)
	r.bucket.add(tokens, now)
}

// spare returns what this process neither has lent nor needs itself.
func (r *rate) spare(now time.Time) allowance {
	return r.portion.minus(r.lent).minus(r.desire(now).atMost(r.portion)).atLeast(allowance{})
}

// allot returns the part of one borrower when the portion is divided by max-min, after this process's own need.
func (r *rate) allot(from borrower, now time.Time) allowance {
	free := r.portion.minus(r.desire(now).atMost(r.portion))
	rates := make([]int64, 0, len(r.loans))
	bursts := make([]int64, 0, len(r.loans))
	for b, loan := range r.loans {
		if b != from && loan.until.Sub(now) > lenderTerm-needTerm {
			rates = append(rates, loan.need.rate)
			bursts = append(bursts, loan.need.burst)
		}
	}
	need := r.loans[from].need
	return allowance{rate: maxMin(free.rate, need.rate, rates), burst: maxMin(free.burst, need.burst, bursts)}
}

// maxMin returns what one need gets of a supply that it shares with others.
func maxMin(supply, need int64, others []int64) int64 {
	slices.Sort(others)
	for i, other := range others {
		fair := supply / int64(len(others)-i+1)
		if need <= fair || other > fair {
			return min(need, fair)
		}
		supply -= other
	}
	return min(need, supply)
}

// recallNeeded recalls what this process lacks itself.
func (l *Ledger) recallNeeded(now time.Time) {
	for _, r := range l.rates {
		if len(r.loans) > 0 && !r.desire(now).atMost(r.portion).within(r.portion.minus(r.lent)) {
			l.recallRate(r, borrower{}, now)
		}
	}
}

// recallExcess recalls what is lent beyond the portion.
func (l *Ledger) recallExcess() {
	for _, r := range l.rates {
		if !r.lent.within(r.portion) {
			for b := range r.loans {
				l.recall(b)
			}
		}
	}
	for _, u := range l.units {
		if u.lent > u.portion {
			for b := range u.loans {
				l.recall(b)
			}
		}
	}
}

// recallRate marks the loans that are larger than the part of their borrower.
func (l *Ledger) recallRate(r *rate, except borrower, now time.Time) {
	for b, loan := range r.loans {
		if b != except && !loan.within(r.allot(b, now)) {
			l.recall(b)
		}
	}
}

// recall asks a borrower to report at once.
func (l *Ledger) recall(b borrower) {
	p, ok := l.lenders[b.id]
	if !ok {
		p = &lender{seat: b.id, gap: minAskGap}
		l.lenders[b.id] = p
	}
	if !p.recall {
		p.recall = true
		l.signal()
	}
}

// lendUnits serves the borrower's wants and renews what it holds.
func (l *Ledger) lendUnits(from borrower, q LoanRequest, now time.Time) []UnitLoan {
	touched := make(map[Account]bool, len(q.Units))
	for _, held := range q.Units {
		touched[held.Account] = true
	}
	for _, w := range q.Wants {
		l.serve(from, w, touched, now)
	}
	loans := make([]UnitLoan, 0, len(touched))
	for a := range touched {
		u, ok := l.units[a]
		if !ok {
			continue
		}
		if loan, ok := u.renew(from, now); ok {
			loan.Account = a
			loans = append(loans, loan)
		}
	}
	return loans
}

// serve lends units of those accounts that have the most free ones.
func (l *Ledger) serve(from borrower, w UnitWant, touched map[Account]bool, now time.Time) {
	missing := w.Units
	for ; missing > 0; missing-- {
		var best Account
		most := 0
		for _, a := range w.Accounts {
			if u, ok := l.units[a]; ok && u.lendable(now) > most {
				best, most = a, u.lendable(now)
			}
		}
		if most == 0 {
			break
		}
		l.units[best].grant(from, now)
		touched[best] = true
	}
	if missing > 0 {
		l.contest(w.Accounts, from, now)
	}
}

// contest asks for the return of units that are lent and not used.
func (l *Ledger) contest(accounts []Account, by borrower, now time.Time) {
	for _, a := range accounts {
		u, ok := l.units[a]
		if !ok {
			continue
		}
		u.contest(by, now)
		for b := range u.loans {
			if b != by {
				l.recall(b)
			}
		}
	}
}

// contest notes that somebody needs units that are lent to others.
func (u *unit) contest(by borrower, now time.Time) {
	if now.Sub(u.contested) < needTerm && u.contestedBy != by {
		by = borrower{}
	}
	u.contested, u.contestedBy = now, by
}

// settle takes back what the borrower does not hold any more and reports whether that was something.
func (u *unit) settle(from borrower, held int, now time.Time) bool {
	u.advance(now)
	loan, ok := u.loans[from]
	if !ok || held >= loan.units {
		return false
	}
	u.lent -= loan.units - max(held, 0)
	loan.units = max(held, 0)
	return true
}

// lendable returns the units that are owned here and free.
func (u *unit) lendable(now time.Time) int {
	u.advance(now)
	if u.limit.Units == 0 {
		return 0
	}
	return min(u.portion-u.lent, u.free(now))
}

func (u *unit) grant(from borrower, now time.Time) {
	loan, ok := u.loans[from]
	if !ok {
		loan = &unitLoan{until: now.Add(lenderTerm + u.limit.Hold)}
		u.loans[from] = loan
	}
	loan.units++
	u.lent++
}

// renew starts the term of a loan again and returns its terms.
func (u *unit) renew(from borrower, now time.Time) (UnitLoan, bool) {
	loan, ok := u.loans[from]
	if !ok {
		return UnitLoan{}, false
	}
	if loan.units == 0 {
		delete(u.loans, from)
		return UnitLoan{}, false
	}
	if u.limit.Units == 0 || u.lent > u.portion {
		return UnitLoan{Hold: u.limit.Hold, Recalled: true}, true
	}
	loan.hold = max(loan.hold, u.limit.Hold)
	loan.until = now.Add(lenderTerm + loan.hold)
	recalled := now.Sub(u.contested) < needTerm && u.contestedBy != from
	return UnitLoan{Units: loan.units, Hold: u.limit.Hold, Recalled: recalled}, true
}

// forgetBorrowers drops what is known of processes that have not asked for long.
func (l *Ledger) forgetBorrowers(now time.Time) {
	for b, a := range l.borrowers {
		if now.Sub(a.asked) > borrowerTerm {
			delete(l.borrowers, b)
		}
	}
}
