// Package edge assembles an instance that is run by a platform: the platform's store tells it intent, targets and other
// instances, and it answers callers. It keeps nothing; whatever must last is in the store.
package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/duty"
	"medlarpond.dev/core/modules/logging"
	"medlarpond.dev/core/modules/meter"
	"medlarpond.dev/core/modules/peer"
	"medlarpond.dev/core/routers/front"
	peerrouter "medlarpond.dev/core/routers/peer"
	"medlarpond.dev/core/services/allowance"
	"medlarpond.dev/core/services/belief"
	"medlarpond.dev/core/services/forward"
	"medlarpond.dev/core/services/neighbor"
	"medlarpond.dev/core/services/placement"
	"medlarpond.dev/core/services/relay"
	"medlarpond.dev/core/services/target"
	"medlarpond.dev/core/settings"
)

const (
	// confirmFraction is the part of the bound on withdrawn keys for which contact with the store is trusted; the rest
	// covers the second in which a store may not report changes.
	confirmFraction = 0.88
	// relayFraction is the part of the bound on withdrawn keys for which a question to another instance waits.
	relayFraction = 0.05
	// evacuationFraction is the part of the bound on evacuations over which requests leave a failure domain.
	evacuationFraction = 0.6
	// shiftSpeed turns the bound on shifts within two seconds into a speed that uses two fifths of it; spillFraction of it
	// is for requests that find no room in their region, and the rest is left to chance.
	shiftSpeed    = 0.2
	spillFraction = 0.4
	// reserveFraction is the part of the reserve of repeats that is used: a fleet that restarts begins with a new one.
	reserveFraction = 0.45
	// retryFraction is the part of the permitted ratio of repeats that is used.
	retryFraction = 0.75
	// overrunFraction is the part of the tolerance of rates that is used, slackFraction that of the number besides.
	overrunFraction = 0.7
	slackFraction   = 0.7
	// partGrowth is how long the part of an instance that left is kept unused; it accepts no key after half of this.
	partGrowth = 10 * time.Second
	// stopPoll is the pause between two looks whether a stopping instance is idle.
	stopPoll = 20 * time.Millisecond
	// withdrawTimeout bounds the end of the registration.
	withdrawTimeout = time.Second
	// acceptFraction is the part of the time to stop in which every request is accepted; later ones must be able to end.
	acceptFraction = 0.48
	megabyte       = 1 << 20
)

// Platform is what the platform gives to an instance.
type Platform struct {
	// Duties keep the beliefs up to date and the instance registered.
	Duties []duty.Duty
	// Withdraw ends the registration of the instance, so that callers are sent elsewhere.
	Withdraw func(ctx context.Context) error
	// Lookup and Ready answer callers that ask where to connect, and the platform's checks.
	Lookup, Ready http.Handler
}

// Edge is one instance.
type Edge struct {
	settings settings.Edge
	logger   *zap.Logger
	state    *belief.State
	pool     *target.Pool
	// forwarder decides about requests, router speaks to callers.
	forwarder *forward.Forwarder
	router    *front.Router
	// teller and relay speak to the neighbors, which peers answers; calls holds the connections to them.
	teller  *neighbor.Broadcaster
	relay   *relay.Relay
	peers   *peer.Server
	calls   *peer.Pool
	meter   *meter.Meter
	leaving atomic.Bool
}

// New assembles an instance; headers are those of its callers and targets.
func New(s settings.Edge, headers forward.Headers, logger *zap.Logger) *Edge {
	logger = logger.With(zap.String(logging.FieldInstance, s.Instance.ID))
	allowances := allowance.New(allowance.Policy{
		Window: s.Bounds.RateWindow, Overrun: s.Bounds.RateOverrun * overrunFraction,
		Slack: s.Bounds.RateSlack * slackFraction, GrowAfter: partGrowth,
	})
	retries := allowance.NewRetryBudget(allowance.RetryPolicy{
		Ratio: s.Bounds.RetryRatio * retryFraction, Reserve: s.Bounds.RetryReserve * reserveFraction,
	})
	state := belief.New(logger, func(n int) {
		allowances.SetInstances(n)
		retries.SetInstances(n)
	})
	own := roster.Place{Region: s.Instance.Region, FailureDomain: s.Instance.FailureDomain}
	origins := make([]roster.Place, 0, len(s.FailureDomains))
	for domain, region := range s.FailureDomains {
		origins = append(origins, roster.Place{Region: region, FailureDomain: domain})
	}
	loads := placement.NewLoadTracker()
	chooser := placement.New(state, s.Instance.ID, own, origins, placement.Policy{
		RegionShift:    s.Bounds.RegionShift * shiftSpeed,
		RegionSpill:    s.Bounds.RegionShift * spillFraction,
		EvacuationRamp: time.Duration(evacuationFraction * float64(s.Bounds.EvacuateWithin)),
		Objects:        s.Placement.Objects, Candidates: s.Placement.Candidates, RankCost: s.Placement.RankCost,
		DomainCost: s.Placement.DomainCost, RegionCost: s.Placement.RegionCost,
	}, loads)
	e := &Edge{
		settings: s, logger: logger, state: state, pool: target.NewPool(), meter: meter.New(), peers: peer.NewServer(), calls: peer.NewPool(),
	}
	e.teller = neighbor.New(neighbor.Config{
		Self: s.Instance.ID, Place: own, State: state, Loads: loads, Send: peerrouter.TellLoads(e.calls), Logger: logger,
	})
	e.relay = relay.New(relay.Config{
		Self: s.Instance.ID, Place: own, State: state, Poll: peerrouter.AskChanges(e.calls), Logger: logger,
		Wait: time.Duration(relayFraction * float64(s.Bounds.RevokeWithin)),
	})
	if err := errors.Join(
		peerrouter.RegisterLoads(e.peers, loads.Merge), peerrouter.RegisterChanges(e.peers, e.relay.HandlePoll),
	); err != nil {
		logger.Error("cannot answer neighbors", zap.Error(err))
	}
	e.forwarder = forward.New(forward.Config{
		State: state, Placement: chooser, Loads: loads, RateLimiter: allowances, RetryBudget: retries, Pool: e.pool,
		Headers: headers, Meter: e.meter, Logger: logger,
		Policy: forward.Policy{
			ConfirmTimeout: e.confirmTimeout(), MaxTries: s.Requests.MaxTries, UnsafeIdle: s.Requests.UnsafeIdle,
			SafeIdle: s.Requests.SafeIdle, UrgentQueuePerSlot: s.Requests.UrgentQueuePerSlot, OtherQueuePerSlot: s.Requests.OtherQueuePerSlot,
		},
	})
	e.router = front.New(e.forwarder, headers, e.meter, logger)
	e.meter.Gauge("medlarpond_store_confirmed_seconds", func() float64 { return state.SinceConfirmed().Seconds() })
	e.meter.Gauge("medlarpond_running_requests", func() float64 { return float64(e.router.Running()) })
	return e
}

// State returns the beliefs that the platform's duties keep up to date.
func (e *Edge) State() *belief.State { return e.state }

// Relay returns the way to the store through other instances.
func (e *Edge) Relay() *relay.Relay { return e.relay }

// Meter returns the metrics of the instance.
func (e *Edge) Meter() *meter.Meter { return e.meter }

// Logger returns the logger of the instance.
func (e *Edge) Logger() *zap.Logger { return e.logger }

func (e *Edge) confirmTimeout() time.Duration {
	return time.Duration(confirmFraction * float64(e.settings.Bounds.RevokeWithin))
}

// Ready reports whether callers may use this instance.
func (e *Edge) Ready() bool { return !e.leaving.Load() && e.state.View().Intent != nil }

// Located is the answer to a caller that asks where to connect.
type Located struct {
	Instances []roster.Instance
	// TTL is how long the caller may keep the answer.
	TTL time.Duration
}

// Locate returns the instances for a caller at a place: those of its failure domain, else those of its region, else all.
func (e *Edge) Locate(place roster.Place) Located {
	view := e.state.View()
	confirmed := e.state.SinceConfirmed() <= e.confirmTimeout()
	usable := func(i roster.Instance) bool {
		return i.ID != e.settings.Instance.ID || (!e.leaving.Load() && confirmed)
	}
	var near, region, all []roster.Instance
	for _, i := range view.Instances {
		if !usable(i) {
			continue
		}
		all = append(all, i)
		if i.Place.Region == place.Region {
			region = append(region, i)
		}
		if i.Place == place {
			near = append(near, i)
		}
	}
	located := Located{TTL: e.settings.Stop.LookupTTL}
	for _, list := range [][]roster.Instance{near, region, all, view.Instances} {
		if len(list) > 0 {
			located.Instances = list
			break
		}
	}
	return located
}

// Run serves until the context ends, then stops gracefully.
func (e *Edge) Run(ctx context.Context, p Platform) error {
	debug.SetGCPercent(e.settings.Memory.CollectorPercent)
	debug.SetMemoryLimit(int64(e.settings.Memory.LimitFraction * float64(e.settings.Memory.LimitMB) * megabyte))
	tree := duty.New(e.logger)
	defer tree.Stop()
	caller := e.server(e.router)
	others := []*http.Server{e.server(p.Lookup), e.server(p.Ready), e.server(http.HandlerFunc(e.writeMetrics))}
	defer closeAll(others)
	for _, s := range []struct {
		name, address string
		serve         func(net.Listener) error
	}{
		{"caller-server", e.settings.Listen.Caller, caller.Serve},
		{"lookup-server", e.settings.Listen.Lookup, others[0].Serve},
		{"ready-server", e.settings.Listen.Ready, others[1].Serve},
		{"metrics-server", e.settings.Listen.Metrics, others[2].Serve},
		{"peer-server", e.settings.Listen.Peer, e.peers.Serve},
	} {
		if s.address == "" {
			continue
		}
		var c net.ListenConfig
		l, err := c.Listen(ctx, "tcp", s.address)
		if err != nil {
			_ = caller.Close()
			return trace.Wrap(err, "listening on %s", s.address)
		}
		defer func() { _ = l.Close() }()
		tree.Start(duty.Duty{Name: s.name, Run: func(context.Context) error {
			if err := s.serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				return err
			}
			return nil
		}})
	}
	defer e.peers.Close()
	defer e.calls.Close()
	tree.Start(duty.Duty{Name: "target-connections", Run: e.pool.Run})
	tree.Start(duty.Duty{Name: "neighbors", Run: e.teller.Run})
	for _, d := range p.Duties {
		tree.Start(d)
	}
	e.logger.Info("started", zap.String("caller", e.settings.Listen.Caller))
	<-ctx.Done()
	e.stop(p, caller)
	return nil
}

func closeAll(servers []*http.Server) {
	for _, s := range servers {
		_ = s.Close()
	}
}

// stop sends callers elsewhere, serves until none can still hold an answer that names this instance, and lets running
// requests end.
func (e *Edge) stop(p Platform, caller *http.Server) {
	began := time.Now()
	e.leaving.Store(true)
	e.router.Leave()
	s := e.settings.Stop
	last := s.Grace - s.Margin
	e.forwarder.BeginShutdown(began.Add(time.Duration(acceptFraction*float64(s.Grace))), began.Add(last))
	e.logger.Info("leaving", zap.Int64("running", e.router.Running()))
	bounded, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	if err := p.Withdraw(bounded); err != nil {
		e.logger.Warn("cannot end the registration; it ends with its lease", zap.Error(err))
	}
	cancel()
	cached := min(time.Duration(s.CacheFactor*float64(s.LookupTTL)), last)
	for time.Since(began) < last && (time.Since(began) < cached || e.router.Running() > 0) {
		time.Sleep(stopPoll)
	}
	bounded, cancel = context.WithDeadline(context.Background(), began.Add(last))
	defer cancel()
	if err := caller.Shutdown(bounded); err != nil {
		_ = caller.Close()
		e.logger.Warn("requests were still running at the end", zap.Int64("running", e.router.Running()), zap.Error(err))
	}
	e.logger.Info("stopped", zap.Duration("after", time.Since(began)))
}

func (e *Edge) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: e.settings.Requests.HeaderTimeout,
		IdleTimeout:       e.settings.Requests.IdleTimeout,
		MaxHeaderBytes:    e.settings.Requests.MaxHeaderBytes,
		ErrorLog:          zap.NewStdLog(e.logger),
	}
}

func (e *Edge) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	e.meter.Write(w)
}
