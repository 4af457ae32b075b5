package share

import (
	"context"
	"time"
)

const (
	// roundInterval is the longest pause between two rounds of requests.
	roundInterval = 50 * time.Millisecond
	// renewInterval is the pause between requests that only renew loans.
	renewInterval = 250 * time.Millisecond
	// minRequestInterval and maxRequestInterval bound the pause between urgent requests to one lender. The pause
	// doubles after each reply without a new loan.
	minRequestInterval = 5 * time.Millisecond
	maxRequestInterval = 200 * time.Millisecond
	// requestTimeout is how long a reply is awaited.
	requestTimeout = 250 * time.Millisecond
	// idleUnitTimeout is how long borrowed units are kept after the last time that units were needed.
	idleUnitTimeout = 300 * time.Millisecond
	// unitNeedTTL is how long a need for units is sent to the lenders.
	unitNeedTTL = 250 * time.Millisecond
	// unitNeedFactor is the ratio of the units requested from all lenders together to the units needed, since some
	// lenders have none free.
	unitNeedFactor = 2
	// tokenWaitTime is how long after a refused take a client request is assumed to wait for tokens.
	tokenWaitTime = 25 * time.Millisecond
	// urgentRefusalAge is how long a refused take makes requests urgent.
	urgentRefusalAge = 100 * time.Millisecond
	// demandHeadroom is the ratio of the rate that is requested to the estimated demand.
	demandHeadroom = 1.25
	// burstHeadroom is the same ratio for bursts; it is larger because bursts vary more.
	burstHeadroom = 2
	// minWindowArrivals is the number of arrivals within the window of the estimate below which demand counts as zero.
	minWindowArrivals = 0.05
)

// unitNeed is a need for units of any of the accounts.
type unitNeed struct {
	accounts []Account
	units    int
	since    time.Time
}

// lender is the borrower's state for one process that it sends requests to.
type lender struct {
	id string
	// awaitingReply is true while a request is in flight; no other request is sent to this lender meanwhile.
	awaitingReply bool
	// lastRequest is when the last request was sent.
	lastRequest time.Time
	// interval is the pause before the next urgent request.
	interval time.Duration
	// unresponsive is true after a request that failed, until the next reply.
	unresponsive bool
	// requestDue causes a request at once; recallDue causes one that recalls loans which this process has given.
	requestDue, recallDue bool
}

// pendingRequest is a request that is to be sent or awaits its reply.
type pendingRequest struct {
	lender  *lender
	request LoanRequest
	sentAt  time.Time
}

// loanExpiry returns when the loans in the reply expire. Their TTL starts when the request is sent.
func (p pendingRequest) loanExpiry() time.Time { return p.sentAt.Add(loanTTL) }

// Run sends loan requests to the other processes until the context is canceled.
func (l *Ledger) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		requests, pause := l.runRound(time.Now())
		for _, pending := range requests {
			go l.sendRequest(ctx, pending)
		}
		timer.Reset(pause)
		select {
		case <-timer.C:
		case <-l.wake:
		case <-ctx.Done():
			return nil
		}
	}
}

// sendRequest sends one request and applies its reply.
func (l *Ledger) sendRequest(ctx context.Context, pending pendingRequest) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reply, err := l.RequestLoans(ctx, pending.lender.id, pending.request)
	if l.applyReply(pending, reply, err, time.Now()) {
		l.notify()
	}
}

// runRound updates the accounts and returns the requests that are due and the pause before the next round.
func (l *Ledger) runRound(now time.Time) ([]pendingRequest, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.After(l.recomputeUntil.Add(2 * roundInterval)) {
		l.recomputeOwned(now)
	}
	l.reclaimExpired(now)
	l.forgetBorrowers(now)
	if l.RequestLoans == nil || !l.confirmed() {
		return nil, roundInterval
	}
	l.updateLenders()
	l.recallForLocalNeed(now)
	urgent := l.hasUrgentNeed(now)
	pause := roundInterval
	var requests []pendingRequest
	for _, p := range l.lenders {
		if p.awaitingReply {
			continue
		}
		if wait := p.requestDelay(urgent, now); wait > 0 {
			pause = min(pause, wait)
			continue
		}
		if request, ok := l.buildRequest(p, urgent, now); ok {
			l.sequence++
			p.awaitingReply, p.lastRequest = true, now
			request.Sequence = l.sequence
			requests = append(requests, pendingRequest{lender: p, request: request, sentAt: now})
		}
		p.requestDue, p.recallDue = false, false
	}
	return requests, pause
}

// updateLenders adds a lender for each other seat. A lender that has lost its seat is kept while something is borrowed
// from it or a recall is due.
func (l *Ledger) updateLenders() {
	seated := map[string]bool{}
	for _, s := range l.epochs.current.Seats {
		if s.ID == l.epochs.self {
			continue
		}
		seated[s.ID] = true
		if l.lenders[s.ID] == nil {
			l.lenders[s.ID] = &lender{id: s.ID, interval: minRequestInterval}
		}
	}
	for id, p := range l.lenders {
		if !seated[id] && !p.awaitingReply && !p.recallDue && !l.borrowsFrom(id) {
			delete(l.lenders, id)
		}
	}
}

func (l *Ledger) borrowsFrom(lenderID string) bool {
	for _, r := range l.rates {
		if _, ok := r.loansByLender[lenderID]; ok {
			return true
		}
	}
	for _, u := range l.units {
		if _, ok := u.loansByLender[lenderID]; ok {
			return true
		}
	}
	return false
}

// requestDelay returns how long to wait before the next request.
func (p *lender) requestDelay(urgent bool, now time.Time) time.Duration {
	since := now.Sub(p.lastRequest)
	if since >= renewInterval {
		p.interval = minRequestInterval
	}
	switch {
	case p.requestDue:
		return 0
	case p.recallDue:
		return minRequestInterval - since
	case urgent && !p.unresponsive:
		return p.interval - since
	default:
		return renewInterval - since
	}
}

// hasUrgentNeed reports whether units are needed or a take was refused recently. It drops expired needs for units.
func (l *Ledger) hasUrgentNeed(now time.Time) bool {
	for a, need := range l.unitNeeds {
		if now.Sub(need.since) >= unitNeedTTL {
			delete(l.unitNeeds, a)
		}
	}
	if len(l.unitNeeds) > 0 {
		return true
	}
	for _, r := range l.rates {
		if r.refusedWithin(urgentRefusalAge, now) {
			return true
		}
	}
	return false
}

// buildRequest builds the request to one lender and releases what it returns. It reports false if there is nothing to
// send.
func (l *Ledger) buildRequest(p *lender, urgent bool, now time.Time) (LoanRequest, bool) {
	request := LoanRequest{From: l.epochs.self, Nonce: l.nonce}
	lenders := l.respondingLenders()
	for a, r := range l.rates {
		if entry, ok := r.buildRequest(p.id, lenders, now); ok {
			entry.Account = a
			request.Rates = append(request.Rates, entry)
		}
		if p.recallDue && r.lendsTo(p.id) {
			request.Recall = append(request.Recall, a)
		}
	}
	for a, u := range l.units {
		if held, ok := u.releaseUnneeded(p.id, now); ok {
			request.Units = append(request.Units, UnitReport{Account: a, Held: held})
		}
		if p.recallDue && u.lendsTo(p.id) {
			request.Recall = append(request.Recall, a)
		}
	}
	if urgent {
		for _, need := range l.unitNeeds {
			units := min((unitNeedFactor*need.units+int(lenders)-1)/int(lenders), need.units)
			request.Wants = append(request.Wants, UnitRequest{Accounts: need.accounts, Units: units})
		}
	}
	return request, len(request.Rates)+len(request.Units)+len(request.Wants)+len(request.Recall) > 0
}

// respondingLenders returns the number of lenders whose last request did not fail, but at least one.
func (l *Ledger) respondingLenders() int64 {
	n := int64(0)
	for _, p := range l.lenders {
		if !p.unresponsive {
			n++
		}
	}
	return max(n, 1)
}

// localNeed returns what this process would use of the account if no other process needed any of it.
func (r *rateAccount) localNeed(now time.Time) allowance {
	rate := r.demand.value(now)
	if r.limit.Rate == 0 || rate*r.demand.windowSeconds < minWindowArrivals {
		return allowance{}
	}
	fraction := min(1, rate*burstHeadroom/r.limit.Rate)
	refused := r.refused.value(now) * r.refused.windowSeconds
	burst := max(int64(fraction*float64(r.total.burst)), r.largestTake) + floorNanotokens(min(refused, r.limit.Burst))
	wanted := allowance{rate: floorNanotokens(min(rate*demandHeadroom, r.limit.Rate)), burst: burst}
	return wanted.atMost(r.total)
}

// buildRequest returns the part of a request to one lender that concerns this account. Tokens that it returns are
// removed from the bucket.
func (r *rateAccount) buildRequest(lenderID string, lenders int64, now time.Time) (RateRequest, bool) {
	r.reclaimExpired(now)
	loan, borrowing := r.loansByLender[lenderID]
	need := r.localNeed(now).minus(r.owned.minus(r.lent).atLeast(allowance{})).atLeast(allowance{})
	unneeded := r.unneeded[lenderID]
	if !borrowing && need == (allowance{}) && unneeded == 0 {
		return RateRequest{}, false
	}
	delete(r.unneeded, lenderID)
	var held allowance
	if borrowing {
		held = loan.allowance
	}
	fromLender := allowance{
		rate:  needPerLender(need.rate, r.borrowed.rate, held.rate, lenders),
		burst: needPerLender(need.burst, r.borrowed.burst, held.burst, lenders),
	}
	var level int64
	if borrowing && !held.within(fromLender) {
		held, level = r.shrinkLoan(lenderID, fromLender, now)
	}
	var waiting int64
	if r.waitingForTokens(now) {
		waiting = min(r.largestTake, r.total.burst)
	}
	return RateRequest{
		NeedRate: fromLender.rate, NeedBurst: fromLender.burst, HeldRate: held.rate, HeldBurst: held.burst,
		Waiting: waiting, Unneeded: unneeded, Level: level,
	}, true
}

// needPerLender returns what to request from one lender. A shortfall is divided evenly among the lenders; a surplus is
// returned only if it is at least a quarter of the total.
func needPerLender(need, total, held, lenders int64) int64 {
	if need >= total {
		return held + (need-total+lenders-1)/lenders
	}
	if need > total-total/4 {
		return held
	}
	return mulDiv(held, need, total)
}

// shrinkLoan reduces what is borrowed from a lender to a limit. It returns what is left of the loan and the tokens that
// are returned with the rest.
func (r *rateAccount) shrinkLoan(lenderID string, limit allowance, now time.Time) (allowance, int64) {
	loan := r.loansByLender[lenderID]
	kept := loan.atMost(limit)
	previous := r.bucket
	r.borrowed = r.borrowed.minus(loan.allowance).plus(kept)
	loan.allowance = kept
	if kept == (allowance{}) {
		delete(r.loansByLender, lenderID)
		r.updateNextExpiry()
	}
	r.bucket.level = mulDiv(previous.level, r.effectiveAllowance().burst, previous.burst)
	r.resize(now)
	return kept, previous.level - r.bucket.level
}

// lendsTo reports whether the process with the given ID has a loan of this account.
func (r *rateAccount) lendsTo(id string) bool {
	for b := range r.loansByBorrower {
		if b.id == id {
			return true
		}
	}
	return false
}

// releaseUnneeded returns the units still borrowed from a lender, after releasing those that are not needed. It reports
// false if there is no loan.
func (u *unitAccount) releaseUnneeded(lenderID string, now time.Time) (int, bool) {
	u.advance(now)
	loan, ok := u.loansByLender[lenderID]
	if !ok {
		return 0, false
	}
	if loan.recalled || now.Sub(u.lastNeeded) > idleUnitTimeout || u.limit.Units == 0 {
		loan.units -= min(loan.units, max(u.free(now), 0))
	}
	loan.recalled = false
	if loan.units == 0 {
		delete(u.loansByLender, lenderID)
		return 0, true
	}
	return loan.units, true
}

// lendsTo reports whether the process with the given ID has a loan of this account.
func (u *unitAccount) lendsTo(id string) bool {
	for b := range u.loansByBorrower {
		if b.id == id {
			return true
		}
	}
	return false
}
