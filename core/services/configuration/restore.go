package configuration

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"medlarpond.dev/core/models/platform"
)

// RestoreResult is the result of a restoration.
type RestoreResult struct {
	// From and To are the first and last revision that were written back; both are zero if nothing was missing.
	From, To uint64
	// Replaced is the number of changes of another history that were overwritten.
	Replaced int
}

// Restore writes back to the store the active changes that it lacks. If the store holds changes of another history at
// their revisions, these are overwritten, and thereby lost, if replace is true; otherwise Restore returns ErrDiverged.
func (w *Writer) Restore(ctx context.Context, replace bool) (RestoreResult, error) {
	if w.ConfirmedByPeers != nil && !w.ConfirmedByPeers() {
		return RestoreResult{}, &ErrNotConfirmed{}
	}
	v := w.state.View()
	missing, err := w.missingRecords(ctx, v)
	if err != nil || len(missing) == 0 {
		return RestoreResult{}, err
	}
	result := RestoreResult{From: missing[0].Revision, To: v.Revision}
	hasPredecessor, err := w.hasPredecessor(ctx, missing[0])
	if err != nil {
		return RestoreResult{}, err
	}
	for _, r := range missing {
		replaced, err := w.putRecord(ctx, r, replace)
		if err != nil {
			return RestoreResult{}, err
		}
		if replaced {
			result.Replaced++
		}
	}
	if !hasPredecessor {
		if err := w.writeImage(ctx, v); err != nil {
			return RestoreResult{}, err
		}
	}
	return result, w.deleteAfter(ctx, v.Revision, replace)
}

// hasPredecessor reports whether the store holds the change before r.
func (w *Writer) hasPredecessor(ctx context.Context, r Record) (bool, error) {
	err := w.checkPredecessor(ctx, r)
	var behind *ErrStoreBehind
	if errors.As(err, &behind) {
		return false, nil
	}
	return err == nil, err
}

// writeImage writes an image so that instances can start although the store lacks changes that are no longer in the
// history.
func (w *Writer) writeImage(ctx context.Context, v *View) error {
	_, version, err := readArchiveHead(ctx, w.store)
	if err != nil {
		return &ErrStoreUnavailable{Cause: err}
	}
	_, err = NewArchiver(w.store, w.state, nil, nil).writeImage(ctx, v, version)
	return err
}

// missingRecords returns the active changes that the store does not hold, oldest first.
func (w *Writer) missingRecords(ctx context.Context, v *View) ([]Record, error) {
	length := min(v.Revision, HistoryLength)
	records, err := w.state.RecordsAfter(v.Revision-length, HistoryLength)
	var tooOld *ErrVersionTooOld
	if errors.As(err, &tooOld) {
		records, err = w.state.RecordsAfter(tooOld.Oldest, HistoryLength)
	}
	if err != nil {
		return nil, err
	}
	for n := len(records); n > 0; n-- {
		r := records[n-1]
		err := checkStored(ctx, w.store, &View{Revision: r.Revision, Chain: r.Chain})
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

// putRecord writes one change and reports whether it overwrote another.
func (w *Writer) putRecord(ctx context.Context, r Record, replace bool) (bool, error) {
	for {
		entry, err := w.store.Get(ctx, logKey(r.Revision))
		var missing *platform.ErrKeyNotExist
		if err != nil && !errors.As(err, &missing) {
			return false, &ErrStoreUnavailable{Cause: err}
		}
		if err == nil && hashChange(entry.Value) == r.Chain {
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

// deleteAfter deletes the changes of another history that follow the restored ones, if replace is true.
func (w *Writer) deleteAfter(ctx context.Context, revision uint64, replace bool) error {
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
			// The change follows the restored ones, so it is new and belongs to this history.
			return nil
		}
		if err := w.store.Delete(ctx, logKey(revision), entry.Version); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
