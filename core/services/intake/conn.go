package intake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// writeChunk is the number of bytes that are written before the progress of the reader is looked at.
	writeChunk = 16 << 10
	// refusalTimeout bounds writing the response to a head that is refused.
	refusalTimeout = 100 * time.Millisecond

	tooManyFieldsResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noRoomResponse        = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// errRefused is the error of a read whose head is refused.
var errRefused = errors.New("head refused")

// phase is what the server does with a connection.
type phase int

const (
	// idlePhase lasts until the first byte of a request, headPhase until its handler begins.
	idlePhase phase = iota
	headPhase
	// bodyPhase lasts until the server has finished the request, including the part of its body that the handler has not read.
	bodyPhase
)

// Conn is a connection whose memory is charged to an account, and whose caller must make progress. It relies on the server to
// read one byte at a time only while a handler runs, to notice that the caller has disconnected.
type Conn struct {
	net.Conn
	holder    *holder
	policy    Policy
	closeOnce sync.Once

	// mu guards the fields below.
	mu    sync.Mutex
	phase phase
	// used is true once a handler has begun.
	used bool
	// headBytes and headLines describe the part of the head that has been read, headCharged is what has been charged for it.
	headBytes, headLines int
	headCharged          int64
	// lastBytes and lastLines describe the end of the last read, which may be the beginning of the next head.
	lastBytes, lastLines int
	reads, writes        progress
}

// progress is the progress of one direction of a connection. A write makes progress with each chunk.
type progress struct {
	// deadline is the one that the server has set.
	deadline time.Time
	// limit is the time at which the present wait exceeds StallTime; zero if nothing waits.
	limit time.Time
	// bytes and waited are what has been transferred, and how long this has taken, since the last MinProgress bytes.
	bytes  int
	waited time.Duration
}

// effective returns the earlier of the deadlines.
func (p *progress) effective() time.Time {
	if p.limit.IsZero() || (!p.deadline.IsZero() && p.deadline.Before(p.limit)) {
		return p.deadline
	}
	return p.limit
}

// connKey is the context key of the Conn.
type connKey struct{}

// Listener returns a listener that closes connections for which the account has no room.
func (a *Account) Listener(l net.Listener) net.Listener { return &listener{Listener: l, account: a} }

type listener struct {
	net.Listener
	account *Account
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if h := l.account.add(func() { _ = c.Close() }); h != nil {
			return &Conn{Conn: c, holder: h, policy: l.account.policy}, nil
		}
		_ = c.Close()
	}
}

// Configure makes a server charge its requests to the account. The server must serve a Listener of the account.
func (a *Account) Configure(s *http.Server) {
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := FromContext(r.Context()); c != nil && !c.beginBody(headerCost(r)) {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
	connContext := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		own, ok := c.(*Conn)
		if ok {
			ctx = context.WithValue(ctx, connKey{}, own)
			c = own.Conn
		}
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return ctx
	}
	connState := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := c.(*Conn); ok && state == http.StateIdle {
			own.beginIdle()
		}
		if connState != nil {
			connState(c, state)
		}
	}
}

// Unwrap returns the connection that c charges for.
func (c *Conn) Unwrap() net.Conn { return c.Conn }

// FromContext returns the connection of a request, or nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// ChargeBody charges n bytes of a body. The charge lasts until the request ends.
func (c *Conn) ChargeBody(n int64) bool {
	return c == nil || c.holder.charge(n, c.policy.BodyShare, NoRoomForBody)
}

// ChargeResponse charges the response to the request.
func (c *Conn) ChargeResponse() bool {
	return c == nil || c.holder.charge(ResponseBytes, 1, NoRoomForResponse)
}

// BodyTimeout returns the bound on the time until the buffered part of a body has been received, or fallback for a nil Conn.
func (c *Conn) BodyTimeout(fallback time.Duration) time.Duration {
	if c == nil {
		return fallback
	}
	return c.policy.BodyTimeout
}

// beginBody charges the exact cost of the head. It returns false if there is no room for it.
func (c *Conn) beginBody(cost int64) bool {
	c.mu.Lock()
	c.phase, c.used, c.reads.bytes, c.reads.waited = bodyPhase, true, 0, 0
	c.mu.Unlock()
	c.holder.reset(0)
	return c.holder.charge(cost, 1, NoRoomForHead)
}

// beginIdle releases the memory of the request that has ended, and charges what may have been read of the next one.
func (c *Conn) beginIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.headBytes, c.headLines = idlePhase, c.lastBytes, c.lastLines
	c.headCharged = HeadCost(c.headBytes, c.headLines)
	c.reads.bytes, c.reads.waited = 0, 0
	c.holder.reset(c.headCharged)
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if len(b) == 1 {
		return c.Conn.Read(b)
	}
	started := c.beginRead()
	n, err := c.Conn.Read(b)
	c.holder.waitingSince.Store(0)
	if err = c.endRead(b[:n], err, started); errors.Is(err, errRefused) {
		// What was read may complete the head; the server must not see it.
		return 0, io.EOF
	}
	return n, err
}

func (c *Conn) beginRead() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.holder.idle.Store(c.phase == idlePhase)
	c.holder.waitingSince.Store(now.Add(-c.reads.waited).UnixNano())
	if c.phase == bodyPhase {
		c.reads.limit = now.Add(c.policy.StallTime - c.reads.waited)
		_ = c.Conn.SetReadDeadline(c.reads.effective())
	}
	return now
}

// endRead records what has been read and returns the error of the read, or errRefused if the connection is refused.
func (c *Conn) endRead(b []byte, err error, started time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == bodyPhase {
		tooSlow := errors.Is(err, os.ErrDeadlineExceeded) && !c.reads.limit.After(time.Now())
		c.reads.limit = time.Time{}
		_ = c.Conn.SetReadDeadline(c.reads.deadline)
		if tooSlow {
			c.holder.account.refused(TooSlow)
		}
	}
	if len(b) > 0 {
		end := afterLastHead(b)
		c.lastBytes, c.lastLines = len(end), countLines(end)
	}
	if c.phase != idlePhase {
		c.reads.record(len(b), time.Since(started), c.policy.MinProgress)
	}
	if c.phase == bodyPhase || len(b) == 0 {
		return err
	}
	c.phase = headPhase
	c.headBytes += len(b)
	c.headLines += countLines(b)
	if c.headLines > c.policy.MaxFields {
		c.holder.account.refused(TooManyFields)
		return c.refuse(tooManyFieldsResponse)
	}
	cost := HeadCost(c.headBytes, c.headLines)
	if !c.holder.charge(cost-c.headCharged, 1, NoRoomForHead) {
		return c.refuse(noRoomResponse)
	}
	c.headCharged = cost
	return err
}

func countLines(b []byte) int { return bytes.Count(b, []byte("\n")) }

// afterLastHead returns what follows the last empty line. Heads before it are complete, and are charged when they are handled.
func afterLastHead(b []byte) []byte {
	for _, end := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.LastIndex(b, []byte(end)); i >= 0 {
			b = b[i+len(end):]
		}
	}
	return b
}

// record adds n bytes and the time for which they were waited for.
func (p *progress) record(n int, waited time.Duration, minProgress int) {
	p.bytes += n
	p.waited += waited
	if p.bytes >= minProgress {
		p.bytes, p.waited = 0, 0
	}
}

// refuse closes the connection. The response is sent only for its first request: a later one may have been handled early, so
// that no response may say that it has not run. No handler runs while a head is read, so no other response is being written.
func (c *Conn) refuse(response string) error {
	if !c.used {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = io.WriteString(c.Conn, response)
	}
	_ = c.Conn.Close()
	return errRefused
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (written int, err error) {
	for written < len(b) && err == nil {
		var n int
		n, err = c.writeChunk(b[written:min(len(b), written+writeChunk)])
		written += n
	}
	return written, err
}

func (c *Conn) writeChunk(b []byte) (int, error) {
	c.mu.Lock()
	now := time.Now()
	c.holder.idle.Store(false)
	c.holder.waitingSince.Store(now.UnixNano())
	c.writes.limit = now.Add(c.policy.StallTime)
	_ = c.Conn.SetWriteDeadline(c.writes.effective())
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.holder.waitingSince.Store(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.writes.limit.After(time.Now()) {
		c.holder.account.refused(TooSlow)
	}
	c.writes.limit = time.Time{}
	_ = c.Conn.SetWriteDeadline(c.writes.deadline)
	return n, err
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn. The deadline for the progress of the caller stays in force.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads.deadline = t
	return c.Conn.SetReadDeadline(c.reads.effective())
}

// SetWriteDeadline implements net.Conn, like SetReadDeadline.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes.deadline = t
	return c.Conn.SetWriteDeadline(c.writes.effective())
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(c.holder.close)
	return c.Conn.Close()
}
