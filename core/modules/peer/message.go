package peer

import (
	"fmt"
	"net"
	"sync/atomic"
)

const (
	// maxMessageBytes bounds a message. The largest is the reply to a follower that needs all keys of a topic.
	maxMessageBytes = 8 << 20
	// maxSmallMessageBytes is the size up to which a message needs no part of the budget.
	maxSmallMessageBytes = 64 << 10
	// maxLargeMessagesBytes bounds the larger messages that all connections of the process receive at the same time.
	maxLargeMessagesBytes = 16 << 20
	// maxLengthBytes is the maximum size of the length of a message in gob, after the byte that announces it.
	maxLengthBytes = 8
)

// largeMessageBytes is the size of all messages over maxSmallMessageBytes that are being received.
var largeMessageBytes atomic.Int64

// ErrOversizedMessage is returned when a peer announces a message that is too large, alone or together with those of others. The
// connection is of no further use.
type ErrOversizedMessage struct {
	Size, Limit uint64
}

// Error implements error.
func (e *ErrOversizedMessage) Error() string {
	return fmt.Sprintf("message of %d bytes is over the limit of %d bytes", e.Size, e.Limit)
}

// messageConn is a connection that receives gob messages of a bounded size. The decoder would allocate memory for whatever length a
// message announces.
type messageConn struct {
	net.Conn
	// left is the number of bytes that the current message still has.
	left uint64
	// length is the part of the length of the next message that has been received, lengthLeft the number of its missing bytes.
	length     uint64
	lengthLeft int
	// reserved is the part of largeMessageBytes that the current message has.
	reserved atomic.Int64
	// closed is set before the part of the budget is released for good.
	closed atomic.Bool
}

// Read implements net.Conn.
func (c *messageConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for received := b[:n]; len(received) > 0; {
		if c.left > 0 {
			skipped := min(c.left, uint64(len(received)))
			c.left -= skipped
			received = received[skipped:]
			continue
		}
		if err := c.readLength(received[0]); err != nil {
			return 0, err
		}
		received = received[1:]
	}
	return n, err
}

// readLength handles the next byte of the length of a message: a length of up to 127 itself, or the negated number of bytes of a
// larger one, which follow.
func (c *messageConn) readLength(b byte) error {
	switch {
	case c.lengthLeft > 0:
		c.length = c.length<<8 | uint64(b)
		c.lengthLeft--
	case b <= 0x7f:
		c.length = uint64(b)
	default:
		c.length, c.lengthLeft = 0, -int(int8(b))
		if c.lengthLeft > maxLengthBytes {
			return &ErrOversizedMessage{Size: 1 << 63, Limit: maxMessageBytes}
		}
	}
	if c.lengthLeft > 0 {
		return nil
	}
	return c.startMessage(c.length)
}

// startMessage checks the size of the next message and reserves its part of the budget in place of that of the last one.
func (c *messageConn) startMessage(size uint64) error {
	c.release()
	if size > maxMessageBytes {
		return &ErrOversizedMessage{Size: size, Limit: maxMessageBytes}
	}
	c.left = size
	if size <= maxSmallMessageBytes {
		return nil
	}
	c.reserved.Store(int64(size))
	if largeMessageBytes.Add(int64(size)) > maxLargeMessagesBytes {
		c.release()
		return &ErrOversizedMessage{Size: size, Limit: maxLargeMessagesBytes}
	}
	if c.closed.Load() {
		c.release()
		return net.ErrClosed
	}
	return nil
}

func (c *messageConn) release() { largeMessageBytes.Add(-c.reserved.Swap(0)) }

// Close implements net.Conn.
func (c *messageConn) Close() error {
	err := c.Conn.Close()
	c.closed.Store(true)
	c.release()
	return err
}
