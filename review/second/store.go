package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store as PROTOCOL.md describes it.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"createdAt,omitempty"`
	Lease     uint64 `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	nextID   uint64
	listener net.Listener
}

type lease struct {
	ttl time.Duration
	end time.Time
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", freePort()))
	if err != nil {
		return nil, err
	}
	s := &store{changed: make(chan struct{}), revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, nextID: 100, listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc(names["get-key"], s.getKey)
	mux.HandleFunc(names["get-range"], s.getRange)
	mux.HandleFunc(names["watch"], s.watch)
	mux.HandleFunc(names["transact"], s.transact)
	mux.HandleFunc(names["create-lease"], s.createLease)
	mux.HandleFunc(names["keep-lease"], s.keepLease)
	mux.HandleFunc(names["end-lease"], s.endLease)
	go func() { _ = http.Serve(l, mux) }()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.end) {
					s.dropLease(id)
				}
			}
			s.mu.Unlock()
		}
	}()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a key as the operator or a server does.
func (s *store) put(key string, value any) uint64 {
	encoded, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putLocked(key, encoded, 0)
	s.notify()
	return s.revision
}

// remove removes a key as the operator or a server does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		s.removeLocked(key)
		s.notify()
	}
}

// count returns the number of keys with a prefix.
func (s *store) count(prefix string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

func (s *store) putLocked(key string, value []byte, lease uint64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedAt
	}
	i := item{Key: key, Value: value, Revision: s.revision, CreatedAt: created, Lease: lease}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) removeLocked(key string) {
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) dropLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.removeLocked(key)
		}
	}
	s.notify()
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		respond(w, http.StatusNotFound, map[string]any{})
		return
	}
	respond(w, http.StatusOK, i)
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	respond(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "asOf": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
				expired = true
			}
		}
		if len(events) > 0 || expired {
			respond(w, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"putItems"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expected)+len(t.Puts)+len(t.Remove) > 32 {
		respond(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, conflict := []item{}, false
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		conflict = conflict || i.Revision != e.Revision
	}
	if conflict {
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, names["operator-prefix"]) || strings.HasPrefix(p.Key, "servers/") {
			respond(w, http.StatusForbidden, map[string]any{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			respond(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		if _, ok := s.items[key]; ok {
			s.removeLocked(key)
		}
	}
	s.notify()
	respond(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) createLease(w http.ResponseWriter, r *http.Request) {
	in := map[string]float64{}
	_ = json.NewDecoder(r.Body).Decode(&in)
	ttl := time.Duration(min(max(in[names["lease-time"]], 1), 600) * float64(time.Second))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	respond(w, http.StatusOK, map[string]any{"lease": s.nextID, names["lease-time"]: ttl.Seconds()})
}

func (s *store) keepLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		respond(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	respond(w, http.StatusOK, map[string]any{"lease": id, names["lease-time"]: l.ttl.Seconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		respond(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.dropLease(id)
	respond(w, http.StatusOK, map[string]any{})
}
