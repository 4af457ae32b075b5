package instance_test

import (
	"bufio"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/instance"
	"medlarpond.dev/core/models/platform"
	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/settings"
	"medlarpond.dev/core/standin/loopback"
	standinplatform "medlarpond.dev/core/standin/platform"
	"medlarpond.dev/core/standin/target"
)

const testKey = "a-key-of-the-tests"

// testInstance is one running instance with a stand-in platform and target.
type testInstance struct {
	platform *standinplatform.Platform
	settings settings.Settings
	target   *target.Target
	// targetRequests receives a copy of each request that reaches the target, without its body.
	targetRequests chan *http.Request
	done           chan error
	stop           context.CancelFunc
}

func freeAddress(tb testing.TB) string {
	tb.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		tb.Fatal(err)
	}
	return address
}

func startInstance(t *testing.T) *testInstance {
	t.Helper()
	f := &testInstance{
		platform: standinplatform.New(), target: target.New("t-1", 3, 0),
		targetRequests: make(chan *http.Request, 100), done: make(chan error, 1),
	}
	store := httptest.NewServer(f.platform)
	t.Cleanup(store.Close)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.targetRequests <- r.Clone(context.Background())
		f.target.ServeHTTP(w, r)
	}))
	t.Cleanup(backend.Close)
	s := settings.Defaults()
	s.Instance = settings.Instance{ID: "entry-1", Region: "r1", FailureDomain: "r1-a"}
	s.Listen = settings.Listen{Caller: freeAddress(t), Operator: freeAddress(t), Peer: freeAddress(t)}
	s.Platform.URL = store.URL
	s.Requests.LookupTTL = time.Millisecond
	f.settings = s
	storeClient, _ := platform.NewHTTP(store.URL, time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go func() { f.done <- instance.New(s, storeClient, zap.NewNop()).Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-f.done; err != nil {
			t.Error(err)
		}
	})
	f.waitReady(t)
	hash := resource.HashKey(testKey)
	for _, r := range []resource.Resource{
		{Kind: resource.KindRegion, Name: "r1", Spec: resource.Region{Capacity: 10}},
		{Kind: resource.KindFailureDomain, Name: "r1-a", Spec: resource.FailureDomain{Region: "r1"}},
		{Kind: resource.KindService, Name: "desk", Spec: resource.Service{RequestTimeout: resource.Duration(5 * time.Second), MaxBodyBytes: 1000}},
		{Kind: resource.KindTarget, Name: "t-1", Spec: resource.Target{Service: "desk", FailureDomain: "r1-a", Address: backend.Listener.Addr().String(), Slots: 3, Connections: 400}},
		{Kind: resource.KindTeam, Name: "lawns", Spec: resource.Team{Rate: 1000, Burst: 100, Weight: 1}},
		{Kind: resource.KindTeam, Name: "riders", Spec: resource.Team{Rate: 1000, Burst: 100, Weight: 1}},
		{Kind: resource.KindKey, Name: "k", Spec: resource.Key{Team: "lawns", Hash: hex.EncodeToString(hash[:])}},
		{Kind: resource.KindRoute, Name: "plans", Spec: resource.Route{Path: "/plans", Service: "desk"}},
		{Kind: resource.KindRoute, Name: "private", Spec: resource.Route{Path: "/private", Service: "desk", Teams: []string{"riders"}}},
		{Kind: resource.KindRoute, Name: "hours", Spec: resource.Route{Path: "/hours", Service: "desk", Open: true}},
	} {
		status, body := f.write(t, http.MethodPost, "/v1/resources/"+string(r.Kind), r)
		if status != http.StatusCreated {
			t.Fatalf("create %s %s: got status %d %s, want 201", r.Kind, r.Name, status, body)
		}
	}
	return f
}

func (f *testInstance) waitReady(t *testing.T) {
	t.Helper()
	for range 200 {
		response, err := http.Get("http://" + f.settings.Listen.Operator + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("timed out waiting for the instance to become ready")
}

func (f *testInstance) write(t *testing.T, method, path string, r resource.Resource) (int, string) {
	t.Helper()
	body, err := json.Marshal(map[string]any{"actor": "test", "reason": "set-up", "resource": r})
	if err != nil {
		t.Fatal(err)
	}
	return f.do(t, method, "http://"+f.settings.Listen.Operator+path, string(body), nil)
}

func (f *testInstance) do(t *testing.T, method, url, body string, header http.Header) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(content)
}

func bearer(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }

// TestRequests sends requests through a running instance over sockets and checks what the caller and the target
// receive.
func TestRequests(t *testing.T) {
	f := startInstance(t)
	tests := []struct {
		name   string
		method string
		path   string
		body   string
		header http.Header
		status int
		want   string
	}{
		{"request with a key", "GET", "/plans/today", "", bearer(testKey), 200, "t-1 /plans/today"},
		{"key in the query string", "GET", "/plans/today?medlarpond-key=" + testKey + "&day=1", "", nil, 200, "t-1 /plans/today"},
		{"body is echoed", "POST", "/plans", "two sacks", bearer(testKey), 200, "two sacks"},
		{"long body is echoed", "POST", "/plans", strings.Repeat("x", 1000), bearer(testKey), 200, strings.Repeat("x", 1000)},
		{"open route", "GET", "/hours", "", nil, 200, "t-1 /hours"},
		{"no key", "GET", "/plans", "", nil, 401, `"reason":"no-key"`},
		{"unknown key", "GET", "/plans", "", bearer("other"), 401, `"reason":"unknown-key"`},
		{"another team's route", "GET", "/private", "", bearer(testKey), 403, `"reason":"team-not-permitted"`},
		{"no route", "GET", "/nowhere", "", bearer(testKey), 404, `"reason":"no-route"`},
		{"body over the limit", "POST", "/plans", strings.Repeat("x", 1001), bearer(testKey), 413, `"reason":"body-too-large"`},
		{"lookup", "GET", "/medlarpond/v1/lookup?service=desk", "", nil, 200, `"id":"entry-1"`},
		{"lookup of an unknown service", "GET", "/medlarpond/v1/lookup?service=none", "", nil, 404, `"reason":"not-found"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status, body := f.do(t, test.method, "http://"+f.settings.Listen.Caller+test.path, test.body, test.header)
			if status != test.status || !strings.Contains(body, test.want) {
				t.Fatalf("got %d %q, want %d with %q", status, body, test.status, test.want)
			}
			f.checkKeyNotForwarded(t)
		})
	}
}

// checkKeyNotForwarded checks that no request at the target contained the key.
func (f *testInstance) checkKeyNotForwarded(t *testing.T) {
	t.Helper()
	for len(f.targetRequests) > 0 {
		r := <-f.targetRequests
		if strings.Contains(fmt.Sprint(r.Header, r.URL), testKey) {
			t.Errorf("target received the key in header %v or URL %v", r.Header, r.URL)
		}
	}
}

// TestOperatorAPIErrors checks that invalid requests to the resource API get the right error and change nothing.
func TestOperatorAPIErrors(t *testing.T) {
	f := startInstance(t)
	base := "http://" + f.settings.Listen.Operator
	team := func(version string) string {
		return `{"actor":"a","reason":"r","resource":{"kind":"team","name":"lawns","version":` + version + `,"spec":{"rate":1,"burst":1,"weight":1}}}`
	}
	tests := []struct {
		name, method, path, body string
		status                   int
		reason                   string
	}{
		{"malformed JSON", "POST", "/v1/resources/team", "{", 400, "malformed"},
		{"unknown field", "POST", "/v1/resources/team", `{"bogus":1}`, 400, "malformed"},
		{"unknown kind", "GET", "/v1/resources/bogus", "", 404, "not-found"},
		{"unknown resource", "GET", "/v1/resources/team/none", "", 404, "not-found"},
		{"missing version", "PUT", "/v1/resources/team/lawns", team("0"), 428, "version-required"},
		{"stale version", "PUT", "/v1/resources/team/lawns", team("1"), 409, "version-conflict"},
		{"body over the limit", "POST", "/v1/resources/team", strings.Repeat(" ", 300<<10) + "{}", 413, "body-too-large"},
		{"no actor", "POST", "/v1/resources/team", `{"resource":{"kind":"team","name":"x","spec":{"rate":1,"burst":1,"weight":1}}}`, 400, "invalid"},
		{"invalid value", "POST", "/v1/resources/team", `{"actor":"a","reason":"r","resource":{"kind":"team","name":"x","spec":{"rate":-1,"burst":1,"weight":1}}}`, 422, "invalid"},
		{"resource in use", "DELETE", "/v1/resources/service/desk?version=3&actor=a&reason=r", "", 409, "version-conflict"},
		{"watch without a revision", "GET", "/v1/watch", "", 400, "invalid"},
	}
	statusBefore, _ := f.do(t, http.MethodGet, base+"/v1/history?limit=1", "", nil)
	_, historyBefore := f.do(t, http.MethodGet, base+"/v1/history?limit=1", "", nil)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status, body := f.do(t, test.method, base+test.path, test.body, nil)
			if status != test.status || !strings.Contains(body, `"reason":"`+test.reason+`"`) {
				t.Fatalf("got %d %q, want %d with reason %s", status, body, test.status, test.reason)
			}
		})
	}
	statusAfter, historyAfter := f.do(t, http.MethodGet, base+"/v1/history?limit=1", "", nil)
	if statusBefore != statusAfter || historyBefore != historyAfter {
		t.Errorf("got history %s before and %s after the requests, want no change", historyBefore, historyAfter)
	}
}

// TestWatchResumes checks that a watch from a revision sends every later change exactly once and in order.
func TestWatchResumes(t *testing.T) {
	f := startInstance(t)
	response, err := http.Get("http://" + f.settings.Listen.Operator + "/v1/watch?after=3")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for want := uint64(4); want <= 10; want++ {
		if !lines.Scan() {
			t.Fatal("watch ended early")
		}
		var e struct {
			Type     string
			Revision uint64
		}
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			t.Fatal(err)
		}
		if e.Type != "change" || e.Revision != want {
			t.Fatalf("got %+v, want a change with revision %d", e, want)
		}
	}
}
