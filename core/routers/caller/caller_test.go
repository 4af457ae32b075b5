package caller_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"medlarpond.dev/core/models/resource"
)

// unreachableTarget has an address that refuses connections.
var unreachableTarget = &fakeTarget{address: "127.0.0.1:1"}

// TestTargetFaults checks for each kind of target fault the response to the caller and the number of requests that the
// targets received.
func TestTargetFaults(t *testing.T) {
	noResponse := func(net.Conn, string, string) {}
	closeConn := func(c net.Conn, _, _ string) { _ = c.Close() }
	var attempts atomic.Int64
	closeThenShed := func(c net.Conn, head, body string) {
		if attempts.Add(1) == 1 {
			closeConn(c, head, body)
			return
		}
		respondWith(shedResponse)(c, head, body)
	}
	tests := []struct {
		name        string
		method      string
		handlers    []func(net.Conn, string, string)
		unreachable int
		status      int
		want        string
		notRun      bool
		interrupted bool
		received    int
	}{
		{name: "target responds", method: "POST", handlers: []func(net.Conn, string, string){respondWith(okResponse)}, status: 200, want: "ok", received: 1},
		{name: "all targets unreachable", method: "POST", unreachable: 2, status: 502, want: "target-failed", notRun: true},
		{name: "one of two targets unreachable", method: "POST", unreachable: 1, handlers: []func(net.Conn, string, string){respondWith(okResponse)}, status: 200, want: "ok", received: 1},
		{name: "POST whose target closes the connection", method: "POST", handlers: []func(net.Conn, string, string){closeConn, closeConn}, status: 502, want: "outcome-unknown", received: 1},
		{name: "GET whose targets close the connection", method: "GET", handlers: []func(net.Conn, string, string){closeConn, closeConn, closeConn}, status: 502, want: "outcome-unknown", received: 2},
		{name: "POST whose target does not respond", method: "POST", handlers: []func(net.Conn, string, string){noResponse, noResponse}, status: 504, want: "outcome-unknown", received: 1},
		{name: "GET whose targets do not respond", method: "GET", handlers: []func(net.Conn, string, string){noResponse, noResponse}, status: 504, want: "outcome-unknown", received: 1},
		{name: "all targets shed", method: "POST", handlers: []func(net.Conn, string, string){respondWith(shedResponse), respondWith(shedResponse)}, status: 503, want: "overloaded", notRun: true, received: 2},
		{name: "a target closes the connection, the next one sheds", method: "GET", handlers: []func(net.Conn, string, string){closeThenShed, closeThenShed}, status: 502, want: "outcome-unknown", received: 2},
		{name: "503 without the shedding header", method: "POST", handlers: []func(net.Conn, string, string){respondWith("HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy")}, status: 503, want: "busy", received: 1},
		{name: "response body cut short", method: "GET", handlers: []func(net.Conn, string, string){func(c net.Conn, _, _ string) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort")
			_ = c.Close()
		}}, interrupted: true, received: 1},
		{name: "chunked response cut short", method: "GET", handlers: []func(net.Conn, string, string){func(c net.Conn, _, _ string) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n")
			_ = c.Close()
		}}, interrupted: true, received: 1},
		{name: "response body that stalls", method: "GET", handlers: []func(net.Conn, string, string){respondWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort")}, interrupted: true, received: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var targets []*fakeTarget
			for range test.unreachable {
				targets = append(targets, unreachableTarget)
			}
			for _, handler := range test.handlers {
				targets = append(targets, newTarget(t, handler))
			}
			f := newCluster(t, 1, deskResources(time.Second, targets...)...)
			got := f.do(t, 0, call{method: test.method, path: "/plans"})
			if (got.err != nil) != test.interrupted || got.status != test.status && !test.interrupted ||
				!strings.Contains(got.body, test.want) || got.notRun != test.notRun {
				t.Errorf("got %+v, want status %d with %q, not-run %v, interrupted %v", got, test.status, test.want, test.notRun, test.interrupted)
			}
			received := 0
			for _, target := range targets {
				received += len(target.requests())
			}
			if received != test.received {
				t.Errorf("targets received %d requests, want %d", received, test.received)
			}
			f.waitSlotsFree(t, len(targets))
		})
	}
}

// waitSlotsFree checks that all slots of the targets become free again within 3 s.
func (f *testCluster) waitSlotsFree(t *testing.T, targets int) {
	t.Helper()
	for range 300 {
		free := 0
		for i := range targets {
			free += f.freeSlots(fmt.Sprintf("t%d", i+1))
		}
		if free == 3*targets {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("slots are still in use 3 s after the request")
}

// TestPoisonRequest checks that a request that crashes targets crashes only two of them, through whichever instances
// it is sent, and that other requests of its team are still served.
func TestPoisonRequest(t *testing.T) {
	for _, c := range []call{
		{method: "GET", path: "/plans/poison"},
		{method: "POST", path: "/plans/poison", body: "sacks"},
		{method: "POST", path: "/plans/poison", body: strings.Repeat("sacks", 30_000)},
	} {
		t.Run(fmt.Sprint(c.method, len(c.body)), func(t *testing.T) {
			var targets []*fakeTarget
			for range 6 {
				targets = append(targets, newTarget(t, closeOn("poison")))
			}
			f := newCluster(t, 3, deskResources(5*time.Second, targets...)...)
			for n := range 12 {
				if got := f.do(t, n%3, c); got.status == 200 {
					t.Fatalf("poison request: got %+v, want an error", got)
				}
				for _, other := range []call{{method: "GET", path: "/plans/other"}, {method: c.method, path: "/plans", body: "two"}} {
					if got := f.do(t, (n+1)%3, other); got.status != 200 {
						t.Fatalf("other request of the team: got %+v, want status 200", got)
					}
				}
			}
			crashes := 0
			for _, target := range targets {
				for _, request := range target.requests() {
					crashes += strings.Count(request, "/plans/poison")
				}
			}
			if crashes != 2 {
				t.Errorf("the poison request crashed %d targets, want 2", crashes)
			}
		})
	}
}

// TestCrashSuspicionCleared checks that a suspected request is refused as not run while its owner is unreachable, and
// that a request whose target crashed for another reason is served at the next attempt and no longer restricted
// afterwards.
func TestCrashSuspicionCleared(t *testing.T) {
	var crashed atomic.Bool
	target := newTarget(t, func(c net.Conn, _, _ string) {
		if crashed.CompareAndSwap(false, true) {
			_ = c.Close()
			return
		}
		_, _ = io.WriteString(c, okResponse)
	})
	f := newCluster(t, 3, deskResources(5*time.Second, target)...)
	post := call{method: "POST", path: "/plans", body: "two"}
	if got := f.do(t, 0, post); got.status != 502 {
		t.Fatalf("got %+v, want status 502", got)
	}
	for _, id := range []string{"entry-1", "entry-2", "entry-3"} {
		f.disconnect(id)
	}
	refused := 0
	for instance := range 3 {
		if got := f.do(t, instance, post); got.status == 503 && got.notRun && strings.Contains(got.body, "crash-suspected") {
			refused++
		}
	}
	if refused != 2 {
		t.Errorf("%d instances refused the request, want the two that are not the owner", refused)
	}
	f.reconnectAll()
	for instance := range 3 {
		if got := f.do(t, instance, post); got.status != 200 {
			t.Errorf("got %+v, want status 200", got)
		}
	}
}

// TestIdempotencyKey checks that a non-idempotent request with an idempotency key runs at most once, through whichever
// instances it is sent and also while one of them is unreachable, and may be sent again if it has certainly not run.
func TestIdempotencyKey(t *testing.T) {
	responses := map[string]string{"order-1": okResponse, "order-2": "", "order-3": shedResponse}
	target := newTarget(t, func(c net.Conn, head, _ string) {
		for name, text := range responses {
			if strings.Contains(head, name) && text != "" {
				_, _ = io.WriteString(c, text)
				return
			}
		}
		_ = c.Close()
	})
	f := newCluster(t, 5, deskResources(5*time.Second, target)...)
	for name, want := range map[string]int{"order-1": 1, "order-2": 1, "order-3": 5} {
		for instance := range 5 {
			f.do(t, instance, call{method: "POST", path: "/plans", body: name, idempotencyKey: name})
			if instance == 2 {
				f.disconnect("entry-1")
			}
		}
		f.reconnectAll()
		received := 0
		for _, request := range target.requests() {
			received += strings.Count(request, "\r\n\r\n"+name)
		}
		if received != want {
			t.Errorf("%s: target received it %d times, want %d", name, received, want)
		}
	}
	f.disconnect("entry-1")
	f.disconnect("entry-2")
	f.disconnect("entry-3")
	f.disconnect("entry-4")
	if got := f.do(t, 4, call{method: "POST", path: "/plans", idempotencyKey: "order-4"}); got.status != 503 || !got.notRun {
		t.Errorf("got %+v from an instance that reaches too few owners, want status 503 and not run", got)
	}
}

// TestRevokedKey checks that revoking a key interrupts a streaming response, and that the key is refused on an existing
// connection.
func TestRevokedKey(t *testing.T) {
	target := newTarget(t, func(c net.Conn, head, _ string) {
		if !strings.Contains(head, "long") {
			_, _ = io.WriteString(c, okResponse)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
	})
	f := newCluster(t, 1, deskResources(20*time.Second, target)...)
	get := func(client *http.Client, path string) (*http.Response, error) {
		request, err := http.NewRequest(http.MethodGet, f.urls[0]+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Medlarpond-Key", testKey)
		return client.Do(request)
	}
	streaming, err := get(&http.Client{}, "/plans/long")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = streaming.Body.Close() }()
	keepAlive := &http.Client{Transport: &http.Transport{}}
	for _, want := range []int{200, 401} {
		response, err := get(keepAlive, "/plans/short")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("got %d, want %d", response.StatusCode, want)
		}
		if want == 200 {
			f.applyChanges(t, newResource(resource.KindKey, "k", nil))
		}
	}
	start := time.Now()
	if _, err := io.Copy(io.Discard, streaming.Body); err == nil {
		t.Error("the streaming response of a revoked key ended without an error")
	}
	if time.Since(start) > 5*time.Second {
		t.Errorf("the streaming response continued for %v, want at most 5s", time.Since(start))
	}
}

// TestSlowCaller checks that a caller that sends its body slowly occupies no slot, and that one that does not read its
// response occupies a slot no longer than the request timeout of the service.
func TestSlowCaller(t *testing.T) {
	target := newTarget(t, func(c net.Conn, _, _ string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 50000000\r\n\r\n")
		_, _ = c.Write(make([]byte, 50_000_000))
	})
	f := newCluster(t, 1, deskResources(time.Second, target)...)
	address := strings.TrimPrefix(f.urls[0], "http://")
	sendAndHold(t, address, "POST /hours HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\ntwo")
	time.Sleep(100 * time.Millisecond)
	if free := f.freeSlots("t1"); free != 3 {
		t.Errorf("got %d free slots while a request body arrives slowly, want 3", free)
	}
	sendAndHold(t, address, "GET /hours HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(100 * time.Millisecond)
	if free := f.freeSlots("t1"); free != 2 {
		t.Errorf("got %d free slots while a response is not read, want 2", free)
	}
	f.waitSlotsFree(t, 1)
}

// TestSlowTarget checks that a request is retried at another target if the response takes unusually long for its
// service, and that the response of a slow service is waited for.
func TestSlowTarget(t *testing.T) {
	slow := func(c net.Conn, head, _ string) {
		if strings.Contains(head, "slow") {
			time.Sleep(1500 * time.Millisecond)
		}
		_, _ = io.WriteString(c, okResponse)
	}
	f := newCluster(t, 1, deskResources(2*time.Second, newTarget(t, slow))...)
	if got := f.do(t, 0, call{method: "GET", path: "/plans/slow"}); got.status != 200 {
		t.Errorf("slow service: got %+v, want status 200", got)
	}
	var dropped atomic.Bool
	dropFirst := func(c net.Conn, head, _ string) {
		if strings.Contains(head, "dropped") && dropped.CompareAndSwap(false, true) {
			return
		}
		_, _ = io.WriteString(c, okResponse)
	}
	f = newCluster(t, 1, deskResources(10*time.Second, newTarget(t, dropFirst), newTarget(t, dropFirst))...)
	for range 30 {
		f.do(t, 0, call{method: "GET", path: "/plans"})
	}
	start := time.Now()
	if got := f.do(t, 0, call{method: "GET", path: "/plans/dropped"}); got.status != 200 || time.Since(start) > 5*time.Second {
		t.Errorf("got %+v after %v, want status 200 from the other target within 5s", got, time.Since(start))
	}
}

// TestRetryBudget checks that retries stay within the retry budget of a service whose targets all fail.
func TestRetryBudget(t *testing.T) {
	targets := []*fakeTarget{
		newTarget(t, func(c net.Conn, _, _ string) { _ = c.Close() }), newTarget(t, func(c net.Conn, _, _ string) { _ = c.Close() }),
	}
	f := newCluster(t, 1, deskResources(5*time.Second, targets...)...)
	start := time.Now()
	const requests = 150
	for n := range requests {
		f.do(t, 0, call{method: "GET", path: fmt.Sprintf("/plans/%d", n)})
	}
	attempts := len(targets[0].requests()) + len(targets[1].requests())
	if limit := requests + 20 + requests/10 + int(time.Since(start).Seconds()) + 1; attempts > limit {
		t.Errorf("%d requests caused %d attempts, want at most %d", requests, attempts, limit)
	}
}

// TestLateResponse checks that the response to an abandoned attempt is not delivered to another request.
func TestLateResponse(t *testing.T) {
	target := newTarget(t, func(c net.Conn, head, _ string) {
		if strings.Contains(head, "/late") {
			time.Sleep(300 * time.Millisecond)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
			return
		}
		_, _ = io.WriteString(c, okResponse)
	})
	f := newCluster(t, 1, deskResources(200*time.Millisecond, target)...)
	if got := f.do(t, 0, call{method: "POST", path: "/plans/late"}); got.status != 504 || got.notRun {
		t.Fatalf("got %+v, want status 504 with an unknown outcome", got)
	}
	for range 20 {
		if got := f.do(t, 0, call{method: "POST", path: "/plans/other"}); got.body != "ok" {
			t.Fatalf("got %+v, want the response to this request", got)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestKeyRevokedWhileQueued checks that a request whose key is revoked while it waits for a slot never runs.
func TestKeyRevokedWhileQueued(t *testing.T) {
	target := newTarget(t, func(net.Conn, string, string) {})
	f := newCluster(t, 1, deskResources(8*time.Second, target)...)
	for range 3 {
		sendAndHold(t, strings.TrimPrefix(f.urls[0], "http://"), "GET /hours HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	for f.freeSlots("t1") > 0 {
		time.Sleep(time.Millisecond)
	}
	time.AfterFunc(100*time.Millisecond, func() { f.applyChanges(t, newResource(resource.KindKey, "k", nil)) })
	start := time.Now()
	got := f.do(t, 0, call{method: "POST", path: "/plans"})
	if got.status != 401 || !got.notRun || time.Since(start) > time.Second {
		t.Errorf("got %+v after %v, want status 401 and not run within 1s", got, time.Since(start))
	}
	for _, request := range target.requests() {
		if strings.Contains(request, "/plans") {
			t.Error("the request ran after its key was revoked")
		}
	}
}

// TestCutResponseToHTTP10 guards against a response without a length that its target resets and that looks complete to a caller that
// uses HTTP/1.0, as the end of its connection ends the body.
func TestCutResponseToHTTP10(t *testing.T) {
	const part = 100_000
	target := newTarget(t, func(c net.Conn, _, _ string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+strings.Repeat("a", part))
		time.Sleep(100 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	f := newCluster(t, 1, deskResources(5*time.Second, target)...)
	c, err := net.Dial("tcp", strings.TrimPrefix(f.urls[0], "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c, "GET /hours HTTP/1.0\r\nHost: h\r\n\r\n")
	if response, err := io.ReadAll(c); err == nil || len(response) == 0 {
		t.Errorf("got %d bytes and error %v, want a part of the response and a reset", len(response), err)
	}
}
