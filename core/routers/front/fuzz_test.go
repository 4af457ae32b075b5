package front_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"
)

// silence is how long a server may send nothing before its responses are taken to be complete.
const silence = 60 * time.Millisecond

var dateHeader = regexp.MustCompile(`Date: [^\r]*\r\n`)

// converse sends bytes on a connection and returns all that the server sends back, without dates.
func converse(t *testing.T, address string, content []byte) string {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	go func() { _, _ = c.Write(content) }()
	var received strings.Builder
	buffer := make([]byte, 4096)
	for {
		_ = c.SetReadDeadline(time.Now().Add(silence))
		n, err := c.Read(buffer)
		received.Write(buffer[:n])
		if err != nil {
			return dateHeader.ReplaceAllString(received.String(), "")
		}
	}
}

// FuzzPipeline sends arbitrary bytes to two servers with the same handler, of which one handles pipelined requests early. The
// responses must be the same: reading ahead may change when a request is handled, never whether and in which order.
func FuzzPipeline(f *testing.F) {
	get, post := requestText(http.MethodGet, "/read/x", "1", ""), requestText(http.MethodPost, "/write/x", "2", "body")
	for _, seed := range []string{
		get + requestText(http.MethodGet, "/open/x", "3", "") + post,
		get + post + get,
		get + "GET /read/x\r\n\r\n" + get,
		get + "POST /read/x HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" + get,
		"\r\n\r\n" + get + strings.ReplaceAll(get, "\r\n", "\n"),
		get + strings.Replace(get, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1) + get,
		get + strings.Replace(get, "\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n", 1) + get,
		get + strings.Replace(get, "GET", "HEAD", 1) + get,
		get + strings.Replace(get, "HTTP/1.1", "HTTP/1.0", 1) + get,
		get + strings.Replace(get, "shop.example", "other.example", 1) + get,
		get + strings.Replace(get, "\r\n\r\n", "\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", 1) + get,
	} {
		f.Add([]byte(seed))
	}
	s := newInstance(f, 3, respondSealed)
	plain := httptest.NewServer(s.router)
	f.Cleanup(plain.Close)
	s.keepConfirmed(f)
	f.Fuzz(func(t *testing.T, content []byte) {
		want := converse(t, plain.Listener.Addr().String(), content)
		if got := converse(t, s.address, content); got != want {
			t.Errorf("got responses\n%s\nwant, as without reading ahead,\n%s", got, want)
		}
	})
}
