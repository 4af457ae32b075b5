package neighbor_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/boottime"
	"medlarpond.dev/core/services/belief"
	"medlarpond.dev/core/services/neighbor"
	"medlarpond.dev/core/services/placement"
)

var (
	here  = roster.Place{Region: "east", FailureDomain: "east-1"}
	there = roster.Place{Region: "east", FailureDomain: "east-2"}
)

// receivers answers the updates sent to each address and counts them.
type receivers struct {
	mu      sync.Mutex
	calls   map[string]int
	results map[string]int
	// maxInterval is the longest time between two calls to an address, announcedInterval the longest that a call has
	// announced.
	maxInterval, announcedInterval map[string]time.Duration
	lastCall                       map[string]time.Time
	unresponsive                   map[string]bool
}

func (r *receivers) receive(ctx context.Context, address string, m neighbor.Message) error {
	r.mu.Lock()
	r.calls[address]++
	if previous, ok := r.lastCall[address]; ok {
		r.maxInterval[address] = max(r.maxInterval[address], time.Since(previous))
	}
	r.lastCall[address] = time.Now()
	r.announcedInterval[address] = max(r.announcedInterval[address], m.Told.Next)
	unresponsive := r.unresponsive[address]
	r.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return errors.New("no answer")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[address] += len(m.Told.News)
	return nil
}

func startBroadcaster(t *testing.T, instances ...roster.Instance) (*receivers, *placement.LoadTracker) {
	t.Helper()
	state := belief.New(zap.NewNop(), boottime.Now, func([]roster.Instance) {})
	state.SetInstances(instances)
	r := &receivers{calls: map[string]int{}, results: map[string]int{}, unresponsive: map[string]bool{}}
	r.maxInterval, r.announcedInterval, r.lastCall = map[string]time.Duration{}, map[string]time.Duration{}, map[string]time.Time{}
	loads := placement.NewLoadTracker()
	broadcaster := neighbor.New(neighbor.Config{
		Self: "a", Place: here, State: state, Loads: loads, Send: r.receive, Logger: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = broadcaster.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r, loads
}

func (r *receivers) callCount(address string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls[address]
}

func TestUpdatesGoToNeighborsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := startBroadcaster(t,
			roster.Instance{ID: "a", Place: here, Peer: "self"}, roster.Instance{ID: "b", Place: here, Peer: "near"},
			roster.Instance{ID: "c", Place: there, Peer: "far"}, roster.Instance{ID: "d", Place: here})
		time.Sleep(5 * time.Second)
		if r.callCount("self")+r.callCount("far")+r.callCount("") > 0 {
			t.Errorf("got calls by address %v, want calls to near only", r.calls)
		}
		if n := r.callCount("near"); n < 45 || n > 52 {
			t.Errorf("got %d updates to a neighbor in 5 s, want about 50", n)
		}
	})
}

// TestUnresponsiveNeighbor checks that a neighbor that does not answer gets few calls, does not delay updates to others
// and later receives all results.
func TestUnresponsiveNeighbor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, loads := startBroadcaster(t,
			roster.Instance{ID: "b", Place: here, Peer: "b"}, roster.Instance{ID: "c", Place: here, Peer: "c"})
		r.mu.Lock()
		r.unresponsive["b"] = true
		r.mu.Unlock()
		target := roster.Target{ID: "t", Service: "orders", Place: here, Slots: 3}
		for range 10 {
			loads.Begin(target)
			loads.End(placement.Attempt{Target: target, Outcome: placement.OutcomeAnswered, Object: "x", LatencyGoal: time.Second})
			time.Sleep(time.Second)
		}
		if n := r.callCount("b"); n > 10 {
			t.Errorf("got %d calls to an unresponsive neighbor in 10 s, want at most 10", n)
		}
		if n := r.callCount("c"); n < 90 {
			t.Errorf("got %d calls to the other neighbor in 10 s, want about 100", n)
		}
		r.mu.Lock()
		r.unresponsive["b"] = false
		r.mu.Unlock()
		time.Sleep(2 * time.Second)
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.results["b"] != 10 || r.results["c"] != 10 {
			t.Errorf("got results %v, want 10 each", r.results)
		}
	})
}

// TestCallRateIsBoundedWithManyNeighbors checks the total call rate of an instance in a large failure domain.
func TestCallRateIsBoundedWithManyNeighbors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var instances []roster.Instance
		for n := range 56 {
			instances = append(instances, roster.Instance{ID: fmt.Sprint("i-", n), Place: here, Peer: fmt.Sprint(n)})
		}
		r, _ := startBroadcaster(t, instances...)
		time.Sleep(7 * time.Second)
		total := 0
		for n := range 56 {
			address := fmt.Sprint(n)
			total += r.callCount(address)
			r.mu.Lock()
			if r.maxInterval[address] > r.announcedInterval[address] {
				t.Errorf("neighbor %s was called again after %v, want within the announced %v", address, r.maxInterval[address], r.announcedInterval[address])
			}
			r.mu.Unlock()
		}
		if total < 500 || total > 640 {
			t.Errorf("got %d calls in 7 s to 56 neighbors, want about 560 as for 8 neighbors", total)
		}
	})
}
