package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// This file holds the scripts of findings that are no cases. Exit codes and TROUBLE are those of the cases.

// startInstances starts one instance in each zone.
func (t *trial) startInstances(zones ...string) ([]*instance, error) {
	var instances []*instance
	for _, zone := range zones {
		i, err := t.newInstance("front-"+zone+"-1", zone)
		if err != nil {
			return nil, err
		}
		if err := i.start(); err != nil {
			return nil, err
		}
		instances = append(instances, i)
	}
	return instances, t.waitReady(instances)
}

// post sends a request that must not run twice and returns the status, zero if there was no answer.
func (t *trial) post(address, path, key, body string) int {
	id := fmt.Sprintf("f%015d", requestCount.Add(1))
	request, _ := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	request.Host = "a.example"
	request.Header.Set(headerID, id)
	request.Header.Set(headerDeadline, "3000")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := (&http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		t.log("client sent %s %s: %v", id, path, err)
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	t.log("client sent %s %s: status %d", id, path, response.StatusCode)
	return response.StatusCode
}

// allCold starts upstreams that are all cold for 20 s, and checks that they get some requests meanwhile: each of seven takes
// 2.7 a second, ten a second are sent.
func allCold(t *trial) (held bool, err error) {
	t.zones = map[string]string{"pos-a": "pos", "sfo-a": "sfo"}
	if t.trouble {
		t.coldFor = 20 * time.Second
	}
	for n := range 7 {
		if _, err := t.startUpstream(fmt.Sprintf("i-%d", n), "yard", "pos-a", serveShort(30*time.Millisecond)); err != nil {
			return false, err
		}
	}
	t.store.Put(wire["desiredState"], desiredState(7))
	instances, err := t.startInstances("pos-a", "sfo-a")
	if err != nil {
		return false, err
	}
	served := 0
	for n := range 150 {
		if t.post(instances[n%2].front, "/book/2f", "k-acme-1", "booking") == http.StatusOK {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	fmt.Printf("%d of 150 requests served in 15 s\n", served)
	return served > 0, nil
}

// countingUpstream counts the requests of the small tenant that it runs.
type countingUpstream struct {
	*upstream
	small atomic.Int64
	mu    sync.Mutex
	conns []net.Conn
}

func (t *trial) startCountingUpstream(id string) (*countingUpstream, error) {
	s := &countingUpstream{}
	var err error
	s.upstream, err = t.startUpstream(id, "yard", "pos-a", func(u *upstream, c net.Conn) {
		defer func() { _ = c.Close() }()
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		r := bufio.NewReader(c)
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if request.Header.Get(headerTenant) == "small" {
				s.small.Add(1)
			}
			time.Sleep(800 * time.Millisecond)
			if request.Header.Get(headerTenant) == "small" {
				s.small.Add(-1)
			}
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\n%s: 1,0,4\r\nContent-Length: 2\r\n\r\nok", headerID, request.Header.Get(headerID), headerSeal, headerLoad); err != nil {
				return
			}
		}
	})
	return s, err
}

// crash ends the process: its port refuses and its connections end. The entry stays.
func (s *countingUpstream) crash() {
	s.stopCheckIns()
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.t.log("upstream %s crashes", s.id)
}

// blockedRequest crashes three of 22 upstreams, once, while each runs the same request of a small tenant, and checks that
// the tenant is served afterwards.
func blockedRequest(t *trial) (held bool, err error) {
	const crashed = 3
	t.zones = map[string]string{"pos-a": "pos", "sfo-a": "sfo"}
	var upstreams []*countingUpstream
	for n := range 22 {
		u, err := t.startCountingUpstream(fmt.Sprintf("i-%d", n))
		if err != nil {
			return false, err
		}
		upstreams = append(upstreams, u)
	}
	t.store.Put(wire["desiredState"], strings.Replace(desiredState(7), `"tenants":[`, `"tenants":[`+wire["smallTenant"]+",", 1))
	instances, err := t.startInstances("pos-a", "sfo-a")
	if err != nil {
		return false, err
	}
	sent, served := 0, atomic.Int64{}
	var wg sync.WaitGroup
	round := func(count bool) {
		for n := range 3 {
			if count {
				sent++
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				if t.post(instances[n%2].front, "/book/2f", "k-small-1", "poll") == http.StatusOK && count {
					served.Add(1)
				}
			}()
		}
	}
	found := false
	for n := 0; n < 25 && !found; n++ {
		round(false)
		time.Sleep(400 * time.Millisecond)
		var victims []*countingUpstream
		for _, u := range upstreams {
			if u.small.Load() > 0 {
				victims = append(victims, u)
			}
		}
		if found = len(victims) == crashed; found && t.trouble {
			for n, u := range victims {
				u.crash()
				time.AfterFunc(4500*time.Millisecond, func() { _, _ = t.startCountingUpstream(fmt.Sprintf("i-again-%d", n)) })
			}
		}
		time.Sleep(1600 * time.Millisecond)
	}
	if !found {
		return false, fmt.Errorf("the requests never ran on three upstreams at once")
	}
	time.Sleep(6 * time.Second)
	for range 15 {
		round(true)
		time.Sleep(2 * time.Second)
	}
	wg.Wait()
	fmt.Printf("%d of %d requests of the tenant served from 7 s after the crash on\n", served.Load(), sent)
	return int(served.Load()) > sent/4, nil
}

// cutWatch cuts the watches of a lone instance after the store has sent the heads of their answers, removes the entry of an
// upstream, and checks DRAIN.
func cutWatch(t *trial) (held bool, err error) {
	t.zones = map[string]string{"pos-a": "pos"}
	t.store.streamHeads = true
	for n := range 2 {
		if _, err := t.startUpstream(fmt.Sprintf("i-%d", n), "yard", "pos-a", serveShort(30*time.Millisecond)); err != nil {
			return false, err
		}
	}
	t.store.Put(wire["desiredState"], desiredState(7))
	instances, err := t.startInstances("pos-a")
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
					t.post(instances[0].front, "/open/2f", "", "booking")
				}
			}
		}()
	}
	arrivals, late := 0, 0
	for n := range 4 {
		l, err := startLeavingUpstream(t, fmt.Sprintf("i-leaving-%d", n), "pos-a")
		if err != nil {
			return false, err
		}
		time.Sleep(5*time.Second + time.Duration(rand.Int64N(int64(1200*time.Millisecond))))
		l.stopCheckIns()
		t.store.CutAndRemove("servers/"+l.id, t.trouble)
		l.mu.Lock()
		l.boundAt = time.Now().Add(drainBound + onTheWay)
		l.mu.Unlock()
		time.Sleep(5 * time.Second)
		l.exit()
		l.mu.Lock()
		arrivals, late = arrivals+l.arrivals, late+l.late
		l.mu.Unlock()
	}
	close(stop)
	wg.Wait()
	fmt.Printf("of %d arrivals at leaving upstreams %d came later than drainS after the ack\n", arrivals, late)
	return late == 0, nil
}

// earlyReload sends SIGHUP to processes 5 ms after their start, and checks that they go on.
func earlyReload(t *trial) (held bool, err error) {
	t.zones = map[string]string{"pos-a": "pos"}
	t.store.Put(wire["desiredState"], desiredState(7))
	i, err := t.newInstance("front-pos-a-1", "pos-a")
	if err != nil {
		return false, err
	}
	ended := 0
	for range 5 {
		if err := i.start(); err != nil {
			return false, err
		}
		if t.trouble {
			time.Sleep(5 * time.Millisecond)
			_ = i.cmd.Process.Signal(syscall.SIGHUP)
		}
		select {
		case <-i.exited:
			ended++
		case <-time.After(time.Second):
			i.kill()
		}
	}
	fmt.Printf("%d of 5 processes ended\n", ended)
	return ended == 0, nil
}
