// Package target is a stand-in for a backend: it echoes requests, sheds requests while all its slots are in use
// and reports its load.
package target

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// ShedHeader marks a response to a request that was shed without being run.
const ShedHeader = "X-Shed"

// Target is a stand-in backend. It implements http.Handler.
type Target struct {
	// Name is sent in the header X-Target of every response to a request that was run.
	Name string
	// Slots is the maximum number of concurrent requests; further requests are shed.
	Slots int64
	// ProcessingTime is the processing time of each request.
	ProcessingTime time.Duration

	running atomic.Int64
	peak    atomic.Int64
	served  atomic.Int64
	shed    atomic.Int64
}

// Load is the response of the endpoint /load.
type Load struct {
	Name        string `json:"name"`
	Slots       int64  `json:"slots"`
	Running     int64  `json:"running"`
	PeakRunning int64  `json:"peak"`
	Served      int64  `json:"served"`
	Shed        int64  `json:"shed"`
}

// New returns a target with the given number of slots and processing time per request.
func New(name string, slots int64, processingTime time.Duration) *Target {
	return &Target{Name: name, Slots: slots, ProcessingTime: processingTime}
}

// Load returns the current load.
func (t *Target) Load() Load {
	return Load{
		Name: t.Name, Slots: t.Slots, Running: t.running.Load(),
		PeakRunning: t.peak.Load(), Served: t.served.Load(), Shed: t.shed.Load(),
	}
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		_, _ = io.WriteString(w, "ok\n")
	case "/load":
		_ = json.NewEncoder(w).Encode(t.Load())
	default:
		t.serve(w, r)
	}
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	running := t.running.Add(1)
	defer t.running.Add(-1)
	if running > t.Slots {
		t.shed.Add(1)
		w.Header().Set(ShedHeader, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for peak := t.peak.Load(); running > peak && !t.peak.CompareAndSwap(peak, running); peak = t.peak.Load() {
	}
	t.served.Add(1)
	if t.ProcessingTime > 0 {
		select {
		case <-time.After(t.ProcessingTime):
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("X-Target", t.Name)
	w.Header().Set("Content-Type", "text/plain")
	if r.Method == http.MethodPost {
		// Without full duplex the server stops reading the body once the response has started.
		_ = http.NewResponseController(w).EnableFullDuplex()
		if r.ContentLength >= 0 {
			w.Header().Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
		}
		_, _ = io.Copy(w, r.Body)
		return
	}
	_, _ = io.WriteString(w, t.Name+" "+r.URL.Path+"\n")
}
