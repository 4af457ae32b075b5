package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"time"
)

const (
	upstreams = 8
	clients   = 12
	// uploadBytes is the size of a request body, within the limit of the intent.
	uploadBytes = 4 << 20
	crashes     = 4
	// crashDown is how long a crashed upstream is away, crashEvery the time between crashes.
	crashDown  = 4500 * time.Millisecond
	crashEvery = 7 * time.Second
	timeLimit  = 4 * time.Second
)

// truncatedRun lets upstreams crash that are in the middle of a response without a length and have not read the whole request, and looks
// for responses that arrive cut short at a client and look complete.
type truncatedRun struct {
	*run
	client string

	mu            sync.Mutex
	whole, broken int
}

// upstreamProcess is one lifetime of an upstream.
type upstreamProcess struct {
	id      string
	command *exec.Cmd
}

func runTruncated(r *run) (broken bool, err error) {
	t := &truncatedRun{run: r}
	var running []*upstreamProcess
	for n := range upstreams {
		u, err := t.startUpstream(fmt.Sprintf("i-%d-0", n))
		if err != nil {
			return false, err
		}
		running = append(running, u)
	}
	if t.client, err = r.startInstance("front-kol-salt-1"); err != nil {
		return false, err
	}
	var sending sync.WaitGroup
	end := time.Now().Add(time.Duration(crashes+1) * crashEvery)
	for n := range clients {
		sending.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				t.send(fmt.Sprintf("request-%d-%d", n, k))
			}
		})
	}
	for n := 0; n < crashes && r.trouble; n++ {
		time.Sleep(crashEvery - crashDown)
		u := running[n%upstreams]
		r.note("upstream %s is killed", u.id)
		kill(u.command)
		time.Sleep(crashDown)
		r.store.remove(names.Keys.Servers + u.id)
		if running[n%upstreams], err = t.startUpstream(fmt.Sprintf("i-%d-%d", n%upstreams, n+1)); err != nil {
			return false, err
		}
	}
	sending.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	r.note("%d whole responses, %d that are cut short and look complete", t.whole, t.broken)
	if t.whole == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return t.broken > 0, nil
}

func (t *truncatedRun) startUpstream(id string) (*upstreamProcess, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	c := exec.Command("target/review-third", "upstream", address, id)
	c.Stdout = t.record
	if err := t.start(c); err != nil {
		return nil, err
	}
	for range 100 {
		probe, err := net.Dial("tcp", address)
		if err == nil {
			_ = probe.Close()
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.store.put(names.Keys.Servers+id, serverEntry(address, zone, time.Now().UnixMilli()))
	return &upstreamProcess{id: id, command: c}, nil
}

// send sends one request on a connection of its own and checks the response.
func (t *truncatedRun) send(id string) {
	c, err := net.DialTimeout("tcp", t.client, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(timeLimit))
	t.note("client sends %s, %d bytes", id, uploadBytes)
	go func() {
		_, _ = fmt.Fprintf(c, "POST /renew/1 HTTP/1.1\r\nHost: desk.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
			names.Headers.RequestID, id, names.Headers.TimeLeft, timeLimit.Milliseconds(), uploadBytes)
		_, _ = c.Write(bytes.Repeat([]byte("x"), uploadBytes))
	}()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.note("client gets no response to %s: %v", id, err)
		return
	}
	body, err := io.ReadAll(response.Body)
	seal := response.Header.Get(names.Headers.Seal)
	t.note("client gets %d for %s, seal %q, %d bytes, length %d, end of the body: %v", response.StatusCode, id, seal, len(body), response.ContentLength, err)
	if err != nil || response.StatusCode != http.StatusOK {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if string(body) == strings.Repeat("a", firstPart)+strings.Repeat("b", responseBytes-firstPart) {
		t.whole++
		return
	}
	t.broken++
	t.note("BROKEN: the response to %s is not the whole response of the upstream and looks complete", id)
}
