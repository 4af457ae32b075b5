package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = runStop }

// lossSlack is the bound lossSlackS of the site.
const lossSlack = 200 * time.Millisecond

// serveFor works for as long as the query says, in milliseconds.
func serveFor(s *server, w http.ResponseWriter, r *http.Request) {
	ms, _ := strconv.Atoi(r.URL.Query().Get("ms"))
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(names["seal"], "seal-"+s.id+"-"+r.Header.Get(names["id"]))
	_, _ = io.WriteString(w, "answer\n")
}

// runStop stops a machine by SIGTERM while clients have several requests on a connection each, and checks that the requests which
// the process has read are answered. Without the disruption the machine is not stopped.
func runStop(e *environment) (broken bool, err error) {
	const clients = 5
	zones := map[string]string{"kol-salt": "kolkata"}
	for n := range 2 {
		e.addInstance(machine{
			name: fmt.Sprintf("front-kol-salt-%d", n+1), zone: "kol-salt", region: "kolkata", store: e.store.address(), memoryMB: 284,
			maxFDs: 4100, cpuShare: 0.32,
		}, zones)
	}
	e.store.put(names["desired-state"], desiredState(3, 0))
	for n := range 10 {
		s := &server{env: e, id: fmt.Sprintf("i-%d", n), service: "desk", zone: "kol-salt", slots: 3, answer: serveFor}
		if err := s.start(); err != nil {
			return false, err
		}
	}
	for _, i := range e.instances {
		if err := i.start(); err != nil {
			return false, err
		}
	}
	if err := e.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stopped := e.instances[0]
	if e.disrupted {
		time.AfterFunc(50*time.Millisecond, func() {
			e.log("%s gets SIGTERM", stopped.name)
			_ = stopped.process.Process.Signal(syscall.SIGTERM)
		})
	}
	var mu sync.Mutex
	var running sync.WaitGroup
	lost := 0
	for n := range clients {
		running.Go(func() {
			unanswered := e.keepFour(stopped.front, n)
			mu.Lock()
			defer mu.Unlock()
			lost += unanswered
		})
	}
	running.Wait()
	e.log("%d requests that the process had read had no answer when it closed their connection", lost)
	return lost > 0, nil
}

// keepFour sends seven requests on a connection, of which at most four are unanswered at a time, and reads the answers in order. It
// returns how many of them the process has read for longer than lossSlack when it closes the connection without an answer.
func (e *environment) keepFour(address string, client int) (lost int) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	work := []int{150, 150, 150, 1500, 150, 150, 150}
	sentAt := make([]time.Time, len(work))
	send := func(from, to int) {
		batch := ""
		for n := from; n < to; n++ {
			batch += requestHead(fmt.Sprintf("/lohu930/2f?ms=%d", work[n]), fmt.Sprintf("stop-%d-%d", client, n), 4000, "")
		}
		_, _ = io.WriteString(c, batch)
		for n := from; n < to; n++ {
			sentAt[n] = time.Now()
		}
		e.log("client %d sends its requests %d to %d", client, from, to-1)
	}
	reader := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
	send(0, 4)
	for n := range work {
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err == nil {
			e.log("client %d, request %d: status %d, close %v", client, n, response.StatusCode, response.Close)
			if n == 2 {
				send(4, len(work))
			}
			continue
		}
		e.log("client %d, request %d: %v", client, n, err)
		if !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) {
			// A reset does not show that the process has read all requests.
			return 0
		}
		for k := n; k < len(work); k++ {
			if !sentAt[k].IsZero() && time.Since(sentAt[k]) > lossSlack {
				e.log("client %d, request %d: no answer %v after it was sent; the connection ended without a reset, so it was read", client, k,
					time.Since(sentAt[k]).Round(time.Millisecond))
				lost++
			}
		}
		return lost
	}
	return 0
}
