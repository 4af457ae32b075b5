package front_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"medlarpond.dev/core/services/intake"
)

// accountPolicy has limits that tests reach soon.
var accountPolicy = intake.Policy{
	MaxFields: 100, MinProgress: 1 << 10, StallTime: 300 * time.Millisecond, EvictAfter: 50 * time.Millisecond, BodyTimeout: 5 * time.Second,
	BodyShare: 0.75,
}

// serveWithAccount starts a second server for the instance, whose memory is bounded by an account, and makes the helpers of s use it.
func (s *testInstance) serveWithAccount(tb testing.TB, limit int64, policy intake.Policy) *intake.Account {
	tb.Helper()
	account := intake.NewAccount(limit, policy, func(intake.Reason) {})
	s.router.SetAccount(account)
	server := httptest.NewUnstartedServer(s.router)
	server.Config.ConnContext = s.router.ConnContext
	account.Configure(server.Config)
	server.Listener = account.Listener(s.router.Listener(server.Listener))
	server.Start()
	tb.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	return account
}

// requireReleased fails if an account is still in use some time after all connections have been closed.
func requireReleased(tb testing.TB, account *intake.Account) {
	tb.Helper()
	for end := time.Now().Add(5 * time.Second); account.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatalf("got %d bytes in use after all connections have been closed, want 0", account.Used())
		}
	}
}

// TestSlowUploads guards against the refusal of a body that arrives slowly but steadily, for longer than a stall and than the timeout
// of the route, and against one that is kept although it does not progress.
func TestSlowUploads(t *testing.T) {
	for name, c := range map[string]struct {
		pieces, pieceSize int
		want              int
	}{
		"steady":    {30, 10 << 10, http.StatusOK},
		"trickling": {30, 10, http.StatusRequestTimeout},
		"small":     {30, 2 << 10, http.StatusOK},
		"stopped":   {30, 0, http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			s := newInstance(t, 1, respondSealed)
			s.keepConfirmed(t)
			account := s.serveWithAccount(t, 8<<20, accountPolicy)
			p := s.pipeline(t)
			size := c.pieces * max(c.pieceSize, 1)
			p.send(t, fmt.Sprintf("POST /write/x HTTP/1.1\r\nHost: shop.example\r\n%s: slow\r\nAuthorization: Bearer secret-key\r\nContent-Length: %d\r\n\r\n",
				headers.RequestID, size))
			go func() {
				for range c.pieces {
					time.Sleep(50 * time.Millisecond)
					if _, err := io.WriteString(p, strings.Repeat("x", c.pieceSize)); err != nil {
						return
					}
				}
			}()
			p.expect(t, c.want, "slow")
			want := 0
			if c.want == http.StatusOK {
				want = 1
			}
			if got := s.receivedRequests(); len(got) != want || (want == 1 && len(got[0].body) != size) {
				t.Errorf("got %d requests at the target, want %d with the whole body", len(got), want)
			}
			_ = p.Close()
			requireReleased(t, account)
		})
	}
}

// TestRequestsWithoutMemory guards against memory that is not released, against pipelined requests that displace the first one, and
// against a refusal of a request that has run.
func TestRequestsWithoutMemory(t *testing.T) {
	const count = 12
	s := newInstance(t, 2, respondSealed)
	s.keepConfirmed(t)
	// There is room for one request that is handled early, and then for one more.
	account := s.serveWithAccount(t, 192<<10, accountPolicy)
	p := s.pipeline(t)
	var texts []string
	for n := range count {
		texts = append(texts, requestText(http.MethodGet, "/read/x", fmt.Sprint("r-", n), ""))
	}
	p.send(t, texts...)
	for n := range count {
		p.expect(t, http.StatusOK, fmt.Sprint("r-", n))
	}
	// There is no room for the whole body, which is streamed.
	p.send(t, requestText(http.MethodPost, "/write/x", "large", strings.Repeat("x", 200<<10)))
	p.expect(t, http.StatusOK, "large")
	_ = p.Close()
	requireReleased(t, account)

	s = newInstance(t, 2, respondSealed)
	s.keepConfirmed(t)
	account = s.serveWithAccount(t, 80<<10, accountPolicy)
	for _, body := range []string{"body", strings.Repeat("x", 60<<10)} {
		p := s.pipeline(t)
		p.send(t, requestText(http.MethodPost, "/write/x", "refused", body))
		p.expect(t, http.StatusServiceUnavailable, "refused")
		_ = p.Close()
		requireReleased(t, account)
	}
	if got := len(s.receivedRequests()); got != 0 {
		t.Errorf("got %d requests at the targets, want 0", got)
	}
}

// FuzzFraming sends arbitrary bytes to two instances, of which one has an account. The responses must be the same, and
// nothing may stay charged: the account may change whether there is room for a request, never how its head and body are read.
func FuzzFraming(f *testing.F) {
	get, post := requestText(http.MethodGet, "/read/x", "1", ""), requestText(http.MethodPost, "/write/x", "2", "body")
	chunked := strings.Replace(requestText(http.MethodPost, "/write/x", "3", ""), "\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n", 1)
	for _, seed := range []string{
		get + post + get,
		chunked + "4\r\nbody\r\n0\r\nX: trailer\r\n\r\n" + get,
		chunked + "4;extension\r\nbody\r\n0\r\n\r\n",
		chunked + "fffffffffffffffff\r\nbody",
		chunked + "4\r\nbo",
		strings.Replace(post, "Content-Length: 4", "Content-Length: 5", 1),
		strings.Replace(post, "Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5", 1),
		strings.Replace(chunked, "chunked", "chunked\r\nContent-Length: 4", 1) + "4\r\nbody\r\n0\r\n\r\n",
		strings.Replace(get, "\r\n\r\n", strings.Repeat("\nX: a", 1000)+"\r\n\r\n", 1) + get,
		"\r\n\r\n" + strings.ReplaceAll(get, "\r\n", "\n"),
	} {
		f.Add([]byte(seed))
	}
	plain, s := newInstance(f, 3, respondSealed), newInstance(f, 3, respondSealed)
	plain.keepConfirmed(f)
	s.keepConfirmed(f)
	policy := accountPolicy
	policy.MaxFields, policy.StallTime = 1<<20, time.Minute
	account := s.serveWithAccount(f, 64<<20, policy)
	f.Fuzz(func(t *testing.T, content []byte) {
		want := converse(t, plain.address, content)
		if got := converse(t, s.address, content); got != want {
			t.Errorf("got responses\n%s\nwant, as without an account,\n%s", got, want)
		}
		requireReleased(t, account)
	})
}
