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
	// loadRetry is the pause between attempts to read the configuration at the start.
	loadRetry = 200 * time.Millisecond
	// contactWait bounds the wait for contact with peers at the start.
	contactWait = 2 * time.Second
	// contactCheck is the pause between checks for contact.
	contactCheck = 20 * time.Millisecond
	// leaveTimeout bounds each change of the fleet record by which an instance joins or leaves.
	leaveTimeout = 2 * time.Second
	// loanHold is for how long loans of a silent instance may be used.
	loanHold = 2 * time.Second
)

// fleet is what an instance knows of the others and does with them.
type fleet struct {
	registrar    *membership.FleetStore
	confirmation *membership.Confirmation
	exchanger    *membership.Exchanger
	registration *membership.Registration
	archive      *configuration.Archiver
	pool         *peer.Pool
	// incarnation is the time of the start, so that it grows with each process.
	incarnation uint64
}

// newFleet assembles the part of an instance that speaks to the others.
func (i *Instance) newFleet() fleet {
	s := i.settings
	f := fleet{
		registrar:    membership.NewFleetStore(i.store, i.logger),
		confirmation: membership.NewConfirmation(i.state),
		pool:         peer.NewPool(),
		incarnation:  uint64(time.Now().UnixNano()),
	}
	f.exchanger = membership.NewExchanger(membership.ExchangerConfig{
		Table: i.table, FleetStore: f.registrar, Confirmation: f.confirmation,
		Epochs: membership.NewEpochTracker(s.Membership.ConfirmTimeout), FailureDetector: membership.NewFailureDetector(),
		State: i.state, Self: i.self, Settled: i.settledEpoch, Call: peerrouter.CallExchange(f.pool),
		Seeds: s.Peers.Seeds, Interval: s.Peers.HeartbeatInterval, CallTimeout: s.Peers.CallTimeout,
		ConfirmTimeout: s.Membership.ConfirmTimeout, Logger: i.logger,
	})
	f.registration = &membership.Registration{
		FleetStore: f.registrar, Exchanger: f.exchanger, Activate: i.activate, ReleaseDelay: i.longestHold,
		CatchUp: func(ctx context.Context) error { return i.reader.CatchUp(ctx) }, Logger: i.logger,
	}
	f.archive = configuration.NewArchiver(i.store, i.state, func() bool {
		return membership.WritesArchive(i.table, f.registrar.Fleet(), s.Instance.ID)
	}, i.logger)
	exchange := peerrouter.NewExchange(f.exchanger.HandleMessage, i.state)
	if err := i.peers.Register(peerrouter.ExchangeService, exchange); err != nil {
		i.logger.Error("cannot register the exchange", zap.Error(err))
	}
	return f
}

// newReader returns the reader of the store's log.
func (i *Instance) newReader() *configuration.Reader {
	r := configuration.NewReader(i.store, i.state, i.logger)
	r.WatchesStore = func() bool {
		return membership.WatchesStore(i.table, i.fleet.registrar.Fleet(), i.settings.Instance.ID)
	}
	r.PollUrgently = func() bool { return !i.fleet.exchanger.ConfirmedByPeers() }
	r.OnApplied = func() { i.fleet.exchanger.TriggerRound() }
	r.OnCaughtUp = func(ctx context.Context, asked time.Time) error {
		if err := i.fleet.registrar.Read(ctx); err != nil {
			return err
		}
		i.fleet.confirmation.RecordStoreResponse(asked)
		return nil
	}
	return r
}

// load puts a configuration in force: the store's, or if that does not answer, the one of a peer.
func (i *Instance) load(ctx context.Context) error {
	for {
		err := i.reader.Load(ctx)
		if err == nil || i.loadFromPeer(ctx) {
			return nil
		}
		i.logger.Warn("cannot read the configuration yet", zap.Error(err))
		select {
		case <-time.After(loadRetry):
		case <-ctx.Done():
			return trace.Wrap(context.Cause(ctx))
		}
	}
}

// loadFromPeer takes the whole configuration from the first seed that has one.
func (i *Instance) loadFromPeer(ctx context.Context) bool {
	for _, seed := range i.settings.Peers.Seeds {
		bounded, cancel := context.WithTimeout(ctx, contactWait)
		image, err := peerrouter.FetchImage(bounded, i.fleet.pool, seed)
		cancel()
		if err != nil || image.Revision == 0 {
			continue
		}
		v, err := image.View()
		if err != nil {
			i.logger.Warn("cannot use a peer's configuration", zap.String(logging.FieldPeer, seed), zap.Error(err))
			continue
		}
		if i.state.Install(v) {
			i.logger.Info("took the configuration from a peer", zap.String(logging.FieldPeer, seed),
				zap.Uint64(logging.FieldRevision, v.Revision))
		}
		return true
	}
	return false
}

// meetPeers waits until most seats have answered or the wait is over, so that an instance that the store has served with
// less than is in force learns the rest before it serves.
func (i *Instance) meetPeers(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, contactWait)
	defer cancel()
	ticker := time.NewTicker(contactCheck)
	defer ticker.Stop()
	for len(i.fleet.registrar.Fleet().Members) > 0 && !i.fleet.exchanger.ConfirmedByPeers() {
		select {
		case <-ticker.C:
		case <-bounded.Done():
			return
		}
	}
}

// confirmed reports whether this instance may serve keyed routes and use shares.
func (i *Instance) confirmed() bool { return i.fleet.exchanger.Confirmed() }

// longestHold returns for how long a silent instance's loans and requests may go on.
func (i *Instance) longestHold() time.Duration {
	longest := time.Duration(0)
	for _, r := range i.state.View().Snapshot.List(resource.KindService) {
		if s, ok := r.Spec.(resource.Service); ok {
			longest = max(longest, time.Duration(s.RequestTimeout))
		}
	}
	return longest + loanHold
}

// join enters this instance in the fleet record, if the store answers in time.
func (i *Instance) join(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := i.fleet.registration.Join(bounded); err != nil {
		i.logger.Warn("cannot register in the store yet", zap.Error(err))
	}
}

// leave gives up this instance's seat.
func (i *Instance) leave(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := i.fleet.registration.Leave(bounded); err != nil {
		i.logger.Warn("cannot give up the seat in the store; peers will notice the stop", zap.Error(err))
	}
	i.fleet.exchanger.Announce(bounded)
}

// withdraw takes this instance out of the fleet record once nothing of its portions is in use.
func (i *Instance) withdraw(ctx context.Context) {
	settling, stopSettling := context.WithTimeout(ctx, leaveTimeout)
	settled := i.awaitSettled(settling)
	stopSettling()
	bounded, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := i.fleet.registration.Deregister(bounded, settled); err != nil {
		i.logger.Warn("cannot withdraw from the store; peers will notice the stop", zap.Error(err))
	}
}
