package share

import (
	"slices"
	"time"
)

const (
	// needTTL is how long a need counts after the request that reported it.
	needTTL = 400 * time.Millisecond
	// minPassedTokens is the least amount that is passed to a waiting client request, in nanotokens.
	minPassedTokens = nanotokensPerToken / 4
	// borrowerTTL is how long a borrower is remembered after its last request.
	borrowerTTL = 10 * time.Minute
)

// borrowerState is the lender's state for one borrower.
type borrowerState struct {
	// lastSequence is the sequence of the last request that was handled.
	lastSequence uint64
	lastRequest  time.Time
}

// Lend handles a request from another process. What the reply grants is deducted here before the reply is sent, so a
// lost or late reply costs only the lender.
func (l *Ledger) Lend(request LoanRequest) LoanReply {
	reply, freed := l.handleRequest(request)
	if freed {
		l.notify()
	}
	return reply
}

// handleRequest is Lend without the notification. It also reports whether tokens or units were returned.
func (l *Ledger) handleRequest(request LoanRequest) (reply LoanReply, freed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	from := borrower{id: request.From, nonce: request.Nonce}
	if !l.acceptSequence(from, request.Sequence, now) || !l.confirmed() {
		return LoanReply{}, false
	}
	l.handleRecall(request)
	for _, r := range request.Rates {
		if loan, ok := l.lendRate(from, request.Sequence, r, now); ok {
			reply.Rates = append(reply.Rates, loan)
		}
		freed = freed || r.Level > 0
	}
	for _, report := range request.Units {
		if u, ok := l.units[report.Account]; ok && u.returnUnits(from, report.Held, now) {
			freed = true
		}
	}
	reply.Units = l.lendUnits(from, request, now)
	return reply, freed
}

// acceptSequence reports whether a request is newer than all earlier ones of the borrower.
func (l *Ledger) acceptSequence(from borrower, sequence uint64, now time.Time) bool {
	state, ok := l.borrowers[from]
	if !ok {
		state = &borrowerState{}
		l.borrowers[from] = state
	}
	if sequence <= state.lastSequence {
		return false
	}
	state.lastSequence, state.lastRequest = sequence, now
	return true
}

// handleRecall makes a request to the sender due at once, in which this process returns what it does not need.
func (l *Ledger) handleRecall(request LoanRequest) {
	if p, ok := l.lenders[request.From]; ok && len(request.Recall) > 0 && !p.requestDue {
		p.requestDue = true
		l.wakeUp()
	}
}

// lendRate updates the borrower's loan of one rate account and returns what it may use from now on.
func (l *Ledger) lendRate(from borrower, sequence uint64, request RateRequest, now time.Time) (RateLoan, bool) {
	r, ok := l.rates[request.Account]
	if !ok {
		return RateLoan{}, false
	}
	r.reclaimExpired(now)
	r.reclaimPassed(from, request.Unneeded, now)
	loan, ok := r.loansByBorrower[from]
	if !ok {
		loan = &lentRate{}
		r.loansByBorrower[from] = loan
	}
	held := allowance{rate: max(request.HeldRate, 0), burst: max(request.HeldBurst, 0)}.atMost(loan.allowance)
	r.lent = r.lent.minus(loan.allowance).plus(held)
	loan.allowance = held
	loan.need = allowance{rate: max(request.NeedRate, 0), burst: max(request.NeedBurst, 0)}
	loan.reclaimAt = now.Add(lenderLoanTTL)
	r.resize(now)
	r.bucket.add(request.Level, now)
	fairShare := r.fairShare(from, now)
	granted := fairShare.atMost(held.plus(r.lendable(now)))
	total := granted.atLeast(held)
	level := r.growLoan(loan, total, now)
	if !fairShare.within(granted) {
		l.recallAboveFairShare(r, from, now)
	}
	passed := r.passTokens(passedTokens{tokens: request.Waiting - level, to: from, sequence: sequence}, now)
	return RateLoan{Account: request.Account, Rate: granted.rate, Burst: granted.burst, Level: level, Passed: passed}, true
}

// growLoan raises a loan to the granted amount. It returns the tokens that move with the burst: the same fraction of
// the level as of the burst.
func (r *rateAccount) growLoan(loan *lentRate, granted allowance, now time.Time) int64 {
	added := granted.minus(loan.allowance)
	var tokens int64
	if added.burst > 0 && r.bucket.burst > 0 {
		tokens = mulDiv(r.bucket.level, added.burst, r.bucket.burst)
		r.bucket.level -= tokens
	}
	r.lent = r.lent.plus(added)
	loan.allowance = granted
	r.resize(now)
	return tokens
}

// passTokens lends tokens for a short time, with the burst that they need, unless a client request waits for them
// here. It returns the amount.
func (r *rateAccount) passTokens(p passedTokens, now time.Time) int64 {
	available := r.owned.minus(r.lent)
	p.tokens = min(p.tokens, available.burst, r.bucket.level)
	if p.tokens < minPassedTokens || r.waitingForTokens(now) {
		return 0
	}
	p.reclaimAt = now.Add(lenderPassedTTL)
	r.bucket.level -= p.tokens
	r.lent.burst += p.tokens
	r.passed = append(r.passed, p)
	r.resize(now)
	return p.tokens
}

// reclaimPassed puts back passed tokens that the receiver did not need, unless they have expired before.
func (r *rateAccount) reclaimPassed(from borrower, sequence uint64, now time.Time) {
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

// lendable returns what this process owns, has not lent and does not need itself.
func (r *rateAccount) lendable(now time.Time) allowance {
	return r.owned.minus(r.lent).minus(r.localNeed(now).atMost(r.owned)).atLeast(allowance{})
}

// fairShare returns one borrower's share when what this process does not need itself is divided by max-min fairness.
func (r *rateAccount) fairShare(to borrower, now time.Time) allowance {
	supply := r.owned.minus(r.localNeed(now).atMost(r.owned))
	rates := make([]int64, 0, len(r.loansByBorrower))
	bursts := make([]int64, 0, len(r.loansByBorrower))
	for b, loan := range r.loansByBorrower {
		if b != to && loan.reclaimAt.Sub(now) > lenderLoanTTL-needTTL {
			rates = append(rates, loan.need.rate)
			bursts = append(bursts, loan.need.burst)
		}
	}
	need := r.loansByBorrower[to].need
	return allowance{rate: maxMinShare(supply.rate, need.rate, rates), burst: maxMinShare(supply.burst, need.burst, bursts)}
}

// maxMinShare returns the max-min fair share of one need when a supply is divided among it and other needs.
func maxMinShare(supply, need int64, others []int64) int64 {
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

// recallForLocalNeed recalls loans that this process needs itself.
func (l *Ledger) recallForLocalNeed(now time.Time) {
	for _, r := range l.rates {
		if len(r.loansByBorrower) > 0 && !r.localNeed(now).atMost(r.owned).within(r.owned.minus(r.lent)) {
			l.recallAboveFairShare(r, borrower{}, now)
		}
	}
}

// recallExcess recalls loans that exceed the owned share.
func (l *Ledger) recallExcess() {
	for _, r := range l.rates {
		if !r.lent.within(r.owned) {
			for b := range r.loansByBorrower {
				l.recall(b)
			}
		}
	}
	for _, u := range l.units {
		if u.lent > u.owned {
			for b := range u.loansByBorrower {
				l.recall(b)
			}
		}
	}
}

// recallAboveFairShare recalls the loans that exceed the fair share of their borrower.
func (l *Ledger) recallAboveFairShare(r *rateAccount, except borrower, now time.Time) {
	for b, loan := range r.loansByBorrower {
		if b != except && !loan.within(r.fairShare(b, now)) {
			l.recall(b)
		}
	}
}

// recall asks a borrower to send a request at once, in which it returns what it does not need.
func (l *Ledger) recall(b borrower) {
	p, ok := l.lenders[b.id]
	if !ok {
		p = &lender{id: b.id, interval: minRequestInterval}
		l.lenders[b.id] = p
	}
	if !p.recallDue {
		p.recallDue = true
		l.wakeUp()
	}
}

// lendUnits lends requested units and renews the borrower's loans.
func (l *Ledger) lendUnits(from borrower, request LoanRequest, now time.Time) []UnitLoan {
	touched := make(map[Account]bool, len(request.Units))
	for _, report := range request.Units {
		touched[report.Account] = true
	}
	for _, wanted := range request.Wants {
		l.lendWanted(from, wanted, touched, now)
	}
	loans := make([]UnitLoan, 0, len(touched))
	for a := range touched {
		u, ok := l.units[a]
		if !ok {
			continue
		}
		if loan, ok := u.renewLoan(from, now); ok {
			loan.Account = a
			loans = append(loans, loan)
		}
	}
	return loans
}

// lendWanted lends units of the accounts that have the most lendable ones.
func (l *Ledger) lendWanted(from borrower, wanted UnitRequest, touched map[Account]bool, now time.Time) {
	missing := wanted.Units
	for ; missing > 0; missing-- {
		var best Account
		most := 0
		for _, a := range wanted.Accounts {
			if u, ok := l.units[a]; ok && u.lendable(now) > most {
				best, most = a, u.lendable(now)
			}
		}
		if most == 0 {
			break
		}
		l.units[best].lendUnit(from, now)
		touched[best] = true
	}
	if missing > 0 {
		l.recallUnits(wanted.Accounts, from, now)
	}
}

// recallUnits records a shortage of the accounts and asks the other borrowers to return units that they don't use.
func (l *Ledger) recallUnits(accounts []Account, requester borrower, now time.Time) {
	for _, a := range accounts {
		u, ok := l.units[a]
		if !ok {
			continue
		}
		u.recordShortage(requester, now)
		for b := range u.loansByBorrower {
			if b != requester {
				l.recall(b)
			}
		}
	}
}

// recordShortage records that a process needs units that are lent to others.
func (u *unitAccount) recordShortage(requester borrower, now time.Time) {
	if now.Sub(u.shortageAt) < needTTL && u.shortageBorrower != requester {
		requester = borrower{}
	}
	u.shortageAt, u.shortageBorrower = now, requester
}

// returnUnits takes back units that the borrower no longer holds and reports whether there were any.
func (u *unitAccount) returnUnits(from borrower, held int, now time.Time) bool {
	u.advance(now)
	loan, ok := u.loansByBorrower[from]
	if !ok || held >= loan.units {
		return false
	}
	u.lent -= loan.units - max(held, 0)
	loan.units = max(held, 0)
	return true
}

// lendable returns the units that this process owns and that are free.
func (u *unitAccount) lendable(now time.Time) int {
	u.advance(now)
	if u.limit.Units == 0 {
		return 0
	}
	return min(u.owned-u.lent, u.free(now))
}

func (u *unitAccount) lendUnit(to borrower, now time.Time) {
	loan, ok := u.loansByBorrower[to]
	if !ok {
		loan = &lentUnits{reclaimAt: now.Add(lenderLoanTTL + u.limit.Hold)}
		u.loansByBorrower[to] = loan
	}
	loan.units++
	u.lent++
}

// renewLoan restarts the TTL of a loan and returns what the borrower may use.
func (u *unitAccount) renewLoan(from borrower, now time.Time) (UnitLoan, bool) {
	loan, ok := u.loansByBorrower[from]
	if !ok {
		return UnitLoan{}, false
	}
	if loan.units == 0 {
		delete(u.loansByBorrower, from)
		return UnitLoan{}, false
	}
	if u.limit.Units == 0 || u.lent > u.owned {
		return UnitLoan{Hold: u.limit.Hold, Recalled: true}, true
	}
	loan.hold = max(loan.hold, u.limit.Hold)
	loan.reclaimAt = now.Add(lenderLoanTTL + loan.hold)
	recalled := now.Sub(u.shortageAt) < needTTL && u.shortageBorrower != from
	return UnitLoan{Units: loan.units, Hold: u.limit.Hold, Recalled: recalled}, true
}

// forgetBorrowers removes borrowers that have not sent a request for borrowerTTL.
func (l *Ledger) forgetBorrowers(now time.Time) {
	for b, state := range l.borrowers {
		if now.Sub(state.lastRequest) > borrowerTTL {
			delete(l.borrowers, b)
		}
	}
}
