package dispatch

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"medlarpond.dev/core/modules/refusal"
	"medlarpond.dev/core/services/crash"
)

// maxHeldBytes bounds the part of a body that is read before a target is chosen. A body that fits can be sent again,
// and its caller holds no slot while it sends slowly.
const maxHeldBytes = 64 << 10

// body is the body of a caller's request.
type body struct {
	// held is the first part, at most maxHeldBytes long.
	held []byte
	// rest is what follows; nil if held is everything.
	rest *restReader
	// length is what the caller announced; negative if it announced nothing.
	length int64
}

// restReader reads the rest of a body and remembers why it failed.
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

// replayable reports whether the whole body is held.
func (b *body) replayable() bool { return b.rest == nil }

// failure returns why the caller's body could not be read.
func (b *body) failure() error {
	if b.rest == nil {
		return nil
	}
	b.rest.mu.Lock()
	defer b.rest.mu.Unlock()
	return b.rest.err
}

// reader returns a reader of the whole body; nil for none.
func (b *body) reader() io.Reader {
	switch {
	case b.rest != nil:
		return io.MultiReader(bytes.NewReader(b.held), b.rest)
	case b.length == 0:
		return nil
	default:
		return bytes.NewReader(b.held)
	}
}

// readBody reads the first part of the body.
func (c *call) readBody() *refusal.Refusal {
	c.body.length = c.request.ContentLength
	if c.body.length == 0 {
		return nil
	}
	limited := http.MaxBytesReader(nil, c.request.Body, c.service.MaxBodyBytes)
	held, err := io.ReadAll(io.LimitReader(limited, maxHeldBytes))
	if err != nil {
		return c.brokenBody(err, true)
	}
	c.body.held = held
	if len(held) == maxHeldBytes && c.body.length != maxHeldBytes {
		c.body.rest = &restReader{source: limited}
		return nil
	}
	// A body with trailers stays chunked, which is what a negative length means.
	if len(c.request.Trailer) == 0 {
		c.body.length = int64(len(held))
	}
	return nil
}

// brokenBody refuses a request whose body is too long or did not arrive whole.
func (c *call) brokenBody(err error, notRun bool) *refusal.Refusal {
	var tooLong *http.MaxBytesError
	refused := refusal.New(http.StatusBadRequest, refusal.Malformed, "the body did not arrive whole")
	if errors.As(err, &tooLong) {
		refused = c.bodyTooLarge()
	}
	refused.NotRun = notRun
	return refused
}

// fingerprint identifies the request among those that a caller may send again.
func (c *call) fingerprint() crash.Fingerprint {
	if c.hasFingerprint {
		return c.cachedFingerprint
	}
	h := sha256.New()
	for _, part := range []string{c.request.Method, c.team, c.uri(), c.request.Header.Get(idempotencyKeyHeader)} {
		writePart(h, []byte(part))
	}
	writePart(h, c.body.held)
	writePart(h, strconv.AppendInt(nil, c.request.ContentLength, 10))
	h.Sum(c.cachedFingerprint[:0])
	c.hasFingerprint = true
	return c.cachedFingerprint
}

// writePart writes a part with its length, so that parts cannot run into each other.
func writePart(w io.Writer, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = w.Write(length[:])
	_, _ = w.Write(part)
}

func (c *call) bodyTooLarge() *refusal.Refusal {
	return refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge,
		"the body is over the limit of "+strconv.FormatInt(c.service.MaxBodyBytes, 10)+" bytes")
}
