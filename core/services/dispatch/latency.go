package dispatch

import (
	"sync"
	"time"
)

const (
	// latencyWeight is the weight of the newest answer in the mean.
	latencyWeight = 0.05
	// minLatencies is the number of answers from which the mean is used.
	minLatencies = 20
	// lateFactor is how many times the mean an answer may take before it is late.
	lateFactor = 20
	// minLate is the least time after which an answer is late.
	minLate = 250 * time.Millisecond
)

// latencies knows how long the answers of each service usually take to begin.
type latencies struct {
	mu sync.Mutex
	// services is keyed by service name.
	services map[string]*latency
}

// latency is an exponentially weighted mean.
type latency struct {
	answers int
	mean    time.Duration
}

func newLatencies() *latencies { return &latencies{services: map[string]*latency{}} }

// add counts an answer that began after a time.
func (l *latencies) add(service string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.services[service]
	if !ok {
		s = &latency{mean: d}
		l.services[service] = s
	}
	s.answers++
	s.mean += time.Duration(latencyWeight * float64(d-s.mean))
}

// late returns the time after which an answer is late; it reports false while that is not known.
func (l *latencies) late(service string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.services[service]
	if !ok || s.answers < minLatencies {
		return 0, false
	}
	return max(minLate, lateFactor*s.mean), true
}
