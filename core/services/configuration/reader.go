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
	// watchWait bounds one wait for the next change.
	watchWait = time.Second
	// storeRetry is the mean pause after a failed call; it doubles up to maxStoreRetry while the store stays silent.
	storeRetry    = 500 * time.Millisecond
	maxStoreRetry = 4 * time.Second
	// pollInterval is the mean pause between readings of an instance that keeps no watch.
	pollInterval = 15 * time.Second
	// urgentInterval is the mean pause between its readings while peers do not confirm it.
	urgentInterval = 700 * time.Millisecond
	// pollCheck is how often an instance that keeps no watch checks whether to read.
	pollCheck = 100 * time.Millisecond
)

// Condition is how the store relates to what is in force.
type Condition string

// The conditions of the store.
const (
	// ConditionUnreachable means that the last call failed.
	ConditionUnreachable Condition = "unreachable"
	// ConditionCurrent means that the store holds what is in force.
	ConditionCurrent Condition = "current"
	// ConditionBehind means that the store lacks changes that are in force.
	ConditionBehind Condition = "behind"
	// ConditionDiverged means that the store holds other changes than those in force.
	ConditionDiverged Condition = "diverged"
)

// Reader follows the log in the store and applies its changes.
type Reader struct {
	store  platform.Store
	state  *State
	logger *zap.Logger
	// Watching reports whether this instance is one of the few that keep a watch open; nil means yes.
	Watching func() bool
	// Urgent reports whether only the store can confirm this instance now; nil means no.
	Urgent func() bool
	// Confirm is told when a question was sent by which the store has shown that everything in it is in force; it may
	// read more of the store first. Nil means that nobody wants to know.
	Confirm func(ctx context.Context, asked time.Time) error
	// Applied is told that a change has come from the store; nil means that nobody wants to know.
	Applied func()
	// condition holds a Condition.
	condition atomic.Value
}

// NewReader returns a reader that applies to the state.
func NewReader(store platform.Store, state *State, logger *zap.Logger) *Reader {
	r := &Reader{store: store, state: state, logger: logger}
	r.condition.Store(ConditionUnreachable)
	return r
}

// Condition returns how the store relates to what is in force.
func (r *Reader) Condition() Condition {
	c, _ := r.condition.Load().(Condition)
	return c
}

// Load puts in force all that the store holds: the image, if there is none in force yet, and the changes after it.
func (r *Reader) Load(ctx context.Context) error {
	asked := time.Now()
	err := r.load(ctx)
	r.note(err)
	if err != nil {
		return err
	}
	return r.confirm(ctx, asked)
}

func (r *Reader) load(ctx context.Context) error {
	h, _, err := readHead(ctx, r.store)
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
	r.remember(entries)
	return checkTip(ctx, r.store, r.state.View())
}

// remember adds to the history the changes before the image that the store still holds.
func (r *Reader) remember(entries []platform.Entry) {
	for _, e := range slices.Backward(entries) {
		if record, err := DecodeRecord(e.Value); err == nil {
			r.state.Prepend(record)
		}
	}
}

// Run follows the log until the context ends.
func (r *Reader) Run(ctx context.Context) error {
	retry := storeRetry
	for ctx.Err() == nil {
		r.await(ctx)
		retry = r.follow(ctx, retry)
	}
	return nil
}

// follow reads once; after a failure it waits for about the given pause. It returns the pause for the next failure.
func (r *Reader) follow(ctx context.Context, retry time.Duration) time.Duration {
	err := r.step(ctx)
	if ctx.Err() != nil {
		return retry
	}
	r.note(err)
	if err == nil {
		return storeRetry
	}
	pause(ctx, retry/2+time.Duration(rand.Int64N(int64(retry))))
	return min(2*retry, maxStoreRetry)
}

// CatchUp puts in force all that the store holds, without waiting for more.
func (r *Reader) CatchUp(ctx context.Context) error { return r.read(ctx, 0) }

// await returns when it is time to read: at once for an instance that keeps a watch.
func (r *Reader) await(ctx context.Context) {
	spread := rand.Float64() + 0.5
	started := time.Now()
	for ctx.Err() == nil && r.Watching != nil && !r.Watching() {
		waited := time.Since(started)
		if waited > time.Duration(spread*float64(pollInterval)) {
			return
		}
		if r.Urgent != nil && r.Urgent() && waited > time.Duration(spread*float64(urgentInterval)) {
			return
		}
		pause(ctx, pollCheck)
	}
}

// step reads on; an instance that keeps a watch waits for the next change.
func (r *Reader) step(ctx context.Context) error {
	if r.Watching != nil && !r.Watching() {
		return r.read(ctx, 0)
	}
	return r.read(ctx, watchWait)
}

// read checks that the store holds what is in force, and applies what follows until nothing has come for a while.
func (r *Reader) read(ctx context.Context, wait time.Duration) error {
	for {
		asked := time.Now()
		v := r.state.View()
		if v.Revision == 0 {
			// The first changes may be archived already.
			if err := r.load(ctx); err != nil {
				return err
			}
			v = r.state.View()
		}
		if err := r.check(ctx, v); err != nil {
			return err
		}
		entry, err := r.store.WaitFor(ctx, logKey(v.Revision+1), 0, wait)
		var missing *platform.ErrKeyNotExist
		if errors.As(err, &missing) {
			return r.confirm(ctx, asked)
		}
		if err != nil {
			return err
		}
		// A key that was archived may have been created again by a write that came late; then the one before is gone.
		if err := r.check(ctx, v); err != nil {
			return err
		}
		if err := r.apply(entry); err != nil {
			return err
		}
	}
}

// check returns an error unless the store holds the latest change in force.
func (r *Reader) check(ctx context.Context, v *View) error {
	err := checkTip(ctx, r.store, v)
	var behind *ErrStoreBehind
	if !errors.As(err, &behind) {
		return err
	}
	h, _, headErr := readHead(ctx, r.store)
	if headErr != nil {
		return headErr
	}
	if h.Oldest > v.Revision {
		return &ErrTooFarBehind{Have: v.Revision, Oldest: h.Oldest}
	}
	if _, getErr := r.store.Get(ctx, logKey(v.Revision)); getErr == nil {
		return &ErrDiverged{Revision: v.Revision}
	}
	return err
}

func (r *Reader) confirm(ctx context.Context, asked time.Time) error {
	if r.Confirm == nil {
		return nil
	}
	return r.Confirm(ctx, asked)
}

// note records and logs how the store relates to what is in force.
func (r *Reader) note(err error) {
	var behind *ErrStoreBehind
	var diverged *ErrDiverged
	next := ConditionUnreachable
	switch {
	case err == nil:
		next = ConditionCurrent
	case errors.As(err, &behind):
		next = ConditionBehind
	case errors.As(err, &diverged):
		next = ConditionDiverged
	}
	if r.Condition() == next {
		return
	}
	r.condition.Store(next)
	switch next {
	case ConditionCurrent:
		r.logger.Info("the store holds what is in force")
	case ConditionUnreachable:
		r.logger.Warn("cannot read the store; serving goes on with the configuration in force", zap.Error(err))
	default:
		r.logger.Error("the store does not hold what is in force; it is not obeyed until it is restored", zap.Error(err))
	}
}

func (r *Reader) apply(e platform.Entry) error {
	record, err := DecodeRecord(e.Value)
	if err != nil {
		return err
	}
	known := record.Revision <= r.state.View().Revision
	if err := r.state.Apply(record); err != nil {
		return err
	}
	if !known && r.Applied != nil {
		r.Applied()
	}
	r.logger.Debug("change in force", zap.Uint64(logging.FieldRevision, record.Revision))
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
