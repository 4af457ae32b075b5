// Package faulty is a stand-in for targets that fail. A header of each request selects the faults of its attempts, and a
// journal records how often each request was run.
package faulty

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Fault selects how a target handles one attempt.
type Fault string

// The faults of targets. NoFault, ChunkedResponse, RespondThenClose, RespondThenReset and those whose value starts with run-
// run the request.
const (
	NoFault          Fault = "ok"
	ChunkedResponse  Fault = "ok-chunked"
	RespondThenClose Fault = "ok-then-close"
	RespondThenReset Fault = "ok-then-reset"
	Shed             Fault = "shed"
	CloseBeforeRead  Fault = "drop-unread"
	CloseBeforeRun   Fault = "drop-unrun"
	CloseAfterRun    Fault = "run-drop"
	ResetAfterRun    Fault = "run-reset"
	TruncatedHeader  Fault = "run-half-header"
	TruncatedBody    Fault = "run-short"
	TruncatedChunks  Fault = "run-cut-chunk"
	DelayedResponse  Fault = "run-late"
	DelayedBody      Fault = "run-slow-body"
)

// All returns every fault.
func All() []Fault {
	return []Fault{
		NoFault, ChunkedResponse, RespondThenClose, RespondThenReset, Shed, CloseBeforeRead, CloseBeforeRun, CloseAfterRun,
		ResetAfterRun, TruncatedHeader, TruncatedBody, TruncatedChunks, DelayedResponse, DelayedBody,
	}
}

const (
	// PlanHeader lists the faults of the attempts of a request in order, separated by commas. Further attempts get the last
	// one.
	PlanHeader = "Fault-Plan"
	// ResponseDelay is the delay of DelayedResponse and DelayedBody, longer than the timeout of the clients that give up early.
	ResponseDelay = 50 * time.Millisecond
)

// Journal counts the attempts and runs of all targets. It is safe for concurrent use.
type Journal struct {
	mu sync.Mutex
	// attempts and runs are counts by request ID.
	attempts, runs map[string]int
	// injected counts the attempts by fault.
	injected map[Fault]int
	// active is the number of attempts in progress.
	active int
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{attempts: map[string]int{}, runs: map[string]int{}, injected: map[Fault]int{}}
}

// begin counts an attempt and returns its fault.
func (j *Journal) begin(id, plan string) Fault {
	j.mu.Lock()
	defer j.mu.Unlock()
	steps := strings.Split(plan, ",")
	f := Fault(steps[min(j.attempts[id], len(steps)-1)])
	if f == "" {
		f = NoFault
	}
	j.attempts[id]++
	j.injected[f]++
	j.active++
	return f
}

func (j *Journal) end() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.active--
}

// Idle reports whether no attempt is in progress.
func (j *Journal) Idle() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.active == 0
}

func (j *Journal) recordRun(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id]++
}

// RunCount returns how often a request was run.
func (j *Journal) RunCount(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.runs[id]
}

// ExpectedResponse returns the correct response body for a request.
func ExpectedResponse(id string, body []byte) string {
	return strings.Repeat("answer to "+id+"\n", 1+len(id)*7%97) + fmt.Sprintf("%d bytes %x", len(body), body)
}

// InjectedCount returns how often a fault was injected.
func (j *Journal) InjectedCount(f Fault) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.injected[f]
}

// Serve runs a faulty target until the listener is closed.
func Serve(l net.Listener, j *Journal) {
	ServeConnections(l, func(c net.Conn) { serveTarget(c, j) })
}

// ServeResets resets every connection on accept, until the listener is closed.
func ServeResets(l net.Listener) { ServeConnections(l, resetConnection) }

// ServeConnections calls serve in a goroutine for each connection until the listener is closed.
func ServeConnections(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serve(c)
	}
}

func resetConnection(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func serveTarget(c net.Conn, j *Journal) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !serveAttempt(c, request, j) {
			return
		}
	}
}

// serveAttempt handles one attempt with its fault and reports whether the connection stays open.
func serveAttempt(c net.Conn, request *http.Request, j *Journal) bool {
	id := request.URL.Path[strings.LastIndexByte(request.URL.Path, '/')+1:]
	f := j.begin(id, request.Header.Get(PlanHeader))
	defer j.end()
	if f == CloseBeforeRead {
		return false
	}
	body, err := io.ReadAll(request.Body)
	if err != nil || f == CloseBeforeRun {
		return false
	}
	if f == Shed {
		_, err := io.WriteString(c, "HTTP/1.1 503 Busy\r\nX-Shed: true\r\nContent-Length: 4\r\n\r\nbusy")
		return err == nil
	}
	j.recordRun(id)
	return writeResponse(c, f, ExpectedResponse(id, body))
}

// writeResponse writes the response body as the fault requires and reports whether the connection stays open.
func writeResponse(c net.Conn, f Fault, body string) bool {
	header := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	half := body[:len(body)/2]
	chunk := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(half), half)
	rest := body[len(half):]
	switch f {
	case CloseAfterRun:
		return false
	case ResetAfterRun:
		resetConnection(c)
		return false
	case TruncatedHeader:
		return write(c, header[:len(header)/2]) && false
	case TruncatedBody:
		return write(c, header+half) && false
	case TruncatedChunks:
		return write(c, chunk) && false
	case ChunkedResponse:
		return write(c, chunk+fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(rest), rest))
	case DelayedResponse:
		time.Sleep(ResponseDelay)
		return write(c, header+body)
	case DelayedBody:
		_ = write(c, header+half)
		time.Sleep(ResponseDelay)
		return write(c, rest)
	case RespondThenClose:
		return write(c, header+body) && false
	case RespondThenReset:
		_ = write(c, header+body)
		time.Sleep(time.Millisecond)
		resetConnection(c)
		return false
	default:
		return write(c, header+body)
	}
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
