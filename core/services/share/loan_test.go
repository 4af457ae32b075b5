package share_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"medlarpond.dev/core/services/share"
)

// pair is a lender and a borrower with one seat each and limits that divide evenly.
type pair struct {
	lender, borrower *share.Ledger
	// confirmed is returned by Confirmed of both ledgers.
	confirmed bool
	// replyDelay is how long a reply to the borrower takes.
	replyDelay time.Duration
}

func pairLimits() map[share.Account]share.Limit {
	return map[share.Account]share.Limit{
		teamAccount:   {Rate: 20, Burst: 20},
		regionAccount: {Units: 4, Hold: time.Second},
	}
}

func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{lender: share.NewLedger(func() {}), borrower: share.NewLedger(func() {}), confirmed: true}
	for id, l := range map[string]*share.Ledger{"lender": p.lender, "borrower": p.borrower} {
		l.Confirmed = func() bool { return p.confirmed }
		l.SetEpoch(epochOf(1, "lender", "borrower"), nil, id)
		l.SetLimits(pairLimits())
		l.Activate(1, true)
	}
	p.borrower.RequestLoans = func(_ context.Context, _ string, request share.LoanRequest) (share.LoanReply, error) {
		reply := p.lender.Lend(request)
		time.Sleep(p.replyDelay)
		return reply, nil
	}
	// Both buckets fill up.
	time.Sleep(2 * time.Second)
	return p
}

func (p *pair) requestRates(sequence uint64, rates ...share.RateRequest) share.LoanReply {
	return p.lender.Lend(share.LoanRequest{From: "x", Sequence: sequence, Rates: rates})
}

// takeAll takes single tokens until none is left and returns their number.
func takeAll(l *share.Ledger, a share.Account) int {
	n := 0
	for l.Take(a, 1) {
		n++
	}
	return n
}

func needRate(need, held int64) share.RateRequest {
	return share.RateRequest{
		Account: teamAccount, NeedRate: need * 1e9, NeedBurst: need * 1e9, HeldRate: held * 1e9, HeldBurst: held * 1e9,
	}
}

// waitingFor returns the RateRequest of a borrower where a client request waits for tokens. unneeded is the sequence of
// an earlier request whose passed tokens are given up, or zero.
func waitingFor(tokens int64, unneeded uint64) share.RateRequest {
	return share.RateRequest{Account: teamAccount, Waiting: tokens * 1e9, Unneeded: unneeded}
}

func requestForUnits(n int) share.LoanRequest {
	return share.LoanRequest{From: "x", Sequence: 1, Wants: []share.UnitRequest{{Accounts: []share.Account{regionAccount}, Units: n}}}
}

// TestLoans checks single steps of lending and borrowing.
func TestLoans(t *testing.T) {
	tests := []struct {
		name string
		// check returns counts that are combined as decimal digits.
		check func(t *testing.T, p *pair) (got, want int)
	}{
		{"a loan takes rate, burst and tokens from the lender until it expires", func(_ *testing.T, p *pair) (int, int) {
			p.requestRates(1, needRate(10, 0))
			now := takeAll(p.lender, teamAccount)
			time.Sleep(1040 * time.Millisecond)
			before := takeAll(p.lender, teamAccount)
			time.Sleep(20 * time.Millisecond)
			p.lender.SetLimits(pairLimits())
			time.Sleep(110 * time.Millisecond)
			return 100*now + 10*before + takeAll(p.lender, teamAccount), 1
		}},
		{"a loan moves a part of the tokens proportional to its burst", func(_ *testing.T, p *pair) (int, int) {
			p.lender.SetLimits(nil)
			p.lender.SetLimits(pairLimits())
			time.Sleep(400 * time.Millisecond)
			return 10*int(p.requestRates(1, needRate(5, 0)).Rates[0].Level/1e9) + takeAll(p.lender, teamAccount), 22
		}},
		{"a request older than the last one is ignored", func(_ *testing.T, p *pair) (int, int) {
			p.requestRates(2, needRate(5, 0))
			return len(p.requestRates(1, needRate(10, 0)).Rates), 0
		}},
		{"a loan does not shrink until the borrower reports less", func(_ *testing.T, p *pair) (int, int) {
			p.requestRates(1, needRate(10, 0))
			p.requestRates(2, needRate(1, 10))
			time.Sleep(900 * time.Millisecond)
			return takeAll(p.lender, teamAccount), 0
		}},
		{"two borrowers get their max-min fair shares", func(_ *testing.T, p *pair) (int, int) {
			p.requestRates(1, needRate(2, 0))
			request := share.LoanRequest{From: "y", Sequence: 1, Rates: []share.RateRequest{needRate(10, 0)}}
			return int(p.lender.Lend(request).Rates[0].Rate / 1e9), 8
		}},
		{"an unconfirmed lender lends nothing", func(_ *testing.T, p *pair) (int, int) {
			p.confirmed = false
			return len(p.requestRates(1, needRate(10, 0)).Rates) + len(p.lender.Lend(requestForUnits(1)).Units), 0
		}},
		{"an unconfirmed process uses nothing", func(_ *testing.T, p *pair) (int, int) {
			p.confirmed = false
			if p.lender.Acquire(regionAccount) {
				return 1, 0
			}
			return takeAll(p.lender, teamAccount), 0
		}},
		{"lent units come back after the loan TTL and the hold time", func(_ *testing.T, p *pair) (int, int) {
			p.lender.Lend(requestForUnits(2))
			time.Sleep(2 * time.Second)
			p.lender.SetLimits(pairLimits())
			during := p.lender.FreeUnits(regionAccount)
			time.Sleep(100 * time.Millisecond)
			p.lender.SetLimits(pairLimits())
			return 10*during + p.lender.FreeUnits(regionAccount), 2
		}},
		{"a process that has lent more than its smaller share is not settled", func(_ *testing.T, p *pair) (int, int) {
			p.requestRates(1, needRate(10, 0))
			p.lender.SetEpoch(epochOf(2, "lender", "b", "c"), nil, "lender")
			if p.lender.Settled(2) {
				return 1, 0
			}
			return 0, 0
		}},
		{"the smaller of the old and new rates applies from adoption on", func(_ *testing.T, p *pair) (int, int) {
			p.lender.SetEpoch(epochOf(2, "lender"), nil, "lender")
			time.Sleep(time.Second)
			return takeAll(p.lender, teamAccount), 10
		}},
		{"a larger rate waits for the expiry of loans of unsettled seats", func(_ *testing.T, p *pair) (int, int) {
			p.lender.SetEpoch(epochOf(2, "lender"), nil, "lender")
			p.lender.Activate(2, false)
			time.Sleep(time.Second)
			p.lender.SetLimits(pairLimits())
			time.Sleep(time.Second)
			return takeAll(p.lender, teamAccount), 10
		}},
		{"an additional unit waits for the loans and units of unsettled seats", func(_ *testing.T, p *pair) (int, int) {
			p.lender.SetEpoch(epochOf(2, "lender"), nil, "lender")
			p.lender.Activate(2, false)
			time.Sleep(1500 * time.Millisecond)
			p.lender.SetLimits(pairLimits())
			return p.lender.FreeUnits(regionAccount), 2
		}},
		{"refunded tokens that exceed the free space since the take are lost", func(_ *testing.T, p *pair) (int, int) {
			p.lender.Take(teamAccount, 10)
			time.Sleep(500 * time.Millisecond)
			taken := takeAll(p.lender, teamAccount)
			p.lender.Take(teamAccount, 5)
			time.Sleep(time.Second)
			takeAll(p.lender, teamAccount)
			p.lender.Refund(teamAccount, 10)
			return 100*taken + takeAll(p.lender, teamAccount), 500
		}},
		{"tokens passed to a waiting request expire after a short time", func(_ *testing.T, p *pair) (int, int) {
			takeAll(p.lender, teamAccount)
			time.Sleep(50 * time.Millisecond)
			passed := p.requestRates(1, waitingFor(1, 0)).Rates[0].Passed
			time.Sleep(30 * time.Millisecond)
			during := takeAll(p.lender, teamAccount)
			time.Sleep(40 * time.Millisecond)
			p.lender.SetLimits(pairLimits())
			time.Sleep(1100 * time.Millisecond)
			return 100*int(passed/1e8) + 10*during + takeAll(p.lender, teamAccount), 510
		}},
		{"passed tokens reduce the burst of the lender", func(_ *testing.T, p *pair) (int, int) {
			p.requestRates(1, share.RateRequest{Account: teamAccount, Waiting: 13e8})
			time.Sleep(55 * time.Millisecond)
			return takeAll(p.lender, teamAccount), 8
		}},
		{"passed tokens that are not needed come back", func(_ *testing.T, p *pair) (int, int) {
			p.requestRates(1, waitingFor(1, 0))
			p.requestRates(2, waitingFor(0, 1))
			return takeAll(p.lender, teamAccount), 10
		}},
		{"passed tokens come back only once", func(_ *testing.T, p *pair) (int, int) {
			p.requestRates(1, waitingFor(1, 0))
			p.requestRates(2, waitingFor(1, 0))
			p.requestRates(3, waitingFor(0, 1))
			p.requestRates(4, waitingFor(0, 1))
			return takeAll(p.lender, teamAccount), 9
		}},
		{"tokens that a local request waits for are not passed", func(_ *testing.T, p *pair) (int, int) {
			takeAll(p.lender, teamAccount)
			time.Sleep(20 * time.Millisecond)
			p.lender.Take(teamAccount, 1)
			return int(p.requestRates(1, waitingFor(1, 0)).Rates[0].Passed), 0
		}},
		{"a changed burst enlarges no share before the limit has propagated", func(_ *testing.T, p *pair) (int, int) {
			limits := pairLimits()
			limits[teamAccount] = share.Limit{Rate: 20, Burst: 1}
			p.lender.SetLimits(limits)
			limits[teamAccount] = share.Limit{Rate: 20, Burst: 40}
			p.lender.SetLimits(limits)
			takeAll(p.lender, teamAccount)
			time.Sleep(9 * time.Second)
			if held := takeAll(p.lender, teamAccount); held > 1 {
				return held, 1
			}
			time.Sleep(time.Second)
			p.lender.SetLimits(limits)
			time.Sleep(2 * time.Second)
			return takeAll(p.lender, teamAccount), 20
		}},
		{"an account with a new region has no new owner before the limit has propagated", func(_ *testing.T, p *pair) (int, int) {
			limits := pairLimits()
			free := 0
			for _, region := range []string{"r1", "r0"} {
				limits[regionAccount] = share.Limit{Units: 4, Region: region}
				p.lender.SetLimits(limits)
				free = 10*free + p.lender.FreeUnits(regionAccount)
			}
			return free, 0
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if got, want := test.check(t, newPair(t)); got != want {
					t.Errorf("got %d, want %d", got, want)
				}
			})
		})
	}
}

// TestLoanExpiry checks that the TTL of a loan starts when the borrower sends the request, and that the borrower
// puts no unit of an expired loan in use.
func TestLoanExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		requestLoans, requests := p.borrower.RequestLoans, 0
		p.replyDelay = 200 * time.Millisecond
		p.borrower.RequestLoans = func(ctx context.Context, lenderID string, request share.LoanRequest) (share.LoanReply, error) {
			if requests++; requests == 1 {
				return requestLoans(ctx, lenderID, request)
			}
			<-ctx.Done()
			return share.LoanReply{}, errNoReply
		}
		p.borrower.Take(teamAccount, 100)
		p.borrower.RequestUnits([]share.Account{regionAccount}, 2)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = p.borrower.Run(ctx) }()
		use := func(d time.Duration) (tokens, units int) {
			for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
				tokens += takeAll(p.borrower, teamAccount)
				for p.borrower.Acquire(regionAccount) {
					units++
				}
			}
			return tokens, units
		}
		if tokens, units := use(1010 * time.Millisecond); tokens < 30 || units != 4 {
			t.Errorf("with the loan: got %d tokens and %d units, want at least 30 and 4", tokens, units)
		}
		p.borrower.Release(regionAccount)
		if tokens, units := use(time.Second); tokens > 10 || units != 0 {
			t.Errorf("after the loan: got %d tokens and %d units, want at most 10 and 0", tokens, units)
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// TestUnitsInUseStayLent checks that a borrower returns units once they are free and not before.
func TestUnitsInUseStayLent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		ctx, cancel := context.WithCancel(t.Context())
		p.borrower.RequestUnits([]share.Account{regionAccount}, 2)
		go func() { _ = p.borrower.Run(ctx) }()
		time.Sleep(10 * time.Millisecond)
		for n := range 4 {
			if !p.borrower.Acquire(regionAccount) {
				t.Fatalf("cannot acquire unit %d of 4", n)
			}
		}
		time.Sleep(2 * time.Second)
		if free := p.lender.FreeUnits(regionAccount); free != 0 {
			t.Errorf("got %d free units at the lender while the borrower uses them, want 0", free)
		}
		p.borrower.Release(regionAccount)
		p.borrower.Release(regionAccount)
		time.Sleep(time.Second)
		if free := p.lender.FreeUnits(regionAccount); free != 2 {
			t.Errorf("got %d free units at the lender after the borrower released 2, want 2", free)
		}
		cancel()
		time.Sleep(time.Second)
	})
}
