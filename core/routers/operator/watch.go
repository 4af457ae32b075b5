package operator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/modules/refusal"
	"medlarpond.dev/core/services/configuration"
)

const (
	// bookmarkInterval is the time without changes after which a watch sends a bookmark.
	bookmarkInterval = 5 * time.Second
	// watchWriteTimeout limits each write of a watch, so that a watch ends if its reader does not read.
	watchWriteTimeout = 10 * time.Second
	// watchBatch is the maximum number of changes read from the state at a time.
	watchBatch = 256
)

type wireEvent struct {
	// Type is "change" or "bookmark".
	Type     string                `json:"type"`
	Revision uint64                `json:"revision"`
	Change   *configuration.Change `json:"change,omitempty"`
}

// filter selects changes by kind and name of their resource. Empty fields match all changes.
type filter struct {
	kind resource.Kind
	name string
}

func parseFilter(r *http.Request) filter {
	query := r.URL.Query()
	return filter{kind: resource.Kind(query.Get("kind")), name: query.Get("name")}
}

func (f filter) selects(c configuration.Change) bool {
	if c.Resource == nil {
		return f.kind == "" && f.name == ""
	}
	return (f.kind == "" || f.kind == c.Resource.Kind) && (f.name == "" || f.name == c.Resource.Name)
}

// watch streams the changes after a revision as newline-delimited JSON. Without changes it sends a bookmark with
// the revision that the watch has reached every bookmarkInterval.
func (t *Router) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		refusal.New(http.StatusBadRequest, refusal.Invalid, "name the revision to watch from: after=N").Write(w)
		return
	}
	if _, err := t.state.RecordsAfter(after, 1); err != nil {
		refusalFor(err).Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	s := &stream{control: http.NewResponseController(w), encoder: json.NewEncoder(w), filter: parseFilter(r), position: after}
	for s.sendChanges(t.state) {
		changed := t.state.Changed()
		if t.state.View().Revision > s.position {
			continue
		}
		select {
		case <-changed:
		case <-time.After(bookmarkInterval):
			s.send(wireEvent{Type: "bookmark", Revision: s.position})
		case <-r.Context().Done():
			return
		}
	}
}

// stream is the state of one watch. Each watch reads changes from the state at the speed of its reader.
type stream struct {
	control *http.ResponseController
	encoder *json.Encoder
	filter  filter
	// position is the revision up to which changes have been sent or filtered out.
	position uint64
	failed   bool
}

// sendChanges sends all changes after the position of the stream and reports whether the stream can continue.
func (s *stream) sendChanges(state *configuration.State) bool {
	for !s.failed {
		records, err := state.RecordsAfter(s.position, watchBatch)
		if err != nil {
			return false
		}
		if len(records) == 0 {
			break
		}
		for _, record := range records {
			if s.filter.selects(record.Change) {
				s.send(wireEvent{Type: "change", Revision: record.Revision, Change: &record.Change})
			}
			s.position = record.Revision
		}
	}
	_ = s.control.Flush()
	return !s.failed
}

func (s *stream) send(e wireEvent) {
	_ = s.control.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
	if err := s.encoder.Encode(e); err != nil {
		s.failed = true
	}
}

type wireHistory struct {
	Revision uint64                 `json:"revision"`
	Changes  []configuration.Change `json:"changes"`
}

// history responds with the latest changes, newest first.
func (t *Router) history(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit <= 0 {
		limit = defaultHistory
	}
	v := t.state.View()
	oldest := v.Revision - min(v.Revision, configuration.HistoryLength)
	records, err := t.state.RecordsAfter(oldest, configuration.HistoryLength)
	if err != nil {
		refusalFor(err).Write(w)
		return
	}
	response := wireHistory{Revision: v.Revision, Changes: []configuration.Change{}}
	f := parseFilter(r)
	for i := len(records) - 1; i >= 0 && len(response.Changes) < min(limit, maxHistory); i-- {
		if f.selects(records[i].Change) {
			response.Changes = append(response.Changes, records[i].Change)
		}
	}
	writeJSON(w, http.StatusOK, response)
}

// change responds with the applied change that has the given ID. A writer that received no response uses it to find out
// whether its change was applied.
func (t *Router) change(w http.ResponseWriter, r *http.Request) {
	record, ok := t.state.FindByID(r.PathValue("id"))
	if !ok {
		refusal.New(http.StatusNotFound, refusal.NotFound, "no change in force has this identifier").Write(w)
		return
	}
	writeJSON(w, http.StatusOK, record.Change)
}
