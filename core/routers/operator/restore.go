package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/modules/logging"
	"medlarpond.dev/core/modules/refusal"
)

// restoreTimeout limits a restoration of the store.
const restoreTimeout = 60 * time.Second

type wireAction struct {
	Actor  string `json:"actor"`
	Reason string `json:"reason"`
	// ReplaceOtherHistory allows a restoration to replace changes in the store that differ from the applied ones.
	ReplaceOtherHistory bool `json:"replace-other-history,omitempty"`
}

type wireRestored struct {
	// From and To are the revisions of the first and last change that were restored; zero if none was missing.
	From     uint64 `json:"from"`
	To       uint64 `json:"to"`
	Replaced int    `json:"replaced"`
}

// restore writes the applied changes that the store lacks back to it.
func (t *Router) restore(w http.ResponseWriter, r *http.Request) {
	action, ok := decodeAction(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), restoreTimeout)
	defer cancel()
	result, err := t.writer.Restore(ctx, action.ReplaceOtherHistory)
	if err != nil {
		refusalFor(err).Write(w)
		return
	}
	t.logger.Warn("operator restored the store from the active configuration", zap.String("actor", action.Actor), zap.String("reason", action.Reason),
		zap.Uint64("from", result.From), zap.Uint64("to", result.To), zap.Int("replaced", result.Replaced))
	writeJSON(w, http.StatusOK, wireRestored{From: result.From, To: result.To, Replaced: result.Replaced})
}

// markGone records an operator's statement that the process of an instance has ended.
func (t *Router) markGone(w http.ResponseWriter, r *http.Request) {
	action, ok := decodeAction(w, r)
	if !ok {
		return
	}
	id := r.PathValue("id")
	if t.MarkGone == nil {
		refusal.New(http.StatusNotFound, refusal.NotFound, "there are no other instances").Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), writeTimeout)
	defer cancel()
	if err := t.MarkGone(ctx, id); err != nil {
		refusal.New(http.StatusServiceUnavailable, refusal.StoreUnavailable, err.Error()).
			WithRetryAfter(storeRetryAfter).Write(w)
		return
	}
	t.logger.Warn("operator marked an instance as gone", zap.String(logging.FieldPeer, id), zap.String("actor", action.Actor),
		zap.String("reason", action.Reason))
	writeJSON(w, http.StatusOK, struct{}{})
}

func decodeAction(w http.ResponseWriter, r *http.Request) (wireAction, bool) {
	var action wireAction
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&action); err != nil {
		refusalFor(&resource.ErrMalformed{Cause: err.Error()}).Write(w)
		return action, false
	}
	if action.Actor == "" || action.Reason == "" {
		refusal.New(http.StatusBadRequest, refusal.Invalid, "name an actor and a reason").Write(w)
		return action, false
	}
	return action, true
}
