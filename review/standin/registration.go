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
	"time"
)

// serveShort answers each request after work with a short sealed body.
func serveShort(work time.Duration) func(*upstream, net.Conn) {
	return func(u *upstream, c net.Conn) {
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, err := io.ReadAll(request.Body)
			if err != nil {
				return
			}
			if expected := request.Header.Get(headerExpected); expected != u.id {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
					headerID, request.Header.Get(headerID), headerNotRun, headerInstance, u.id)
				continue
			}
			u.t.log("upstream %s runs %s %s %s, %d bytes", u.id, request.Header.Get(headerID), request.Method, request.URL.Path, len(body))
			time.Sleep(work)
			answer := "answer to " + request.Header.Get(headerID)
			_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\n%s: 1,0,4\r\nContent-Length: %d\r\n\r\n%s",
				headerID, request.Header.Get(headerID), headerSeal, headerLoad, len(answer), answer)
			if err != nil {
				return
			}
		}
	}
}

// lookupInterval is how long a client keeps an answer of the directory.
const lookupInterval = 1500 * time.Millisecond

// caller is a group of clients in a zone.
type caller struct {
	t *trial
	// directories are the instances that serve the directory, nearest first.
	directories []*instance
	mu          sync.Mutex
	addresses   []string
}

// newCaller returns a caller that asks the directories for addresses until the process ends.
func newCaller(t *trial, directories ...*instance) *caller {
	c := &caller{t: t, directories: directories}
	c.refresh()
	go func() {
		for {
			time.Sleep(lookupInterval)
			c.refresh()
		}
	}()
	return c
}

// refresh asks the directories. An old answer is kept if there is no new one.
func (c *caller) refresh() {
	for _, d := range c.directories {
		if found := d.resolve(); len(found) > 0 {
			c.mu.Lock()
			c.addresses = found
			c.mu.Unlock()
			return
		}
	}
}

// address returns an instance to connect to; empty if none is known.
func (c *caller) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

var requestCount atomic.Int64

// lookup sends an idempotent request, and once more after a refusal or failure, and reports whether it was served.
func (c *caller) lookup() bool {
	for range 2 {
		id := fmt.Sprintf("r%015d", requestCount.Add(1))
		address := c.address()
		if address == "" {
			c.t.log("client has no address for %s", id)
			time.Sleep(300 * time.Millisecond)
			continue
		}
		request, _ := http.NewRequest(http.MethodGet, "http://"+address+"/lookup/2f", nil)
		request.Host = "a.example"
		request.Header.Set(headerID, id)
		request.Header.Set(headerDeadline, "2000")
		request.Header.Set("Authorization", "Bearer k-acme-1")
		response, err := (&http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
		if err != nil {
			c.t.log("client sent %s to %s: %v", id, address, err)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		c.t.log("client sent %s to %s: status %d, Retry-After %q, %d bytes", id, address, response.StatusCode, response.Header.Get("Retry-After"), len(body))
		if err == nil && response.StatusCode == http.StatusOK && response.Header.Get(headerSeal) != "" && strings.HasSuffix(string(body), id) {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// load sends requests from all zones for d and returns the numbers of requests and of those that were served.
func load(callers []*caller, d time.Duration) (sent, served int64) {
	var wg sync.WaitGroup
	var all, good atomic.Int64
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, c := range callers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				all.Add(1)
				if c.lookup() {
					good.Add(1)
				}
			}()
		}
	}
	wg.Wait()
	return all.Load(), good.Load()
}

// registration kills all instances at once while the store loses the answers of some writes and carries them out late, and
// checks RECOVER.
func registration(t *trial) (held bool, err error) {
	const (
		lostFor   = 4500 * time.Millisecond // platform_lost of boxcommons-gslb
		lostShare = 0.35
		late      = 2 * time.Second // "done 1 to 6 s later"
		down      = 1200 * time.Millisecond
		recovery  = 15 * time.Second
	)
	t.zones = map[string]string{"pos-a": "pos", "sfo-a": "sfo", "pta-a": "pta"}
	var instances []*instance
	for _, zone := range []string{"pos-a", "sfo-a", "pta-a"} {
		i, err := t.newInstance("front-"+zone+"-1", zone)
		if err != nil {
			return false, err
		}
		instances = append(instances, i)
		for n := range 2 {
			if _, err := t.startUpstream(fmt.Sprintf("i-%s-%d", zone, n), "yard", zone, serveShort(20*time.Millisecond)); err != nil {
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
	var callers []*caller
	for n := range instances {
		callers = append(callers, newCaller(t, append(append([]*instance{}, instances[n:]...), instances[:n]...)...))
	}
	sentBefore, servedBefore := load(callers, 6*time.Second)
	t.log("before: %d of %d requests served", servedBefore, sentBefore)
	t.store.Put(wire["desiredState"], desiredState(9))
	t.log("desired state 9 is acknowledged")
	var mu sync.Mutex
	writes, lost := 0, map[string]bool{}
	if t.trouble {
		t.store.SetFault(func(w write) (f writeFault) {
			mu.Lock()
			defer mu.Unlock()
			writes++
			for _, key := range w.Keys {
				if strings.HasPrefix(key, "medlarpond/instances/") && !lost[key] {
					lost[key] = true
					f = writeFault{Lost: true, Late: late}
				}
			}
			t.log("store: write %s %v, answer lost and done late: %v", w.Path, w.Keys, f.Lost)
			return f
		})
		lostUntil := time.Now().Add(lostFor)
		time.AfterFunc(time.Until(lostUntil), func() {
			t.store.SetFault(nil)
			t.log("store: answers are no longer lost")
		})
		for _, i := range instances {
			i.kill()
		}
		time.Sleep(down)
		for _, i := range instances {
			if err := i.start(); err != nil {
				return false, err
			}
		}
	}
	back := time.Now()
	load(callers, recovery)
	mu.Lock()
	share := float64(len(lost)) / float64(max(writes, 1))
	t.log("store: lost %d of %d writes", len(lost), writes)
	mu.Unlock()
	if t.trouble && share > lostShare {
		return false, fmt.Errorf("lost %.2f of the writes, over %.2f", share, lostShare)
	}
	t.log("%.1f s after the machines are back: registered are %v", time.Since(back).Seconds(), t.store.Keys("medlarpond/instances/"))
	sentAfter, servedAfter := load(callers, 20*time.Second)
	t.log("later than %v after the machines are back: %d of %d requests served; registered are %v", recovery, servedAfter, sentAfter, t.store.Keys("medlarpond/instances/"))
	fmt.Printf("served %d of %d before, %d of %d after the recovery; %d of %d writes lost\n", servedBefore, sentBefore, servedAfter, sentAfter, len(lost), writes)
	if 4*servedBefore < sentBefore {
		return false, fmt.Errorf("less than a quarter was served before")
	}
	return 4*servedAfter >= sentAfter, nil
}
