package ratepool

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"medlarpond.dev/core/models/intent"
)

const (
	// renewInterval is the time between two messages to a parent without requests. A delegation survives the loss of two.
	renewInterval = 250 * time.Millisecond
	// callTimeout bounds a call to a parent, callBackoff is the delay after one that failed.
	callTimeout = 250 * time.Millisecond
	callBackoff = 100 * time.Millisecond
	// maxCalls is the largest number of calls to the parent at a time: one every 4 ms at a round trip of 30 ms between regions.
	maxCalls = 8
	// releaseTimeout is how long a parent waits until its own parent has accepted a delegation without what a child releases.
	// releasePoll is how often it checks.
	releaseTimeout = 150 * time.Millisecond
	releasePoll    = 2 * time.Millisecond
	// forwardTimeout is how long a domain collector waits for its own draw before it replies. It is longer than a round trip between
	// regions and leaves time for the reply within maxTakeWait.
	forwardTimeout = 70 * time.Millisecond
	// demandTime is the time constant of the average of the requested tokens, aheadTime the time for whose demand a domain
	// collector draws ahead.
	demandTime = time.Second
	aheadTime  = 250 * time.Millisecond
	// defaultWait is the time until the next draw for a team of which the parent has said nothing.
	defaultWait = 100 * time.Millisecond
	// minPollInterval is the shortest time after which a child asks again for tokens of an empty bucket. It bounds the messages for a
	// team that is over its rate.
	minPollInterval = 50 * time.Millisecond
	// minDelay is the shortest delay between two messages without requests.
	minDelay = time.Millisecond
	// maxWaiters bounds the draws that wait at a node for one team.
	maxWaiters = 1000
	// maxWant bounds the tokens of a team in one message.
	maxWant = 1 << 20
)

// errNoParent is the cause of a message without a receiver.
var errNoParent = errors.New("no instance to send the message to")

// node is one level of the hierarchy in a process: the member, the domain collector or the root. It holds the delegations of its
// children and its own share, and either delegates them to its parent and draws tokens there, or grants tokens from its own buckets.
type node struct {
	policy      Policy
	self        string
	incarnation uint64
	now         func() time.Duration
	// toRoot is true for the domain collector, whose parent is the root.
	toRoot bool
	// tokenTTL is how long after sending a draw its tokens may be used. ahead is true if the node draws for expected demand.
	tokenTTL time.Duration
	ahead    bool
	// maxTokenAge is the longest time between taking a token from a bucket of this node and sending the request.
	maxTokenAge time.Duration
	// send sends a message to the parent; nil for the root, which has no parent.
	send func(ctx context.Context, p Parent, r Request) (Reply, error)
	// onParent is called without the lock after the parent has changed, onLost after the first failed call and onBack after the first
	// successful one after that.
	onParent, onBack func(Parent)
	onLost           func(Parent, error)
	// wake holds one token if a draw is due.
	wake chan struct{}
	// probes counts the running calls to candidates that have failed.
	probes sync.WaitGroup

	mu       sync.Mutex
	children leaseTable
	// own is the node's own share; empty except at a member.
	own holding
	// held is what the node's buckets hold; empty while it is delegated. changed is true if children or own have changed since it was
	// computed, heldDelegated whether it was delegated then.
	held                   holding
	changed, heldDelegated bool
	uplink                 uplink
	buckets                map[string]*bucket
	teams                  map[string]*teamQueue
	// callsInFlight is the number of calls to the parent, which calls counts as well.
	callsInFlight int
	calls         sync.WaitGroup
	// nextCallAt is the earliest time of the next call after a failure, renewAt that of the next one without requests.
	nextCallAt, renewAt time.Duration
	// acceptedAt is when the latest message was sent whose delegation the parent has accepted.
	acceptedAt time.Duration
}

// teamQueue is the state of the draws for one team at a node.
type teamQueue struct {
	limits limits
	// tokens holds the times at which the drawn tokens expire, the earliest first.
	tokens []token
	// waiters wait for tokens, the oldest first.
	waiters []*waiter
	// aheadInCalls is the number of tokens that calls in flight draw ahead.
	aheadInCalls int
	// emptyUntil is when the parent is asked again after it had too few tokens, nextTokenAt when it may have one again.
	emptyUntil, nextTokenAt time.Duration
	// demand is the average number of tokens requested per demandTime, as of demandAt.
	demand   float64
	demandAt time.Duration
}

// token is a token that was drawn from a parent.
type token struct {
	expiresAt time.Duration
	source    source
}

// source is the level whose bucket a token was taken from.
type source string

const (
	sourceOwn       source = "own"
	sourceCollector source = "collector"
	sourceRoot      source = "root"
)

// waiter is a draw that waits for the node's next call to its parent.
type waiter struct {
	want int
	// call is the sequence number of the message that was sent for the waiter; zero before that.
	call uint64
	// granted and wait are set before done is closed.
	granted []token
	wait    time.Duration
	done    chan struct{}
}

func newNode(p Policy, self string, incarnation uint64, now func() time.Duration) *node {
	return &node{
		policy: p, self: self, incarnation: incarnation, now: now, wake: make(chan struct{}, 1),
		buckets: map[string]*bucket{}, teams: map[string]*teamQueue{},
		onParent: func(Parent) {}, onBack: func(Parent) {}, onLost: func(Parent, error) {},
	}
}

// setTeams sets the teams with a rate limit.
func (n *node) setTeams(teams map[string]intent.Team) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	for name, t := range teams {
		l := n.policy.limitsOf(t, n.maxTokenAge)
		b, known := n.buckets[name]
		if !known {
			n.buckets[name] = &bucket{limits: l, part: n.held.part(n.policy, name, l), updatedAt: now}
			n.teams[name] = &teamQueue{limits: l, demandAt: now}
			continue
		}
		if b.limits != l {
			b.setLimits(now, l)
			b.setPart(now, n.held.part(n.policy, name, l))
			n.teams[name].limits = l
		}
	}
	for name := range n.buckets {
		if _, ok := teams[name]; !ok {
			n.finishAll(n.teams[name], maxWait)
			delete(n.buckets, name)
			delete(n.teams, name)
		}
	}
}

// setOwn sets the node's own share.
func (n *node) setOwn(own holding) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.own.equal(own) {
		n.own, n.changed = own, true
		n.refresh(n.now())
		n.signal()
	}
}

// setParents sets the candidates for the parent.
func (n *node) setParents(candidates []Parent) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.uplink.candidates = candidates
	if len(candidates) > 0 && candidates[0] != n.uplink.parent {
		n.renewAt = n.now()
		n.signal()
	}
}

// delegatedUntil returns when the current delegation ends.
func (n *node) delegatedUntil() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.uplink.delegatedUntil
}

// refresh updates the node's buckets to what the node holds now. It must precede every use of them, as delegations end by themselves.
func (n *node) refresh(now time.Duration) {
	removed, delegated := n.children.expire(now), n.uplink.delegated(now)
	if !removed && !n.changed && delegated == n.heldDelegated {
		return
	}
	n.changed, n.heldDelegated = false, delegated
	var held holding
	if !delegated {
		held = n.children.sum()
		held.add(n.own)
	}
	if held.equal(n.held) {
		return
	}
	n.held = held
	for name, b := range n.buckets {
		b.setPart(now, held.part(n.policy, name, b.limits))
	}
}

// handle handles a message of a child. It replies with what is there, or after a call to the parent if there is too little.
func (n *node) handle(ctx context.Context, r Request) Reply {
	reply := Reply{Top: true}
	if r.Release {
		reply.Released = n.releaseChild(ctx, r)
		reply.Incarnation, reply.Stamp = n.incarnation, n.now()
		return reply
	}
	n.mu.Lock()
	n.refresh(n.now())
	first := n.children.isEmpty()
	if reply.Accepted = n.children.accept(n.now(), n.incarnation, r); reply.Accepted {
		n.changed = true
		n.refresh(n.now())
		if first {
			n.signal()
		}
	}
	n.mu.Unlock()
	if len(r.Wants) > 0 {
		var got map[string]draw
		got, reply.Top = n.acquire(ctx, r.Wants, forwardTimeout)
		reply.Grants, reply.Waits = map[string]int{}, map[string]time.Duration{}
		for team, d := range got {
			if len(d.tokens) > 0 {
				reply.Grants[team] = len(d.tokens)
			}
			if len(d.tokens) < r.Wants[team] {
				reply.Waits[team] = max(d.wait, minPollInterval)
			}
		}
	}
	reply.Incarnation, reply.Stamp = n.incarnation, n.now()
	return reply
}

// releaseChild ends the delegation of a child. It reports whether nobody uses it any more: what this node has delegated in turn must
// have been replaced by a delegation without it.
func (n *node) releaseChild(ctx context.Context, r Request) bool {
	n.mu.Lock()
	releasedAt := n.now()
	ok := n.children.release(releasedAt, n.incarnation, r)
	if ok {
		n.changed, n.renewAt = true, releasedAt
		n.refresh(releasedAt)
		n.signal()
	}
	n.mu.Unlock()
	for ok {
		n.mu.Lock()
		now := n.now()
		unused := !n.uplink.delegated(now) || n.acceptedAt > releasedAt
		n.mu.Unlock()
		if unused {
			return true
		}
		if now > releasedAt+releaseTimeout {
			return false
		}
		select {
		case <-time.After(releasePoll):
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// draw is the outcome of a request for tokens of one team.
type draw struct {
	tokens []token
	// wait is the time until another token may be available if there are fewer tokens than requested.
	wait time.Duration
}

// acquire takes tokens, and waits for a call to the parent for missing ones, at most for the timeout. top is true if all tokens are
// from the node's own buckets.
func (n *node) acquire(ctx context.Context, wants map[string]int, timeout time.Duration) (got map[string]draw, top bool) {
	n.mu.Lock()
	now := n.now()
	n.refresh(now)
	got, top = make(map[string]draw, len(wants)), true
	waiting := map[string]*waiter{}
	for team, want := range wants {
		q, known := n.teams[team]
		if !known {
			got[team] = draw{wait: defaultWait}
			continue
		}
		want = max(0, min(want, maxWant))
		q.addDemand(now, want)
		d := n.takeHere(now, team, q, want)
		if len(d.tokens) < want && timeout > 0 && n.canAsk(now, q) {
			w := &waiter{want: want - len(d.tokens), done: make(chan struct{})}
			q.waiters = append(q.waiters, w)
			waiting[team] = w
		}
		got[team] = d
		if n.ahead && 2*len(q.tokens) < n.aheadTokens(now, q) && n.canAsk(now, q) {
			n.signal()
		}
	}
	if len(waiting) > 0 {
		n.signal()
	}
	n.mu.Unlock()
	if len(waiting) > 0 {
		n.await(ctx, waiting, timeout)
		n.mu.Lock()
		for team, w := range waiting {
			d := got[team]
			d.tokens = append(d.tokens, w.granted...)
			d.wait = w.wait
			got[team] = d
		}
		n.mu.Unlock()
	}
	for _, d := range got {
		for _, t := range d.tokens {
			top = top && t.source == sourceOwn
		}
	}
	return got, top
}

// await waits until all waiters are done, and withdraws the others after the timeout.
func (n *node) await(ctx context.Context, waiting map[string]*waiter, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for team, w := range waiting {
		select {
		case <-w.done:
			continue
		case <-ctx.Done():
		}
		n.mu.Lock()
		select {
		case <-w.done:
		default:
			w.wait = defaultWait
			if q := n.teams[team]; q != nil {
				q.waiters = slices.DeleteFunc(q.waiters, func(other *waiter) bool { return other == w })
			}
		}
		n.mu.Unlock()
	}
}

// takeHere takes tokens that were drawn earlier, then tokens from the node's own bucket.
func (n *node) takeHere(now time.Duration, team string, q *teamQueue, want int) (d draw) {
	q.dropExpired(now)
	taken := min(want, len(q.tokens))
	d.tokens = append(d.tokens, q.tokens[:taken]...)
	q.tokens = q.tokens[taken:]
	if taken < want {
		b := n.buckets[team]
		for range b.take(now, want-taken) {
			d.tokens = append(d.tokens, token{expiresAt: now + memberTokenTTL, source: sourceOwn})
		}
		d.wait = b.wait(now)
		if at := max(q.nextTokenAt, n.nextCallAt); at > now && n.send != nil {
			d.wait = min(d.wait, at-now)
		}
	}
	return d
}

// canAsk reports whether a call to the parent may get tokens of a team.
func (n *node) canAsk(now time.Duration, q *teamQueue) bool {
	return n.send != nil && len(n.uplink.candidates) > 0 && now >= n.nextCallAt && now >= q.emptyUntil && len(q.waiters) < maxWaiters
}

func (n *node) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// aheadTokens returns the number of tokens of a team that a domain collector keeps.
func (n *node) aheadTokens(now time.Duration, q *teamQueue) int {
	return int(math.Floor(min(q.demandRate(now), q.limits.rate) * aheadTime.Seconds()))
}

func (q *teamQueue) addDemand(now time.Duration, want int) {
	q.demand = q.demandRate(now)*demandTime.Seconds() + float64(want)
	q.demandAt = now
}

// demandRate returns the average number of tokens requested per second.
func (q *teamQueue) demandRate(now time.Duration) float64 {
	return q.demand * math.Exp(-(now-q.demandAt).Seconds()/demandTime.Seconds()) / demandTime.Seconds()
}

func (q *teamQueue) dropExpired(now time.Duration) {
	q.tokens = slices.DeleteFunc(q.tokens, func(t token) bool { return t.expiresAt <= now })
}

// finish ends the wait of a waiter that has been removed from the queue.
func (w *waiter) finish(wait time.Duration) {
	w.wait = wait
	close(w.done)
}

func (n *node) finishAll(q *teamQueue, wait time.Duration) {
	for _, w := range q.waiters {
		w.finish(wait)
	}
	q.waiters = nil
}

// run sends messages to the parent until the context ends.
func (n *node) run(ctx context.Context) {
	defer n.probes.Wait()
	timer := time.NewTimer(minDelay)
	defer timer.Stop()
	defer n.calls.Wait()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
		case <-timer.C:
		}
		timer.Reset(max(minDelay, n.exchange(ctx)))
	}
}

// exchange starts to send one message to the parent if there is anything to send, and returns the time until the next one without
// requests. Requests do not wait for the calls of earlier ones, which may take as long as a round trip between regions.
func (n *node) exchange(ctx context.Context) time.Duration {
	n.mu.Lock()
	now := n.now()
	n.refresh(now)
	if wait := n.nextCallAt - now; wait > 0 {
		n.mu.Unlock()
		return wait
	}
	if n.callsInFlight >= maxCalls {
		n.mu.Unlock()
		return renewInterval
	}
	sequence := n.uplink.nextSequence()
	wants, ahead := n.allWanted(now, sequence)
	if len(wants) == 0 && n.own.empty() && n.children.isEmpty() && !n.uplink.delegated(now) {
		n.mu.Unlock()
		return renewInterval
	}
	if wait := n.renewAt - now; len(wants) == 0 && wait > 0 {
		n.mu.Unlock()
		return wait
	}
	previous, release := n.uplink.parent, Request{
		From: n.self, Incarnation: n.incarnation, ToRoot: n.toRoot, Stamp: n.uplink.stamp, StampIncarnation: n.uplink.stampIncarnation, Release: true,
	}
	changed := n.uplink.choose()
	parent := n.uplink.parent
	if changed && n.uplink.mayRelease(now, previous, release) {
		release.Sequence = n.uplink.nextSequence()
		n.mu.Unlock()
		n.releaseTo(ctx, previous, release)
		n.mu.Lock()
		now = n.now()
		n.refresh(now)
	}
	r := n.newRequest(now, sequence, wants)
	n.callsInFlight++
	n.renewAt = now + renewInterval
	if candidate, ok := n.uplink.nextProbe(now); ok {
		n.probes.Go(func() { n.probe(ctx, candidate) })
	}
	n.mu.Unlock()
	if changed && parent.ID != "" {
		n.onParent(parent)
	}
	n.calls.Go(func() { n.call(ctx, parent, now, r, ahead) })
	return renewInterval
}

// call sends a message to the parent and applies the reply. ahead is the number of tokens that are drawn ahead, by team.
func (n *node) call(ctx context.Context, parent Parent, sentAt time.Duration, r Request, ahead map[string]int) {
	reply, err := Reply{}, errNoParent
	if parent.ID != "" {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err = n.send(callCtx, parent, r)
		cancel()
	}
	n.mu.Lock()
	n.callsInFlight--
	for name, count := range ahead {
		if q := n.teams[name]; q != nil {
			q.aheadInCalls = max(0, q.aheadInCalls-count)
		}
	}
	n.mu.Unlock()
	if err != nil {
		n.callFailed(ctx, parent, sentAt, r, err)
	} else {
		n.callSucceeded(parent, sentAt, r, reply)
	}
	n.signal()
}

// releaseTo ends the delegation to an earlier parent, so that the next one can get it before it ends by itself.
func (n *node) releaseTo(ctx context.Context, parent Parent, r Request) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := n.send(callCtx, parent, r)
	if err != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.uplink.released(n.now(), reply)
}

// probe calls a candidate that has failed. If it responds it becomes the parent again.
func (n *node) probe(ctx context.Context, candidate Parent) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := n.send(callCtx, candidate, Request{From: n.self, Incarnation: n.incarnation, ToRoot: n.toRoot}); err != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.uplink.probeAt, candidate.ID)
}

// newRequest returns the next message. What it delegates is not held here from now on.
func (n *node) newRequest(now time.Duration, sequence uint64, wants map[string]int) Request {
	u := &n.uplink
	r := Request{
		From: n.self, Incarnation: n.incarnation, Sequence: sequence, ToRoot: n.toRoot,
		Stamp: u.stamp, StampIncarnation: u.stampIncarnation, Wants: wants,
	}
	if !u.mayDelegate(now) {
		return r
	}
	var validFor time.Duration
	if r.Shares, r.Except, validFor = n.delegation(now); validFor > 0 {
		u.delegate(validFor)
		n.refresh(now)
	}
	return r
}

// allWanted returns the number of tokens to draw with the next message, by team, and how many of them are drawn ahead.
func (n *node) allWanted(now time.Duration, sequence uint64) (wants, ahead map[string]int) {
	wants, ahead = map[string]int{}, map[string]int{}
	for name, q := range n.teams {
		waiting, early := n.wanted(now, q, sequence)
		if want := min(waiting+early, maxWant); want > 0 {
			wants[name], ahead[name] = want, early
		}
	}
	return wants, ahead
}

// wanted returns the number of tokens of a team to draw for waiters without a call, which get the sequence number of the message,
// and to draw ahead.
func (n *node) wanted(now time.Duration, q *teamQueue, sequence uint64) (waiting, ahead int) {
	q.dropExpired(now)
	if now < q.emptyUntil {
		return 0, 0
	}
	for _, w := range q.waiters {
		if w.call == 0 {
			w.call = sequence
			waiting += w.want
		}
	}
	if n.ahead {
		ahead = max(0, n.aheadTokens(now, q)-len(q.tokens)-q.aheadInCalls)
		q.aheadInCalls += ahead
	}
	return waiting, ahead
}

// delegation returns all that the node can delegate now, and the longest time after the stamp that a part of it is valid. What
// children have delegated is passed on for no longer than they permit.
func (n *node) delegation(now time.Duration) (shares []Share, except map[string]float64, validFor time.Duration) {
	u := &n.uplink
	type group struct {
		rule
		validFor time.Duration
	}
	groups := map[group]int{}
	sum := holding{}
	sum.add(holding{except: n.own.except})
	for r, members := range n.own.members {
		groups[group{r, leaseTTL}] += members
	}
	for _, l := range n.children.leases {
		sum.add(holding{except: l.except})
		for _, p := range l.parts {
			valid := min(leaseTTL, p.end-u.stampAt).Truncate(validityStep)
			if u.stampAt+valid > now {
				groups[group{p.rule, valid}] += p.members
			}
		}
	}
	if len(sum.except) > maxExcept {
		return nil, nil, 0
	}
	for g, members := range groups {
		if len(shares) == maxShares {
			break
		}
		shares = append(shares, Share{Members: members, Instances: g.instances, All: g.all, ValidFor: g.validFor})
		validFor = max(validFor, g.validFor)
	}
	return shares, sum.except, validFor
}

// callFailed records a failed call.
func (n *node) callFailed(ctx context.Context, parent Parent, sentAt time.Duration, r Request, err error) {
	n.mu.Lock()
	now := n.now()
	first := false
	if parent == n.uplink.parent {
		first = n.uplink.fail(sentAt, now) && parent.ID != ""
		n.nextCallAt = now + callBackoff
	}
	for name := range r.Wants {
		if q := n.teams[name]; q != nil {
			n.finishCall(now, q, r.Sequence, nil, defaultWait)
		}
	}
	n.mu.Unlock()
	if first && ctx.Err() == nil {
		n.onLost(parent, err)
	}
}

// callSucceeded records a reply.
func (n *node) callSucceeded(parent Parent, sentAt time.Duration, r Request, reply Reply) {
	n.mu.Lock()
	now := n.now()
	back, newProcess := false, false
	if parent == n.uplink.parent {
		back, newProcess = n.uplink.succeed(now, reply)
		if reply.Accepted {
			n.acceptedAt = max(n.acceptedAt, sentAt)
		}
	}
	from := sourceRoot
	if !n.toRoot && reply.Top {
		from = sourceCollector
	}
	for name, want := range r.Wants {
		q := n.teams[name]
		if q == nil {
			continue
		}
		granted := max(0, min(reply.Grants[name], want))
		var tokens []token
		if expiresAt := sentAt + n.tokenTTL; expiresAt > now {
			for range granted {
				tokens = append(tokens, token{expiresAt: expiresAt, source: from})
			}
		}
		wait := time.Duration(0)
		if granted < want {
			wait = max(0, min(reply.Waits[name], maxWait))
			// What the parent holds may change, so it is asked again before a long wait is over.
			q.emptyUntil, q.nextTokenAt = now+min(wait, renewInterval), now+wait
		}
		n.finishCall(now, q, r.Sequence, tokens, wait)
	}
	if newProcess {
		// The first reply of a parent permits the first delegation.
		n.renewAt = now
	}
	n.mu.Unlock()
	if back {
		n.onBack(parent)
	}
}

// finishCall distributes the tokens of a call to the waiters that it was made for, and keeps the rest.
func (n *node) finishCall(now time.Duration, q *teamQueue, sequence uint64, tokens []token, wait time.Duration) {
	q.tokens = append(q.tokens, tokens...)
	q.dropExpired(now)
	rest := q.waiters[:0]
	for _, w := range q.waiters {
		if w.call != sequence {
			rest = append(rest, w)
			continue
		}
		taken := min(w.want, len(q.tokens))
		w.granted = append(w.granted, q.tokens[:taken]...)
		q.tokens = q.tokens[taken:]
		w.finish(wait)
	}
	clear(q.waiters[len(rest):])
	q.waiters = rest
}

func (h holding) empty() bool { return len(h.members) == 0 }

// refund returns a token of a request that did not run.
func (n *node) refund(team string, t token) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if q := n.teams[team]; q != nil && n.now() < t.expiresAt {
		q.tokens = slices.Insert(q.tokens, 0, t)
	}
}

// figures returns the rate of a team that the node holds and the rate that was requested recently, per second, and whether the parent
// does not respond.
func (n *node) figures(now time.Duration, team string) (held, requested float64, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refresh(now)
	if b := n.buckets[team]; b != nil {
		held, requested = b.part*b.limits.rate, n.teams[team].demandRate(now)
	}
	return held, requested, n.uplink.failures > 0
}
