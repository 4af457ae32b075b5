package configuration

import (
	"context"
	"crypto/rand"
	"encoding/hex"
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
}

// Request is an operator's wish to change one resource.
type Request struct {
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
	id := newID()
	for {
		if err := ctx.Err(); err != nil {
			return Record{}, &ErrStoreUnavailable{Cause: context.Cause(ctx)}
		}
		record, err := w.prepare(q, id)
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
		if won.ID == id {
			return won, nil
		}
	}
}

// prepare checks the request against the state in force and builds the change that follows it.
func (w *Writer) prepare(q Request, id string) (Record, error) {
	v := w.state.View()
	before, exists := v.Snapshot.Get(q.Resource.Kind, q.Resource.Name)
	if err := w.checkVersion(q, before, exists); err != nil {
		return Record{}, err
	}
	c := Change{
		ID: id, Revision: v.Revision + 1, Previous: v.Chain, Action: q.Action,
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

// append creates the log key of a record and returns the record that the key holds in the end, ours or another.
func (w *Writer) append(ctx context.Context, r Record) (Record, error) {
	key := logKey(r.Revision)
	err := w.store.Put(ctx, key, r.Raw, 0)
	if err == nil {
		return r, nil
	}
	var conflict *platform.ErrConflict
	var unavailable *platform.ErrUnavailable
	switch {
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
			return DecodeRecord(entry.Value)
		}
		var missing *platform.ErrKeyNotExist
		if errors.As(err, &missing) {
			// The next reading tells which of the two the key holds.
			_ = w.store.Put(ctx, logKey(r.Revision), void.Raw, 0)
			continue
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return Record{}, &ErrUnknown{ID: r.ID}
		}
	}
}

func newID() string {
	raw := make([]byte, idBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}
