package dispatch

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"medlarpond.dev/core/modules/refusal"
	"medlarpond.dev/core/services/crash"
)

// maxBufferedBytes is the maximum size of the part of a body that is read before a target is chosen. A body that fits
// can be sent again, and a slow caller holds no slot of a target while sending it.
const maxBufferedBytes = 64 << 10

// body is the body of a caller's request.
type body struct {
	// buffered is the first part, at most maxBufferedBytes long.
	buffered []byte
	// rest reads the remainder; nil if buffered is the whole body.
	rest *restReader
	// length is the content length to send; negative if the body is sent chunked.
	length int64
}

// restReader reads the remainder of a body and keeps the error that ended it.
type restReader struct {
	source io.Reader

	mu  sync.Mutex
	err error
}

// Read implements io.Reader.
func (r *restReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.err = err
	}
	return n, err
}

// replayable reports whether the whole body is buffered.
func (b *body) replayable() bool { return b.rest == nil }

// readError returns the error at which reading the caller's body failed.
func (b *body) readError() error {
	if b.rest == nil {
		return nil
	}
	b.rest.mu.Lock()
	defer b.rest.mu.Unlock()
	return b.rest.err
}

// reader returns a reader of the whole body, or nil if there is none.
func (b *body) reader() io.Reader {
	switch {
	case b.rest != nil:
		return io.MultiReader(bytes.NewReader(b.buffered), b.rest)
	case b.length == 0:
		return nil
	default:
		return bytes.NewReader(b.buffered)
	}
}

// readBody buffers the first part of the body.
func (c *call) readBody() *refusal.Refusal {
	c.body.length = c.request.ContentLength
	if c.body.length == 0 {
		return nil
	}
	limited := http.MaxBytesReader(nil, c.request.Body, c.service.MaxBodyBytes)
	buffered, err := io.ReadAll(io.LimitReader(limited, maxBufferedBytes))
	if err != nil {
		return c.bodyRefusal(err, true)
	}
	c.body.buffered = buffered
	if len(buffered) == maxBufferedBytes && c.body.length != maxBufferedBytes {
		c.body.rest = &restReader{source: limited}
		return nil
	}
	// A body with trailers stays chunked, which a negative length means.
	if len(c.request.Trailer) == 0 {
		c.body.length = int64(len(buffered))
	}
	return nil
}

// bodyRefusal returns the refusal of a request whose body is too large or incomplete.
func (c *call) bodyRefusal(err error, notRun bool) *refusal.Refusal {
	var tooLong *http.MaxBytesError
	refused := refusal.New(http.StatusBadRequest, refusal.Malformed, "the body did not arrive whole")
	if errors.As(err, &tooLong) {
		refused = c.bodyTooLargeRefusal()
	}
	refused.NotRun = notRun
	return refused
}

// fingerprint identifies repetitions of the same request by hashing its method, team, URI, idempotency key, buffered
// body and content length.
func (c *call) fingerprint() crash.Fingerprint {
	if c.hasFingerprint {
		return c.cachedFingerprint
	}
	c.cachedFingerprint = crash.NewFingerprint(
		[]byte(c.request.Method), []byte(c.team), []byte(c.uri()), []byte(c.request.Header.Get(idempotencyKeyHeader)),
		c.body.buffered, strconv.AppendInt(nil, c.request.ContentLength, 10),
	)
	c.hasFingerprint = true
	return c.cachedFingerprint
}

func (c *call) bodyTooLargeRefusal() *refusal.Refusal {
	return refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge,
		"the body is over the limit of "+strconv.FormatInt(c.service.MaxBodyBytes, 10)+" bytes")
}
