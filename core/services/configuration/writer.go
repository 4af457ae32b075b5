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
	// retryInterval is the pause between attempts to learn the outcome of a write.
	retryInterval = 100 * time.Millisecond
	// idBytes is the length of a change's random identifier.
	idBytes = 12
)

// Writer appends changes to the log.
type Writer struct {
	store platform.Store
	state *State
	// Contact reports whether this instance knows all that has been accepted; nil means always.
	Contact func() bool
}

// Request is an operator's wish to change one resource.
type Request struct {
	// ID names the change, so that it can be sent again without being applied twice; empty for a random one.
	ID     string
	Actor  string
	Reason string
	Action Action
	// Resource carries the version that the operator read; zero for a resource to create.
	Resource resource.Resource
}

// NewWriter returns a writer that appends to the store and applies to the state.
func NewWriter(store platform.Store, state *State) *Writer {
	return &Writer{store: store, state: state}
}

// Write appends one change. An error other than ErrUnknown means that nothing was applied.
func (w *Writer) Write(ctx context.Context, q Request) (Record, error) {
	if w.Contact != nil && !w.Contact() {
		return Record{}, &ErrNoContact{}
	}
	if q.ID == "" {
		q.ID = newID()
	}
	for {
		if err := ctx.Err(); err != nil {
			return Record{}, &ErrStoreUnavailable{Cause: context.Cause(ctx)}
		}
		if have, ok := w.state.Find(q.ID); ok {
			return w.same(q, have)
		}
		record, err := w.prepare(q)
		if err != nil {
			return Record{}, err
		}
		won, err := w.append(ctx, record)
		if err != nil {
			return Record{}, err
		}
		if err := w.state.Apply(won); err != nil {
			return Record{}, trace.Wrap(err)
		}
		if won.ID == q.ID {
			return w.same(q, won)
		}
	}
}

// same returns a change that is in force if it is what the request with its identifier asks for.
func (w *Writer) same(q Request, have Record) (Record, error) {
	if have.Action == q.Action && have.Actor == q.Actor && have.Reason == q.Reason && sameResource(q, have) {
		return have, nil
	}
	return Record{}, &ErrIDTaken{Revision: have.Revision}
}

func sameResource(q Request, have Record) bool {
	if have.Resource == nil || have.Resource.Kind != q.Resource.Kind || have.Resource.Name != q.Resource.Name {
		return false
	}
	if q.Action == ActionDelete {
		return true
	}
	asked, _ := json.Marshal(q.Resource.Spec)
	stored, _ := json.Marshal(have.Resource.Spec)
	return string(asked) == string(stored)
}

// prepare checks the request against the state in force and builds the change that follows it.
func (w *Writer) prepare(q Request) (Record, error) {
	v := w.state.View()
	before, exists := v.Snapshot.Get(q.Resource.Kind, q.Resource.Name)
	if err := w.checkVersion(q, before, exists); err != nil {
		return Record{}, err
	}
	c := Change{
		ID: q.ID, Revision: v.Revision + 1, Previous: v.Chain, Action: q.Action,
		Actor: q.Actor, Reason: q.Reason, Time: time.Now().UTC(), Resource: &q.Resource,
	}
	if exists {
		c.Before = &before
	}
	if q.Action == ActionDelete {
		c.Resource = &before
		return newChecked(c, resource.ValidateDelete(v.Snapshot, before.Kind, before.Name))
	}
	return newChecked(c, resource.Validate(v.Snapshot, q.Resource))
}

func newChecked(c Change, err error) (Record, error) {
	if err != nil {
		return Record{}, err
	}
	return NewRecord(c)
}

func (w *Writer) checkVersion(q Request, before resource.Resource, exists bool) error {
	if q.Action == ActionCreate {
		if exists {
			return w.conflict(before.Version)
		}
		return nil
	}
	if !exists {
		return &resource.ErrNotExist{Kind: q.Resource.Kind, Name: q.Resource.Name}
	}
	if q.Resource.Version == 0 {
		return &ErrVersionRequired{}
	}
	if q.Resource.Version != before.Version {
		return w.conflict(before.Version)
	}
	return nil
}

func (w *Writer) conflict(version uint64) error {
	e := &ErrVersionConflict{Have: version}
	if records, err := w.state.After(version-1, 1); err == nil && len(records) == 1 {
		e.By, e.Why = records[0].Actor, records[0].Reason
	}
	return e
}

// append creates the log key of a record and returns the record that the key holds in the end, ours or another. The
// store must hold the change before, or the log would get a gap.
func (w *Writer) append(ctx context.Context, r Record) (Record, error) {
	if err := w.checkBefore(ctx, r); err != nil {
		return Record{}, err
	}
	key := logKey(r.Revision)
	err := w.store.Put(ctx, key, r.Raw, 0)
	var conflict *platform.ErrConflict
	var unavailable *platform.ErrUnavailable
	switch {
	case err == nil:
		return w.checkArchived(ctx, r)
	case errors.As(err, &conflict):
		entry, err := w.store.Get(ctx, key)
		if err != nil {
			return Record{}, &ErrStoreUnavailable{Cause: err}
		}
		return DecodeRecord(entry.Value)
	case errors.As(err, &unavailable):
		return Record{}, &ErrStoreUnavailable{Cause: err}
	default:
		return w.resolve(ctx, r)
	}
}

func (w *Writer) checkBefore(ctx context.Context, r Record) error {
	err := checkTip(ctx, w.store, &View{Revision: r.Revision - 1, Chain: r.Previous})
	var behind *ErrStoreBehind
	if err == nil || errors.As(err, &behind) {
		return err
	}
	return &ErrStoreUnavailable{Cause: err}
}

// checkArchived makes sure that a key which was created or found had not been removed before as archived: then another
// change has had the revision. Keys are removed in their order, so one that is not older than the oldest never was.
func (w *Writer) checkArchived(ctx context.Context, r Record) (Record, error) {
	for {
		h, _, err := readHead(ctx, w.store)
		if err == nil && h.Oldest <= r.Revision {
			return r, nil
		}
		if err == nil {
			// It may have been applied and archived since, or it came too late; either way the key is not needed.
			w.discard(ctx, r)
			return Record{}, &ErrUnknown{ID: r.ID}
		}
		if !wait(ctx, retryInterval) {
			return Record{}, &ErrUnknown{ID: r.ID}
		}
	}
}

// discard removes a key that is older than the oldest.
func (w *Writer) discard(ctx context.Context, r Record) {
	if entry, err := w.store.Get(ctx, logKey(r.Revision)); err == nil && chainOf(entry.Value) == r.Chain {
		_ = w.store.Delete(ctx, logKey(r.Revision), entry.Version)
	}
}

// resolve learns the outcome of a write whose answer was lost. While the key does not exist the write may still be
// on its way, so a void change is put in its place: whichever of the two the key then holds, the other never applies.
func (w *Writer) resolve(ctx context.Context, r Record) (Record, error) {
	void, err := NewRecord(Change{
		ID: newID(), Revision: r.Revision, Previous: r.Previous, Action: ActionVoid,
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
			return w.checkArchived(ctx, found)
		}
		var missing *platform.ErrKeyNotExist
		if errors.As(err, &missing) {
			// The next reading tells which of the two the key holds.
			_ = w.store.Put(ctx, logKey(r.Revision), void.Raw, 0)
			if ctx.Err() == nil {
				continue
			}
		}
		if !wait(ctx, retryInterval) {
			return Record{}, &ErrUnknown{ID: r.ID}
		}
	}
}

// wait reports whether the context outlasted the pause.
func wait(ctx context.Context, d time.Duration) bool {
	pause(ctx, d)
	return ctx.Err() == nil
}

func newID() string {
	raw := make([]byte, idBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}
