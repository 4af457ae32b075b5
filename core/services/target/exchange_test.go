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

// rawServer serves each connection by a script.
func rawServer(t *testing.T, serve func(c net.Conn, number int)) string {
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

// answer is a whole answer to a request with the given ID.
func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// read reads one request and returns its ID; false at the end of the connection.
func read(r *bufio.Reader) (string, bool) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get("Request-Id"), true
}

// serveEach passes the ID of each request of a connection and its number to serve, until serve returns false or the
// connection ends.
func serveEach(c net.Conn, serve func(id string, n int) bool) {
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		if id, ok := read(r); !ok || !serve(id, n) {
			return
		}
	}
}

func exchange(address, id string) target.Exchange {
	return target.Exchange{
		Address: address, IDHeader: "Request-Id", ID: id, Deadline: time.Now().Add(2 * time.Second), MaxIdle: time.Second,
		Message: target.Message{
			Method: http.MethodPost, URI: "/x?y=%20", Host: "shop.example", Header: http.Header{"Request-Id": {id}},
			Body: []byte("body"), Length: 4,
		},
	}
}

func TestAnswersGoToTheirRequests(t *testing.T) {
	for name, c := range map[string]struct {
		// script answers the n-th request of a connection.
		script func(c net.Conn, id string, n int)
		// want is the body of the second answer; empty for an error.
		want string
	}{
		"plain": {func(c net.Conn, id string, _ int) { _, _ = io.WriteString(c, answer(id, id)) }, "second"},
		"doubled answer": {func(c net.Conn, id string, _ int) {
			_, _ = io.WriteString(c, answer(id, id)+answer(id, id))
		}, "second"},
		"late stray before the answer": {func(c net.Conn, id string, _ int) {
			_, _ = io.WriteString(c, answer("stray", "wrong")+answer(id, id))
		}, "second"},
		"only a stray": {func(c net.Conn, id string, _ int) {
			if id == "second" {
				_, _ = io.WriteString(c, answer("stray", "wrong"))
				_ = c.Close()
				return
			}
			_, _ = io.WriteString(c, answer(id, id))
		}, ""},
		"answer without an ID": {func(c net.Conn, id string, _ int) {
			if id == "second" {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
				_ = c.Close()
				return
			}
			_, _ = io.WriteString(c, answer(id, id))
		}, ""},
		"answer that breaks off": {func(c net.Conn, id string, _ int) {
			if id == "second" {
				_, _ = io.WriteString(c, strings.TrimSuffix(answer(id, id), "nd"))
				_ = c.Close()
				return
			}
			_, _ = io.WriteString(c, answer(id, id))
		}, ""},
		"bytes that are no answer": {func(c net.Conn, id string, _ int) {
			if id == "second" {
				_, _ = io.WriteString(c, "\x00\x01garbage\r\n\r\n")
				return
			}
			_, _ = io.WriteString(c, answer(id, id))
		}, ""},
		"answer that ends with its connection": {func(c net.Conn, id string, _ int) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nConnection: close\r\n\r\n"+id)
			_ = c.Close()
		}, "second"},
		"answer that is reset at its end": {func(c net.Conn, id string, _ int) {
			if id == "second" {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\n\r\n"+id)
				time.Sleep(20 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
				return
			}
			_, _ = io.WriteString(c, answer(id, id))
		}, ""},
		"interim answers": {func(c net.Conn, id string, _ int) {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"+answer(id, id))
		}, "second"},
	} {
		t.Run(name, func(t *testing.T) {
			address := rawServer(t, func(conn net.Conn, _ int) {
				serveEach(conn, func(id string, n int) bool {
					c.script(conn, id, n)
					return true
				})
			})
			p := target.NewPool()
			if _, err := p.Do(t.Context(), exchange(address, "first")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(30 * time.Millisecond)
			a, err := p.Do(t.Context(), exchange(address, "second"))
			if c.want == "" {
				var broken *target.ErrBroken
				if !errors.As(err, &broken) {
					t.Errorf("error is %v, want ErrBroken", err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if string(a.Body) != c.want {
				t.Errorf("body %q, want %q", a.Body, c.want)
			}
		})
	}
}

func TestNothingIsSentTwice(t *testing.T) {
	var requests atomic.Int64
	address := rawServer(t, func(c net.Conn, _ int) {
		if _, ok := read(bufio.NewReader(c)); ok {
			requests.Add(1)
		}
	})
	p := target.NewPool()
	if _, err := p.Do(t.Context(), exchange(address, "x")); err == nil {
		t.Fatal("no error although the target hung up")
	}
	if n := requests.Load(); n != 1 {
		t.Errorf("the target got %d requests, want 1", n)
	}
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	address := rawServer(t, func(c net.Conn, _ int) {
		if id, ok := read(bufio.NewReader(c)); ok {
			_, _ = io.WriteString(c, answer(id, id))
		}
	})
	p := target.NewPool()
	for _, id := range []string{"a", "b", "c"} {
		if _, err := p.Do(t.Context(), exchange(address, id)); err != nil {
			t.Errorf("request %s: %v", id, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestOldConnectionIsLeftToOthers sends a request that must not use a connection as old as the idle one.
func TestOldConnectionIsLeftToOthers(t *testing.T) {
	var connections atomic.Int64
	address := rawServer(t, func(c net.Conn, number int) {
		connections.Add(1)
		serveEach(c, func(id string, _ int) bool {
			_, _ = io.WriteString(c, answer(id, id))
			return number == 0
		})
	})
	p := target.NewPool()
	for _, x := range []struct {
		id      string
		maxIdle time.Duration
	}{{"a", time.Second}, {"b", 10 * time.Millisecond}, {"c", time.Second}} {
		e := exchange(address, x.id)
		e.MaxIdle = x.maxIdle
		if _, err := p.Do(t.Context(), e); err != nil {
			t.Errorf("request %s: %v", x.id, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if n := connections.Load(); n != 2 {
		t.Errorf("%d connections were opened, want 2", n)
	}
}

// TestForgottenConnections serves each connection once and then answers whatever comes on it by a reset, as a target does
// that has forgotten it.
func TestForgottenConnections(t *testing.T) {
	address := rawServer(t, func(c net.Conn, _ int) {
		r := bufio.NewReader(c)
		if id, ok := read(r); ok {
			_, _ = io.WriteString(c, answer(id, id))
		}
		_, _ = r.ReadByte()
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	p := target.NewPool()
	lost := 0
	// The first pause is short, so that what is learnt from it stays below the others on a busy machine too.
	pause := 100 * time.Millisecond
	for n := range 7 {
		e := exchange(address, fmt.Sprint(n))
		e.Once = true
		if _, err := p.Do(t.Context(), e); err != nil {
			lost++
		}
		time.Sleep(pause)
		pause = 400 * time.Millisecond
	}
	if lost != 1 {
		t.Errorf("%d of 7 requests were lost on connections that the target had forgotten, want 1", lost)
	}
	// A request that may be repeated still tries them.
	e := exchange(address, "repeatable")
	if _, err := p.Do(t.Context(), e); err == nil {
		t.Error("an idle connection was not used")
	}
}

// TestCrashIsNoForgottenConnection breaks connections while the target is at work.
func TestCrashIsNoForgottenConnection(t *testing.T) {
	var connections atomic.Int64
	address := rawServer(t, func(c net.Conn, number int) {
		connections.Add(1)
		serveEach(c, func(id string, n int) bool {
			if number == 0 && n == 1 {
				time.Sleep(200 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
				return false
			}
			_, _ = io.WriteString(c, answer(id, id))
			return true
		})
	})
	p := target.NewPool()
	for n := range 6 {
		e := exchange(address, fmt.Sprint(n))
		e.Once = true
		if _, err := p.Do(t.Context(), e); (err != nil) != (n == 1) {
			t.Errorf("request %d: %v", n, err)
		}
		time.Sleep(250 * time.Millisecond)
	}
	if n := connections.Load(); n != 2 {
		t.Errorf("%d connections, want 2: the crash must not cost trust in the others", n)
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	if _, err := target.NewPool().Do(t.Context(), exchange(address, "x")); !target.IsNotSent(err) {
		t.Errorf("error is %v, want ErrNotSent", err)
	}
}

func TestSilentTargetEndsAtTheDeadline(t *testing.T) {
	address := rawServer(t, func(c net.Conn, _ int) { _, _ = io.Copy(io.Discard, c) })
	x := exchange(address, "x")
	x.Deadline = time.Now().Add(100 * time.Millisecond)
	began := time.Now()
	_, err := target.NewPool().Do(t.Context(), x)
	var broken *target.ErrBroken
	if took := time.Since(began); !errors.As(err, &broken) || took > time.Second {
		t.Errorf("error %v after %v, want ErrBroken after 100ms", err, took)
	}
}

func TestCancelledAttemptEndsAtTheTarget(t *testing.T) {
	ended := make(chan struct{})
	address := rawServer(t, func(c net.Conn, _ int) {
		_, _ = io.Copy(io.Discard, c)
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	began := time.Now()
	if _, err := target.NewPool().Do(ctx, exchange(address, "x")); err == nil {
		t.Error("no error although the caller left")
	}
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("the attempt ends %v after its begin, the caller left after 50ms", took)
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the target's connection stays open after the caller has left")
	}
}

func TestConnectionWithAStrayIsNotUsedAgain(t *testing.T) {
	var connections atomic.Int64
	address := rawServer(t, func(c net.Conn, _ int) {
		connections.Add(1)
		serveEach(c, func(id string, _ int) bool {
			_, _ = io.WriteString(c, answer("stray", "wrong")+answer(id, id))
			return true
		})
	})
	p := target.NewPool()
	for _, id := range []string{"a", "b", "c"} {
		if _, err := p.Do(t.Context(), exchange(address, id)); err != nil {
			t.Fatal(err)
		}
	}
	if n := connections.Load(); n != 3 {
		t.Errorf("%d connections for three requests, each with a stray, want 3", n)
	}
}

// TestEarlyAnswer has a target that answers before it has read a long body and reads on: it must get no other bytes.
func TestEarlyAnswer(t *testing.T) {
	var other atomic.Bool
	address := rawServer(t, func(c net.Conn, _ int) {
		r := bufio.NewReader(c)
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer(request.Header.Get("Request-Id"), "early"))
		time.Sleep(50 * time.Millisecond)
		body, _ := io.ReadAll(request.Body)
		if strings.Trim(string(body), "b") != "" || r.Buffered() > 0 {
			other.Store(true)
		}
	})
	p := target.NewPool()
	for _, id := range []string{"first", "second"} {
		x := exchange(address, id)
		x.Message.Body = []byte(strings.Repeat("b", 8<<20))
		x.Message.Length = int64(len(x.Message.Body))
		a, err := p.Do(t.Context(), x)
		if err != nil || string(a.Body) != "early" {
			t.Fatalf("request %s: %v", id, err)
		}
	}
	time.Sleep(200 * time.Millisecond)
	if other.Load() {
		t.Error("the target got bytes of another request as the rest of a body")
	}
}

func TestLongBodiesStream(t *testing.T) {
	const size = 3 << 20
	address := rawServer(t, func(c net.Conn, _ int) {
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		n, _ := io.Copy(io.Discard, request.Body)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: x\r\nContent-Length: %d\r\n\r\n", n)
		_, _ = io.CopyN(c, zeros{}, n)
	})
	for name, length := range map[string]int64{"with a length": size, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			x := exchange(address, "x")
			x.Message.Body = make([]byte, 1024)
			x.Message.Rest = io.LimitReader(zeros{}, size-1024)
			x.Message.Length = length
			a, err := target.NewPool().Do(t.Context(), x)
			if err != nil {
				t.Fatal(err)
			}
			if a.Rest == nil {
				t.Fatal("a long answer is held in memory")
			}
			rest, err := io.Copy(io.Discard, a.Rest)
			_ = a.Rest.Close()
			if got := int64(len(a.Body)) + rest; got != size || err != nil {
				t.Errorf("the answer has %d bytes, want %d: %v", got, size, err)
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
