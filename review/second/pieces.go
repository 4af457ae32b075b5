package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// layout is a head and the way in which a client sends it.
type layout struct {
	name   string
	target string
	// piece is the number of bytes of the head that are sent at a time, and pause the time between two pieces.
	piece int
	pause time.Duration
}

func init() { cases["pieces"] = runPieces }

// runPieces sends requests whose heads arrive in pieces, and checks that they are answered within the timeout of their route
// and half a second. Without the disruption the same heads arrive in one piece.
func runPieces(e *environment) (broken bool, err error) {
	const timeoutS, slack, rounds = 2.0, 500 * time.Millisecond, 10
	zones := map[string]string{"kol-salt": "kolkata"}
	i := e.addInstance(machine{
		name: "front-kol-salt-1", zone: "kol-salt", region: "kolkata", store: e.store.address(), memoryMB: 284, maxFDs: 4100, cpuShare: 0.32,
	}, zones)
	e.store.put(names["desired-state"], desiredState(timeoutS, 0))
	for n := range 3 {
		s := &server{env: e, id: fmt.Sprintf("i-%d", n), service: "desk", zone: "kol-salt", slots: 3, work: 20 * time.Millisecond}
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
	// The machine is in touch when its processes have run for contactS.
	time.Sleep(4 * time.Second)
	layouts := []layout{
		{name: "long target, 1365 bytes at a time", target: "/lohu930/2f?q=" + strings.Repeat("q", 5000), piece: 1365, pause: 20 * time.Millisecond},
		{name: "long target, 455 bytes at a time", target: "/lohu930/2f?q=" + strings.Repeat("q", 5000), piece: 455, pause: 20 * time.Millisecond},
		{name: "long target, 15 bytes at a time", target: "/lohu930/2f?q=" + strings.Repeat("q", 5000), piece: 15, pause: time.Millisecond},
	}
	var late, sent atomic.Int64
	for round := range rounds {
		var running sync.WaitGroup
		for n, l := range layouts {
			running.Go(func() {
				id := fmt.Sprintf("pieces%06d%04d", round, n)
				took, status, err := e.sendInPieces(i.front, id, l)
				e.log("request %s (%s): status %d %v after the head was sent, error %v", id, l.name, status, took.Round(time.Millisecond), err)
				sent.Add(1)
				if status == 0 || took > time.Duration(timeoutS*float64(time.Second))+slack {
					late.Add(1)
				}
			})
		}
		running.Wait()
	}
	e.log("%d of %d requests had no answer half a second after the timeout of their route", late.Load(), sent.Load())
	return 2*late.Load() > sent.Load(), nil
}

// sendInPieces sends a request and waits for its answer for five seconds.
func (e *environment) sendInPieces(address, id string, l layout) (took time.Duration, status int, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = c.Close() }()
	head := requestHead(l.target, id, 5000, "17")
	started, piece := time.Now(), l.piece
	if !e.disrupted {
		piece = len(head)
	}
	for rest := head; rest != ""; {
		n := min(piece, len(rest))
		if _, err := io.WriteString(c, rest[:n]); err != nil {
			return 0, 0, err
		}
		if rest = rest[n:]; rest != "" {
			time.Sleep(l.pause)
		}
	}
	if took := time.Since(started); took > 2500*time.Millisecond {
		return 0, 0, errors.New("the head took longer than the limit of the desired state, 3 s, may permit")
	}
	started = time.Now()
	_ = c.SetReadDeadline(started.Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return time.Since(started), 0, err
	}
	_ = response.Body.Close()
	return time.Since(started), response.StatusCode, nil
}
