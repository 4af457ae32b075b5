package configuration

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"medlarpond.dev/core/models/platform"
	"medlarpond.dev/core/models/resource"
)

const (
	// retryInterval is the interval between attempts to determine the outcome of a write.
	retryInterval = 100 * time.Millisecond
	// randomIDBytes is the length of a random ID before its hexadecimal encoding.
	randomIDBytes = 12
)

// Writer appends changes to the log.
type Writer struct {
	store platform.Store
	state *State
	// ConfirmedByPeers reports whether the peers alone, without the store, confirm that this instance has every
	// accepted change; nil means always.
	ConfirmedByPeers func() bool
}

// ChangeRequest asks for a change of one resource.
type ChangeRequest struct {
	// ID makes the request idempotent: it can be sent again without being applied twice. If it is empty, a random ID is
	// used.
	ID     string
	Actor  string
	Reason string
	Action Action
	// Resource is the new value with the version on which the change is based; the version is zero for a new resource.
	Resource resource.Resource
}

// NewWriter returns a writer that appends changes to the store and applies them to the state.
func NewWriter(store platform.Store, state *State) *Writer {
	return &Writer{store: store, state: state}
}

// Write appends one change and applies it. An error other than ErrOutcomeUnknown means that nothing was applied. When
// another writer takes the revision, Write applies that change and tries again with the next revision.
func (w *Writer) Write(ctx context.Context, q ChangeRequest) (Record, error) {
	if w.ConfirmedByPeers != nil && !w.ConfirmedByPeers() {
		return Record{}, &ErrNotConfirmed{}
	}
	if q.ID == "" {
		q.ID = newRandomID()
	}
	for {
		if err := ctx.Err(); err != nil {
			return Record{}, &ErrStoreUnavailable{Cause: context.Cause(ctx)}
		}
		if existing, ok := w.state.FindByID(q.ID); ok {
			return w.matchRequest(q, existing)
		}
		record, err := w.buildRecord(q)
		if err != nil {
			return Record{}, err
		}
		stored, err := w.appendRecord(ctx, record)
		if err != nil {
			return Record{}, err
		}
		if err := w.state.Apply(stored); err != nil {
			return Record{}, trace.Wrap(err)
		}
		if stored.ID == q.ID {
			return w.matchRequest(q, stored)
		}
	}
}

// matchRequest returns an applied change that has the ID of q if its content is what q asks for, and ErrIDTaken
// otherwise.
func (w *Writer) matchRequest(q ChangeRequest, existing Record) (Record, error) {
	if existing.Action == q.Action && existing.Actor == q.Actor && existing.Reason == q.Reason && sameResource(q, existing) {
		return existing, nil
	}
	return Record{}, &ErrIDTaken{Revision: existing.Revision}
}

func sameResource(q ChangeRequest, existing Record) bool {
	if existing.Resource == nil || existing.Resource.Kind != q.Resource.Kind || existing.Resource.Name != q.Resource.Name {
		return false
	}
	if q.Action == ActionDelete {
		return true
	}
	requested, _ := json.Marshal(q.Resource.Spec)
	stored, _ := json.Marshal(existing.Resource.Spec)
	return string(requested) == string(stored)
}

// buildRecord validates the request against the active configuration and builds the change that follows it.
func (w *Writer) buildRecord(q ChangeRequest) (Record, error) {
	v := w.state.View()
	current, exists := v.Snapshot.Get(q.Resource.Kind, q.Resource.Name)
	if err := w.checkVersion(q, current, exists); err != nil {
		return Record{}, err
	}
	c := Change{
		ID: q.ID, Revision: v.Revision + 1, Previous: v.Chain, Action: q.Action,
		Actor: q.Actor, Reason: q.Reason, Time: time.Now().UTC(), Resource: &q.Resource,
	}
	if exists {
		c.Before = &current
	}
	if q.Action == ActionDelete {
		c.Resource = &current
		return newRecordIfValid(c, resource.ValidateDelete(v.Snapshot, current.Kind, current.Name))
	}
	return newRecordIfValid(c, resource.Validate(v.Snapshot, q.Resource))
}

func newRecordIfValid(c Change, validationErr error) (Record, error) {
	if validationErr != nil {
		return Record{}, validationErr
	}
	return NewRecord(c)
}

func (w *Writer) checkVersion(q ChangeRequest, current resource.Resource, exists bool) error {
	if q.Action == ActionCreate {
		if exists {
			return w.versionConflict(current.Version)
		}
		return nil
	}
	if !exists {
		return &resource.ErrNotExist{Kind: q.Resource.Kind, Name: q.Resource.Name}
	}
	if q.Resource.Version == 0 {
		return &ErrVersionRequired{}
	}
	if q.Resource.Version != current.Version {
		return w.versionConflict(current.Version)
	}
	return nil
}

func (w *Writer) versionConflict(version uint64) error {
	e := &ErrVersionConflict{Version: version}
	if records, err := w.state.RecordsAfter(version-1, 1); err == nil && len(records) == 1 {
		e.Actor, e.Reason = records[0].Actor, records[0].Reason
	}
	return e
}

// appendRecord creates the log key of a record and returns the record that the key holds in the end, which may be
// another writer's. The store must hold the preceding change; otherwise the log would get a gap.
func (w *Writer) appendRecord(ctx context.Context, r Record) (Record, error) {
	if err := w.checkPredecessor(ctx, r); err != nil {
		return Record{}, err
	}
	key := logKey(r.Revision)
	err := w.store.Put(ctx, key, r.Raw, 0)
	var conflict *platform.ErrConflict
	var unavailable *platform.ErrUnavailable
	switch {
	case err == nil:
		return w.checkNotPruned(ctx, r)
	case errors.As(err, &conflict):
		entry, err := w.store.Get(ctx, key)
		if err != nil {
			return Record{}, &ErrStoreUnavailable{Cause: err}
		}
		return DecodeRecord(entry.Value)
	case errors.As(err, &unavailable):
		return Record{}, &ErrStoreUnavailable{Cause: err}
	default:
		return w.resolveOutcome(ctx, r)
	}
}

func (w *Writer) checkPredecessor(ctx context.Context, r Record) error {
	err := checkStored(ctx, w.store, &View{Revision: r.Revision - 1, Chain: r.Previous})
	var behind *ErrStoreBehind
	if err == nil || errors.As(err, &behind) {
		return err
	}
	return &ErrStoreUnavailable{Cause: err}
}

// checkNotPruned checks that the key of r was not pruned before it was created or found; if it was, the revision belongs
// to another change. Keys are pruned in order of their revisions, so a key at or after the head's Oldest was never
// pruned.
func (w *Writer) checkNotPruned(ctx context.Context, r Record) (Record, error) {
	for {
		h, _, err := readArchiveHead(ctx, w.store)
		if err == nil && h.Oldest <= r.Revision {
			return r, nil
		}
		if err == nil {
			// The change may have been applied and archived, or it arrived too late; either way the key is obsolete.
			w.deletePruned(ctx, r)
			return Record{}, &ErrOutcomeUnknown{ID: r.ID}
		}
		if !waitForRetry(ctx, retryInterval) {
			return Record{}, &ErrOutcomeUnknown{ID: r.ID}
		}
	}
}

// deletePruned deletes the key of a record whose revision is before the head's Oldest.
func (w *Writer) deletePruned(ctx context.Context, r Record) {
	if entry, err := w.store.Get(ctx, logKey(r.Revision)); err == nil && hashChange(entry.Value) == r.Chain {
		_ = w.store.Delete(ctx, logKey(r.Revision), entry.Version)
	}
}

// resolveOutcome determines the outcome of a write whose response was lost. As long as the key does not exist, the write
// may still be in transit, so resolveOutcome tries to create the key with a void change. Whichever of the two the key
// then holds, the other can never be applied.
func (w *Writer) resolveOutcome(ctx context.Context, r Record) (Record, error) {
	void, err := NewRecord(Change{
		ID: newRandomID(), Revision: r.Revision, Previous: r.Previous, Action: ActionVoid,
		Actor: r.Actor, Reason: "outcome of change " + r.ID + " was unknown", Time: r.Time,
	})
	if err != nil {
		return Record{}, err
	}
	for {
		entry, err := w.store.Get(ctx, logKey(r.Revision))
		if err == nil {
			found, err := DecodeRecord(entry.Value)
			if err != nil {
				return Record{}, err
			}
			return w.checkNotPruned(ctx, found)
		}
		var missing *platform.ErrKeyNotExist
		if errors.As(err, &missing) {
			// The next read shows which of the two changes the key holds.
			_ = w.store.Put(ctx, logKey(r.Revision), void.Raw, 0)
			if ctx.Err() == nil {
				continue
			}
		}
		if !waitForRetry(ctx, retryInterval) {
			return Record{}, &ErrOutcomeUnknown{ID: r.ID}
		}
	}
}

// waitForRetry waits for d and reports whether the context is still active.
func waitForRetry(ctx context.Context, d time.Duration) bool {
	sleep(ctx, d)
	return ctx.Err() == nil
}

func newRandomID() string {
	raw := make([]byte, randomIDBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}
