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
	// instances is the number of processes.
	instances = 7
	// workers is the number of callers that send one request after the other.
	workers = 8
	// workerPause is a caller's pause between requests.
	workerPause = 10 * time.Millisecond
	// patience bounds each wait for a process.
	patience = 20 * time.Second
)

// process is one entry instance under test.
type process struct {
	id                     string
	caller, operator, peer string
	file                   string
	command                *exec.Cmd
	log                    *bytes.Buffer
}

// fleet is seven processes around a stand-in platform and targets in the test's own process.
type fleet struct {
	platform  *standinplatform.Platform
	binary    string
	directory string
	processes []*process
	store     string
}

func freeAddress(tb testing.TB) string {
	tb.Helper()
	address, err := loopback.Free()
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
		t.Fatalf("build: %v\n%s", err, out)
	}
	store := httptest.NewServer(f.platform)
	t.Cleanup(store.Close)
	f.store = store.URL
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
				t.Logf("%s said:\n%s", p.id, lastLines(p.log.String()))
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
	p.file = filepath.Join(f.directory, p.id+".yaml")
	content := fmt.Sprintf(`
instance: {id: %s, region: r%d, failure-domain: r%d-a}
listen: {caller: %q, operator: %q, peer: %q}
platform: {url: %q}
peers: {seeds: [%s], heartbeat-interval: 100ms}
requests: {lookup-ttl: 1s}
`, p.id, n%2+1, n%2+1, p.caller, p.operator, p.peer, f.store, strings.Join(seeds, ", "))
	if err := os.WriteFile(p.file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (f *fleet) start(t *testing.T, p *process) {
	t.Helper()
	p.log = &bytes.Buffer{}
	p.command = exec.Command(f.binary, "run", p.file)
	p.command.Stderr = p.log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
}

func (f *fleet) waitReady(t *testing.T, p *process) {
	t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + p.operator + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatalf("%s is not ready", p.id)
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

// create writes a resource, and again if an instance that has just started says that it has not.
func (f *fleet) create(t *testing.T, kind string, body []byte) {
	t.Helper()
	url := "http://" + f.processes[0].operator + "/v1/resources/" + kind
	var status int
	var answer []byte
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		response, err := http.Post(url, "application/json", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		answer, _ = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if status = response.StatusCode; status != http.StatusServiceUnavailable {
			break
		}
	}
	if status != http.StatusCreated {
		t.Fatalf("create %s: %d %s", kind, status, answer)
	}
}

// stop sends the signal, twice if asked, and checks that the process exits with code 0.
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
			t.Errorf("%s: %v", p.id, err)
		}
		t.Logf("%s stopped in %v", p.id, time.Since(started).Round(time.Millisecond))
	case <-time.After(patience):
		t.Errorf("%s has not stopped within %v", p.id, patience)
	}
}

// load is callers that look instances up, cache the answer as long as it permits, and use what it names.
type load struct {
	fleet  *fleet
	client *http.Client
	cancel context.CancelFunc
	group  sync.WaitGroup
	sent   atomic.Int64
	mu     sync.Mutex
	faults []string
}

func (f *fleet) startLoad() *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{fleet: f, cancel: cancel, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: workers}, Timeout: patience,
	}}
	for n := range workers {
		l.group.Go(func() { l.work(ctx, n) })
	}
	return l
}

func (l *load) stop(t *testing.T) {
	t.Helper()
	l.cancel()
	l.group.Wait()
	if l.sent.Load() == 0 {
		t.Error("no request was sent")
	}
	t.Logf("%d requests, %d faults", l.sent.Load(), len(l.faults))
	for n, fault := range l.faults {
		if n < 10 {
			t.Error(fault)
		}
	}
}

func (l *load) work(ctx context.Context, worker int) {
	var addresses []string
	var expires time.Time
	for n := 0; ctx.Err() == nil; n++ {
		if time.Now().After(expires) {
			addresses, expires = l.lookup(addresses, worker)
		}
		if len(addresses) == 0 {
			l.fault("no look-up succeeded")
			return
		}
		l.request(addresses[(worker+n)%len(addresses)], n)
		time.Sleep(workerPause)
	}
}

// lookup asks any instance that the worker knows of.
func (l *load) lookup(known []string, worker int) ([]string, time.Time) {
	for n := range l.fleet.processes {
		known = append(known, l.fleet.processes[(worker+n)%len(l.fleet.processes)].caller)
	}
	for _, address := range known {
		asked := time.Now()
		response, err := l.client.Get("http://" + address + "/medlarpond/v1/lookup?service=desk")
		if err != nil {
			continue
		}
		var answer struct {
			Instances []struct{ Address string }
			TTL       float64 `json:"ttl-seconds"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err != nil || len(answer.Instances) == 0 {
			continue
		}
		var addresses []string
		for _, i := range answer.Instances {
			addresses = append(addresses, i.Address)
		}
		return addresses, asked.Add(time.Duration(answer.TTL * float64(time.Second)))
	}
	return nil, time.Time{}
}

func (l *load) request(address string, n int) {
	method, want := http.MethodGet, "/plans/today"
	var body io.Reader
	if n%2 == 0 {
		method, want, body = http.MethodPost, "two sacks", strings.NewReader("two sacks")
	}
	request, err := http.NewRequest(method, "http://"+address+"/plans/today", body)
	if err != nil {
		l.fault(err.Error())
		return
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	l.sent.Add(1)
	response, err := l.client.Do(request)
	if err != nil {
		l.fault(fmt.Sprintf("%s %s: %v", method, l.name(address), err))
		return
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || !strings.Contains(string(content), want) {
		l.fault(fmt.Sprintf("%s %s: %d %q %v", method, l.name(address), response.StatusCode, content, err))
	}
}

func (l *load) name(address string) string {
	for _, p := range l.fleet.processes {
		if p.caller == address {
			return p.id
		}
	}
	return address
}

func (l *load) fault(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, time.Now().Format("05.000 ")+what)
}

// TestPlannedStops replaces all instances one by one under their addresses, stops two at once, and stops one while the
// store is down, under load: no request may be cut off or refused.
func TestPlannedStops(t *testing.T) {
	if testing.Short() {
		t.Skip("starts seven processes")
	}
	f := startFleet(t)
	time.Sleep(2 * time.Second)
	t.Run("rolling replacement", func(t *testing.T) {
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
