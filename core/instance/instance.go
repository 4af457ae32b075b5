// Package instance assembles and runs one entry instance.
package instance

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"medlarpond.dev/core/models/platform"
	"medlarpond.dev/core/modules/duty"
	"medlarpond.dev/core/modules/logging"
	"medlarpond.dev/core/modules/meter"
	"medlarpond.dev/core/modules/peer"
	"medlarpond.dev/core/routers/caller"
	"medlarpond.dev/core/routers/operator"
	"medlarpond.dev/core/services/configuration"
	"medlarpond.dev/core/services/membership"
	"medlarpond.dev/core/services/target"
	"medlarpond.dev/core/settings"
)

const (
	// leavingRounds is the number of heartbeat intervals within which all instances learn that one is leaving.
	leavingRounds = 4
	// operatorStopTimeout limits the graceful shutdown of the operator server.
	operatorStopTimeout = 2 * time.Second
)

// Instance is one entry instance.
type Instance struct {
	settings       settings.Settings
	logger         *zap.Logger
	store          platform.Store
	state          *configuration.State
	reader         *configuration.Reader
	table          *membership.Table
	fleet          fleet
	sender         *target.Sender
	requests       requests
	shares         *shares
	meter          *meter.Meter
	peerServer     *peer.Server
	callerServer   *http.Server
	operatorServer *http.Server
	// lifecycle holds a membership.State.
	lifecycle atomic.Value
	// running is the number of caller requests in progress.
	running atomic.Int64
}

// listeners holds the listening sockets of an instance.
type listeners struct {
	caller, operator, peer net.Listener
}

// New assembles an instance that uses the given store.
func New(s settings.Settings, store platform.Store, logger *zap.Logger) *Instance {
	logger = logger.With(zap.String(logging.FieldInstance, s.Instance.ID))
	state := configuration.NewState()
	i := &Instance{
		settings: s, logger: logger, store: store, state: state,
		table:      membership.NewTable(),
		sender:     target.NewSender(),
		meter:      meter.New(),
		peerServer: peer.NewServer(),
	}
	i.lifecycle.Store(membership.StateStarting)
	i.fleet = i.newFleet()
	i.reader = i.newReader()
	i.meter.Gauge("medlarpond_exchange_bytes", func() float64 { return float64(i.fleet.pool.TotalBytes()) })
	i.shares = i.newShares(func() { i.requests.steering.Notify() })
	i.requests = i.newRequests()
	i.callerServer = i.server(i.track(caller.New(i.requests.dispatcher, i.locate, i.meter, logger)))
	writer := configuration.NewWriter(store, state)
	writer.ConfirmedByPeers = i.fleet.exchanger.ConfirmedByPeers
	router := operator.New(state, writer, i.status, i.meter, logger)
	router.WaitApplied = i.fleet.exchanger.WaitApplied
	router.MarkGone = i.fleet.registration.MarkGone
	i.operatorServer = i.server(router)
	return i
}

// Run serves until the context ends, then shuts down gracefully.
func (i *Instance) Run(ctx context.Context) error {
	l, err := i.listen(ctx)
	if err != nil {
		return err
	}
	supervisor := duty.New(i.logger)
	defer supervisor.Stop()
	supervisor.Start(duty.Duty{Name: "peer-server", Run: func(context.Context) error { return i.peerServer.Serve(l.peer) }})
	supervisor.Start(duty.Duty{Name: "operator-server", Run: serve(i.operatorServer, l.operator)})
	if err := i.loadConfiguration(ctx); err != nil {
		return err
	}
	supervisor.Start(duty.Duty{Name: "configuration-reader", Run: i.reader.Run})
	supervisor.Start(duty.Duty{Name: "heartbeats", Run: i.fleet.exchanger.Run})
	supervisor.Start(duty.Duty{Name: "archive", Run: i.fleet.archiver.Run})
	i.waitForPeers(ctx)
	supervisor.Start(duty.Duty{Name: "epochs", Run: i.followEpochs})
	supervisor.Start(duty.Duty{Name: "loans", Run: i.shares.ledger.Run})
	supervisor.Start(duty.Duty{Name: "steering", Run: i.runSteering})
	supervisor.Start(duty.Duty{Name: "probes", Run: i.runProbes})
	supervisor.Start(duty.Duty{Name: "open-requests", Run: i.requests.dispatcher.Run})
	supervisor.Start(duty.Duty{Name: "idempotency-keys", Run: i.requests.claimer.Run})
	supervisor.Start(duty.Duty{Name: "caller-server", Run: serve(i.callerServer, l.caller)})
	i.join(ctx)
	supervisor.Start(duty.Duty{Name: "registration", Run: i.fleet.registration.Run})
	i.lifecycle.Store(membership.StateReady)
	i.logger.Info("instance is ready; accepting requests", zap.Uint64(logging.FieldRevision, i.state.View().Revision))
	<-ctx.Done()
	i.stop(l)
	return nil
}

// stop announces that the instance is leaving, waits until lookup results that contain it have expired, completes all
// requests in progress, and removes the instance from the fleet record.
func (i *Instance) stop(l listeners) {
	i.lifecycle.Store(membership.StateLeaving)
	i.logger.Info("instance is shutting down; announcing it to peers, then completing running requests")
	ctx := context.Background()
	announceCtx, cancelAnnounce := context.WithTimeout(ctx, fleetUpdateTimeout)
	i.fleet.exchanger.Announce(announceCtx)
	cancelAnnounce()
	time.Sleep(i.settings.Requests.LookupTTL + leavingRounds*i.settings.Peers.HeartbeatInterval)
	i.leave(ctx)
	_ = i.callerServer.Shutdown(ctx)
	i.deregister(ctx)
	shutdownCtx, cancel := context.WithTimeout(ctx, operatorStopTimeout)
	defer cancel()
	if err := i.operatorServer.Shutdown(shutdownCtx); err != nil {
		_ = i.operatorServer.Close()
	}
	_ = l.peer.Close()
	i.peerServer.Close()
	i.fleet.pool.Close()
	i.shares.pool.Close()
	i.requests.pool.Close()
	i.sender.Close()
	i.logger.Info("instance stopped")
}

func (i *Instance) listen(ctx context.Context) (listeners, error) {
	var l listeners
	var c net.ListenConfig
	for _, listener := range []struct {
		address string
		result  *net.Listener
	}{
		{i.settings.Listen.Caller, &l.caller},
		{i.settings.Listen.Operator, &l.operator},
		{i.settings.Listen.Peer, &l.peer},
	} {
		opened, err := c.Listen(ctx, "tcp", listener.address)
		if err != nil {
			return listeners{}, trace.Wrap(err, "listening on %s", listener.address)
		}
		*listener.result = opened
	}
	return l, nil
}

func (i *Instance) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: i.settings.Requests.HeaderTimeout,
		IdleTimeout:       i.settings.Requests.IdleTimeout,
		MaxHeaderBytes:    i.settings.Requests.MaxHeaderBytes,
		ErrorLog:          zap.NewStdLog(i.logger),
	}
}

func serve(s *http.Server, l net.Listener) func(context.Context) error {
	return func(context.Context) error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
}

// track counts the requests in progress. While the instance is leaving it asks callers to close their connections.
func (i *Instance) track(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		i.running.Add(1)
		defer i.running.Add(-1)
		if i.lifecycle.Load() == membership.StateLeaving {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (i *Instance) self() membership.Member {
	s := i.settings
	state, _ := i.lifecycle.Load().(membership.State)
	return membership.Member{
		ID: s.Instance.ID, Incarnation: i.fleet.incarnation, Region: s.Instance.Region, FailureDomain: s.Instance.FailureDomain,
		Caller: s.Listen.Caller, Operator: s.Listen.Operator, Peer: s.Listen.Peer,
		State: state, Revision: i.state.View().Revision, Running: int(i.running.Load()),
	}
}

// refreshSelf updates the entry of this instance in the member table.
func (i *Instance) refreshSelf() {
	self := i.self()
	self.Confirmed = i.confirmed()
	i.table.Put(self)
}

func (i *Instance) status() operator.Status {
	v := i.state.View()
	i.refreshSelf()
	f := i.fleet.fleetStore.Fleet()
	storeStatus := i.reader.StoreStatus()
	return operator.Status{
		Self: i.self(), Members: i.table.All(), Revision: v.Revision, Chain: v.Chain,
		Confirmed: i.confirmed(), ConfirmedByPeers: i.fleet.exchanger.ConfirmedByPeers(),
		Store: storeStatus, PeersDiverged: i.fleet.exchanger.Diverged(),
		Epoch: f.Epoch, Seats: f.Seats(), OpenEpochs: len(f.OpenSets),
	}
}
