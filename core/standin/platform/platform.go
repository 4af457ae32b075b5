// Package platform is a small stand-in for the users' platform: the key-value part of the Consul HTTP API
// and the list of instances, in memory, with faults that tests switch on.
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
	// maxValueBytes is the largest value that a key may hold.
	maxValueBytes = 1 << 20
	// maxWait bounds a blocking query.
	maxWait = 5 * time.Minute
)

// Faults are the ways in which the stand-in misbehaves.
type Faults struct {
	// Down answers 503 to everything.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseWriteAnswer applies a write and then drops the connection.
	LoseWriteAnswer bool
	// LoseWrite drops the connection without applying a write.
	LoseWrite bool
	// Silent holds every call until its caller gives up.
	Silent bool
}

// Platform is the stand-in; use it as an http.Handler.
type Platform struct {
	mu sync.Mutex
	// index grows with every write and never decreases, unless Restore puts back an older state.
	index     uint64
	entries   map[string]entry
	instances map[string]bool
	faults    Faults
	calls     uint64
	// changed is closed and replaced on every write.
	changed chan struct{}
	mux     *http.ServeMux
}

type entry struct {
	value []byte
	index uint64
}

type wireEntry struct {
	Key         string `json:"Key"`
	Value       []byte `json:"Value"`
	ModifyIndex uint64 `json:"ModifyIndex"`
}

type wireInstance struct {
	ServiceID   string            `json:"ServiceID"`
	ServiceMeta map[string]string `json:"ServiceMeta"`
}

// State is a copy of everything the stand-in holds.
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

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.broadcast()
}

// SetInstance lists an instance as live or leaving.
func (p *Platform) SetInstance(id string, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[id] = leaving
}

// RemoveInstance takes an instance off the list.
func (p *Platform) RemoveInstance(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, id)
}

// Calls returns the number of calls so far, a waiting watch counted as one.
func (p *Platform) Calls() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Keys returns the number of keys held.
func (p *Platform) Keys() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.entries)
}

// Save copies the state.
func (p *Platform) Save() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	copied := make(map[string]entry, len(p.entries))
	for k, e := range p.entries {
		copied[k] = e
	}
	return State{index: p.index, entries: copied}
}

// Restore puts back a saved state, as a store does that comes back with less than it had.
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
	if f.Silent {
		// The server notices that its caller is gone only after the body was read.
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
		p.block(r, key)
	}
	p.mu.Lock()
	found := p.find(key, query.Has("recurse"))
	index := p.index
	down := p.faults.Down
	p.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if len(found) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, found)
}

// block waits until the key has an index past the given one or the wait is over.
func (p *Platform) block(r *http.Request, key string) {
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

func (p *Platform) find(key string, recurse bool) []wireEntry {
	var found []wireEntry
	for k, e := range p.entries {
		if k == key || (recurse && strings.HasPrefix(k, key)) {
			found = append(found, wireEntry{Key: k, Value: e.value, ModifyIndex: e.index})
		}
	}
	slices.SortFunc(found, func(a, b wireEntry) int { return strings.Compare(a.Key, b.Key) })
	return found
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request) {
	value, err := readAll(w, r)
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
	if f.LoseWriteAnswer {
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
	listed := []wireInstance{}
	for id, leaving := range p.instances {
		meta := map[string]string{"leaving": strconv.FormatBool(leaving)}
		listed = append(listed, wireInstance{ServiceID: id, ServiceMeta: meta})
	}
	p.mu.Unlock()
	slices.SortFunc(listed, func(a, b wireInstance) int { return strings.Compare(a.ServiceID, b.ServiceID) })
	writeJSON(w, listed)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func readAll(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
}
