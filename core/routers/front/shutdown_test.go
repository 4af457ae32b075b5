package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Times of the shutdowns in these tests, counted from their start. The timeout of the routes, 1 s, lies after the end.
const (
	shutdownRefuseAfter = 100 * time.Millisecond
	shutdownEnd         = 700 * time.Millisecond
)

func (s *testInstance) beginShutdown() {
	s.router.BeginShutdown()
	s.forwarder.BeginShutdown(time.Now().Add(shutdownRefuseAfter), time.Now().Add(shutdownEnd))
}

// TestSlowBodyDuringShutdown guards against a request that is passed on late in a shutdown and cut off at its end: its head arrives
// while the instance still accepts every request, and its body much later.
func TestSlowBodyDuringShutdown(t *testing.T) {
	for _, framing := range []string{"Content-Length: 4\r\n\r\nbo|dy", "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n|2\r\ndy\r\n0\r\n\r\n"} {
		s := newInstance(t, 1, respondSealed)
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.address)
		if err != nil {
			t.Fatal(err)
		}
		s.beginShutdown()
		first, rest := cutAtBar(framing)
		_, _ = io.WriteString(c, "POST /write/x HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer secret-key\r\nTest-Id: r\r\n"+first)
		time.Sleep(3 * shutdownRefuseAfter)
		_, _ = io.WriteString(c, rest)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusServiceUnavailable || len(s.receivedRequests()) != 0 {
			t.Errorf("body that arrives late: got status %d and %d requests at targets, want 503 and 0", response.StatusCode, len(s.receivedRequests()))
		}
		_ = c.Close()
	}
}

func cutAtBar(text string) (before, after string) {
	for i, r := range text {
		if r == '|' {
			return text[:i], text[i+1:]
		}
	}
	return text, ""
}

// TestRetryDuringShutdown guards against an attempt that is started late in a shutdown and cut off at its end, after the earlier
// attempt of the request has taken long.
func TestRetryDuringShutdown(t *testing.T) {
	for _, c := range []struct {
		name, method, path string
		fail               func(w http.ResponseWriter)
		want               int
	}{
		{"refused by the target", http.MethodPost, "/write/x", func(w http.ResponseWriter) {
			w.Header().Set(headers.NotRun, "busy")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, http.StatusServiceUnavailable},
		{"broken off by the target", http.MethodGet, "/read/x", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newInstance(t, 3, func(w http.ResponseWriter, r *http.Request, n int) {
				if n == 1 {
					time.Sleep(3 * shutdownRefuseAfter)
					c.fail(w)
					return
				}
				respondSealed(w, r, n)
			})
			s.beginShutdown()
			response, _ := s.send(t, c.method, c.path, "", "Authorization", "Bearer secret-key")
			if got := len(s.receivedRequests()); response.StatusCode != c.want || got != 1 {
				t.Errorf("got status %d and %d requests at targets, want %d and 1", response.StatusCode, got, c.want)
			}
		})
	}
}

// TestDeadlineAtEndOfShutdown guards against a request whose deadline lies just before the end of the shutdown, so that the response
// would come while the connections are closed.
func TestDeadlineAtEndOfShutdown(t *testing.T) {
	s := newInstance(t, 1, respondSealed)
	s.beginShutdown()
	time.Sleep(2 * shutdownRefuseAfter)
	left := shutdownEnd - 2*shutdownRefuseAfter
	for _, c := range []struct {
		timeLeft time.Duration
		want     int
	}{{left / 2, http.StatusOK}, {left - 20*time.Millisecond, http.StatusServiceUnavailable}, {2 * left, http.StatusServiceUnavailable}} {
		response, _ := s.send(t, http.MethodGet, "/read/x", "", "Authorization", "Bearer secret-key", headers.TimeLeft, fmt.Sprint(c.timeLeft.Milliseconds()))
		if response.StatusCode != c.want {
			t.Errorf("with %v left, %v before the end: got status %d, want %d", c.timeLeft, left, response.StatusCode, c.want)
		}
	}
}

// TestRequestAtUnresponsiveTargetIsAnsweredBeforeShutdownEnds guards against callers whose connections are closed without an answer
// at the end of a planned stop, because a target never responds.
func TestRequestAtUnresponsiveTargetIsAnsweredBeforeShutdownEnds(t *testing.T) {
	for method, path := range map[string]string{http.MethodGet: "/read/x", http.MethodPost: "/write/x"} {
		s := newInstance(t, 1, func(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() })
		s.keepConfirmed(t)
		s.beginShutdown()
		end := time.Now().Add(shutdownEnd)
		response, text := s.send(t, method, path, "")
		if response == nil || response.StatusCode != http.StatusBadGateway || !time.Now().Before(end) {
			t.Errorf("%s: got response %v (%s) %v before the end of the shutdown, want 502 before it", method, response, text, time.Until(end))
		}
	}
}
