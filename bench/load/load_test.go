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

func TestExamplePlanIsValid(t *testing.T) {
	if _, err := load.ReadPlan("../../examples/load.yaml"); err != nil {
		t.Fatal(err)
	}
}

// TestParsePlanRejectsInvalidPlans checks that a plan with a missing or excessive limit or an invalid value is rejected.
func TestParsePlanRejectsInvalidPlans(t *testing.T) {
	example, err := os.ReadFile("../../examples/load.yaml")
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct{ name, old, replacement, want string }{
		{"no duration", "duration: 10s", "", "duration:"},
		{"duration too long", "duration: 10s", "duration: 2m", "duration:"},
		{"no request limit", "max-requests: 10000", "", "max-requests:"},
		{"unknown setting", "seed: 1", "sed: 1", "unknown field"},
		{"host name instead of IP address", "127.0.0.1:7101", "localhost:7101", "entries and targets:"},
		{"unknown signal", "faults: []", "faults: [{at: 1s, process: x, signal: pause}]", "faults.signal:"},
		{"process and platform in one fault", "faults: []", `faults: [{at: 1s, process: x, platform: "127.0.0.1:1"}]`, "faults:"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := load.ParsePlan([]byte(strings.Replace(string(example), test.old, test.replacement, 1)))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Fatalf("got error %v, want an error that contains %q", err, test.want)
			}
		})
	}
}

// TestRunReportsOutcomes runs a plan against an instance that answers requests of one service, refuses those of the second and
// drops the connections of the third, and checks the counts in the report.
func TestRunReportsOutcomes(t *testing.T) {
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
	plan := load.Plan{
		Duration: load.MaxDuration, MaxRequests: 90, Spread: "first", Entries: []string{instance.Listener.Addr().String()},
		Teams: []load.Team{{Name: "lawns", Key: "k", Rate: 1, Burst: 45, Requests: []load.Stream{stream("/ok"), stream("/full"), stream("/broken")}}},
	}
	report, err := load.Run(context.Background(), plan, load.Options{})
	if err != nil {
		t.Fatal(err)
	}
	sent, within := 0, 0
	for _, g := range report.Groups {
		sent += g.Sent
		within += g.WithinRate
		answered, refused, failed := g.Answered.Count, g.Refusals["rate-exceeded"], g.Failures["connection broke"]
		// Turn refused and failed into the deviations from the expected counts; both must be 0.
		switch g.Service {
		case "s/ok":
			refused, failed = refused+answered-g.Sent, failed+g.WrongfulRefusals
		case "s/full":
			refused, failed = refused-g.Sent, failed+answered+g.WrongfulRefusals-g.WithinRate
		default:
			refused, failed = refused+answered, failed-g.Sent+g.WrongfulRefusals
		}
		if refused != 0 || failed != 0 {
			t.Errorf("got counts %+v, want each request counted once with the outcome of its service", g)
		}
	}
	if report.Sent != 90 || sent != 90 || within < 45 || within > 46 {
		t.Errorf("got %d requests in total, %d in groups, %d within the rate; want 90, 90 and 45 or 46", report.Sent, sent, within)
	}
	var plot strings.Builder
	if err := report.Plot(&plot); err != nil || !strings.Contains(plot.String(), "<polyline") {
		t.Errorf("got error %v or a plot without lines, want a plot with a polyline", err)
	}
}
