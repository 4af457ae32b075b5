package instance_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/instance"
	"medlarpond.dev/core/models/platform"
	"medlarpond.dev/core/services/membership"
	"medlarpond.dev/core/settings"
	standinplatform "medlarpond.dev/core/standin/platform"
)

const (
	// benchChanges is the number of changes in a long run.
	benchChanges = 500
	// waitTimeout limits each wait for a state of the cluster.
	waitTimeout = 30 * time.Second
	// idleTime is how long the cost of the idle fleet is measured.
	idleTime = 5 * time.Second
	// storeDelay is the latency that a slow store adds to each call.
	storeDelay = 5 * time.Millisecond
	// restartInterval is the interval at which the unresponsive member registers as a new process.
	restartInterval = 4 * time.Second
)

// testCluster runs several instances in this process with a stand-in platform.
type testCluster struct {
	platform  *standinplatform.Platform
	instances []settings.Settings
	cancels   []context.CancelFunc
	done      []chan error
}

// startCluster starts n instances and waits until each of them knows all others and only the current epoch is open.
func startCluster(tb testing.TB, n int) *testCluster {
	tb.Helper()
	s := &testCluster{platform: standinplatform.New()}
	store := httptest.NewServer(s.platform)
	tb.Cleanup(store.Close)
	for k := range n {
		c := settings.Defaults()
		c.Instance = settings.Instance{ID: fmt.Sprintf("entry-%02d", k), Region: fmt.Sprintf("r%d", k%3), FailureDomain: fmt.Sprintf("r%d-%d", k%3, k%6)}
		c.Listen = settings.Listen{Caller: freeAddress(tb), Operator: freeAddress(tb), Peer: freeAddress(tb)}
		c.Platform.URL = store.URL
		c.Requests.LookupTTL = time.Millisecond
		s.instances = append(s.instances, c)
	}
	for _, c := range s.instances {
		s.start(c)
	}
	tb.Cleanup(func() {
		for k, stop := range s.cancels {
			stop()
			defer s.waitStopped(tb, k)
		}
	})
	for _, c := range s.instances {
		s.waitForStatus(tb, c, func(status statusResponse) bool {
			return len(status.Members) == n && status.ConfirmedByPeers && status.OpenEpochs == 0
		})
	}
	return s
}

func (s *testCluster) start(c settings.Settings) {
	store, _ := platform.NewHTTP(c.Platform.URL, time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	s.cancels, s.done = append(s.cancels, cancel), append(s.done, done)
	go func() { done <- instance.New(c, store, zap.NewNop()).Run(ctx) }()
}

// waitStopped waits until the k-th instance has stopped.
func (s *testCluster) waitStopped(tb testing.TB, k int) {
	tb.Helper()
	if err := <-s.done[k]; err != nil {
		tb.Error(err)
	}
}

// addUnresponsiveMember keeps a member in the fleet record that accepts connections but never responds.
func (s *testCluster) addUnresponsiveMember(tb testing.TB) {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	fleetStore := membership.NewFleetStore(s.platform.Store(), zap.NewNop())
	var group sync.WaitGroup
	group.Go(func() {
		for incarnation := uint64(1); ctx.Err() == nil; incarnation++ {
			m := membership.FleetMember{
				ID: "ghost", Incarnation: incarnation, Region: "r0", FailureDomain: "r0-0",
				Peer: l.Addr().String(), State: membership.StateReady,
			}
			_ = fleetStore.Update(ctx, func(f membership.Fleet) (membership.Fleet, bool) {
				current, ok := f.Member(m.ID)
				return f.WithMember(m), !ok || current.Incarnation != m.Incarnation
			})
			select {
			case <-time.After(restartInterval):
			case <-ctx.Done():
			}
		}
	})
	tb.Cleanup(func() {
		cancel()
		group.Wait()
		_ = l.Close()
	})
}

type statusResponse struct {
	Members          []struct{ Revision uint64 }
	ConfirmedByPeers bool `json:"in-contact"`
	OpenEpochs       int  `json:"open-epochs"`
}

func (s *testCluster) status(c settings.Settings) (statusResponse, error) {
	var status statusResponse
	response, err := http.Get("http://" + c.Listen.Operator + "/v1/status")
	if err != nil {
		return status, err
	}
	defer func() { _ = response.Body.Close() }()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

func (s *testCluster) waitForStatus(tb testing.TB, c settings.Settings, ok func(statusResponse) bool) {
	tb.Helper()
	for started := time.Now(); time.Since(started) < waitTimeout; time.Sleep(10 * time.Millisecond) {
		if status, err := s.status(c); err == nil && ok(status) {
			return
		}
	}
	tb.Fatalf("timed out waiting for the expected status of %s", c.Instance.ID)
}

// applyTimes records when the instances applied each revision.
type applyTimes struct {
	mu         sync.Mutex
	byRevision map[uint64][]time.Time
}

// watch records when an instance applies changes after a revision, as its watch API reports them.
func (a *applyTimes) watch(tb testing.TB, c settings.Settings, after uint64) {
	tb.Helper()
	response, err := http.Get(fmt.Sprintf("http://%s/v1/watch?after=%d", c.Listen.Operator, after))
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = response.Body.Close() })
	go func() {
		d := json.NewDecoder(response.Body)
		for {
			var e struct {
				Type     string
				Revision uint64
			}
			if d.Decode(&e) != nil {
				return
			}
			if e.Type == "change" {
				a.mu.Lock()
				a.byRevision[e.Revision] = append(a.byRevision[e.Revision], time.Now())
				a.mu.Unlock()
			}
		}
	}()
}

// waitForAll waits until n instances have applied a revision and returns the time at which the last one did.
func (a *applyTimes) waitForAll(tb testing.TB, revision uint64, n int) time.Time {
	tb.Helper()
	for started := time.Now(); time.Since(started) < waitTimeout; time.Sleep(time.Millisecond) {
		a.mu.Lock()
		times := a.byRevision[revision]
		a.mu.Unlock()
		if len(times) >= n {
			return slices.MaxFunc(times, func(x, y time.Time) int { return x.Compare(y) })
		}
	}
	tb.Fatalf("timed out waiting for all instances to apply revision %d", revision)
	return time.Time{}
}

// createRegion creates the n-th region and returns the revision of the change.
func (s *testCluster) createRegion(tb testing.TB, n int) uint64 {
	tb.Helper()
	body := fmt.Sprintf(`{"actor":"a","reason":"r","resource":{"kind":"region","name":"r-%d","spec":{"capacity":1}}}`, n)
	url := "http://" + s.instances[n%2].Listen.Operator + "/v1/resources/region"
	response, err := http.Post(url, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	var accepted struct {
		Revision uint64
		Accepted bool
	}
	if err := json.Unmarshal(content, &accepted); err != nil || !accepted.Accepted {
		tb.Fatalf("create region %d: got status %d %s, want the change accepted", n, response.StatusCode, content)
	}
	return accepted.Revision
}

// peerBytes returns the number of bytes that all instances have sent and received in their own calls to peers. The called
// peers send and receive the same bytes again, but do not count them.
func (s *testCluster) peerBytes(tb testing.TB) float64 {
	tb.Helper()
	total := 0.0
	for _, c := range s.instances {
		response, err := http.Get("http://" + c.Listen.Operator + "/metrics")
		if err != nil {
			continue
		}
		content, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		for line := range strings.Lines(string(content)) {
			if value, ok := strings.CutPrefix(line, "medlarpond_exchange_bytes "); ok {
				bytes, _ := strconv.ParseFloat(strings.TrimSpace(value), 64)
				total += bytes
			}
		}
	}
	return total
}

// BenchmarkChangePropagation measures the time from sending a change until all instances have applied it, and the cost
// of the idle fleet. With faults the store is slow, and one additional member is unresponsive and restarts repeatedly.
func BenchmarkChangePropagation(b *testing.B) {
	tests := []struct {
		instances, changes int
		faults             bool
	}{
		{3, 100, false}, {7, benchChanges, false}, {15, 100, false}, {30, 100, false}, {6, benchChanges, true},
	}
	for _, test := range tests {
		b.Run(fmt.Sprintf("instances=%d/faults=%t", test.instances, test.faults), func(b *testing.B) {
			for range b.N {
				measure(b, test.instances, test.changes, test.faults)
			}
		})
	}
}

func measure(b *testing.B, n, changes int, faults bool) {
	b.Helper()
	s := startCluster(b, n)
	a := &applyTimes{byRevision: map[uint64][]time.Time{}}
	for _, c := range s.instances {
		a.watch(b, c, 0)
	}
	if faults {
		s.platform.SetFaults(standinplatform.Faults{Delay: storeDelay})
		s.addUnresponsiveMember(b)
	}
	calls, bytes := s.platform.CallCount(), s.peerBytes(b)
	time.Sleep(idleTime)
	seconds := idleTime.Seconds()
	b.ReportMetric(float64(s.platform.CallCount()-calls)/seconds, "store-calls/s")
	b.ReportMetric(2*(s.peerBytes(b)-bytes)/seconds/float64(n), "peer-bytes/s/instance")
	calls = s.platform.CallCount()
	started := time.Now()
	var took []time.Duration
	for k := range changes {
		sent := time.Now()
		revision := s.createRegion(b, k)
		took = append(took, a.waitForAll(b, revision, n).Sub(sent))
	}
	callsPerChange := float64(s.platform.CallCount()-calls) / float64(changes)
	b.ReportMetric(callsPerChange, "store-calls/change")
	b.ReportMetric(time.Since(started).Seconds(), "total-s")
	slices.Sort(took)
	for name, quantile := range map[string]float64{"p50-ms": 0.5, "p99-ms": 0.99, "max-ms": 1} {
		d := took[min(len(took)-1, int(quantile*float64(len(took))))]
		b.ReportMetric(float64(d.Microseconds())/1000, name)
	}
}
