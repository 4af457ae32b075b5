package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/modules/refusal"
	"medlarpond.dev/core/services/forward"
	"medlarpond.dev/core/services/intake"
)

const (
	// maxAhead is the maximum number of requests on one connection that are handled before the server has read them.
	maxAhead = 8
	// maxAheadBytes is the maximum number of bytes that are read from a connection before the server asks for them.
	maxAheadBytes = 16 << 10
)

// callerConn is a connection of a caller that may send further requests before the response to the first (pipelining).
// The HTTP server handles the requests of a connection one after the other. So that a request need not wait for the ones
// before it, callerConn looks for further requests in what the server reads, and starts to handle those that are
// idempotent and have no body. The server reads them as usual, in order, and its handler takes the result. All limits of
// the server hold.
//
// The server reads from a connection while a handler runs, to notice that the caller has disconnected. callerConn uses
// this read to look for further requests.
type callerConn struct {
	net.Conn
	// start starts to handle a request; it returns nil for one that must wait for its turn. cancel cancels all requests that
	// have been started.
	start  func(r foundRequest) *pending
	cancel context.CancelFunc
	// account bounds the memory of the requests that are found.
	account *intake.Account

	// ahead holds bytes that have been read before the server asked for them. Only Read uses it and ended; the server
	// never calls Read concurrently.
	ahead []byte
	// ended is the error of the connection, returned after the bytes in ahead.
	ended error

	mu sync.Mutex
	// head is the part of the next request that has been read. It is nil once requests cannot be told apart, for instance
	// after one with a body; no further request is handled early then.
	head []byte
	// running is true while the server handles a request.
	running bool
	// found is the number of requests that have been found, begun the number that the server has begun to handle.
	found, begun int
	// pending holds the requests that are handled early, queued those behind them which are started as soon as pending has
	// room, in order. closing is true if no further one may be started.
	pending []*pending
	queued  []foundRequest
	closing bool
}

// foundRequest is a request that the server has not begun to handle.
type foundRequest struct {
	*http.Request
	// number is the position of the request on its connection, counting from 1.
	number int
	// reserved is the memory that is reserved for the request and its response.
	reserved int64
}

// pending is a request that is handled before the server has read it.
type pending struct {
	request foundRequest
	arrived time.Time
	// done is closed when result is set.
	done   chan struct{}
	result forward.Result
	// release releases what is reserved for the request; it is called once, after the response.
	release func()
}

// discard releases a result that is not delivered.
func (p *pending) discard() {
	<-p.done
	defer p.release()
	if p.result.Response != nil && p.result.Response.Rest != nil {
		_ = p.result.Response.Rest.Close()
	}
}

// connKey is the context key of the caller's connection.
type connKey struct{}

// Listener returns a listener whose connections handle pipelined requests at the same time. ConnContext must be set in
// the server.
func (t *Router) Listener(l net.Listener) net.Listener { return &listener{Listener: l, router: t} }

// ConnContext makes a connection known to the handler.
func (t *Router) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

type listener struct {
	net.Listener
	router *Router
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &callerConn{
		Conn: c, cancel: cancel, head: []byte{}, account: l.router.account,
		start: func(r foundRequest) *pending { return l.router.startEarly(ctx, r) },
	}, nil
}

// Unwrap returns the connection that c reads ahead of.
func (c *callerConn) Unwrap() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	switch {
	case len(b) == 1 && c.ended == nil:
		// The server asks for a single byte while a handler runs.
		if err := c.readAhead(); err != nil {
			return 0, err
		}
	case len(c.ahead) == 0 && c.ended == nil:
		n, err := c.Conn.Read(b)
		c.scan(b[:n])
		c.checkEnded(err)
		return n, err
	case len(c.ahead) == 0:
		return 0, c.ended
	}
	n := copy(b, c.ahead)
	c.ahead = c.ahead[n:]
	return n, nil
}

// readAhead reads while the server handles a request, until the server cancels the read, the connection ends or the bounds
// are reached.
func (c *callerConn) readAhead() error {
	buffer := make([]byte, 1024)
	for len(c.ahead) == 0 || (len(c.ahead) < maxAheadBytes && c.mayRead()) {
		n, err := c.Conn.Read(buffer)
		c.ahead = append(c.ahead, buffer[:n]...)
		c.scan(buffer[:n])
		if err != nil {
			c.checkEnded(err)
			return err
		}
	}
	return nil
}

// checkEnded cancels the requests that have been started if the error of a read means that the connection has ended. The
// server ends its own reads with a timeout.
func (c *callerConn) checkEnded(err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended = err
		c.cancel()
	}
}

// mayRead reports whether further requests could be found and handled early.
func (c *callerConn) mayRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head != nil && !c.closing && len(c.queued) < maxAhead
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.cancel()
	c.mu.Lock()
	unused := c.pending
	for _, r := range c.queued {
		c.account.Release(r.reserved)
	}
	c.pending, c.queued, c.head, c.closing = nil, nil, nil, true
	c.mu.Unlock()
	for _, p := range unused {
		go p.discard()
	}
	return c.Conn.Close()
}

// scan looks for complete requests in what has been read.
func (c *callerConn) scan(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head == nil || len(b) == 0 {
		return
	}
	c.head = append(c.head, b...)
	for len(c.head) > 0 {
		end := bytes.Index(c.head, []byte("\r\n\r\n"))
		if end < 0 {
			if len(c.head) > maxAheadBytes {
				c.head = nil
			}
			return
		}
		end += len("\r\n\r\n")
		if !c.scanRequest(c.head[:end]) {
			c.head = nil
			return
		}
		c.head = c.head[end:]
	}
	// An empty slice would keep its array.
	c.head = []byte{}
}

// scanRequest handles the head of one request. It returns false if the next request cannot be found or must not be handled
// early. The caller must hold c.mu.
func (c *callerConn) scanRequest(head []byte) bool {
	if !bytes.HasPrefix(head, []byte("GET ")) && !bytes.HasPrefix(head, []byte("HEAD ")) {
		return false
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || r.ContentLength != 0 || len(r.TransferEncoding) > 0 || r.Proto != "HTTP/1.1" || r.Close ||
		r.Header.Get("Upgrade") != "" || r.Header.Get("Expect") != "" {
		return false
	}
	// The server reads the first request on an idle connection at once.
	if !c.running && c.found == c.begun {
		c.found++
		return true
	}
	reserved := intake.ResponseBytes + intake.HeadCost(len(head), bytes.Count(head, []byte("\n")))
	if !c.account.Reserve(reserved) {
		return false
	}
	c.found++
	c.queued = append(c.queued, foundRequest{Request: r, number: c.found, reserved: reserved})
	c.startQueued()
	return true
}

// startQueued starts queued requests while pending has room. The caller must hold c.mu.
func (c *callerConn) startQueued() {
	for len(c.queued) > 0 && len(c.pending) < maxAhead && !c.closing {
		if p := c.start(c.queued[0]); p != nil {
			c.pending = append(c.pending, p)
		} else {
			c.account.Release(c.queued[0].reserved)
		}
		c.queued = c.queued[1:]
	}
}

// begin records that the server handles a request. It returns the request as it was started early, or nil.
func (c *callerConn) begin(r *http.Request) *pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = true
	c.begun++
	// A request whose turn comes before pending has room for it is not started.
	for len(c.queued) > 0 && c.queued[0].number <= c.begun {
		c.account.Release(c.queued[0].reserved)
		c.queued = c.queued[1:]
	}
	if len(c.pending) == 0 || c.pending[0].request.number != c.begun {
		return nil
	}
	p := c.pending[0]
	c.pending = c.pending[1:]
	c.startQueued()
	if p.request.Method != r.Method || p.request.RequestURI != r.RequestURI {
		go p.discard()
		return nil
	}
	return p
}

// end records that the server has handled a request.
func (c *callerConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = false
}

// beginClosing prevents that further requests are handled early, and reports whether none is: the connection may be closed after
// the current response.
func (c *callerConn) beginClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	return len(c.pending) == 0
}

// startEarly starts to handle a request without a body whose turn on its connection has not come. It returns nil for a
// request that must wait: one without an ID cannot be told from others at its target, and one that is not idempotent is sent
// again by its caller if the connection breaks off before its turn.
func (t *Router) startEarly(ctx context.Context, r foundRequest) *pending {
	id := r.Header.Get(t.headers.RequestID)
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if id == "" || t.leaving.Load() || !t.forwarder.IsIdempotent(stripPort(r.Host), path) {
		return nil
	}
	p := &pending{request: r, arrived: time.Now(), done: make(chan struct{}), release: func() { t.account.Release(r.reserved) }}
	t.meter.Count("medlarpond_pipelined_requests_total", "handled", "early")
	t.running.Add(1)
	go func() {
		defer t.running.Add(-1)
		defer close(p.done)
		defer func() {
			if cause := recover(); cause != nil {
				t.logger.Error("handling a request failed unexpectedly", zap.String("request", id), zap.Any("cause", cause), zap.Stack("stack"))
				p.result = forward.Result{Refusal: refusal.NewMayHaveRun(http.StatusBadGateway, refusal.OutcomeUnknown, "the instance failed to handle the request")}
			}
		}()
		p.result = t.handle(ctx, nil, r.Request, p.arrived)
	}()
	return p
}
