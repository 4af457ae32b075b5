package peer

import (
	"context"

	"medlarpond.dev/core/modules/peer"
	"medlarpond.dev/core/services/share"
)

// shareName is the name under which the methods of Share are registered.
const shareName = "share"

// Share serves loan requests. Its exported methods are called by net/rpc.
type Share struct {
	lend func(share.LoanRequest) share.LoanReply
}

// LendArgs holds the arguments of Share.Lend.
type LendArgs struct{ Request share.LoanRequest }

// LendReply is the reply of Share.Lend.
type LendReply struct{ Reply share.LoanReply }

// RegisterShare registers the methods of Share with a server. lend handles a loan request.
func RegisterShare(s *peer.Server, lend func(share.LoanRequest) share.LoanReply) error {
	return s.Register(shareName, &Share{lend: lend})
}

// Lend handles a loan request.
func (s *Share) Lend(args LendArgs, reply *LendReply) (err error) {
	defer peer.Recover(&err)
	reply.Reply = s.lend(args.Request)
	return nil
}

// RequestLoans sends a loan request to the peer with the given address.
func RequestLoans(ctx context.Context, pool *peer.Pool, address string, q share.LoanRequest) (share.LoanReply, error) {
	reply, err := peer.Call[LendArgs, LendReply](ctx, pool.Get(address), shareName+".Lend", LendArgs{Request: q})
	return reply.Reply, err
}
