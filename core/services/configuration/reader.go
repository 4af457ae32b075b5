package configuration

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"medlarpond.dev/core/models/platform"
	"medlarpond.dev/core/modules/logging"
)

const (
	// watchWait bounds one wait for the next change.
	watchWait = 10 * time.Second
	// storeRetry is the pause after a failed call.
	storeRetry = 500 * time.Millisecond
)

// Reader follows the log in the store and applies its changes.
type Reader struct {
	store  platform.Store
	state  *State
	logger *zap.Logger
	// confirmed is when the question was sent to which the store last answered, in Unix nanoseconds.
	confirmed atomic.Int64
	// diverged is true while the store holds another history than the one in force.
	diverged atomic.Bool
}

// NewReader returns a reader that applies to the state.
func NewReader(store platform.Store, state *State, logger *zap.Logger) *Reader {
	return &Reader{store: store, state: state, logger: logger}
}

// Load applies all changes that the store holds.
func (r *Reader) Load(ctx context.Context) error {
	asked := time.Now()
	entries, err := r.store.List(ctx, logPrefix)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, e := range entries {
		if err := r.apply(e); err != nil {
			return err
		}
	}
	r.confirmed.Store(asked.UnixNano())
	return nil
}

// Run follows the log until the context ends.
func (r *Reader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := r.step(ctx); err != nil && ctx.Err() == nil {
			r.logger.Warn("cannot read the store; serving goes on with the configuration in force", zap.Error(err))
			pause(ctx, storeRetry)
		}
	}
	return nil
}

// Confirmed returns when the last question was sent that the store answered; zero if it never did.
func (r *Reader) Confirmed() time.Time {
	n := r.confirmed.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Diverged reports whether the store holds another history than the one in force.
func (r *Reader) Diverged() bool { return r.diverged.Load() }

func (r *Reader) step(ctx context.Context) error {
	asked := time.Now()
	entry, err := r.store.WaitFor(ctx, logKey(r.state.View().Revision+1), 0, watchWait)
	var missing *platform.ErrKeyNotExist
	if errors.As(err, &missing) {
		r.confirmed.Store(asked.UnixNano())
		return nil
	}
	if err != nil {
		return err
	}
	r.confirmed.Store(asked.UnixNano())
	return r.apply(entry)
}

func (r *Reader) apply(e platform.Entry) error {
	record, err := DecodeRecord(e.Value)
	if err != nil {
		return err
	}
	err = r.state.Apply(record)
	var diverged *ErrDiverged
	r.diverged.Store(errors.As(err, &diverged))
	if err != nil {
		return err
	}
	r.logger.Debug("change in force", zap.Uint64(logging.FieldRevision, record.Revision))
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
