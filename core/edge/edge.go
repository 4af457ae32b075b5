// Package edge assembles an edge instance. It reads its intent, targets and the other instances from the store of a
// platform and serves callers. It keeps no persistent state of its own; all persistent state is in the store.
package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/boottime"
	"medlarpond.dev/core/modules/duty"
	"medlarpond.dev/core/modules/logging"
	"medlarpond.dev/core/modules/meter"
	"medlarpond.dev/core/modules/peer"
	"medlarpond.dev/core/routers/front"
	peerrouter "medlarpond.dev/core/routers/peer"
	"medlarpond.dev/core/services/allowance"
	"medlarpond.dev/core/services/belief"
	"medlarpond.dev/core/services/crash"
	"medlarpond.dev/core/services/forward"
	"medlarpond.dev/core/services/hedge"
	"medlarpond.dev/core/services/neighbor"
	"medlarpond.dev/core/services/placement"
	"medlarpond.dev/core/services/ratepool"
	"medlarpond.dev/core/services/relay"
	"medlarpond.dev/core/services/target"
	"medlarpond.dev/core/services/witness"
	"medlarpond.dev/core/settings"
)

const (
	// confirmTimeoutFraction is the fraction of RevokeWithin for which a confirmation by the store stays valid. The rest
	// allows for periods of a second in which a store may not report changes.
	confirmTimeoutFraction = 0.88
	// relayWaitFraction is the fraction of RevokeWithin for which a poll of another instance waits for changes.
	relayWaitFraction = 0.05
	// evacuationRampFraction is the fraction of EvacuateWithin over which requests are moved out of a failure domain.
	evacuationRampFraction = 0.6
	// evacuationLimitFraction is the fraction of EvacuateWithin after which an evacuated failure domain receives no more
	// requests. The rest is for requests on their way and for a second in which a store may not report changes.
	evacuationLimitFraction = 0.75
	// shiftRateFactor converts RegionShift, the bound on shifts within 2 s, to a rate per second that uses 2/5 of it.
	// spillRateFactor is the fraction of RegionShift for requests that find no free capacity in their region. The rest is
	// a margin for random variation.
	shiftRateFactor = 0.2
	spillRateFactor = 0.4
	// retryReserveFraction is the fraction of RetryReserve that is used. The rest is for what new processes start with, which is a
	// quarter of it each time that all are killed, and for instances that others no longer list.
	retryReserveFraction = 0.5
	// retryRatioFraction is the fraction of RetryRatio that is used.
	retryRatioFraction = 0.75
	// overrunFraction and slackFraction are the fractions of RateOverrun and RateSlack that are used.
	overrunFraction = 0.7
	slackFraction   = 0.7
	// shareGrowthDelay is how long the rate limit share of an instance that left stays unused before the others divide
	// it. The instance that left no longer accepts API keys after half of this time.
	shareGrowthDelay = 10 * time.Second
	// stopPollInterval is the interval at which a stopping instance checks whether it is idle.
	stopPollInterval = 20 * time.Millisecond
	// deregisterTimeout limits the removal of the registration.
	deregisterTimeout = time.Second
	// acceptAllFraction is the fraction of the stop grace period in which every request is accepted. Later requests are
	// accepted only if their deadline is before the end of the shutdown.
	acceptAllFraction = 0.48
	megabyte          = 1 << 20
)

// Platform holds the parts of an instance that depend on the platform.
type Platform struct {
	// Duties keep the instance's view of the system up to date and its registration alive.
	Duties []duty.Duty
	// Deregister removes the registration of the instance, so that callers are directed to other instances.
	Deregister func(ctx context.Context) error
	// Lookup serves the lookups of instances by callers, Ready the platform's readiness checks.
	Lookup, Ready http.Handler
}

// Edge is one edge instance.
type Edge struct {
	settings settings.Edge
	self     roster.Instance
	logger   *zap.Logger
	state    *belief.State
	pool     *target.Pool
	crashes  *crash.Tally
	// rates shares the rate limits of teams with other instances.
	rates *ratepool.Pool
	// forwarder admits requests and sends them to targets; router handles the HTTP exchange with callers.
	forwarder *forward.Forwarder
	router    *front.Router
	// broadcaster, relay and witness call other instances over the connections in peerPool; peerServer serves their calls.
	broadcaster *neighbor.Broadcaster
	relay       *relay.Relay
	witness     *witness.Witness
	peerServer  *peer.Server
	peerPool    *peer.Pool
	// ratePeers holds the connections for rates, as a call that times out closes its connection.
	ratePeers *peer.Pool
	meter     *meter.Meter
	accounts  accounts
	// callers is the server of callers.
	callers server
	leaving atomic.Bool
}

// New assembles an instance. headers holds the names of the headers that callers and targets use.
func New(s settings.Edge, headers forward.Headers, logger *zap.Logger) *Edge {
	logger = logger.With(zap.String(logging.FieldInstance, s.Instance.ID))
	rateLimiter := allowance.New(allowance.Policy{
		Window: s.Bounds.RateWindow, Overrun: s.Bounds.RateOverrun * overrunFraction,
		Slack: s.Bounds.RateSlack * slackFraction, GrowAfter: shareGrowthDelay,
	})
	retryBudget := allowance.NewRetryBudget(allowance.RetryPolicy{
		Ratio: s.Bounds.RetryRatio * retryRatioFraction, Reserve: s.Bounds.RetryReserve * retryReserveFraction,
	})
	localPlace := roster.Place{Region: s.Instance.Region, FailureDomain: s.Instance.FailureDomain}
	self := roster.Instance{ID: s.Instance.ID, Caller: s.Listen.Caller, Peer: s.Listen.Peer, Place: localPlace, Capacity: s.Capacity.Relative()}
	state := belief.New(logger, boottime.Now, func(registered []roster.Instance) {
		n := len(withSelf(registered, self))
		rateLimiter.SetInstances(n)
		retryBudget.SetInstances(n)
	})
	origins := make([]roster.Place, 0, len(s.FailureDomains))
	for domain, region := range s.FailureDomains {
		origins = append(origins, roster.Place{Region: region, FailureDomain: domain})
	}
	loads := placement.NewLoadTracker()
	chooser := placement.New(state, s.Instance.ID, localPlace, origins, placement.Policy{
		RegionShift:     s.Bounds.RegionShift * shiftRateFactor,
		RegionSpill:     s.Bounds.RegionShift * spillRateFactor,
		EvacuationRamp:  time.Duration(evacuationRampFraction * float64(s.Bounds.EvacuateWithin)),
		EvacuationLimit: time.Duration(evacuationLimitFraction * float64(s.Bounds.EvacuateWithin)),
		OwnerTimeout:    s.Bounds.ContactWithin,
		Objects:         s.Placement.Objects, Candidates: s.Placement.Candidates, RankCost: s.Placement.RankCost,
		DomainCost: s.Placement.DomainCost, RegionCost: s.Placement.RegionCost,
	}, loads)
	e := &Edge{
		settings: s, self: self, logger: logger, state: state, pool: target.NewPool(), crashes: crash.NewTally(), meter: meter.New(), peerServer: peer.NewServer(), peerPool: peer.NewPool(), ratePeers: peer.NewPool(),
	}
	e.broadcaster = neighbor.New(neighbor.Config{
		Self: s.Instance.ID, Place: localPlace, State: state, Loads: loads, Send: peerrouter.SendLoads(e.peerPool), Logger: logger,
	})
	e.relay = relay.New(relay.Config{
		Self: s.Instance.ID, Place: localPlace, State: state, Poll: peerrouter.PollChanges(e.peerPool), Logger: logger,
		Wait: time.Duration(relayWaitFraction * float64(s.Bounds.RevokeWithin)),
	})
	e.witness = witness.New(witness.Config{
		Self: s.Instance.ID, State: state, Contact: witness.NewContact(boottime.Now), Ask: peerrouter.GetContact(e.peerPool), Logger: logger,
	})
	e.rates = e.newRatePool(rateLimiter)
	e.registerMethods(loads)
	e.forwarder = forward.New(forward.Config{
		State: state, Placement: chooser, Loads: loads, Rates: e.rates, RetryBudget: retryBudget, Crashes: e.crashes, Pool: e.pool,
		Hedger: newHedger(s.Hedging), Headers: headers, Meter: e.meter, Logger: logger,
		Policy: forward.Policy{
			ConfirmTimeout: e.confirmTimeout(), MaxTries: s.Requests.MaxTries, UnsafeIdle: s.Requests.UnsafeIdle,
			SafeIdle: s.Requests.SafeIdle, UrgentQueuePerSlot: s.Requests.UrgentQueuePerSlot, OtherQueuePerSlot: s.Requests.OtherQueuePerSlot,
		},
	})
	e.router = front.New(e.forwarder, headers, e.meter, logger)
	e.accounts = newAccounts(s, e.meter, logger, e.router)
	e.callers = e.newCallerServer()
	e.meter.Gauge("medlarpond_store_confirmed_seconds", func() float64 { return state.SinceConfirmed().Seconds() })
	e.meter.Gauge("medlarpond_running_requests", func() float64 { return float64(e.router.Running()) })
	return e
}

// newRatePool returns the pool in which the instances share the rate limits; split is the equal split of teams that are not pooled.
func (e *Edge) newRatePool(split *allowance.RateLimiter) *ratepool.Pool {
	bounds := e.settings.Bounds
	return ratepool.New(ratepool.Config{
		Self: e.self, Now: boottime.Now, Draw: peerrouter.DrawRates(e.ratePeers), Split: split, Meter: e.meter, Logger: e.logger,
		View: func() ratepool.View {
			v := e.state.View()
			return ratepool.View{Instances: v.Instances, Intent: v.Intent}
		},
		Policy: ratepool.Policy{
			Enabled: e.settings.Rates.Pooling, MinPart: e.settings.Rates.MinPart, Window: bounds.RateWindow,
			Overrun: bounds.RateOverrun * overrunFraction, Slack: bounds.RateSlack * slackFraction, GrowAfter: shareGrowthDelay,
		},
	})
}

// registerMethods registers the methods that other instances call.
func (e *Edge) registerMethods(loads *placement.LoadTracker) {
	if err := errors.Join(
		peerrouter.RegisterLoads(e.peerServer, loads.Merge), peerrouter.RegisterChanges(e.peerServer, e.relay.HandlePoll),
		peerrouter.RegisterContact(e.peerServer, e.witness.Contact.Unbroken), peerrouter.RegisterRates(e.peerServer, e.rates.HandleDraw),
	); err != nil {
		e.logger.Error("failed to register the peer RPC methods", zap.Error(err))
	}
}

// newHedger returns nil if hedging is off.
func newHedger(s settings.EdgeHedging) *hedge.Hedger {
	if s.Ratio <= 0 {
		return nil
	}
	return hedge.New(hedge.Policy{Ratio: s.Ratio, Quantile: s.Quantile})
}

// State returns the instance's view of the system, which the duties of the platform keep up to date.
func (e *Edge) State() *belief.State { return e.state }

// Relay returns the relay through which this instance follows the store by polling other instances.
func (e *Edge) Relay() *relay.Relay { return e.relay }

// Witness returns the witness, whose Contact must record the responses of the store.
func (e *Edge) Witness() *witness.Witness { return e.witness }

// Crashes returns the tally of the targets that died under requests, which a duty of the platform shares among instances.
func (e *Edge) Crashes() *crash.Tally { return e.crashes }

// Meter returns the metrics of the instance.
func (e *Edge) Meter() *meter.Meter { return e.meter }

// Logger returns the logger of the instance.
func (e *Edge) Logger() *zap.Logger { return e.logger }

func (e *Edge) confirmTimeout() time.Duration {
	return time.Duration(confirmTimeoutFraction * float64(e.settings.Bounds.RevokeWithin))
}

// Ready reports whether callers may use this instance. They may not if it cannot accept their connections.
func (e *Edge) Ready() bool {
	return !e.leaving.Load() && e.state.View().Intent != nil && e.callers.connections.CanAccept()
}

// LookupResult holds the instances that a caller should use.
type LookupResult struct {
	Instances []roster.Instance
	// TTL is how long the caller may cache the result.
	TTL time.Duration
}

// withSelf returns the registered instances and this one, which is alive although it may not be registered.
func withSelf(registered []roster.Instance, self roster.Instance) []roster.Instance {
	if slices.ContainsFunc(registered, func(i roster.Instance) bool { return i.ID == self.ID }) {
		return registered
	}
	return append(slices.Clip(registered), self)
}

// serving returns the instances to which callers of their failure domains are directed.
func serving(instances []roster.Instance) []roster.Instance {
	var found []roster.Instance
	seen := map[roster.Place]bool{}
	for _, i := range instances {
		if !seen[i.Place] {
			seen[i.Place] = true
			found = append(found, roster.Serving(instances, i.Place)...)
		}
	}
	return found
}

// Locate returns the instances for a caller at a place: those in its failure domain, or if there are none those in its
// region, or else all, in each failure domain only those to which callers are directed. It leaves out this instance if it is stopping or not confirmed by the store, unless there is no
// other. It returns no instance until the list of registered instances has been received.
func (e *Edge) Locate(place roster.Place) LookupResult {
	known := e.state.View().Instances
	if known != nil && !e.leaving.Load() {
		known = withSelf(known, e.self)
	}
	confirmed := e.state.SinceConfirmed() <= e.confirmTimeout()
	usable := func(i roster.Instance) bool {
		return i.ID != e.settings.Instance.ID || (!e.leaving.Load() && confirmed)
	}
	var candidates, inDomain, inRegion, all []roster.Instance
	for _, i := range known {
		if usable(i) {
			candidates = append(candidates, i)
		}
	}
	for _, i := range serving(candidates) {
		all = append(all, i)
		if i.Place.Region == place.Region {
			inRegion = append(inRegion, i)
		}
		if i.Place == place {
			inDomain = append(inDomain, i)
		}
	}
	result := LookupResult{TTL: e.settings.Stop.LookupTTL}
	for _, list := range [][]roster.Instance{inDomain, inRegion, all, known} {
		if len(list) > 0 {
			result.Instances = list
			break
		}
	}
	return result
}

// Run serves until the context ends, then shuts down gracefully.
func (e *Edge) Run(ctx context.Context, p Platform) error {
	debug.SetGCPercent(e.settings.Memory.CollectorPercent)
	debug.SetMemoryLimit(int64(e.settings.Memory.LimitFraction * float64(e.settings.Memory.LimitMB) * megabyte))
	supervisor := duty.New(e.logger)
	defer supervisor.Stop()
	caller := e.callers
	auxiliary := []server{
		e.newServer("lookup", p.Lookup, lookupShare, e.callerLimits, e.accounts.lookups),
		e.newServer("ready", p.Ready, probeShare, e.platformLimits, e.accounts.probes),
		e.newServer("metrics", http.HandlerFunc(e.writeMetrics), probeShare, e.platformLimits, e.accounts.probes),
	}
	defer closeAll(auxiliary)
	for _, s := range []struct {
		name, address string
		serve         func(net.Listener) error
	}{
		{"caller-server", e.settings.Listen.Caller, caller.Serve},
		{"lookup-server", e.settings.Listen.Lookup, auxiliary[0].Serve},
		{"ready-server", e.settings.Listen.Ready, auxiliary[1].Serve},
		{"metrics-server", e.settings.Listen.Metrics, auxiliary[2].Serve},
		{"peer-server", e.settings.Listen.Peer, e.peerServer.Serve},
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
		supervisor.Start(duty.Duty{Name: s.name, Run: func(context.Context) error {
			if err := s.serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				return err
			}
			return nil
		}})
	}
	defer e.peerServer.Close()
	defer e.peerPool.Close()
	defer e.ratePeers.Close()
	for _, s := range append(auxiliary, caller) {
		supervisor.Start(duty.Duty{Name: s.name + "-connections", Run: s.connections.Run})
	}
	supervisor.Start(duty.Duty{Name: "target-connections", Run: e.pool.Run})
	supervisor.Start(duty.Duty{Name: "neighbors", Run: e.broadcaster.Run})
	supervisor.Start(duty.Duty{Name: "shared-rates", Run: e.rates.Run})
	for _, d := range p.Duties {
		supervisor.Start(d)
	}
	e.logger.Info("instance started; accepting requests", zap.String("caller", e.settings.Listen.Caller))
	<-ctx.Done()
	e.stop(p, caller.Server)
	return nil
}

func closeAll(servers []server) {
	for _, s := range servers {
		_ = s.Close()
	}
}

// stop deregisters the instance, and serves until cached lookup results that name it have expired and no request is in
// progress, at most for the grace period less its margin.
func (e *Edge) stop(p Platform, caller *http.Server) {
	started := time.Now()
	e.leaving.Store(true)
	e.router.BeginShutdown()
	s := e.settings.Stop
	maxDuration := s.Grace - s.Margin
	e.forwarder.BeginShutdown(started.Add(time.Duration(acceptAllFraction*float64(s.Grace))), started.Add(maxDuration))
	e.logger.Info("instance is shutting down; deregistering, then waiting for running requests", zap.Int64("running", e.router.Running()))
	timeoutCtx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	if err := p.Deregister(timeoutCtx); err != nil {
		e.logger.Warn("failed to deregister; the registration expires with its lease", zap.Error(err))
	}
	cancel()
	cacheExpiry := min(time.Duration(s.CacheFactor*float64(s.LookupTTL)), maxDuration)
	for time.Since(started) < maxDuration && (time.Since(started) < cacheExpiry || e.router.Running() > 0) {
		time.Sleep(stopPollInterval)
	}
	timeoutCtx, cancel = context.WithDeadline(context.Background(), started.Add(maxDuration))
	defer cancel()
	if err := caller.Shutdown(timeoutCtx); err != nil {
		_ = caller.Close()
		e.logger.Warn("shutdown deadline exceeded; closed the connections of the remaining requests", zap.Int64("running", e.router.Running()), zap.Error(err))
	}
	e.logger.Info("instance stopped serving requests", zap.Duration("after", time.Since(started)))
}

func (e *Edge) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	e.meter.Write(w)
}
