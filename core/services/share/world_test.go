package share_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing/synctest"
	"time"

	"medlarpond.dev/core/services/share"
)

const (
	contactInterval = 100 * time.Millisecond
	confirmTimeout  = 1500 * time.Millisecond
	// maxLateDelay bounds the additional delay of a late message.
	maxLateDelay = 300 * time.Millisecond
	// previousLimitTTL is how long loans under an old limit or epoch may stay in use.
	previousLimitTTL = 2 * time.Second
)

// network describes the delays and faults between instances.
type network struct {
	near, far time.Duration
	// loss and late are the probabilities that a message is lost or late.
	loss, late float64
}

// cluster connects ledgers by a fake network in the virtual time of one test and records every use of a limit.
type cluster struct {
	network network
	hold    time.Duration

	mu        sync.Mutex
	random    *rand.Rand
	instances []*instance
	epoch     share.Epoch
	// earlierInstances holds the instances that may still rely on an epoch before the current one.
	earlierInstances []*instance
	// openEpochs holds the epochs before the current one whose shares may be in use.
	openEpochs  []share.Epoch
	activatedAt time.Time
	settled     bool
	// revisions holds the limits in the order in which they were written.
	revisions []revision
	oracle    *oracle
	created   int
	// refundSome enables refunds of some takes as requests that did not run.
	refundSome bool
	stop       context.CancelFunc
	ctx        context.Context //nolint:containedctx // ends with the cluster
}

type revision struct {
	at     time.Time
	limits map[share.Account]share.Limit
}

// instance is one process.
type instance struct {
	id, region string
	ledger     *share.Ledger
	ctx        context.Context //nolint:containedctx // ends with the process
	kill       context.CancelFunc
	// The fields below are guarded by the cluster's mutex.
	dead, disconnected bool
	// paused is nil while the process runs. While it is paused, it is a channel that resume closes.
	paused         chan struct{}
	partition      int
	lastContact    time.Time
	adoptedEpoch   uint64
	limitsRevision int
	limitsDelay    time.Duration
	eligible       bool
}

var errNoReply = errors.New("no reply before the timeout")

func newCluster(seed uint64, n network, hold time.Duration, limits map[share.Account]share.Limit) *cluster {
	ctx, stop := context.WithCancel(context.Background())
	c := &cluster{
		network: n, hold: hold, random: rand.New(rand.NewPCG(seed, 1)), oracle: newOracle(), ctx: ctx, stop: stop, refundSome: true,
		revisions: []revision{{time.Now(), limits}},
	}
	go c.activateEpochs()
	return c
}

// addInstance starts a process that is eligible for a seat.
func (c *cluster) addInstance(region string, notify func()) *instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.created++
	i := &instance{id: fmt.Sprintf("%s-%d", region, c.created), region: region, limitsRevision: -1, eligible: true}
	i.limitsDelay = time.Duration(c.random.Int64N(int64(2 * time.Second)))
	i.ctx, i.kill = context.WithCancel(c.ctx)
	i.ledger = share.NewLedger(notify)
	i.ledger.SetEpoch(share.Epoch{}, nil, i.id)
	i.ledger.Confirmed = func() bool { return c.confirmed(i) }
	i.ledger.RequestLoans = func(ctx context.Context, id string, request share.LoanRequest) (share.LoanReply, error) {
		return c.sendRequest(ctx, i, id, request)
	}
	c.instances = append(c.instances, i)
	go c.keepContact(i)
	go func() { _ = i.ledger.Run(i.ctx) }()
	return i
}

// startEpoch starts an epoch with seats for the eligible instances.
func (c *cluster) startEpoch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settled || (!c.activatedAt.IsZero() && time.Since(c.activatedAt) > previousLimitTTL+c.hold) {
		c.earlierInstances, c.openEpochs = nil, nil
	}
	c.openEpochs = append(slices.Clone(c.openEpochs), c.epoch)
	for _, i := range c.instances {
		for _, s := range c.epoch.Seats {
			if s.ID == i.id {
				c.earlierInstances = append(c.earlierInstances, i)
			}
		}
	}
	next := share.Epoch{Number: c.epoch.Number + 1}
	for _, i := range c.instances {
		if i.eligible && !i.dead && len(next.Seats) < 7 {
			next.Seats = append(next.Seats, share.Seat{ID: i.id, Region: i.region})
		}
	}
	c.epoch, c.activatedAt, c.settled = next, time.Time{}, false
}

// confirmed reports whether an instance may use and lend its shares; its ledger calls it as Confirmed.
func (c *cluster) confirmed(i *instance) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !i.dead && i.paused == nil && !i.lastContact.IsZero() && time.Since(i.lastContact) < confirmTimeout
}

// keepContact updates an instance with epochs and limits until it stops.
func (c *cluster) keepContact(i *instance) {
	for i.ctx.Err() == nil {
		sentAt := time.Now()
		time.Sleep(c.network.near)
		c.waitWhilePaused(i)
		c.mu.Lock()
		reachable, epoch, open := !i.disconnected && !i.dead, c.epoch, c.openEpochs
		newest := i.limitsRevision
		for n, r := range c.revisions {
			if time.Since(r.at) >= i.limitsDelay || i.limitsRevision < 0 {
				newest = max(newest, n)
			}
		}
		limits := c.revisions[newest].limits
		c.mu.Unlock()
		if reachable {
			c.updateInstance(i, epoch, open, newest, limits, sentAt)
		}
		time.Sleep(contactInterval)
	}
}

func (c *cluster) updateInstance(
	i *instance, epoch share.Epoch, open []share.Epoch, newest int, limits map[share.Account]share.Limit, sentAt time.Time,
) {
	i.ledger.SetEpoch(epoch, open, i.id)
	if newest != i.limitsRevision {
		c.oracle.setLimits(i.id, limits, c.hold)
		i.ledger.SetLimits(limits)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	i.adoptedEpoch, i.limitsRevision, i.lastContact = epoch.Number, newest, sentAt
}

// activateEpochs activates each epoch when that is permitted.
func (c *cluster) activateEpochs() {
	for c.ctx.Err() == nil {
		time.Sleep(contactInterval / 2)
		c.mu.Lock()
		permitted, settled, number := true, true, c.epoch.Number
		earlier := slices.Clone(c.earlierInstances)
		for _, i := range earlier {
			adopted := i.adoptedEpoch == number
			permitted = permitted && (adopted || time.Since(i.lastContact) > confirmTimeout)
			settled = settled && adopted && !i.dead
		}
		c.mu.Unlock()
		for _, i := range earlier {
			settled = settled && i.ledger.Settled(number)
		}
		if permitted {
			c.activate(number, settled)
		}
	}
}

func (c *cluster) activate(number uint64, settled bool) {
	c.mu.Lock()
	if number != c.epoch.Number {
		c.mu.Unlock()
		return
	}
	if c.activatedAt.IsZero() {
		c.activatedAt = time.Now()
	}
	c.settled = c.settled || settled
	settled = c.settled
	c.mu.Unlock()
	for _, i := range c.runningInstances() {
		i.ledger.Activate(number, settled)
	}
}

// waitWhilePaused blocks while a process is paused.
func (c *cluster) waitWhilePaused(i *instance) {
	for {
		c.mu.Lock()
		paused := i.paused
		c.mu.Unlock()
		if paused == nil {
			return
		}
		<-paused
	}
}

// sendRequest delivers a request and its reply. Each may be lost or late, and a request is handled even if the sender
// no longer waits for the reply.
func (c *cluster) sendRequest(ctx context.Context, from *instance, id string, request share.LoanRequest) (share.LoanReply, error) {
	replies := make(chan share.LoanReply, 1)
	go func() {
		to := c.findInstance(id)
		if to == nil || !c.deliver(from, to) {
			return
		}
		c.waitWhilePaused(to)
		if to.ctx.Err() != nil {
			return
		}
		reply := to.ledger.Lend(request)
		if c.deliver(to, from) {
			replies <- reply
		}
	}()
	defer c.waitWhilePaused(from)
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return share.LoanReply{}, errNoReply
	}
}

// deliver waits for the delay of one message and reports whether it arrives.
func (c *cluster) deliver(from, to *instance) bool {
	c.mu.Lock()
	delay := c.network.far
	if from.region == to.region {
		delay = c.network.near
	}
	lost := c.random.Float64() < c.network.loss || from.partition != to.partition
	if c.random.Float64() < c.network.late {
		delay += time.Duration(c.random.Int64N(int64(maxLateDelay)))
	}
	c.mu.Unlock()
	time.Sleep(delay)
	c.mu.Lock()
	defer c.mu.Unlock()
	return !lost && from.partition == to.partition && !to.dead
}

func (c *cluster) findInstance(id string) *instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.instances {
		if i.id == id {
			return i
		}
	}
	return nil
}

// pause stops a process until resume is called.
func (c *cluster) pause(i *instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i.paused == nil {
		i.paused = make(chan struct{})
	}
}

func (c *cluster) resume(i *instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i.paused != nil {
		close(i.paused)
		i.paused = nil
	}
}

// killInstance stops a process for good; its requests at targets keep running.
func (c *cluster) killInstance(i *instance) {
	c.resume(i)
	c.mu.Lock()
	i.dead, i.eligible = true, false
	c.mu.Unlock()
	i.kill()
	c.oracle.setLimits(i.id, nil, c.hold)
}

func (c *cluster) runningInstances() []*instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	var running []*instance
	for _, i := range c.instances {
		if !i.dead && i.paused == nil {
			running = append(running, i)
		}
	}
	return running
}

// take takes tokens and records them in the oracle; some are refunded later as not run.
func (c *cluster) take(i *instance, a share.Account, n int) bool {
	if !i.ledger.Take(a, float64(n)) {
		return false
	}
	t := c.oracle.take(a, n)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refundSome && c.random.IntN(10) == 0 {
		time.AfterFunc(time.Duration(c.random.Int64N(int64(maxLateDelay))), func() {
			if i.ctx.Err() == nil {
				c.oracle.refund(t)
				i.ledger.Refund(a, float64(n))
			}
		})
	}
	return true
}

// acquire runs a request at a target if a unit can be acquired.
func (c *cluster) acquire(i *instance, a share.Account) bool {
	if !i.ledger.Acquire(a) {
		return false
	}
	c.oracle.acquire(a)
	c.mu.Lock()
	defer c.mu.Unlock()
	duration := time.Duration(c.random.Int64N(int64(c.hold)))
	go func() {
		time.Sleep(duration)
		c.oracle.release(a)
		c.waitWhilePaused(i)
		i.ledger.Release(a)
	}()
	return true
}

// shutDown stops all processes and waits for them.
func (c *cluster) shutDown() {
	for _, i := range c.instances {
		c.resume(i)
	}
	c.stop()
	time.Sleep(c.hold + time.Second)
	synctest.Wait()
}
