// Package front handles the HTTP requests of callers of an edge instance.
package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/modules/abort"
	"medlarpond.dev/core/modules/meter"
	"medlarpond.dev/core/modules/refusal"
	"medlarpond.dev/core/services/forward"
	"medlarpond.dev/core/services/intake"
	"medlarpond.dev/core/services/target"
)

const (
	// bodyTimeout limits the time until the buffered part of a body has been received, on a server without an account.
	bodyTimeout = 10 * time.Second
	// stallTimeout limits the time for which a caller may read nothing of a response that is streamed.
	stallTimeout = 10 * time.Second
	// retryAfterNoRoom is the Retry-After of a request for which there is no memory; slow callers are closed after a second.
	retryAfterNoRoom = time.Second
	bearerPrefix     = "Bearer "
)

// Router handles the requests of callers.
type Router struct {
	forwarder *forward.Forwarder
	headers   forward.Headers
	meter     *meter.Meter
	logger    *zap.Logger
	// leaving is true once the instance shuts down. Callers are then asked to close their connections.
	leaving atomic.Bool
	// running is the number of requests in progress.
	running atomic.Int64
	bodies  bodyBuffers
	// account bounds the memory of requests that are handled early; nil if nothing does.
	account *intake.Account
}

// New returns a Router.
func New(forwarder *forward.Forwarder, headers forward.Headers, m *meter.Meter, logger *zap.Logger) *Router {
	return &Router{forwarder: forwarder, headers: headers, meter: m, logger: logger}
}

// SetAccount sets the account that bounds the memory of requests that are handled early. It must be called before the router
// serves.
func (t *Router) SetAccount(a *intake.Account) { t.account = a }

// BeginShutdown makes every later response ask the caller to close its connection.
func (t *Router) BeginShutdown() { t.leaving.Store(true) }

// Running returns the number of requests in progress.
func (t *Router) Running() int64 { return t.running.Load() }

// ServeHTTP implements http.Handler.
func (t *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	t.running.Add(1)
	defer t.running.Add(-1)
	id := r.Header.Get(t.headers.RequestID)
	var early *pending
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	if ok {
		early = c.begin(r)
		defer c.end()
	}
	if t.leaving.Load() && (!ok || c.beginClosing()) {
		w.Header().Set("Connection", "close")
	}
	var result forward.Result
	if early != nil {
		<-early.done
		defer early.release()
		result, arrived = early.result, early.arrived
	} else {
		body := newUpload(w, r)
		defer body.finish()
		result = t.handle(r.Context(), w, r, arrived)
		if !body.complete.Load() {
			// The next request on the connection would begin behind the rest of the body.
			w.Header().Set("Connection", "close")
		}
	}
	defer func() { t.meter.Observe(teamLabel(result.Team), result.Route, time.Since(arrived)) }()
	if result.Refusal != nil {
		t.meter.Count("medlarpond_refusals_total", "reason", string(result.Refusal.Reason))
		result.Refusal.WriteWith(w, refusal.FractionalSeconds)
		return
	}
	t.meter.Count("medlarpond_answers_total", "status", strconv.Itoa(result.Response.Status))
	t.writeResponse(w, r, result.Response, id)
}

// handle parses and forwards a request.
func (t *Router) handle(ctx context.Context, w http.ResponseWriter, r *http.Request, arrived time.Time) forward.Result {
	request, refused := t.parseRequest(w, r, arrived)
	defer func() { t.bodies.release(request.Body) }()
	if refused == nil && !intake.FromContext(ctx).ChargeResponse() {
		refused = refuseNoRoom("the instance has no memory for the response")
	}
	if refused != nil {
		t.logger.Info("request refused", zap.String("request", request.ID), zap.String("reason", string(refused.Reason)),
			zap.Int("status", refused.Status), zap.Bool("not-run", true))
		return forward.Result{Refusal: refused}
	}
	return t.forwarder.Forward(ctx, request)
}

// refuseNoRoom returns the refusal of a request for which the instance has no memory.
func refuseNoRoom(message string) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.Overloaded, message).WithRetryAfter(retryAfterNoRoom)
}

// parseRequest extracts the data on which the handling of a request depends, and removes the headers that must not be
// forwarded to a target.
func (t *Router) parseRequest(w http.ResponseWriter, r *http.Request, arrived time.Time) (forward.Request, *refusal.Refusal) {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	request := forward.Request{
		Method: r.Method, URI: r.RequestURI, Path: path, Host: stripPort(r.Host), Header: r.Header, Length: r.ContentLength,
		ID: r.Header.Get(t.headers.RequestID), Arrived: arrived,
	}
	if cookie, err := r.Cookie(t.headers.ObjectCookie); err == nil {
		request.Object = cookie.Value
	}
	if key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix); ok {
		request.Key = strings.TrimSpace(key)
	}
	if ms, err := strconv.ParseInt(r.Header.Get(t.headers.TimeLeft), 10, 64); err == nil && ms > 0 {
		request.Timeout = time.Duration(ms) * time.Millisecond
	}
	target.RemoveHopByHop(r.Header)
	for _, name := range []string{"Authorization", "Expect", "Content-Length", t.headers.Team, t.headers.ExpectedTarget} {
		r.Header.Del(name)
	}
	if r.Method == http.MethodConnect {
		return request, refusal.New(http.StatusNotImplemented, refusal.UpgradeRefused, "CONNECT is not supported")
	}
	refused := t.readBody(w, r, &request)
	return request, refused
}

// readBody buffers the beginning of the body, or all of it if there is memory for it.
func (t *Router) readBody(w http.ResponseWriter, r *http.Request, request *forward.Request) *refusal.Refusal {
	if r.ContentLength == 0 {
		return nil
	}
	if limit := t.forwarder.MaxBodyBytes(); limit > 0 {
		if r.ContentLength > limit {
			return refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge, "the body is over the limit")
		}
		// Without w: the body may be read while the header fields of the response are written.
		r.Body = http.MaxBytesReader(nil, r.Body, limit)
	}
	controller := http.NewResponseController(w)
	conn := intake.FromContext(r.Context())
	_ = controller.SetReadDeadline(request.Arrived.Add(conn.BodyTimeout(bodyTimeout)))
	buffered, whole, err := t.bodies.read(r.Body, r.ContentLength, conn.ChargeBody)
	request.Body = buffered
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge, "the body is over the limit")
	case errors.Is(err, errNoRoom):
		return refuseNoRoom(err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded) && conn != nil:
		return refusal.New(http.StatusRequestTimeout, refusal.BodyTooSlow, "the body arrived too slowly")
	case err != nil:
		return refusal.New(http.StatusBadRequest, refusal.Malformed, "the body did not arrive whole")
	}
	if !whole {
		request.Rest = r.Body
		return nil
	}
	request.Length = int64(len(buffered))
	allowForUpload(request, time.Now())
	// The server detects that the caller has disconnected only if there is no read deadline.
	_ = controller.SetReadDeadline(time.Time{})
	return nil
}

// slowUpload is the time from which an upload is slow. Operators count the time limit of a route from the arrival of a request, which
// holds for uploads that are not.
const slowUpload = time.Second

// allowForUpload makes the time limit of the route begin when the body has arrived, if its upload was slow. That of the caller still
// begins before it.
func allowForUpload(request *forward.Request, now time.Time) {
	if now.Sub(request.Arrived) < slowUpload {
		return
	}
	if request.Timeout > 0 {
		request.Timeout = max(request.Timeout-now.Sub(request.Arrived), time.Nanosecond)
	}
	request.Arrived = now
}

// writeResponse sends the response of a target to the caller. If the response is interrupted, the connection to the
// caller is closed, so that the caller notices.
func (t *Router) writeResponse(w http.ResponseWriter, r *http.Request, response *target.Response, requestID string) {
	target.RemoveHopByHop(response.Header)
	response.Header.Del("Content-Length")
	h := w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	if response.Rest == nil {
		h.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	w.WriteHeader(response.Status)
	source, destination := io.Reader(bytes.NewReader(response.Body)), io.Writer(w)
	if response.Rest != nil {
		defer func() { _ = response.Rest.Close() }()
		source, destination = io.MultiReader(source, response.Rest), &stallGuard{w: w, control: http.NewResponseController(w)}
	}
	if _, err := io.Copy(destination, source); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		t.logger.Info("response interrupted; closing the connection to the caller", zap.String("request", requestID), zap.Error(err))
		abort.Response(w, r)
	}
}

// stallGuard writes a response, and fails if the caller reads nothing for stallTimeout.
type stallGuard struct {
	w       io.Writer
	control *http.ResponseController
}

// Write implements io.Writer.
func (g *stallGuard) Write(b []byte) (int, error) {
	_ = g.control.SetWriteDeadline(time.Now().Add(stallTimeout))
	defer func() { _ = g.control.SetWriteDeadline(time.Time{}) }()
	return g.w.Write(b)
}

// stripPort returns a host without its port, if it has one.
func stripPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

func teamLabel(team string) string {
	if team == "" {
		return "open"
	}
	return team
}
