// Package instance assembles one entry instance from its parts and runs it.
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
	"medlarpond.dev/core/services/dispatch"
	"medlarpond.dev/core/services/membership"
	"medlarpond.dev/core/services/steering"
	"medlarpond.dev/core/services/target"
	"medlarpond.dev/core/settings"
)

const (
	// loadRetry is the pause between attempts to read the configuration at the start.
	loadRetry = 200 * time.Millisecond
	// operatorStopTimeout bounds the end of the operators' connections.
	operatorStopTimeout = 2 * time.Second
)

// Instance is one entry instance.
type Instance struct {
	settings  settings.Settings
	logger    *zap.Logger
	store     platform.Store
	state     *configuration.State
	reader    *configuration.Reader
	table     *membership.Table
	directory *membership.Directory
	sender    *target.Sender
	meter     *meter.Meter
	peers     *peer.Server
	caller    *http.Server
	operator  *http.Server
	// lifecycle holds a membership.State.
	lifecycle atomic.Value
}

// listeners are the open sockets of an instance.
type listeners struct {
	caller, operator, peer net.Listener
}

// New assembles an instance on the given platform.
func New(s settings.Settings, store platform.Store, logger *zap.Logger) *Instance {
	logger = logger.With(zap.String(logging.FieldInstance, s.Instance.ID))
	state := configuration.NewState()
	i := &Instance{
		settings: s, logger: logger, store: store, state: state,
		reader: configuration.NewReader(store, state, logger),
		table:  membership.NewTable(),
		sender: target.NewSender(),
		meter:  meter.New(),
		peers:  peer.NewServer(),
	}
	i.lifecycle.Store(membership.StateStarting)
	i.directory = membership.NewDirectory(store, i.table, i.self, logger)
	place := steering.Place{Region: s.Instance.Region, FailureDomain: s.Instance.FailureDomain}
	dispatcher := dispatch.New(state, steering.New(place), i.sender, i.confirmed, logger)
	i.caller = i.server(caller.New(dispatcher, i.locate, i.meter, logger))
	writer := configuration.NewWriter(store, state)
	i.operator = i.server(operator.New(state, writer, i.status, i.meter, logger))
	return i
}

// Run serves until the context ends, then stops gracefully.
func (i *Instance) Run(ctx context.Context) error {
	l, err := i.listen(ctx)
	if err != nil {
		return err
	}
	tree := duty.New(i.logger)
	defer tree.Stop()
	tree.Start(duty.Duty{Name: "peer-server", Run: func(context.Context) error { return i.peers.Serve(l.peer) }})
	tree.Start(duty.Duty{Name: "operator-server", Run: serve(i.operator, l.operator)})
	if err := i.load(ctx); err != nil {
		return err
	}
	tree.Start(duty.Duty{Name: "configuration-reader", Run: i.reader.Run})
	tree.Start(duty.Duty{Name: "directory", Run: i.directory.Run})
	tree.Start(duty.Duty{Name: "caller-server", Run: serve(i.caller, l.caller)})
	i.lifecycle.Store(membership.StateReady)
	i.logger.Info("ready", zap.Uint64(logging.FieldRevision, i.state.View().Revision))
	<-ctx.Done()
	i.stop(l)
	return nil
}

// stop leaves the look-ups, waits until cached answers have expired, and finishes every request.
func (i *Instance) stop(l listeners) {
	i.lifecycle.Store(membership.StateLeaving)
	i.logger.Info("leaving")
	ctx := context.Background()
	if err := i.directory.Refresh(ctx); err != nil {
		i.logger.Warn("cannot announce the stop", zap.Error(err))
	}
	time.Sleep(i.settings.Requests.LookupTTL)
	_ = i.caller.Shutdown(ctx)
	if err := i.directory.Withdraw(ctx); err != nil {
		i.logger.Warn("cannot withdraw", zap.Error(err))
	}
	bounded, cancel := context.WithTimeout(ctx, operatorStopTimeout)
	defer cancel()
	if err := i.operator.Shutdown(bounded); err != nil {
		_ = i.operator.Close()
	}
	_ = l.peer.Close()
	i.peers.Close()
	i.sender.Close()
	i.logger.Info("stopped")
}

// load reads the configuration, trying again until the store answers or the context ends.
func (i *Instance) load(ctx context.Context) error {
	for {
		err := i.reader.Load(ctx)
		if err == nil {
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

func (i *Instance) listen(ctx context.Context) (listeners, error) {
	var l listeners
	var c net.ListenConfig
	for _, open := range []struct {
		address string
		into    *net.Listener
	}{
		{i.settings.Listen.Caller, &l.caller},
		{i.settings.Listen.Operator, &l.operator},
		{i.settings.Listen.Peer, &l.peer},
	} {
		opened, err := c.Listen(ctx, "tcp", open.address)
		if err != nil {
			return listeners{}, trace.Wrap(err, "listening on %s", open.address)
		}
		*open.into = opened
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

func (i *Instance) self() membership.Member {
	s := i.settings
	state, _ := i.lifecycle.Load().(membership.State)
	return membership.Member{
		ID: s.Instance.ID, Region: s.Instance.Region, FailureDomain: s.Instance.FailureDomain,
		Caller: s.Listen.Caller, Operator: s.Listen.Operator, Peer: s.Listen.Peer,
		State: state, Revision: i.state.View().Revision,
	}
}

func (i *Instance) confirmed() bool { return true }

func (i *Instance) status() operator.Status {
	v := i.state.View()
	return operator.Status{
		Self: i.self(), Members: i.table.All(), Revision: v.Revision, Chain: v.Chain,
		Confirmed:      i.confirmed(),
		StoreReachable: time.Since(i.reader.Confirmed()) < storeSilence,
		StoreDiverged:  i.reader.Diverged(),
	}
}

// storeSilence is how long the store may be silent before status calls it unreachable; a watch may wait for 10 s.
const storeSilence = 15 * time.Second
