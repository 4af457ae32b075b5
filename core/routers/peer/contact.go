package peer

import (
	"context"
	"time"

	"medlarpond.dev/core/modules/peer"
)

// contactName is the name under which the methods of StoreContact are registered.
const contactName = "contact"

// StoreContact serves queries for this instance's contact with the store. Its exported methods are called by net/rpc.
type StoreContact struct {
	unbroken func() time.Duration
}

// StoreContactArgs holds the arguments of StoreContact.Get; there are none.
type StoreContactArgs struct{}

// StoreContactReply is the reply of StoreContact.Get.
type StoreContactReply struct {
	// Unbroken is how long the contact has lasted without a break; zero if there is none.
	Unbroken time.Duration
}

// RegisterContact registers the methods of StoreContact with a server.
func RegisterContact(s *peer.Server, unbroken func() time.Duration) error {
	return s.Register(contactName, &StoreContact{unbroken: unbroken})
}

// Get returns the contact of this instance.
func (c *StoreContact) Get(_ StoreContactArgs, reply *StoreContactReply) (err error) {
	defer peer.Recover(&err)
	reply.Unbroken = c.unbroken()
	return nil
}

// GetContact returns a function that queries the contact of the instance with the given peer address.
func GetContact(pool *peer.Pool) func(ctx context.Context, address string) (time.Duration, error) {
	return func(ctx context.Context, address string) (time.Duration, error) {
		reply, err := peer.Call[StoreContactArgs, StoreContactReply](ctx, pool.Get(address), contactName+".Get", StoreContactArgs{})
		return reply.Unbroken, err
	}
}
