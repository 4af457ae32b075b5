// Package witness tells an outage of the store from one that affected only this instance. After an outage of the store,
// programs need some time to write entries that have expired again; after a partition of this instance, entries that are
// missing were removed. Another instance that had contact with the store all the time shows the difference.
package witness

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/logging"
	"medlarpond.dev/core/services/belief"
)

const (
	// Timeout bounds a query of other instances.
	Timeout = 300 * time.Millisecond
	// maxAsked is the number of instances that are asked at the same time.
	maxAsked = 3
)

// Config holds the dependencies of a Witness.
type Config struct {
	// Self is the ID of this instance.
	Self  string
	State *belief.State
	// Contact is the contact of this instance with the store.
	Contact *Contact
	// Ask returns Contact.Unbroken of the instance with the given peer address.
	Ask    func(ctx context.Context, address string) (time.Duration, error)
	Logger *zap.Logger
}

// Witness asks other instances for their contact with the store. It is safe for concurrent use.
type Witness struct{ Config }

// New returns a Witness.
func New(config Config) *Witness { return &Witness{Config: config} }

// StoreWasReachable reports whether another instance has had contact with the store for the given duration. False means
// that none of the instances asked has confirmed it within Timeout.
func (w *Witness) StoreWasReachable(ctx context.Context, duration time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	others := w.others()
	confirmed := make(chan bool, len(others))
	for _, i := range others {
		go func() {
			unbroken, err := w.Ask(ctx, i.Peer)
			ok := err == nil && unbroken >= duration
			if ok {
				w.Logger.Info("another instance had contact with the store during the outage", zap.String(logging.FieldPeer, i.ID),
					zap.Duration("outage", duration), zap.Duration("unbroken", unbroken))
			}
			confirmed <- ok
		}()
	}
	for range others {
		if <-confirmed {
			return true
		}
	}
	return false
}

// others returns up to maxAsked other instances, chosen at random.
func (w *Witness) others() []roster.Instance {
	var found []roster.Instance
	instances := w.State.View().Instances
	for _, n := range rand.Perm(len(instances)) {
		if i := instances[n]; i.ID != w.Self && i.Peer != "" && len(found) < maxAsked {
			found = append(found, i)
		}
	}
	return found
}
