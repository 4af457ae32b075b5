package caller_test

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
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
		{name: "get whose targets are silent", method: "GET", responds: []func(net.Conn, string, string){swallow, swallow}, status: 504, want: "outcome-unknown", seen: 2},
		{name: "all targets shed", method: "POST", responds: []func(net.Conn, string, string){answering(shedded), answering(shedded)}, status: 503, want: "overloaded", notRun: true, seen: 2},
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
			free += f.free(0, fmt.Sprintf("t%d", i+1))
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

// TestKeyStripped checks that no target sees the key, wherever a caller puts it.
func TestKeyStripped(t *testing.T) {
	target := newTarget(t, answering(answer))
	f := newFleet(t, 1, desk(5*time.Second, target)...)
	address := strings.TrimPrefix(f.urls[0], "http://")
	escaped := url.QueryEscape(testKey)
	twice := url.QueryEscape(escaped)
	basic := base64.StdEncoding.EncodeToString([]byte("user:" + testKey))
	get := func(uri, headers string) string {
		return "GET " + uri + " HTTP/1.1\r\nHost: h\r\nMedlarpond-Key: " + testKey + "\r\nX-Kept: yes\r\n" + headers + "\r\n"
	}
	chunked := "Transfer-Encoding: chunked\r\nTrailer: X-Sum, X-Copy, Medlarpond-Key\r\n\r\n3\r\ntwo\r\n0\r\nX-Sum: 9\r\nX-Copy: " +
		testKey + "\r\nMedlarpond-Key: " + testKey + "\r\n\r\n"
	tests := []struct{ name, request, kept string }{
		{"its header", get("/plans", ""), "/plans HTTP"},
		{"bearer credentials", get("/plans", "Authorization: Bearer "+testKey+"\r\n"), "/plans HTTP"},
		{"basic credentials", get("/plans", "Authorization: Basic "+basic+"\r\n"), "/plans HTTP"},
		{"any header", get("/plans", "X-Any: before "+testKey+" after\r\n"), "/plans HTTP"},
		{"encoded header", get("/plans", "X-Any: 100% "+escaped+"\r\n"), "/plans HTTP"},
		{"a cookie", get("/plans", "Cookie: a=1; k="+escaped+"; b=2\r\n"), "Cookie: a=1; b=2"},
		{"its parameter", get("/plans?day=1&medlarpond-key="+escaped+"&x=%20", ""), "/plans?day=1&x=%20 HTTP"},
		{"encoded name", get("/plans?day=1&medlarpond%2Dkey="+escaped, ""), "/plans?day=1 HTTP"},
		{"any parameter", get("/plans?day=1&any="+escaped, ""), "/plans?day=1 HTTP"},
		{"twice encoded", get("/plans?day=1&any="+twice, ""), "/plans?day=1 HTTP"},
		{"host", strings.Replace(get("/plans", ""), "Host: h", "Host: "+escaped, 1), ""},
		{"trailers", "POST /plans HTTP/1.1\r\nHost: h\r\nX-Kept: yes\r\nMedlarpond-Key: " + testKey + "\r\n" + chunked, "X-Sum: 9"},
		{"the path", get("/plans/"+strings.ReplaceAll(escaped, "+", "%20"), ""), ""},
		{"connection header", get("/plans", "Connection: X-Any\r\nX-Any: "+testKey+"\r\n"), "/plans HTTP"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			before := len(target.requests())
			raw(t, address, test.request)
			seen := strings.Join(target.requests()[before:], "")
			for _, form := range []string{testKey, escaped, twice, basic, strings.ReplaceAll(escaped, "+", "%20"), "a key"} {
				if strings.Contains(seen, form) {
					t.Errorf("the target saw the key: %q", seen)
				}
			}
			if test.kept != "" && (!strings.Contains(seen, test.kept) || !strings.Contains(seen, "X-Kept: yes")) {
				t.Errorf("the target saw %q, want %q kept", seen, test.kept)
			}
		})
	}
}

// raw writes a request on a new connection and returns the answer as text, read for at most two seconds.
func raw(t *testing.T, address, request string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(t.Name(), "ends_early") || strings.Contains(t.Name(), "too_short") {
		_ = c.(*net.TCPConn).CloseWrite()
	}
	reader := bufio.NewReader(c)
	response, err := http.ReadResponse(reader, nil)
	for err == nil && response.StatusCode == http.StatusContinue {
		response, err = http.ReadResponse(reader, nil)
	}
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response.Status + " " + string(body)
}

// TestMalformedRequests sends what a broken or hostile caller may send, and checks what the caller and the target get.
func TestMalformedRequests(t *testing.T) {
	target := newTarget(t, answering(answer))
	f := newFleet(t, 1, desk(time.Second, target)...)
	address := strings.TrimPrefix(f.urls[0], "http://")
	head := " /hours HTTP/1.1\r\nHost: h\r\n"
	big := strings.Repeat("x", 150_000)
	tests := []struct {
		name, request, want string
		seen                int
	}{
		{"content length", "POST" + head + "Content-Length: 3\r\n\r\ntwo", "200 OK", 1},
		{"chunked", "POST" + head + "Transfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n", "200 OK", 1},
		{"large body", "POST" + head + "Content-Length: 150000\r\n\r\n" + big, "200 OK", 1},
		{"body that ends early", "POST" + head + "Content-Length: 30\r\n\r\ntwo", "400 Bad Request", 0},
		{"chunked body that ends early", "POST" + head + "Transfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n", "400 Bad Request", 0},
		{"chunk that is too short", "POST" + head + "Transfer-Encoding: chunked\r\n\r\n9\r\ntwo\r\n0\r\n\r\n", "400 Bad Request", 0},
		{"large body that ends early", "POST" + head + "Content-Length: 180000\r\n\r\n" + big, "", 0},
		{"announced body over the limit", "POST" + head + "Content-Length: 200001\r\n\r\n", "413 Request Entity Too Large", 0},
		{"chunked body over the limit", "POST" + head + "Transfer-Encoding: chunked\r\n\r\n30D41\r\n" + big + big[:50_001] + "\r\n0\r\n\r\n", "413 Request Entity Too Large", 0},
		{"two lengths", "POST" + head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\ntwo", "400 Bad Request", 0},
		{"length and chunks", "POST" + head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n", "200 OK", 1},
		{"expect continue", "POST" + head + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\ntwo", "200 OK", 1},
		{"refused before continue", "POST /plans HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n", "401 Unauthorized", 0},
		{"upgrade", "GET" + head + "Connection: upgrade\r\nUpgrade: websocket\r\n\r\n", "501 Not Implemented", 0},
		{"connect", "CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\n\r\n", "404 Not Found", 0},
		{"headers over the limit", "GET" + head + "X-Long: " + strings.Repeat("x", 20_000) + "\r\n\r\n", "431 Request Header Fields Too Large", 0},
		{"impossible timeout", "GET" + head + "Request-Timeout: NaN\r\n\r\n", "200 OK", 1},
		{"no time", "GET" + head + "Request-Timeout: 0.001\r\n\r\n", "504 Gateway Timeout", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			before := len(target.requests())
			got := raw(t, address, test.request)
			if !strings.HasPrefix(got, test.want) {
				t.Errorf("got %q, want %q", got, test.want)
			}
			time.Sleep(20 * time.Millisecond)
			if seen := len(target.requests()) - before; seen != test.seen {
				t.Errorf("the target saw %d whole requests, want %d", seen, test.seen)
			}
		})
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
	open := func(request string) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = io.WriteString(c, request)
	}
	open("POST /hours HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\ntwo")
	time.Sleep(100 * time.Millisecond)
	if free := f.free(0, "t1"); free != 3 {
		t.Errorf("%d slots are free while a body arrives slowly, want 3", free)
	}
	open("GET /hours HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(100 * time.Millisecond)
	if free := f.free(0, "t1"); free != 2 {
		t.Errorf("%d slots are free while an answer is not read, want 2", free)
	}
	f.waitFree(t, 1)
}
