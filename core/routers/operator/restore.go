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

// restoreTimeout bounds a restoration of the store.
const restoreTimeout = 60 * time.Second

type wireAction struct {
	Actor  string `json:"actor"`
	Reason string `json:"reason"`
	// ReplaceOtherHistory permits a restoration to replace changes that the store holds in the place of those in force.
	ReplaceOtherHistory bool `json:"replace-other-history,omitempty"`
}

type wireRestored struct {
	// From and To are the first and last change that were put back; zero if nothing was missing.
	From     uint64 `json:"from"`
	To       uint64 `json:"to"`
	Replaced int    `json:"replaced"`
}

// restore puts back into the store the changes in force that it lacks.
func (t *Router) restore(w http.ResponseWriter, r *http.Request) {
	action, ok := decodeAction(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), restoreTimeout)
	defer cancel()
	done, err := t.writer.Restore(ctx, action.ReplaceOtherHistory)
	if err != nil {
		refusalOf(err).Write(w)
		return
	}
	t.logger.Warn("store restored", zap.String("actor", action.Actor), zap.String("reason", action.Reason),
		zap.Uint64("from", done.From), zap.Uint64("to", done.To), zap.Int("replaced", done.Replaced))
	writeJSON(w, http.StatusOK, wireRestored{From: done.From, To: done.To, Replaced: done.Replaced})
}

// gone takes an operator's word that the process of an instance has ended.
func (t *Router) gone(w http.ResponseWriter, r *http.Request) {
	action, ok := decodeAction(w, r)
	if !ok {
		return
	}
	id := r.PathValue("id")
	if t.Gone == nil {
		refusal.New(http.StatusNotFound, refusal.NotFound, "there are no other instances").Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), writeTimeout)
	defer cancel()
	if err := t.Gone(ctx, id); err != nil {
		refusal.New(http.StatusServiceUnavailable, refusal.StoreUnavailable, err.Error()).
			WithRetryAfter(storeRetryAfter).Write(w)
		return
	}
	t.logger.Warn("instance declared gone", zap.String(logging.FieldPeer, id), zap.String("actor", action.Actor),
		zap.String("reason", action.Reason))
	writeJSON(w, http.StatusOK, struct{}{})
}

func decodeAction(w http.ResponseWriter, r *http.Request) (wireAction, bool) {
	var action wireAction
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&action); err != nil {
		refusalOf(&resource.ErrMalformed{Cause: err.Error()}).Write(w)
		return action, false
	}
	if action.Actor == "" || action.Reason == "" {
		refusal.New(http.StatusBadRequest, refusal.Invalid, "name an actor and a reason").Write(w)
		return action, false
	}
	return action, true
}
