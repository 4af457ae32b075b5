package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["ahead"] = runAhead }

// pending holds the IDs of the requests that servers have begun to run and clients have no answer to.
type pending struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (p *pending) begin(_ *server, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ids[r.Header.Get(names["id"])] = true
}

func (p *pending) answered(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.ids, id)
}

func (p *pending) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.ids)
}

// runAhead sends many requests on a few kept connections, several of them ahead of the answers. When the process exceeds the memory
// of its machine it is killed, as the platform does, and the requests that are lost with it are counted. Without the disruption
// each request waits for the answer to the one before it.
func runAhead(e *environment) (broken bool, err error) {
	const memoryMB, duration = 284, 100 * time.Second
	// The number of requests at a time is the same with and without the disruption.
	connections, window := 16, 8
	if !e.disrupted {
		connections, window = connections*window, 1
	}
	zones := map[string]string{"kol-salt": "kolkata"}
	i := e.addInstance(machine{
		name: "front-kol-salt-1", zone: "kol-salt", region: "kolkata", store: e.store.address(), memoryMB: memoryMB, maxFDs: 4100, cpuShare: 0.32,
	}, zones)
	e.store.put(names["desired-state"], desiredState(2, 0))
	p := &pending{ids: map[string]bool{}}
	for n := range 8 {
		s := &server{env: e, id: fmt.Sprintf("i-%d", n), service: "desk", zone: "kol-salt", slots: 64, work: 2 * time.Millisecond, before: p.begin}
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
	var answers, ok atomic.Int64
	var done atomic.Bool
	var running sync.WaitGroup
	for n := range connections {
		running.Go(func() { sendAhead(i.front, n, window, p, &answers, &ok, &done) })
	}
	killed := false
	for end := time.Now().Add(duration); time.Now().Before(end) && !killed; time.Sleep(time.Second) {
		rss := i.rssMB()
		e.log("%d answers, %d of them 200; memory in use: %.1f of %d MB", answers.Load(), ok.Load(), rss, memoryMB)
		if killed = rss > memoryMB || i.hasEnded(); killed {
			e.log("the process exceeds the memory of its machine and is killed")
			i.kill()
		}
	}
	done.Store(true)
	running.Wait()
	lost := p.count()
	e.log("%d requests that servers had begun to run have no answer", lost)
	return killed && lost > 3, nil
}

// sendAhead sends requests on one connection, of which at most window are unanswered, and reads the answers in order.
func sendAhead(address string, n, window int, p *pending, answers, ok *atomic.Int64, done *atomic.Bool) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	reader, unanswered, sent := bufio.NewReader(c), 0, 0
	id := func(number int) string { return fmt.Sprintf("%04d%012d", n, number) }
	for {
		batch := ""
		for unanswered < window && !done.Load() {
			sent++
			unanswered++
			batch += requestHead("/lohu930/2f", id(sent), 3000, "")
		}
		if unanswered == 0 {
			return
		}
		if _, err := io.WriteString(c, batch); err != nil {
			return
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil {
			return
		}
		p.answered(id(sent - unanswered + 1))
		unanswered--
		answers.Add(1)
		if response.StatusCode == http.StatusOK {
			ok.Add(1)
		}
	}
}
