package peer

import (
	"context"

	"medlarpond.dev/core/modules/peer"
	"medlarpond.dev/core/services/neighbor"
	"medlarpond.dev/core/services/placement"
)

// loadsName is the name under which the methods of Loads are registered.
const loadsName = "loads"

// Loads takes what neighbors tell. Its exported methods are called by net/rpc.
type Loads struct {
	hear func(from string, told placement.LoadUpdate)
}

// LoadsArgs is what a neighbor tells.
type LoadsArgs struct{ Message neighbor.Message }

// LoadsReply is empty.
type LoadsReply struct{}

// RegisterLoads adds the methods to a server.
func RegisterLoads(s *peer.Server, hear func(from string, told placement.LoadUpdate)) error {
	return s.Register(loadsName, &Loads{hear: hear})
}

// Tell takes a message.
func (l *Loads) Tell(args LoadsArgs, _ *LoadsReply) error {
	l.hear(args.Message.From, args.Message.Told)
	return nil
}

// TellLoads returns the function that sends messages to neighbors.
func TellLoads(pool *peer.Pool) func(ctx context.Context, address string, m neighbor.Message) error {
	return func(ctx context.Context, address string, m neighbor.Message) error {
		_, err := peer.Call[LoadsArgs, LoadsReply](ctx, pool.Get(address), loadsName+".Tell", LoadsArgs{Message: m})
		return err
	}
}
