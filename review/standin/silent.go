package main

import (
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

const (
	drainBound = 2 * time.Second
	// onTheWay is more than a request takes from the client to an upstream.
	onTheWay = 100 * time.Millisecond
	// leavesAfter is when an upstream exits after its entry was removed: "drainS ... and a little longer (at times many seconds)".
	leavesAfter = drainBound + 1500*time.Millisecond
	// bookingWork is how long an upstream works on a booking.
	bookingWork = 150 * time.Millisecond
)

// leavingUpstream is an upstream that leaves during the script.
type leavingUpstream struct {
	*upstream
	mu    sync.Mutex
	conns []net.Conn
	// boundAt is the time after which no request may arrive; zero before the removal of the entry.
	boundAt        time.Time
	arrivals, late int
}

// watchedConn calls arrived whenever the first bytes of a request are read. Requests fit into one read.
type watchedConn struct {
	net.Conn
	arrived func()
}

// Read implements net.Conn.
func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.arrived()
	}
	return n, err
}

func startLeavingUpstream(t *trial, id, zone string) (*leavingUpstream, error) {
	l := &leavingUpstream{}
	work := serveShort(bookingWork)
	var err error
	l.upstream, err = t.startUpstream(id, "yard", zone, func(u *upstream, c net.Conn) {
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
		work(u, &watchedConn{Conn: c, arrived: l.arrive})
	})
	return l, err
}

func (l *leavingUpstream) arrive() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals++
	if !l.boundAt.IsZero() && time.Now().After(l.boundAt) {
		l.late++
		l.t.log("a request reaches %s %v after the bound", l.id, time.Since(l.boundAt))
	}
}

// exit ends the process of the upstream.
func (l *leavingUpstream) exit() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
	l.t.log("upstream %s exits", l.id)
}

// silentConnections removes the entries of upstreams at the moments at which the open connections to the store go silent, and
// checks DRAIN for requests that machines in touch take.
func silentConnections(t *trial) (held bool, err error) {
	const rounds = 6
	t.zones = map[string]string{"pos-a": "pos", "sfo-a": "sfo"}
	var instances []*instance
	for _, zone := range []string{"pos-a", "sfo-a"} {
		i, err := t.newInstance("front-"+zone+"-1", zone)
		if err != nil {
			return false, err
		}
		instances = append(instances, i)
		for n := range 2 {
			if _, err := t.startUpstream(fmt.Sprintf("i-%s-%d", zone, n), "yard", zone, serveShort(bookingWork)); err != nil {
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
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var served, refused, lost atomic.Int64
	for w := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := &http.Client{Timeout: 3 * time.Second}
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				id := fmt.Sprintf("d%015d", requestCount.Add(1))
				request, _ := http.NewRequest(http.MethodPost, "http://"+instances[w%2].front+"/open/2f", strings.NewReader("booking"))
				request.Host = "a.example"
				request.Header.Set(headerID, id)
				request.Header.Set(headerDeadline, "3000")
				status := 0
				response, err := client.Do(request)
				if err == nil {
					status = response.StatusCode
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
				t.log("client sent %s: status %d, %v", id, status, err)
				switch status {
				case http.StatusOK:
					served.Add(1)
				case http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					lost.Add(1)
				}
			}
		}()
	}
	arrivals, late := 0, 0
	for n := range rounds {
		l, err := startLeavingUpstream(t, fmt.Sprintf("i-leaving-%d", n), "pos-a")
		if err != nil {
			return false, err
		}
		// The store and the connections have been without disturbance for more than contactS.
		time.Sleep(6*time.Second + time.Duration(rand.Int64N(int64(1200*time.Millisecond))))
		l.stopCheckIns()
		t.store.RemoveAndSilence("servers/"+l.id, t.trouble)
		bound := time.Now().Add(drainBound)
		if t.trouble {
			// The instances are in touch again contactS after the disturbance.
			bound = time.Now().Add(max(drainBound, contact))
		}
		l.mu.Lock()
		l.boundAt = bound.Add(onTheWay)
		l.mu.Unlock()
		t.log("the removal of %s is acknowledged; open connections to the store go silent: %v", l.id, t.trouble)
		time.Sleep(leavesAfter)
		l.exit()
		time.Sleep(4 * time.Second)
		l.mu.Lock()
		arrivals, late = arrivals+l.arrivals, late+l.late
		l.mu.Unlock()
	}
	close(stop)
	wg.Wait()
	line := fmt.Sprintf("%d served, %d refused, %d lost; of %d arrivals at leaving upstreams %d came later than drainS after the ack, through instances in touch",
		served.Load(), refused.Load(), lost.Load(), arrivals, late)
	fmt.Println(line)
	t.log("%s", line)
	if arrivals < 20*rounds || served.Load() < 200 {
		return false, fmt.Errorf("too few requests")
	}
	return late == 0, nil
}
