// Package caller handles the HTTP requests of callers: lookups of instances and requests to services.
package caller

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"path"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/modules/abort"
	"medlarpond.dev/core/modules/meter"
	"medlarpond.dev/core/modules/refusal"
	"medlarpond.dev/core/services/dispatch"
	"medlarpond.dev/core/services/membership"
	"medlarpond.dev/core/services/target"
)

const (
	// copyBufferBytes is the size of the buffers for copying response bodies.
	copyBufferBytes = 32 << 10
	// writeGrace is how long after the deadline of a request its response may still be written to a slow caller.
	writeGrace = time.Second
	// discardTimeout limits the reading of the remaining body of a refused request.
	discardTimeout = time.Second
	// openRouteLabel is the team label of requests on routes that require no key.
	openRouteLabel = "open"
	// reservedPrefix is the prefix of the paths that the instance serves itself.
	reservedPrefix = "/medlarpond/"
	// noServiceLabel is the class label of requests that were not assigned to a service.
	noServiceLabel = "none"
)

// Router handles the requests of callers.
type Router struct {
	dispatcher *dispatch.Dispatcher
	locate     func(r *http.Request, service string) (LookupResult, *refusal.Refusal)
	meter      *meter.Meter
	logger     *zap.Logger
	buffers    sync.Pool
	mux        *http.ServeMux
}

// LookupResult holds the instances that a caller should use.
type LookupResult struct {
	// Instances are in the order in which the caller should try them.
	Instances []membership.Member
	// TTL is how long the caller may cache the result.
	TTL time.Duration
}

// New returns a Router. locate returns the result of a lookup for a service.
func New(
	dispatcher *dispatch.Dispatcher,
	locate func(r *http.Request, service string) (LookupResult, *refusal.Refusal),
	m *meter.Meter,
	logger *zap.Logger,
) *Router {
	t := &Router{dispatcher: dispatcher, locate: locate, meter: m, logger: logger, mux: http.NewServeMux()}
	t.buffers.New = func() any { return new([copyBufferBytes]byte) }
	t.mux.HandleFunc("GET /medlarpond/v1/lookup", t.lookup)
	t.mux.HandleFunc("/", t.request)
	return t
}

// ServeHTTP implements http.Handler. Requests to services bypass the mux if their path is clean, as the mux would
// only redirect unclean paths.
func (t *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect && !strings.HasPrefix(r.URL.Path, reservedPrefix) && isClean(r.URL.Path) {
		t.request(w, r)
		return
	}
	t.mux.ServeHTTP(w, r)
}

// isClean reports whether a path is absolute and has no empty, "." or ".." segments.
func isClean(p string) bool {
	cleaned := path.Clean(p)
	if cleaned == p {
		return strings.HasPrefix(p, "/")
	}
	return strings.HasPrefix(p, cleaned) && p[len(cleaned):] == "/"
}

type wireInstance struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
}

type wireLookup struct {
	Instances  []wireInstance `json:"instances"`
	TTLSeconds float64        `json:"ttl-seconds"`
}

func (t *Router) lookup(w http.ResponseWriter, r *http.Request) {
	result, refused := t.locate(r, r.URL.Query().Get("service"))
	if refused != nil {
		t.refuse(w, refused)
		return
	}
	response := wireLookup{Instances: []wireInstance{}, TTLSeconds: result.TTL.Seconds()}
	for _, m := range result.Instances {
		response.Instances = append(response.Instances, wireInstance{
			ID: m.ID, Address: m.Caller, Region: m.Region, FailureDomain: m.FailureDomain,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}

func (t *Router) request(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	controller := http.NewResponseController(w)
	result, labels, refused := t.dispatcher.Dispatch(r, func(deadline time.Time) { _ = controller.SetReadDeadline(deadline) })
	defer func() { t.meter.Observe(teamLabel(labels.Team), classLabel(labels.Service), time.Since(started)) }()
	if refused != nil {
		_ = controller.SetReadDeadline(time.Now().Add(discardTimeout))
		if refused.Reason == refusal.BodyTooLarge {
			w.Header().Set("Connection", "close")
		}
		t.refuse(w, refused)
		return
	}
	complete := false
	defer func() { result.Release(complete) }()
	_ = controller.SetWriteDeadline(result.Deadline.Add(writeGrace))
	// The response may start while the request body is still being read.
	_ = controller.EnableFullDuplex()
	t.writeResponse(w, r, result.Response)
	complete = true
	_ = controller.SetWriteDeadline(time.Time{})
}

func (t *Router) refuse(w http.ResponseWriter, refused *refusal.Refusal) {
	t.meter.Count("medlarpond_refusals_total", "reason", string(refused.Reason))
	refused.Write(w)
}

// writeResponse copies the target's response to the caller. If the response is interrupted, the connection to the
// caller is closed, so that a truncated response never looks complete.
func (t *Router) writeResponse(w http.ResponseWriter, r *http.Request, response *http.Response) {
	defer func() { _ = response.Body.Close() }()
	h := w.Header()
	target.RemoveHopByHop(response.Header)
	for name, values := range response.Header {
		h[name] = values
	}
	for name := range response.Trailer {
		h.Add("Trailer", name)
	}
	w.WriteHeader(response.StatusCode)
	if err := t.copyBody(w, response); err != nil {
		t.logger.Info("response interrupted; closing the connection to the caller", zap.Error(err))
		abort.Response(w, r)
	}
	for name, values := range response.Trailer {
		h[name] = values
	}
}

func (t *Router) copyBody(w http.ResponseWriter, response *http.Response) error {
	buffer, _ := t.buffers.Get().(*[copyBufferBytes]byte)
	defer t.buffers.Put(buffer)
	streaming := response.ContentLength < 0
	flusher := http.NewResponseController(w)
	for {
		n, err := response.Body.Read(buffer[:])
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			if streaming {
				_ = flusher.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func classLabel(service string) string {
	if service == "" {
		return noServiceLabel
	}
	return service
}

func teamLabel(team string) string {
	if team == "" {
		return openRouteLabel
	}
	return team
}
