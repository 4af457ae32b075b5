// Package operator serves the resource API for operators, health checks and metrics.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/modules/meter"
	"medlarpond.dev/core/modules/refusal"
	"medlarpond.dev/core/services/configuration"
)

const (
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 256 << 10
	// maxIDLength is the maximum length in bytes of a change ID chosen by a client.
	maxIDLength = 64
	// writeTimeout limits the wait for the store to accept a change.
	writeTimeout = 5 * time.Second
	// applyTimeout limits the wait for a majority of the seats to apply a change.
	applyTimeout = 2 * time.Second
	// defaultHistory and maxHistory are the default and maximum number of changes in a history response.
	defaultHistory = 100
	maxHistory     = 1000
)

// Router handles the requests of operators.
type Router struct {
	// WaitApplied waits until a majority of the seats has applied a revision. It returns whether it has, and the IDs of
	// the instances that are not known to have applied it. It is nil if there are no other instances.
	WaitApplied func(ctx context.Context, revision uint64) (bool, []string)
	// MarkGone records that the process of an instance has ended. It is nil if there are no other instances.
	MarkGone func(ctx context.Context, id string) error

	state  *configuration.State
	writer *configuration.Writer
	status func() Status
	meter  *meter.Meter
	logger *zap.Logger
	mux    *http.ServeMux
}

// New returns a Router. status returns the state of the instance and its view of the fleet.
func New(
	state *configuration.State, writer *configuration.Writer, status func() Status, m *meter.Meter, logger *zap.Logger,
) *Router {
	t := &Router{state: state, writer: writer, status: status, meter: m, logger: logger, mux: http.NewServeMux()}
	t.mux.HandleFunc("GET /v1/resources/{kind}", t.list)
	t.mux.HandleFunc("GET /v1/resources/{kind}/{name}", t.get)
	t.mux.HandleFunc("POST /v1/resources/{kind}", t.create)
	t.mux.HandleFunc("PUT /v1/resources/{kind}/{name}", t.update)
	t.mux.HandleFunc("DELETE /v1/resources/{kind}/{name}", t.remove)
	t.mux.HandleFunc("GET /v1/watch", t.watch)
	t.mux.HandleFunc("GET /v1/history", t.history)
	t.mux.HandleFunc("GET /v1/changes/{id}", t.change)
	t.mux.HandleFunc("GET /v1/status", t.showStatus)
	t.mux.HandleFunc("POST /v1/restore", t.restore)
	t.mux.HandleFunc("POST /v1/members/{id}/gone", t.markGone)
	t.mux.HandleFunc("GET /healthz", t.health)
	t.mux.HandleFunc("GET /readyz", t.ready)
	t.mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { m.Write(w) })
	t.mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		refusal.New(http.StatusNotFound, refusal.NotFound, "no such path in the resource API").Write(w)
	})
	return t
}

// ServeHTTP implements http.Handler.
func (t *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.mux.ServeHTTP(w, r) }

type wireWrite struct {
	// ID identifies the change, so that a repeated request does not apply it twice. If it is empty, a random ID is used.
	ID       string            `json:"id,omitempty"`
	Actor    string            `json:"actor"`
	Reason   string            `json:"reason"`
	Resource resource.Resource `json:"resource"`
}

type wireList struct {
	Revision uint64              `json:"revision"`
	Items    []resource.Resource `json:"items"`
}

type wireAccepted struct {
	ID       string            `json:"id"`
	Revision uint64            `json:"revision"`
	Resource resource.Resource `json:"resource"`
	// Accepted is true if a majority of the seats has applied the change. Otherwise the HTTP status is 202.
	Accepted bool `json:"accepted"`
	// NotApplied holds the IDs of the instances that are not known to have applied the change.
	NotApplied []string `json:"not-in-force"`
}

func (t *Router) list(w http.ResponseWriter, r *http.Request) {
	kind := resource.Kind(r.PathValue("kind"))
	if refused := checkKind(kind); refused != nil {
		refused.Write(w)
		return
	}
	v := t.state.View()
	items := v.Snapshot.List(kind)
	if items == nil {
		items = []resource.Resource{}
	}
	writeJSON(w, http.StatusOK, wireList{Revision: v.Revision, Items: items})
}

func (t *Router) get(w http.ResponseWriter, r *http.Request) {
	kind, name := resource.Kind(r.PathValue("kind")), r.PathValue("name")
	if refused := checkKind(kind); refused != nil {
		refused.Write(w)
		return
	}
	found, ok := t.state.View().Snapshot.Get(kind, name)
	if !ok {
		refusalFor(&resource.ErrNotExist{Kind: kind, Name: name}).Write(w)
		return
	}
	writeJSON(w, http.StatusOK, found)
}

func (t *Router) create(w http.ResponseWriter, r *http.Request) {
	t.write(w, r, configuration.ActionCreate)
}

func (t *Router) update(w http.ResponseWriter, r *http.Request) {
	t.write(w, r, configuration.ActionUpdate)
}

func (t *Router) write(w http.ResponseWriter, r *http.Request, action configuration.Action) {
	var body wireWrite
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&body); err != nil {
		refusalFor(decodeError(err)).Write(w)
		return
	}
	if refused := checkPath(r, body.Resource); refused != nil {
		refused.Write(w)
		return
	}
	t.submit(w, r, configuration.ChangeRequest{
		ID: body.ID, Actor: body.Actor, Reason: body.Reason, Action: action, Resource: body.Resource,
	})
}

func (t *Router) remove(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	version, _ := strconv.ParseUint(query.Get("version"), 10, 64)
	deleted := resource.Resource{Kind: resource.Kind(r.PathValue("kind")), Name: r.PathValue("name"), Version: version}
	if refused := checkKind(deleted.Kind); refused != nil {
		refused.Write(w)
		return
	}
	t.submit(w, r, configuration.ChangeRequest{
		ID: query.Get("id"), Actor: query.Get("actor"), Reason: query.Get("reason"), Action: configuration.ActionDelete, Resource: deleted,
	})
}

func (t *Router) submit(w http.ResponseWriter, r *http.Request, q configuration.ChangeRequest) {
	if q.Actor == "" || q.Reason == "" {
		refusal.New(http.StatusBadRequest, refusal.Invalid, "name an actor and a reason").Write(w)
		return
	}
	if len(q.ID) > maxIDLength {
		refusal.New(http.StatusBadRequest, refusal.Invalid, "the identifier of the change is too long").Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), writeTimeout)
	defer cancel()
	record, err := t.writer.Write(ctx, q)
	if err != nil {
		refusalFor(err).Write(w)
		return
	}
	t.logger.Info("store accepted a configuration change; instances apply it next", zap.Uint64("revision", record.Revision), zap.String("actor", record.Actor),
		zap.String("action", string(record.Action)), zap.String("kind", string(record.Resource.Kind)),
		zap.String("name", record.Resource.Name))
	t.accept(w, r, record)
}

// accept responds to a write that the store has accepted, once a majority of the seats has applied it or applyTimeout
// has passed.
func (t *Router) accept(w http.ResponseWriter, r *http.Request, record configuration.Record) {
	response := wireAccepted{
		ID: record.ID, Revision: record.Revision, Resource: record.Resource.WithVersion(record.Revision),
		Accepted: true, NotApplied: []string{},
	}
	if t.WaitApplied != nil {
		ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
		defer cancel()
		var behind []string
		response.Accepted, behind = t.WaitApplied(ctx, record.Revision)
		response.NotApplied = append(response.NotApplied, behind...)
	}
	status := http.StatusOK
	switch {
	case !response.Accepted:
		status = http.StatusAccepted
	case record.Action == configuration.ActionCreate:
		status = http.StatusCreated
	}
	writeJSON(w, status, response)
}

func checkKind(kind resource.Kind) *refusal.Refusal {
	for _, k := range resource.Kinds() {
		if k == kind {
			return nil
		}
	}
	return refusalFor(&resource.ErrKindNotExist{Kind: kind})
}

func checkPath(r *http.Request, body resource.Resource) *refusal.Refusal {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	if string(body.Kind) == kind && (name == "" || name == body.Name) {
		return nil
	}
	return refusal.New(http.StatusBadRequest, refusal.Invalid, "the resource's kind and name differ from the path's")
}

func decodeError(err error) error {
	var tooLarge *http.MaxBytesError
	var malformed *resource.ErrMalformed
	var kind *resource.ErrKindNotExist
	if errors.As(err, &tooLarge) || errors.As(err, &malformed) || errors.As(err, &kind) {
		return err
	}
	return &resource.ErrMalformed{Cause: err.Error()}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
