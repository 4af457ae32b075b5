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
	// bookmarkInterval is the longest silence of a watch.
	bookmarkInterval = 5 * time.Second
	// watchWriteTimeout ends a watch whose reader does not take what is sent.
	watchWriteTimeout = 10 * time.Second
	// watchBatch is the number of changes read from the state at a time.
	watchBatch = 256
)

type wireEvent struct {
	// Type is change or bookmark.
	Type     string                `json:"type"`
	Revision uint64                `json:"revision"`
	Change   *configuration.Change `json:"change,omitempty"`
}

// filter selects the changes that a reader asked for; empty fields select all.
type filter struct {
	kind resource.Kind
	name string
}

func filterOf(r *http.Request) filter {
	query := r.URL.Query()
	return filter{kind: resource.Kind(query.Get("kind")), name: query.Get("name")}
}

func (f filter) selects(c configuration.Change) bool {
	if c.Resource == nil {
		return f.kind == "" && f.name == ""
	}
	return (f.kind == "" || f.kind == c.Resource.Kind) && (f.name == "" || f.name == c.Resource.Name)
}

// watch streams the changes after a revision as lines of JSON, with bookmarks while nothing changes.
func (t *Router) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		refusal.New(http.StatusBadRequest, refusal.Invalid, "name the revision to watch from: after=N").Write(w)
		return
	}
	if _, err := t.state.RecordsAfter(after, 1); err != nil {
		refusalOf(err).Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	s := &stream{control: http.NewResponseController(w), encoder: json.NewEncoder(w), filter: filterOf(r), position: after}
	for s.follow(t.state) {
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

// stream is one reader's watch; each reader takes changes from the state at its own speed.
type stream struct {
	control  *http.ResponseController
	encoder  *json.Encoder
	filter   filter
	position uint64
	broken   bool
}

// follow sends what has changed since the stream's position and reports whether the stream can go on.
func (s *stream) follow(state *configuration.State) bool {
	for !s.broken {
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
	return !s.broken
}

func (s *stream) send(e wireEvent) {
	_ = s.control.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
	if err := s.encoder.Encode(e); err != nil {
		s.broken = true
	}
}

type wireHistory struct {
	Revision uint64                 `json:"revision"`
	Changes  []configuration.Change `json:"changes"`
}

// history answers with the latest changes, the newest first.
func (t *Router) history(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit <= 0 {
		limit = defaultHistory
	}
	v := t.state.View()
	oldest := v.Revision - min(v.Revision, configuration.HistoryLength)
	records, err := t.state.RecordsAfter(oldest, configuration.HistoryLength)
	if err != nil {
		refusalOf(err).Write(w)
		return
	}
	answer := wireHistory{Revision: v.Revision, Changes: []configuration.Change{}}
	f := filterOf(r)
	for i := len(records) - 1; i >= 0 && len(answer.Changes) < min(limit, maxHistory); i-- {
		if f.selects(records[i].Change) {
			answer.Changes = append(answer.Changes, records[i].Change)
		}
	}
	writeJSON(w, http.StatusOK, answer)
}

// change answers whether the change with an identifier was applied, for a writer whose answer was lost.
func (t *Router) change(w http.ResponseWriter, r *http.Request) {
	record, ok := t.state.FindByID(r.PathValue("id"))
	if !ok {
		refusal.New(http.StatusNotFound, refusal.NotFound, "no change in force has this identifier").Write(w)
		return
	}
	writeJSON(w, http.StatusOK, record.Change)
}
