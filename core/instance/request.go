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

// requests is what an instance needs to serve callers' requests.
type requests struct {
	steering   *steering.Steering
	dispatcher *dispatch.Dispatcher
	claimer    *idempotency.Claimer
	pool       *peer.Pool
}

// newRequests assembles the path of a request and registers its methods for other instances.
func (i *Instance) newRequests() requests {
	s := i.settings
	var r requests
	health := steering.NewHealth(steering.DefaultBreaker())
	place := steering.Place{Region: s.Instance.Region, FailureDomain: s.Instance.FailureDomain}
	r.steering = steering.New(place, i.shares.ledger, i.shares.ledger.RequestUnits, health)
	r.pool = peer.NewPool()
	calls := peerrouter.NewRequests(s.Instance.ID, i.table, r.pool, s.Peers.CallTimeout)
	register := idempotency.NewClaimStore()
	r.claimer = idempotency.NewClaimer(s.Instance.ID, i.seats, register, calls.Seams())
	guard := crash.New(s.Instance.ID, i.seats, calls.Grant, calls.Tell)
	if err := peerrouter.RegisterRequest(i.peers, register, guard); err != nil {
		i.logger.Error("cannot register the calls about requests", zap.Error(err))
	}
	r.dispatcher = dispatch.New(dispatch.Config{
		State: i.state, Steering: r.steering, Health: health, Sender: i.sender, Claimer: r.claimer, Guard: guard,
		Logger: i.logger, Confirmed: i.confirmed, Instances: func() int { return len(i.table.All()) },
	})
	return r
}

// seats returns the instances that decide about single requests, sorted: those with a seat, or without a fleet record all
// that are not leaving. A leaving one hands over what it knows.
func (i *Instance) seats() []string {
	var ids []string
	for _, seat := range i.fleet.registrar.Fleet().Seats() {
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

// configuration returns the configuration in force, as steering needs it.
func (i *Instance) configuration() steering.Configuration {
	v := i.state.View()
	return steering.Configuration{Snapshot: v.Snapshot, Revision: v.Revision}
}

// steer keeps the limits as the configuration has them.
func (i *Instance) steer(ctx context.Context) error {
	return i.requests.steering.Run(ctx, i.configuration, i.state.Changed)
}

// probe looks after targets whose last outcome was bad.
func (i *Instance) probe(ctx context.Context) error {
	return i.requests.steering.Probe(ctx, i.sender.Probe)
}
