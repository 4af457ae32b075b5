package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"medlarpond.dev/core/modules/meter"
)

// testServer is a server whose memory is bounded by an account.
type testServer struct {
	account  *Account
	address  string
	requests atomic.Int64
	reasons  chan Reason
}

func newTestServer(t *testing.T, limit int64, policy Policy, handler http.HandlerFunc) *testServer {
	t.Helper()
	s := &testServer{reasons: make(chan Reason, 100)}
	s.account = NewAccount(limit, policy, func(r Reason) { s.reasons <- r })
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		handler(w, r)
	}))
	s.account.Configure(server.Config)
	server.Listener = s.account.Listener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	return s
}

// send sends a text on a new connection and returns it with a reader of the responses.
func (s *testServer) send(t *testing.T, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c, text)
	return c, bufio.NewReader(c)
}

// status reads a response and returns its status; 0 if there is none.
func status(r *bufio.Reader) int {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

func (s *testServer) expectReason(t *testing.T, want Reason) {
	t.Helper()
	select {
	case got := <-s.reasons:
		if got != want {
			t.Errorf("got reason %q, want %q", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Errorf("got no reason, want %q", want)
	}
}

var testPolicy = Policy{
	MaxFields: 500, MinProgress: 1 << 10, StallTime: 200 * time.Millisecond, EvictAfter: time.Hour, BodyTimeout: time.Second, BodyShare: 0.75,
}

func head(fields int) string {
	var b strings.Builder
	b.WriteString("GET / HTTP/1.1\r\nHost: x\r\n")
	for n := range fields {
		_, _ = fmt.Fprintf(&b, "X-%d: 1\r\n", n)
	}
	return b.String() + "\r\n"
}

// TestHeads guards against heads that are parsed although they are over the limits, and against a response to a later request of a
// connection, which may have run already.
func TestHeads(t *testing.T) {
	for name, c := range map[string]struct {
		limit int64
		// later is sent after the first response.
		text, later string
		statuses    []int
		reason      Reason
	}{
		"within the limits":           {1 << 20, head(400), "", []int{200}, ""},
		"too many fields":             {1 << 20, head(600), "", []int{431, 0}, TooManyFields},
		"too many fields, unfinished": {1 << 20, strings.TrimSuffix(head(600), "\r\n"), "", []int{431, 0}, TooManyFields},
		"no room":                     {connectionBytes + 40<<10, head(400), "", []int{503, 0}, NoRoomForHead},
		"no room for a later one":     {connectionBytes + 40<<10, head(1), head(400), []int{200, 0}, NoRoomForHead},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, c.limit, testPolicy, func(http.ResponseWriter, *http.Request) {})
			conn, r := s.send(t, c.text)
			ran := int64(0)
			for n, want := range c.statuses {
				if got := status(r); got != want {
					t.Errorf("got status %d for request %d, want %d", got, n, want)
				}
				if want == http.StatusOK {
					ran++
				}
				if n == 0 {
					_, _ = io.WriteString(conn, c.later)
				}
			}
			if c.reason != "" {
				s.expectReason(t, c.reason)
			}
			_ = conn.Close()
			for end := time.Now().Add(5 * time.Second); s.account.Used() != 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if got := s.account.Used(); got != 0 {
				t.Errorf("got %d bytes in use after the connection has been closed, want 0", got)
			}
			if got := s.requests.Load(); got != ran {
				t.Errorf("got %d requests at the handler, want %d", got, ran)
			}
		})
	}
}

// TestIdleConnections guards against a connection that is charged for a request that has ended, and against one that is not charged
// for the beginning of the next, which the server has read with the last.
func TestIdleConnections(t *testing.T) {
	begin := strings.TrimSuffix(head(100), "\r\n")
	for name, c := range map[string]struct {
		text string
		want int64
	}{
		"nothing more":              {head(20), connectionBytes},
		"two requests":              {head(20) + head(20), connectionBytes},
		"the beginning of the next": {head(20) + begin, connectionBytes + HeadCost(len(begin), 102)},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, 1<<20, testPolicy, func(http.ResponseWriter, *http.Request) {})
			s.send(t, c.text)
			for end := time.Now().Add(5 * time.Second); s.account.Used() != c.want; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("got %d bytes in use, want %d", s.account.Used(), c.want)
				}
			}
		})
	}
}

// TestStalls guards against connections that are kept although their callers neither send nor read, also where the handler does not
// read the body, and against closing those whose callers are slow but make progress.
func TestStalls(t *testing.T) {
	const post = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 40000\r\n\r\n"
	large := make([]byte, 32<<20)
	t.Run("unread body", func(t *testing.T) {
		s := newTestServer(t, 1<<20, testPolicy, func(http.ResponseWriter, *http.Request) {})
		_, r := s.send(t, post+"a")
		if got := status(r); got != http.StatusOK && got != 0 {
			t.Errorf("got status %d, want 200 or a closed connection", got)
		}
		if _, err := r.ReadByte(); err != io.EOF {
			t.Errorf("got %v, want the end of the connection", err)
		}
		s.expectReason(t, TooSlow)
	})
	t.Run("reader", func(t *testing.T) {
		s := newTestServer(t, 1<<20, testPolicy, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(large) })
		s.send(t, head(1))
		s.expectReason(t, TooSlow)
	})
	t.Run("slow sender that makes progress", func(t *testing.T) {
		s := newTestServer(t, 1<<20, testPolicy, func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprint(w, n)
		})
		c, r := s.send(t, post)
		for range 40 {
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, strings.Repeat("a", 1000))
		}
		if got := status(r); got != http.StatusOK {
			t.Errorf("got status %d after 0.8 s, want 200", got)
		}
	})
	t.Run("handler that takes long", func(t *testing.T) {
		s := newTestServer(t, 1<<20, testPolicy, func(http.ResponseWriter, *http.Request) { time.Sleep(3 * testPolicy.StallTime) })
		_, r := s.send(t, head(1))
		if got := status(r); got != http.StatusOK {
			t.Errorf("got status %d, want 200", got)
		}
	})
}

// TestReporter guards against a log that a crowd fills: one line a second for each reason, with the number since the last.
func TestReporter(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	r := NewReporter(meter.New(), zap.New(core))
	at := time.Unix(1000, 0)
	r.now = func() time.Time { return at }
	for range 10 {
		r.Report(TooSlow)
		r.Report(Evicted)
	}
	at = at.Add(reportInterval)
	r.Report(TooSlow)
	if got := logs.Len(); got != 3 {
		t.Fatalf("got %d lines, want 3", got)
	}
	if got := logs.All()[2].ContextMap()["count"]; got != int64(10) {
		t.Errorf("got count %v, want 10", got)
	}
}
