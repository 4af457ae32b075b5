package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageItems is the largest number of items in a page.
	pageItems = 500
	// expiryInterval is the time between searches for leases that have ended.
	expiryInterval = 50 * time.Millisecond
)

// store is a stand-in for the platform's metadata store without faults.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	// changed is closed and replaced with each change.
	changed chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"createdAt,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type page struct {
	Items   []item `json:"items"`
	HasMore bool   `json:"hasMore"`
	AsOf    uint64 `json:"asOf"`
}

type events struct {
	Events []item `json:"events"`
	AsOf   uint64 `json:"asOf"`
}

type transaction struct {
	Expected []item   `json:"expected"`
	Puts     []item   `json:"putItems"`
	Remove   []string `json:"remove"`
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 400, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names.Paths.Range, s.handleRange)
	mux.HandleFunc("GET "+names.Paths.Watch, s.handleWatch)
	mux.HandleFunc("POST "+names.Paths.Transaction, s.handleTransaction)
	mux.HandleFunc("POST "+names.Paths.CreateLease, s.handleCreateLease)
	mux.HandleFunc("POST "+names.Paths.RenewLease+"{id}", s.handleRenewLease)
	mux.HandleFunc("DELETE "+names.Paths.EndLease+"{id}", s.handleEndLease)
	go func() { _ = http.Serve(l, mux) }()
	go func() {
		for range time.Tick(expiryInterval) {
			s.expire()
		}
	}()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a key as an operator or an upstream does.
func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(item{Key: key, Value: []byte(value)})
}

// remove removes a key as the platform does when an upstream is gone.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.delete(key)
}

// write stores an item at the present revision. The caller must hold s.mu.
func (s *store) write(i item) {
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.items[i.Key] = i
	s.report(i)
}

// delete removes a key at the present revision. The caller must hold s.mu.
func (s *store) delete(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.report(item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) report(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.end(id)
		}
	}
}

// end ends a lease. The caller must hold s.mu.
func (s *store) end(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.delete(key)
		}
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := page{Items: []item{}, AsOf: s.revision}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			p.Items = append(p.Items, i)
		}
	}
	slices.SortFunc(p.Items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	if len(p.Items) > pageItems {
		p.Items, p.HasMore = p.Items[:pageItems], true
	}
	respond(w, http.StatusOK, p)
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		e, changed := events{Events: []item{}, AsOf: s.revision}, s.changed
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, r.FormValue("prefix")) {
				e.Events = append(e.Events, i)
			}
		}
		s.mu.Unlock()
		if ended || len(e.Events) > 0 {
			respond(w, http.StatusOK, e)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := page{Items: []item{}, AsOf: s.revision}, true
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		if ok {
			current.Items = append(current.Items, i)
		}
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		respond(w, http.StatusPreconditionFailed, current)
		return
	}
	for _, i := range t.Puts {
		if s.leases[i.Lease] == nil && i.Lease != 0 {
			respond(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.revision++
	for _, i := range t.Puts {
		s.write(i)
	}
	for _, key := range t.Remove {
		s.delete(key)
	}
	respond(w, http.StatusOK, map[string]uint64{"revision": s.revision})
}

func (s *store) handleCreateLease(w http.ResponseWriter, r *http.Request) {
	var m map[string]float64
	if json.NewDecoder(r.Body).Decode(&m) != nil {
		respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(m[names.LeaseSeconds] * float64(time.Second))
	s.leases[s.revision] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	respond(w, http.StatusOK, map[string]any{names.LeaseSeconds: ttl.Seconds(), "lease": s.revision})
}

func (s *store) handleRenewLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		respond(w, http.StatusNotFound, struct{}{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	respond(w, http.StatusOK, map[string]any{names.LeaseSeconds: l.ttl.Seconds()})
}

func (s *store) handleEndLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		respond(w, http.StatusNotFound, struct{}{})
		return
	}
	s.end(id)
	respond(w, http.StatusOK, struct{}{})
}
