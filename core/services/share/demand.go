package share

import (
	"math"
	"time"
)

const (
	// minEstimateWindow is the shortest time constant of an estimate.
	minEstimateWindow = 200 * time.Millisecond
	// maxEstimateWindow is the longest time constant, which bounds it for low rates.
	maxEstimateWindow = 2 * time.Second
	// windowArrivals is the number of arrivals at the full rate that the time constant should cover.
	windowArrivals = 4
)

// rateEstimate is an exponentially decaying estimate of arrivals per second.
type rateEstimate struct {
	windowSeconds float64
	rate          float64
	updatedAt     time.Time
}

// newRateEstimate returns an estimate whose time constant suits a limit. It is longer for low rates, which have few
// arrivals.
func newRateEstimate(limit Limit, now time.Time) rateEstimate {
	windowSeconds := minEstimateWindow.Seconds()
	if limit.Rate > 0 {
		windowSeconds = min(max(windowSeconds, windowArrivals/limit.Rate), maxEstimateWindow.Seconds())
	}
	return rateEstimate{windowSeconds: windowSeconds, updatedAt: now}
}

// add counts n arrivals.
func (e *rateEstimate) add(n float64, now time.Time) {
	e.rate = e.value(now) + n/e.windowSeconds
	e.updatedAt = now
}

// value returns the estimate at the given time.
func (e *rateEstimate) value(now time.Time) float64 {
	elapsed := now.Sub(e.updatedAt).Seconds()
	if elapsed <= 0 {
		return e.rate
	}
	return e.rate * math.Exp(-elapsed/e.windowSeconds)
}
