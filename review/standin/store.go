package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// write is a call to the store that changes something.
type write struct {
	// Path is the path of the call, Caller the remote address, Keys the keys that a transaction puts.
	Path, Caller string
	Keys         []string
}

// writeFault says what happens to a write. The zero value carries it out and answers it.
type writeFault struct {
	// Lost keeps the answer back. The write is carried out after the time Late.
	Lost bool
	Late time.Duration
}

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"createdAt,omitempty"`
	Lease     uint64 `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is an in-memory stand-in for the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	leases   map[uint64]storeLease
	last     uint64
	changed  chan struct{}
	// silence is closed when the open connections go silent; it is replaced for the later ones.
	silence chan struct{}
	// cuts is closed and replaced to cut the watches that wait; streamHeads sends the head of their answers at once.
	cuts        chan struct{}
	streamHeads bool
	// fault decides what happens to a write; nil for no faults.
	fault func(write) writeFault
}

func startStore() (*store, error) {
	s := &store{
		revision: 100, items: map[string]storeItem{}, leases: map[uint64]storeLease{}, last: 77000,
		changed: make(chan struct{}), silence: make(chan struct{}), cuts: make(chan struct{}),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc(wire["getKey"], s.getKey)
	mux.HandleFunc(wire["getRange"], s.getRange)
	mux.HandleFunc(wire["watch"], s.watch)
	mux.HandleFunc(wire["commit"], s.commit)
	mux.HandleFunc(wire["createLease"], s.createLease)
	mux.HandleFunc(wire["keepLease"], s.keepLease)
	mux.HandleFunc(wire["endLease"], s.endLease)
	server := &http.Server{Handler: s.withSilence(mux), ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		s.mu.Lock()
		defer s.mu.Unlock()
		return context.WithValue(ctx, silenceKey{}, s.silence)
	}}
	go func() { _ = server.Serve(l) }()
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.expire()
		}
	}()
	return s, nil
}

// silenceKey is the context key of the channel that is closed when the connection of a call goes silent.
type silenceKey struct{}

// withSilence leaves calls on silent connections without an answer.
func (s *store) withSilence(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		waitIfSilent(r)
		h.ServeHTTP(w, r)
	})
}

// waitIfSilent returns when the caller has closed the connection, if it is silent, and otherwise at once.
func waitIfSilent(r *http.Request) {
	select {
	case <-r.Context().Value(silenceKey{}).(chan struct{}):
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	default:
	}
}

// CutAndRemove cuts the watches that wait and then removes a key.
func (s *store) CutAndRemove(key string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cut {
		close(s.cuts)
		s.cuts = make(chan struct{})
	}
	s.remove(key)
}

// RemoveAndSilence removes a key and makes the open connections go silent for good before they have carried that change. New
// connections work.
func (s *store) RemoveAndSilence(key string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if silent {
		close(s.silence)
		s.silence = make(chan struct{})
	}
	s.remove(key)
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.dropLease(id)
		}
	}
}

// dropLease removes a lease and its keys. The caller holds mu.
func (s *store) dropLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// set writes a key. The caller holds mu.
func (s *store) set(key string, value []byte, lease uint64) {
	s.revision++
	i := storeItem{Key: key, Value: value, Revision: s.revision, CreatedAt: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.CreatedAt = old.CreatedAt
	}
	s.items[key] = i
	s.history = append(s.history, i)
	s.wake()
}

// remove removes a key. The caller holds mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Deleted: true})
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key for the operator or an upstream.
func (s *store) Put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, []byte(value), 0)
}

// Keys returns the keys with a prefix.
func (s *store) Keys(prefix string) (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// SetFault replaces the faults of writes.
func (s *store) SetFault(f func(write) writeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.FormValue("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]uint64{"asOf": s.revision})
		return
	}
	answer(w, http.StatusOK, struct {
		storeItem
		AsOf uint64 `json:"asOf"`
	}{i, s.revision})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	const page = 50
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []storeItem
	for key, i := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > page
	answer(w, http.StatusOK, map[string]any{
		"items": append([]storeItem{}, found[:min(len(found), page)]...), "hasMore": more, "asOf": s.revision,
	})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	send := func(events []storeItem, asOf uint64) {
		answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
	}
	s.mu.Lock()
	if s.streamHeads {
		w.Header().Set("Content-Type", "application/json")
		_ = http.NewResponseController(w).Flush()
		send = func(events []storeItem, asOf uint64) {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "asOf": asOf})
		}
	}
	s.mu.Unlock()
	for {
		s.mu.Lock()
		changed, cut, asOf := s.changed, s.cuts, s.revision
		events := []storeItem{}
		for n := len(s.history) - 1; n >= 0 && s.history[n].Revision > after; n-- {
			if strings.HasPrefix(s.history[n].Key, r.FormValue("prefix")) {
				events = append(events, s.history[n])
			}
		}
		s.mu.Unlock()
		slices.Reverse(events)
		waitIfSilent(r)
		if len(events) > 0 {
			send(events, asOf)
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-timeout:
			send(events, asOf)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// carryOut applies the fault for a write around do, which carries it out and returns the answer. The caller must not hold mu.
func (s *store) carryOut(w http.ResponseWriter, r *http.Request, keys []string, do func() (int, any)) {
	s.mu.Lock()
	var f writeFault
	if s.fault != nil {
		f = s.fault(write{Path: r.URL.Path, Caller: r.RemoteAddr, Keys: keys})
	}
	if !f.Lost {
		defer s.mu.Unlock()
		status, v := do()
		answer(w, status, v)
		return
	}
	if f.Late == 0 {
		do()
	} else {
		time.AfterFunc(f.Late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			do()
		})
	}
	s.mu.Unlock()
	// Nothing comes back on this connection any more.
	<-r.Context().Done()
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string
			Revision uint64
		}
		PutItems []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Remove []string
	}
	body, _ := io.ReadAll(r.Body)
	if json.Unmarshal(body, &t) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	var keys []string
	for _, p := range t.PutItems {
		keys = append(keys, p.Key)
	}
	s.carryOut(w, r, keys, func() (int, any) {
		holds, current := true, []storeItem{}
		for _, e := range t.Expected {
			i, ok := s.items[e.Key]
			if ok {
				current = append(current, i)
			}
			holds = holds && i.Revision == e.Revision
		}
		if !holds {
			return http.StatusPreconditionFailed, map[string]any{"items": current, "asOf": s.revision}
		}
		for _, p := range t.PutItems {
			if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
				return http.StatusNotFound, map[string]any{}
			}
		}
		for _, p := range t.PutItems {
			s.set(p.Key, p.Value, p.Lease)
		}
		for _, key := range t.Remove {
			s.remove(key)
		}
		return http.StatusOK, map[string]uint64{"revision": s.revision}
	})
}

func (s *store) createLease(w http.ResponseWriter, r *http.Request) {
	var t map[string]float64
	body, _ := io.ReadAll(r.Body)
	if json.Unmarshal(body, &t) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	s.carryOut(w, r, nil, func() (int, any) {
		s.last++
		ttl := time.Duration(max(t[wire["leaseTime"]], 1) * float64(time.Second))
		s.leases[s.last] = storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
		return http.StatusOK, map[string]any{"lease": s.last, wire["leaseTime"]: ttl.Seconds()}
	})
}

func (s *store) keepLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	answer(w, http.StatusOK, map[string]any{wire["leaseTime"]: l.ttl.Seconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.carryOut(w, r, nil, func() (int, any) {
		if _, ok := s.leases[id]; !ok {
			return http.StatusNotFound, map[string]any{}
		}
		s.dropLease(id)
		return http.StatusOK, map[string]any{}
	})
}
