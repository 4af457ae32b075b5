package peer

import (
	"context"

	"medlarpond.dev/core/modules/peer"
	"medlarpond.dev/core/services/neighbor"
	"medlarpond.dev/core/services/placement"
)

// loadsName is the name under which the methods of Loads are registered.
const loadsName = "loads"

// Loads receives load updates from the other instances of the failure domain. Its exported methods are called by
// net/rpc.
type Loads struct {
	merge func(from string, update placement.LoadUpdate)
}

// LoadsArgs holds the arguments of Loads.Tell.
type LoadsArgs struct{ Message neighbor.Message }

// LoadsReply is the empty reply of Loads.Tell.
type LoadsReply struct{}

// RegisterLoads registers the methods of Loads with a server. merge handles an update sent by the instance with the ID from.
func RegisterLoads(s *peer.Server, merge func(from string, update placement.LoadUpdate)) error {
	return s.Register(loadsName, &Loads{merge: merge})
}

// Tell handles a load update.
func (l *Loads) Tell(args LoadsArgs, _ *LoadsReply) (err error) {
	defer peer.Recover(&err)
	l.merge(args.Message.From, args.Message.Told)
	return nil
}

// SendLoads returns a function that sends a load update to the instance with the given peer address.
func SendLoads(pool *peer.Pool) func(ctx context.Context, address string, m neighbor.Message) error {
	return func(ctx context.Context, address string, m neighbor.Message) error {
		_, err := peer.Call[LoadsArgs, LoadsReply](ctx, pool.Get(address), loadsName+".Tell", LoadsArgs{Message: m})
		return err
	}
}
