// Package target sends HTTP requests to targets, one attempt at a time and without retries.
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
	// dialTimeout bounds connecting to a target.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is short enough to close an idle connection before most middleboxes drop it.
	idleTimeout = 20 * time.Second
	// nonIdempotentIdleTimeout is the idle age up to which a connection may carry a non-idempotent request.
	nonIdempotentIdleTimeout = 2 * time.Second
	// maxIdlePerTransport bounds the idle connections to one target in each of the two transports.
	maxIdlePerTransport = 4
	// MaxIdlePerTarget bounds the idle connections of an instance to one target.
	MaxIdlePerTarget = 2 * maxIdlePerTransport
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP keep-alive probes that detect a dead
	// peer.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 3
	// userTimeout bounds how long sent data may stay unacknowledged (TCP_USER_TIMEOUT).
	userTimeout = 3 * time.Second
	// maxResponseHeaderBytes bounds the header of a response.
	maxResponseHeaderBytes = 256 << 10
)

// TimeoutHeader tells a target how many seconds it has left to respond.
const TimeoutHeader = "Request-Timeout"

// The idempotency headers are sent in lower case, because under the canonical names http.Transport would retry by
// itself.
const (
	idempotencyHeader  = "idempotency-key"
	xIdempotencyHeader = "x-idempotency-key"
)

// Sender sends attempts to targets. It is safe for concurrent use.
type Sender struct {
	// idempotent sends idempotent requests; nonIdempotent never uses a connection that was idle for long.
	idempotent    *http.Transport
	nonIdempotent *http.Transport
}

// ErrNotSent is returned for an attempt of which no byte reached a target.
type ErrNotSent struct {
	Cause error
}

// Error implements error.
func (e *ErrNotSent) Error() string { return "request not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrNotSent) Unwrap() error { return e.Cause }

// ErrInterrupted is returned for an attempt that may have run and whose complete response did not arrive.
type ErrInterrupted struct {
	Cause error
}

// Error implements error.
func (e *ErrInterrupted) Error() string {
	return "no complete response after the request was sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ErrInterrupted) Unwrap() error { return e.Cause }

// NewSender returns a Sender without open connections.
func NewSender() *Sender {
	return &Sender{idempotent: newTransport(idleTimeout), nonIdempotent: newTransport(nonIdempotentIdleTimeout)}
}

// Close closes the idle connections.
func (s *Sender) Close() {
	s.idempotent.CloseIdleConnections()
	s.nonIdempotent.CloseIdleConnections()
}

// Attempt is one request to one target.
type Attempt struct {
	// Address is the target's IP address and port.
	Address string
	// Method, URI and Host come from the caller.
	Method, URI, Host string
	// Header is owned by the attempt. It has no hop-by-hop headers and no API keys.
	Header http.Header
	// Body is nil for a request without a body.
	Body io.Reader
	// ContentLength is -1 if unknown.
	ContentLength int64
	// Trailer holds the caller's trailers, filled while the body is read.
	Trailer http.Header
	// Idempotent is true for a request that may run more than once.
	Idempotent bool
	// Close closes the connection after the response, because the target's connection limit leaves no room for an
	// idle one.
	Close bool
}

// Send makes the attempt. The context bounds the whole response, its body included. Send returns *ErrNotSent if no
// byte reached the target, and *ErrInterrupted if the request may have run.
func (s *Sender) Send(ctx context.Context, a Attempt) (*http.Response, error) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	request := newRequest(ctx, a)
	request.Close = a.Close
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(time.Until(deadline), 0)
		request.Header.Set(TimeoutHeader, strconv.FormatFloat(remaining.Seconds(), 'f', 3, 64))
	}
	response, err := s.transportFor(a).RoundTrip(request)
	if err == nil {
		return response, nil
	}
	if !connected {
		return nil, &ErrNotSent{Cause: err}
	}
	if errors.Is(err, syscall.ETIMEDOUT) {
		// A middlebox may have lost its state for this connection, and so for the idle ones too.
		s.Close()
	}
	return nil, &ErrInterrupted{Cause: err}
}

func (s *Sender) transportFor(a Attempt) *http.Transport {
	if a.Idempotent {
		return s.idempotent
	}
	return s.nonIdempotent
}

// newRequest builds the request without parsing its address and path again.
func newRequest(ctx context.Context, a Attempt) *http.Request {
	request := (&http.Request{
		Method: a.Method, URL: newURL(a), Host: a.Host, Header: a.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	setBody(request, a)
	lowercaseIdempotencyKey(request.Header)
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

// setBody sets a body that the transport cannot rewind, so that the transport never retries by itself.
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

// emptyBody is an empty body that the transport, unlike http.NoBody, does not consider replayable. With the transfer
// encoding identity the transport neither probes it nor announces it.
var emptyBody io.ReadCloser = noContent{}

// noContent has no state, since all requests share one value.
type noContent struct{}

// Read implements io.Reader.
func (noContent) Read([]byte) (int, error) { return 0, io.EOF }

// WriteTo implements io.WriterTo, so that the transport allocates no copy buffer.
func (noContent) WriteTo(io.Writer) (int64, error) { return 0, nil }

// Close implements io.Closer.
func (noContent) Close() error { return nil }

// identity is the transfer encoding that leaves a body unchanged.
var identity = []string{"identity"}

func lowercaseIdempotencyKey(h http.Header) {
	for _, name := range []string{idempotencyHeader, xIdempotencyHeader} {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		if values, ok := h[canonical]; ok {
			delete(h, canonical)
			h[name] = values
		}
	}
}

func newTransport(idleConnTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &stickyErrorConn{Conn: c}, nil
		},
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    maxIdlePerTransport,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// setUserTimeout makes the kernel close a connection on which sent data stays unacknowledged. TCP keep-alive probes
// are sent only while no data is in flight, so they do not detect this.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return setTCPUserTimeout(raw, userTimeout)
}

func setTCPUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// IsNotSent reports whether an error proves that no byte of the attempt reached a target.
func IsNotSent(err error) bool {
	var e *ErrNotSent
	return errors.As(err, &e)
}

// IsConnectionLost reports whether an error means that the target's end of the connection closed after the request was
// sent and before the response was complete.
func IsConnectionLost(err error) bool {
	var interrupted *ErrInterrupted
	if !errors.As(err, &interrupted) {
		return false
	}
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// hopByHop lists the hop-by-hop headers.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop deletes the hop-by-hop headers, including those named by the Connection header.
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
