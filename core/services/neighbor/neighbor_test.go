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
	"medlarpond.dev/core/services/belief"
	"medlarpond.dev/core/services/neighbor"
	"medlarpond.dev/core/services/placement"
)

var (
	here  = roster.Place{Region: "east", FailureDomain: "east-1"}
	there = roster.Place{Region: "east", FailureDomain: "east-2"}
)

// listeners counts the calls to each address and answers them.
type listeners struct {
	mu    sync.Mutex
	calls map[string]int
	news  map[string]int
	// gap is the longest time between two calls to an address, and promised the longest that a call has announced.
	gap, promised map[string]time.Duration
	last          map[string]time.Time
	silent        map[string]bool
}

func (l *listeners) tell(ctx context.Context, address string, m neighbor.Message) error {
	l.mu.Lock()
	l.calls[address]++
	if last, ok := l.last[address]; ok {
		l.gap[address] = max(l.gap[address], time.Since(last))
	}
	l.last[address] = time.Now()
	l.promised[address] = max(l.promised[address], m.Told.Next)
	silent := l.silent[address]
	l.mu.Unlock()
	if silent {
		<-ctx.Done()
		return errors.New("no answer")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.news[address] += len(m.Told.News)
	return nil
}

func start(t *testing.T, instances ...roster.Instance) (*listeners, *placement.Loads) {
	t.Helper()
	state := belief.New(zap.NewNop(), func(int) {})
	state.SetInstances(instances)
	l := &listeners{calls: map[string]int{}, news: map[string]int{}, silent: map[string]bool{}}
	l.gap, l.promised, l.last = map[string]time.Duration{}, map[string]time.Duration{}, map[string]time.Time{}
	loads := placement.NewLoads()
	teller := neighbor.New(neighbor.Parts{
		Self: "a", Place: here, State: state, Loads: loads, Tell: l.tell, Logger: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = teller.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return l, loads
}

func (l *listeners) called(address string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[address]
}

func TestOnlyNeighborsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := start(t,
			roster.Instance{ID: "a", Place: here, Peer: "self"}, roster.Instance{ID: "b", Place: here, Peer: "near"},
			roster.Instance{ID: "c", Place: there, Peer: "far"}, roster.Instance{ID: "d", Place: here})
		time.Sleep(5 * time.Second)
		if l.called("self")+l.called("far")+l.called("") > 0 {
			t.Errorf("calls by address: %v, want none but to near", l.calls)
		}
		if n := l.called("near"); n < 45 || n > 52 {
			t.Errorf("a neighbor was told %d times in 5 s, want about 50", n)
		}
	})
}

// TestSilentNeighbor checks that a neighbor that does not answer gets few calls, holds up no other and misses no news.
func TestSilentNeighbor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, loads := start(t,
			roster.Instance{ID: "b", Place: here, Peer: "b"}, roster.Instance{ID: "c", Place: here, Peer: "c"})
		l.mu.Lock()
		l.silent["b"] = true
		l.mu.Unlock()
		target := roster.Target{ID: "t", Service: "orders", Place: here, Slots: 3}
		for range 10 {
			loads.Begin(target)
			loads.End(placement.Attempt{Target: target, Outcome: placement.OutcomeAnswered, Object: "x", Goal: time.Second})
			time.Sleep(time.Second)
		}
		if n := l.called("b"); n > 10 {
			t.Errorf("a silent neighbor was called %d times in 10 s", n)
		}
		if n := l.called("c"); n < 90 {
			t.Errorf("beside a silent neighbor another was called %d times in 10 s, want about 100", n)
		}
		l.mu.Lock()
		l.silent["b"] = false
		l.mu.Unlock()
		time.Sleep(2 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.news["b"] != 10 || l.news["c"] != 10 {
			t.Errorf("news told: %v, want 10 each", l.news)
		}
	})
}

// TestManyNeighborsBoundTheCalls checks the calls of an instance in a large failure domain.
func TestManyNeighborsBoundTheCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var many []roster.Instance
		for n := range 56 {
			many = append(many, roster.Instance{ID: fmt.Sprint("i-", n), Place: here, Peer: fmt.Sprint(n)})
		}
		l, _ := start(t, many...)
		time.Sleep(7 * time.Second)
		total := 0
		for n := range 56 {
			address := fmt.Sprint(n)
			total += l.called(address)
			l.mu.Lock()
			if l.gap[address] > l.promised[address] {
				t.Errorf("%s was told again after %v, announced was %v", address, l.gap[address], l.promised[address])
			}
			l.mu.Unlock()
		}
		if total < 500 || total > 640 {
			t.Errorf("%d calls in 7 s to 56 neighbors, want about 560 as for 8 neighbors", total)
		}
	})
}
