package share

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the estimate of demand.
	demandWindow = 200 * time.Millisecond
	// maxDemandWindow bounds the time constant for low rates.
	maxDemandWindow = 2 * time.Second
	// demandEvents is the number of arrivals at the full rate that the time constant should cover.
	demandEvents = 4
)

// demand estimates arrivals a second by exponential decay.
type demand struct {
	window  float64
	rate    float64
	updated time.Time
}

// newDemand returns an estimate whose time constant suits a limit: longer for low rates, which have few arrivals.
func newDemand(limit Limit, now time.Time) demand {
	window := demandWindow.Seconds()
	if limit.Rate > 0 {
		window = min(max(window, demandEvents/limit.Rate), maxDemandWindow.Seconds())
	}
	return demand{window: window, updated: now}
}

// add counts n arrivals.
func (d *demand) add(n float64, now time.Time) {
	d.rate = d.at(now) + n/d.window
	d.updated = now
}

// at returns the estimate at a time.
func (d *demand) at(now time.Time) float64 {
	elapsed := now.Sub(d.updated).Seconds()
	if elapsed <= 0 {
		return d.rate
	}
	return d.rate * math.Exp(-elapsed/d.window)
}
