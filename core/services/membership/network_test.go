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
	id           string
	state        *configuration.State
	lifecycle    membership.State
	exchanger    *membership.Exchanger
	fleetStore   *membership.FleetStore
	registration *membership.Registration
	reader       *configuration.Reader
	writer       *configuration.Writer
	// activeEpoch is the last epoch that was activated because all earlier ones had ended.
	activeEpoch atomic.Uint64
	// These simulate failures: partitioned cuts the node off from its peers, storeUnreachable from the store, and a
	// node with dropsRecords gets no configuration changes from peers.
	partitioned, storeUnreachable, killed, dropsRecords atomic.Bool
	stop                                                context.CancelFunc
}

// network connects nodes by function calls. Calls from and to a partitioned or killed node fail.
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

var errUnreachable = errors.New("unreachable")

func newNetwork() *network { return &network{platform: standin.New(), nodes: map[string]*node{}} }

// start adds a running node; the seeds are node IDs.
func (n *network) start(id string, incarnation uint64, domain string, seeds ...string) *node {
	inst := &node{id: id, state: configuration.NewState(), lifecycle: membership.StateReady}
	store := n.platform.Store()
	get, put, waitFor := store.Get, store.Put, store.WaitFor
	store.Get = func(ctx context.Context, key string) (e platform.Entry, err error) {
		if inst.storeUnreachable.Load() {
			return e, errUnreachable
		}
		return get(ctx, key)
	}
	store.Put = func(ctx context.Context, key string, value []byte, expected uint64) error {
		if inst.storeUnreachable.Load() {
			return errUnreachable
		}
		return put(ctx, key, value, expected)
	}
	store.WaitFor = func(ctx context.Context, key string, known uint64, wait time.Duration) (e platform.Entry, err error) {
		if inst.storeUnreachable.Load() {
			return e, errUnreachable
		}
		e, err = waitFor(ctx, key, known, wait)
		if inst.storeUnreachable.Load() {
			// A watch that was open when the store became unreachable returns nothing either.
			return platform.Entry{}, errUnreachable
		}
		return e, err
	}
	table := membership.NewTable()
	inst.fleetStore = membership.NewFleetStore(store, zap.NewNop())
	confirmation := membership.NewConfirmation(inst.state)
	inst.exchanger = membership.NewExchanger(membership.ExchangerConfig{
		Table: table, FleetStore: inst.fleetStore, Confirmation: confirmation,
		Epochs: membership.NewEpochTracker(testConfirmTimeout), FailureDetector: membership.NewFailureDetector(), State: inst.state,
		Self: func() membership.Member {
			return membership.Member{
				ID: id, Incarnation: incarnation, Region: domain[:2], FailureDomain: domain, Peer: id, State: inst.lifecycle,
			}
		},
		Settled: func() uint64 { return inst.fleetStore.Fleet().Epoch },
		Call: func(ctx context.Context, to string, m membership.Message) (membership.Message, error) {
			return n.call(ctx, inst, to, m)
		},
		Interval: testInterval, CallTimeout: testInterval, ConfirmTimeout: testConfirmTimeout,
		Seeds: seeds, Logger: zap.NewNop(),
	})
	inst.registration = &membership.Registration{
		FleetStore: inst.fleetStore, Exchanger: inst.exchanger, Activate: func(epoch uint64, _ bool) { inst.activeEpoch.Store(epoch) },
		ReleaseDelay: func() time.Duration { return 5 * time.Second },
		CatchUp:      func(ctx context.Context) error { return inst.reader.CatchUp(ctx) }, Logger: zap.NewNop(),
	}
	inst.reader = configuration.NewReader(store, inst.state, zap.NewNop())
	inst.reader.WatchesStore = func() bool { return membership.WatchesStore(table, inst.fleetStore.Fleet(), id) }
	inst.reader.PollUrgently = func() bool { return !inst.exchanger.ConfirmedByPeers() }
	inst.reader.OnCaughtUp = func(ctx context.Context, sentAt time.Time) error {
		err := inst.fleetStore.Read(ctx)
		if err == nil {
			confirmation.RecordStoreResponse(sentAt)
		}
		return err
	}
	inst.writer = configuration.NewWriter(store, inst.state)
	inst.writer.ConfirmedByPeers = inst.exchanger.ConfirmedByPeers
	ctx, cancel := context.WithCancel(context.Background())
	inst.stop = cancel
	n.mu.Lock()
	n.nodes[id] = inst
	n.mu.Unlock()
	go func() { _ = inst.exchanger.Run(ctx) }()
	go func() { _ = inst.registration.Run(ctx) }()
	go func() { _ = inst.reader.Run(ctx) }()
	return inst
}

func (n *network) call(ctx context.Context, caller *node, to string, m membership.Message) (membership.Message, error) {
	callee := n.node(to)
	if callee == nil || callee.killed.Load() || callee.partitioned.Load() || caller.partitioned.Load() || caller.killed.Load() {
		select {
		case <-time.After(testInterval / 2):
		case <-ctx.Done():
		}
		return membership.Message{}, errUnreachable
	}
	time.Sleep(time.Millisecond)
	if callee.dropsRecords.Load() {
		m.Records = nil
	}
	response := callee.exchanger.HandleMessage(m)
	if caller.dropsRecords.Load() {
		response.Records = nil
	}
	return response, nil
}

func (n *network) kill(id string) {
	n.node(id).killed.Store(true)
	n.node(id).stop()
}

func (n *network) stop() {
	for _, inst := range n.nodes {
		inst.stop()
	}
	// The fake clock stops when the test function returns, so calls in progress must finish before that.
	time.Sleep(2 * time.Second)
}

// startSevenNodes starts seven nodes in six failure domains of three regions and waits until their membership has
// converged.
func (n *network) startSevenNodes() []*node {
	var nodes []*node
	for i := range 7 {
		nodes = append(nodes, n.start(fmt.Sprintf("i%d", i), 1, fmt.Sprintf("r%d-%c", i%3, 'a'+i/3%2), "i0", "i1"))
	}
	time.Sleep(10 * time.Second)
	return nodes
}

func createRegionRequest(name string) configuration.ChangeRequest {
	return configuration.ChangeRequest{
		Actor: "a", Reason: "r", Action: configuration.ActionCreate,
		Resource: resource.Resource{Kind: resource.KindRegion, Name: name, Spec: resource.Region{Capacity: 1}},
	}
}

func waitApplied(inst *node, revision uint64, timeout time.Duration) (bool, []string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return inst.exchanger.WaitApplied(ctx, revision)
}

// TestSevenInstancesConverge checks that seven new instances agree on seven seats in one activated epoch and are all
// confirmed.
func TestSevenInstancesConverge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()
		for _, inst := range n.startSevenNodes() {
			f := inst.fleetStore.Fleet()
			if len(f.Seats()) != 7 || f.Epoch != 7 || len(f.OpenSets) != 0 || inst.activeEpoch.Load() != 7 || !inst.exchanger.Confirmed() {
				t.Errorf("%s: got %d seats, epoch %d, %d open sets, active epoch %d, confirmed %t, want 7, 7, 0, 7, true",
					inst.id, len(f.Seats()), f.Epoch, len(f.OpenSets), inst.activeEpoch.Load(), inst.exchanger.Confirmed())
			}
		}
	})
}

// TestConfirmationUnderPartitions cuts instances off from the store, from their peers, or both, and checks which of
// them stay confirmed.
func TestConfirmationUnderPartitions(t *testing.T) {
	tests := []struct {
		name                          string
		storeUnreachable, partitioned []int
		storeDown                     bool
		confirmed                     []int
		writesAccepted                bool
	}{
		{name: "no failure", confirmed: []int{0, 1, 2, 3, 4, 5, 6}, writesAccepted: true},
		{name: "store is down", storeDown: true, confirmed: []int{0, 1, 2, 3, 4, 5, 6}},
		{name: "one instance cut off from the store", storeUnreachable: []int{0}, confirmed: []int{0, 1, 2, 3, 4, 5, 6}, writesAccepted: true},
		{name: "one instance cut off from its peers", partitioned: []int{0}, confirmed: []int{0, 1, 2, 3, 4, 5, 6}, writesAccepted: true},
		{name: "one instance cut off from store and peers", storeUnreachable: []int{0}, partitioned: []int{0}, confirmed: []int{1, 2, 3, 4, 5, 6}, writesAccepted: true},
		{name: "three instances cut off from store and peers", storeUnreachable: []int{0, 1, 2}, partitioned: []int{0, 1, 2}, confirmed: []int{3, 4, 5, 6}, writesAccepted: true},
		{name: "store is down and one instance cut off from its peers", storeDown: true, partitioned: []int{0}, confirmed: []int{1, 2, 3, 4, 5, 6}},
		{name: "store is down and four instances cut off from their peers", storeDown: true, partitioned: []int{0, 1, 2, 3}, confirmed: nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				defer n.stop()
				nodes := n.startSevenNodes()
				n.platform.SetFaults(standin.Faults{Down: test.storeDown})
				for _, i := range test.storeUnreachable {
					nodes[i].storeUnreachable.Store(true)
				}
				for _, i := range test.partitioned {
					nodes[i].partitioned.Store(true)
				}
				time.Sleep(testConfirmTimeout + time.Second)
				for i, inst := range nodes {
					if inst.exchanger.Confirmed() != slices.Contains(test.confirmed, i) {
						t.Errorf("%s: got confirmed %t, want the opposite", inst.id, inst.exchanger.Confirmed())
					}
				}
				record, err := nodes[6].writer.Write(context.Background(), createRegionRequest("new"))
				if err != nil {
					if test.writesAccepted {
						t.Errorf("got write error %v, want the change accepted", err)
					}
					return
				}
				if accepted, behind := waitApplied(nodes[6], record.Revision, 2*time.Second); accepted != test.writesAccepted {
					t.Errorf("got change accepted %t, want the opposite; members behind: %v", accepted, behind)
				}
			})
		})
	}
}

// TestPausedInstanceIsUnconfirmed checks that an instance is unconfirmed when it resumes after a pause of the confirm
// timeout, before it receives any message.
func TestPausedInstanceIsUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()
		nodes := n.startSevenNodes()
		paused := nodes[2]
		paused.stop()
		paused.partitioned.Store(true)
		paused.storeUnreachable.Store(true)
		time.Sleep(testConfirmTimeout)
		if paused.exchanger.Confirmed() {
			t.Error("got a confirmed instance after a pause of the confirm timeout, want it unconfirmed")
		}
	})
}

// TestLaggingInstanceIsNotConfirmed checks that responses from seats do not confirm an instance that lacks a change
// that the seats have applied.
func TestLaggingInstanceIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()
		nodes := n.startSevenNodes()
		lagging := nodes[0]
		lagging.storeUnreachable.Store(true)
		lagging.dropsRecords.Store(true)
		time.Sleep(testInterval)
		record, err := nodes[1].writer.Write(context.Background(), createRegionRequest("new"))
		if err != nil {
			t.Fatal(err)
		}
		if accepted, behind := waitApplied(nodes[1], record.Revision, 2*time.Second); !accepted || !slices.Contains(behind, "i0") {
			t.Errorf("got change accepted %t, members behind %v, want it accepted with i0 behind", accepted, behind)
		}
		time.Sleep(testConfirmTimeout + time.Second)
		if lagging.exchanger.Confirmed() {
			t.Error("got a confirmed instance that lacks an accepted change, want it unconfirmed")
		}
	})
}

// TestSeatsAfterDeaths kills instances and checks the number of seats and whether the earlier epochs end.
func TestSeatsAfterDeaths(t *testing.T) {
	tests := []struct {
		name   string
		killed []int
		// restarted is true if the killed instances start again as new processes at the same addresses.
		restarted bool
		seats     int
		// earlierEpochsEnded is true if all epochs before the last one are expected to have ended.
		earlierEpochsEnded bool
	}{
		{name: "one dies", killed: []int{3}, seats: 6, earlierEpochsEnded: true},
		{name: "two die at once", killed: []int{3, 4}, seats: 5, earlierEpochsEnded: true},
		{name: "majority is lost and may still be running", killed: []int{0, 1, 2, 3}, seats: 3, earlierEpochsEnded: false},
		{name: "all restart at the same addresses", killed: []int{0, 1, 2, 3, 4, 5, 6}, restarted: true, seats: 7, earlierEpochsEnded: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				defer n.stop()
				nodes := n.startSevenNodes()
				for _, i := range test.killed {
					n.kill(nodes[i].id)
				}
				if test.restarted {
					time.Sleep(time.Second)
					for i, inst := range nodes {
						nodes[i] = n.start(inst.id, 2, fmt.Sprintf("r%d-a", i%3))
					}
				}
				time.Sleep(22 * time.Second)
				inst := nodes[6]
				f := inst.fleetStore.Fleet()
				if len(f.Seats()) != test.seats || !inst.exchanger.Confirmed() {
					t.Errorf("got %d seats, confirmed %t, want a seat for each running instance, confirmed true", len(f.Seats()), inst.exchanger.Confirmed())
				}
				if ended := inst.activeEpoch.Load() == f.Epoch && len(f.OpenSets) == 0; ended != test.earlierEpochsEnded {
					t.Errorf("unexpected state of earlier epochs: got epoch %d, active epoch %d, open sets %+v", f.Epoch, inst.activeEpoch.Load(), f.OpenSets)
				}
			})
		})
	}
}

// TestIsolatedSeatRemovesNobody checks that a partitioned seat is removed by the others, and does not remove members
// that only it cannot reach.
func TestIsolatedSeatRemovesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()
		nodes := n.startSevenNodes()
		nodes[0].partitioned.Store(true)
		time.Sleep(15 * time.Second)
		if f := nodes[1].fleetStore.Fleet(); len(f.Members) != 6 {
			t.Errorf("got %d members at the connected instances, want 6", len(f.Members))
		}
		if f := nodes[0].fleetStore.Fleet(); len(f.Members) < 6 {
			t.Errorf("got %d members at the partitioned instance, want at least 6", len(f.Members))
		}
	})
}

// TestNoRemovalWithoutSecondReport checks that two members that cannot reach each other do not remove each other, as no
// other seat reports on them.
func TestNoRemovalWithoutSecondReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop()
		first := n.start("i0", 1, "r0-a")
		second := n.start("i1", 1, "r1-a")
		time.Sleep(5 * time.Second)
		second.partitioned.Store(true)
		time.Sleep(15 * time.Second)
		if f := first.fleetStore.Fleet(); len(f.Members) != 2 || f.Epoch != 2 {
			t.Errorf("got %d members in epoch %d, want 2 in epoch 2", len(f.Members), f.Epoch)
		}
	})
}
