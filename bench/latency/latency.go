// Package latency computes quantiles of request latencies.
package latency

import (
	"math"
	"slices"
	"time"
)

// Summary has the number, the quantiles and the maximum of a set of latencies.
type Summary struct {
	Count int           `json:"count"`
	P50   time.Duration `json:"p50-ns"`
	P99   time.Duration `json:"p99-ns"`
	P999  time.Duration `json:"p999-ns"`
	Max   time.Duration `json:"max-ns"`
}

// Summarize returns the summary of the samples, which it sorts in place.
func Summarize(samples []time.Duration) Summary {
	slices.Sort(samples)
	return Summary{
		Count: len(samples),
		P50:   quantile(samples, 0.5), P99: quantile(samples, 0.99), P999: quantile(samples, 0.999), Max: quantile(samples, 1),
	}
}

// quantile returns the smallest sample that is at least as large as the fraction q of all samples (nearest-rank method).
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(math.Ceil(q * float64(len(sorted))))
	return sorted[max(rank-1, 0)]
}
