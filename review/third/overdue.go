package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// upstreamsOfEach is the number of upstreams of a service, slowOfEach how many of the service lab turn slow.
	upstreamsOfEach = 8
	slowOfEach      = 3
	slowFactor      = 4
	slowFor         = 8 * time.Second
	slowEvery       = 14 * time.Second
	slowPhases      = 3
	soilWork        = 600 * time.Millisecond
	soilBytes       = 400
	lookupWork      = 100 * time.Millisecond
	lookupBytes     = 100_000
	overdueClients  = 8
	// overdueLimit is the client's time limit, maxLost the number of requests that the rule permits to be lost.
	overdueLimit = 8 * time.Second
	maxLost      = 3
)

// overdueRun has clients that send a soil report and a lookup together on a kept connection, the second before the response to the
// first. It counts the lookups that have reached an upstream and whose connection ends before their response is complete.
type overdueRun struct {
	*run
	client string

	whole, lost atomic.Int64
	mu          sync.Mutex
	// arrived holds the IDs of the lookups that an upstream has answered.
	arrived map[string]bool
}

// pacedUpstream is an upstream that takes a fixed time for its work, and slowFactor times as long while it is slow.
type pacedUpstream struct {
	id   string
	work time.Duration
	size int
	slow atomic.Bool
	// onAnswer is called with the ID of each request that has been answered.
	onAnswer func(requestID string)
}

func runOverdue(r *run) (broken bool, err error) {
	t := &overdueRun{run: r, arrived: map[string]bool{}}
	var lab []*pacedUpstream
	for n := range upstreamsOfEach {
		soil := &pacedUpstream{id: fmt.Sprintf("i-lab-%d", n), work: soilWork, size: soilBytes, onAnswer: func(string) {}}
		lookup := &pacedUpstream{id: fmt.Sprintf("i-orders-%d", n), work: lookupWork, size: lookupBytes, onAnswer: t.recordArrival}
		if err := t.startPaced("lab", soil); err != nil {
			return false, err
		}
		if err := t.startPaced("orders", lookup); err != nil {
			return false, err
		}
		lab = append(lab, soil)
	}
	if t.client, _, err = r.startInstance("front-kol-salt-1", smallMachine); err != nil {
		return false, err
	}
	end := time.Now().Add(slowPhases * slowEvery)
	var sending sync.WaitGroup
	for n := range overdueClients {
		sending.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				t.sendPairs(n, k, end)
			}
		})
	}
	for n := 0; n < slowPhases && r.trouble; n++ {
		time.Sleep(slowEvery - slowFor)
		t.setSlow(lab[:slowOfEach], true)
		time.Sleep(slowFor)
		t.setSlow(lab[:slowOfEach], false)
	}
	sending.Wait()
	r.note("%d lookups served, %d lost that an upstream had answered", t.whole.Load(), t.lost.Load())
	if t.whole.Load() == 0 {
		return false, fmt.Errorf("no lookup was served")
	}
	return t.lost.Load() > maxLost, nil
}

func (t *overdueRun) recordArrival(requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrived[requestID] = true
}

func (t *overdueRun) hasArrived(requestID string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.arrived[requestID]
}

func (t *overdueRun) setSlow(upstreams []*pacedUpstream, slow bool) {
	for _, u := range upstreams {
		u.slow.Store(slow)
		t.note("upstream %s is slow: %t", u.id, slow)
	}
}

// startPaced starts an upstream and registers it.
func (t *overdueRun) startPaced(service string, u *pacedUpstream) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	t.store.put(names.Keys.Servers+u.id, serverEntry(service, l.Addr().String(), zone, t.began.UnixMilli()))
	return nil
}

func (u *pacedUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		work := u.work
		if u.slow.Load() {
			work *= slowFactor
		}
		time.Sleep(work)
		requestID := request.Header.Get(names.Headers.RequestID)
		u.onAnswer(requestID)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Length: %d\r\n\r\n",
			names.Headers.RequestID, requestID, names.Headers.Seal, requestID, u.size)
		if _, err := c.Write(bytes.Repeat([]byte("a"), u.size)); err != nil {
			return
		}
	}
}

// sendPairs opens a connection and sends pairs of requests on it, until it ends or the run does.
func (t *overdueRun) sendPairs(client, connection int, end time.Time) {
	c, err := net.DialTimeout("tcp", t.client, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%d-%d-%d", client, connection, n)
		_ = c.SetDeadline(time.Now().Add(overdueLimit))
		if _, err := io.WriteString(c, requestHead("/soil/1", "soil-"+id)+requestHead("/lookups/1", "lookup-"+id)); err != nil {
			return
		}
		t.note("client sends soil-%s and lookup-%s", id, id)
		if err := t.readResponse(reader, "soil-"+id); err != nil {
			return
		}
		if err := t.readResponse(reader, "lookup-"+id); err != nil {
			if t.hasArrived("lookup-" + id) {
				t.lost.Add(1)
				t.note("LOST: lookup-%s was answered by an upstream, and the connection ends before the response is complete", id)
			}
			return
		}
		t.whole.Add(1)
	}
}

func requestHead(path, id string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: desk.example\r\n%s: %s\r\n%s: %d\r\n\r\n",
		path, names.Headers.RequestID, id, names.Headers.TimeLeft, overdueLimit.Milliseconds())
}

func (t *overdueRun) readResponse(reader *bufio.Reader, id string) error {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.note("client gets no response to %s: %v", id, err)
		return err
	}
	size, err := io.Copy(io.Discard, response.Body)
	t.note("client gets %d for %s, %d bytes, end of the body: %v", response.StatusCode, id, size, err)
	return err
}
