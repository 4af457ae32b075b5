package front

import (
	"errors"
	"io"
	"sync/atomic"
)

// errNoRoom is returned for a body for which there is no memory.
var errNoRoom = errors.New("no memory for the body")

const (
	// firstBuffer is the first size of a buffer.
	firstBuffer = 4 << 10
	// minBuffered is the number of bytes of a body that are buffered in any case before a target is chosen.
	minBuffered = 64 << 10
	// maxBuffered is the largest body that is buffered whole. A request whose body is buffered does not occupy a target
	// while its caller sends, and can be sent to another target.
	maxBuffered = 512 << 10
	// bufferMemory bounds the memory of the bodies over minBuffered that are buffered at the same time. Bodies that do not
	// fit are streamed.
	bufferMemory = 32 << 20
)

// bodyBuffers buffers request bodies within a bound on their memory. It is safe for concurrent use.
type bodyBuffers struct {
	// used is the capacity of the buffers over minBuffered.
	used atomic.Int64
}

// read reads a body of the given length, negative if unknown. whole is false if only a part was read, of at least minBuffered
// bytes. charge is called with the growth of the buffer, which follows the body as it arrives; if it returns false, the rest of a
// large body is left to be streamed, and a small one fails with errNoRoom. The buffer must be released.
func (s *bodyBuffers) read(body io.Reader, length int64, charge func(int64) bool) (buffered []byte, whole bool, err error) {
	limit, reserved := int64(minBuffered), int64(0)
	switch {
	case length > minBuffered && length <= maxBuffered && s.reserve(length):
		limit, reserved = length, length
	case length > 0:
		limit = min(length, minBuffered)
	}
	defer func() { s.used.Add(overMin(buffered) - reserved) }()
	for int64(len(buffered)) < limit {
		if len(buffered) == cap(buffered) {
			size := min(max(2*int64(cap(buffered)), firstBuffer), limit)
			if !charge(size - int64(cap(buffered))) {
				if len(buffered) < minBuffered {
					return buffered, false, errNoRoom
				}
				return buffered, false, nil
			}
			buffered = append(make([]byte, 0, size), buffered...)
		}
		n, err := body.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		if errors.Is(err, io.EOF) && (length < 0 || int64(len(buffered)) == length) {
			return buffered, true, nil
		}
		if err != nil {
			return buffered, false, err
		}
	}
	return buffered, limit == length, nil
}

// overMin returns the part of the bound that a buffer uses.
func overMin(buffered []byte) int64 {
	if len(buffered) <= minBuffered {
		return 0
	}
	return int64(len(buffered))
}

// reserve reserves memory for a large buffer. It returns false if there is not enough.
func (s *bodyBuffers) reserve(size int64) bool {
	if s.used.Add(size) > bufferMemory {
		s.used.Add(-size)
		return false
	}
	return true
}

// release releases a buffer that read has returned.
func (s *bodyBuffers) release(buffered []byte) { s.used.Add(-overMin(buffered)) }
