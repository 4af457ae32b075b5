package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"medlarpond.dev/core/modules/refusal"
)

// TestLostConnectionsAreNotCrashes lets targets close the connection of a request without dying. A request that is sent again
// and again must not be refused as one that crashes targets.
func TestLostConnectionsAreNotCrashes(t *testing.T) {
	s := newInstance(t, 3, func(w http.ResponseWriter, r *http.Request, n int) {
		if n <= 6 {
			closeConn(w)
		}
		respondSealed(w, r, n)
	})
	s.keepConfirmed(t)
	status := 0
	for n, end := 0, time.Now().Add(5*time.Second); status != http.StatusOK && time.Now().Before(end); n++ {
		response, body := s.send(t, http.MethodGet, "/read/x", "", headers.RequestID, fmt.Sprint("r-", n))
		if response == nil {
			t.Fatal(body)
		}
		if strings.Contains(body, string(refusal.CrashSuspected)) {
			t.Fatalf("got status %d (%s) although no target has died", response.StatusCode, body)
		}
		status = response.StatusCode
		time.Sleep(20 * time.Millisecond)
	}
	if received := len(s.receivedRequests()); status != http.StatusOK || received < 7 {
		t.Errorf("got status %d after %d attempts, want 200 once the targets respond, after 6", status, received)
	}
}
