package share

import "time"

const (
	// loanTTL is how long a borrower uses a loan, counted from when it sent the request.
	loanTTL = time.Second
	// lenderLoanTTL is how long a lender counts a loan as in use, counted from when it replied. The margin of 5% covers
	// differences in clock rates.
	lenderLoanTTL = loanTTL + loanTTL/20
	// passedTTL and lenderPassedTTL are the same for tokens that are passed to a waiting client request.
	passedTTL       = 60 * time.Millisecond
	lenderPassedTTL = passedTTL + passedTTL/20
)

// LoanRequest asks one process for loans and reports what is held of earlier ones. One request covers all accounts.
type LoanRequest struct {
	// From is the ID of the borrower. Nonce distinguishes it from an earlier process with the same ID.
	From  string
	Nonce uint64
	// Sequence increases with each request of a borrower; a lender ignores a request that is not newer than the last
	// one.
	Sequence uint64
	Rates    []RateRequest
	Units    []UnitReport
	Wants    []UnitRequest
	// Recall names accounts that the receiver has borrowed from the sender. It should send a request for them at once,
	// because another process needs them.
	Recall []Account
}

// RateRequest is the part of a LoanRequest for one rate account. Amounts are in nanotokens.
type RateRequest struct {
	Account Account
	// NeedRate and NeedBurst are what the borrower needs to hold from this lender.
	NeedRate, NeedBurst int64
	// HeldRate and HeldBurst are what the borrower holds from this lender now. It will not use more than that of earlier
	// loans.
	HeldRate, HeldBurst int64
	// Waiting is the number of tokens that a client request at the borrower waits for.
	Waiting int64
	// Unneeded is the sequence of an earlier request whose reply passed tokens that the borrower has given up
	// unused; zero if there is none.
	Unneeded uint64
	// Level is the number of tokens that the borrower returns; it has already removed them from its bucket.
	Level int64
}

// UnitReport reports the units of one account that the borrower holds from the receiver.
type UnitReport struct {
	Account Account
	Held    int
}

// UnitRequest requests units of any of the accounts.
type UnitRequest struct {
	Accounts []Account
	Units    int
}

// LoanReply is the reply to a LoanRequest.
type LoanReply struct {
	Rates []RateLoan
	Units []UnitLoan
}

// RateLoan is all that the borrower may use of one rate account from this lender. Amounts are in nanotokens.
type RateLoan struct {
	Account     Account
	Rate, Burst int64
	// Level is the number of tokens that the borrower receives in addition to those that it has.
	Level int64
	// Passed is the number of additional tokens that the borrower may use for passedTTL.
	Passed int64
}

// UnitLoan is what the borrower may use of one account with units from this lender.
type UnitLoan struct {
	Account Account
	Units   int
	// Hold is the longest time that a unit may stay in use.
	Hold time.Duration
	// Recalled is true if the borrower should return the units that it does not use.
	Recalled bool
}
