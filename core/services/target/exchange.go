package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedResponse is the largest response body that is read whole before it is passed on. If a response
	// breaks off before that, another target can still be tried. Two hundred such bodies at once fit into the memory of
	// an instance.
	maxBufferedResponse = 64 << 10
	// maxResponseHead is the maximum size of the head of a response, and of each interim response. A head of many short
	// fields takes several times its size once it is parsed.
	maxResponseHead = 32 << 10
	// maxDiscardedBody is the maximum size of the body of a mismatched response that is skipped to find the right one.
	maxDiscardedBody = 64 << 10
	// maxInlineRequest is the largest request body that is written before the response is read. It fits into the TCP
	// windows of a connection, so that writing it does not block. It is also the buffer size for chunked bodies.
	maxInlineRequest = 16 << 10
	// maxResponsesRead bounds the responses read on one connection for one request, including interim (1xx) and
	// mismatched ones.
	maxResponsesRead = 3
	// keepAliveFraction is the fraction of the Keep-Alive timeout announced by a target during which an idle
	// connection is reused.
	keepAliveFraction = 0.85
)

// Request is an HTTP request to a target.
type Request struct {
	Method, URI, Host string
	// Header has no hop-by-hop headers.
	Header http.Header
	// Body is the first part of the body; Rest is the remainder or nil.
	Body []byte
	Rest io.Reader
	// Length is the length of the whole body: negative if unknown, zero for no body.
	Length int64
}

// Exchange is one attempt on one connection.
type Exchange struct {
	Address string
	Request Request
	// IDHeader names the response header that carries the ID of the request it belongs to. ID is the expected value.
	IDHeader, ID string
	// Deadline bounds the whole exchange.
	Deadline time.Time
	// MaxIdle is the longest time for which a connection may have been idle to be used.
	MaxIdle time.Duration
	// NonIdempotent is true for a request that must not run twice. It is sent only on connections that are unlikely
	// to be stale.
	NonIdempotent bool
}

// Response is the HTTP response of a target.
type Response struct {
	Status int
	Header http.Header
	// Body is the first part of the body; Rest is the remainder or nil. The receiver of the response must close Rest.
	Body []byte
	Rest io.ReadCloser
}

// ErrMismatchedResponse is returned when a connection delivered only responses to other requests.
type ErrMismatchedResponse struct {
	// GotID is the ID in the last response; empty if it had none or if too many responses were skipped.
	GotID string
}

// Error implements error.
func (e *ErrMismatchedResponse) Error() string {
	return fmt.Sprintf("response belongs to request %q", e.GotID)
}

// ErrOversizedResponse is returned when a target sends more bytes than a part of a response may have. The connection is
// closed, as such a target may send without end.
type ErrOversizedResponse struct {
	// Part is the part of the response that is too large, Limit its maximum size in bytes.
	Part  string
	Limit int
}

// Error implements error.
func (e *ErrOversizedResponse) Error() string {
	return fmt.Sprintf("%s is over the limit of %d bytes", e.Part, e.Limit)
}

// ErrRequestBody is the cause of an interrupted exchange whose request body could not be read to its end. The target is not
// at fault.
type ErrRequestBody struct {
	Cause error
}

// Error implements error.
func (e *ErrRequestBody) Error() string { return "reading the request body: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrRequestBody) Unwrap() error { return e.Cause }

// bodySource is the remainder of a request body. It keeps the error with which reading ended, if any.
type bodySource struct {
	io.Reader
	failure atomic.Pointer[ErrRequestBody]
}

// Read implements io.Reader.
func (s *bodySource) Read(b []byte) (int, error) {
	n, err := s.Reader.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		s.failure.Store(&ErrRequestBody{Cause: err})
	}
	return n, err
}

// boundedReader reads from a connection and fails after limit bytes, unless limit is zero.
type boundedReader struct {
	source io.Reader
	// limit is the maximum number of bytes, read the number that has been read since limit was set.
	limit, read int
	// part names what is read, for the error.
	part string
	// exceeded is the error after the limit has been exceeded; parsers may report another one instead.
	exceeded error
}

// Read implements io.Reader.
func (r *boundedReader) Read(b []byte) (int, error) {
	if r.limit > 0 {
		if r.read >= r.limit {
			r.exceeded = &ErrOversizedResponse{Part: r.part, Limit: r.limit}
			return 0, r.exceeded
		}
		b = b[:min(len(b), r.limit-r.read)]
	}
	n, err := r.source.Read(b)
	r.read += n
	return n, err
}

// setLimit bounds the bytes that are read from now on; a limit of zero lifts the bound.
func (r *boundedReader) setLimit(part string, limit int) { r.part, r.limit, r.read = part, limit, 0 }

// Do makes the attempt. It returns *ErrNotSent if no byte of the request can have reached the target, and
// *ErrInterrupted if the request may have run and no complete response arrived. It never retries.
func (p *Pool) Do(ctx context.Context, x Exchange) (*Response, error) {
	began, maxIdle := time.Now(), x.MaxIdle
	if x.NonIdempotent {
		maxIdle = min(maxIdle, p.safeIdle.limit(began))
	}
	c, err := p.get(ctx, x.Address, x.ID, maxIdle, x.Deadline)
	if err != nil {
		return nil, err
	}
	c.recordRequest(x.ID)
	if err := c.SetDeadline(x.Deadline); err != nil {
		_ = c.Close()
		return nil, &ErrNotSent{Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Reset() })
	source := &bodySource{Reader: x.Request.Rest}
	writeResult, err := c.startWriting(x, source)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, &ErrNotSent{Cause: err}
	}
	response, reusable, err := c.readResponse(x)
	if err != nil {
		if c.bound.exceeded != nil {
			err = c.bound.exceeded
		}
		if failure := source.failure.Load(); failure != nil {
			err = failure
		}
		stop()
		_ = c.Reset()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		if !c.idleSince.IsZero() {
			p.safeIdle.recordFailure(err, began.Sub(c.idleSince), time.Since(began))
		}
		return nil, &ErrInterrupted{Cause: err}
	}
	if response.Rest != nil {
		// Whoever reads the body may be waiting for a caller that does not read; the target must not wait with it.
		expiry := time.AfterFunc(time.Until(x.Deadline), func() { _ = c.Reset() })
		response.Rest = &streamedBody{Reader: response.Rest, closeConn: func() { stop(); expiry.Stop(); _ = c.Close() }}
		return response, nil
	}
	if !stop() || !reusable || !writeSucceeded(writeResult) {
		// A target that responds before it has read the whole request would read the next request as the rest of the
		// body.
		_ = c.Close()
		return response, nil
	}
	p.put(x.Address, c)
	return response, nil
}

// startWriting writes a small request, or starts to write a large one with its body from source while the response is read.
// The result of writing is sent to the channel. No byte has been sent if it returns an error.
func (c *conn) startWriting(x Exchange, source *bodySource) (<-chan error, error) {
	result := make(chan error, 1)
	if x.Request.Rest == nil && len(x.Request.Body) <= maxInlineRequest {
		result <- x.Request.write(c)
		return result, nil
	}
	if err := c.setUserTimeout(max(time.Until(x.Deadline), unacknowledgedTimeout)); err != nil {
		return nil, err
	}
	c.longTimeout = true
	if x.Request.Rest != nil {
		x.Request.Rest = source
	}
	go func() {
		err := x.Request.write(c)
		if source.failure.Load() != nil {
			// The target would wait for the rest of the body.
			_ = c.Close()
		}
		result <- err
	}()
	return result, nil
}

func writeSucceeded(writeResult <-chan error) bool {
	select {
	case err := <-writeResult:
		return err == nil
	default:
		return false
	}
}

// streamedBody is the remainder of a large response body, read from its connection.
type streamedBody struct {
	io.Reader
	closeConn func()
}

// Close implements io.Closer.
func (r *streamedBody) Close() error {
	r.closeConn()
	return nil
}

// write sends the request.
func (r Request) write(w io.Writer) error {
	b := bufio.NewWriter(w)
	_, _ = b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(b); err != nil {
		return err
	}
	switch {
	case r.Length < 0:
		_, _ = b.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Length > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead):
		_, _ = b.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	}
	_, _ = b.WriteString("\r\n")
	if r.Length >= 0 {
		_, _ = b.Write(r.Body)
		if r.Rest != nil {
			if _, err := io.Copy(b, r.Rest); err != nil {
				return err
			}
		}
		return b.Flush()
	}
	return r.writeChunked(b)
}

func (r Request) writeChunked(b *bufio.Writer) error {
	source := io.Reader(strings.NewReader(string(r.Body)))
	if r.Rest != nil {
		source = io.MultiReader(source, r.Rest)
	}
	buffer := make([]byte, maxInlineRequest)
	for {
		n, err := source.Read(buffer)
		if n > 0 {
			_, _ = fmt.Fprintf(b, "%x\r\n", n)
			_, _ = b.Write(buffer[:n])
			_, _ = b.WriteString("\r\n")
		}
		if errors.Is(err, io.EOF) {
			_, _ = b.WriteString("0\r\n\r\n")
			return b.Flush()
		}
		if err != nil {
			return err
		}
		if err := b.Flush(); err != nil {
			return err
		}
	}
}

// readResponse reads the response to this request and skips responses to others. reusable is true if the connection
// is at the start of the next response and no response was skipped.
func (c *conn) readResponse(x Exchange) (r *Response, reusable bool, err error) {
	skipped := false
	for range maxResponsesRead {
		c.bound.setLimit("response head", maxResponseHead)
		response, err := http.ReadResponse(c.reader, &http.Request{Method: x.Request.Method}) //nolint:bodyclose // the connection is closed instead
		if err != nil {
			return nil, false, err
		}
		c.bound.setLimit("", 0)
		if response.StatusCode < http.StatusOK {
			continue
		}
		gotID := response.Header.Get(x.IDHeader)
		if gotID == x.ID {
			r, reusable, err := c.readBody(response)
			return r, reusable && !skipped, err
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, false, &ErrMismatchedResponse{GotID: gotID}
		}
		c.bound.setLimit("body of a mismatched response", maxDiscardedBody)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, false, err
		}
		skipped = true
	}
	return nil, false, &ErrMismatchedResponse{}
}

func (c *conn) readBody(response *http.Response) (*Response, bool, error) {
	r := &Response{Status: response.StatusCode, Header: response.Header}
	// The body may have no announced length. A reset of the connection is an error of the read and not the end of the body, see
	// stickyErrorConn.
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedResponse+1))
	if err != nil {
		return nil, false, err
	}
	r.Body = body
	if len(body) > maxBufferedResponse {
		r.Rest = response.Body
		return r, false, nil
	}
	if limit, ok := keepAliveTimeout(response.Header); ok {
		c.idleLimit = time.Duration(keepAliveFraction * float64(limit))
	}
	return r, !response.Close && c.reader.Buffered() == 0, nil
}

// keepAliveTimeout returns the idle time after which the target closes a connection, from its Keep-Alive header.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, value := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(value, ",") {
			name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
			if seconds, err := strconv.Atoi(number); err == nil && strings.EqualFold(name, "timeout") {
				return time.Duration(seconds) * time.Second, true
			}
		}
	}
	return 0, false
}
