// Package operator serves the operators' resource API, health checks and metrics.
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
	// maxBodyBytes bounds the body of a write.
	maxBodyBytes = 256 << 10
	// maxIDLength bounds the identifier that a client chooses for a change.
	maxIDLength = 64
	// writeTimeout bounds the wait for the store to take a change.
	writeTimeout = 5 * time.Second
	// inForceTimeout bounds the wait for a change to be in force at most seats.
	inForceTimeout = 2 * time.Second
	// defaultHistory and maxHistory bound the changes in an answer.
	defaultHistory = 100
	maxHistory     = 1000
)

// Router serves the operators' address.
type Router struct {
	// InForce waits until a revision is in force at most seats, and returns whether it is and the instances at which it is
	// not known to be; nil means that there are no others.
	InForce func(ctx context.Context, revision uint64) (bool, []string)
	// Gone counts the process of an instance as ended; nil means that there are no others.
	Gone func(ctx context.Context, id string) error

	state  *configuration.State
	writer *configuration.Writer
	status func() Status
	meter  *meter.Meter
	logger *zap.Logger
	mux    *http.ServeMux
}

// New returns the router; status describes the instance and the fleet as it sees it.
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
	t.mux.HandleFunc("POST /v1/members/{id}/gone", t.gone)
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
	// ID names the change, so that it can be sent again without being applied twice; empty for a random one.
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
	// Accepted is true once the change is in force at most seats; until then the status is 202.
	Accepted bool `json:"accepted"`
	// NotInForce names the instances at which the change is not known to be in force yet.
	NotInForce []string `json:"not-in-force"`
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
		refusalOf(&resource.ErrNotExist{Kind: kind, Name: name}).Write(w)
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
		refusalOf(decodeError(err)).Write(w)
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
	doomed := resource.Resource{Kind: resource.Kind(r.PathValue("kind")), Name: r.PathValue("name"), Version: version}
	if refused := checkKind(doomed.Kind); refused != nil {
		refused.Write(w)
		return
	}
	t.submit(w, r, configuration.ChangeRequest{
		ID: query.Get("id"), Actor: query.Get("actor"), Reason: query.Get("reason"), Action: configuration.ActionDelete, Resource: doomed,
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
		refusalOf(err).Write(w)
		return
	}
	t.logger.Info("change accepted", zap.Uint64("revision", record.Revision), zap.String("actor", record.Actor),
		zap.String("action", string(record.Action)), zap.String("kind", string(record.Resource.Kind)),
		zap.String("name", record.Resource.Name))
	t.accept(w, r, record)
}

// accept answers a write that the store has taken, once it is in force at most seats or the wait for that is over.
func (t *Router) accept(w http.ResponseWriter, r *http.Request, record configuration.Record) {
	answer := wireAccepted{
		ID: record.ID, Revision: record.Revision, Resource: record.Resource.WithVersion(record.Revision),
		Accepted: true, NotInForce: []string{},
	}
	if t.InForce != nil {
		ctx, cancel := context.WithTimeout(r.Context(), inForceTimeout)
		defer cancel()
		var lacking []string
		answer.Accepted, lacking = t.InForce(ctx, record.Revision)
		answer.NotInForce = append(answer.NotInForce, lacking...)
	}
	status := http.StatusOK
	switch {
	case !answer.Accepted:
		status = http.StatusAccepted
	case record.Action == configuration.ActionCreate:
		status = http.StatusCreated
	}
	writeJSON(w, status, answer)
}

func checkKind(kind resource.Kind) *refusal.Refusal {
	for _, k := range resource.Kinds() {
		if k == kind {
			return nil
		}
	}
	return refusalOf(&resource.ErrKindNotExist{Kind: kind})
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
