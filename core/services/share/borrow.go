package share

import (
	"context"
	"time"
)

const (
	// tick is the pause between rounds when nothing happens.
	tick = 50 * time.Millisecond
	// renewInterval is the pause between questions that only keep what is held.
	renewInterval = 250 * time.Millisecond
	// minAskGap and maxAskGap bound the pause between urgent questions to one process; it doubles when one brings nothing.
	minAskGap = 5 * time.Millisecond
	maxAskGap = 200 * time.Millisecond
	// askTimeout is how long an answer is waited for.
	askTimeout = 250 * time.Millisecond
	// idleReturn is how long units that nobody needed are kept.
	idleReturn = 300 * time.Millisecond
	// wantTerm is how long a want is asked for.
	wantTerm = 250 * time.Millisecond
	// wantFactor is how much more is asked of all lenders together than is wanted, as some will have nothing.
	wantFactor = 2
	// waitingTerm is how long after a refused take its request is taken to wait.
	waitingTerm = 25 * time.Millisecond
	// missTerm is how long a refused take makes questions urgent.
	missTerm = 100 * time.Millisecond
	// demandHeadroom is the factor between the estimate of demand and what is asked for.
	demandHeadroom = 1.25
	// burstHeadroom is the same for bursts, which are more uneven.
	burstHeadroom = 2
	// idleArrivals is the number of arrivals within the window of the estimate below which there is no demand.
	idleArrivals = 0.05
)

// want is a need for units of any of some accounts.
type want struct {
	accounts []Account
	units    int
	since    time.Time
}

// lender is what a borrower knows of a process that it asks.
type lender struct {
	seat string
	// asking is true while an answer is awaited; there is no other question to this lender meanwhile.
	asking bool
	// asked is when the last question was sent.
	asked time.Time
	// gap is the pause before the next urgent question.
	gap time.Duration
	// silent is true after a question that got no answer.
	silent bool
	// due asks for a question at once, and recall for one that recalls loans.
	due, recall bool
}

// question is one that is ready to be sent.
type question struct {
	to      *lender
	request LoanRequest
	sent    time.Time
}

// expires returns when the loans of the answer end; they count from the sending of the question.
func (q question) expires() time.Time { return q.sent.Add(loanTerm) }

// Run asks the other processes for loans until the context ends.
func (l *Ledger) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		questions, pause := l.round(time.Now())
		for _, q := range questions {
			go l.ask(ctx, q)
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

// ask sends one question and applies its answer.
func (l *Ledger) ask(ctx context.Context, q question) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := l.Ask(ctx, q.to.seat, q.request)
	if l.settle(q, reply, err, time.Now()) {
		l.notify()
	}
}

// round brings the accounts up to date and returns the questions that are due and the pause before the next round.
func (l *Ledger) round(now time.Time) ([]question, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.After(l.dealing.Add(2 * tick)) {
		l.deal(now)
	}
	l.reclaim(now)
	l.forgetBorrowers(now)
	if l.Ask == nil || !l.confirmed() {
		return nil, tick
	}
	l.meet()
	l.recallNeeded(now)
	urgent := l.urgent(now)
	pause := tick
	var questions []question
	for _, p := range l.lenders {
		if p.asking {
			continue
		}
		if wait := p.wait(urgent, now); wait > 0 {
			pause = min(pause, wait)
			continue
		}
		if r, ok := l.compose(p, urgent, now); ok {
			l.sequence++
			p.asking, p.asked = true, now
			r.Sequence = l.sequence
			questions = append(questions, question{to: p, request: r, sent: now})
		}
		p.due, p.recall = false, false
	}
	return questions, pause
}

// meet keeps the lenders in step with the seats; one that has lost its seat is asked while something is held from it.
func (l *Ledger) meet() {
	seated := map[string]bool{}
	for _, s := range l.reign.current.Seats {
		if s.ID == l.reign.self {
			continue
		}
		seated[s.ID] = true
		if l.lenders[s.ID] == nil {
			l.lenders[s.ID] = &lender{seat: s.ID, gap: minAskGap}
		}
	}
	for id, p := range l.lenders {
		if !seated[id] && !p.asking && !p.recall && !l.holds(id) {
			delete(l.lenders, id)
		}
	}
}

func (l *Ledger) holds(seat string) bool {
	for _, r := range l.rates {
		if _, ok := r.holdings[seat]; ok {
			return true
		}
	}
	for _, u := range l.units {
		if _, ok := u.holdings[seat]; ok {
			return true
		}
	}
	return false
}

// wait returns how long the next question has to wait.
func (p *lender) wait(urgent bool, now time.Time) time.Duration {
	since := now.Sub(p.asked)
	if since >= renewInterval {
		p.gap = minAskGap
	}
	switch {
	case p.due:
		return 0
	case p.recall:
		return minAskGap - since
	case urgent && !p.silent:
		return p.gap - since
	default:
		return renewInterval - since
	}
}

// urgent reports whether something was refused just now for want of a share.
func (l *Ledger) urgent(now time.Time) bool {
	for a, w := range l.wants {
		if now.Sub(w.since) >= wantTerm {
			delete(l.wants, a)
		}
	}
	if len(l.wants) > 0 {
		return true
	}
	for _, r := range l.rates {
		if r.missing(missTerm, now) {
			return true
		}
	}
	return false
}

// compose builds the question for one lender and gives up what is returned by it; it reports false if there is nothing
// to say.
func (l *Ledger) compose(p *lender, urgent bool, now time.Time) (LoanRequest, bool) {
	q := LoanRequest{From: l.reign.self, Nonce: l.nonce}
	lenders := l.answering()
	for a, r := range l.rates {
		if e, ok := r.question(p.seat, lenders, now); ok {
			e.Account = a
			q.Rates = append(q.Rates, e)
		}
		if p.recall && r.lends(p.seat) {
			q.Recall = append(q.Recall, a)
		}
	}
	for a, u := range l.units {
		if held, ok := u.report(p.seat, now); ok {
			q.Units = append(q.Units, UnitQuestion{Account: a, Held: held})
		}
		if p.recall && u.lends(p.seat) {
			q.Recall = append(q.Recall, a)
		}
	}
	if urgent {
		for _, w := range l.wants {
			units := min((wantFactor*w.units+int(lenders)-1)/int(lenders), w.units)
			q.Wants = append(q.Wants, UnitWant{Accounts: w.accounts, Units: units})
		}
	}
	return q, len(q.Rates)+len(q.Units)+len(q.Wants)+len(q.Recall) > 0
}

// answering returns the number of lenders that answer, at least one.
func (l *Ledger) answering() int64 {
	n := int64(0)
	for _, p := range l.lenders {
		if !p.silent {
			n++
		}
	}
	return max(n, 1)
}

// desire returns what this process would use of the account by itself if nobody else needed anything.
func (r *rate) desire(now time.Time) allowance {
	rate := r.demand.at(now)
	if r.limit.Rate == 0 || rate*r.demand.window < idleArrivals {
		return allowance{}
	}
	fraction := min(1, rate*burstHeadroom/r.limit.Rate)
	missed := r.missed.at(now) * r.missed.window
	burst := max(int64(fraction*float64(r.total.burst)), r.largest) + tokensDown(min(missed, r.limit.Burst))
	wanted := allowance{rate: tokensDown(min(rate*demandHeadroom, r.limit.Rate)), burst: burst}
	return wanted.atMost(r.total)
}

// question returns what one lender is asked about the account; tokens that are returned are given up here.
func (r *rate) question(seat string, lenders int64, now time.Time) (RateQuestion, bool) {
	r.reclaim(now)
	h, holding := r.holdings[seat]
	need := r.desire(now).minus(r.portion.minus(r.lent).atLeast(allowance{})).atLeast(allowance{})
	unneeded := r.unneeded[seat]
	if !holding && need == (allowance{}) && unneeded == 0 {
		return RateQuestion{}, false
	}
	delete(r.unneeded, seat)
	var held allowance
	if holding {
		held = h.allowance
	}
	share := allowance{
		rate:  shareOf(need.rate, r.held.rate, held.rate, lenders),
		burst: shareOf(need.burst, r.held.burst, held.burst, lenders),
	}
	var level int64
	if holding && !held.within(share) {
		held, level = r.reduce(seat, share, now)
	}
	var waiting int64
	if r.lacks(now) {
		waiting = min(r.largest, r.total.burst)
	}
	return RateQuestion{
		NeedRate: share.rate, NeedBurst: share.burst, HeldRate: held.rate, HeldBurst: held.burst,
		Waiting: waiting, Unneeded: unneeded, Level: level,
	}, true
}

// shareOf divides a need over the lenders: what is missing is asked of all alike, what is left over is returned once it
// is much.
func shareOf(need, total, held, lenders int64) int64 {
	if need >= total {
		return held + (need-total+lenders-1)/lenders
	}
	if need > total-total/4 {
		return held
	}
	return scale(held, need, total)
}

// reduce gives up what a holding has above a bound and returns what is left and the tokens that went with it.
func (r *rate) reduce(seat string, bound allowance, now time.Time) (allowance, int64) {
	h := r.holdings[seat]
	kept := h.atMost(bound)
	before := r.bucket
	r.held = r.held.minus(h.allowance).plus(kept)
	h.allowance = kept
	if kept == (allowance{}) {
		delete(r.holdings, seat)
		r.schedule()
	}
	r.bucket.level = scale(before.level, r.size().burst, before.burst)
	r.resize(now)
	return kept, before.level - r.bucket.level
}

// lends reports whether a process with the given name has borrowed from this account.
func (r *rate) lends(id string) bool {
	for b := range r.loans {
		if b.id == id {
			return true
		}
	}
	return false
}

// report returns the units held from a lender, after giving up those that are not needed.
func (u *unit) report(seat string, now time.Time) (int, bool) {
	u.advance(now)
	h, ok := u.holdings[seat]
	if !ok {
		return 0, false
	}
	if h.recalled || now.Sub(u.busy) > idleReturn || u.limit.Units == 0 {
		h.units -= min(h.units, max(u.free(now), 0))
	}
	h.recalled = false
	if h.units == 0 {
		delete(u.holdings, seat)
		return 0, true
	}
	return h.units, true
}

// lends reports whether a process with the given name has borrowed from this account.
func (u *unit) lends(id string) bool {
	for b := range u.loans {
		if b.id == id {
			return true
		}
	}
	return false
}
