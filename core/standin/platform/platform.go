// Package platform is an in-memory stand-in for the platform that medlarpond runs on: the key-value store and the service
// catalog of the Consul HTTP API, with fault injection for tests.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxValueBytes is the largest size of a value.
	maxValueBytes = 1 << 20
	// maxWait is the longest duration of a blocking query.
	maxWait = 5 * time.Minute
)

// Faults are the injected faults of the stand-in.
type Faults struct {
	// Down makes every call fail with status 503.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseWriteResponse makes each write drop the connection after the write was applied.
	LoseWriteResponse bool
	// LoseWrite makes each write drop the connection without being applied.
	LoseWrite bool
	// Unresponsive makes every call hang until its caller gives up.
	Unresponsive bool
}

// Platform is the stand-in. It implements http.Handler and is safe for concurrent use.
type Platform struct {
	mu sync.Mutex
	// index is incremented by every write that is applied. It decreases only when Restore loads an older state.
	index     uint64
	entries   map[string]entry
	instances map[string]bool
	faults    Faults
	calls     uint64
	// changed is closed and replaced when the key-value store or the faults change.
	changed chan struct{}
	mux     *http.ServeMux
}

type entry struct {
	value []byte
	index uint64
}

type entryResponse struct {
	Key         string `json:"Key"`
	Value       []byte `json:"Value"`
	ModifyIndex uint64 `json:"ModifyIndex"`
}

type catalogEntry struct {
	ServiceID   string            `json:"ServiceID"`
	ServiceMeta map[string]string `json:"ServiceMeta"`
}

// State is a snapshot of the key-value store.
type State struct {
	index   uint64
	entries map[string]entry
}

// New returns an empty platform.
func New() *Platform {
	p := &Platform{
		index:     1,
		entries:   map[string]entry{},
		instances: map[string]bool{},
		changed:   make(chan struct{}),
		mux:       http.NewServeMux(),
	}
	p.mux.HandleFunc("GET /v1/kv/{key...}", p.get)
	p.mux.HandleFunc("PUT /v1/kv/{key...}", p.write)
	p.mux.HandleFunc("DELETE /v1/kv/{key...}", p.write)
	p.mux.HandleFunc("GET /v1/catalog/service/{service}", p.catalog)
	return p
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.broadcast()
}

// SetInstance adds an instance to the catalog, or updates whether it is leaving.
func (p *Platform) SetInstance(id string, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[id] = leaving
}

// RemoveInstance removes an instance from the catalog.
func (p *Platform) RemoveInstance(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, id)
}

// CallCount returns the number of calls so far. A blocking query counts as one.
func (p *Platform) CallCount() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// KeyCount returns the number of stored keys.
func (p *Platform) KeyCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.entries)
}

// Save returns a snapshot of the key-value store.
func (p *Platform) Save() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	copied := make(map[string]entry, len(p.entries))
	for k, e := range p.entries {
		copied[k] = e
	}
	return State{index: p.index, entries: copied}
}

// Restore replaces the key-value store by a snapshot, as when a store loses writes and comes back with an older state.
func (p *Platform) Restore(s State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index = s.index
	p.entries = make(map[string]entry, len(s.entries))
	for k, e := range s.entries {
		p.entries[k] = e
	}
	p.broadcast()
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.calls++
	f := p.faults
	p.mu.Unlock()
	if f.Unresponsive {
		// The server notices that the client has disconnected only after the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-r.Context().Done():
			return
		}
	}
	if f.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.mux.ServeHTTP(w, r)
}

func (p *Platform) broadcast() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	key, query := r.PathValue("key"), r.URL.Query()
	if query.Get("index") != "" {
		p.waitForChange(r, key)
	}
	p.mu.Lock()
	entries := p.find(key, query.Has("recurse"))
	index := p.index
	down := p.faults.Down
	p.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if len(entries) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, entries)
}

// waitForChange waits until the key has a larger index than the one in the query, the store was reset to a smaller index,
// the platform is down, the wait time has passed, or the client has disconnected.
func (p *Platform) waitForChange(r *http.Request, key string) {
	query := r.URL.Query()
	index, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait > maxWait {
		wait = maxWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		e, ok := p.entries[key]
		reset := index > p.index
		changed := p.changed
		down := p.faults.Down
		p.mu.Unlock()
		if down || reset || (ok && e.index > index) {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) find(key string, recurse bool) []entryResponse {
	var found []entryResponse
	for k, e := range p.entries {
		if k == key || (recurse && strings.HasPrefix(k, key)) {
			found = append(found, entryResponse{Key: k, Value: e.value, ModifyIndex: e.index})
		}
	}
	slices.SortFunc(found, func(a, b entryResponse) int { return strings.Compare(a.Key, b.Key) })
	return found
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request) {
	value, err := readValue(w, r)
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	if f.LoseWrite {
		panic(http.ErrAbortHandler)
	}
	applied := p.apply(r, value)
	if f.LoseWriteResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, applied)
}

func (p *Platform) apply(r *http.Request, value []byte) bool {
	key, query := r.PathValue("key"), r.URL.Query()
	p.mu.Lock()
	defer p.mu.Unlock()
	if query.Has("cas") {
		expected, _ := strconv.ParseUint(query.Get("cas"), 10, 64)
		if p.entries[key].index != expected {
			return false
		}
	}
	p.index++
	if r.Method == http.MethodDelete {
		delete(p.entries, key)
	} else {
		p.entries[key] = entry{value: value, index: p.index}
	}
	p.broadcast()
	return true
}

func (p *Platform) catalog(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	catalog := []catalogEntry{}
	for id, leaving := range p.instances {
		meta := map[string]string{"leaving": strconv.FormatBool(leaving)}
		catalog = append(catalog, catalogEntry{ServiceID: id, ServiceMeta: meta})
	}
	p.mu.Unlock()
	slices.SortFunc(catalog, func(a, b catalogEntry) int { return strings.Compare(a.ServiceID, b.ServiceID) })
	writeJSON(w, catalog)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func readValue(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
}
