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
	// lateDelay bounds what a late message takes in addition.
	lateDelay = 300 * time.Millisecond
	// lingering is how long loans under an old limit may go on.
	lingering = 2 * time.Second
)

// network is the delays and faults between instances.
type network struct {
	near, far time.Duration
	// loss and late are the chances of a message.
	loss, late float64
}

// world joins ledgers by a fake network, in the virtual time of one test, and knows everything that happens.
type world struct {
	network network
	hold    time.Duration

	mu        sync.Mutex
	random    *rand.Rand
	instances []*instance
	epoch     share.Epoch
	// earlier are the instances that may still rely on an epoch before the current one.
	earlier []*instance
	// open holds the epochs before the current one whose portions may be in use.
	open      []share.Epoch
	activated time.Time
	settled   bool
	// revisions holds the limits in the order in which they were written.
	revisions []revision
	oracle    *oracle
	born      int
	// returns lets some takes be returned as not run.
	returns bool
	stop    context.CancelFunc
	ctx     context.Context //nolint:containedctx // the world's own lifetime
}

type revision struct {
	at     time.Time
	limits map[share.Account]share.Limit
}

// instance is one process.
type instance struct {
	id, region string
	ledger     *share.Ledger
	ctx        context.Context //nolint:containedctx // the process's own lifetime
	kill       context.CancelFunc
	// The rest is guarded by the world's mutex.
	dead, cut bool
	// paused is nil or closed when the process goes on.
	paused  chan struct{}
	group   int
	contact time.Time
	adopted uint64
	revised int
	lag     time.Duration
	seat    bool
}

var errLost = errors.New("lost")

func newWorld(seed uint64, n network, hold time.Duration, limits map[share.Account]share.Limit) *world {
	ctx, stop := context.WithCancel(context.Background())
	w := &world{
		network: n, hold: hold, random: rand.New(rand.NewPCG(seed, 1)), oracle: newOracle(), ctx: ctx, stop: stop, returns: true,
		revisions: []revision{{time.Now(), limits}},
	}
	go w.manage()
	return w
}

// add starts a process and gives it a seat if it should have one.
func (w *world) add(region string, notify func()) *instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born++
	i := &instance{id: fmt.Sprintf("%s-%d", region, w.born), region: region, revised: -1, seat: true}
	i.lag = time.Duration(w.random.Int64N(int64(2 * time.Second)))
	i.ctx, i.kill = context.WithCancel(w.ctx)
	i.ledger = share.NewLedger(notify)
	i.ledger.SetEpoch(share.Epoch{}, nil, i.id)
	i.ledger.Confirmed = func() bool { return w.confirmed(i) }
	i.ledger.Ask = func(ctx context.Context, seat string, q share.LoanRequest) (share.LoanReply, error) {
		return w.ask(ctx, i, seat, q)
	}
	w.instances = append(w.instances, i)
	go w.keepContact(i)
	go func() { _ = i.ledger.Run(i.ctx) }()
	return i
}

// reseat begins an epoch.
func (w *world) reseat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.settled || (!w.activated.IsZero() && time.Since(w.activated) > lingering+w.hold) {
		w.earlier, w.open = nil, nil
	}
	w.open = append(slices.Clone(w.open), w.epoch)
	for _, i := range w.instances {
		for _, s := range w.epoch.Seats {
			if s.ID == i.id {
				w.earlier = append(w.earlier, i)
			}
		}
	}
	next := share.Epoch{Number: w.epoch.Number + 1}
	for _, i := range w.instances {
		if i.seat && !i.dead && len(next.Seats) < 7 {
			next.Seats = append(next.Seats, share.Seat{ID: i.id, Region: i.region})
		}
	}
	w.epoch, w.activated, w.settled = next, time.Time{}, false
}

// confirmed is what an instance knows of itself.
func (w *world) confirmed(i *instance) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !i.dead && i.paused == nil && !i.contact.IsZero() && time.Since(i.contact) < confirmTimeout
}

// keepContact lets an instance learn of epochs and limits.
func (w *world) keepContact(i *instance) {
	for i.ctx.Err() == nil {
		sent := time.Now()
		time.Sleep(w.network.near)
		w.wait(i)
		w.mu.Lock()
		reachable, epoch, open := !i.cut && !i.dead, w.epoch, w.open
		newest := i.revised
		for n, r := range w.revisions {
			if time.Since(r.at) >= i.lag || i.revised < 0 {
				newest = max(newest, n)
			}
		}
		limits := w.revisions[newest].limits
		w.mu.Unlock()
		if reachable {
			w.learn(i, epoch, open, newest, limits, sent)
		}
		time.Sleep(contactInterval)
	}
}

func (w *world) learn(
	i *instance, epoch share.Epoch, open []share.Epoch, newest int, limits map[share.Account]share.Limit, sent time.Time,
) {
	i.ledger.SetEpoch(epoch, open, i.id)
	if newest != i.revised {
		w.oracle.setLimits(i.id, limits, w.hold)
		i.ledger.SetLimits(limits)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	i.adopted, i.revised, i.contact = epoch.Number, newest, sent
}

// manage activates epochs when that is permitted.
func (w *world) manage() {
	for w.ctx.Err() == nil {
		time.Sleep(contactInterval / 2)
		w.mu.Lock()
		permitted, settled, number := true, true, w.epoch.Number
		earlier := slices.Clone(w.earlier)
		for _, i := range earlier {
			adopted := i.adopted == number
			permitted = permitted && (adopted || time.Since(i.contact) > confirmTimeout)
			settled = settled && adopted && !i.dead
		}
		w.mu.Unlock()
		for _, i := range earlier {
			settled = settled && i.ledger.Settled(number)
		}
		if permitted {
			w.activate(number, settled)
		}
	}
}

func (w *world) activate(number uint64, settled bool) {
	w.mu.Lock()
	if number != w.epoch.Number {
		w.mu.Unlock()
		return
	}
	if w.activated.IsZero() {
		w.activated = time.Now()
	}
	w.settled = w.settled || settled
	settled = w.settled
	w.mu.Unlock()
	for _, i := range w.running() {
		i.ledger.Activate(number, settled)
	}
}

// wait blocks while a process is paused.
func (w *world) wait(i *instance) {
	for {
		w.mu.Lock()
		paused := i.paused
		w.mu.Unlock()
		if paused == nil {
			return
		}
		<-paused
	}
}

// ask carries a question and its answer; each may be lost or late, and a question arrives even if nobody waits any more.
func (w *world) ask(ctx context.Context, from *instance, seat string, q share.LoanRequest) (share.LoanReply, error) {
	answered := make(chan share.LoanReply, 1)
	go func() {
		to := w.find(seat)
		if to == nil || !w.carry(from, to) {
			return
		}
		w.wait(to)
		if to.ctx.Err() != nil {
			return
		}
		reply := to.ledger.Lend(q)
		if w.carry(to, from) {
			answered <- reply
		}
	}()
	defer w.wait(from)
	select {
	case reply := <-answered:
		return reply, nil
	case <-ctx.Done():
		return share.LoanReply{}, errLost
	}
}

// carry takes the time of one message and reports whether it arrives.
func (w *world) carry(from, to *instance) bool {
	w.mu.Lock()
	delay := w.network.far
	if from.region == to.region {
		delay = w.network.near
	}
	lost := w.random.Float64() < w.network.loss || from.group != to.group
	if w.random.Float64() < w.network.late {
		delay += time.Duration(w.random.Int64N(int64(lateDelay)))
	}
	w.mu.Unlock()
	time.Sleep(delay)
	w.mu.Lock()
	defer w.mu.Unlock()
	return !lost && from.group == to.group && !to.dead
}

func (w *world) find(id string) *instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.instances {
		if i.id == id {
			return i
		}
	}
	return nil
}

// pause stops a process, resume lets it go on.
func (w *world) pause(i *instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i.paused == nil {
		i.paused = make(chan struct{})
	}
}

func (w *world) resume(i *instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i.paused != nil {
		close(i.paused)
		i.paused = nil
	}
}

// end kills a process; what it has started at targets goes on.
func (w *world) end(i *instance) {
	w.resume(i)
	w.mu.Lock()
	i.dead, i.seat = true, false
	w.mu.Unlock()
	i.kill()
	w.oracle.setLimits(i.id, nil, w.hold)
}

func (w *world) running() []*instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	var running []*instance
	for _, i := range w.instances {
		if !i.dead && i.paused == nil {
			running = append(running, i)
		}
	}
	return running
}

// take uses tokens and tells the oracle; some are returned later as not run.
func (w *world) take(i *instance, a share.Account, n int) bool {
	if !i.ledger.Take(a, float64(n)) {
		return false
	}
	t := w.oracle.take(a, n)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.returns && w.random.IntN(10) == 0 {
		time.AfterFunc(time.Duration(w.random.Int64N(int64(lateDelay))), func() {
			if i.ctx.Err() == nil {
				w.oracle.undo(t)
				i.ledger.Return(a, float64(n))
			}
		})
	}
	return true
}

// acquire runs a request at a target if a unit can be put in use.
func (w *world) acquire(i *instance, a share.Account) bool {
	if !i.ledger.Acquire(a) {
		return false
	}
	w.oracle.acquire(a)
	w.mu.Lock()
	defer w.mu.Unlock()
	duration := time.Duration(w.random.Int64N(int64(w.hold)))
	go func() {
		time.Sleep(duration)
		w.oracle.release(a)
		w.wait(i)
		i.ledger.Release(a)
	}()
	return true
}

// close ends all processes and waits for them.
func (w *world) close() {
	for _, i := range w.instances {
		w.resume(i)
	}
	w.stop()
	time.Sleep(w.hold + time.Second)
	synctest.Wait()
}
