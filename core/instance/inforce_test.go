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
	// benchChanges is the number of changes that are timed at once.
	benchChanges = 500
	// benchPatience bounds the wait for one change.
	benchPatience = 30 * time.Second
	// restTime is how long the fleet is watched at rest.
	restTime = 5 * time.Second
	// storeDelay is added to each call of a slow store.
	storeDelay = 5 * time.Millisecond
	// ghostInterval is the pause after which a silent member comes back as another process.
	ghostInterval = 4 * time.Second
)

// site is several instances in one process around a stand-in platform.
type site struct {
	platform  *standinplatform.Platform
	instances []settings.Settings
	stops     []context.CancelFunc
	done      []chan error
}

// startSite starts n instances and waits until each of them sees all.
func startSite(tb testing.TB, n int) *site {
	tb.Helper()
	s := &site{platform: standinplatform.New()}
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
		for k, stop := range s.stops {
			stop()
			defer s.waitFor(tb, k)
		}
	})
	for _, c := range s.instances {
		s.await(tb, c, func(status siteStatus) bool {
			return len(status.Members) == n && status.InContact && status.OpenEpochs == 0
		})
	}
	return s
}

func (s *site) start(c settings.Settings) {
	seam, _ := platform.NewHTTP(c.Platform.URL, time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	s.stops, s.done = append(s.stops, cancel), append(s.done, done)
	go func() { done <- instance.New(c, seam, zap.NewNop()).Run(ctx) }()
}

// waitFor waits until an instance has stopped.
func (s *site) waitFor(tb testing.TB, k int) {
	tb.Helper()
	if err := <-s.done[k]; err != nil {
		tb.Error(err)
	}
}

// ghost keeps a member in the fleet record that accepts connections and never answers.
func (s *site) ghost(tb testing.TB) {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	registrar := membership.NewFleetStore(s.platform.Store(), zap.NewNop())
	var group sync.WaitGroup
	group.Go(func() {
		for incarnation := uint64(1); ctx.Err() == nil; incarnation++ {
			m := membership.FleetMember{
				ID: "ghost", Incarnation: incarnation, Region: "r0", FailureDomain: "r0-0",
				Peer: l.Addr().String(), State: membership.StateReady,
			}
			_ = registrar.Update(ctx, func(f membership.Fleet) (membership.Fleet, bool) {
				have, ok := f.Member(m.ID)
				return f.WithMember(m), !ok || have.Incarnation != m.Incarnation
			})
			select {
			case <-time.After(ghostInterval):
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

type siteStatus struct {
	Members    []struct{ Revision uint64 }
	InContact  bool `json:"in-contact"`
	OpenEpochs int  `json:"open-epochs"`
}

func (s *site) status(c settings.Settings) (siteStatus, error) {
	var status siteStatus
	response, err := http.Get("http://" + c.Listen.Operator + "/v1/status")
	if err != nil {
		return status, err
	}
	defer func() { _ = response.Body.Close() }()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

func (s *site) await(tb testing.TB, c settings.Settings, ok func(siteStatus) bool) {
	tb.Helper()
	for started := time.Now(); time.Since(started) < benchPatience; time.Sleep(10 * time.Millisecond) {
		if status, err := s.status(c); err == nil && ok(status) {
			return
		}
	}
	tb.Fatalf("%s does not get there", c.Instance.ID)
}

// arrivals are the times at which each instance had a revision in force.
type arrivals struct {
	mu sync.Mutex
	at map[uint64][]time.Time
}

// follow notes when an instance has changes in force, as its watch tells.
func (a *arrivals) follow(tb testing.TB, c settings.Settings, after uint64) {
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
				a.at[e.Revision] = append(a.at[e.Revision], time.Now())
				a.mu.Unlock()
			}
		}
	}()
}

// last returns when the last of n instances had a revision in force.
func (a *arrivals) last(tb testing.TB, revision uint64, n int) time.Time {
	tb.Helper()
	for started := time.Now(); time.Since(started) < benchPatience; time.Sleep(time.Millisecond) {
		a.mu.Lock()
		at := a.at[revision]
		a.mu.Unlock()
		if len(at) >= n {
			return slices.MaxFunc(at, func(x, y time.Time) int { return x.Compare(y) })
		}
	}
	tb.Fatalf("revision %d is not in force everywhere", revision)
	return time.Time{}
}

// change creates a region and returns its revision.
func (s *site) change(tb testing.TB, n int) uint64 {
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
		tb.Fatalf("change %d: %d %s", n, response.StatusCode, content)
	}
	return accepted.Revision
}

// peerBytes returns what all instances have sent and received by their own questions to peers.
func (s *site) peerBytes(tb testing.TB) float64 {
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

// BenchmarkInForce measures the time from the sending of a change until it is in force at all instances, and what the
// fleet costs at rest. With faults the
// store is slow, and one more member is silent and comes back again and again.
func BenchmarkInForce(b *testing.B) {
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
	s := startSite(b, n)
	a := &arrivals{at: map[uint64][]time.Time{}}
	for _, c := range s.instances {
		a.follow(b, c, 0)
	}
	if faults {
		s.platform.SetFaults(standinplatform.Faults{Delay: storeDelay})
		s.ghost(b)
	}
	calls, bytes := s.platform.Calls(), s.peerBytes(b)
	time.Sleep(restTime)
	seconds := restTime.Seconds()
	b.ReportMetric(float64(s.platform.Calls()-calls)/seconds, "store-calls/s")
	b.ReportMetric(2*(s.peerBytes(b)-bytes)/seconds/float64(n), "peer-bytes/s/instance")
	calls = s.platform.Calls()
	started := time.Now()
	var took []time.Duration
	for k := range changes {
		sent := time.Now()
		revision := s.change(b, k)
		took = append(took, a.last(b, revision, n).Sub(sent))
	}
	rest := float64(s.platform.Calls()-calls) / float64(changes)
	b.ReportMetric(rest, "store-calls/change")
	b.ReportMetric(time.Since(started).Seconds(), "total-s")
	slices.Sort(took)
	for name, at := range map[string]float64{"p50-ms": 0.5, "p99-ms": 0.99, "max-ms": 1} {
		d := took[min(len(took)-1, int(at*float64(len(took))))]
		b.ReportMetric(float64(d.Microseconds())/1000, name)
	}
}
