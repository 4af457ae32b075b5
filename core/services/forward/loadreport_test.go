package forward

import (
	"net/http"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"medlarpond.dev/core/modules/meter"
	"medlarpond.dev/core/services/placement"
	"medlarpond.dev/core/services/target"
)

// TestLoadReport guards against reports with a pace that are ignored, malformed ones that are believed, and a log line for each
// response of a target that sends them.
func TestLoadReport(t *testing.T) {
	core, logged := observer.New(zapcore.WarnLevel)
	f := New(Config{Headers: Headers{Load: "Load"}, Meter: meter.New(), Logger: zap.New(core)})
	report := func(id string, values ...string) placement.Report {
		return f.loadReport(id, &target.Response{Header: http.Header{"Load": values}})
	}
	for value, want := range map[string]placement.Report{
		"1, 2,3":        {Running: 1, Waiting: 2, Slots: 3, Known: true},
		"0,10000,3,250": {Waiting: 10000, Slots: 3, Pace: 250, Known: true},
	} {
		if got := report("t", value); got != want {
			t.Errorf("%q: got %+v, want %+v", value, got, want)
		}
	}
	for _, value := range []string{
		"", "1,2", "1,2,3,100,5", "1,2,3,", "1,2,3,0", "1,2,3,-100", "+1,2,3", "1,2,3,1e2", "1,2,3,99.5", "1,2,3,10001", "10001,2,3",
		"1,2,3,9999999999999999999", "1,2,x",
	} {
		if got := report("t", value); got != (placement.Report{}) {
			t.Errorf("%q: got %+v, want none", value, got)
		}
	}
	if got := report("t"); got != (placement.Report{}) {
		t.Errorf("got report %+v of a response without one", got)
	}
	if logged.Len() != 1 {
		t.Errorf("got %d log lines for malformed reports of one target, want 1", logged.Len())
	}
	if report("other", "1,2"); logged.Len() != 2 {
		t.Errorf("got %d log lines for malformed reports of two targets, want 2", logged.Len())
	}
}
