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

// deadTarget is a target whose address refuses connections.
var deadTarget = &fakeTarget{address: "127.0.0.1:1"}

// TestAttempts checks, for each fault of targets, what the caller is told and how often the targets saw the request.
func TestAttempts(t *testing.T) {
	swallow := func(net.Conn, string, string) {}
	hangUp := func(c net.Conn, _, _ string) { _ = c.Close() }
	var attempts atomic.Int64
	hangUpThenShed := func(c net.Conn, method, path string) {
		if attempts.Add(1) == 1 {
			hangUp(c, method, path)
			return
		}
		answering(shedded)(c, method, path)
	}
	tests := []struct {
		name     string
		method   string
		responds []func(net.Conn, string, string)
		dead     int
		status   int
		want     string
		notRun   bool
		broken   bool
		seen     int
	}{
		{name: "answered", method: "POST", responds: []func(net.Conn, string, string){answering(answer)}, status: 200, want: "ok", seen: 1},
		{name: "no target reachable", method: "POST", dead: 2, status: 502, want: "target-failed", notRun: true},
		{name: "one target reachable", method: "POST", dead: 1, responds: []func(net.Conn, string, string){answering(answer)}, status: 200, want: "ok", seen: 1},
		{name: "post whose target hangs up", method: "POST", responds: []func(net.Conn, string, string){hangUp, hangUp}, status: 502, want: "outcome-unknown", seen: 1},
		{name: "get whose targets hang up", method: "GET", responds: []func(net.Conn, string, string){hangUp, hangUp, hangUp}, status: 502, want: "outcome-unknown", seen: 2},
		{name: "post whose target is silent", method: "POST", responds: []func(net.Conn, string, string){swallow, swallow}, status: 504, want: "outcome-unknown", seen: 1},
		{name: "get whose targets are silent", method: "GET", responds: []func(net.Conn, string, string){swallow, swallow}, status: 504, want: "outcome-unknown", seen: 1},
		{name: "all targets shed", method: "POST", responds: []func(net.Conn, string, string){answering(shedded), answering(shedded)}, status: 503, want: "overloaded", notRun: true, seen: 2},
		{name: "a target hangs up, the next one sheds", method: "GET", responds: []func(net.Conn, string, string){hangUpThenShed, hangUpThenShed}, status: 502, want: "outcome-unknown", seen: 2},
		{name: "another 503", method: "POST", responds: []func(net.Conn, string, string){answering("HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy")}, status: 503, want: "busy", seen: 1},
		{name: "answer that breaks off", method: "GET", responds: []func(net.Conn, string, string){func(c net.Conn, _, _ string) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort")
			_ = c.Close()
		}}, broken: true, seen: 1},
		{name: "chunked answer that breaks off", method: "GET", responds: []func(net.Conn, string, string){func(c net.Conn, _, _ string) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n")
			_ = c.Close()
		}}, broken: true, seen: 1},
		{name: "answer that stops", method: "GET", responds: []func(net.Conn, string, string){answering("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort")}, broken: true, seen: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var targets []*fakeTarget
			for range test.dead {
				targets = append(targets, deadTarget)
			}
			for _, respond := range test.responds {
				targets = append(targets, newTarget(t, respond))
			}
			f := newFleet(t, 1, desk(time.Second, targets...)...)
			got := f.do(t, 0, call{method: test.method, path: "/plans"})
			if (got.err != nil) != test.broken || got.status != test.status && !test.broken ||
				!strings.Contains(got.body, test.want) || got.notRun != test.notRun {
				t.Errorf("got %+v, want %d with %q, not-run %v, broken %v", got, test.status, test.want, test.notRun, test.broken)
			}
			seen := 0
			for _, target := range targets {
				seen += len(target.requests())
			}
			if seen != test.seen {
				t.Errorf("the targets saw %d requests, want %d", seen, test.seen)
			}
			f.waitFree(t, len(targets))
		})
	}
}

// waitFree checks that every slot becomes free again.
func (f *fleet) waitFree(t *testing.T, targets int) {
	t.Helper()
	for range 300 {
		free := 0
		for i := range targets {
			free += f.free(fmt.Sprintf("t%d", i+1))
		}
		if free == 3*targets {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("slots are still taken 3 s after the request")
}

// TestCrashRequest checks that a request that makes targets die costs two of them, through whichever instances it
// comes, and that other requests of its team go on.
func TestCrashRequest(t *testing.T) {
	for _, c := range []call{
		{method: "GET", path: "/plans/poison"},
		{method: "POST", path: "/plans/poison", body: "sacks"},
		{method: "POST", path: "/plans/poison", body: strings.Repeat("sacks", 30_000)},
	} {
		t.Run(fmt.Sprint(c.method, len(c.body)), func(t *testing.T) {
			var targets []*fakeTarget
			for range 6 {
				targets = append(targets, newTarget(t, dying("poison")))
			}
			f := newFleet(t, 3, desk(5*time.Second, targets...)...)
			for n := range 12 {
				if got := f.do(t, n%3, c); got.status == 200 {
					t.Fatalf("the request was answered: %+v", got)
				}
				for _, other := range []call{{method: "GET", path: "/plans/other"}, {method: c.method, path: "/plans", body: "two"}} {
					if got := f.do(t, (n+1)%3, other); got.status != 200 {
						t.Fatalf("another request of the team got %+v", got)
					}
				}
			}
			died := 0
			for _, target := range targets {
				for _, seen := range target.requests() {
					died += strings.Count(seen, "/plans/poison")
				}
			}
			if died != 2 {
				t.Errorf("the request cost %d targets, want 2", died)
			}
		})
	}
}

// TestCrashCleared checks that a request whose target died for another reason is served at the next attempt and is not
// held back afterwards; and that an attempt is refused as not run when its owner cannot be asked.
func TestCrashCleared(t *testing.T) {
	var died atomic.Bool
	target := newTarget(t, func(c net.Conn, _, _ string) {
		if died.CompareAndSwap(false, true) {
			_ = c.Close()
			return
		}
		_, _ = io.WriteString(c, answer)
	})
	f := newFleet(t, 3, desk(5*time.Second, target)...)
	post := call{method: "POST", path: "/plans", body: "two"}
	if got := f.do(t, 0, post); got.status != 502 {
		t.Fatalf("got %+v", got)
	}
	for _, id := range []string{"entry-1", "entry-2", "entry-3"} {
		f.cut(id)
	}
	refused := 0
	for instance := range 3 {
		if got := f.do(t, instance, post); got.status == 503 && got.notRun && strings.Contains(got.body, "crash-suspected") {
			refused++
		}
	}
	if refused != 2 {
		t.Errorf("%d instances refused, want the two that are not the owner", refused)
	}
	f.heal()
	for instance := range 3 {
		if got := f.do(t, instance, post); got.status != 200 {
			t.Errorf("got %+v, want an answer", got)
		}
	}
}

// TestIdempotencyKey checks that a non-idempotent request with a key runs at most once through all instances, also with
// one of them out of reach, and may be sent again if it was certainly not run.
func TestIdempotencyKey(t *testing.T) {
	answers := map[string]string{"order-1": answer, "order-2": "", "order-3": shedded}
	target := newTarget(t, func(c net.Conn, head, _ string) {
		for name, text := range answers {
			if strings.Contains(head, name) && text != "" {
				_, _ = io.WriteString(c, text)
				return
			}
		}
		_ = c.Close()
	})
	f := newFleet(t, 5, desk(5*time.Second, target)...)
	for name, want := range map[string]int{"order-1": 1, "order-2": 1, "order-3": 5} {
		for instance := range 5 {
			f.do(t, instance, call{method: "POST", path: "/plans", body: name, idempotencyKey: name})
			if instance == 2 {
				f.cut("entry-1")
			}
		}
		f.heal()
		seen := 0
		for _, request := range target.requests() {
			seen += strings.Count(request, "\r\n\r\n"+name)
		}
		if seen != want {
			t.Errorf("%s: the target saw it %d times, want %d", name, seen, want)
		}
	}
	f.cut("entry-1")
	f.cut("entry-2")
	f.cut("entry-3")
	f.cut("entry-4")
	if got := f.do(t, 4, call{method: "POST", path: "/plans", idempotencyKey: "order-4"}); got.status != 503 || !got.notRun {
		t.Errorf("got %+v from an instance that reaches no owner, want a refusal as not run", got)
	}
}

// TestWithdrawnKey checks that a withdrawn key ends an answer that streams and is refused on the open connection.
func TestWithdrawnKey(t *testing.T) {
	target := newTarget(t, func(c net.Conn, head, _ string) {
		if !strings.Contains(head, "long") {
			_, _ = io.WriteString(c, answer)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
	})
	f := newFleet(t, 1, desk(20*time.Second, target)...)
	get := func(client *http.Client, path string) (*http.Response, error) {
		request, err := http.NewRequest(http.MethodGet, f.urls[0]+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Medlarpond-Key", testKey)
		return client.Do(request)
	}
	long, err := get(&http.Client{}, "/plans/long")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = long.Body.Close() }()
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
			f.put(t, named(resource.KindKey, "k", nil))
		}
	}
	start := time.Now()
	if _, err := io.Copy(io.Discard, long.Body); err == nil {
		t.Error("the long answer looks whole")
	}
	if time.Since(start) > 5*time.Second {
		t.Errorf("the long answer went on for %v", time.Since(start))
	}
}

// TestSlowCaller checks that a caller that sends its body slowly holds no slot, and that one that does not read its
// answer holds it no longer than the service permits.
func TestSlowCaller(t *testing.T) {
	target := newTarget(t, func(c net.Conn, _, _ string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 50000000\r\n\r\n")
		_, _ = c.Write(make([]byte, 50_000_000))
	})
	f := newFleet(t, 1, desk(time.Second, target)...)
	address := strings.TrimPrefix(f.urls[0], "http://")
	open(t, address, "POST /hours HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\ntwo")
	time.Sleep(100 * time.Millisecond)
	if free := f.free("t1"); free != 3 {
		t.Errorf("%d slots are free while a body arrives slowly, want 3", free)
	}
	open(t, address, "GET /hours HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(100 * time.Millisecond)
	if free := f.free("t1"); free != 2 {
		t.Errorf("%d slots are free while an answer is not read, want 2", free)
	}
	f.waitFree(t, 1)
}

// TestLateTarget checks that an answer that is late for its service is sought at another target, and that an answer of a
// slow service is waited for.
func TestLateTarget(t *testing.T) {
	slow := func(c net.Conn, head, _ string) {
		if strings.Contains(head, "slow") {
			time.Sleep(1500 * time.Millisecond)
		}
		_, _ = io.WriteString(c, answer)
	}
	f := newFleet(t, 1, desk(2*time.Second, newTarget(t, slow))...)
	if got := f.do(t, 0, call{method: "GET", path: "/plans/slow"}); got.status != 200 {
		t.Errorf("got %+v from a service that is slow, want its answer", got)
	}
	var first atomic.Bool
	silentOnce := func(c net.Conn, head, _ string) {
		if strings.Contains(head, "silent") && first.CompareAndSwap(false, true) {
			return
		}
		_, _ = io.WriteString(c, answer)
	}
	f = newFleet(t, 1, desk(10*time.Second, newTarget(t, silentOnce), newTarget(t, silentOnce))...)
	for range 30 {
		f.do(t, 0, call{method: "GET", path: "/plans"})
	}
	start := time.Now()
	if got := f.do(t, 0, call{method: "GET", path: "/plans/silent"}); got.status != 200 || time.Since(start) > 5*time.Second {
		t.Errorf("got %+v after %v, want the other target's answer", got, time.Since(start))
	}
}

// TestRetryBudget checks that retries add little to the load on a service whose targets all fail.
func TestRetryBudget(t *testing.T) {
	targets := []*fakeTarget{
		newTarget(t, func(c net.Conn, _, _ string) { _ = c.Close() }), newTarget(t, func(c net.Conn, _, _ string) { _ = c.Close() }),
	}
	f := newFleet(t, 1, desk(5*time.Second, targets...)...)
	start := time.Now()
	const requests = 150
	for n := range requests {
		f.do(t, 0, call{method: "GET", path: fmt.Sprintf("/plans/%d", n)})
	}
	seen := len(targets[0].requests()) + len(targets[1].requests())
	if most := requests + 20 + requests/10 + int(time.Since(start).Seconds()) + 1; seen > most {
		t.Errorf("%d requests became %d attempts, more than %d", requests, seen, most)
	}
}

// TestLateAnswer checks that the answer to an abandoned attempt reaches nobody else.
func TestLateAnswer(t *testing.T) {
	target := newTarget(t, func(c net.Conn, head, _ string) {
		if strings.Contains(head, "/late") {
			time.Sleep(300 * time.Millisecond)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
			return
		}
		_, _ = io.WriteString(c, answer)
	})
	f := newFleet(t, 1, desk(200*time.Millisecond, target)...)
	if got := f.do(t, 0, call{method: "POST", path: "/plans/late"}); got.status != 504 || got.notRun {
		t.Fatalf("got %+v, want an unknown outcome", got)
	}
	for range 20 {
		if got := f.do(t, 0, call{method: "POST", path: "/plans/other"}); got.body != "ok" {
			t.Fatalf("got %+v, want the request's own answer", got)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestWithdrawnWhileWaiting checks that a request whose key is withdrawn while it waits never runs.
func TestWithdrawnWhileWaiting(t *testing.T) {
	target := newTarget(t, func(net.Conn, string, string) {})
	f := newFleet(t, 1, desk(8*time.Second, target)...)
	for range 3 {
		open(t, strings.TrimPrefix(f.urls[0], "http://"), "GET /hours HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	for f.free("t1") > 0 {
		time.Sleep(time.Millisecond)
	}
	time.AfterFunc(100*time.Millisecond, func() { f.put(t, named(resource.KindKey, "k", nil)) })
	start := time.Now()
	got := f.do(t, 0, call{method: "POST", path: "/plans"})
	if got.status != 401 || !got.notRun || time.Since(start) > time.Second {
		t.Errorf("got %+v after %v, want a refusal at once", got, time.Since(start))
	}
	for _, seen := range target.requests() {
		if strings.Contains(seen, "/plans") {
			t.Error("the request ran after its key was withdrawn")
		}
	}
}
