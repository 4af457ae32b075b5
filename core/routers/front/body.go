package front

import (
	"io"
	"sync/atomic"
)

const (
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

// read reads a body of the given length, negative if unknown. whole is false if only the first minBuffered bytes were
// read. The buffer must be released.
func (s *bodyBuffers) read(body io.Reader, length int64) (buffered []byte, whole bool, err error) {
	if length > minBuffered && length <= maxBuffered && s.reserve(length) {
		buffered = make([]byte, length)
		_, err = io.ReadFull(body, buffered)
		return buffered, true, err
	}
	if length > 0 {
		buffered = make([]byte, min(length, minBuffered))
		_, err = io.ReadFull(body, buffered)
		return buffered, length <= minBuffered, err
	}
	buffered, err = io.ReadAll(io.LimitReader(body, minBuffered))
	return buffered, len(buffered) < minBuffered, err
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
func (s *bodyBuffers) release(buffered []byte) {
	if len(buffered) > minBuffered {
		s.used.Add(-int64(len(buffered)))
	}
}
