package peer

import (
	"context"

	"medlarpond.dev/core/modules/peer"
	"medlarpond.dev/core/services/relay"
)

// changesName is the name under which the methods of Changes are registered.
const changesName = "changes"

// Changes answers questions for changes of the store. Its exported methods are called by net/rpc.
type Changes struct {
	answer func(ctx context.Context, q relay.PollRequest) relay.PollResponse
}

// ChangesArgs is a question.
type ChangesArgs struct{ Question relay.PollRequest }

// ChangesReply is the answer to a question.
type ChangesReply struct{ Answer relay.PollResponse }

// RegisterChanges adds the methods to a server.
func RegisterChanges(s *peer.Server, answer func(ctx context.Context, q relay.PollRequest) relay.PollResponse) error {
	return s.Register(changesName, &Changes{answer: answer})
}

// Ask answers a question.
func (c *Changes) Ask(args ChangesArgs, reply *ChangesReply) error {
	// A call of net/rpc has no context; the answer bounds its own wait.
	reply.Answer = c.answer(context.Background(), args.Question)
	return nil
}

// AskChanges returns the function that sends questions to instances.
func AskChanges(pool *peer.Pool) func(ctx context.Context, address string, q relay.PollRequest) (relay.PollResponse, error) {
	return func(ctx context.Context, address string, q relay.PollRequest) (relay.PollResponse, error) {
		reply, err := peer.Call[ChangesArgs, ChangesReply](ctx, pool.Get(address), changesName+".Ask", ChangesArgs{Question: q})
		return reply.Answer, err
	}
}
