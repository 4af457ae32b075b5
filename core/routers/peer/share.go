package peer

import (
	"context"

	"medlarpond.dev/core/modules/peer"
	"medlarpond.dev/core/services/share"
)

// shareName is the name under which the methods of Share are registered.
const shareName = "share"

// Share answers questions for loans. Its exported methods are called by net/rpc.
type Share struct {
	lend func(share.LoanRequest) share.LoanReply
}

// LendArgs is a question.
type LendArgs struct{ Request share.LoanRequest }

// LendReply is the answer to a question.
type LendReply struct{ Reply share.LoanReply }

// RegisterShare adds the methods to a server.
func RegisterShare(s *peer.Server, lend func(share.LoanRequest) share.LoanReply) error {
	return s.Register(shareName, &Share{lend: lend})
}

// Lend answers a question for loans.
func (s *Share) Lend(args LendArgs, reply *LendReply) error {
	reply.Reply = s.lend(args.Request)
	return nil
}

// AskLoan asks the peer with an address for loans.
func AskLoan(ctx context.Context, pool *peer.Pool, address string, q share.LoanRequest) (share.LoanReply, error) {
	reply, err := peer.Call[LendArgs, LendReply](ctx, pool.Get(address), shareName+".Lend", LendArgs{Request: q})
	return reply.Reply, err
}
