package main

import (
	"net/http"
	"sync"
	"time"
)

// runTimes holds when requests began to run, the earliest first.
type runTimes struct {
	mu    sync.Mutex
	times []time.Time
}

func (r *runTimes) begin(*server, *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times = append(r.times, time.Now())
}

// mostIn returns the largest number of requests in any window.
func (r *runTimes) mostIn(window time.Duration) (most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := 0
	for n, at := range r.times {
		for at.Sub(r.times[first]) > window {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}
