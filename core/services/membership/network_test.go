package membership_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/platform"
	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/services/configuration"
	"medlarpond.dev/core/services/membership"
	standin "medlarpond.dev/core/standin/platform"
)

const (
	testInterval       = 500 * time.Millisecond
	testConfirmTimeout = 3 * time.Second
)

// node is one instance without its routers.
type node struct {
	id        string
	state     *configuration.State
	lifecycle membership.State
	exchanger *membership.Exchanger
	registrar *membership.Registrar
	tend      *membership.Registration
	reader    *configuration.Reader
	writer    *configuration.Writer
	// active is the last epoch whose earlier ones were over.
	active atomic.Uint64
	// cut, storeCut and dead say what the node cannot reach; a deaf one gets no changes from peers.
	cut, storeCut, dead, deaf atomic.Bool
	stop                      context.CancelFunc
}

// network joins nodes by function calls; a node that is cut reaches nobody and is reached by nobody.
type network struct {
	platform *standin.Platform
	mu       sync.Mutex
	nodes    map[string]*node
}

func (n *network) node(id string) *node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[id]
}

var errCut = errors.New("cut")

func newNetwork() *network { return &network{platform: standin.New(), nodes: map[string]*node{}} }

// start adds a running node; the seeds are IDs.
func (n *network) start(id string, incarnation uint64, domain string, seeds ...string) *node {
	d := &node{id: id, state: configuration.NewState(), lifecycle: membership.StateReady}
	store := n.platform.Store()
	get, put, waitFor := store.Get, store.Put, store.WaitFor
	store.Get = func(ctx context.Context, key string) (e platform.Entry, err error) {
		if d.storeCut.Load() {
			return e, errCut
		}
		return get(ctx, key)
	}
	store.Put = func(ctx context.Context, key string, value []byte, expected uint64) error {
		if d.storeCut.Load() {
			return errCut
		}
		return put(ctx, key, value, expected)
	}
	store.WaitFor = func(ctx context.Context, key string, known uint64, wait time.Duration) (e platform.Entry, err error) {
		if d.storeCut.Load() {
			return e, errCut
		}
		e, err = waitFor(ctx, key, known, wait)
		if d.storeCut.Load() {
			// A watch that was open when the store was cut off brings nothing any more.
			return platform.Entry{}, errCut
		}
		return e, err
	}
	table := membership.NewTable()
	d.registrar = membership.NewRegistrar(store, zap.NewNop())
	confirmation := membership.NewConfirmation(d.state)
	d.exchanger = membership.NewExchanger(membership.Parts{
		Table: table, Registrar: d.registrar, Confirmation: confirmation,
		Epochs: membership.NewEpochs(testConfirmTimeout), Silence: membership.NewSilence(), State: d.state,
		Self: func() membership.Member {
			return membership.Member{
				ID: id, Incarnation: incarnation, Region: domain[:2], FailureDomain: domain, Peer: id, State: d.lifecycle,
			}
		},
		Settled: func() uint64 { return d.registrar.Fleet().Epoch },
		Call: func(ctx context.Context, to string, m membership.Message) (membership.Message, error) {
			return n.call(ctx, d, to, m)
		},
		Interval: testInterval, CallTimeout: testInterval, ConfirmTimeout: testConfirmTimeout,
		Seeds: seeds, Logger: zap.NewNop(),
	})
	d.tend = &membership.Registration{
		Registrar: d.registrar, Exchanger: d.exchanger, Activate: func(epoch uint64, _ bool) { d.active.Store(epoch) },
		Hold:    func() time.Duration { return 5 * time.Second },
		CatchUp: func(ctx context.Context) error { return d.reader.CatchUp(ctx) }, Logger: zap.NewNop(),
	}
	d.reader = configuration.NewReader(store, d.state, zap.NewNop())
	d.reader.Watching = func() bool { return membership.Watching(table, d.registrar.Fleet(), id) }
	d.reader.Urgent = func() bool { return !d.exchanger.InContact() }
	d.reader.Confirm = func(ctx context.Context, asked time.Time) error {
		err := d.registrar.Read(ctx)
		if err == nil {
			confirmation.Store(asked)
		}
		return err
	}
	d.writer = configuration.NewWriter(store, d.state)
	d.writer.Contact = d.exchanger.InContact
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	n.mu.Lock()
	n.nodes[id] = d
	n.mu.Unlock()
	go func() { _ = d.exchanger.Run(ctx) }()
	go func() { _ = d.tend.Run(ctx) }()
	go func() { _ = d.reader.Run(ctx) }()
	return d
}

func (n *network) call(ctx context.Context, from *node, to string, m membership.Message) (membership.Message, error) {
	d := n.node(to)
	if d == nil || d.dead.Load() || d.cut.Load() || from.cut.Load() || from.dead.Load() {
		select {
		case <-time.After(testInterval / 2):
		case <-ctx.Done():
		}
		return membership.Message{}, errCut
	}
	time.Sleep(time.Millisecond)
	if d.deaf.Load() {
		m.Records = nil
	}
	answer := d.exchanger.Answer(m)
	if from.deaf.Load() {
		answer.Records = nil
	}
	return answer, nil
}

func (n *network) kill(id string) {
	n.node(id).dead.Store(true)
	n.node(id).stop()
}

func (n *network) stop() {
	for _, d := range n.nodes {
		d.stop()
	}
	// Time stands still once the test has returned, so calls under way have to end before.
	time.Sleep(2 * time.Second)
}

// startSeven starts seven nodes in six failure domains of three regions and waits until they know each other.
func (n *network) startSeven() []*node {
	var nodes []*node
	for k := range 7 {
		nodes = append(nodes, n.start(fmt.Sprintf("i%d", k), 1, fmt.Sprintf("r%d-%c", k%3, 'a'+k/3%2), "i0", "i1"))
	}
	time.Sleep(10 * time.Second)
	return nodes
}

func region(name string) configuration.Request {
	return configuration.Request{
		Actor: "a", Reason: "r", Action: configuration.ActionCreate,
		Resource: resource.Resource{Kind: resource.KindRegion, Name: name, Spec: resource.Region{Capacity: 1}},
	}
}

func inForceWithin(d *node, revision uint64, timeout time.Duration) (bool, []string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return d.exchanger.InForce(ctx, revision)
}

// TestSevenSettle checks that seven new instances agree on seven seats in one activated epoch, all confirmed.
func TestSevenSettle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()
		for _, d := range n.startSeven() {
			f := d.registrar.Fleet()
			if len(f.Seats()) != 7 || f.Epoch != 7 || len(f.Open) != 0 || d.active.Load() != 7 || !d.exchanger.Confirmed() {
				t.Errorf("%s: %d seats, epoch %d, %d open, active %d, confirmed %t",
					d.id, len(f.Seats()), f.Epoch, len(f.Open), d.active.Load(), d.exchanger.Confirmed())
			}
		}
	})
}

// TestContact cuts instances off from the store, from their peers, or both, and checks who stays confirmed.
func TestContact(t *testing.T) {
	tests := []struct {
		name           string
		store, peers   []int
		down           bool
		confirmed      []int
		writesAccepted bool
	}{
		{name: "nothing is cut", confirmed: []int{0, 1, 2, 3, 4, 5, 6}, writesAccepted: true},
		{name: "the store is down for all", down: true, confirmed: []int{0, 1, 2, 3, 4, 5, 6}},
		{name: "one has lost the store", store: []int{0}, confirmed: []int{0, 1, 2, 3, 4, 5, 6}, writesAccepted: true},
		{name: "one has lost its peers", peers: []int{0}, confirmed: []int{0, 1, 2, 3, 4, 5, 6}, writesAccepted: true},
		{name: "one has lost both", store: []int{0}, peers: []int{0}, confirmed: []int{1, 2, 3, 4, 5, 6}, writesAccepted: true},
		{name: "three have lost both", store: []int{0, 1, 2}, peers: []int{0, 1, 2}, confirmed: []int{3, 4, 5, 6}, writesAccepted: true},
		{name: "the store is down and one has lost its peers", down: true, peers: []int{0}, confirmed: []int{1, 2, 3, 4, 5, 6}},
		{name: "the store is down and four have lost their peers", down: true, peers: []int{0, 1, 2, 3}, confirmed: nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				defer n.stop()
				nodes := n.startSeven()
				n.platform.SetFaults(standin.Faults{Down: test.down})
				for _, k := range test.store {
					nodes[k].storeCut.Store(true)
				}
				for _, k := range test.peers {
					nodes[k].cut.Store(true)
				}
				time.Sleep(testConfirmTimeout + time.Second)
				for k, d := range nodes {
					if d.exchanger.Confirmed() != slices.Contains(test.confirmed, k) {
						t.Errorf("%s: confirmed is %t", d.id, d.exchanger.Confirmed())
					}
				}
				record, err := nodes[6].writer.Write(context.Background(), region("new"))
				if err != nil {
					if test.writesAccepted {
						t.Errorf("write: %v", err)
					}
					return
				}
				if accepted, lacking := inForceWithin(nodes[6], record.Revision, 2*time.Second); accepted != test.writesAccepted {
					t.Errorf("accepted is %t; lacking %v", accepted, lacking)
				}
			})
		})
	}
}

// TestPausedInstance checks that an instance that wakes after a pause is unconfirmed before it hears anything.
func TestPausedInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()
		nodes := n.startSeven()
		paused := nodes[2]
		paused.stop()
		paused.cut.Store(true)
		paused.storeCut.Store(true)
		time.Sleep(testConfirmTimeout)
		if paused.exchanger.Confirmed() {
			t.Error("an instance that heard nothing for the confirm timeout is confirmed")
		}
	})
}

// TestContactNeedsWhatSeatsHave checks that answers of seats do not confirm an instance which lacks what is in force there.
func TestContactNeedsWhatSeatsHave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()
		nodes := n.startSeven()
		lagging := nodes[0]
		lagging.storeCut.Store(true)
		lagging.deaf.Store(true)
		time.Sleep(testInterval)
		record, err := nodes[1].writer.Write(context.Background(), region("new"))
		if err != nil {
			t.Fatal(err)
		}
		if accepted, lacking := inForceWithin(nodes[1], record.Revision, 2*time.Second); !accepted || !slices.Contains(lacking, "i0") {
			t.Errorf("accepted is %t, lacking %v", accepted, lacking)
		}
		time.Sleep(testConfirmTimeout + time.Second)
		if lagging.exchanger.Confirmed() {
			t.Error("an instance that lacks an accepted change is confirmed")
		}
	})
}

// TestDeath kills instances and checks what becomes of their seats.
func TestDeath(t *testing.T) {
	tests := []struct {
		name string
		dead []int
		// restarted says that the dead come back as new processes under their addresses.
		restarted bool
		seats     int
		// over says that the epochs before the last one are over.
		over bool
	}{
		{name: "one dies", dead: []int{3}, seats: 6, over: true},
		{name: "two die at once", dead: []int{3, 4}, seats: 5, over: true},
		{name: "most die: they might live on without us", dead: []int{0, 1, 2, 3}, seats: 3, over: false},
		{name: "all restart under their addresses", dead: []int{0, 1, 2, 3, 4, 5, 6}, restarted: true, seats: 7, over: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				defer n.stop()
				nodes := n.startSeven()
				for _, k := range test.dead {
					n.kill(nodes[k].id)
				}
				if test.restarted {
					time.Sleep(time.Second)
					for k, d := range nodes {
						nodes[k] = n.start(d.id, 2, fmt.Sprintf("r%d-a", k%3))
					}
				}
				time.Sleep(22 * time.Second)
				d := nodes[6]
				f := d.registrar.Fleet()
				if len(f.Seats()) != test.seats || !d.exchanger.Confirmed() {
					t.Errorf("%d seats, confirmed is %t", len(f.Seats()), d.exchanger.Confirmed())
				}
				if over := d.active.Load() == f.Epoch && len(f.Open) == 0; over != test.over {
					t.Errorf("epoch %d, active %d, open %+v", f.Epoch, d.active.Load(), f.Open)
				}
			})
		})
	}
}

// TestOneSeatsSilence checks that a member which one seat alone does not hear stays in the record.
func TestOneSeatsSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()
		nodes := n.startSeven()
		nodes[0].cut.Store(true)
		time.Sleep(15 * time.Second)
		if f := nodes[1].registrar.Fleet(); len(f.Members) != 6 {
			t.Errorf("the others keep %d members and not 6", len(f.Members))
		}
		if f := nodes[0].registrar.Fleet(); len(f.Members) < 6 {
			t.Errorf("the one that is cut off has removed the others: %d members", len(f.Members))
		}
	})
}

// TestNoWitness checks that of two members which do not hear each other neither removes the other.
func TestNoWitness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()
		first := n.start("i0", 1, "r0-a")
		second := n.start("i1", 1, "r1-a")
		time.Sleep(5 * time.Second)
		second.cut.Store(true)
		time.Sleep(15 * time.Second)
		if f := first.registrar.Fleet(); len(f.Members) != 2 || f.Epoch != 2 {
			t.Errorf("%d members, epoch %d", len(f.Members), f.Epoch)
		}
	})
}
