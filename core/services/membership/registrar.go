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

// FleetStore holds the newest fleet record known to this instance and updates the one in the store. It is safe for
// concurrent use.
type FleetStore struct {
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

// NewFleetStore returns a fleet store without a record.
func NewFleetStore(store platform.Store, logger *zap.Logger) *FleetStore {
	return &FleetStore{store: store, logger: logger, changed: make(chan struct{})}
}

// Fleet returns the newest known record.
func (s *FleetStore) Fleet() Fleet {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet
}

// Changed returns a channel that is closed when a newer record is adopted.
func (s *FleetStore) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Adopt replaces the known record by a newer one, and reports whether the given one was newer.
func (s *FleetStore) Adopt(f Fleet) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Sequence <= s.fleet.Sequence {
		return false
	}
	s.fleet, s.storeDiffers = f, false
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// Read reads the record from the store and adopts it if it is newer.
func (s *FleetStore) Read(ctx context.Context) error {
	stored, _, err := s.load(ctx)
	if err != nil {
		return err
	}
	if !s.Adopt(stored) {
		s.compareWithStore(stored)
	}
	return nil
}

// StoreDiffers reports whether the store holds an older or different record, so that the known one must be written
// again.
func (s *FleetStore) StoreDiffers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeDiffers
}

func (s *FleetStore) compareWithStore(stored Fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	knownRaw, _ := s.fleet.Encode()
	storedRaw, _ := stored.Encode()
	s.storeDiffers = string(knownRaw) != string(storedRaw)
}

// Update applies a change to the newest record and stores the result by compare-and-swap. It retries until the result
// is stored, no change is needed or the store fails. The function must be idempotent, and returns false if the record
// needs no change.
func (s *FleetStore) Update(ctx context.Context, change func(Fleet) (Fleet, bool)) error {
	for {
		stored, version, err := s.load(ctx)
		if err != nil {
			return err
		}
		if !s.Adopt(stored) {
			s.compareWithStore(stored)
		}
		known := s.Fleet()
		if stored.Sequence < known.Sequence {
			s.logger.Warn("the store holds an older fleet record than the one known; overwriting it",
				zap.Uint64("stored", stored.Sequence), zap.Uint64("known", known.Sequence))
		}
		next, needed := change(known)
		if !needed && !s.StoreDiffers() {
			return nil
		}
		next.Sequence = known.Sequence + 1
		written, err := s.put(ctx, next, version)
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
func (s *FleetStore) put(ctx context.Context, f Fleet, version uint64) (bool, error) {
	raw, err := f.Encode()
	if err != nil {
		return false, err
	}
	err = s.store.Put(ctx, fleetKey, raw, version)
	var conflict *platform.ErrConflict
	var unknown *platform.ErrOutcomeUnknown
	if errors.As(err, &conflict) || errors.As(err, &unknown) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	s.Adopt(f)
	return true, nil
}

func (s *FleetStore) load(ctx context.Context) (Fleet, uint64, error) {
	entry, err := s.store.Get(ctx, fleetKey)
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
