// Package ratepool shares the rate limits of teams among the instances of a fleet. Every instance owns an equal part of every limit.
// It delegates its part to the collector of its failure domain, which delegates all parts of the domain to a root, and tokens are
// drawn in the opposite direction by the instances that have requests. So a team may use its whole rate at any instance.
//
// A part is used by one node at a time. Delegations are leases: a node that cannot reach its parent uses its own part again only after
// the parent can no longer use it.
package ratepool

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/intent"
	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/logging"
	"medlarpond.dev/core/modules/meter"
	"medlarpond.dev/core/services/allowance"
)

const (
	// maxTakeWait is the longest time that a request waits for a token.
	maxTakeWait = 100 * time.Millisecond
	// syncInterval is the interval at which the pool follows the view without requests.
	syncInterval = 100 * time.Millisecond
)

// The causes of refusals.
const (
	causeEmpty      = "empty"
	causeParentLost = "parent-lost"
	causeStarting   = "starting"
)

// View is what an instance knows of the fleet.
type View struct {
	// Instances holds the registered instances; nil until the list has been received. A list is never modified.
	Instances []roster.Instance
	// Intent is nil until the first one is received.
	Intent *intent.Intent
}

// Config holds the dependencies and settings of a Pool.
type Config struct {
	Self   roster.Instance
	Policy Policy
	// View returns the current view.
	View func() View
	// Now returns the boot time.
	Now func() time.Duration
	// Draw sends a message to the instance with the given peer address.
	Draw func(ctx context.Context, address string, r Request) (Reply, error)
	// Split is the equal split that applies to teams that are not pooled.
	Split  *allowance.RateLimiter
	Meter  *meter.Meter
	Logger *zap.Logger
}

// Pool admits the requests of teams at one instance. It is safe for concurrent use.
type Pool struct {
	Config
	startedAt               time.Duration
	member, collector, root *node

	mu sync.RWMutex
	// view is the view that the other fields follow.
	view  View
	known bool
	count allowance.PeakCount
	// unevenUntil is until when all teams are pooled, because callers are not directed to some of the instances.
	unevenUntil time.Duration
	rule        rule
	// teams holds the teams with a rate limit, by name.
	teams map[string]pooledTeam
}

// pooledTeam is a team with a rate limit.
type pooledTeam struct {
	limits limits
	pooled bool
	// withheldUntil is when this instance's part may be used in pools, because the equal split has admitted as many requests.
	withheldUntil time.Duration
}

// Decision is the outcome of Take.
type Decision struct {
	OK bool
	// RetryAfter is the time until a request may be admitted, if OK is false.
	RetryAfter time.Duration
	// Pooled is true if the team is pooled, false if its limit is split equally.
	Pooled bool
	// Held is the rate that this instance held itself and Requested the rate that was requested here, per second, for a refused
	// request of a pooled team.
	Held, Requested float64
	token           token
}

// New returns a Pool. It grants nothing to pooled teams until Run runs.
func New(c Config) *Pool {
	incarnation := rand.Uint64() | 1
	p := &Pool{Config: c, startedAt: c.Now(), teams: map[string]pooledTeam{}}
	p.member = newNode(c.Policy, c.Self.ID, incarnation, c.Now)
	p.collector = newNode(c.Policy, c.Self.ID, incarnation, c.Now)
	p.root = newNode(c.Policy, c.Self.ID, incarnation, c.Now)
	p.member.maxTokenAge, p.collector.maxTokenAge, p.root.maxTokenAge = memberTokenTTL, memberTokenTTL, maxRootTokenAge
	p.member.tokenTTL = memberTokenTTL
	p.collector.tokenTTL, p.collector.ahead, p.collector.toRoot = collectorTokenTTL, true, true
	p.member.send, p.collector.send = p.send, p.send
	for level, n := range map[string]*node{"member": p.member, "collector": p.collector} {
		logger := c.Logger.With(zap.String("level", level))
		n.onParent = func(parent Parent) {
			logger.Info("parent for shared rates changed; delegating this instance's part to it", zap.String(logging.FieldPeer, parent.ID))
		}
		n.onLost = func(parent Parent, err error) {
			logger.Warn("parent for shared rates does not respond; using only the part held here once the delegation has ended",
				zap.String(logging.FieldPeer, parent.ID), zap.Error(err))
		}
		n.onBack = func(parent Parent) {
			logger.Info("parent for shared rates responds again", zap.String(logging.FieldPeer, parent.ID))
		}
	}
	if c.Meter != nil {
		c.Meter.Gauge("medlarpond_rate_delegated", func() float64 {
			if c.Now() < p.member.delegatedUntil() {
				return 1
			}
			return 0
		})
	}
	return p
}

// Run exchanges messages with other instances until the context is done.
func (p *Pool) Run(ctx context.Context) error {
	if !p.Policy.Enabled {
		<-ctx.Done()
		return nil
	}
	var running sync.WaitGroup
	running.Go(func() { p.member.run(ctx) })
	running.Go(func() { p.collector.run(ctx) })
	for ctx.Err() == nil {
		p.sync()
		select {
		case <-time.After(syncInterval):
		case <-ctx.Done():
		}
	}
	running.Wait()
	return nil
}

// HandleDraw handles a message of another instance.
func (p *Pool) HandleDraw(ctx context.Context, r Request) Reply {
	p.syncIfChanged()
	if r.ToRoot {
		return p.root.handle(ctx, r)
	}
	return p.collector.handle(ctx, r)
}

// send sends a message to a parent. A parent in this process is called directly.
func (p *Pool) send(ctx context.Context, parent Parent, r Request) (Reply, error) {
	if parent.ID == p.Self.ID {
		return p.HandleDraw(ctx, r), nil
	}
	return p.Draw(ctx, parent.Address, r)
}

// Take admits one request of a team: with a token from the pool if the team is pooled, and by the equal split otherwise. It waits for
// a token for up to 100 ms.
func (p *Pool) Take(ctx context.Context, team intent.Team) Decision {
	if team.Rate <= 0 {
		return Decision{OK: true}
	}
	p.syncIfChanged()
	p.mu.RLock()
	if t := p.teams[team.Name]; !t.pooled {
		// The lock is held so that the split is not asked after the team has become pooled.
		ok, wait := p.Split.Allow(team)
		p.mu.RUnlock()
		return Decision{OK: ok, RetryAfter: wait}
	}
	p.mu.RUnlock()
	deadline := p.Now() + maxTakeWait
	for {
		now := p.Now()
		got, _ := p.member.acquire(ctx, map[string]int{team.Name: 1}, deadline-now)
		d := got[team.Name]
		now = p.Now()
		if len(d.tokens) > 0 && now < d.tokens[0].expiresAt {
			p.count1("medlarpond_rate_tokens_total", "source", string(d.tokens[0].source))
			return Decision{OK: true, Pooled: true, token: d.tokens[0]}
		}
		if d.wait >= deadline-now || ctx.Err() != nil {
			return p.refuse(now, team, d.wait)
		}
		select {
		case <-time.After(max(d.wait, time.Millisecond)):
		case <-ctx.Done():
		}
	}
}

// refuse returns the decision of a refusal.
func (p *Pool) refuse(now time.Duration, team intent.Team, wait time.Duration) Decision {
	cause := causeEmpty
	held, requested, lost := p.member.figures(now, team.Name)
	switch {
	case now < p.startedAt+2*startupDelay:
		cause = causeStarting
		wait = max(wait, p.startedAt+startupDelay+renewInterval-now)
	case lost:
		cause = causeParentLost
		wait = max(wait, p.member.delegatedUntil()-now)
	}
	p.count1("medlarpond_rate_refusals_total", "cause", cause)
	return Decision{Pooled: true, RetryAfter: wait, Held: held, Requested: requested}
}

// Refund returns what an admitted request has used, if the request certainly did not run. A token may be used again until it expires.
func (p *Pool) Refund(team intent.Team, d Decision) {
	if !d.Pooled {
		p.Split.Refund(team)
		return
	}
	p.member.refund(team.Name, d.token)
}

func (p *Pool) count1(name, label, value string) {
	if p.Meter != nil {
		p.Meter.Count(name, label, value)
	}
}

// syncIfChanged follows the view if it has changed.
func (p *Pool) syncIfChanged() {
	view := p.View()
	p.mu.RLock()
	same := p.known && view.Intent == p.view.Intent && sameList(view.Instances, p.view.Instances)
	p.mu.RUnlock()
	if !same {
		p.sync()
	}
}

// sync follows the view and the time.
func (p *Pool) sync() {
	p.mu.Lock()
	defer p.mu.Unlock()
	view, now := p.View(), p.Now()
	if !sameList(view.Instances, p.view.Instances) {
		p.setInstances(now, view.Instances)
	}
	r := rule{instances: p.count.Max(now, p.Policy.GrowAfter), all: now < p.unevenUntil}
	intentChanged := view.Intent != p.view.Intent
	p.view, p.known = view, true
	if r != p.rule || intentChanged {
		p.setTeams(now, r, intentChanged)
	}
	p.member.setOwn(p.ownShare(now))
}

// setInstances follows a new list of instances.
func (p *Pool) setInstances(now time.Duration, registered []roster.Instance) {
	all := registered
	if !slices.ContainsFunc(all, func(i roster.Instance) bool { return i.ID == p.Self.ID }) {
		all = append(slices.Clip(all), p.Self)
	}
	p.count.Set(now, len(all))
	h := newHierarchy(all, p.Self.Place)
	if h.uneven {
		p.unevenUntil = forever
	} else if p.unevenUntil == forever {
		p.unevenUntil = now + p.Policy.GrowAfter
	}
	p.member.setParents(h.collectors)
	p.collector.setParents(h.roots)
}

// forever is a time that is never reached.
const forever time.Duration = math.MaxInt64

// setTeams follows a new rule or new limits.
func (p *Pool) setTeams(now time.Duration, r rule, intentChanged bool) {
	previous := p.teams
	first := p.rule.instances == 0
	p.rule = r
	p.teams = make(map[string]pooledTeam, len(previous))
	if p.view.Intent == nil {
		return
	}
	rated := map[string]intent.Team{}
	for t := range p.view.Intent.Teams() {
		if t.Rate <= 0 {
			continue
		}
		rated[t.Name] = t
		l := p.Policy.limitsOf(t, memberTokenTTL)
		next := pooledTeam{limits: l, pooled: p.Policy.pools(l, r)}
		if old, known := previous[t.Name]; known && !first {
			next.withheldUntil = old.withheldUntil
			p.moveTeam(now, t.Name, old, &next)
		}
		p.teams[t.Name] = next
	}
	if intentChanged {
		for _, n := range []*node{p.member, p.collector, p.root} {
			n.setTeams(rated)
		}
	}
}

// moveTeam handles the change of a team between the pool and the equal split. In a window around the change, the team gets what
// either of both permits, not the sum.
func (p *Pool) moveTeam(now time.Duration, name string, old pooledTeam, next *pooledTeam) {
	n := float64(p.rule.instances)
	switch {
	case old.pooled && !next.pooled:
		p.Split.Resume(name, time.Now().Add(max(0, p.member.delegatedUntil()-now)), next.limits.rate/n)
	case !old.pooled && next.pooled && next.limits.rate > 0:
		excess := max(0, float64(p.Split.Admitted(name))-next.limits.size/n)
		next.withheldUntil = now + min(p.Policy.Window+maxRootTokenAge, time.Duration(excess/(next.limits.rate/n)*float64(time.Second)))
	}
}

// ownShare returns what this instance owns.
func (p *Pool) ownShare(now time.Duration) holding {
	if now < p.startedAt+startupDelay {
		return holding{}
	}
	own := holding{members: map[rule]int{}, except: map[string]float64{}}
	for name, t := range p.teams {
		if t.pooled {
			own.members[p.rule] = 1
			if now < t.withheldUntil {
				own.except[name] = 1 / float64(p.rule.instances)
			}
		}
	}
	return own
}

// sameList reports whether two lists are the same one.
func sameList(a, b []roster.Instance) bool {
	return len(a) == len(b) && (a == nil) == (b == nil) && (len(a) == 0 || &a[0] == &b[0])
}
