package dispatch

import (
	"sync"
	"time"
)

const (
	// latencyWeight is the weight of the newest sample in the moving average.
	latencyWeight = 0.05
	// minSamples is the number of samples from which the average is used.
	minSamples = 20
	// headerTimeoutFactor is the ratio of the header timeout to the average.
	headerTimeoutFactor = 20
	// minHeaderTimeout is the lower bound of the header timeout.
	minHeaderTimeout = 250 * time.Millisecond
)

// serviceLatencies tracks the time to the response headers of each service.
type serviceLatencies struct {
	mu sync.Mutex
	// services is keyed by service name.
	services map[string]*meanLatency
}

// meanLatency is an exponentially weighted moving average.
type meanLatency struct {
	samples int
	mean    time.Duration
}

func newLatencies() *serviceLatencies { return &serviceLatencies{services: map[string]*meanLatency{}} }

// add records the time to the response headers of one attempt.
func (l *serviceLatencies) add(service string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.services[service]
	if !ok {
		s = &meanLatency{mean: d}
		l.services[service] = s
	}
	s.samples++
	s.mean += time.Duration(latencyWeight * float64(d-s.mean))
}

// headerTimeout returns the time after which response headers are late; it returns false until there are minSamples.
func (l *serviceLatencies) headerTimeout(service string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.services[service]
	if !ok || s.samples < minSamples {
		return 0, false
	}
	return max(minHeaderTimeout, headerTimeoutFactor*s.mean), true
}
