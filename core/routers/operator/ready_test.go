package operator_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/zap"

	"medlarpond.dev/core/modules/meter"
	"medlarpond.dev/core/routers/operator"
	"medlarpond.dev/core/services/configuration"
	"medlarpond.dev/core/services/membership"
)

// TestReady checks that only an instance that is ready and confirmed gets status 200, and that others report their
// state.
func TestReady(t *testing.T) {
	tests := []struct {
		state     membership.State
		confirmed bool
		status    int
		want      string
	}{
		{membership.StateReady, true, http.StatusOK, "ready"},
		{membership.StateReady, false, http.StatusServiceUnavailable, "unconfirmed"},
		{membership.StateStarting, true, http.StatusServiceUnavailable, "starting"},
		{membership.StateLeaving, true, http.StatusServiceUnavailable, "leaving"},
	}
	for _, test := range tests {
		t.Run(test.want, func(t *testing.T) {
			status := func() operator.Status {
				return operator.Status{Self: membership.Member{State: test.state}, Confirmed: test.confirmed}
			}
			router := operator.New(configuration.NewState(), nil, status, meter.New(), zap.NewNop())
			w := httptest.NewRecorder()
			router.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/readyz", nil))
			if w.Code != test.status || !strings.Contains(w.Body.String(), test.want) {
				t.Errorf("got %d %q, want %d with %q", w.Code, w.Body, test.status, test.want)
			}
		})
	}
}
