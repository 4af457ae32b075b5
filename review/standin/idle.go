package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// maxFds are the descriptors of a machine with 284 MB (boxcommons-gslb).
	maxFds = 4100
	// userRate is the number of users per second, each with a connection of its own. The site has 168 requests per second on
	// seven machines, 24 on each.
	userRate = 60
	contact  = 3 * time.Second
)

// attempt is one user's attempt to be served by an instance.
type attempt struct {
	at       time.Time
	instance string
	answered bool
}

// user opens a connection, sends one request and leaves the connection open. It gives up on a request that is not read within
// a second.
func (t *trial) user(address string, hold <-chan struct{}) (answered bool) {
	id := fmt.Sprintf("i%015d", requestCount.Add(1))
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		t.log("user %s: %v", id, err)
		return false
	}
	_, err = fmt.Fprintf(c, "GET /lookup/2f HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\n%s: 2000\r\nAuthorization: Bearer k-acme-1\r\n\r\n", headerID, id, headerDeadline)
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	r := bufio.NewReader(c)
	response, readErr := http.ReadResponse(r, nil)
	if err != nil || readErr != nil {
		t.log("user %s: no answer: %v %v", id, err, readErr)
		_ = c.Close()
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	t.log("user %s: status %d", id, response.StatusCode)
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		<-hold
		_ = c.Close()
	}()
	go func() {
		// Ends when the instance closes the connection.
		_, _ = r.Peek(1)
		_ = c.Close()
	}()
	return true
}

// readiness asks the ready address of an instance once per second on one connection and records when it is not ready.
func (t *trial) readiness(i *instance, stop <-chan struct{}) (notReady func(from, to time.Time) bool) {
	var mu sync.Mutex
	var failures []time.Time
	go func() {
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
		for {
			response, err := client.Get("http://" + i.ready + "/ready")
			status := 0
			if err == nil {
				status = response.StatusCode
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			if status != http.StatusOK {
				mu.Lock()
				failures = append(failures, time.Now())
				mu.Unlock()
				t.log("ready of %s: status %d, %v", i.id, status, err)
			}
			select {
			case <-time.After(time.Second):
			case <-stop:
				return
			}
		}
	}()
	return func(from, to time.Time) bool {
		mu.Lock()
		defer mu.Unlock()
		return slices.ContainsFunc(failures, func(at time.Time) bool { return at.After(from) && at.Before(to.Add(time.Second)) })
	}
}

// idleConnections loses one of two machines while users leave their connections open after their requests, and checks that
// the other takes new connections (RECOVER).
func idleConnections(t *trial) (held bool, err error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 2*maxFds {
		return false, fmt.Errorf("the clients need %d descriptors, there are %d: %v", 2*maxFds, limit.Cur, err)
	}
	t.zones = map[string]string{"pos-a": "pos", "sfo-a": "sfo"}
	var instances []*instance
	for _, zone := range []string{"pos-a", "sfo-a"} {
		i, err := t.newInstance("front-"+zone+"-1", zone)
		if err != nil {
			return false, err
		}
		i.fds = maxFds
		instances = append(instances, i)
		for n := range 3 {
			if _, err := t.startUpstream(fmt.Sprintf("i-%s-%d", zone, n), "yard", zone, serveShort(10*time.Millisecond)); err != nil {
				return false, err
			}
		}
	}
	t.store.Put(wire["desiredState"], desiredState(7))
	for _, i := range instances {
		if err := i.start(); err != nil {
			return false, err
		}
	}
	if err := t.waitReady(instances); err != nil {
		return false, err
	}
	hold, stop := make(chan struct{}), make(chan struct{})
	defer close(hold)
	notReady := map[string]func(from, to time.Time) bool{}
	for _, i := range instances {
		notReady[i.id] = t.readiness(i, stop)
	}
	callers := []*caller{newCaller(t, instances...), newCaller(t, instances[1], instances[0])}
	var mu sync.Mutex
	var attempts []attempt
	var wg sync.WaitGroup
	lossAt, ended := time.Now().Add(5*time.Second), false
	for end, n := time.Now().Add(85*time.Second), 0; time.Now().Before(end); n++ {
		if t.trouble && !ended && time.Now().After(lossAt) {
			t.log("%s is lost for good", instances[1].id)
			instances[1].kill()
			ended = true
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			address := callers[n%2].address()
			if address == "" {
				return
			}
			a := attempt{at: time.Now(), instance: address}
			a.answered = t.user(address, hold)
			if !a.answered && ended && address == instances[1].front {
				return // still named by an old answer of the directory
			}
			mu.Lock()
			defer mu.Unlock()
			attempts = append(attempts, a)
		}()
		time.Sleep(time.Second / userRate)
	}
	wg.Wait()
	close(stop)
	answered := 0
	for _, a := range attempts {
		if a.answered {
			answered++
		}
	}
	line := fmt.Sprintf("%d of %d users were answered", answered, len(attempts))
	fmt.Println(line)
	t.log("%s", line)
	if answered < 1000 {
		return false, fmt.Errorf("only %d users were answered", answered)
	}
	held = true
	for _, i := range instances {
		if from, to, tried := longestSilence(attempts, i.front); to.Sub(from) >= contact && tried >= 7 && !notReady[i.id](from, to) {
			held = false
			line := fmt.Sprintf("%s takes no new connection for %.1f s, says that it is ready, and %d clients try", i.id, to.Sub(from).Seconds(), tried)
			fmt.Println(line)
			t.log("%s", line)
		}
	}
	return held, nil
}

// longestSilence returns the longest time in which no attempt at an instance was answered, and the number of attempts in it.
func longestSilence(attempts []attempt, address string) (from, to time.Time, tried int) {
	slices.SortFunc(attempts, func(a, b attempt) int { return a.at.Compare(b.at) })
	var start time.Time
	n := 0
	for _, a := range attempts {
		if a.instance != address {
			continue
		}
		if a.answered {
			start, n = time.Time{}, 0
			continue
		}
		if n == 0 {
			start = a.at
		}
		n++
		if a.at.Sub(start) > to.Sub(from) {
			from, to, tried = start, a.at, n
		}
	}
	return from, to, tried
}
