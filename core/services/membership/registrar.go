package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"medlarpond.dev/core/models/platform"
)

const (
	// fleetKey is the store's key of the fleet record.
	fleetKey = "medlarpond/fleet"
	// conflictPause is the mean pause before a lost compare-and-swap is tried again.
	conflictPause = 20 * time.Millisecond
)

// Registrar holds the newest fleet record that this instance knows and changes the one in the store.
type Registrar struct {
	store  platform.Store
	logger *zap.Logger

	mu sync.Mutex
	// fleet never goes back to a lower sequence.
	fleet Fleet
	// changed is closed and replaced when a newer record is adopted.
	changed chan struct{}
	// stale is true if the store was last seen to hold an older or another record.
	stale bool
}

// NewRegistrar returns a registrar that knows no record yet.
func NewRegistrar(store platform.Store, logger *zap.Logger) *Registrar {
	return &Registrar{store: store, logger: logger, changed: make(chan struct{})}
}

// Fleet returns the newest record known.
func (r *Registrar) Fleet() Fleet {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet
}

// Changed returns a channel that is closed when a newer record is adopted.
func (r *Registrar) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Adopt takes over a record if it is newer than the one known, and reports whether it was.
func (r *Registrar) Adopt(f Fleet) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.Sequence <= r.fleet.Sequence {
		return false
	}
	r.fleet, r.stale = f, false
	close(r.changed)
	r.changed = make(chan struct{})
	return true
}

// Read adopts the store's record if it is newer.
func (r *Registrar) Read(ctx context.Context) error {
	stored, _, err := r.load(ctx)
	if err != nil {
		return err
	}
	if !r.Adopt(stored) {
		r.compare(stored)
	}
	return nil
}

// Stale reports whether the store holds an older or another record than the one known, and has to be given this one.
func (r *Registrar) Stale() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stale
}

func (r *Registrar) compare(stored Fleet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	mine, _ := r.fleet.Encode()
	theirs, _ := stored.Encode()
	r.stale = string(mine) != string(theirs)
}

// Change applies an idempotent change to the newest record by compare-and-swap, until it is stored or unneeded or the
// store fails. The function returns false if the record needs no change.
func (r *Registrar) Change(ctx context.Context, change func(Fleet) (Fleet, bool)) error {
	for {
		base, version, err := r.load(ctx)
		if err != nil {
			return err
		}
		if !r.Adopt(base) {
			r.compare(base)
		}
		known := r.Fleet()
		if base.Sequence < known.Sequence {
			r.logger.Warn("the store holds an older fleet record than is known; writing the known one",
				zap.Uint64("stored", base.Sequence), zap.Uint64("known", known.Sequence))
		}
		next, needed := change(known)
		if !needed && !r.Stale() {
			return nil
		}
		next.Sequence = known.Sequence + 1
		done, err := r.put(ctx, next, version)
		if err != nil || done {
			return err
		}
		pause := time.Duration(rand.Int64N(int64(2 * conflictPause)))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return trace.Wrap(context.Cause(ctx))
		}
	}
}

// put writes the record; false without an error means that the record has to be read again.
func (r *Registrar) put(ctx context.Context, f Fleet, version uint64) (bool, error) {
	raw, err := f.Encode()
	if err != nil {
		return false, err
	}
	err = r.store.Put(ctx, fleetKey, raw, version)
	var conflict *platform.ErrConflict
	var unknown *platform.ErrOutcomeUnknown
	if errors.As(err, &conflict) || errors.As(err, &unknown) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	r.Adopt(f)
	return true, nil
}

func (r *Registrar) load(ctx context.Context) (Fleet, uint64, error) {
	entry, err := r.store.Get(ctx, fleetKey)
	var missing *platform.ErrKeyNotExist
	if errors.As(err, &missing) {
		return Fleet{}, 0, nil
	}
	if err != nil {
		return Fleet{}, 0, err
	}
	f, err := DecodeFleet(entry.Value)
	return f, entry.Version, err
}
