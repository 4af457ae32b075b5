package peer

import (
	"context"

	"medlarpond.dev/core/modules/peer"
	"medlarpond.dev/core/services/relay"
)

// changesName is the name under which the methods of Changes are registered.
const changesName = "changes"

// Changes serves polls for changes in the store. Its exported methods are called by net/rpc.
type Changes struct {
	handlePoll func(ctx context.Context, q relay.PollRequest) relay.PollResponse
}

// ChangesArgs holds the arguments of Changes.Ask.
type ChangesArgs struct{ Question relay.PollRequest }

// ChangesReply is the reply of Changes.Ask.
type ChangesReply struct{ Answer relay.PollResponse }

// RegisterChanges registers the methods of Changes with a server.
func RegisterChanges(s *peer.Server, handlePoll func(ctx context.Context, q relay.PollRequest) relay.PollResponse) error {
	return s.Register(changesName, &Changes{handlePoll: handlePoll})
}

// Ask handles a poll.
func (c *Changes) Ask(args ChangesArgs, reply *ChangesReply) (err error) {
	defer peer.Recover(&err)
	// A net/rpc call has no context; handlePoll limits its own wait.
	reply.Answer = c.handlePoll(context.Background(), args.Question)
	return nil
}

// PollChanges returns a function that sends a poll to the instance with the given peer address.
func PollChanges(pool *peer.Pool) func(ctx context.Context, address string, q relay.PollRequest) (relay.PollResponse, error) {
	return func(ctx context.Context, address string, q relay.PollRequest) (relay.PollResponse, error) {
		reply, err := peer.Call[ChangesArgs, ChangesReply](ctx, pool.Get(address), changesName+".Ask", ChangesArgs{Question: q})
		return reply.Answer, err
	}
}
