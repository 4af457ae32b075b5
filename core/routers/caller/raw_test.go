package caller_test

import (
	"bufio"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"
)

// TestKeyNotForwarded checks that no target receives the key, wherever in the request the caller puts it.
func TestKeyNotForwarded(t *testing.T) {
	target := newTarget(t, respondWith(okResponse))
	f := newCluster(t, 1, deskResources(5*time.Second, target)...)
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
		{"key header", get("/plans", ""), "/plans HTTP"},
		{"bearer credentials", get("/plans", "Authorization: Bearer "+testKey+"\r\n"), "/plans HTTP"},
		{"basic credentials", get("/plans", "Authorization: Basic "+basic+"\r\n"), "/plans HTTP"},
		{"other header", get("/plans", "X-Any: before "+testKey+" after\r\n"), "/plans HTTP"},
		{"URL-encoded in a header", get("/plans", "X-Any: 100% "+escaped+"\r\n"), "/plans HTTP"},
		{"cookie", get("/plans", "Cookie: a=1; k="+escaped+"; b=2\r\n"), "Cookie: a=1; b=2"},
		{"key parameter", get("/plans?day=1&medlarpond-key="+escaped+"&x=%20", ""), "/plans?day=1&x=%20 HTTP"},
		{"encoded parameter name", get("/plans?day=1&medlarpond%2Dkey="+escaped, ""), "/plans?day=1 HTTP"},
		{"other parameter", get("/plans?day=1&any="+escaped, ""), "/plans?day=1 HTTP"},
		{"doubly encoded parameter", get("/plans?day=1&any="+twice, ""), "/plans?day=1 HTTP"},
		{"host", strings.Replace(get("/plans", ""), "Host: h", "Host: "+escaped, 1), ""},
		{"trailers", "POST /plans HTTP/1.1\r\nHost: h\r\nX-Kept: yes\r\nMedlarpond-Key: " + testKey + "\r\n" + chunked, "X-Sum: 9"},
		{"path", get("/plans/"+strings.ReplaceAll(escaped, "+", "%20"), ""), ""},
		{"connection header", get("/plans", "Connection: X-Any\r\nX-Any: "+testKey+"\r\n"), "/plans HTTP"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			before := len(target.requests())
			sendRaw(t, address, test.request)
			received := strings.Join(target.requests()[before:], "")
			for _, form := range []string{testKey, escaped, twice, basic, strings.ReplaceAll(escaped, "+", "%20"), "a key"} {
				if strings.Contains(received, form) {
					t.Errorf("target received the key: %q", received)
				}
			}
			if test.kept != "" && (!strings.Contains(received, test.kept) || !strings.Contains(received, "X-Kept: yes")) {
				t.Errorf("target received %q, want %q kept", received, test.kept)
			}
		})
	}
}

// sendRaw sends a request on a new connection and returns the status and body of the response, read for at most 2 s.
func sendRaw(t *testing.T, address, request string) string {
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
		return "no response: " + err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response.Status + " " + string(body)
}

// TestMalformedRequests sends malformed and hostile requests, and checks the response and the number of complete
// requests that the target receives.
func TestMalformedRequests(t *testing.T) {
	target := newTarget(t, respondWith(okResponse))
	f := newCluster(t, 1, deskResources(time.Second, target)...)
	address := strings.TrimPrefix(f.urls[0], "http://")
	head := " /hours HTTP/1.1\r\nHost: h\r\n"
	big := strings.Repeat("x", 150_000)
	tests := []struct {
		name, request, want string
		received            int
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
		{"invalid timeout", "GET" + head + "Request-Timeout: NaN\r\n\r\n", "200 OK", 1},
		{"timeout of 1 ms", "GET" + head + "Request-Timeout: 0.001\r\n\r\n", "504 Gateway Timeout", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			before := len(target.requests())
			got := sendRaw(t, address, test.request)
			if !strings.HasPrefix(got, test.want) {
				t.Errorf("got %q, want %q", got, test.want)
			}
			time.Sleep(20 * time.Millisecond)
			if received := len(target.requests()) - before; received != test.received {
				t.Errorf("target received %d complete requests, want %d", received, test.received)
			}
		})
	}
}

// sendAndHold sends a request on a new connection, and keeps the connection open without reading the response.
func sendAndHold(t *testing.T, address, request string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
}
