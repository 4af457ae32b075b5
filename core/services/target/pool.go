package target

import (
	"bufio"
	"context"
	"errors"
	"hash/fnv"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// connectTimeout bounds connecting to a target. A round trip takes tens of milliseconds; a lost SYN is sent again
	// only after a second.
	connectTimeout = 400 * time.Millisecond
	// unacknowledgedTimeout is how long sent data may stay unacknowledged before the kernel closes the connection. It
	// allows two more retransmissions of lost packets.
	unacknowledgedTimeout = 700 * time.Millisecond
	// maxIdleConnections bounds the idle connections to one target.
	maxIdleConnections = 8
	// defaultIdleLimit is how long an idle connection stays usable if the target announces no Keep-Alive timeout.
	defaultIdleLimit = 4 * time.Second
	// maxCarriedIDs is the number of requests on a connection whose IDs are remembered. Attempts of one request follow each
	// other within the time of a few requests.
	maxCarriedIDs = 64
	// sweepInterval is the time between two searches for expired idle connections.
	sweepInterval = 2 * time.Second
)

// Pool is a pool of connections to targets. Unlike Sender it reads the connections itself, so that it can detect a
// response that belongs to another request. It is safe for concurrent use.
type Pool struct {
	dial func(ctx context.Context, address string) (net.Conn, error)

	safeIdle safeIdleAge

	mu sync.Mutex
	// idle holds the idle connections by address, the most recently used last.
	idle   map[string][]*conn
	closed bool
}

// conn is a connection to a target.
type conn struct {
	*stickyErrorConn
	// reader buffers what bound lets through.
	reader *bufio.Reader
	bound  *boundedReader
	// longTimeout is true while sent data may stay unacknowledged for longer than unacknowledgedTimeout.
	longTimeout bool
	// carried holds the hashes of the IDs of the latest requests on the connection, carriedCount the number of all.
	carried      [maxCarriedIDs]uint64
	carriedCount int
	// idleSince is when the connection was last used; zero for a new connection.
	idleSince time.Time
	// idleLimit is how long the connection may stay idle.
	idleLimit time.Duration
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	dialer := &net.Dialer{
		Timeout: connectTimeout,
		Control: setUnacknowledgedTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return &Pool{
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		idle: map[string][]*conn{},
	}
}

// get returns a connection that was idle for at most maxIdle, or a new one. Connecting is bounded by the deadline. The
// connection has not carried the request with the given ID before: a late copy of the response to that attempt has the same
// ID and could not be told from the response to this one.
func (p *Pool) get(ctx context.Context, address, id string, maxIdle time.Duration, deadline time.Time) (*conn, error) {
	for {
		c := p.pop(address, id, maxIdle)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) > c.idleLimit || !c.isReusable() {
			_ = c.Close()
			continue
		}
		return c, nil
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	netConn, err := p.dial(ctx, address)
	if err != nil {
		return nil, &ErrNotSent{Cause: err}
	}
	return newConn(netConn), nil
}

// RefusesConnections reports whether an address refuses a new connection, as that of a target does whose process has ended. A
// connection that is accepted is kept for the next request.
func (p *Pool) RefusesConnections(ctx context.Context, address string) bool {
	netConn, err := p.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.put(address, newConn(netConn))
	return false
}

func newConn(netConn net.Conn) *conn {
	c := &stickyErrorConn{Conn: netConn}
	bound := &boundedReader{source: c}
	return &conn{stickyErrorConn: c, reader: bufio.NewReader(bound), bound: bound, idleLimit: defaultIdleLimit}
}

// pop returns the most recently used idle connection of an address that has not carried the ID, or nil. A
// connection that was idle for longer than maxIdle stays in the pool for requests that may use it.
func (p *Pool) pop(address, id string, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0 && time.Since(list[i].idleSince) <= maxIdle; i-- {
		if c := list[i]; !c.hasCarried(id) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// recordRequest remembers that the connection carries the request with an ID.
func (c *conn) recordRequest(id string) {
	c.carried[c.carriedCount%maxCarriedIDs] = hashID(id)
	c.carriedCount++
}

// hasCarried reports whether the connection may have carried a request with an ID. Requests without an ID cannot be told from
// each other.
func (c *conn) hasCarried(id string) bool {
	return id == "" || slices.Contains(c.carried[:min(c.carriedCount, maxCarriedIDs)], hashID(id))
}

func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// put returns a connection to the pool.
func (p *Pool) put(address string, c *conn) {
	c.idleSince = time.Now()
	if c.SetDeadline(time.Time{}) != nil || (c.longTimeout && c.setUserTimeout(unacknowledgedTimeout) != nil) {
		_ = c.Close()
		return
	}
	c.longTimeout = false
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[address]) >= maxIdleConnections {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// Run closes expired idle connections until the context ends, and then all idle connections.
func (p *Pool) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.sweep(time.Now())
		case <-ctx.Done():
			p.mu.Lock()
			p.closed = true
			p.mu.Unlock()
			p.sweep(time.Now().Add(time.Hour))
			return nil
		}
	}
}

func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) > c.idleLimit {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// isReusable reports whether an idle connection is still open and no unsolicited bytes have arrived on it.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = err == unix.EAGAIN //nolint:errorlint // a system call returns the plain errno
		return true
	})
	return err == nil && noData
}

// setUserTimeout sets the time for which sent data may stay unacknowledged. A target that does not read a large body while the
// request waits in its queue acknowledges nothing, although it is alive.
func (c *conn) setUserTimeout(d time.Duration) error {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	return setTCPUserTimeout(control, d)
}

// setUnacknowledgedTimeout bounds how long an unresponsive target can hold up a request.
func setUnacknowledgedTimeout(_, _ string, raw syscall.RawConn) error {
	return setTCPUserTimeout(raw, unacknowledgedTimeout)
}
