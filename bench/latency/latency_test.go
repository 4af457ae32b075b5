package latency_test

import (
	"testing"
	"time"

	"medlarpond.dev/bench/latency"
)

func TestSummarize(t *testing.T) {
	samples := make([]time.Duration, 0, 1000)
	for i := range 1000 {
		samples = append(samples, time.Duration(1000-i))
	}
	tests := []struct {
		name    string
		samples []time.Duration
		want    latency.Summary
	}{
		{"none", nil, latency.Summary{}},
		{"one", []time.Duration{7}, latency.Summary{Count: 1, P50: 7, P99: 7, P999: 7, Max: 7}},
		{"a thousand", samples, latency.Summary{Count: 1000, P50: 500, P99: 990, P999: 999, Max: 1000}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := latency.Summarize(test.samples); got != test.want {
				t.Fatalf("got %+v, want %+v", got, test.want)
			}
		})
	}
}
