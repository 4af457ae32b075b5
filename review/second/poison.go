package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	contact = 3 * time.Second
	// restartDelay is how long a server that has crashed is away, expiry the time until its entry is removed.
	restartDelay = 2500 * time.Millisecond
	expiry       = 4 * time.Second
)

// arrival is a request that crashes servers at one of them.
type arrival struct {
	at      time.Time
	request string
}

// crashes counts the arrivals of a request that crashes the servers that run it.
type crashes struct {
	env *environment

	mu       sync.Mutex
	arrivals []arrival
	next     int
}

// begin is called when a server begins to run a request.
func (c *crashes) begin(s *server, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "/crash") {
		return
	}
	c.mu.Lock()
	c.arrivals = append(c.arrivals, arrival{at: time.Now(), request: r.Header.Get(names["id"])})
	c.next++
	next := &server{
		env: s.env, id: fmt.Sprintf("i-%d", 100+c.next), service: s.service, zone: s.zone, address: s.address, slots: s.slots, work: s.work, before: s.before,
	}
	c.mu.Unlock()
	c.env.log("server %s begins to run %s and crashes", s.id, r.Header.Get(names["id"]))
	s.crash()
	time.AfterFunc(expiry, func() { c.env.store.remove("servers/" + s.id) })
	time.AfterFunc(restartDelay, func() {
		if err := next.start(); err != nil {
			c.env.log("server %s did not start: %v", next.id, err)
			return
		}
		c.env.log("server %s starts at the address of %s", next.id, s.id)
	})
}

// after returns the arrivals after a time of requests that were sent to machines whose names begin with one of the prefixes.
func (c *crashes) after(at time.Time, prefixes ...string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.arrivals {
		for _, p := range prefixes {
			if a.at.After(at) && strings.HasPrefix(a.request, p) {
				n++
			}
		}
	}
	return n
}

// third returns the time of the third arrival.
func (c *crashes) third() (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.arrivals) < 3 {
		return time.Time{}, false
	}
	return c.arrivals[2].at, true
}

func init() { cases["poison"] = runPoison }

// runPoison sends a request that crashes servers to a machine that is cut off from the store, until three servers have crashed. It
// then sends the request to the other machines for 45 s, and counts how often they pass it on later than contactS after that.
// Without the disruption the first machine is not cut off.
func runPoison(e *environment) (broken bool, err error) {
	zones := map[string]string{"kol-salt": "kolkata", "sil-matigara": "siliguri", "dgp-benachity": "durgapur"}
	link, err := newProxy(e.store.address())
	if err != nil {
		return false, err
	}
	var machines []*instance
	for n, zone := range []string{"kol-salt", "sil-matigara", "dgp-benachity"} {
		address := e.store.address()
		if n == 0 {
			address = link.address()
		}
		machines = append(machines, e.addInstance(machine{
			name: "front-" + zone + "-1", zone: zone, region: zones[zone], store: address, memoryMB: 284, maxFDs: 4100, cpuShare: 0.32,
		}, zones))
	}
	e.store.put(names["desired-state"], desiredState(2, 0))
	c := &crashes{env: e}
	for n := range 12 {
		zone := machines[n%3].zone
		s := &server{env: e, id: fmt.Sprintf("i-%d", n), service: "desk", zone: zone, slots: 3, work: 50 * time.Millisecond, before: c.begin}
		if err := s.start(); err != nil {
			return false, err
		}
	}
	for _, i := range machines {
		if err := i.start(); err != nil {
			return false, err
		}
	}
	if err := e.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if e.disrupted {
		e.log("%s is cut off from the store", machines[0].name)
		link.cut()
		time.AfterFunc(9*time.Second, func() {
			e.log("%s reaches the store again", machines[0].name)
			link.heal()
		})
	}
	time.Sleep(200 * time.Millisecond)
	for n := 0; n < 4; n++ {
		if _, ok := c.third(); ok {
			break
		}
		e.get(machines[0], fmt.Sprintf("a-%d", n), "/lohu930/crash")
	}
	third, ok := c.third()
	if !ok {
		return false, fmt.Errorf("only %d servers crashed at the first machine", len(c.arrivals))
	}
	e.log("the request has crashed three servers")
	time.Sleep(time.Until(third.Add(contact + 200*time.Millisecond)))
	for n := 0; time.Since(third) < 50*time.Second; n++ {
		e.get(machines[1+n%2], fmt.Sprintf("%c-%d", 'b'+n%2, n), "/lohu930/crash")
		time.Sleep(1500 * time.Millisecond)
	}
	retries := c.after(third.Add(contact), "b-", "c-")
	e.log("%d retries, sent by machines in touch later than contactS after the request had crashed three servers, reached servers", retries)
	return retries > 3, nil
}

// get sends a request on a new connection and returns the status of its answer; zero if there is none.
func (e *environment) get(i *instance, id, path string) int {
	r, _ := http.NewRequest(http.MethodGet, "http://"+i.front+path, nil)
	r.Host = host
	r.Header.Set(names["id"], id)
	r.Header.Set(names["deadline"], "3000")
	r.Header.Set("Cookie", names["object"]+"=17")
	r.Header.Set("Authorization", "Bearer "+apiKey)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * time.Second}
	response, err := client.Do(r)
	if err != nil {
		e.log("request %s to %s: %v", id, i.name, err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	e.log("request %s to %s: %d", id, i.name, response.StatusCode)
	return response.StatusCode
}
