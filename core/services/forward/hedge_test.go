package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/intent"
	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/boottime"
	"medlarpond.dev/core/modules/meter"
	"medlarpond.dev/core/services/allowance"
	"medlarpond.dev/core/services/belief"
	"medlarpond.dev/core/services/crash"
	"medlarpond.dev/core/services/hedge"
	"medlarpond.dev/core/services/placement"
	"medlarpond.dev/core/services/ratepool"
	"medlarpond.dev/core/services/target"
)

// learnedTime is the response time that the instance of a hedgedFleet has learned for its route.
const learnedTime = 20 * time.Millisecond

// hedgedFleet is an instance that hedges the requests of a route, with targets.
type hedgedFleet struct {
	*Forwarder
	route   intent.Route
	targets []roster.Target

	mu sync.Mutex
	// received holds the target and the client's address of each attempt, by request ID.
	received map[string][][2]string
}

// newHedgedFleet returns a fleet whose instance may send one hedge now. respond responds to the n-th attempt of a request, counting
// from 1.
func newHedgedFleet(t *testing.T, targets int, respond func(w http.ResponseWriter, r *http.Request, n int)) *hedgedFleet {
	t.Helper()
	place := roster.Place{Region: "east", FailureDomain: "east-1"}
	state := belief.New(zap.NewNop(), boottime.Now, func([]roster.Instance) {})
	state.Confirm(boottime.Now())
	loads := placement.NewLoadTracker()
	pool := target.NewPool()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = pool.Run(ctx) }()
	s := &hedgedFleet{received: map[string][][2]string{}, Forwarder: New(Config{
		State: state, Loads: loads, Crashes: crash.NewTally(), Pool: pool, Meter: meter.New(), Logger: zap.NewNop(),
		Placement: placement.New(state, "i-1", place, []roster.Place{place}, placement.Policy{Objects: 40, Candidates: 6, OwnerTimeout: time.Minute}, loads),
		Rates: ratepool.New(ratepool.Config{
			Now: boottime.Now, View: func() ratepool.View { return ratepool.View{} }, Split: allowance.New(allowance.Policy{Window: time.Second}),
			Logger: zap.NewNop(),
		}),
		RetryBudget: allowance.NewRetryBudget(allowance.RetryPolicy{Ratio: 0.2, Reserve: 20}),
		Hedger:      hedge.New(hedge.Policy{Ratio: 0.1, Quantile: 0.95}),
		Headers:     Headers{RequestID: "Id", Seal: "Seal", NotRun: "Not-Run", TimeLeft: "Left", ExpectedTarget: "Expected", Team: "Team"},
		Policy: Policy{
			ConfirmTimeout: time.Minute, MaxTries: 4, UnsafeIdle: time.Minute, SafeIdle: time.Minute, OtherQueuePerSlot: 1, UrgentQueuePerSlot: 1,
		},
	})}
	s.route = intent.Route{
		Name: "r", Host: "h", Prefix: "/", Services: []intent.WeightedService{{Service: "s", Weight: 1}}, Idempotent: true,
		Timeout: 2 * time.Second, LatencyGoal: 300 * time.Millisecond, MaxAttempts: 2, Open: true,
	}
	for n := range targets {
		id := fmt.Sprint("t-", n)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			request := r.Header.Get("Id")
			s.mu.Lock()
			s.received[request] = append(s.received[request], [2]string{id, r.RemoteAddr})
			attempt := len(s.received[request])
			s.mu.Unlock()
			w.Header().Set("Id", request)
			w.Header().Set("Seal", "1")
			respond(w, r, attempt)
		}))
		t.Cleanup(server.Close)
		s.targets = append(s.targets, roster.Target{ID: id, Service: "s", Address: server.Listener.Addr().String(), Place: place, Slots: 20, Revision: uint64(n + 1)})
	}
	state.UpdateTargets(s.targets, nil)
	for range 100 {
		s.Hedger.Record("r", learnedTime)
	}
	for range 10 {
		s.Hedger.CountRequest("r", 0)
	}
	return s
}

// send sends a request and returns the status and the whole body of the response.
func (s *hedgedFleet) send(t *testing.T, id string) (int, string) {
	t.Helper()
	return s.sendRequest(t, Request{Header: http.Header{"Id": {id}}, ID: id, Arrived: time.Now()})
}

func (s *hedgedFleet) sendRequest(t *testing.T, r Request) (int, string) {
	t.Helper()
	i, err := intent.New(intent.Content{Version: 1, Services: []intent.Service{{Name: "s"}}, Routes: []intent.Route{s.route}})
	if err != nil {
		t.Fatal(err)
	}
	s.State.SetIntent(i, 1)
	r.Method, r.URI, r.Path, r.Host = http.MethodPut, "/x", "/x", "h"
	result := s.Forward(t.Context(), r)
	if result.Refusal != nil {
		return result.Refusal.Status, result.Refusal.Message
	}
	body := bytes.NewBuffer(result.Response.Body)
	if rest := result.Response.Rest; rest != nil {
		if _, err := io.Copy(body, rest); err != nil {
			t.Errorf("reading the response: %v", err)
		}
		_ = rest.Close()
	}
	return result.Response.Status, body.String()
}

func (s *hedgedFleet) attempts(id string) [][2]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[id]
}

// hasMetric reports whether a line is among the metrics.
func (s *hedgedFleet) hasMetric(line string) bool {
	var b bytes.Buffer
	s.Meter.Write(&b)
	return strings.Contains(b.String(), line+"\n")
}

func respondBody(w http.ResponseWriter, _ *http.Request, n int) { _, _ = fmt.Fprint(w, "attempt ", n) }

// TestWinnerCancelsLoser lets one attempt of a request be slow, with small responses and with ones that are streamed. It guards against
// a loser that goes on at its target, or whose connection carries its response to a later request.
func TestWinnerCancelsLoser(t *testing.T) {
	for name, c := range map[string]struct {
		slow   int
		size   int
		metric string
	}{
		"hedge wins":                   {1, 10, "won"},
		"hedge wins with a stream":     {1, 300 << 10, "won"},
		"first attempt wins":           {2, 10, "cancelled"},
		"first wins with a stream":     {2, 300 << 10, "cancelled"},
		"hedge wins, both are stalled": {1, -1, "won"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cancelled := make(chan struct{})
			body := strings.Repeat("x", max(c.size, 10))
			s := newHedgedFleet(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
				switch {
				case r.Header.Get("Id") != "a":
					respondBody(w, r, n)
				case n == c.slow:
					if c.size < 0 {
						_, _ = io.WriteString(w, "a part")
						_ = http.NewResponseController(w).Flush()
					}
					<-r.Context().Done()
					close(cancelled)
				default:
					time.Sleep(200 * time.Millisecond)
					_, _ = fmt.Fprint(w, n, body)
				}
			})
			if status, got := s.send(t, "a"); status != http.StatusOK || got != fmt.Sprint(3-c.slow, body) {
				t.Errorf("got status %d with %d bytes, want 200 with the %d bytes of attempt %d", status, len(got), len(body)+1, 3-c.slow)
			}
			select {
			case <-cancelled:
			case <-time.After(time.Second):
				t.Fatal("the loser was not cancelled")
			}
			attempts := s.attempts("a")
			if len(attempts) != 2 || attempts[0][0] == attempts[1][0] {
				t.Fatalf("got attempts at %v, want two at different targets", attempts)
			}
			for _, result := range []string{"sent", c.metric} {
				if line := fmt.Sprintf("medlarpond_hedges_total{result=%q} 1", result); !s.hasMetric(line) {
					t.Errorf("metrics lack %s", line)
				}
			}
			loser := attempts[c.slow-1]
			for _, other := range s.targets {
				if other.ID != loser[0] {
					s.State.UpdateTargets(nil, map[string]uint64{other.ID: other.Revision})
				}
			}
			if status, got := s.send(t, "b"); status != http.StatusOK || got != "attempt 1" {
				t.Errorf("next request at the loser's target: got status %d, body %q, want its own response", status, got)
			}
			if next := s.attempts("b"); len(next) != 1 || next[0][1] == loser[1] {
				t.Errorf("next request: got attempts %v, want one on another connection than %v", next, loser)
			}
		})
	}
}

// TestWithheldHedges checks the requests that get no hedge although they take long.
func TestWithheldHedges(t *testing.T) {
	request := func(id string) Request {
		return Request{Header: http.Header{"Id": {id}}, ID: id, Arrived: time.Now()}
	}
	for name, c := range map[string]struct {
		prepare func(s *hedgedFleet, r *Request)
		// reason is empty for requests that never can be hedged.
		reason hedge.Reason
	}{
		"hedging is off":        {func(s *hedgedFleet, _ *Request) { s.Hedger = nil }, ""},
		"must not run twice":    {func(s *hedgedFleet, _ *Request) { s.route.Idempotent = false }, ""},
		"one attempt permitted": {func(s *hedgedFleet, _ *Request) { s.route.MaxAttempts = 1 }, ""},
		"streamed body": {func(_ *hedgedFleet, r *Request) {
			r.Body, r.Rest, r.Length = []byte("a"), strings.NewReader("b"), 2
		}, ""},
		"quantile is not known":  {func(s *hedgedFleet, _ *Request) { s.route.Name = "other" }, hedge.Unlearned},
		"one target permitted":   {func(s *hedgedFleet, _ *Request) { s.Policy.MaxTries = 1 }, hedge.Attempts},
		"store is not confirmed": {func(s *hedgedFleet, _ *Request) { s.Policy.ConfirmTimeout = -time.Second }, hedge.Unconfirmed},
		"instance stops": {func(s *hedgedFleet, _ *Request) {
			s.BeginShutdown(time.Now().Add(time.Minute), time.Now().Add(time.Hour))
		}, hedge.Stopping},
		"a target has died": {func(s *hedgedFleet, r *Request) {
			c := call{Request: *r}
			c.Method, c.URI, c.Host = http.MethodPut, "/x", "h"
			s.Crashes.RecordDeath(c.fingerprint(), "t-9", 1, time.Now())
		}, hedge.Crash},
		"no allowance":    {func(s *hedgedFleet, _ *Request) { s.Hedger.Take("r", 0) }, hedge.Allowance},
		"no other target": {func(s *hedgedFleet, _ *Request) { s.State.UpdateTargets(nil, map[string]uint64{"t-1": 2}) }, hedge.NoTarget},
		"no retry budget": {func(s *hedgedFleet, _ *Request) {
			s.RetryBudget = allowance.NewRetryBudget(allowance.RetryPolicy{Ratio: 0.2})
			s.RetryBudget.Deposit("s")
			s.RetryBudget.Withdraw("s")
		}, hedge.RetryBudget},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newHedgedFleet(t, 2, func(w http.ResponseWriter, r *http.Request, n int) {
				time.Sleep(150 * time.Millisecond)
				respondBody(w, r, n)
			})
			r := request("a")
			c.prepare(s, &r)
			if status, body := s.sendRequest(t, r); status != http.StatusOK {
				t.Errorf("got status %d (%s), want 200", status, body)
			}
			if attempts := s.attempts("a"); len(attempts) != 1 {
				t.Errorf("got attempts at %v, want one", attempts)
			}
			if line := fmt.Sprintf("medlarpond_hedges_withheld_total{reason=%q} 1", c.reason); c.reason != "" && !s.hasMetric(line) {
				t.Errorf("metrics lack %s", line)
			}
		})
	}
}

// TestFailuresOfHedgedRequests checks what becomes of a request if one or both of its attempts fail, and that no more targets run it than
// the route permits.
func TestFailuresOfHedgedRequests(t *testing.T) {
	const answer, fail, lose, refuse = "answer", "fail", "lose", "refuse"
	for name, c := range map[string]struct {
		maxAttempts  int
		attempts     []string
		status, sent int
	}{
		"first fails, hedge is answered":         {2, []string{fail, answer}, 200, 2},
		"first is lost, hedge is answered":       {2, []string{lose, answer}, 200, 2},
		"hedge fails, first is answered":         {2, []string{answer, fail}, 200, 2},
		"hedge is refused, first is answered":    {2, []string{answer, refuse}, 200, 2},
		"both fail":                              {2, []string{fail, fail, answer}, 500, 2},
		"both are lost":                          {2, []string{lose, lose, answer}, 502, 2},
		"both fail, a third run is permitted":    {3, []string{fail, fail, answer}, 200, 3},
		"hedge is refused, first fails, retried": {2, []string{fail, refuse, answer}, 200, 3},
		"both are refused, no second hedge":      {2, []string{refuse, refuse, answer}, 200, 3},
		"all refuse":                             {2, []string{refuse, refuse, refuse, refuse, refuse}, 503, 4},
	} {
		for _, hedgeTime := range []time.Duration{60 * time.Millisecond, 400 * time.Millisecond} {
			t.Run(fmt.Sprint(name, ", hedge takes ", hedgeTime), func(t *testing.T) {
				t.Parallel()
				var s *hedgedFleet
				s = newHedgedFleet(t, 6, func(w http.ResponseWriter, r *http.Request, n int) {
					for range 10 {
						s.Hedger.CountRequest("r", 0)
					}
					if n == 2 {
						time.Sleep(hedgeTime)
					} else {
						time.Sleep(200 * time.Millisecond)
					}
					switch c.attempts[n-1] {
					case answer:
						respondBody(w, r, n)
					case fail:
						w.WriteHeader(http.StatusInternalServerError)
					case lose:
						panic(http.ErrAbortHandler)
					case refuse:
						w.Header().Set("Not-Run", "1")
						w.WriteHeader(http.StatusServiceUnavailable)
					}
				})
				s.route.MaxAttempts = c.maxAttempts
				status, body := s.send(t, "a")
				if attempts := s.attempts("a"); status != c.status || len(attempts) != c.sent {
					t.Errorf("got status %d (%s) after %d attempts, want %d after %d", status, body, len(attempts), c.status, c.sent)
				}
			})
		}
	}
}

// TestSlowTargetsGetNoStorm lets all targets become slow at once, so that every request exceeds the learned quantile.
func TestSlowTargetsGetNoStorm(t *testing.T) {
	s := newHedgedFleet(t, 4, func(w http.ResponseWriter, r *http.Request, n int) {
		time.Sleep(4 * learnedTime)
		respondBody(w, r, n)
	})
	const requests = 100
	var group sync.WaitGroup
	for worker := range 5 {
		group.Go(func() {
			for n := range requests / 5 {
				if status, body := s.send(t, fmt.Sprint(worker, "-", n)); status != http.StatusOK {
					t.Errorf("got status %d (%s), want 200", status, body)
				}
			}
		})
	}
	group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	attempts := 0
	for _, received := range s.received {
		attempts += len(received)
	}
	if limit := requests + requests/10 + 1; attempts <= requests || attempts > limit {
		t.Errorf("got %d attempts for %d requests, want %d to %d", attempts, requests, requests+1, limit)
	}
}

// TestLosersResponseIsClosed lets an attempt receive a response that is streamed after the other one has won: nobody else would close
// its connection.
func TestLosersResponseIsClosed(t *testing.T) {
	cancelled := make(chan struct{})
	s := newHedgedFleet(t, 1, func(w http.ResponseWriter, r *http.Request, _ int) {
		_, _ = io.WriteString(w, strings.Repeat("x", 100<<10))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(cancelled)
	})
	c := &call{Request: Request{Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{"Id": {"a"}}, ID: "a"}, route: &s.route, deadline: time.Now().Add(time.Minute)}
	pair := &hedgedPair{f: s.Forwarder, sent: true, winner: roleHedge}
	result := s.tryTarget(t.Context(), c, attempt{choice: placement.Choice{Target: s.targets[0]}, pair: pair, role: roleFirst})
	if result.response != nil || result.outcome != outcomeUnknown {
		t.Errorf("got response %v with outcome %v, want none with an unknown outcome", result.response, result.outcome)
	}
	select {
	case <-cancelled:
	case <-time.After(time.Second):
		t.Error("the connection of the loser was not closed")
	}
}

// TestLostAttemptsCountForQuantile guards against a quantile that falls with every hedge that wins, as only the fast attempts would be
// left, so that more and more requests are hedged.
func TestLostAttemptsCountForQuantile(t *testing.T) {
	s := newHedgedFleet(t, 0, respondBody)
	c := &call{route: &s.route}
	for range 100 {
		s.recordResponseTime(c, attempt{role: roleFirst}, placement.OutcomeCancelled, true, time.Second)
		s.recordResponseTime(c, attempt{role: roleHedge}, placement.OutcomeAnswered, false, time.Millisecond)
		s.recordResponseTime(c, attempt{role: roleFirst}, placement.OutcomeCancelled, false, time.Millisecond)
		s.recordResponseTime(c, attempt{role: roleFirst}, placement.OutcomeFailed, false, time.Millisecond)
	}
	if delay, ok := s.Hedger.Delay("r"); !ok || delay != time.Second {
		t.Errorf("got a delay of %v, %v, want that of the lost attempts, 1s", delay, ok)
	}
}
