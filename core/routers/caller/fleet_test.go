package caller_test

import (
	"bufio"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/modules/meter"
	"medlarpond.dev/core/routers/caller"
	"medlarpond.dev/core/services/configuration"
	"medlarpond.dev/core/services/crash"
	"medlarpond.dev/core/services/dispatch"
	"medlarpond.dev/core/services/idempotency"
	"medlarpond.dev/core/services/share"
	"medlarpond.dev/core/services/steering"
	"medlarpond.dev/core/services/target"
)

const (
	testKey      = "a key/of+the%tests"
	shedResponse = "HTTP/1.1 503 Service Unavailable\r\nX-Shed: true\r\nContent-Length: 0\r\n\r\n"
	okResponse   = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

// fakeTarget is a target on a raw socket. It passes the head and body of each request to respond, which writes the
// response.
type fakeTarget struct {
	address string
	respond func(c net.Conn, head, body string)

	mu sync.Mutex
	// received holds the raw text of each received request.
	received []string
}

func newTarget(t *testing.T, respond func(c net.Conn, head, body string)) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	f := &fakeTarget{address: l.Addr().String(), respond: respond}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c)
		}
	}()
	return f
}

func respondWith(text string) func(net.Conn, string, string) {
	return func(c net.Conn, _, _ string) { _, _ = io.WriteString(c, text) }
}

// closeOn closes the connection of a request whose head contains the text, and responds to other requests.
func closeOn(text string) func(net.Conn, string, string) {
	return func(c net.Conn, head, _ string) {
		if strings.Contains(head, text) {
			_ = c.Close()
			return
		}
		_, _ = io.WriteString(c, okResponse)
	}
}

func (f *fakeTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		var head strings.Builder
		request, err := http.ReadRequest(bufio.NewReader(io.TeeReader(readHead(reader), &head)))
		if err != nil {
			return
		}
		body, err := readBody(reader, request)
		if err != nil {
			return
		}
		f.mu.Lock()
		f.received = append(f.received, head.String()+body)
		f.mu.Unlock()
		f.respond(c, head.String(), body)
	}
}

// readHead reads the head of one request, without its body, and returns a reader of it.
func readHead(r *bufio.Reader) io.Reader {
	var head strings.Builder
	for {
		line, err := r.ReadString('\n')
		head.WriteString(line)
		if err != nil || line == "\r\n" {
			return strings.NewReader(head.String())
		}
	}
}

// readBody returns the raw body, chunk sizes and trailers included.
func readBody(r *bufio.Reader, request *http.Request) (string, error) {
	if len(request.TransferEncoding) == 0 {
		body := make([]byte, max(request.ContentLength, 0))
		_, err := io.ReadFull(r, body)
		return string(body), err
	}
	var body strings.Builder
	for lastChunk := false; ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		body.WriteString(line)
		if lastChunk && line == "\r\n" {
			return body.String(), nil
		}
		lastChunk = lastChunk || strings.HasPrefix(line, "0\r")
	}
}

func (f *fakeTarget) requests() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.received)
}

// testCluster runs several instances with a common configuration state. Callers reach them over sockets; they call each
// other in memory.
type testCluster struct {
	state   *configuration.State
	urls    []string
	ledgers []*share.Ledger

	mu sync.Mutex
	// unreachable holds the IDs of the instances that other instances cannot reach.
	unreachable map[string]bool
	claimStores map[string]*idempotency.ClaimStore
	guards      map[string]*crash.Guard
}

var errUnreachable = errors.New("unreachable")

func newCluster(t *testing.T, instances int, resources ...resource.Resource) *testCluster {
	t.Helper()
	f := &testCluster{
		state: configuration.NewState(), unreachable: map[string]bool{},
		claimStores: map[string]*idempotency.ClaimStore{}, guards: map[string]*crash.Guard{},
	}
	f.applyChanges(t, resources...)
	ids := make([]string, instances)
	for i := range ids {
		ids[i] = fmt.Sprintf("entry-%d", i+1)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, id := range ids {
		f.start(ctx, t, id, func() []string { return ids })
	}
	return f
}

func (f *testCluster) start(ctx context.Context, t *testing.T, id string, seats func() []string) {
	t.Helper()
	var s *steering.Steering
	ledger := share.NewLedger(func() { s.Notify() })
	health := steering.NewHealth(steering.DefaultBreaker())
	s = steering.New(steering.Place{Region: "r1", FailureDomain: "r1-a"}, ledger, ledger.RequestUnits, health)
	f.claimStores[id] = idempotency.NewClaimStore()
	f.guards[id] = crash.New(id, seats, f.grant, func(ctx context.Context, p crash.Fingerprint, e crash.Event) {
		for _, other := range seats() {
			if other != id && f.reachable(other) && ctx.Err() == nil {
				f.guards[other].Record(p, e)
			}
		}
	})
	sender := target.NewSender()
	t.Cleanup(sender.Close)
	d := dispatch.New(dispatch.Config{
		State: f.state, Steering: s, Health: health, Sender: sender, Guard: f.guards[id],
		Claimer: idempotency.NewClaimer(id, seats, f.claimStores[id], f.peerCalls()),
		Logger:  zap.NewNop(), Confirmed: func() bool { return true }, Instances: func() int { return len(seats()) },
	})
	go func() { _ = d.Run(ctx) }()
	server := httptest.NewUnstartedServer(caller.New(d, nil, meter.New(), zap.NewNop()))
	server.Config.MaxHeaderBytes = 8 << 10
	server.Start()
	t.Cleanup(server.Close)
	s.Configure(steering.Configuration{Snapshot: f.state.View().Snapshot, Revision: f.state.View().Revision})
	f.urls = append(f.urls, server.URL)
	f.ledgers = append(f.ledgers, ledger)
}

func (f *testCluster) reachable(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.unreachable[id]
}

func (f *testCluster) disconnect(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[id] = true
}

func (f *testCluster) reconnectAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.unreachable)
}

func (f *testCluster) grant(_ context.Context, owner string, p crash.Fingerprint) (bool, error) {
	if !f.reachable(owner) {
		return false, errUnreachable
	}
	return f.guards[owner].Grant(p), nil
}

func (f *testCluster) peerCalls() idempotency.PeerCalls {
	return idempotency.PeerCalls{
		Claim: func(_ context.Context, owner string, c idempotency.Claim) (idempotency.Answer, error) {
			if !f.reachable(owner) {
				return "", errUnreachable
			}
			return f.claimStores[owner].Claim(c), nil
		},
		Withdraw: func(_ context.Context, owner string, c idempotency.Claim) error {
			if !f.reachable(owner) {
				return errUnreachable
			}
			f.claimStores[owner].Withdraw(c)
			return nil
		},
	}
}

// applyChanges creates resources. A resource without a spec is deleted.
func (f *testCluster) applyChanges(t *testing.T, resources ...resource.Resource) {
	t.Helper()
	for _, r := range resources {
		v := f.state.View()
		action := configuration.ActionCreate
		if r.Spec == nil {
			action = configuration.ActionDelete
		}
		record, err := configuration.NewRecord(configuration.Change{
			ID: fmt.Sprint(v.Revision), Revision: v.Revision + 1, Previous: v.Chain, Action: action,
			Actor: "test", Reason: "test", Resource: &r,
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := f.state.Apply(record); err != nil {
			t.Fatal(err)
		}
	}
}

func newResource(kind resource.Kind, name string, spec any) resource.Resource {
	return resource.Resource{Kind: kind, Name: name, Spec: spec}
}

// deskResources returns the configuration of the service "desk" with the given targets.
func deskResources(timeout time.Duration, targets ...*fakeTarget) []resource.Resource {
	hash := resource.HashKey(testKey)
	all := []resource.Resource{
		newResource(resource.KindRegion, "r1", resource.Region{Capacity: 100}),
		newResource(resource.KindFailureDomain, "r1-a", resource.FailureDomain{Region: "r1"}),
		newResource(resource.KindService, "desk", resource.Service{
			RequestTimeout: resource.Duration(timeout), QueueTimeout: resource.Duration(timeout / 4), MaxBodyBytes: 200_000,
			Shedding: &resource.Shedding{Status: 503, Header: "X-Shed"},
		}),
		newResource(resource.KindTeam, "lawns", resource.Team{Rate: 10_000, Burst: 100, Weight: 1}),
		newResource(resource.KindKey, "k", resource.Key{Team: "lawns", Hash: hex.EncodeToString(hash[:])}),
		newResource(resource.KindRoute, "plans", resource.Route{Path: "/plans", Service: "desk"}),
		newResource(resource.KindRoute, "hours", resource.Route{Path: "/hours", Service: "desk", Open: true}),
	}
	for i, target := range targets {
		all = append(all, newResource(resource.KindTarget, fmt.Sprintf("t%d", i+1), resource.Target{
			Service: "desk", FailureDomain: "r1-a", Address: target.address, Slots: 3, Connections: 400,
		}))
	}
	return all
}

// call is a request that is sent with testKey.
type call struct {
	method, path, body, idempotencyKey string
}

type callResult struct {
	status int
	body   string
	// notRun reports whether the response says that the request has not run.
	notRun bool
	err    error
}

func (f *testCluster) do(t *testing.T, instance int, c call) callResult {
	t.Helper()
	request, err := http.NewRequest(c.method, f.urls[instance]+c.path, strings.NewReader(c.body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Medlarpond-Key", testKey)
	if c.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", c.idempotencyKey)
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callResult{
		status: response.StatusCode, body: string(body), err: err,
		notRun: response.Header.Get("Medlarpond-Not-Run") == "true",
	}
}

// freeSlots returns the number of slots of a target that are free at the first instance.
func (f *testCluster) freeSlots(name string) int {
	return f.ledgers[0].FreeUnits(share.Account{Kind: share.KindTarget, Name: name})
}
