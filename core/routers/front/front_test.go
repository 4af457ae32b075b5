package front_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/intent"
	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/boottime"
	"medlarpond.dev/core/modules/meter"
	"medlarpond.dev/core/routers/front"
	"medlarpond.dev/core/services/allowance"
	"medlarpond.dev/core/services/belief"
	"medlarpond.dev/core/services/forward"
	"medlarpond.dev/core/services/placement"
	"medlarpond.dev/core/services/target"
)

var names = forward.Headers{
	RequestID: "Test-Id", TimeLeft: "Test-Left", ExpectedTarget: "Test-Expected", Team: "Test-Team", Seal: "Test-Seal",
	NotRun: "Test-Not-Run", Load: "Test-Load", ObjectCookie: "object",
}

var here = roster.Place{Region: "east", FailureDomain: "east-1"}

// received is a request as a target saw it.
type received struct {
	target string
	*http.Request
	body string
}

// site is one instance with some targets.
type site struct {
	state     *belief.State
	forwarder *forward.Forwarder
	router    *front.Router
	address   string

	mu       sync.Mutex
	received []received
}

// newSite starts an instance; behave answers the n-th request that reaches any target.
func newSite(t *testing.T, targets int, behave func(w http.ResponseWriter, r *http.Request, n int)) *site {
	t.Helper()
	s := &site{state: belief.New(zap.NewNop(), func(int) {})}
	loads := placement.NewLoadTracker()
	policy := placement.Policy{RegionShift: 0.04, RegionSpill: 0.06, EvacuationRamp: time.Second, Objects: 40, Candidates: 6, RankCost: 0.05}
	allowances := allowance.New(allowance.Policy{Window: 5 * time.Second, GrowAfter: 10 * time.Second, Slack: 5})
	allowances.SetInstances(1)
	pool := target.NewPool()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = pool.Run(ctx) }()
	t.Cleanup(cancel)
	s.forwarder = forward.New(forward.Config{
		State: s.state, Placement: placement.New(s.state, "i-1", here, []roster.Place{here}, policy, loads), Loads: loads,
		RateLimiter: allowances, RetryBudget: allowance.NewRetryBudget(allowance.RetryPolicy{Ratio: 0.2, Reserve: 20}),
		Pool: pool, Headers: names, Meter: meter.New(), Logger: zap.NewNop(),
		Policy: forward.Policy{
			ConfirmTimeout: time.Second, MaxTries: 4, UnsafeIdle: time.Second, SafeIdle: time.Second,
			UrgentQueuePerSlot: 2, OtherQueuePerSlot: 1,
		},
	})
	s.router = front.New(s.forwarder, names, meter.New(), zap.NewNop())
	server := httptest.NewServer(s.router)
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	s.setIntent(t, 1, nil)
	s.state.SetInstances([]roster.Instance{{ID: "i-1", Place: here}})
	s.state.Confirm(boottime.Now())
	var entries []roster.Target
	for n := range targets {
		id := fmt.Sprint("t-", n)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			s.mu.Lock()
			s.received = append(s.received, received{target: id, Request: r, body: string(body)})
			count := len(s.received)
			s.mu.Unlock()
			w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
			behave(w, r, count)
		}))
		t.Cleanup(server.Close)
		entries = append(entries, roster.Target{
			ID: id, Service: "orders", Address: server.Listener.Addr().String(), Place: here, Slots: 3, Revision: uint64(n + 1),
		})
	}
	s.state.UpdateTargets(entries, nil)
	return s
}

func (s *site) setIntent(t *testing.T, version uint64, change func(*intent.Content)) {
	t.Helper()
	route := func(name string, idempotent, open bool) intent.Route {
		return intent.Route{
			Name: name, Host: "shop.example", Prefix: "/" + name + "/", Services: []intent.WeightedService{{Service: "orders", Weight: 1}},
			Idempotent: idempotent, Timeout: time.Second, LatencyGoal: 300 * time.Millisecond, MaxAttempts: 2, Open: open, Sticky: true,
		}
	}
	c := intent.Content{
		Version: version, Services: []intent.Service{{Name: "orders"}}, Teams: []intent.Team{{Name: "gold"}},
		Keys:   map[string]string{"secret-key": "gold"},
		Routes: []intent.Route{route("read", true, false), route("write", false, false), route("open", true, true)},
	}
	if change != nil {
		change(&c)
	}
	i, err := intent.New(c)
	if err != nil {
		t.Fatal(err)
	}
	s.state.SetIntent(i, version)
}

func (s *site) arrivals() []received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]received(nil), s.received...)
}

// send sends a request to the instance; header holds pairs of name and value.
func (s *site) send(t *testing.T, method, path, body string, header ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "shop.example"
	r.Header.Set(names.RequestID, "r-1")
	r.Header.Set("Authorization", "Bearer secret-key")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return response, err.Error()
	}
	return response, string(content)
}

func sealed(w http.ResponseWriter, _ *http.Request, _ int) {
	w.Header().Set(names.Seal, "seal")
	_, _ = io.WriteString(w, "the answer")
}

func shed(w http.ResponseWriter) {
	w.Header().Set(names.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func abort(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	s := newSite(t, 2, sealed)
	response, body := s.send(t, http.MethodPost, "/write/a%2Fb?q=%20&x", "the body",
		"Cookie", "object=7", names.TimeLeft, "800", names.Team, "forged", names.ExpectedTarget, "forged", "X-Own", "kept",
		"Connection", "X-Gone", "X-Gone", "1")
	if response.StatusCode != http.StatusOK || body != "the answer" || response.Header.Get(names.Seal) != "seal" {
		t.Errorf("status %d, body %q, seal %q", response.StatusCode, body, response.Header.Get(names.Seal))
	}
	got := s.arrivals()[0]
	if got.RequestURI != "/write/a%2Fb?q=%20&x" || got.Method != http.MethodPost || got.body != "the body" || got.Host != "shop.example" {
		t.Errorf("the target got %s %s %q %q", got.Method, got.RequestURI, got.Host, got.body)
	}
	for name, want := range map[string]string{
		names.RequestID: "r-1", names.Team: "gold", names.ExpectedTarget: got.target, "X-Own": "kept", "Cookie": "object=7",
		"Authorization": "", "X-Gone": "",
	} {
		if value := got.Header.Get(name); value != want {
			t.Errorf("the target got %s %q, want %q", name, value, want)
		}
	}
	left, err := strconv.Atoi(got.Header.Get(names.TimeLeft))
	if err != nil || left > 800 || left < 500 {
		t.Errorf("the target was told %q milliseconds, want at most 800", got.Header.Get(names.TimeLeft))
	}
}

// TestOutcomes checks for each behavior of targets what the caller is told and how many attempts arrive.
func TestOutcomes(t *testing.T) {
	firstThen := func(first func(http.ResponseWriter)) func(http.ResponseWriter, *http.Request, int) {
		return func(w http.ResponseWriter, r *http.Request, n int) {
			if n == 1 {
				first(w)
				return
			}
			sealed(w, r, n)
		}
	}
	always := func(f func(http.ResponseWriter)) func(http.ResponseWriter, *http.Request, int) {
		return func(w http.ResponseWriter, _ *http.Request, _ int) { f(w) }
	}
	fail := func(w http.ResponseWriter) {
		w.Header().Set(names.Seal, "seal")
		w.WriteHeader(http.StatusInternalServerError)
	}
	misdirected := func(w http.ResponseWriter) { w.WriteHeader(http.StatusMisdirectedRequest) }
	unsealed := func(w http.ResponseWriter) { _, _ = io.WriteString(w, "no seal") }
	silent := func(http.ResponseWriter) { time.Sleep(1300 * time.Millisecond) }
	for _, c := range []struct {
		name                string
		behave              func(http.ResponseWriter, *http.Request, int)
		read, write         int
		readMost, writeMost int
	}{
		{"answered", sealed, 200, 200, 1, 1},
		{"first sheds", firstThen(shed), 200, 200, 2, 2},
		{"all shed", always(shed), 503, 503, 3, 3},
		{"first is another target", firstThen(misdirected), 200, 200, 2, 2},
		{"first breaks off", firstThen(abort), 200, 502, 2, 1},
		{"all break off", always(abort), 502, 502, 2, 1},
		{"first fails", firstThen(fail), 200, 500, 2, 1},
		{"all fail", always(fail), 500, 500, 2, 1},
		{"first answers without a seal", firstThen(unsealed), 200, 502, 2, 1},
		{"all answer without a seal", always(unsealed), 502, 502, 2, 1},
		{"all silent", always(silent), 504, 504, 1, 1},
	} {
		for route, want := range map[string][2]int{"read": {c.read, c.readMost}, "write": {c.write, c.writeMost}} {
			t.Run(c.name+"/"+route, func(t *testing.T) {
				t.Parallel()
				s := newSite(t, 3, c.behave)
				began := time.Now()
				response, body := s.send(t, http.MethodGet, "/"+route+"/x", "")
				if response == nil {
					t.Fatal(body)
				}
				if response.StatusCode != want[0] {
					t.Errorf("status %d, want %d", response.StatusCode, want[0])
				}
				if n := len(s.arrivals()); n > want[1] {
					t.Errorf("%d attempts arrived, want at most %d", n, want[1])
				}
				if took := time.Since(began); took > 1200*time.Millisecond {
					t.Errorf("the answer took %v, the route's timeout is 1s", took)
				}
				if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
					t.Error("a refusal does not say when to come back")
				}
				if response.StatusCode >= 502 && response.Header.Get(names.Seal) != "" {
					t.Error("an answer of our own bears a target's seal")
				}
			})
		}
	}
}

func TestRefusals(t *testing.T) {
	s := newSite(t, 1, sealed)
	for name, c := range map[string]struct {
		path   string
		header []string
		want   int
	}{
		"unknown path":         {"/nowhere/", nil, 404},
		"unknown key":          {"/read/x", []string{"Authorization", "Bearer none"}, 401},
		"no key":               {"/read/x", []string{"Authorization", ""}, 401},
		"no key on open route": {"/open/x", []string{"Authorization", ""}, 200},
		"no time":              {"/read/x", []string{names.TimeLeft, "5"}, 503},
	} {
		if response, _ := s.send(t, http.MethodGet, c.path, "", c.header...); response.StatusCode != c.want {
			t.Errorf("%s: status %d, want %d", name, response.StatusCode, c.want)
		}
	}
}

func TestKeysNeedContactWithTheStore(t *testing.T) {
	s := newSite(t, 1, sealed)
	time.Sleep(1100 * time.Millisecond)
	if response, _ := s.send(t, http.MethodGet, "/read/x", ""); response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("without contact a keyed request gets %d, want 503", response.StatusCode)
	}
	if response, _ := s.send(t, http.MethodGet, "/open/x", ""); response.StatusCode != http.StatusOK {
		t.Errorf("without contact an open request gets %d, want 200", response.StatusCode)
	}
	s.state.Confirm(boottime.Now())
	if response, _ := s.send(t, http.MethodGet, "/read/x", ""); response.StatusCode != http.StatusOK {
		t.Errorf("with contact a keyed request gets %d, want 200", response.StatusCode)
	}
	s.setIntent(t, 2, func(c *intent.Content) { c.Keys = nil })
	if response, _ := s.send(t, http.MethodGet, "/read/x", ""); response.StatusCode != http.StatusUnauthorized {
		t.Errorf("a withdrawn key gets %d, want 401", response.StatusCode)
	}
}

func TestTeamOverItsRate(t *testing.T) {
	s := newSite(t, 1, sealed)
	s.setIntent(t, 2, func(c *intent.Content) { c.Teams[0].Rate, c.Teams[0].Burst = 1, 1 })
	counts := map[int]int{}
	for range 30 {
		response, _ := s.send(t, http.MethodGet, "/read/x", "")
		counts[response.StatusCode]++
		if response.StatusCode == http.StatusTooManyRequests && response.Header.Get("Retry-After") == "" {
			t.Error("a refusal does not say when to come back")
		}
	}
	// Rate times window, burst and slack, of which a new process uses a part.
	if counts[200] == 0 || counts[200] > 11 || counts[429] == 0 {
		t.Errorf("statuses %v, want some 200, at most 11, and 429", counts)
	}
}

func TestCallerThatLeavesEndsTheAttempt(t *testing.T) {
	ended := make(chan struct{})
	s := newSite(t, 1, func(_ http.ResponseWriter, r *http.Request, _ int) {
		<-r.Context().Done()
		close(ended)
	})
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "GET /open/x HTTP/1.1\r\nHost: shop.example\r\nTest-Id: r\r\n\r\n")
	for len(s.arrivals()) == 0 {
		time.Sleep(time.Millisecond)
	}
	_ = c.Close()
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Error("the target works on half a second after the caller has left")
	}
}

func TestLeavingInstance(t *testing.T) {
	s := newSite(t, 1, sealed)
	s.router.Leave()
	s.forwarder.BeginShutdown(time.Now(), time.Now().Add(300*time.Millisecond))
	response, _ := s.send(t, http.MethodGet, "/read/x", "")
	if response.StatusCode != http.StatusServiceUnavailable || !response.Close {
		t.Errorf("a request that may outlast the instance gets %d, closing %v; want 503 and true", response.StatusCode, response.Close)
	}
	response, _ = s.send(t, http.MethodGet, "/read/x", "", names.TimeLeft, "200")
	if response.StatusCode != http.StatusOK {
		t.Errorf("a request that ends in time gets %d, want 200", response.StatusCode)
	}
}

// TestObjectsOfTwoRoutesAreDifferent sends the same cookies on two routes: a target that has served one of them does not
// know the other.
func TestObjectsOfTwoRoutesAreDifferent(t *testing.T) {
	s := newSite(t, 8, func(w http.ResponseWriter, _ *http.Request, _ int) { w.Header().Set(names.Seal, "sealed") })
	apart := 0
	for n := range 12 {
		for _, path := range []string{"/read/x", "/open/x"} {
			s.send(t, http.MethodGet, path, "", "Authorization", "Bearer secret-key", "Cookie", fmt.Sprint("object=", n))
		}
		got := s.arrivals()
		if got[len(got)-1].target != got[len(got)-2].target {
			apart++
		}
	}
	if apart < 6 {
		t.Errorf("%d of 12 cookies have different targets on two routes, want most", apart)
	}
}

// TestTargetThatShedsAtRandomIsAskedAgain lets targets refuse requests though they say that they have room.
func TestTargetThatShedsAtRandomIsAskedAgain(t *testing.T) {
	for _, x := range []struct {
		load string
		same bool
	}{{"1,0,3", true}, {"3,9,3", false}, {"", false}} {
		s := newSite(t, 8, func(w http.ResponseWriter, _ *http.Request, n int) {
			if x.load != "" {
				w.Header().Set(names.Load, x.load)
			}
			if n < 3 {
				w.Header().Set(names.NotRun, "busy")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			w.Header().Set(names.Seal, "sealed")
		})
		response, _ := s.send(t, http.MethodGet, "/read/x", "", "Authorization", "Bearer secret-key", "Cookie", "object=1")
		got := s.arrivals()
		if response.StatusCode != http.StatusOK || len(got) != 3 {
			t.Fatalf("load %q: status %d after %d attempts, want 200 after 3", x.load, response.StatusCode, len(got))
		}
		if same := got[0].target == got[1].target; same != x.same {
			t.Errorf("load %q: the second attempt went to the same target: %t, want %t", x.load, same, x.same)
		}
		if got[2].target == got[1].target {
			t.Errorf("load %q: a target was asked three times", x.load)
		}
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	s := newSite(t, 1, sealed)
	s.setIntent(t, 2, func(c *intent.Content) {
		c.Services = append(c.Services, intent.Service{Name: "empty"})
		c.Routes[0].Services = []intent.WeightedService{{Service: "orders", Weight: 3}, {Service: "empty", Weight: 1}}
	})
	counts := map[int]int{}
	for range 40 {
		response, _ := s.send(t, http.MethodGet, "/read/x", "")
		counts[response.StatusCode]++
	}
	if counts[200] != 30 || counts[503] != 10 {
		t.Errorf("statuses %v, want 30 of 200 and 10 of 503", counts)
	}
}
