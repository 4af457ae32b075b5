package instance

import (
	"context"

	"go.uber.org/zap"

	"medlarpond.dev/core/modules/peer"
	peerrouter "medlarpond.dev/core/routers/peer"
	"medlarpond.dev/core/services/crash"
	"medlarpond.dev/core/services/dispatch"
	"medlarpond.dev/core/services/idempotency"
	"medlarpond.dev/core/services/membership"
	"medlarpond.dev/core/services/steering"
)

// requests holds the components that serve the requests of callers.
type requests struct {
	steering   *steering.Steering
	dispatcher *dispatch.Dispatcher
	claimer    *idempotency.Claimer
	pool       *peer.Pool
}

// newRequests assembles the components for requests and registers their RPC methods.
func (i *Instance) newRequests() requests {
	s := i.settings
	var r requests
	health := steering.NewHealth(steering.DefaultBreaker())
	place := steering.Place{Region: s.Instance.Region, FailureDomain: s.Instance.FailureDomain}
	r.steering = steering.New(place, i.shares.ledger, i.shares.ledger.RequestUnits, health)
	r.pool = peer.NewPool()
	calls := peerrouter.NewRequestClient(s.Instance.ID, i.table, r.pool, s.Peers.CallTimeout)
	claims := idempotency.NewClaimStore()
	r.claimer = idempotency.NewClaimer(s.Instance.ID, i.seatIDs, claims, calls.IdempotencyCalls())
	guard := crash.New(s.Instance.ID, i.seatIDs, calls.RequestGrant, calls.Broadcast)
	if err := peerrouter.RegisterRequest(i.peerServer, claims, guard); err != nil {
		i.logger.Error("failed to register the request RPC methods", zap.Error(err))
	}
	r.dispatcher = dispatch.New(dispatch.Config{
		State: i.state, Steering: r.steering, Health: health, Sender: i.sender, Claimer: r.claimer, Guard: guard,
		Logger: i.logger, Confirmed: i.confirmed, Instances: func() int { return len(i.table.All()) },
	})
	return r
}

// seatIDs returns the sorted IDs of the instances that own idempotency keys and request fingerprints: those with a seat
// or, without a fleet record, all that are not leaving. A leaving instance hands over its state.
func (i *Instance) seatIDs() []string {
	var ids []string
	for _, seat := range i.fleet.fleetStore.Fleet().Seats() {
		ids = append(ids, seat.ID)
	}
	if len(ids) > 0 {
		return ids
	}
	for _, m := range i.table.All() {
		if m.State != membership.StateLeaving {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// configuration returns the active configuration for steering.
func (i *Instance) configuration() steering.Configuration {
	v := i.state.View()
	return steering.Configuration{Snapshot: v.Snapshot, Revision: v.Revision}
}

// runSteering applies configuration changes to the limits until the context ends.
func (i *Instance) runSteering(ctx context.Context) error {
	return i.requests.steering.Run(ctx, i.configuration, i.state.Changed)
}

// runProbes sends health probes to the targets that have not recovered from a bad outcome, until the context ends.
func (i *Instance) runProbes(ctx context.Context) error {
	return i.requests.steering.Probe(ctx, i.sender.Probe)
}
