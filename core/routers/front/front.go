// Package front answers the callers of an edge instance.
package front

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/modules/meter"
	"medlarpond.dev/core/modules/refusal"
	"medlarpond.dev/core/services/forward"
	"medlarpond.dev/core/services/target"
)

const (
	// maxHeldBytes bounds the part of a body that is read before a target is chosen; a body that fits can be sent again.
	maxHeldBytes = 64 << 10
	// bodyTimeout bounds the time in which the first part of a body must arrive.
	bodyTimeout = 10 * time.Second
	bearer      = "Bearer "
)

// Router serves the callers' address.
type Router struct {
	forwarder *forward.Forwarder
	headers   forward.Headers
	meter     *meter.Meter
	logger    *zap.Logger
	// leaving is true once the instance stops; callers are then asked to connect elsewhere.
	leaving atomic.Bool
	// running counts the requests that are being answered.
	running atomic.Int64
}

// New returns the router.
func New(forwarder *forward.Forwarder, headers forward.Headers, m *meter.Meter, logger *zap.Logger) *Router {
	return &Router{forwarder: forwarder, headers: headers, meter: m, logger: logger}
}

// Leave asks callers to connect elsewhere from now on.
func (t *Router) Leave() { t.leaving.Store(true) }

// Running returns the number of requests that are being answered.
func (t *Router) Running() int64 { return t.running.Load() }

// ServeHTTP implements http.Handler.
func (t *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	t.running.Add(1)
	defer t.running.Add(-1)
	if t.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	request, refused := t.decode(w, r, arrived)
	var result forward.Result
	if refused != nil {
		result.Refusal = refused
		t.logger.Info("request refused", zap.String("request", request.ID), zap.String("reason", string(refused.Reason)),
			zap.Int("status", refused.Status), zap.Bool("not-run", true))
	} else {
		result = t.forwarder.Forward(r.Context(), request)
	}
	defer func() { t.meter.Observe(teamLabel(result.Team), result.Route, time.Since(arrived)) }()
	if result.Refusal != nil {
		t.meter.Count("medlarpond_refusals_total", "reason", string(result.Refusal.Reason))
		result.Refusal.WriteWith(w, refusal.FractionalSeconds)
		return
	}
	t.meter.Count("medlarpond_answers_total", "status", strconv.Itoa(result.Response.Status))
	t.pass(w, result.Response, request.ID)
}

// decode takes from a request what decides about it and removes what no target may see.
func (t *Router) decode(w http.ResponseWriter, r *http.Request, arrived time.Time) (forward.Request, *refusal.Refusal) {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	request := forward.Request{
		Method: r.Method, URI: r.RequestURI, Path: path, Host: hostOf(r.Host), Header: r.Header, Length: r.ContentLength,
		ID: r.Header.Get(t.headers.RequestID), Arrived: arrived,
	}
	if cookie, err := r.Cookie(t.headers.ObjectCookie); err == nil {
		request.Object = cookie.Value
	}
	if key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer); ok {
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
	return request, t.readBody(w, r, &request)
}

// readBody reads the first part of the body, so that a slow caller holds no target.
func (t *Router) readBody(w http.ResponseWriter, r *http.Request, request *forward.Request) *refusal.Refusal {
	if r.ContentLength == 0 {
		return nil
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(request.Arrived.Add(bodyTimeout))
	held, err := io.ReadAll(io.LimitReader(r.Body, maxHeldBytes))
	if err != nil {
		return refusal.New(http.StatusBadRequest, refusal.Malformed, "the body did not arrive whole")
	}
	request.Body = held
	if len(held) == maxHeldBytes && r.ContentLength != maxHeldBytes {
		request.Rest = r.Body
		return nil
	}
	request.Length = int64(len(held))
	// Without a read deadline the server notices when the caller leaves.
	_ = controller.SetReadDeadline(time.Time{})
	return nil
}

// pass sends a target's answer. An answer that breaks off breaks the caller's connection too.
func (t *Router) pass(w http.ResponseWriter, a *target.Response, id string) {
	target.RemoveHopByHop(a.Header)
	a.Header.Del("Content-Length")
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	if a.Rest == nil {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	source := io.Reader(bytes.NewReader(a.Body))
	if a.Rest != nil {
		defer func() { _ = a.Rest.Close() }()
		source = io.MultiReader(source, a.Rest)
	}
	if _, err := io.Copy(w, source); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		t.logger.Info("answer broke off", zap.String("request", id), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
}

// hostOf removes the port from a host.
func hostOf(host string) string {
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
