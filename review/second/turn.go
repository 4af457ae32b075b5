package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["turn"] = runTurn }

// largeAnswer and usualAnswer are the sizes of the answers for the object largeObject of each batch and for the others, in bytes.
const (
	largeAnswer = 4_000_000
	usualAnswer = 5_000
	largeObject = 1
	batchSize   = 8
)

// runs records which requests sound servers have run to their end.
type runs struct {
	mu   sync.Mutex
	done map[string]bool
	// slow is the ID of the server that works slowly; empty if none does.
	slow string
}

// serve answers a request of the case.
func (r *runs) serve(s *server, w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	work := s.work
	if r.slow == s.id {
		work *= 5
	}
	r.mu.Unlock()
	select {
	case <-time.After(work):
	case <-request.Context().Done():
		return
	}
	id := request.Header.Get(names["id"])
	h := w.Header()
	h.Set(names["seal"], "seal-"+s.id+"-"+id)
	size := usualAnswer
	if cookie, err := request.Cookie(names["object"]); err == nil && strings.HasSuffix(cookie.Value, fmt.Sprintf("%02d", largeObject)) {
		size = largeAnswer
	}
	h.Set("Content-Length", fmt.Sprint(size))
	r.mu.Lock()
	if r.slow != s.id {
		r.done[id] = true
	}
	r.mu.Unlock()
	_, _ = io.WriteString(w, strings.Repeat("a", size))
}

// runTurn sends eight requests at a time on kept connections. The first of them goes to a server that has turned slow, so that it is
// answered at the timeout of its route. It checks that the others, which sound servers run, are answered. Without the disruption no
// server is slow.
func runTurn(e *environment) (broken bool, err error) {
	zones := map[string]string{"kol-salt": "kolkata"}
	i := e.addInstance(machine{
		name: "front-kol-salt-1", zone: "kol-salt", region: "kolkata", store: e.store.address(), memoryMB: 284, maxFDs: 4100, cpuShare: 0.32,
	}, zones)
	e.store.put(names["desired-state"], desiredState(2, 0))
	r := &runs{done: map[string]bool{}}
	for n := range 6 {
		s := &server{env: e, id: fmt.Sprintf("i-%d", n), service: "desk", zone: "kol-salt", slots: 3, work: 450 * time.Millisecond, answer: r.serve}
		if err := s.start(); err != nil {
			return false, err
		}
	}
	if err := i.start(); err != nil {
		return false, err
	}
	if err := e.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	lost := 0
	for round := range 4 {
		n, err := e.sendBatch(i, r, round)
		if err != nil {
			return false, err
		}
		lost += n
	}
	e.log("%d requests that sound servers have run had no answer when their connection was closed", lost)
	return lost > 3, nil
}

// sendBatch sends one request on a connection to learn which server has its object, then eight at a time, the first for that object.
// It returns how many requests without a complete answer a sound server has run.
func (e *environment) sendBatch(i *instance, r *runs, round int) (lost int, err error) {
	c, err := net.Dial("tcp", i.front)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	head := func(id string, object int) string {
		return requestHead("/lohu930/2f", id, 4000, strconv.Itoa(object))
	}
	read := func(id string) (server string, ok bool) {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			e.log("request %s: %v", id, err)
			return "", false
		}
		n, err := io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		e.log("request %s: status %d of %s for %s, %d bytes, error %v", id, response.StatusCode, response.Header.Get(names["server"]),
			response.Header.Get(names["id"]), n, err)
		return response.Header.Get(names["server"]), err == nil
	}
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	first := 100 * (round + 1)
	if _, err := io.WriteString(c, head(fmt.Sprintf("turn-%d-warm", round), first)); err != nil {
		return 0, err
	}
	server, ok := read("warm")
	if !ok {
		return 0, fmt.Errorf("the first request on the connection was not answered")
	}
	if e.disrupted {
		e.log("server %s turns slow", server)
		r.mu.Lock()
		r.slow = server
		r.mu.Unlock()
	}
	batch, ids := "", []string{}
	for n := range batchSize {
		id := fmt.Sprintf("turn-%d-%d", round, n)
		ids = append(ids, id)
		batch += head(id, first+n)
	}
	if _, err := io.WriteString(c, batch); err != nil {
		return 0, err
	}
	answered := map[string]bool{}
	for _, id := range ids {
		if _, answered[id] = read(id); !answered[id] {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slow = ""
	for _, id := range ids {
		if r.done[id] && !answered[id] {
			e.log("request %s was run by a sound server and has no complete answer", id)
			lost++
		}
	}
	return lost, nil
}
