// Package faulty is a stand-in for targets that fail: each request says what becomes of its attempts, and a journal
// records what was run.
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

// Fault says what a target does with one attempt.
type Fault string

// The faults of targets. Those whose text starts with run- have run the request.
const (
	None       Fault = "ok"
	Chunked    Fault = "ok-chunked"
	ThenClose  Fault = "ok-then-close"
	ThenReset  Fault = "ok-then-reset"
	Shed       Fault = "shed"
	DropUnread Fault = "drop-unread"
	DropUnrun  Fault = "drop-unrun"
	Drop       Fault = "run-drop"
	Reset      Fault = "run-reset"
	HalfHeader Fault = "run-half-header"
	Short      Fault = "run-short"
	CutChunk   Fault = "run-cut-chunk"
	Late       Fault = "run-late"
	SlowBody   Fault = "run-slow-body"
)

// All returns every fault.
func All() []Fault {
	return []Fault{
		None, Chunked, ThenClose, ThenReset, Shed, DropUnread, DropUnrun, Drop,
		Reset, HalfHeader, Short, CutChunk, Late, SlowBody,
	}
}

const (
	// PlanHeader carries the faults of a request's attempts in their order, separated by commas.
	PlanHeader = "Fault-Plan"
	// Lateness is how long late targets take; longer than impatient callers wait.
	Lateness = 50 * time.Millisecond
)

// Journal records what all targets ran.
type Journal struct {
	mu sync.Mutex
	// attempts and runs count by request.
	attempts, runs map[string]int
	// met counts the faults that were acted out.
	met map[Fault]int
	// busy counts the requests in the hands of targets.
	busy int
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{attempts: map[string]int{}, runs: map[string]int{}, met: map[Fault]int{}}
}

// begin counts an attempt and returns what to do with it.
func (j *Journal) begin(id, plan string) Fault {
	j.mu.Lock()
	defer j.mu.Unlock()
	steps := strings.Split(plan, ",")
	f := Fault(steps[min(j.attempts[id], len(steps)-1)])
	if f == "" {
		f = None
	}
	j.attempts[id]++
	j.met[f]++
	j.busy++
	return f
}

func (j *Journal) end() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.busy--
}

// Idle reports whether no request is in the hands of a target.
func (j *Journal) Idle() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.busy == 0
}

func (j *Journal) run(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id]++
}

// RunsOf returns how often a request was run.
func (j *Journal) RunsOf(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.runs[id]
}

// AnswerTo is the only right answer to a request.
func AnswerTo(id string, body []byte) string {
	return strings.Repeat("answer to "+id+"\n", 1+len(id)*7%97) + fmt.Sprintf("%d bytes %x", len(body), body)
}

// Met returns how often a fault was acted out.
func (j *Journal) Met(f Fault) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.met[f]
}

// Serve answers connections as their requests say until the listener is closed.
func Serve(l net.Listener, j *Journal) {
	Accept(l, func(c net.Conn) { serveTarget(c, j) })
}

// ServeResets resets every connection as soon as it is open until the listener is closed.
func ServeResets(l net.Listener) { Accept(l, resetConnection) }

// Accept serves each connection by itself until the listener is closed.
func Accept(l net.Listener, serve func(net.Conn)) {
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

// serveAttempt acts out one attempt and reports whether the connection stays open.
func serveAttempt(c net.Conn, request *http.Request, j *Journal) bool {
	id := request.URL.Path[strings.LastIndexByte(request.URL.Path, '/')+1:]
	f := j.begin(id, request.Header.Get(PlanHeader))
	defer j.end()
	if f == DropUnread {
		return false
	}
	body, err := io.ReadAll(request.Body)
	if err != nil || f == DropUnrun {
		return false
	}
	if f == Shed {
		_, err := io.WriteString(c, "HTTP/1.1 503 Busy\r\nX-Shed: true\r\nContent-Length: 4\r\n\r\nbusy")
		return err == nil
	}
	j.run(id)
	return answer(c, f, AnswerTo(id, body))
}

// answer writes the answer that a fault leaves of the right one and reports whether the connection stays open.
func answer(c net.Conn, f Fault, text string) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text))
	half := text[:len(text)/2]
	chunk := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(half), half)
	rest := text[len(half):]
	switch f {
	case Drop:
		return false
	case Reset:
		resetConnection(c)
		return false
	case HalfHeader:
		return write(c, head[:len(head)/2]) && false
	case Short:
		return write(c, head+half) && false
	case CutChunk:
		return write(c, chunk) && false
	case Chunked:
		return write(c, chunk+fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(rest), rest))
	case Late:
		time.Sleep(Lateness)
		return write(c, head+text)
	case SlowBody:
		_ = write(c, head+half)
		time.Sleep(Lateness)
		return write(c, rest)
	case ThenClose:
		return write(c, head+text) && false
	case ThenReset:
		_ = write(c, head+text)
		time.Sleep(time.Millisecond)
		resetConnection(c)
		return false
	default:
		return write(c, head+text)
	}
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
