package target_test

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"medlarpond.dev/core/services/target"
)

// TestConcurrentRequests sends requests without a body at the same time, so that the race detector checks the state
// that they share.
func TestConcurrentRequests(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(server.Close)
	s := target.NewSender()
	t.Cleanup(s.Close)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 20 {
				if err := send(t, s, server.Listener.Addr().String(), http.MethodGet, "/"); err != nil {
					t.Error(err)
				}
			}
		})
	}
	group.Wait()
}
