// Package connlimit bounds the connections of HTTP callers: their number, how long they may be idle, and the time and size of the
// header section of a request. The limits may change while connections are open, unlike those of http.Server.
package connlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// checkInterval is the time between two searches for connections that are over their time.
	checkInterval = 100 * time.Millisecond
	// minIdleAge is how long a connection must have been idle to be closed for another one. The server has then read a request
	// that had arrived with the one before.
	minIdleAge = 20 * time.Millisecond
	// minUnusedAge is like minIdleAge for a connection without any request, whose first request may be on its way.
	minUnusedAge = 500 * time.Millisecond
	// acceptRetryDelay is the pause before another attempt to accept a connection when there is no room.
	acceptRetryDelay = 5 * time.Millisecond
	// headerSlack is the number of bytes of the body that may be read together with the header section.
	headerSlack = 4 << 10
	// rejectTimeout limits how long the rest of a request whose header section is too large is discarded, so that the caller
	// receives the response.
	rejectTimeout = 500 * time.Millisecond
	tooLarge      = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// Limits are the limits on connections; zeros set no limit.
type Limits struct {
	// Idle is how long a connection may stay open between requests.
	Idle time.Duration
	// Header bounds the time from the first byte of a request, or from the opening of the connection, to the end of the
	// header section. HeaderBytes bounds the size of the header section.
	Header      time.Duration
	HeaderBytes int
}

// Limiter bounds the connections of a server. It is safe for concurrent use.
type Limiter struct {
	// max is the maximum number of connections.
	max    int
	limits func() Limits
	// onClose is called with the reason for which a connection is closed.
	onClose func(reason string)

	mu    sync.Mutex
	conns map[*conn]struct{}
	// full is true while a connection waits to be accepted and none may be closed for it.
	full bool
}

// New returns a Limiter without connections. limits returns the limits that apply at present.
func New(maxConnections int, limits func() Limits, onClose func(reason string)) *Limiter {
	return &Limiter{max: maxConnections, limits: limits, onClose: onClose, conns: map[*conn]struct{}{}}
}

// Reasons for which connections are closed.
const (
	ReasonIdle          = "idle"
	ReasonRoom          = "room"
	ReasonHeaderTimeout = "header-timeout"
	ReasonHeaderSize    = "header-size"
)

// phase is what a connection is used for.
type phase int

const (
	// phaseHeader is from the opening of the connection, or from the first byte of a request, until its header section has been
	// read.
	phaseHeader phase = iota
	// phaseActive is while a request is handled, phaseIdle until the first byte of the next one.
	phaseActive
	phaseIdle
	phaseClosed
)

// conn is a connection of a caller.
type conn struct {
	net.Conn
	limiter *Limiter

	mu    sync.Mutex
	phase phase
	since time.Time
	// headerBytes is the number of bytes read in phaseHeader.
	headerBytes int
}

// CanAccept reports whether new connections are accepted.
func (l *Limiter) CanAccept() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.full
}

// Open returns the number of open connections.
func (l *Limiter) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Listener returns a listener whose connections are bounded. ConnState must be set in the server, whose own limits must be
// wider.
func (l *Limiter) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, limiter: l, closed: make(chan struct{})}
}

type listener struct {
	net.Listener
	limiter *Limiter
	once    sync.Once
	closed  chan struct{}
}

// Close implements net.Listener.
func (n *listener) Close() error {
	n.once.Do(func() { close(n.closed) })
	return n.Listener.Close()
}

// Accept implements net.Listener. If a connection is over the bound, the one that has been without a request for longest is
// closed for it; if all have requests, it waits.
func (n *listener) Accept() (net.Conn, error) {
	inner, err := n.Listener.Accept()
	for errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		// The process has no descriptor left, although the number of connections is within its bound.
		n.limiter.setFull(!n.limiter.closeOldest())
		if !n.wait() {
			return nil, net.ErrClosed
		}
		inner, err = n.Listener.Accept()
	}
	if err != nil {
		return nil, err
	}
	for !n.limiter.makeRoom() {
		if !n.wait() {
			_ = inner.Close()
			return nil, net.ErrClosed
		}
	}
	return n.limiter.add(inner), nil
}

// wait waits before another attempt to find room; false if the listener is closed.
func (n *listener) wait() bool {
	select {
	case <-n.closed:
		return false
	case <-time.After(acceptRetryDelay):
		return true
	}
}

// makeRoom reports whether there is room for a connection, for which it may close an idle one.
func (l *Limiter) makeRoom() bool {
	room := l.Open() < l.max || l.closeOldest()
	l.setFull(!room)
	return room
}

func (l *Limiter) setFull(full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.full = full
}

func (l *Limiter) add(inner net.Conn) *conn {
	c := &conn{Conn: inner, limiter: l, since: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c
}

// closeOldest closes the connection that has been without a request for longest, and reports whether there was one.
func (l *Limiter) closeOldest() bool {
	var oldest *conn
	var oldestSince time.Time
	l.mu.Lock()
	for c := range l.conns {
		if since, ok := c.unusedSince(); ok && (oldest == nil || since.Before(oldestSince)) {
			oldest, oldestSince = c, since
		}
	}
	l.mu.Unlock()
	return oldest != nil && oldest.closeIf(ReasonRoom, func() bool { _, ok := oldest.unusedSinceLocked(); return ok })
}

// Run closes connections that are over their time until the context ends.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.closeExpired()
		}
	}
}

func (l *Limiter) closeExpired() {
	limits := l.limits()
	l.mu.Lock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.closeIf(ReasonIdle, func() bool { return c.phase == phaseIdle && limits.Idle > 0 && time.Since(c.since) > limits.Idle })
		c.closeIf(ReasonHeaderTimeout, func() bool {
			return c.phase == phaseHeader && limits.Header > 0 && time.Since(c.since) > limits.Header
		})
	}
}

// ConnState records what the server uses a connection for. It must be set as the field of http.Server.
func (l *Limiter) ConnState(outer net.Conn, state http.ConnState) {
	for outer != nil {
		if c, ok := outer.(*conn); ok {
			c.setState(state)
			return
		}
		wrapper, ok := outer.(interface{ Unwrap() net.Conn })
		if !ok {
			return
		}
		outer = wrapper.Unwrap()
	}
}

func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == phaseClosed:
	case state == http.StateActive:
		c.phase, c.since = phaseActive, time.Now()
	case state == http.StateIdle:
		c.phase, c.since = phaseIdle, time.Now()
	}
}

// unusedSince returns since when the connection has had no request; false if it has one or may have.
func (c *conn) unusedSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unusedSinceLocked()
}

func (c *conn) unusedSinceLocked() (time.Time, bool) {
	age := time.Since(c.since)
	return c.since, (c.phase == phaseIdle && age >= minIdleAge) ||
		(c.phase == phaseHeader && c.headerBytes == 0 && age >= minUnusedAge)
}

// closeIf closes the connection if a condition holds, which is checked while the phase cannot change.
func (c *conn) closeIf(reason string, condition func() bool) bool {
	c.mu.Lock()
	if !condition() {
		c.mu.Unlock()
		return false
	}
	c.phase = phaseClosed
	c.mu.Unlock()
	c.limiter.onClose(reason)
	_ = c.Close()
	return true
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.recordRead(n) {
		c.limiter.onClose(ReasonHeaderSize)
		c.reject()
		return 0, io.EOF
	}
	return n, err
}

// recordRead records that bytes were read, and reports whether the header section is within its limit.
func (c *conn) recordRead(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle {
		c.phase, c.since, c.headerBytes = phaseHeader, time.Now(), 0
	}
	if c.phase != phaseHeader {
		return true
	}
	c.headerBytes += n
	if limit := c.limiter.limits().HeaderBytes; limit <= 0 || c.headerBytes <= limit+headerSlack {
		return true
	}
	c.phase = phaseClosed
	return false
}

// reject responds to a request whose header section is too large.
func (c *conn) reject() {
	_ = c.SetDeadline(time.Now().Add(rejectTimeout))
	_, _ = io.WriteString(c.Conn, tooLarge)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, c.Conn)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.limiter.mu.Lock()
	delete(c.limiter.conns, c)
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

// Unwrap returns the connection that is bounded.
func (c *conn) Unwrap() net.Conn { return c.Conn }

// CloseWrite implements the closing of one direction, with which http.Server ends a connection gently.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
