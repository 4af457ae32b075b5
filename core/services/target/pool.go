package target

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// connectTimeout bounds the set-up of a connection by Pool. Links take tens of milliseconds; a packet that is lost is
	// sent again only after a second.
	connectTimeout = 400 * time.Millisecond
	// unacknowledgedTimeout is how long sent data may stay unacknowledged before the kernel gives a connection up; it
	// leaves time to send lost packets twice more.
	unacknowledgedTimeout = 700 * time.Millisecond
	// maxIdleConnections bounds the idle connections to one target.
	maxIdleConnections = 8
	// defaultIdle is the age of an idle connection up to which it is used again if the target announces none.
	defaultIdle = 4 * time.Second
	// sweepInterval is the pause between two searches for idle connections that are too old.
	sweepInterval = 2 * time.Second
)

// Pool keeps connections to targets. In contrast to Sender it sees every byte of a connection, so that it can tell the
// answer to a request from one that belongs to another.
type Pool struct {
	dial func(ctx context.Context, address string) (net.Conn, error)

	trust trust

	mu sync.Mutex
	// idle holds the unused connections of each address, the newest last.
	idle   map[string][]*conn
	closed bool
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is when it was last used; zero for a new connection.
	idleSince time.Time
	// idleLimit is how long it may stay unused.
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

// get returns a connection that was idle for at most maxIdle, or a new one that is open before the deadline.
func (p *Pool) get(ctx context.Context, address string, maxIdle time.Duration, deadline time.Time) (*conn, error) {
	for {
		c := p.pop(address, maxIdle)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) > c.idleLimit || !c.quiet() {
			_ = c.Close()
			continue
		}
		return c, nil
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	opened, err := p.dial(ctx, address)
	if err != nil {
		return nil, &ErrNotSent{Cause: err}
	}
	return &conn{Conn: opened, reader: bufio.NewReader(opened), idleLimit: defaultIdle}, nil
}

// pop takes the newest idle connection, unless it was idle for longer than maxIdle: then it is left for a request that
// may use it.
func (p *Pool) pop(address string, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 || time.Since(list[len(list)-1].idleSince) > maxIdle {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection for another request.
func (p *Pool) put(address string, c *conn) {
	c.idleSince = time.Now()
	if c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[address]) >= maxIdleConnections {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// Run closes connections that have been idle for too long, until the context ends; then it closes all idle ones.
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

// quiet reports whether nothing has arrived on an idle connection: neither its end nor bytes that no request asked for.
func (c *conn) quiet() bool {
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
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN //nolint:errorlint // a system call returns the bare number
		return true
	})
	return err == nil && quiet
}

// setUnacknowledgedTimeout bounds how long a target that has fallen silent holds a request.
func setUnacknowledgedTimeout(_, _ string, raw syscall.RawConn) error {
	return setUserTimeoutTo(raw, unacknowledgedTimeout)
}
