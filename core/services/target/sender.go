// Package target speaks HTTP to targets: one attempt at a time, with no retry of its own.
package target

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout closes an idle connection before most middleboxes forget it.
	idleTimeout = 20 * time.Second
	// freshIdleTimeout is the idle age up to which a connection may carry a request that must not run twice.
	freshIdleTimeout = 2 * time.Second
	// maxIdlePerTarget bounds the idle connections to one target, in each of the two pools.
	maxIdlePerTarget = 4
	// MaxIdle bounds the idle connections of an instance to one target.
	MaxIdle = 2 * maxIdlePerTarget
	// keepAliveIdle, keepAliveInterval and keepAliveCount bound the silence of a connection that is in use.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 3
	// userTimeout bounds how long the kernel waits for what was sent to be acknowledged.
	userTimeout = 3 * time.Second
	// maxResponseHeaderBytes bounds the headers of an answer.
	maxResponseHeaderBytes = 256 << 10
)

// TimeoutHeader tells a target how many seconds are left for its answer.
const TimeoutHeader = "Request-Timeout"

// idempotencyHeader is sent in lower case: under its canonical name it would make the transport retry by itself.
const (
	idempotencyHeader  = "idempotency-key"
	xIdempotencyHeader = "x-idempotency-key"
)

// Sender sends attempts to targets.
type Sender struct {
	// pooled serves requests that may run twice; fresh never uses a connection that was idle for long.
	pooled *http.Transport
	fresh  *http.Transport
}

// ErrNotSent is returned for an attempt of which no byte reached a target.
type ErrNotSent struct {
	Cause error
}

// Error implements error.
func (e *ErrNotSent) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrNotSent) Unwrap() error { return e.Cause }

// ErrBroken is returned for an attempt that may have run and whose answer did not arrive.
type ErrBroken struct {
	Cause error
}

// Error implements error.
func (e *ErrBroken) Error() string { return "broken after sending: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrBroken) Unwrap() error { return e.Cause }

// NewSender returns a sender with empty connection pools.
func NewSender() *Sender {
	return &Sender{pooled: newTransport(idleTimeout), fresh: newTransport(freshIdleTimeout)}
}

// Close closes the idle connections.
func (s *Sender) Close() {
	s.pooled.CloseIdleConnections()
	s.fresh.CloseIdleConnections()
}

// Attempt is one request to one target.
type Attempt struct {
	// Address is the target's IP number and port.
	Address string
	// Method, URI and Host come from the caller.
	Method, URI, Host string
	// Header is owned by the attempt, without hop-by-hop fields and keys.
	Header http.Header
	// Body is nil for a request without a body.
	Body io.Reader
	// ContentLength is -1 if unknown.
	ContentLength int64
	// Trailer holds the caller's trailers, filled while the body is read.
	Trailer http.Header
	// Idempotent is true for a request that may run more than once.
	Idempotent bool
	// Close is true for a connection that is closed after the answer, because the target has none to spare.
	Close bool
}

// Send makes the attempt. The context bounds the whole answer, its body included.
func (s *Sender) Send(ctx context.Context, a Attempt) (*http.Response, error) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	request := newRequest(ctx, a)
	request.Close = a.Close
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline), 0)
		request.Header.Set(TimeoutHeader, strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	}
	response, err := s.transport(a).RoundTrip(request)
	if err == nil {
		return response, nil
	}
	if !connected {
		return nil, &ErrNotSent{Cause: err}
	}
	if errors.Is(err, syscall.ETIMEDOUT) {
		// Something on the way has lost track of this connection, so it may have lost the idle ones too.
		s.Close()
	}
	return nil, &ErrBroken{Cause: err}
}

func (s *Sender) transport(a Attempt) *http.Transport {
	if a.Idempotent {
		return s.pooled
	}
	return s.fresh
}

// newRequest builds the request without parsing its address and path again.
func newRequest(ctx context.Context, a Attempt) *http.Request {
	request := (&http.Request{
		Method: a.Method, URL: newURL(a), Host: a.Host, Header: a.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	setBody(request, a)
	hideIdempotencyKey(request.Header)
	return request
}

// newURL returns a URL whose request URI is exactly that of the attempt.
func newURL(a Attempt) *url.URL {
	path, query, found := strings.Cut(a.URI, "?")
	u := &url.URL{Scheme: "http", Host: a.Address, Path: path, RawQuery: query, ForceQuery: found && query == ""}
	if decoded, err := url.PathUnescape(path); err == nil && decoded != path {
		u.Path, u.RawPath = decoded, path
	}
	return u
}

// setBody gives the request a body that the transport cannot rewind, so that the transport never retries by itself.
func setBody(request *http.Request, a Attempt) {
	if a.Body != nil {
		request.Body = io.NopCloser(a.Body)
		request.ContentLength = a.ContentLength
		request.Trailer = a.Trailer
		return
	}
	switch a.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		request.Body = emptyBody
		request.TransferEncoding = identity
	default:
		request.Body = http.NoBody
	}
}

// emptyBody is a body without content that, unlike http.NoBody, the transport does not take for replayable. Together
// with identity, the transport neither probes it nor announces it.
var emptyBody io.ReadCloser = noContent{}

// noContent has no state, since all requests share one value.
type noContent struct{}

// Read implements io.Reader.
func (noContent) Read([]byte) (int, error) { return 0, io.EOF }

// WriteTo implements io.WriterTo, for which the transport takes no buffer.
func (noContent) WriteTo(io.Writer) (int64, error) { return 0, nil }

// Close implements io.Closer.
func (noContent) Close() error { return nil }

// identity is the transfer encoding that changes nothing.
var identity = []string{"identity"}

func hideIdempotencyKey(h http.Header) {
	for _, name := range []string{idempotencyHeader, xIdempotencyHeader} {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		if values, ok := h[canonical]; ok {
			delete(h, canonical)
			h[name] = values
		}
	}
}

func newTransport(idle time.Duration) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    maxIdlePerTarget,
		IdleConnTimeout:        idle,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// setUserTimeout makes the kernel close a connection on which sent data stays unacknowledged. Keep-alive probes notice
// only a connection on which nothing is under way.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return setUserTimeoutTo(raw, userTimeout)
}

func setUserTimeoutTo(raw syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// IsNotSent reports whether an error proves that no byte of the attempt reached a target.
func IsNotSent(err error) bool {
	var e *ErrNotSent
	return errors.As(err, &e)
}

// hopByHop lists the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop deletes the headers that must not be passed on.
func RemoveHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
