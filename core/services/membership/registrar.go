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
	// fleetKey is the key of the fleet record in the store.
	fleetKey = "medlarpond/fleet"
	// conflictRetryDelay is the mean delay before a failed compare-and-swap is retried.
	conflictRetryDelay = 20 * time.Millisecond
)

// Registrar holds the newest fleet record known to this instance and updates the one in the store. It is safe for
// concurrent use.
type Registrar struct {
	store  platform.Store
	logger *zap.Logger

	mu sync.Mutex
	// fleet is the newest known record; its sequence never decreases.
	fleet Fleet
	// changed is closed and replaced when a newer record is adopted.
	changed chan struct{}
	// storeDiffers is true if the last read from the store returned a record that is older than, or differs from, the
	// known one.
	storeDiffers bool
}

// NewRegistrar returns a registrar without a record.
func NewRegistrar(store platform.Store, logger *zap.Logger) *Registrar {
	return &Registrar{store: store, logger: logger, changed: make(chan struct{})}
}

// Fleet returns the newest known record.
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

// Adopt replaces the known record by a newer one, and reports whether the given one was newer.
func (r *Registrar) Adopt(f Fleet) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.Sequence <= r.fleet.Sequence {
		return false
	}
	r.fleet, r.storeDiffers = f, false
	close(r.changed)
	r.changed = make(chan struct{})
	return true
}

// Read reads the record from the store and adopts it if it is newer.
func (r *Registrar) Read(ctx context.Context) error {
	stored, _, err := r.load(ctx)
	if err != nil {
		return err
	}
	if !r.Adopt(stored) {
		r.compareWithStore(stored)
	}
	return nil
}

// Stale reports whether the store holds an older or different record, so that the known one must be written again.
func (r *Registrar) Stale() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeDiffers
}

func (r *Registrar) compareWithStore(stored Fleet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	knownRaw, _ := r.fleet.Encode()
	storedRaw, _ := stored.Encode()
	r.storeDiffers = string(knownRaw) != string(storedRaw)
}

// Change applies a change to the newest record and stores the result by compare-and-swap, with retries until it is
// stored, the change is unneeded or the store fails. The function must be idempotent, and returns false if the record
// needs no change.
func (r *Registrar) Change(ctx context.Context, change func(Fleet) (Fleet, bool)) error {
	for {
		stored, version, err := r.load(ctx)
		if err != nil {
			return err
		}
		if !r.Adopt(stored) {
			r.compareWithStore(stored)
		}
		known := r.Fleet()
		if stored.Sequence < known.Sequence {
			r.logger.Warn("the store holds an older fleet record than the one known; overwriting it",
				zap.Uint64("stored", stored.Sequence), zap.Uint64("known", known.Sequence))
		}
		next, needed := change(known)
		if !needed && !r.Stale() {
			return nil
		}
		next.Sequence = known.Sequence + 1
		written, err := r.put(ctx, next, version)
		if err != nil || written {
			return err
		}
		delay := time.Duration(rand.Int64N(int64(2 * conflictRetryDelay)))
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return trace.Wrap(context.Cause(ctx))
		}
	}
}

// put writes the record. False without an error means that the write conflicted or has an unknown outcome, so that the
// record must be read again.
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
