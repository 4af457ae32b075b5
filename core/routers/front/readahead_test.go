package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// pipeline is a connection of a caller that sends requests without waiting for responses.
type pipeline struct {
	net.Conn
	reader *bufio.Reader
}

func (s *testInstance) pipeline(t *testing.T) *pipeline {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &pipeline{Conn: c, reader: bufio.NewReader(c)}
}

// requestText returns a request with the given ID.
func requestText(method, path, id, body string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\nAuthorization: Bearer secret-key\r\n", method, path, headers.RequestID, id)
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

func (p *pipeline) send(t *testing.T, texts ...string) {
	t.Helper()
	if _, err := io.WriteString(p, strings.Join(texts, "")); err != nil {
		t.Fatal(err)
	}
}

// expect reads a response and checks its status and the ID of its request.
func (p *pipeline) expect(t *testing.T, status int, id string) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(p.reader, nil)
	if err != nil {
		t.Fatalf("response to request %q: %v", id, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("response to request %q: %v", id, err)
	}
	if got := response.Header.Get(headers.RequestID); response.StatusCode != status || (status == http.StatusOK && got != id) {
		t.Fatalf("got status %d for request %q, want %d for %q; body %q", response.StatusCode, got, status, id, body)
	}
	return response
}

// TestPipelinedRequestsAreHandledTogether sends several requests before the first response. They must run at the same
// time, so that a slow one does not use up the time of those behind it, and the responses must come in order.
func TestPipelinedRequestsAreHandledTogether(t *testing.T) {
	const count, slow = 6, 300 * time.Millisecond
	for name, pause := range map[string]time.Duration{"in one packet": 0, "one after the other": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			s := newInstance(t, count, func(w http.ResponseWriter, _ *http.Request, _ int) {
				time.Sleep(slow)
				w.Header().Set(headers.Seal, "sealed")
			})
			s.keepConfirmed(t)
			p := s.pipeline(t)
			for round := range 3 {
				started := time.Now()
				var texts []string
				for n := range count {
					text := requestText(http.MethodGet, "/read/x", fmt.Sprint(round, "-", n), "")
					if texts = append(texts, text); pause > 0 {
						p.send(t, text)
						time.Sleep(pause)
					}
				}
				if pause == 0 {
					p.send(t, texts...)
				}
				for n := range count {
					p.expect(t, http.StatusOK, fmt.Sprint(round, "-", n))
				}
				if took := time.Since(started); took > 3*slow {
					t.Errorf("round %d: %d requests of %v took %v, want less than %v", round, count, slow, took, 3*slow)
				}
			}
			if got := len(s.receivedRequests()); got != 3*count {
				t.Errorf("targets received %d requests, want %d", got, 3*count)
			}
		})
	}
}

// TestPipelineIsBounded checks that a caller cannot make an instance handle any number of requests of one connection at
// once.
func TestPipelineIsBounded(t *testing.T) {
	var running, most atomic.Int64
	s := newInstance(t, 30, func(w http.ResponseWriter, _ *http.Request, _ int) {
		n := running.Add(1)
		defer running.Add(-1)
		for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
		}
		time.Sleep(100 * time.Millisecond)
		w.Header().Set(headers.Seal, "sealed")
	})
	s.keepConfirmed(t)
	p := s.pipeline(t)
	const count = 40
	go func() {
		for n := range count {
			_, _ = io.WriteString(p, requestText(http.MethodGet, "/read/x", fmt.Sprint(n), ""))
		}
	}()
	for n := range count {
		p.expect(t, http.StatusOK, fmt.Sprint(n))
	}
	if most.Load() < 8 || most.Load() > 9 {
		t.Errorf("got up to %d requests of one connection at the same time, want 8 or 9", most.Load())
	}
}

// TestPipelinedRequestsEndWithTheirCaller checks that requests which are handled early are cancelled when the caller
// disconnects.
func TestPipelinedRequestsEndWithTheirCaller(t *testing.T) {
	canceled := make(chan struct{}, 3)
	s := newInstance(t, 3, func(_ http.ResponseWriter, r *http.Request, _ int) {
		<-r.Context().Done()
		canceled <- struct{}{}
	})
	p := s.pipeline(t)
	for n := range 3 {
		p.send(t, requestText(http.MethodGet, "/read/x", fmt.Sprint(n), ""))
	}
	for deadline := time.Now().Add(time.Second); len(s.receivedRequests()) < 3; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("targets received %d requests, want 3", len(s.receivedRequests()))
		}
	}
	_ = p.Close()
	for range 3 {
		select {
		case <-canceled:
		case <-time.After(500 * time.Millisecond):
			t.Fatal("a request still runs 500ms after its caller has disconnected")
		}
	}
	for deadline := time.Now().Add(time.Second); s.router.Running() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d requests are still in progress", s.router.Running())
		}
	}
}

// TestRequestsThatWaitForTheirTurn checks what must not be handled before the responses ahead of it are sent: requests that
// must not run twice, as the caller sends them again if the connection ends, and what follows a request that cannot be
// parsed.
func TestRequestsThatWaitForTheirTurn(t *testing.T) {
	get := requestText(http.MethodGet, "/read/first", "first", "")
	last := requestText(http.MethodGet, "/read/last", "last", "")
	for name, c := range map[string]struct {
		second string
		// secondStatus is the status of the second response. lastRuns is true if the request behind it runs in the end.
		secondStatus int
		lastRuns     bool
	}{
		"non-idempotent route":  {requestText(http.MethodPost, "/write/x", "second", "body"), http.StatusOK, true},
		"GET on such a route":   {requestText(http.MethodGet, "/write/x", "second", ""), http.StatusOK, true},
		"body":                  {requestText(http.MethodPost, "/read/x", "second", "body"), http.StatusOK, true},
		"malformed":             {"GET /read/x\r\nHost: shop.example\r\n\r\n", http.StatusBadRequest, false},
		"two hosts":             {"GET /read/x HTTP/1.1\r\nHost: shop.example\r\nHost: shop.example\r\nTest-Id: second\r\nAuthorization: Bearer secret-key\r\n\r\n", http.StatusBadRequest, false},
		"two lengths":           {"POST /read/x HTTP/1.1\r\nHost: shop.example\r\nTest-Id: second\r\nAuthorization: Bearer secret-key\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody", http.StatusBadRequest, false},
		"negative length":       {"POST /read/x HTTP/1.1\r\nHost: shop.example\r\nTest-Id: second\r\nAuthorization: Bearer secret-key\r\nContent-Length: -4\r\n\r\n", http.StatusBadRequest, false},
		"length on GET":         {"GET /read/x HTTP/1.1\r\nHost: shop.example\r\nTest-Id: second\r\nAuthorization: Bearer secret-key\r\nContent-Length: 4\r\n\r\nbody", http.StatusOK, true},
		"wrong chunk":           {"POST /read/x HTTP/1.1\r\nHost: shop.example\r\nTest-Id: second\r\nAuthorization: Bearer secret-key\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", http.StatusBadRequest, false},
		"length and chunked":    {"POST /read/x HTTP/1.1\r\nHost: shop.example\r\nTest-Id: second\r\nAuthorization: Bearer secret-key\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 0, false},
		"unknown HTTP version":  {"GET /read/x HTTP/4.0\r\nHost: shop.example\r\nTest-Id: second\r\nAuthorization: Bearer secret-key\r\n\r\n", http.StatusHTTPVersionNotSupported, false},
		"header without a name": {"GET /read/x HTTP/1.1\r\nHost: shop.example\r\n: x\r\nTest-Id: second\r\nAuthorization: Bearer secret-key\r\n\r\n", http.StatusBadRequest, false},
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			s := newInstance(t, 3, func(w http.ResponseWriter, r *http.Request, _ int) {
				if r.URL.Path == "/read/first" {
					<-release
				}
				w.Header().Set(headers.Seal, "sealed")
			})
			p := s.pipeline(t)
			p.send(t, get)
			for len(s.receivedRequests()) == 0 {
				time.Sleep(time.Millisecond)
			}
			p.send(t, c.second, last)
			time.Sleep(50 * time.Millisecond)
			for _, r := range s.receivedRequests() {
				if got := r.Header.Get(headers.RequestID); got == "second" || (got == "last" && !c.lastRuns) {
					t.Errorf("a target received the %s request before the first response", got)
				}
			}
			close(release)
			p.expect(t, http.StatusOK, "first")
			if c.secondStatus != 0 {
				p.expect(t, c.secondStatus, "second")
			}
			if c.lastRuns {
				p.expect(t, http.StatusOK, "last")
			} else if c.secondStatus != 0 {
				if _, err := p.reader.ReadByte(); err == nil {
					t.Error("the connection goes on after a request that cannot be parsed")
				}
			}
			time.Sleep(20 * time.Millisecond)
			ran := false
			for _, r := range s.receivedRequests() {
				ran = ran || r.URL.Path == "/read/last"
			}
			if ran != c.lastRuns && c.secondStatus != 0 {
				t.Errorf("the last request ran: %t, want %t", ran, c.lastRuns)
			}
		})
	}
}

// TestShutdownWithPipelinedRequests checks that a planned stop answers all requests that have been started, asks the caller
// to close the connection only with the last of them, and does not run what arrives later on this connection.
func TestShutdownWithPipelinedRequests(t *testing.T) {
	release := make(chan struct{})
	s := newInstance(t, 4, func(w http.ResponseWriter, _ *http.Request, _ int) {
		<-release
		w.Header().Set(headers.Seal, "sealed")
	})
	p := s.pipeline(t)
	for n := range 3 {
		p.send(t, requestText(http.MethodGet, "/read/x", fmt.Sprint(n), ""))
	}
	for len(s.receivedRequests()) < 3 {
		time.Sleep(time.Millisecond)
	}
	s.router.BeginShutdown()
	s.forwarder.BeginShutdown(time.Now().Add(time.Minute), time.Now().Add(time.Minute))
	p.send(t, requestText(http.MethodGet, "/read/x", "3", ""))
	time.Sleep(50 * time.Millisecond)
	close(release)
	closed := false
	for n := range 4 {
		if closed {
			break
		}
		closed = p.expect(t, http.StatusOK, fmt.Sprint(n)).Close
		if closed && n < 2 {
			t.Errorf("response %d of 3 requests that were started closes the connection", n+1)
		}
	}
	if !closed {
		t.Error("no response asks the caller to close the connection")
	}
	time.Sleep(20 * time.Millisecond)
	if got := len(s.receivedRequests()); got > 4 || s.router.Running() != 0 {
		t.Errorf("targets received %d requests, and %d are in progress; want at most 4 and 0", got, s.router.Running())
	}
}

// TestEqualIDsOnOneConnection sends different requests with the same ID and path before the first response. Each must get its
// own response, though only their order tells them apart.
func TestEqualIDsOnOneConnection(t *testing.T) {
	s := newInstance(t, 3, respondSealed)
	p := s.pipeline(t)
	p.send(t, requestText(http.MethodGet, "/read/x", "1", ""), requestText(http.MethodHead, "/read/x", "1", ""), requestText(http.MethodGet, "/read/x", "1", ""))
	for n, method := range []string{http.MethodGet, http.MethodHead, http.MethodGet} {
		response, err := http.ReadResponse(p.reader, &http.Request{Method: method})
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if want := method == http.MethodGet; err != nil || (len(body) > 0) != want {
			t.Errorf("response %d: got %d bytes for a %s request (error: %v), want a body: %t", n+1, len(body), method, err, want)
		}
	}
}
