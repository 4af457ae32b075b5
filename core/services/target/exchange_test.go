package target_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"medlarpond.dev/core/services/target"
)

// startServer calls serve for each connection, with the connection's number.
func startServer(t *testing.T, serve func(c net.Conn, number int)) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for number := 0; ; number++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c, number)
			}()
		}
	}()
	return l.Addr().String()
}

// responseText returns a complete response to the request with the given ID.
func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// readRequest reads one request and returns its ID; false at the end of the connection.
func readRequest(r *bufio.Reader) (string, bool) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get("Request-Id"), true
}

// serveEach calls serve with the ID and the number of each request on a connection, until serve returns false or the
// connection ends.
func serveEach(c net.Conn, serve func(id string, n int) bool) {
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		if id, ok := readRequest(r); !ok || !serve(id, n) {
			return
		}
	}
}

func newExchange(address, id string) target.Exchange {
	return target.Exchange{
		Address: address, IDHeader: "Request-Id", ID: id, Deadline: time.Now().Add(2 * time.Second), MaxIdle: time.Second,
		Request: target.Request{
			Method: http.MethodPost, URI: "/x?y=%20", Host: "shop.example", Header: http.Header{"Request-Id": {id}},
			Body: []byte("body"), Length: 4,
		},
	}
}

func TestResponseMatchesRequest(t *testing.T) {
	for name, c := range map[string]struct {
		// script responds to the n-th request of a connection.
		script func(c net.Conn, id string, n int)
		// want is the body of the second response; empty for an error.
		want string
	}{
		"plain": {func(c net.Conn, id string, _ int) { _, _ = io.WriteString(c, responseText(id, id)) }, "second"},
		"duplicate response": {func(c net.Conn, id string, _ int) {
			_, _ = io.WriteString(c, responseText(id, id)+responseText(id, id))
		}, "second"},
		"mismatched response before the matching one": {func(c net.Conn, id string, _ int) {
			_, _ = io.WriteString(c, responseText("other", "wrong")+responseText(id, id))
		}, "second"},
		"only a mismatched response": {func(c net.Conn, id string, _ int) {
			if id == "second" {
				_, _ = io.WriteString(c, responseText("other", "wrong"))
				_ = c.Close()
				return
			}
			_, _ = io.WriteString(c, responseText(id, id))
		}, ""},
		"response without an ID": {func(c net.Conn, id string, _ int) {
			if id == "second" {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
				_ = c.Close()
				return
			}
			_, _ = io.WriteString(c, responseText(id, id))
		}, ""},
		"truncated response": {func(c net.Conn, id string, _ int) {
			if id == "second" {
				_, _ = io.WriteString(c, strings.TrimSuffix(responseText(id, id), "nd"))
				_ = c.Close()
				return
			}
			_, _ = io.WriteString(c, responseText(id, id))
		}, ""},
		"bytes that are not a response": {func(c net.Conn, id string, _ int) {
			if id == "second" {
				_, _ = io.WriteString(c, "\x00\x01garbage\r\n\r\n")
				return
			}
			_, _ = io.WriteString(c, responseText(id, id))
		}, ""},
		"response delimited by connection close": {func(c net.Conn, id string, _ int) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nConnection: close\r\n\r\n"+id)
			_ = c.Close()
		}, "second"},
		"connection reset at the end of the response": {func(c net.Conn, id string, _ int) {
			if id == "second" {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\n\r\n"+id)
				time.Sleep(20 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
				return
			}
			_, _ = io.WriteString(c, responseText(id, id))
		}, ""},
		"interim response": {func(c net.Conn, id string, _ int) {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"+responseText(id, id))
		}, "second"},
	} {
		t.Run(name, func(t *testing.T) {
			address := startServer(t, func(conn net.Conn, _ int) {
				serveEach(conn, func(id string, n int) bool {
					c.script(conn, id, n)
					return true
				})
			})
			p := target.NewPool()
			if _, err := p.Do(t.Context(), newExchange(address, "first")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(30 * time.Millisecond)
			response, err := p.Do(t.Context(), newExchange(address, "second"))
			if c.want == "" {
				var interrupted *target.ErrInterrupted
				if !errors.As(err, &interrupted) {
					t.Errorf("got error %v, want *ErrInterrupted", err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if string(response.Body) != c.want {
				t.Errorf("got body %q, want %q", response.Body, c.want)
			}
		})
	}
}

func TestNoRetryAfterConnectionClose(t *testing.T) {
	var requests atomic.Int64
	address := startServer(t, func(c net.Conn, _ int) {
		if _, ok := readRequest(bufio.NewReader(c)); ok {
			requests.Add(1)
		}
	})
	p := target.NewPool()
	if _, err := p.Do(t.Context(), newExchange(address, "x")); err == nil {
		t.Fatal("got no error, want one after the target closed the connection")
	}
	if n := requests.Load(); n != 1 {
		t.Errorf("got %d requests at the target, want 1", n)
	}
}

func TestClosedIdleConnectionNotReused(t *testing.T) {
	address := startServer(t, func(c net.Conn, _ int) {
		if id, ok := readRequest(bufio.NewReader(c)); ok {
			_, _ = io.WriteString(c, responseText(id, id))
		}
	})
	p := target.NewPool()
	for _, id := range []string{"a", "b", "c"} {
		if _, err := p.Do(t.Context(), newExchange(address, id)); err != nil {
			t.Errorf("request %s: got error %v, want none", id, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestMaxIdle checks that a connection that is idle for longer than MaxIdle is not used, but stays available to other
// requests.
func TestMaxIdle(t *testing.T) {
	var connections atomic.Int64
	address := startServer(t, func(c net.Conn, number int) {
		connections.Add(1)
		serveEach(c, func(id string, _ int) bool {
			_, _ = io.WriteString(c, responseText(id, id))
			return number == 0
		})
	})
	p := target.NewPool()
	for _, x := range []struct {
		id      string
		maxIdle time.Duration
	}{{"a", time.Second}, {"b", 10 * time.Millisecond}, {"c", time.Second}} {
		e := newExchange(address, x.id)
		e.MaxIdle = x.maxIdle
		if _, err := p.Do(t.Context(), e); err != nil {
			t.Errorf("request %s: got error %v, want none", x.id, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if n := connections.Load(); n != 2 {
		t.Errorf("got %d connections, want 2", n)
	}
}

// TestStaleConnections uses a target that serves each connection once and resets it at the next byte, like a target
// that has dropped an idle connection. Only the first non-idempotent request may be lost to this.
func TestStaleConnections(t *testing.T) {
	address := startServer(t, func(c net.Conn, _ int) {
		r := bufio.NewReader(c)
		if id, ok := readRequest(r); ok {
			_, _ = io.WriteString(c, responseText(id, id))
		}
		_, _ = r.ReadByte()
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	p := target.NewPool()
	failures := 0
	// The first idle time is short, so that the safe idle age learned from it stays below the later ones on a busy
	// machine too.
	pause := 100 * time.Millisecond
	for n := range 7 {
		e := newExchange(address, fmt.Sprint(n))
		e.NonIdempotent = true
		if _, err := p.Do(t.Context(), e); err != nil {
			failures++
		}
		time.Sleep(pause)
		pause = 400 * time.Millisecond
	}
	if failures != 1 {
		t.Errorf("got %d of 7 requests lost on stale connections, want 1", failures)
	}
	// An idempotent request still uses idle connections.
	e := newExchange(address, "idempotent")
	if _, err := p.Do(t.Context(), e); err == nil {
		t.Error("got no error, want one from the stale idle connection")
	}
}

// TestLateResetIsNotStaleConnection resets a connection while the target processes a request. This must not lower the
// safe idle age.
func TestLateResetIsNotStaleConnection(t *testing.T) {
	var connections atomic.Int64
	address := startServer(t, func(c net.Conn, number int) {
		connections.Add(1)
		serveEach(c, func(id string, n int) bool {
			if number == 0 && n == 1 {
				time.Sleep(200 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
				return false
			}
			_, _ = io.WriteString(c, responseText(id, id))
			return true
		})
	})
	p := target.NewPool()
	for n := range 6 {
		e := newExchange(address, fmt.Sprint(n))
		e.NonIdempotent = true
		if _, err := p.Do(t.Context(), e); (err != nil) != (n == 1) {
			t.Errorf("request %d: got error %v, want one only for request 1", n, err)
		}
		time.Sleep(250 * time.Millisecond)
	}
	if n := connections.Load(); n != 2 {
		t.Errorf("got %d connections, want 2: a late reset must not lower the safe idle age", n)
	}
}

func TestConnectionRefused(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	if _, err := target.NewPool().Do(t.Context(), newExchange(address, "x")); !target.IsNotSent(err) {
		t.Errorf("got error %v, want *ErrNotSent", err)
	}
}

func TestDeadline(t *testing.T) {
	address := startServer(t, func(c net.Conn, _ int) { _, _ = io.Copy(io.Discard, c) })
	x := newExchange(address, "x")
	x.Deadline = time.Now().Add(100 * time.Millisecond)
	began := time.Now()
	_, err := target.NewPool().Do(t.Context(), x)
	var interrupted *target.ErrInterrupted
	if took := time.Since(began); !errors.As(err, &interrupted) || took > time.Second {
		t.Errorf("got error %v after %v, want *ErrInterrupted after 100ms", err, took)
	}
}

func TestCancelClosesConnection(t *testing.T) {
	ended := make(chan struct{})
	address := startServer(t, func(c net.Conn, _ int) {
		_, _ = io.Copy(io.Discard, c)
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	began := time.Now()
	if _, err := target.NewPool().Do(ctx, newExchange(address, "x")); err == nil {
		t.Error("got no error, want one after the context was cancelled")
	}
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("Do returned after %v, want at most 500ms, since the context was cancelled after 50ms", took)
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("connection to the target stayed open after the context was cancelled")
	}
}

func TestConnectionWithMismatchedResponseNotReused(t *testing.T) {
	var connections atomic.Int64
	address := startServer(t, func(c net.Conn, _ int) {
		connections.Add(1)
		serveEach(c, func(id string, _ int) bool {
			_, _ = io.WriteString(c, responseText("other", "wrong")+responseText(id, id))
			return true
		})
	})
	p := target.NewPool()
	for _, id := range []string{"a", "b", "c"} {
		if _, err := p.Do(t.Context(), newExchange(address, id)); err != nil {
			t.Fatal(err)
		}
	}
	if n := connections.Load(); n != 3 {
		t.Errorf("got %d connections for three requests with mismatched responses, want 3", n)
	}
}

// TestEarlyResponse uses a target that responds before it has read a long body and then reads on. It must not receive
// bytes of the next request.
func TestEarlyResponse(t *testing.T) {
	var foreignBytes atomic.Bool
	address := startServer(t, func(c net.Conn, _ int) {
		r := bufio.NewReader(c)
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, responseText(request.Header.Get("Request-Id"), "early"))
		time.Sleep(50 * time.Millisecond)
		body, _ := io.ReadAll(request.Body)
		if strings.Trim(string(body), "b") != "" || r.Buffered() > 0 {
			foreignBytes.Store(true)
		}
	})
	p := target.NewPool()
	for _, id := range []string{"first", "second"} {
		x := newExchange(address, id)
		x.Request.Body = []byte(strings.Repeat("b", 8<<20))
		x.Request.Length = int64(len(x.Request.Body))
		response, err := p.Do(t.Context(), x)
		if err != nil || string(response.Body) != "early" {
			t.Fatalf("request %s: got error %v or an unexpected body, want the body early", id, err)
		}
	}
	time.Sleep(200 * time.Millisecond)
	if foreignBytes.Load() {
		t.Error("the target received bytes of another request as part of a body")
	}
}

func TestLargeBodiesStream(t *testing.T) {
	const size = 3 << 20
	address := startServer(t, func(c net.Conn, _ int) {
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		n, _ := io.Copy(io.Discard, request.Body)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: x\r\nContent-Length: %d\r\n\r\n", n)
		_, _ = io.CopyN(c, zeros{}, n)
	})
	for name, length := range map[string]int64{"content length": size, "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			x := newExchange(address, "x")
			x.Request.Body = make([]byte, 1024)
			x.Request.Rest = io.LimitReader(zeros{}, size-1024)
			x.Request.Length = length
			response, err := target.NewPool().Do(t.Context(), x)
			if err != nil {
				t.Fatal(err)
			}
			if response.Rest == nil {
				t.Fatal("got a large response without Rest, want it streamed")
			}
			rest, err := io.Copy(io.Discard, response.Rest)
			_ = response.Rest.Close()
			if got := int64(len(response.Body)) + rest; got != size || err != nil {
				t.Errorf("got a response of %d bytes, want %d (error: %v)", got, size, err)
			}
		})
	}
}

type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestLateCopyOfSameRequest sends a request twice to a target that sheds the first attempt and sends a second copy of that
// response late, when the connection is in use again. The copy has the ID of the request, as both attempts have the same;
// taken for the response to the second attempt, it would say "not run" of an attempt that runs.
func TestLateCopyOfSameRequest(t *testing.T) {
	const shed = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n"
	address := startServer(t, func(c net.Conn, number int) {
		serveEach(c, func(id string, n int) bool {
			if number == 0 && n == 0 {
				_, _ = io.WriteString(c, shed)
				return true
			}
			if number == 0 && id == "r" {
				_, _ = io.WriteString(c, shed)
			}
			_, _ = io.WriteString(c, responseText(id, id))
			return true
		})
	})
	p := target.NewPool()
	for n, want := range []int{http.StatusServiceUnavailable, http.StatusOK, http.StatusOK} {
		response, err := p.Do(t.Context(), newExchange(address, "r"))
		if err != nil {
			t.Fatal(err)
		}
		if response.Status != want {
			t.Errorf("attempt %d: got status %d, want %d", n+1, response.Status, want)
		}
	}
}

// TestLateCopyOfEarlierRefusal lets a target refuse a request, serve others on the same connection, and write the refusal once
// more when the first request comes again. Taken for the response, it would say "not run" of an attempt that runs.
func TestLateCopyOfEarlierRefusal(t *testing.T) {
	refusal := func(id string) string {
		return "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
	}
	for name, c := range map[string]struct{ id, between string }{
		"another request in between":     {"r", "other"},
		"requests without an ID":         {"", ""},
		"a request without an ID, later": {"", "other"},
	} {
		t.Run(name, func(t *testing.T) {
			address := startServer(t, func(conn net.Conn, number int) {
				serveEach(conn, func(id string, n int) bool {
					switch {
					case number == 0 && n == 0:
						_, _ = io.WriteString(conn, refusal(id))
					case id == c.id && n > 0:
						_, _ = io.WriteString(conn, refusal(id)+responseText(id, id))
					default:
						_, _ = io.WriteString(conn, responseText(id, id))
					}
					return true
				})
			})
			p := target.NewPool()
			for n, id := range []string{c.id, c.between, c.id} {
				response, err := p.Do(t.Context(), newExchange(address, id))
				if err != nil {
					t.Fatal(err)
				}
				if want := http.StatusOK; n > 0 && response.Status != want {
					t.Errorf("request %d, %q: got status %d, want %d", n+1, id, response.Status, want)
				}
			}
		})
	}
}

// TestTargetReadsLargeBodyLate sends an upload to a target that reads nothing for a while, as the request waits in its queue.
// The connection must not be given up for that before the deadline.
func TestTargetReadsLargeBodyLate(t *testing.T) {
	const size, wait = 100 << 10, 1500 * time.Millisecond
	address := startServer(t, func(c net.Conn, _ int) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		time.Sleep(wait)
		serveEach(c, func(id string, _ int) bool {
			_, err := io.WriteString(c, responseText(id, "done"))
			return err == nil
		})
	})
	p := target.NewPool()
	for _, streamed := range []bool{false, true} {
		x := newExchange(address, fmt.Sprint("streamed-", streamed))
		x.Deadline = time.Now().Add(10 * time.Second)
		x.Request.Body, x.Request.Length = make([]byte, size), size
		if streamed {
			x.Request.Body, x.Request.Rest = make([]byte, 1024), io.LimitReader(zeros{}, size-1024)
		}
		if response, err := p.Do(t.Context(), x); err != nil || string(response.Body) != "done" {
			t.Errorf("streamed %t: got %v, %v; want the response of the target", streamed, response, err)
		}
	}
}

// TestTargetStopsReading checks that an upload to a target which stops reading for good ends at its deadline.
func TestTargetStopsReading(t *testing.T) {
	address := startServer(t, func(c net.Conn, _ int) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		time.Sleep(5 * time.Second)
	})
	x := newExchange(address, "x")
	x.Deadline = time.Now().Add(time.Second)
	x.Request.Body, x.Request.Rest, x.Request.Length = make([]byte, 1024), io.LimitReader(zeros{}, 64<<20), 1024+64<<20
	started := time.Now()
	_, err := target.NewPool().Do(t.Context(), x)
	var interrupted *target.ErrInterrupted
	if took := time.Since(started); !errors.As(err, &interrupted) || took > 1500*time.Millisecond {
		t.Errorf("got error %v after %v, want an unknown outcome after 1s", err, took)
	}
}
