package load_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"medlarpond.dev/bench/load"
	"medlarpond.dev/core/modules/refusal"
)

// TestExample checks that the example is a valid plan.
func TestExample(t *testing.T) {
	if _, err := load.ReadPlan("../../examples/load.yaml"); err != nil {
		t.Fatal(err)
	}
}

// TestPlanFaults checks that a plan without bounds or with a wrong value is refused.
func TestPlanFaults(t *testing.T) {
	example, err := os.ReadFile("../../examples/load.yaml")
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct{ name, old, replacement, want string }{
		{"no duration", "duration: 10s", "", "duration:"},
		{"too long", "duration: 10s", "duration: 2m", "duration:"},
		{"no count", "max-requests: 10000", "", "max-requests:"},
		{"unknown setting", "seed: 1", "sed: 1", "unknown field"},
		{"host name", "127.0.0.1:7101", "localhost:7101", "entries and targets:"},
		{"unknown signal", "faults: []", "faults: [{at: 1s, process: x, signal: pause}]", "faults.signal:"},
		{"two faults in one", "faults: []", `faults: [{at: 1s, process: x, platform: "127.0.0.1:1"}]`, "faults:"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := load.ParsePlan([]byte(strings.Replace(string(example), test.old, test.replacement, 1)))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Fatalf("got %v, want %q", err, test.want)
			}
		})
	}
}

// TestReport runs a plan against an instance that answers one service and refuses another.
func TestReport(t *testing.T) {
	var instance *httptest.Server
	instance = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/medlarpond/v1/lookup":
			_ = json.NewEncoder(w).Encode(map[string]any{
				"instances": []map[string]string{{"address": instance.Listener.Addr().String()}}, "ttl-seconds": 60,
			})
		case "/full":
			refusal.New(http.StatusTooManyRequests, refusal.RateExceeded, "over the rate").Write(w)
		case "/broken":
			panic(http.ErrAbortHandler)
		default:
			_, _ = io.WriteString(w, r.Header.Get("Authorization"))
		}
	}))
	t.Cleanup(instance.Close)
	stream := func(path string) load.Stream {
		return load.Stream{Service: "s" + path, Method: "GET", Path: path, PerSecond: 200, Timeout: load.MaxDuration}
	}
	p := load.Plan{
		Duration: load.MaxDuration, MaxRequests: 90, Spread: "first", Entries: []string{instance.Listener.Addr().String()},
		Teams: []load.Team{{Name: "lawns", Key: "k", Rate: 1, Burst: 45, Requests: []load.Stream{stream("/ok"), stream("/full"), stream("/broken")}}},
	}
	r, err := load.Run(context.Background(), p, load.Options{})
	if err != nil {
		t.Fatal(err)
	}
	sent, within := 0, 0
	for _, g := range r.Groups {
		sent += g.Sent
		within += g.WithinRate
		answered, refused, failed := g.Answered.Count, g.Refusals["rate-exceeded"], g.Failures["connection broke"]
		switch g.Service {
		case "s/ok":
			refused, failed = refused+answered-g.Sent, failed+g.Wrongful
		case "s/full":
			refused, failed = refused-g.Sent, failed+answered+g.Wrongful-g.WithinRate
		default:
			refused, failed = refused+answered, failed-g.Sent+g.Wrongful
		}
		if refused != 0 || failed != 0 {
			t.Errorf("wrong counts: %+v", g)
		}
	}
	if r.Sent != 90 || sent != 90 || within < 45 || within > 46 {
		t.Errorf("sent %d in all, %d by groups, %d within the rate; want 90, 90 and 45 or 46", r.Sent, sent, within)
	}
	var plot strings.Builder
	if err := r.Plot(&plot); err != nil || !strings.Contains(plot.String(), "<polyline") {
		t.Errorf("no plot: %v", err)
	}
}
