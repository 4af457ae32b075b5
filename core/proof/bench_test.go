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
	// testKey is an API key of the tests' team.
	testKey = "key-of-the-tests-9Yt2Kw"
	// readyTimeout bounds each wait for a condition, such as the start of an instance.
	readyTimeout = 10 * time.Second
	// requestTimeout is the request timeout of the tests' services.
	requestTimeout = 2 * time.Second
)

// testInstance is a whole instance that runs in the process of the test, with a stand-in platform.
type testInstance struct {
	platform *standin.Platform
	settings settings.Settings
}

// startTestInstance starts an instance, waits until it is ready and creates the resources; it stops when the test ends.
func startTestInstance(t *testing.T, logger *zap.Logger, resources []resource.Resource) *testInstance {
	t.Helper()
	ti := &testInstance{platform: standin.New(), settings: settings.Defaults()}
	server := httptest.NewServer(ti.platform)
	t.Cleanup(server.Close)
	ti.settings.Instance = settings.Instance{ID: "entry-1", Region: "r1", FailureDomain: "r1-a"}
	ti.settings.Listen = settings.Listen{Caller: freeAddress(t), Operator: freeAddress(t), Peer: freeAddress(t)}
	ti.settings.Platform.URL = server.URL
	ti.settings.Requests.LookupTTL = time.Millisecond
	storeClient, _ := platform.NewHTTP(server.URL, time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- instance.New(ti.settings, storeClient, logger).Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	waitUntil(t, "instance is ready", func() bool {
		status, _ := ti.operator(t, http.MethodGet, "/readyz", nil)
		return status == http.StatusOK
	})
	for _, r := range resources {
		ti.create(t, r)
	}
	return ti
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

// startFaulty starts a target that simulates the faults that each request names.
func startFaulty(t *testing.T, j *faulty.Journal) string {
	t.Helper()
	return startServer(t, func(l net.Listener) { faulty.Serve(l, j) })
}

// baseResources returns a region with a failure domain, the services, a team with its key, and the routes.
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

func (ti *testInstance) create(t *testing.T, r resource.Resource) {
	t.Helper()
	body, err := json.Marshal(map[string]any{"actor": "test", "reason": "set-up", "resource": r})
	if err != nil {
		t.Fatal(err)
	}
	status, response := ti.operator(t, http.MethodPost, "/v1/resources/"+string(r.Kind), body)
	if status != http.StatusCreated {
		t.Fatalf("create %s %s: got status %d, want 201: %s", r.Kind, r.Name, status, response)
	}
}

// operator calls the operator API and returns the status and the body of the response. Without a response the status is
// zero and the text is the error.
func (ti *testInstance) operator(t *testing.T, method, path string, body []byte) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+ti.settings.Listen.Operator+path, bytes.NewReader(body))
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
	address, err := loopback.FreeAddress()
	if err != nil {
		tb.Fatal(err)
	}
	return address
}

// waitUntil waits until a condition holds and fails the test after readyTimeout.
func waitUntil(t *testing.T, condition string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("condition %q not met within %s", condition, readyTimeout)
}
