package proof_test

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/instance"
	"medlarpond.dev/core/models/platform"
	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/settings"
	"medlarpond.dev/core/standin/faulty"
	"medlarpond.dev/core/standin/loopback"
	standin "medlarpond.dev/core/standin/platform"
)

const (
	// testKey is granted to the team of the tests.
	testKey = "key-of-the-tests-9Yt2Kw"
	// readyBound is how long an instance may take to start or to put a change in force.
	readyBound = 10 * time.Second
	// requestTimeout is the bound of the tests' service.
	requestTimeout = 2 * time.Second
)

// bench is one instance with a stand-in platform.
type bench struct {
	platform *standin.Platform
	settings settings.Settings
}

func startBench(t *testing.T, logger *zap.Logger, resources []resource.Resource) *bench {
	t.Helper()
	b := &bench{platform: standin.New(), settings: settings.Defaults()}
	store := httptest.NewServer(b.platform)
	t.Cleanup(store.Close)
	b.settings.Instance = settings.Instance{ID: "entry-1", Region: "r1", FailureDomain: "r1-a"}
	b.settings.Listen = settings.Listen{Caller: freeAddress(t), Operator: freeAddress(t), Peer: freeAddress(t)}
	b.settings.Platform.URL = store.URL
	b.settings.Requests.LookupTTL = time.Millisecond
	seam, _ := platform.NewHTTP(store.URL, time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- instance.New(b.settings, seam, logger).Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	waitUntil(t, "ready", func() bool {
		status, _ := b.operator(t, http.MethodGet, "/readyz", nil)
		return status == http.StatusOK
	})
	for _, r := range resources {
		b.create(t, r)
	}
	return b
}

// startServer serves on a free address until the test ends.
func startServer(t *testing.T, serve func(net.Listener)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go serve(l)
	return l.Addr().String()
}

// startFaulty starts a target that acts out the faults that its requests name.
func startFaulty(t *testing.T, j *faulty.Journal) string {
	t.Helper()
	return startServer(t, func(l net.Listener) { faulty.Serve(l, j) })
}

// baseResources are a place, a service, a team with its key, and routes.
func baseResources() []resource.Resource {
	hash := resource.HashKey(testKey)
	return []resource.Resource{
		{Kind: resource.KindRegion, Name: "r1", Spec: resource.Region{Capacity: 10_000}},
		{Kind: resource.KindFailureDomain, Name: "r1-a", Spec: resource.FailureDomain{Region: "r1"}},
		{Kind: resource.KindService, Name: "desk", Spec: testService()},
		{Kind: resource.KindService, Name: "mixed", Spec: testService()},
		{Kind: resource.KindService, Name: "dead", Spec: testService()},
		{Kind: resource.KindTeam, Name: "lawns", Spec: resource.Team{Rate: 1e6, Burst: 1e6, Weight: 1}},
		{Kind: resource.KindKey, Name: "k", Spec: resource.Key{Team: "lawns", Hash: hex.EncodeToString(hash[:])}},
		{Kind: resource.KindRoute, Name: "desk", Spec: resource.Route{Path: "/desk", Service: "desk"}},
		{Kind: resource.KindRoute, Name: "mixed", Spec: resource.Route{Path: "/mixed", Service: "mixed"}},
		{Kind: resource.KindRoute, Name: "dead", Spec: resource.Route{Path: "/dead", Service: "dead"}},
		{Kind: resource.KindRoute, Name: "open", Spec: resource.Route{Path: "/open", Service: "desk", Open: true}},
	}
}

func testService() resource.Service {
	return resource.Service{
		RequestTimeout: resource.Duration(requestTimeout), QueueTimeout: resource.Duration(requestTimeout / 4),
		MaxBodyBytes: 1 << 20, Shedding: &resource.Shedding{Status: http.StatusServiceUnavailable, Header: "X-Shed"},
	}
}

func targetResource(service, name, address string) resource.Resource {
	return resource.Resource{Kind: resource.KindTarget, Name: name, Spec: resource.Target{
		Service: service, FailureDomain: "r1-a", Address: address, Slots: 64, Connections: 400,
	}}
}

func (b *bench) create(t *testing.T, r resource.Resource) {
	t.Helper()
	body, err := json.Marshal(map[string]any{"actor": "test", "reason": "set-up", "resource": r})
	if err != nil {
		t.Fatal(err)
	}
	status, answer := b.operator(t, http.MethodPost, "/v1/resources/"+string(r.Kind), body)
	if status != http.StatusCreated {
		t.Fatalf("create %s %s: %d %s", r.Kind, r.Name, status, answer)
	}
}

// operator calls the operators' address; status zero means that there was no answer.
func (b *bench) operator(t *testing.T, method, path string, body []byte) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+b.settings.Listen.Operator+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	var content bytes.Buffer
	_, _ = content.ReadFrom(response.Body)
	return response.StatusCode, content.String()
}

func freeAddress(tb testing.TB) string {
	tb.Helper()
	address, err := loopback.Free()
	if err != nil {
		tb.Fatal(err)
	}
	return address
}

func waitUntil(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(readyBound); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("not %s within %s", what, readyBound)
}
