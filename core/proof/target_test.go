package proof_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// fault says what a target does with one attempt.
type fault string

// The faults of targets. Those that start with run- have run the request.
const (
	faultNone       fault = "ok"
	faultChunked    fault = "ok-chunked"
	faultThenClose  fault = "ok-then-close"
	faultThenReset  fault = "ok-then-reset"
	faultShed       fault = "shed"
	faultDropUnread fault = "drop-unread"
	faultDropUnrun  fault = "drop-unrun"
	faultDrop       fault = "run-drop"
	faultReset      fault = "run-reset"
	faultHalfHeader fault = "run-half-header"
	faultShort      fault = "run-short"
	faultCutChunk   fault = "run-cut-chunk"
	faultLate       fault = "run-late"
	faultSlowBody   fault = "run-slow-body"
)

func allFaults() []fault {
	return []fault{
		faultNone, faultChunked, faultThenClose, faultThenReset, faultShed, faultDropUnread, faultDropUnrun, faultDrop,
		faultReset, faultHalfHeader, faultShort, faultCutChunk, faultLate, faultSlowBody,
	}
}

const (
	// planHeader carries the faults of a request's attempts in their order, separated by commas.
	planHeader = "Fault-Plan"
	// lateness is how long late targets take; longer than impatient callers wait.
	lateness = 50 * time.Millisecond
)

// journal records what all targets ran.
type journal struct {
	mu sync.Mutex
	// attempts and runs count by request.
	attempts, runs map[string]int
	// met counts the faults that were acted out.
	met map[fault]int
	// busy counts the requests in the hands of targets.
	busy int
}

func newJournal() *journal {
	return &journal{attempts: map[string]int{}, runs: map[string]int{}, met: map[fault]int{}}
}

// begin counts an attempt and returns what to do with it.
func (j *journal) begin(id, plan string) fault {
	j.mu.Lock()
	defer j.mu.Unlock()
	steps := strings.Split(plan, ",")
	f := fault(steps[min(j.attempts[id], len(steps)-1)])
	if f == "" {
		f = faultNone
	}
	j.attempts[id]++
	j.met[f]++
	j.busy++
	return f
}

func (j *journal) end() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.busy--
}

// idle reports whether no request is in the hands of a target.
func (j *journal) idle() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.busy == 0
}

func (j *journal) run(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id]++
}

func (j *journal) runsOf(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.runs[id]
}

// answerTo is the only right answer to a request.
func answerTo(id string, body []byte) string {
	return strings.Repeat("answer to "+id+"\n", 1+len(id)*7%97) + fmt.Sprintf("%d bytes %x", len(body), body)
}

// startTarget starts a target that acts out the faults that its requests name.
func startTarget(t *testing.T, j *journal) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveTarget(c, j)
		}
	}()
	return l.Addr().String()
}

// startResetter starts a target that resets every connection as soon as it is open.
func startResetter(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			resetConnection(c)
		}
	}()
	return l.Addr().String()
}

func resetConnection(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func serveTarget(c net.Conn, j *journal) {
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
func serveAttempt(c net.Conn, request *http.Request, j *journal) bool {
	id := request.URL.Path[strings.LastIndexByte(request.URL.Path, '/')+1:]
	f := j.begin(id, request.Header.Get(planHeader))
	defer j.end()
	if f == faultDropUnread {
		return false
	}
	body, err := io.ReadAll(request.Body)
	if err != nil || f == faultDropUnrun {
		return false
	}
	if f == faultShed {
		_, err := io.WriteString(c, "HTTP/1.1 503 Busy\r\nX-Shed: true\r\nContent-Length: 4\r\n\r\nbusy")
		return err == nil
	}
	j.run(id)
	return answer(c, f, answerTo(id, body))
}

// answer writes the answer that a fault leaves of the right one and reports whether the connection stays open.
func answer(c net.Conn, f fault, text string) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text))
	half := text[:len(text)/2]
	chunk := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(half), half)
	rest := text[len(half):]
	switch f {
	case faultDrop:
		return false
	case faultReset:
		resetConnection(c)
		return false
	case faultHalfHeader:
		return write(c, head[:len(head)/2]) && false
	case faultShort:
		return write(c, head+half) && false
	case faultCutChunk:
		return write(c, chunk) && false
	case faultChunked:
		return write(c, chunk+fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(rest), rest))
	case faultLate:
		time.Sleep(lateness)
		return write(c, head+text)
	case faultSlowBody:
		_ = write(c, head+half)
		time.Sleep(lateness)
		return write(c, rest)
	case faultThenClose:
		return write(c, head+text) && false
	case faultThenReset:
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
