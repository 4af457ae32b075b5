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
	// archivePrefix is the start of the store's keys for the chunks of images.
	archivePrefix = "medlarpond/archive/"
	// headKey is the store's key that names the image to start from.
	headKey = "medlarpond/archive-head"
	// archiveEvery is the number of changes after which a new image is written.
	archiveEvery = 1000
	// archiveTail is the number of changes before an image that stay in the store.
	archiveTail = 1000
	// archiveChunkBytes bounds a chunk; the store takes values of up to a megabyte.
	archiveChunkBytes = 768 << 10
	// deletePause spreads the calls that remove what an image replaces.
	deletePause = 5 * time.Millisecond
	// archiveInterval is the pause between checks whether an image is due.
	archiveInterval = 10 * time.Second
)

// head names the image from which newcomers start.
type head struct {
	// Revision is that of the image; zero if there is none.
	Revision uint64 `json:"revision"`
	Chain    Chain  `json:"chain"`
	Chunks   int    `json:"chunks"`
	// Nonce tells images of one revision apart.
	Nonce string `json:"nonce"`
	// Oldest is the first change that the store still holds.
	Oldest uint64 `json:"oldest"`
}

func (h head) chunkKey(n int) string {
	return fmt.Sprintf("%s%020d-%s/%06d", archivePrefix, h.Revision, h.Nonce, n)
}

// Archive keeps images in the store, so that the log does not grow for ever and newcomers read little.
type Archive struct {
	store  platform.Store
	state  *State
	logger *zap.Logger
	// due reports whether this instance writes the images.
	due func() bool
	// every and tail are archiveEvery and archiveTail but in tests.
	every, tail uint64
}

// NewArchive returns an archive; due reports whether this instance is the one that keeps it.
func NewArchive(store platform.Store, state *State, due func() bool, logger *zap.Logger) *Archive {
	return &Archive{store: store, state: state, logger: logger, due: due, every: archiveEvery, tail: archiveTail}
}

// WithInterval returns an archive that writes an image after the given number of changes and leaves a tail of changes.
func (a *Archive) WithInterval(every, tail uint64) *Archive {
	b := *a
	b.every, b.tail = every, tail
	return &b
}

// Run writes an image whenever one is due, until the context ends.
func (a *Archive) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, archiveInterval)
		if !a.due() || ctx.Err() != nil {
			continue
		}
		if err := a.Tend(ctx); err != nil {
			a.logger.Warn("cannot archive the configuration", zap.Error(err))
		}
	}
	return nil
}

// Tend writes an image if one is due and removes what it replaces.
func (a *Archive) Tend(ctx context.Context) error {
	have, version, err := readHead(ctx, a.store)
	if err != nil {
		return err
	}
	v := a.state.View()
	if v.Revision < have.Revision+a.every {
		return nil
	}
	// The image must belong to the store's history, and the store must hold the change that it ends with.
	if err := checkTip(ctx, a.store, v); err != nil {
		return err
	}
	next, err := a.write(ctx, v, version)
	if err != nil {
		return err
	}
	a.logger.Info("configuration archived", zap.Uint64(logging.FieldRevision, v.Revision))
	return a.prune(ctx, have, next)
}

func (a *Archive) write(ctx context.Context, v *View, version uint64) (head, error) {
	image, err := NewImage(v, archiveChunkBytes)
	if err != nil {
		return head{}, err
	}
	next := head{
		Revision: v.Revision, Chain: v.Chain, Chunks: len(image.Chunks), Nonce: newID(),
		Oldest: v.Revision - min(a.tail, v.Revision-1),
	}
	for n, chunk := range image.Chunks {
		if err := a.store.Put(ctx, next.chunkKey(n), chunk, 0); err != nil {
			return head{}, err
		}
	}
	raw, err := json.Marshal(next)
	if err != nil {
		return head{}, trace.Wrap(err)
	}
	return next, a.store.Put(ctx, headKey, raw, version)
}

// prune removes the chunks of an earlier image and the changes that are older than the tail.
func (a *Archive) prune(ctx context.Context, old, current head) error {
	for n := range old.Chunks {
		if err := a.remove(ctx, old.chunkKey(n)); err != nil {
			return err
		}
	}
	for revision := max(old.Oldest, 1); revision < current.Oldest; revision++ {
		if err := a.remove(ctx, logKey(revision)); err != nil {
			return err
		}
	}
	return nil
}

func (a *Archive) remove(ctx context.Context, key string) error {
	pause(ctx, deletePause)
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

// readHead returns the head and its version, zero if there is none.
func readHead(ctx context.Context, store platform.Store) (head, uint64, error) {
	entry, err := store.Get(ctx, headKey)
	var missing *platform.ErrKeyNotExist
	if errors.As(err, &missing) {
		return head{}, 0, nil
	}
	if err != nil {
		return head{}, 0, err
	}
	var h head
	if err := json.Unmarshal(entry.Value, &h); err != nil {
		return head{}, 0, trace.Wrap(err)
	}
	return h, entry.Version, nil
}

// readImage reads the image that a head names.
func readImage(ctx context.Context, store platform.Store, h head) (*View, error) {
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

// checkTip returns ErrStoreBehind unless the store holds the latest change of a view.
func checkTip(ctx context.Context, store platform.Store, v *View) error {
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
	if chainOf(entry.Value) != v.Chain {
		return &ErrStoreBehind{Revision: v.Revision}
	}
	return nil
}
