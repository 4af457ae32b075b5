package target

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// stickyErrorConn is a connection that reports a reset or a timeout of TCP to reads as well as to writes. The kernel reports it once, to
// whichever comes first. After a write has received it, a read sees the end of the stream, which would end a response without a length.
type stickyErrorConn struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex
	// failure is the error that a write received in place of the read; nil if there is none. writing guards it.
	failure error
}

// Write implements net.Conn.
func (c *stickyErrorConn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.failure == nil && endsStream(err) {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *stickyErrorConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// A write that has received the error may not have returned yet. One that waits for room would not return by itself.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failure != nil {
		return n, c.failure
	}
	return n, err
}

// Reset closes the connection and discards what has not been sent. In what Close leaves behind, a request that is given up could reach
// its target much later.
func (c *stickyErrorConn) Reset() error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	return c.Close()
}

// endsStream reports whether an error of a write means that the kernel has ended the connection before the end of the stream was
// received. A reset that comes after it, as of a peer that does not read the rest of a request, is reported as EPIPE.
func endsStream(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, syscall.EPIPE)
}
