package configuration

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"medlarpond.dev/core/models/platform"
)

// Restored says what a restoration has done.
type Restored struct {
	// From and To are the first and last change that were put back; both are zero if nothing was missing.
	From, To uint64
	// Replaced is the number of changes of another history that were in their place.
	Replaced int
}

// Restore puts back into the store the changes that are in force here and that it lacks. Changes of another history are
// replaced only if the caller says so; what they decided is lost.
func (w *Writer) Restore(ctx context.Context, replace bool) (Restored, error) {
	if w.Contact != nil && !w.Contact() {
		return Restored{}, &ErrNoContact{}
	}
	v := w.state.View()
	missing, err := w.missing(ctx, v)
	if err != nil || len(missing) == 0 {
		return Restored{}, err
	}
	done := Restored{From: missing[0].Revision, To: v.Revision}
	linked, err := w.linked(ctx, missing[0])
	if err != nil {
		return Restored{}, err
	}
	for _, r := range missing {
		replaced, err := w.put(ctx, r, replace)
		if err != nil {
			return Restored{}, err
		}
		if replaced {
			done.Replaced++
		}
	}
	if !linked {
		if err := w.writeImage(ctx, v); err != nil {
			return Restored{}, err
		}
	}
	return done, w.removeAfter(ctx, v.Revision, replace)
}

// linked reports whether the store holds the change before the given one.
func (w *Writer) linked(ctx context.Context, r Record) (bool, error) {
	err := w.checkBefore(ctx, r)
	var behind *ErrStoreBehind
	if errors.As(err, &behind) {
		return false, nil
	}
	return err == nil, err
}

// writeImage lets newcomers start although the store lacks changes that are not held here any more.
func (w *Writer) writeImage(ctx context.Context, v *View) error {
	_, version, err := readHead(ctx, w.store)
	if err != nil {
		return &ErrStoreUnavailable{Cause: err}
	}
	_, err = NewArchive(w.store, w.state, nil, nil).write(ctx, v, version)
	return err
}

// missing returns the changes in force that the store does not hold, the oldest first.
func (w *Writer) missing(ctx context.Context, v *View) ([]Record, error) {
	held := min(v.Revision, HistoryLength)
	records, err := w.state.After(v.Revision-held, HistoryLength)
	var tooOld *ErrVersionTooOld
	if errors.As(err, &tooOld) {
		records, err = w.state.After(tooOld.Oldest, HistoryLength)
	}
	if err != nil {
		return nil, err
	}
	for n := len(records); n > 0; n-- {
		r := records[n-1]
		err := checkTip(ctx, w.store, &View{Revision: r.Revision, Chain: r.Chain})
		if err == nil {
			return records[n:], nil
		}
		var behind *ErrStoreBehind
		if !errors.As(err, &behind) {
			return nil, &ErrStoreUnavailable{Cause: err}
		}
	}
	return records, nil
}

// put writes one change and reports whether it replaced another.
func (w *Writer) put(ctx context.Context, r Record, replace bool) (bool, error) {
	for {
		entry, err := w.store.Get(ctx, logKey(r.Revision))
		var missing *platform.ErrKeyNotExist
		if err != nil && !errors.As(err, &missing) {
			return false, &ErrStoreUnavailable{Cause: err}
		}
		if err == nil && chainOf(entry.Value) == r.Chain {
			return false, nil
		}
		if err == nil && !replace {
			return false, &ErrDiverged{Revision: r.Revision}
		}
		err = w.store.Put(ctx, logKey(r.Revision), r.Raw, entry.Version)
		if err == nil {
			return entry.Version != 0, nil
		}
		var unavailable *platform.ErrUnavailable
		if errors.As(err, &unavailable) || ctx.Err() != nil {
			return false, &ErrStoreUnavailable{Cause: err}
		}
	}
}

// removeAfter removes changes of another history that follow the restored ones.
func (w *Writer) removeAfter(ctx context.Context, revision uint64, replace bool) error {
	for replace {
		revision++
		entry, err := w.store.Get(ctx, logKey(revision))
		var missing *platform.ErrKeyNotExist
		if errors.As(err, &missing) {
			return nil
		}
		if err != nil {
			return &ErrStoreUnavailable{Cause: err}
		}
		record, err := DecodeRecord(entry.Value)
		if err != nil {
			return err
		}
		if record.Previous == w.state.View().Chain {
			// It follows what was restored, so it is a new change of this history.
			return nil
		}
		if err := w.store.Delete(ctx, logKey(revision), entry.Version); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
