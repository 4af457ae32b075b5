package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"medlarpond.dev/core/modules/connlimit"
	"medlarpond.dev/core/services/intake"
)

// TestCutResponseToHTTP10 guards against a response that its target breaks off and that looks complete to a caller that uses HTTP/1.0,
// as the end of its connection ends the body.
func TestCutResponseToHTTP10(t *testing.T) {
	const whole, part = 200_000, 100_000
	for _, cut := range []bool{true, false} {
		t.Run(fmt.Sprintf("cut %v", cut), func(t *testing.T) {
			s := newInstance(t, 1, func(w http.ResponseWriter, _ *http.Request, _ int) {
				w.Header().Set(headers.Seal, "seal")
				w.Header().Set("Content-Length", fmt.Sprint(whole))
				_, _ = io.WriteString(w, strings.Repeat("a", part))
				if cut {
					closeConn(w)
				}
				_, _ = io.WriteString(w, strings.Repeat("b", whole-part))
			})
			account := s.serveWithLimits(t)
			c, err := net.Dial("tcp", s.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.WriteString(c, "GET /open/1 HTTP/1.0\r\nHost: shop.example\r\n"+headers.RequestID+": r-1\r\n\r\n")
			response, err := io.ReadAll(c)
			if cut && err == nil {
				t.Errorf("got %d bytes and the end of the connection, want a reset", len(response))
			}
			if !cut && (err != nil || strings.Count(string(response), "b") < whole-part) {
				t.Errorf("got %d bytes and error %v, want the whole response", len(response), err)
			}
			_ = c.Close()
			requireReleased(t, account)
		})
	}
}

// serveWithLimits is like serveWithAccount with default limits, and bounds the connections as well.
func (s *testInstance) serveWithLimits(tb testing.TB) *intake.Account {
	tb.Helper()
	account := intake.NewAccount(64<<20, accountPolicy, func(intake.Reason) {})
	limiter := connlimit.New(100, func() connlimit.Limits { return connlimit.Limits{} }, func(string) {})
	s.router.SetAccount(account)
	server := httptest.NewUnstartedServer(s.router)
	server.Config.ConnContext, server.Config.ConnState = s.router.ConnContext, limiter.ConnState
	account.Configure(server.Config)
	server.Listener = account.Listener(s.router.Listener(limiter.Listener(server.Listener)))
	server.Start()
	tb.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	return account
}
