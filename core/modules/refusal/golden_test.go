package refusal_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"medlarpond.dev/core/modules/refusal"
)

// TestGolden checks the error responses that programs of callers parse; `go test -update` rewrites the golden files.
func TestGolden(t *testing.T) {
	tests := []struct {
		name    string
		refusal *refusal.Refusal
	}{
		{"not-run", refusal.New(404, refusal.NoRoute, "no route has this path")},
		{"retryable", refusal.New(503, refusal.Overloaded, "no target has a free slot").WithRetryAfter(1500 * time.Millisecond)},
		{"may-have-run", refusal.NewMayHaveRun(504, refusal.OutcomeUnknown, "the time was over before the target answered")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			test.refusal.Write(w)
			response := w.Result()
			defer func() { _ = response.Body.Close() }()
			text := response.Status + "\n"
			for _, name := range []string{"Cache-Control", "Content-Type", "Medlarpond-Not-Run", "Retry-After"} {
				text += name + ": " + response.Header.Get(name) + "\n"
			}
			goldie.New(t).Assert(t, test.name, []byte(text+"\n"+w.Body.String()))
		})
	}
}
