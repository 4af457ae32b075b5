package instance

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/modules/logging"
	"medlarpond.dev/core/modules/peer"
	peerrouter "medlarpond.dev/core/routers/peer"
	"medlarpond.dev/core/services/configuration"
	"medlarpond.dev/core/services/membership"
)

const (
	// loadRetryInterval is the delay between attempts to load the configuration at startup.
	loadRetryInterval = 200 * time.Millisecond
	// startupPeerTimeout limits the wait for peers at startup.
	startupPeerTimeout = 2 * time.Second
	// pollInterval is the interval between checks of a condition that is waited for.
	pollInterval = 20 * time.Millisecond
	// fleetUpdateTimeout limits each update of the fleet record when an instance joins or leaves.
	fleetUpdateTimeout = 2 * time.Second
	// loanReleaseDelay is how long an unresponsive instance may continue to use its loans for new requests. It exceeds the
	// TTL of a loan, 1 s.
	loanReleaseDelay = 2 * time.Second
)

// fleet holds the components that synchronize an instance with the other instances.
type fleet struct {
	fleetStore   *membership.FleetStore
	confirmation *membership.Confirmation
	exchanger    *membership.Exchanger
	registration *membership.Registration
	archiver     *configuration.Archiver
	pool         *peer.Pool
	// incarnation is the start time in nanoseconds, so that it increases with each process of the instance.
	incarnation uint64
}

// newFleet assembles the components for membership and gossip, and registers their RPC methods.
func (i *Instance) newFleet() fleet {
	s := i.settings
	f := fleet{
		fleetStore:   membership.NewFleetStore(i.store, i.logger),
		confirmation: membership.NewConfirmation(i.state),
		pool:         peer.NewPool(),
		incarnation:  uint64(time.Now().UnixNano()),
	}
	f.exchanger = membership.NewExchanger(membership.ExchangerConfig{
		Table: i.table, FleetStore: f.fleetStore, Confirmation: f.confirmation,
		Epochs: membership.NewEpochTracker(s.Membership.ConfirmTimeout), FailureDetector: membership.NewFailureDetector(),
		State: i.state, Self: i.self, Settled: i.settledEpoch, Call: peerrouter.CallExchange(f.pool),
		Seeds: s.Peers.Seeds, Interval: s.Peers.HeartbeatInterval, CallTimeout: s.Peers.CallTimeout,
		ConfirmTimeout: s.Membership.ConfirmTimeout, Logger: i.logger,
	})
	f.registration = &membership.Registration{
		FleetStore: f.fleetStore, Exchanger: f.exchanger, Activate: i.activate, ReleaseDelay: i.releaseDelay,
		CatchUp: func(ctx context.Context) error { return i.reader.CatchUp(ctx) }, Logger: i.logger,
	}
	f.archiver = configuration.NewArchiver(i.store, i.state, func() bool {
		return membership.WritesArchive(i.table, f.fleetStore.Fleet(), s.Instance.ID)
	}, i.logger)
	exchange := peerrouter.NewExchange(f.exchanger.HandleMessage, i.state)
	if err := i.peerServer.Register(peerrouter.ExchangeService, exchange); err != nil {
		i.logger.Error("failed to register the exchange RPC methods", zap.Error(err))
	}
	return f
}

// newReader returns the reader of the configuration log in the store.
func (i *Instance) newReader() *configuration.Reader {
	r := configuration.NewReader(i.store, i.state, i.logger)
	r.WatchesStore = func() bool {
		return membership.WatchesStore(i.table, i.fleet.fleetStore.Fleet(), i.settings.Instance.ID)
	}
	r.PollUrgently = func() bool { return !i.fleet.exchanger.ConfirmedByPeers() }
	r.OnApplied = func() { i.fleet.exchanger.TriggerRound() }
	r.OnCaughtUp = func(ctx context.Context, requestedAt time.Time) error {
		if err := i.fleet.fleetStore.Read(ctx); err != nil {
			return err
		}
		i.fleet.confirmation.RecordStoreResponse(requestedAt)
		return nil
	}
	return r
}

// loadConfiguration loads the configuration from the store or, if that fails, from a peer. It retries until one of them
// succeeds or the context ends.
func (i *Instance) loadConfiguration(ctx context.Context) error {
	for {
		err := i.reader.Load(ctx)
		if err == nil || i.loadFromPeer(ctx) {
			return nil
		}
		i.logger.Warn("failed to load the configuration; retrying", zap.Error(err))
		select {
		case <-time.After(loadRetryInterval):
		case <-ctx.Done():
			return trace.Wrap(context.Cause(ctx))
		}
	}
}

// loadFromPeer loads a full image of the configuration from the first seed that has one.
func (i *Instance) loadFromPeer(ctx context.Context) bool {
	for _, seed := range i.settings.Peers.Seeds {
		fetchCtx, cancel := context.WithTimeout(ctx, startupPeerTimeout)
		image, err := peerrouter.FetchImage(fetchCtx, i.fleet.pool, seed)
		cancel()
		if err != nil || image.Revision == 0 {
			continue
		}
		v, err := image.View()
		if err != nil {
			i.logger.Warn("ignored an invalid configuration image from a peer", zap.String(logging.FieldPeer, seed), zap.Error(err))
			continue
		}
		if i.state.Install(v) {
			i.logger.Info("loaded the configuration from a peer", zap.String(logging.FieldPeer, seed),
				zap.Uint64(logging.FieldRevision, v.Revision))
		}
		return true
	}
	return false
}

// waitForPeers waits until a majority of the seats has confirmed this instance, for at most startupPeerTimeout. If the
// store lacks changes that the fleet has applied, the instance thereby receives them before it serves requests.
func (i *Instance) waitForPeers(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, startupPeerTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for len(i.fleet.fleetStore.Fleet().Members) > 0 && !i.fleet.exchanger.ConfirmedByPeers() {
		select {
		case <-ticker.C:
		case <-waitCtx.Done():
			return
		}
	}
}

// confirmed reports whether this instance may serve routes that require a key and use its shares.
func (i *Instance) confirmed() bool { return i.fleet.exchanger.Confirmed() }

// releaseDelay returns how long the loans and requests of an unresponsive instance may continue.
func (i *Instance) releaseDelay() time.Duration {
	maxTimeout := time.Duration(0)
	for _, r := range i.state.View().Snapshot.List(resource.KindService) {
		if s, ok := r.Spec.(resource.Service); ok {
			maxTimeout = max(maxTimeout, time.Duration(s.RequestTimeout))
		}
	}
	return maxTimeout + loanReleaseDelay
}

// join adds this instance to the fleet record, unless the store does not respond within fleetUpdateTimeout.
func (i *Instance) join(ctx context.Context) {
	updateCtx, cancel := context.WithTimeout(ctx, fleetUpdateTimeout)
	defer cancel()
	if err := i.fleet.registration.Join(updateCtx); err != nil {
		i.logger.Warn("failed to register in the store; retrying in the background", zap.Error(err))
	}
}

// leave marks this instance as leaving in the fleet record, which gives up its seat, and announces that to its peers.
func (i *Instance) leave(ctx context.Context) {
	updateCtx, cancel := context.WithTimeout(ctx, fleetUpdateTimeout)
	defer cancel()
	if err := i.fleet.registration.Leave(updateCtx); err != nil {
		i.logger.Warn("failed to mark the instance as leaving in the store; peers will detect the shutdown", zap.Error(err))
	}
	i.fleet.exchanger.Announce(updateCtx)
}

// deregister waits until none of this instance's shares are in use or on loan, for at most fleetUpdateTimeout, and
// removes the instance from the fleet record.
func (i *Instance) deregister(ctx context.Context) {
	settleCtx, cancelSettle := context.WithTimeout(ctx, fleetUpdateTimeout)
	settled := i.waitSettled(settleCtx)
	cancelSettle()
	updateCtx, cancel := context.WithTimeout(ctx, fleetUpdateTimeout)
	defer cancel()
	if err := i.fleet.registration.Deregister(updateCtx, settled); err != nil {
		i.logger.Warn("failed to deregister from the store; peers will detect the shutdown", zap.Error(err))
	}
}
