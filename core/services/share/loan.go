package share

import "time"

const (
	// loanTerm is how long a borrower uses a loan, counted from when it sent the question.
	loanTerm = time.Second
	// lenderTerm is how long a lender counts a loan as used, counted from when it answered. The margin covers clocks
	// whose rates differ.
	lenderTerm = loanTerm + loanTerm/20
	// passTerm and lenderPassTerm are the same for tokens that are passed to a waiting request.
	passTerm       = 60 * time.Millisecond
	lenderPassTerm = passTerm + passTerm/20
)

// LoanRequest asks one process for loans and reports what is held of earlier ones. All accounts share one question.
type LoanRequest struct {
	// From is the borrower's seat or instance; Nonce tells it from a predecessor of the same name.
	From  string
	Nonce uint64
	// Sequence grows with each question of a borrower to a lender; an older question than the last one is void.
	Sequence uint64
	Rates    []RateQuestion
	Units    []UnitQuestion
	Wants    []UnitWant
	// Recall names accounts that the receiver has borrowed from the sender and should ask for again at once, because
	// somebody else needs them.
	Recall []Account
}

// RateQuestion concerns one rate account. Amounts are in billionths of tokens.
type RateQuestion struct {
	Account Account
	// NeedRate and NeedBurst are what the borrower would like to hold from this lender.
	NeedRate, NeedBurst int64
	// HeldRate and HeldBurst are what it holds from this lender now and no less than it will ever use of earlier loans.
	HeldRate, HeldBurst int64
	// Waiting is the number of tokens that a request of the borrower waits for.
	Waiting int64
	// Unneeded is the sequence of an earlier question whose answer passed tokens that the borrower has given up unused;
	// zero if there is none.
	Unneeded uint64
	// Level is what the borrower returns of its tokens; it has given them up before asking.
	Level int64
}

// UnitQuestion reports the units of one account that are held from the receiver.
type UnitQuestion struct {
	Account Account
	Held    int
}

// UnitWant asks for units of any of the accounts.
type UnitWant struct {
	Accounts []Account
	Units    int
}

// LoanReply answers a question.
type LoanReply struct {
	Rates []RateLoan
	Units []UnitLoan
}

// RateLoan is all that the borrower may use of one rate account from this lender.
type RateLoan struct {
	Account     Account
	Rate, Burst int64
	// Level is the number of tokens that come in addition to those that the borrower has.
	Level int64
	// Passed is the number of tokens that the borrower may use for a moment, besides.
	Passed int64
}

// UnitLoan is what the borrower may use of one account of units from this lender.
type UnitLoan struct {
	Account Account
	Units   int
	// Hold is the longest time that a unit may stay in use.
	Hold time.Duration
	// Recalled is true if the borrower should return what it does not use.
	Recalled bool
}
