package peer

import (
	"context"

	"medlarpond.dev/core/modules/peer"
	"medlarpond.dev/core/services/ratepool"
)

// ratesName is the name under which the methods of Rates are registered.
const ratesName = "rates"

// Rates serves delegations of rates and draws of tokens. Its exported methods are called by net/rpc.
type Rates struct {
	handleDraw func(ctx context.Context, r ratepool.Request) ratepool.Reply
}

// RatesArgs holds the arguments of Rates.Draw.
type RatesArgs struct{ Request ratepool.Request }

// RatesReply is the reply of Rates.Draw.
type RatesReply struct{ Reply ratepool.Reply }

// RegisterRates registers the methods of Rates with a server.
func RegisterRates(s *peer.Server, handleDraw func(ctx context.Context, r ratepool.Request) ratepool.Reply) error {
	return s.Register(ratesName, &Rates{handleDraw: handleDraw})
}

// Draw handles a delegation and a draw.
func (r *Rates) Draw(args RatesArgs, reply *RatesReply) (err error) {
	defer peer.Recover(&err)
	// A net/rpc call has no context; handleDraw limits its own wait.
	reply.Reply = r.handleDraw(context.Background(), args.Request)
	return nil
}

// DrawRates returns a function that sends a message to the instance with the given peer address.
func DrawRates(pool *peer.Pool) func(ctx context.Context, address string, r ratepool.Request) (ratepool.Reply, error) {
	return func(ctx context.Context, address string, r ratepool.Request) (ratepool.Reply, error) {
		reply, err := peer.Call[RatesArgs, RatesReply](ctx, pool.Get(address), ratesName+".Draw", RatesArgs{Request: r})
		return reply.Reply, err
	}
}
