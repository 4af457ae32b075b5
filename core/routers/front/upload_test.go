package front_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"medlarpond.dev/core/models/intent"
)

// earlyTarget responds to each request after the first 4 KiB of its body, keeps the connection, and reads on once the
// response has had time to reach the caller.
type earlyTarget struct {
	address string
	// bodies receives what has been read of each body, and the error at its end.
	bodies chan earlyBody
}

type earlyBody struct {
	content []byte
	err     error
}

func newEarlyTarget(t *testing.T, response []byte, chunked bool) *earlyTarget {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &earlyTarget{address: listener.Addr().String(), bodies: make(chan earlyBody, 10)}
	framed := fmt.Appendf(nil, "Content-Length: %d\r\n\r\n%s", len(response), response)
	if chunked {
		framed = fmt.Appendf(nil, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(response), response)
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(c, framed, len(response)/2)
		}
	}()
	return e
}

// serve sends a response with the given part after its header, the last bytes of it once the body has been read.
func (e *earlyTarget) serve(c net.Conn, framed []byte, last int) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sealed\r\n", headers.RequestID, r.Header.Get(headers.RequestID), headers.Seal)
		begin := make([]byte, 4<<10)
		n, err := io.ReadFull(r.Body, begin)
		if err != nil {
			e.bodies <- earlyBody{begin[:n], err}
			return
		}
		if last < 32<<10 {
			last = 0
		}
		_, _ = c.Write(append([]byte(head), framed[:len(framed)-last]...))
		time.Sleep(100 * time.Millisecond)
		_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		rest, err := io.ReadAll(r.Body)
		e.bodies <- earlyBody{append(begin, rest...), err}
		_, _ = c.Write(framed[len(framed)-last:])
		if err != nil {
			return
		}
	}
}

// TestEarlyResponseLeavesNoGapInBody covers a target that responds before it has read a streamed body, keeps the connection
// and reads on. The HTTP server then used to discard 256 KiB of the body while the rest was still copied to the target, which got
// a body with a gap that could look complete. A body that is not passed on whole must end with an error, and the caller must
// get the response at once, also if it stops sending, and be able to go on with its next request.
func TestEarlyResponseLeavesNoGapInBody(t *testing.T) {
	const size = 1 << 20
	var body bytes.Buffer
	for body.Len() < size {
		_, _ = fmt.Fprintf(&body, "%08x", body.Len())
	}
	want := body.Bytes()
	for _, responseSize := range []int{1 << 10, 160 << 10} {
		for _, chunkedResponse := range []bool{false, true} {
			for _, chunked := range []bool{false, true} {
				for _, sent := range []int{size, 700 << 10} {
					e := newEarlyTarget(t, bytes.Repeat([]byte("x"), responseSize), chunkedResponse)
					name := fmt.Sprintf("response %d chunked %v, body chunked %v, %d bytes sent", responseSize, chunkedResponse, chunked, sent)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						testEarlyResponse(t, e, chunked, want, sent)
					})
				}
			}
		}
	}
}

// newInstanceWithTarget starts an instance with one target and a limit on bodies. With a limit, the HTTP server does not see how
// much of a body is left.
func newInstanceWithTarget(t *testing.T, address string, limit int64) *testInstance {
	t.Helper()
	s := newInstance(t, 1, respondSealed)
	s.setIntent(t, 2, func(c *intent.Content) {
		c.Limits.BodyBytes = limit
		for n := range c.Routes {
			c.Routes[n].Timeout = 5 * time.Second
		}
	})
	s.keepConfirmed(t)
	s.replaceTarget(address, 10)
	return s
}

func testEarlyResponse(t *testing.T, e *earlyTarget, chunked bool, want []byte, sent int) {
	t.Helper()
	s := newInstanceWithTarget(t, e.address, 64<<20)
	p := s.pipeline(t)
	framing := fmt.Sprintf("Content-Length: %d", len(want))
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	p.send(t, fmt.Sprintf("POST /write/x HTTP/1.1\r\nHost: shop.example\r\n%s: r-1\r\nAuthorization: Bearer secret-key\r\n%s\r\n\r\n", headers.RequestID, framing))
	lastSent := make(chan time.Time, 1)
	go func() {
		defer func() { lastSent <- time.Now() }()
		for at := 0; at < sent; at += 32 << 10 {
			piece := want[at:min(at+32<<10, sent)]
			if chunked {
				piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
			}
			if _, err := p.Write(piece); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		if chunked && sent == len(want) {
			_, _ = io.WriteString(p, "0\r\n\r\n")
		}
	}()
	response := p.expect(t, http.StatusOK, "r-1")
	if took := time.Since(<-lastSent); took > 1500*time.Millisecond {
		t.Errorf("the response came %v after the last byte was sent, want at most 1.5s", took)
	}
	select {
	case got := <-e.bodies:
		if !bytes.HasPrefix(want, got.content) {
			t.Errorf("the target received other bytes than those sent, within the first %d", len(got.content))
		}
		if got.err == nil && len(got.content) < len(want) {
			t.Errorf("a body cut off after %d of %d bytes looks complete at the target", len(got.content), len(want))
		}
	case <-time.After(3 * time.Second):
		t.Error("the target has received no end of the body")
	}
	if sent < len(want) {
		return
	}
	if response.Close {
		if _, err := p.reader.ReadByte(); err == nil {
			t.Error("got more bytes on a connection that was announced to close")
		}
		p = s.pipeline(t)
	}
	s.replaceTarget("", 0)
	p.send(t, strings.Replace(requestText(http.MethodGet, "/none", "r-2", ""), "shop.example", "none.example", 1))
	p.expect(t, http.StatusNotFound, "")
}
