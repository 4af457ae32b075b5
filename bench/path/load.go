package path

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"time"

	"medlarpond.dev/bench/latency"
)

// load is a fixed number of callers that send one request after the other.
type load struct {
	// urls are used in turn, each by the same callers.
	urls      []string
	callers   int
	transport *http.Transport

	samples []time.Duration
	errors  int
	elapsed time.Duration
	mallocs uint64
}

func newLoad(callers int, addresses ...string) *load {
	urls := make([]string, 0, len(addresses))
	for _, address := range addresses {
		urls = append(urls, "http://"+address+route)
	}
	return &load{
		urls: urls, callers: callers,
		transport: &http.Transport{MaxIdleConnsPerHost: callers, DisableCompression: true},
	}
}

func (l *load) close() { l.transport.CloseIdleConnections() }

func (l *load) reset() {
	l.samples, l.errors, l.elapsed, l.mallocs = nil, 0, 0, 0
}

// run sends requests for the given time and adds what it measures.
func (l *load) run(ctx context.Context, d time.Duration) {
	var wait sync.WaitGroup
	samples := make([][]time.Duration, l.callers)
	errors := make([]int, l.callers)
	before := mallocs()
	started := time.Now()
	for i := range l.callers {
		wait.Go(func() { samples[i], errors[i] = l.call(ctx, l.urls[i%len(l.urls)], started.Add(d)) })
	}
	wait.Wait()
	l.elapsed += time.Since(started)
	l.mallocs += mallocs() - before
	for i := range l.callers {
		l.samples = slices.Concat(l.samples, samples[i])
		l.errors += errors[i]
	}
}

// call is one caller; it returns the latencies of whole answers and the number of failures.
func (l *load) call(ctx context.Context, url string, until time.Time) (samples []time.Duration, failed int) {
	for time.Now().Before(until) && ctx.Err() == nil {
		started := time.Now()
		if err := l.request(ctx, url); err != nil {
			failed++
			continue
		}
		samples = append(samples, time.Since(started))
	}
	return samples, failed
}

// errStatus is returned for an answer other than 200.
type errStatus struct{}

// Error implements error.
func (errStatus) Error() string { return "unexpected status" }

func (l *load) request(ctx context.Context, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header["Authorization"] = []string{"Bearer " + key}
	response, err := l.transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errStatus{}
	}
	return nil
}

func (l *load) way() Way {
	w := Way{Summary: latency.Summarize(l.samples), Errors: l.errors}
	w.Throughput = float64(w.Count) / l.elapsed.Seconds()
	w.Allocations = float64(l.mallocs) / float64(max(w.Count, 1))
	return w
}

func mallocs() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}
