package configuration

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"medlarpond.dev/core/models/platform"
	"medlarpond.dev/core/modules/logging"
)

const (
	// watchTimeout is the timeout of one blocking read for the next change.
	watchTimeout = time.Second
	// minRetryDelay is the mean delay after a failed read; it doubles with each further failure up to maxRetryDelay.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 4 * time.Second
	// pollInterval is the mean interval between reads of an instance that does not watch the log.
	pollInterval = 15 * time.Second
	// urgentPollInterval replaces pollInterval while the peers do not confirm the instance.
	urgentPollInterval = 700 * time.Millisecond
	// pollCheckInterval is how often an instance that does not watch the log checks whether a read is due.
	pollCheckInterval = 100 * time.Millisecond
)

// StoreStatus tells how the store's log compares with the active configuration.
type StoreStatus string

// The values of StoreStatus.
const (
	// StoreUnreachable means that the last read failed.
	StoreUnreachable StoreStatus = "unreachable"
	// StoreCurrent means that the store holds the active configuration.
	StoreCurrent StoreStatus = "current"
	// StoreBehind means that the store lacks changes that are active.
	StoreBehind StoreStatus = "behind"
	// StoreDiverged means that the store holds different changes than the active ones.
	StoreDiverged StoreStatus = "diverged"
)

// Reader follows the log in the store and applies its changes to the state. Its function fields must be set before use.
type Reader struct {
	store  platform.Store
	state  *State
	logger *zap.Logger
	// WatchesStore reports whether this instance is one of the few that watch the log with blocking reads; nil means
	// always.
	WatchesStore func() bool
	// PollUrgently reports whether no peer confirms this instance at present, so that only the store can; nil means
	// never.
	PollUrgently func() bool
	// OnCaughtUp is called after a read that found every change of the store applied, with the time at which that read
	// started. It may read more of the store; an error that it returns fails the read. It may be nil.
	OnCaughtUp func(ctx context.Context, readStarted time.Time) error
	// OnApplied is called after a change from the store was applied; it may be nil.
	OnApplied func()
	// storeStatus holds a StoreStatus.
	storeStatus atomic.Value
}

// NewReader returns a reader that applies changes to the state.
func NewReader(store platform.Store, state *State, logger *zap.Logger) *Reader {
	r := &Reader{store: store, state: state, logger: logger}
	r.storeStatus.Store(StoreUnreachable)
	return r
}

// StoreStatus returns the status of the store as of the latest read by Load or Run.
func (r *Reader) StoreStatus() StoreStatus {
	status, _ := r.storeStatus.Load().(StoreStatus)
	return status
}

// Load applies everything that the store holds: the image, if the state is empty, and the changes after it.
func (r *Reader) Load(ctx context.Context) error {
	readStarted := time.Now()
	err := r.load(ctx)
	r.setStoreStatus(err)
	if err != nil {
		return err
	}
	return r.notifyCaughtUp(ctx, readStarted)
}

func (r *Reader) load(ctx context.Context) error {
	h, _, err := readArchiveHead(ctx, r.store)
	if err != nil {
		return err
	}
	if h.Revision > 0 && r.state.View().Revision == 0 {
		v, err := readImage(ctx, r.store, h)
		if err != nil {
			return err
		}
		r.state.Install(v)
	}
	entries, err := r.store.List(ctx, logPrefix)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, e := range entries {
		if err := r.apply(e); err != nil {
			return err
		}
	}
	r.extendHistory(entries)
	return checkStored(ctx, r.store, r.state.View())
}

// extendHistory adds to the history the changes before the image that the store still holds.
func (r *Reader) extendHistory(entries []platform.Entry) {
	for _, e := range slices.Backward(entries) {
		if record, err := DecodeRecord(e.Value); err == nil {
			r.state.Prepend(record)
		}
	}
}

// Run follows the log until the context ends.
func (r *Reader) Run(ctx context.Context) error {
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		r.awaitPoll(ctx)
		retryDelay = r.pollOnce(ctx, retryDelay)
	}
	return nil
}

// pollOnce reads once. After a failure it waits for retryDelay with jitter. It returns the delay for the next failure.
func (r *Reader) pollOnce(ctx context.Context, retryDelay time.Duration) time.Duration {
	err := r.readOnce(ctx)
	if ctx.Err() != nil {
		return retryDelay
	}
	r.setStoreStatus(err)
	if err == nil {
		return minRetryDelay
	}
	sleep(ctx, retryDelay/2+time.Duration(rand.Int64N(int64(retryDelay))))
	return min(2*retryDelay, maxRetryDelay)
}

// CatchUp applies every change that the store holds, without waiting for new ones.
func (r *Reader) CatchUp(ctx context.Context) error { return r.readChanges(ctx, 0) }

// awaitPoll waits until the next read is due. It returns at once for an instance that watches the log.
func (r *Reader) awaitPoll(ctx context.Context) {
	jitter := rand.Float64() + 0.5
	started := time.Now()
	for ctx.Err() == nil && r.WatchesStore != nil && !r.WatchesStore() {
		waited := time.Since(started)
		if waited > time.Duration(jitter*float64(pollInterval)) {
			return
		}
		if r.PollUrgently != nil && r.PollUrgently() && waited > time.Duration(jitter*float64(urgentPollInterval)) {
			return
		}
		sleep(ctx, pollCheckInterval)
	}
}

// readOnce reads new changes. An instance that watches the log waits up to watchTimeout for each.
func (r *Reader) readOnce(ctx context.Context) error {
	if r.WatchesStore != nil && !r.WatchesStore() {
		return r.readChanges(ctx, 0)
	}
	return r.readChanges(ctx, watchTimeout)
}

// readChanges checks that the store holds the active revision and applies the changes that follow it, until none
// arrives within timeout.
func (r *Reader) readChanges(ctx context.Context, timeout time.Duration) error {
	for {
		readStarted := time.Now()
		v := r.state.View()
		if v.Revision == 0 {
			// The first changes may exist only in the image.
			if err := r.load(ctx); err != nil {
				return err
			}
			v = r.state.View()
		}
		if err := r.compareStore(ctx, v); err != nil {
			return err
		}
		entry, err := r.store.WaitFor(ctx, logKey(v.Revision+1), 0, timeout)
		var missing *platform.ErrKeyNotExist
		if errors.As(err, &missing) {
			return r.notifyCaughtUp(ctx, readStarted)
		}
		if err != nil {
			return err
		}
		// A delayed write may have recreated a pruned key. In that case the store no longer holds the change before it.
		if err := r.compareStore(ctx, v); err != nil {
			return err
		}
		if err := r.apply(entry); err != nil {
			return err
		}
	}
}

// compareStore returns an error unless the store holds the latest active change: ErrTooFarBehind, ErrDiverged or
// ErrStoreBehind.
func (r *Reader) compareStore(ctx context.Context, v *View) error {
	err := checkStored(ctx, r.store, v)
	var behind *ErrStoreBehind
	if !errors.As(err, &behind) {
		return err
	}
	h, _, headErr := readArchiveHead(ctx, r.store)
	if headErr != nil {
		return headErr
	}
	if h.Oldest > v.Revision {
		return &ErrTooFarBehind{Revision: v.Revision, Oldest: h.Oldest}
	}
	if _, getErr := r.store.Get(ctx, logKey(v.Revision)); getErr == nil {
		return &ErrDiverged{Revision: v.Revision}
	}
	return err
}

func (r *Reader) notifyCaughtUp(ctx context.Context, readStarted time.Time) error {
	if r.OnCaughtUp == nil {
		return nil
	}
	return r.OnCaughtUp(ctx, readStarted)
}

// setStoreStatus sets the store status that the result of a read implies, and logs it if it has changed.
func (r *Reader) setStoreStatus(err error) {
	var behind *ErrStoreBehind
	var diverged *ErrDiverged
	next := StoreUnreachable
	switch {
	case err == nil:
		next = StoreCurrent
	case errors.As(err, &behind):
		next = StoreBehind
	case errors.As(err, &diverged):
		next = StoreDiverged
	}
	if r.StoreStatus() == next {
		return
	}
	r.storeStatus.Store(next)
	switch next {
	case StoreCurrent:
		r.logger.Info("the store holds the active configuration")
	case StoreUnreachable:
		r.logger.Warn("cannot read the store; continuing with the active configuration", zap.Error(err))
	default:
		r.logger.Error("the store does not hold the active configuration; its changes are ignored until it is restored", zap.Error(err))
	}
}

func (r *Reader) apply(e platform.Entry) error {
	record, err := DecodeRecord(e.Value)
	if err != nil {
		return err
	}
	alreadyApplied := record.Revision <= r.state.View().Revision
	if err := r.state.Apply(record); err != nil {
		return err
	}
	if !alreadyApplied && r.OnApplied != nil {
		r.OnApplied()
	}
	r.logger.Debug("configuration change applied", zap.Uint64(logging.FieldRevision, record.Revision))
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
