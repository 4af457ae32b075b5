package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"medlarpond.dev/core/models/platform"
	"medlarpond.dev/core/modules/logging"
)

const (
	// archivePrefix is the prefix of the store's keys that hold the chunks of images.
	archivePrefix = "medlarpond/archive/"
	// archiveHeadKey is the store's key that names the latest complete image.
	archiveHeadKey = "medlarpond/archive-head"
	// imageInterval is the number of changes after which a new image is written.
	imageInterval = 1000
	// retainedChanges is the number of changes before the latest image that stay in the store.
	retainedChanges = 1000
	// maxChunkBytes is the size of a chunk; the store limits a value to 1 MB.
	maxChunkBytes = 768 << 10
	// deleteInterval is the pause before each deletion of obsolete keys, which spreads the load on the store.
	deleteInterval = 5 * time.Millisecond
	// archiveCheckInterval is the interval between checks whether a new image is due.
	archiveCheckInterval = 10 * time.Second
)

// archiveHead describes the image that a starting instance loads.
type archiveHead struct {
	// Revision is the revision of the image; zero if there is none.
	Revision uint64    `json:"revision"`
	Chain    ChainHash `json:"chain"`
	Chunks   int       `json:"chunks"`
	// Nonce distinguishes images of the same revision.
	Nonce string `json:"nonce"`
	// Oldest is the revision of the oldest change that the store still holds.
	Oldest uint64 `json:"oldest"`
}

func (h archiveHead) chunkKey(n int) string {
	return fmt.Sprintf("%s%020d-%s/%06d", archivePrefix, h.Revision, h.Nonce, n)
}

// Archiver periodically writes images of the configuration to the store and removes the changes that they cover, so that
// the log stays bounded and a starting instance has little to read.
type Archiver struct {
	store  platform.Store
	state  *State
	logger *zap.Logger
	// enabled reports whether this instance is currently the one that writes the images.
	enabled func() bool
	// imageInterval and retainedChanges are the constants of the same name, except in tests.
	imageInterval, retainedChanges uint64
}

// NewArchiver returns an archiver. enabled reports whether this instance is currently the one that writes the images.
func NewArchiver(store platform.Store, state *State, enabled func() bool, logger *zap.Logger) *Archiver {
	return &Archiver{store: store, state: state, logger: logger, enabled: enabled, imageInterval: imageInterval, retainedChanges: retainedChanges}
}

// WithInterval returns a copy that writes an image after imageInterval changes and keeps retainedChanges changes before
// it.
func (a *Archiver) WithInterval(imageInterval, retainedChanges uint64) *Archiver {
	b := *a
	b.imageInterval, b.retainedChanges = imageInterval, retainedChanges
	return &b
}

// Run checks every archiveCheckInterval whether an image is due, until the context ends.
func (a *Archiver) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, archiveCheckInterval)
		if !a.enabled() || ctx.Err() != nil {
			continue
		}
		if err := a.ArchiveIfDue(ctx); err != nil {
			a.logger.Warn("failed to write an image of the configuration or to remove obsolete keys", zap.Error(err))
		}
	}
	return nil
}

// ArchiveIfDue writes an image if at least imageInterval changes were applied since the last one, and then removes the
// previous image and the changes that are no longer retained.
func (a *Archiver) ArchiveIfDue(ctx context.Context) error {
	current, version, err := readArchiveHead(ctx, a.store)
	if err != nil {
		return err
	}
	v := a.state.View()
	if v.Revision < current.Revision+a.imageInterval {
		return nil
	}
	// The store must hold the change at which the image ends; otherwise the image would belong to another history.
	if err := checkStored(ctx, a.store, v); err != nil {
		return err
	}
	next, err := a.writeImage(ctx, v, version)
	if err != nil {
		return err
	}
	a.logger.Info("image of the configuration written to the store", zap.Uint64(logging.FieldRevision, v.Revision))
	return a.prune(ctx, current, next)
}

func (a *Archiver) writeImage(ctx context.Context, v *View, version uint64) (archiveHead, error) {
	image, err := NewImage(v, maxChunkBytes)
	if err != nil {
		return archiveHead{}, err
	}
	next := archiveHead{
		Revision: v.Revision, Chain: v.Chain, Chunks: len(image.Chunks), Nonce: newRandomID(),
		Oldest: v.Revision - min(a.retainedChanges, v.Revision-1),
	}
	for n, chunk := range image.Chunks {
		if err := a.store.Put(ctx, next.chunkKey(n), chunk, 0); err != nil {
			return archiveHead{}, err
		}
	}
	raw, err := json.Marshal(next)
	if err != nil {
		return archiveHead{}, trace.Wrap(err)
	}
	return next, a.store.Put(ctx, archiveHeadKey, raw, version)
}

// prune deletes the chunks of the previous image and the changes before current.Oldest.
func (a *Archiver) prune(ctx context.Context, previous, current archiveHead) error {
	for n := range previous.Chunks {
		if err := a.deleteKey(ctx, previous.chunkKey(n)); err != nil {
			return err
		}
	}
	for revision := max(previous.Oldest, 1); revision < current.Oldest; revision++ {
		if err := a.deleteKey(ctx, logKey(revision)); err != nil {
			return err
		}
	}
	return nil
}

func (a *Archiver) deleteKey(ctx context.Context, key string) error {
	sleep(ctx, deleteInterval)
	entry, err := a.store.Get(ctx, key)
	var missing *platform.ErrKeyNotExist
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return err
	}
	return a.store.Delete(ctx, key, entry.Version)
}

// readArchiveHead returns the head and its version in the store; both are zero if there is none.
func readArchiveHead(ctx context.Context, store platform.Store) (archiveHead, uint64, error) {
	entry, err := store.Get(ctx, archiveHeadKey)
	var missing *platform.ErrKeyNotExist
	if errors.As(err, &missing) {
		return archiveHead{}, 0, nil
	}
	if err != nil {
		return archiveHead{}, 0, err
	}
	var h archiveHead
	if err := json.Unmarshal(entry.Value, &h); err != nil {
		return archiveHead{}, 0, trace.Wrap(err)
	}
	return h, entry.Version, nil
}

// readImage reads the image that a head describes.
func readImage(ctx context.Context, store platform.Store, h archiveHead) (*View, error) {
	image := Image{Revision: h.Revision, Chain: h.Chain}
	for n := range h.Chunks {
		entry, err := store.Get(ctx, h.chunkKey(n))
		if err != nil {
			return nil, err
		}
		image.Chunks = append(image.Chunks, entry.Value)
	}
	return image.View()
}

// checkStored returns ErrStoreBehind unless the store holds the change at the revision of v with the same hash.
func checkStored(ctx context.Context, store platform.Store, v *View) error {
	if v.Revision == 0 {
		return nil
	}
	entry, err := store.Get(ctx, logKey(v.Revision))
	var missing *platform.ErrKeyNotExist
	if errors.As(err, &missing) {
		return &ErrStoreBehind{Revision: v.Revision}
	}
	if err != nil {
		return err
	}
	if hashChange(entry.Value) != v.Chain {
		return &ErrStoreBehind{Revision: v.Revision}
	}
	return nil
}
