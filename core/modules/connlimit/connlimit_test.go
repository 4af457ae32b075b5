package connlimit_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"medlarpond.dev/core/modules/connlimit"
)

// testServer is a server with bounded connections.
type testServer struct {
	limiter *connlimit.Limiter
	address string
	limits  atomic.Pointer[connlimit.Limits]
	// release ends the requests for /wait.
	release chan struct{}
	mu      sync.Mutex
	closed  map[string]int
}

func newTestServer(t *testing.T, maxConnections int, limits connlimit.Limits) *testServer {
	t.Helper()
	s := &testServer{release: make(chan struct{}), closed: map[string]int{}}
	s.limits.Store(&limits)
	s.limiter = connlimit.New(maxConnections, func() connlimit.Limits { return *s.limits.Load() }, func(reason string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.closed[reason]++
	})
	server := &http.Server{MaxHeaderBytes: 1 << 20, ConnState: s.limiter.ConnState, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-s.release
		}
		_, _ = io.Copy(io.Discard, r.Body)
	})}
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = s.limiter.Run(ctx) }()
	go func() { _ = server.Serve(s.limiter.Listener(l)) }()
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
	})
	return s
}

func (s *testServer) count(reason string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed[reason]
}

// client is a connection to the server.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (s *testServer) open(t *testing.T) *client {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &client{Conn: c, reader: bufio.NewReader(c)}
}

// request sends a request and returns the status of its response, zero if there is none.
func (c *client) request(path, field string) int {
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n%s\r\n", path, field)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// isClosed reports whether the server closes the connection within a time.
func (c *client) isClosed(within time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(within))
	defer func() { _ = c.SetReadDeadline(time.Now().Add(10 * time.Second)) }()
	_, err := c.reader.Peek(1)
	timeout, ok := err.(net.Error) //nolint:errorlint // the error of a connection
	return err != nil && (!ok || !timeout.Timeout())
}

// TestIdleConnectionsAreClosedAtTheLimit checks that a connection can be used until four fifths of the limit, as callers do, and
// that a limit which changes applies to connections that are open.
func TestIdleConnectionsAreClosedAtTheLimit(t *testing.T) {
	const idle = time.Second
	s := newTestServer(t, 100, connlimit.Limits{Idle: time.Hour})
	c := s.open(t)
	if status := c.request("/", ""); status != http.StatusOK {
		t.Fatalf("got status %d, want 200", status)
	}
	s.limits.Store(&connlimit.Limits{Idle: idle})
	for range 2 {
		time.Sleep(idle * 4 / 5)
		if status := c.request("/", ""); status != http.StatusOK {
			t.Fatalf("got status %d after four fifths of the idle timeout, want 200", status)
		}
	}
	if c.isClosed(idle * 9 / 10) {
		t.Error("the connection is closed before the idle timeout")
	}
	if !c.isClosed(time.Second) || s.count(connlimit.ReasonIdle) != 1 {
		t.Error("the connection is still open after the idle timeout, or closed for another reason")
	}
}

// TestOldestIdleConnectionMakesRoom opens more connections than permitted. Those without a request are closed, the one that has
// been idle for longest first, and never one with a request in it. Without any, a new one waits and readiness is withdrawn.
func TestOldestIdleConnectionMakesRoom(t *testing.T) {
	s := newTestServer(t, 3, connlimit.Limits{})
	var busy sync.WaitGroup
	statuses := make(chan int, 3)
	wait := func(c *client) {
		busy.Go(func() { statuses <- c.request("/wait", "") })
		time.Sleep(50 * time.Millisecond)
	}
	first, older, newer := s.open(t), s.open(t), s.open(t)
	wait(first)
	for _, c := range []*client{older, newer} {
		if status := c.request("/", ""); status != http.StatusOK {
			t.Fatalf("got status %d, want 200", status)
		}
		time.Sleep(50 * time.Millisecond)
	}
	next := s.open(t)
	if status := next.request("/", ""); status != http.StatusOK {
		t.Fatalf("got status %d on a further connection, want 200", status)
	}
	if !older.isClosed(time.Second) || newer.isClosed(50*time.Millisecond) {
		t.Error("the connection that has been idle for longest is open, or another one is closed")
	}
	wait(newer)
	wait(next)
	last := s.open(t)
	served := make(chan int, 1)
	go func() { served <- last.request("/", "") }()
	select {
	case status := <-served:
		t.Fatalf("got status %d on a connection over the bound while the others have requests", status)
	case <-time.After(200 * time.Millisecond):
	}
	if s.limiter.CanAccept() {
		t.Error("the server says that it accepts connections while it does not")
	}
	close(s.release)
	busy.Wait()
	for range 3 {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("got status %d for a request on a connection that was to stay open, want 200", status)
		}
	}
	if status := <-served; status != http.StatusOK || !s.limiter.CanAccept() {
		t.Errorf("got status %d and accepting %v once there is room, want 200 and true", status, s.limiter.CanAccept())
	}
	if open := s.limiter.Open(); open > 3 {
		t.Errorf("got %d open connections, want at most 3", open)
	}
}

// TestSlowAndLargeHeaders checks the limits on header sections, which apply to the requests of open connections as well.
func TestSlowAndLargeHeaders(t *testing.T) {
	s := newTestServer(t, 100, connlimit.Limits{Header: 300 * time.Millisecond, HeaderBytes: 16 << 10})
	large, slow, silent := s.open(t), s.open(t), s.open(t)
	for _, c := range []*client{large, slow} {
		if status := c.request("/", "X: "+strings.Repeat("x", 15<<10)+"\r\n"); status != http.StatusOK {
			t.Fatalf("got status %d for a header section within the limit, want 200", status)
		}
	}
	if status := large.request("/", "X: "+strings.Repeat("x", 64<<10)+"\r\n"); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("got status %d for a header section over the limit, want 431", status)
	}
	_, _ = io.WriteString(slow, "GET / HTTP/1.1\r\n")
	if !slow.isClosed(time.Second) || !silent.isClosed(time.Second) || s.count(connlimit.ReasonHeaderTimeout) != 2 {
		t.Error("a connection whose header section does not arrive is open after the timeout, or closed for another reason")
	}
	idle := s.open(t)
	if status := idle.request("/", ""); status != http.StatusOK || idle.isClosed(600*time.Millisecond) {
		t.Errorf("got status %d, or a connection without a request that is closed by the timeout of header sections", status)
	}
	s.limits.Store(&connlimit.Limits{HeaderBytes: 256 << 10})
	if status := idle.request("/", "X: "+strings.Repeat("x", 64<<10)+"\r\n"); status != http.StatusOK {
		t.Errorf("got status %d after the limit was raised, want 200", status)
	}
}
