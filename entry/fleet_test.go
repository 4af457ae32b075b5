package main

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/standin/loopback"
	standinplatform "medlarpond.dev/core/standin/platform"
	"medlarpond.dev/core/standin/target"
)

const (
	testKey = "a-key-of-the-tests"
	// instances is the number of entry processes.
	instances = 7
	// workers is the number of clients, each of which sends one request at a time.
	workers = 8
	// workerPause is the pause of a client between requests.
	workerPause = 10 * time.Millisecond
	// processTimeout is the timeout of each wait for a process and of each request.
	processTimeout = 20 * time.Second
)

// process is an entry instance that runs as a process of its own.
type process struct {
	id                     string
	caller, operator, peer string
	settingsFile           string
	command                *exec.Cmd
	log                    *bytes.Buffer
}

// fleet is a set of entry processes. The stand-in platform and targets run in the test process.
type fleet struct {
	platform  *standinplatform.Platform
	binary    string
	directory string
	processes []*process
	storeURL  string
}

func freeAddress(tb testing.TB) string {
	tb.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		tb.Fatal(err)
	}
	return address
}

func startFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{platform: standinplatform.New(), directory: t.TempDir()}
	f.binary = filepath.Join(f.directory, "medlarpond-entry")
	if out, err := exec.Command("go", "build", "-o", f.binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	store := httptest.NewServer(f.platform)
	t.Cleanup(store.Close)
	f.storeURL = store.URL
	for n := range instances {
		f.processes = append(f.processes, &process{
			id: fmt.Sprintf("entry-%d", n), caller: freeAddress(t), operator: freeAddress(t), peer: freeAddress(t),
		})
	}
	for n, p := range f.processes {
		f.writeSettings(t, p, n)
		f.start(t, p)
	}
	t.Cleanup(func() {
		for _, p := range f.processes {
			_ = p.command.Process.Kill()
			_ = p.command.Wait()
			if t.Failed() {
				t.Logf("last log lines of %s:\n%s", p.id, lastLines(p.log.String()))
			}
		}
	})
	for _, p := range f.processes {
		f.waitReady(t, p)
	}
	f.configure(t)
	return f
}

func lastLines(text string) string {
	lines := strings.Split(text, "\n")
	return strings.Join(lines[max(0, len(lines)-15):], "\n")
}

func (f *fleet) writeSettings(t *testing.T, p *process, n int) {
	t.Helper()
	var seeds []string
	for _, other := range f.processes {
		if other != p {
			seeds = append(seeds, fmt.Sprintf("%q", other.peer))
		}
	}
	p.settingsFile = filepath.Join(f.directory, p.id+".yaml")
	content := fmt.Sprintf(`
instance: {id: %s, region: r%d, failure-domain: r%d-a}
listen: {caller: %q, operator: %q, peer: %q}
platform: {url: %q}
peers: {seeds: [%s], heartbeat-interval: 100ms}
requests: {lookup-ttl: 1s}
`, p.id, n%2+1, n%2+1, p.caller, p.operator, p.peer, f.storeURL, strings.Join(seeds, ", "))
	if err := os.WriteFile(p.settingsFile, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (f *fleet) start(t *testing.T, p *process) {
	t.Helper()
	p.log = &bytes.Buffer{}
	p.command = exec.Command(f.binary, "run", p.settingsFile)
	p.command.Stderr = p.log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
}

func (f *fleet) waitReady(t *testing.T, p *process) {
	t.Helper()
	for deadline := time.Now().Add(processTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + p.operator + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatalf("%s did not become ready in time", p.id)
}

func (f *fleet) configure(t *testing.T) {
	t.Helper()
	hash := resource.HashKey(testKey)
	list := []resource.Resource{
		{Kind: resource.KindRegion, Name: "r1", Spec: resource.Region{Capacity: 100}},
		{Kind: resource.KindRegion, Name: "r2", Spec: resource.Region{Capacity: 100}},
		{Kind: resource.KindFailureDomain, Name: "r1-a", Spec: resource.FailureDomain{Region: "r1"}},
		{Kind: resource.KindFailureDomain, Name: "r2-a", Spec: resource.FailureDomain{Region: "r2"}},
		{Kind: resource.KindService, Name: "desk", Spec: resource.Service{
			RequestTimeout: resource.Duration(10 * time.Second), QueueTimeout: resource.Duration(2 * time.Second), MaxBodyBytes: 1000,
		}},
		{Kind: resource.KindTeam, Name: "lawns", Spec: resource.Team{Rate: 100_000, Burst: 10_000, Weight: 1}},
		{Kind: resource.KindKey, Name: "k", Spec: resource.Key{Team: "lawns", Hash: hex.EncodeToString(hash[:])}},
		{Kind: resource.KindRoute, Name: "plans", Spec: resource.Route{Path: "/plans", Service: "desk"}},
	}
	for n := range 4 {
		name := fmt.Sprintf("t-%d", n)
		backend := httptest.NewServer(target.New(name, 20, 2*time.Millisecond))
		t.Cleanup(backend.Close)
		list = append(list, resource.Resource{Kind: resource.KindTarget, Name: name, Spec: resource.Target{
			Service: "desk", FailureDomain: fmt.Sprintf("r%d-a", n%2+1), Address: backend.Listener.Addr().String(),
			Slots: 20, Connections: 400,
		}})
	}
	for _, r := range list {
		body, err := json.Marshal(map[string]any{"actor": "test", "reason": "set-up", "resource": r})
		if err != nil {
			t.Fatal(err)
		}
		f.create(t, string(r.Kind), body)
	}
}

// create creates a resource. It retries while the instance responds 503, as it does shortly after its start.
func (f *fleet) create(t *testing.T, kind string, body []byte) {
	t.Helper()
	url := "http://" + f.processes[0].operator + "/v1/resources/" + kind
	var status int
	var responseBody []byte
	for deadline := time.Now().Add(processTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		response, err := http.Post(url, "application/json", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		responseBody, _ = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if status = response.StatusCode; status != http.StatusServiceUnavailable {
			break
		}
	}
	if status != http.StatusCreated {
		t.Fatalf("create %s: got status %d %s, want 201", kind, status, responseBody)
	}
}

// stop sends SIGTERM, a second time after 100 ms if twice is set, and checks that the process exits with code 0.
func (f *fleet) stop(t *testing.T, p *process, twice bool) {
	t.Helper()
	started := time.Now()
	_ = p.command.Process.Signal(syscall.SIGTERM)
	if twice {
		time.Sleep(100 * time.Millisecond)
		_ = p.command.Process.Signal(syscall.SIGTERM)
	}
	done := make(chan error, 1)
	go func() { done <- p.command.Wait() }()
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("%s: got %v, want exit code 0", p.id, err)
		}
		t.Logf("%s stopped in %v", p.id, time.Since(started).Round(time.Millisecond))
	case <-time.After(processTimeout):
		t.Errorf("%s did not stop within %v", p.id, processTimeout)
	}
}

// loadGenerator runs clients that look up instances, cache the result for its TTL, and send requests to the instances found.
type loadGenerator struct {
	fleet    *fleet
	client   *http.Client
	cancel   context.CancelFunc
	group    sync.WaitGroup
	sent     atomic.Int64
	mu       sync.Mutex
	failures []string
}

func (f *fleet) startLoad() *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	l := &loadGenerator{fleet: f, cancel: cancel, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: workers}, Timeout: processTimeout,
	}}
	for n := range workers {
		l.group.Go(func() { l.runWorker(ctx, n) })
	}
	return l
}

func (l *loadGenerator) stop(t *testing.T) {
	t.Helper()
	l.cancel()
	l.group.Wait()
	if l.sent.Load() == 0 {
		t.Error("no request was sent")
	}
	t.Logf("%d requests, %d failures", l.sent.Load(), len(l.failures))
	for n, failure := range l.failures {
		if n < 10 {
			t.Error(failure)
		}
	}
}

func (l *loadGenerator) runWorker(ctx context.Context, worker int) {
	var addresses []string
	var expiresAt time.Time
	for n := 0; ctx.Err() == nil; n++ {
		if time.Now().After(expiresAt) {
			addresses, expiresAt = l.lookup(addresses, worker)
		}
		if len(addresses) == 0 {
			l.recordFailure("every lookup of instances failed")
			return
		}
		l.request(addresses[(worker+n)%len(addresses)], n)
		time.Sleep(workerPause)
	}
}

// lookup returns the addresses from the first instance that responds, and when they expire. It tries the known addresses
// first, then all instances.
func (l *loadGenerator) lookup(known []string, worker int) ([]string, time.Time) {
	for n := range l.fleet.processes {
		known = append(known, l.fleet.processes[(worker+n)%len(l.fleet.processes)].caller)
	}
	for _, address := range known {
		sentAt := time.Now()
		response, err := l.client.Get("http://" + address + "/medlarpond/v1/lookup?service=desk")
		if err != nil {
			continue
		}
		var result struct {
			Instances []struct{ Address string }
			TTL       float64 `json:"ttl-seconds"`
		}
		err = json.NewDecoder(response.Body).Decode(&result)
		_ = response.Body.Close()
		if err != nil || len(result.Instances) == 0 {
			continue
		}
		var addresses []string
		for _, i := range result.Instances {
			addresses = append(addresses, i.Address)
		}
		return addresses, sentAt.Add(time.Duration(result.TTL * float64(time.Second)))
	}
	return nil, time.Time{}
}

func (l *loadGenerator) request(address string, n int) {
	method, want := http.MethodGet, "/plans/today"
	var body io.Reader
	if n%2 == 0 {
		method, want, body = http.MethodPost, "two sacks", strings.NewReader("two sacks")
	}
	request, err := http.NewRequest(method, "http://"+address+"/plans/today", body)
	if err != nil {
		l.recordFailure(err.Error())
		return
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	l.sent.Add(1)
	response, err := l.client.Do(request)
	if err != nil {
		l.recordFailure(fmt.Sprintf("%s %s: %v", method, l.instanceID(address), err))
		return
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || !strings.Contains(string(content), want) {
		l.recordFailure(fmt.Sprintf("%s %s: got status %d, body %q, error %v", method, l.instanceID(address), response.StatusCode, content, err))
	}
}

func (l *loadGenerator) instanceID(address string) string {
	for _, p := range l.fleet.processes {
		if p.caller == address {
			return p.id
		}
	}
	return address
}

func (l *loadGenerator) recordFailure(message string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, time.Now().Format("05.000 ")+message)
}

// TestPlannedStops checks that graceful stops under load interrupt or refuse no request: while all instances are restarted
// one by one with the same addresses, while two stop at once, and while one stops during a store outage.
func TestPlannedStops(t *testing.T) {
	if testing.Short() {
		t.Skip("starts seven processes")
	}
	f := startFleet(t)
	time.Sleep(2 * time.Second)
	t.Run("rolling restart", func(t *testing.T) {
		l := f.startLoad()
		for n, p := range f.processes {
			f.stop(t, p, n == 0)
			f.start(t, p)
			f.waitReady(t, p)
		}
		l.stop(t)
	})
	t.Run("two at once", func(t *testing.T) {
		l := f.startLoad()
		var group sync.WaitGroup
		for _, p := range f.processes[5:] {
			group.Go(func() { f.stop(t, p, false) })
		}
		group.Wait()
		for _, p := range f.processes[5:] {
			f.start(t, p)
		}
		for _, p := range f.processes[5:] {
			f.waitReady(t, p)
		}
		l.stop(t)
	})
	t.Run("while the store is down", func(t *testing.T) {
		l := f.startLoad()
		f.platform.SetFaults(standinplatform.Faults{Down: true})
		time.Sleep(time.Second)
		f.stop(t, f.processes[3], false)
		f.start(t, f.processes[3])
		f.waitReady(t, f.processes[3])
		time.Sleep(time.Second)
		l.stop(t)
	})
}
