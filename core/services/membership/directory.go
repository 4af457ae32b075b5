package membership

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"medlarpond.dev/core/models/platform"
)

const (
	// memberPrefix is the start of the store's keys for members.
	memberPrefix = "medlarpond/members/"
	// refreshInterval is the pause between readings of the members.
	refreshInterval = time.Second
)

// Directory keeps this instance's entry in the store and learns of the others'.
type Directory struct {
	store  platform.Store
	table  *Table
	self   func() Member
	logger *zap.Logger
}

// NewDirectory returns a directory that keeps the table up to date.
func NewDirectory(store platform.Store, table *Table, self func() Member, logger *zap.Logger) *Directory {
	return &Directory{store: store, table: table, self: self, logger: logger}
}

// Run refreshes the table until the context ends.
func (d *Directory) Run(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		if err := d.Refresh(ctx); err != nil && ctx.Err() == nil {
			d.logger.Warn("cannot refresh the members", zap.Error(err))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Refresh publishes this instance and reads the others.
func (d *Directory) Refresh(ctx context.Context) error {
	self := d.self()
	d.table.Put(self)
	if err := d.publish(ctx, self); err != nil {
		return err
	}
	entries, err := d.store.List(ctx, memberPrefix)
	if err != nil {
		return trace.Wrap(err)
	}
	found := map[string]bool{}
	for _, e := range entries {
		var m Member
		if err := json.Unmarshal(e.Value, &m); err != nil {
			return trace.Wrap(err)
		}
		found[m.ID] = true
		if m.ID != self.ID {
			d.table.Put(m)
		}
	}
	for _, m := range d.table.All() {
		if !found[m.ID] && m.ID != self.ID {
			d.table.Remove(m.ID)
		}
	}
	return nil
}

// Withdraw deletes this instance's entry.
func (d *Directory) Withdraw(ctx context.Context) error {
	key := memberPrefix + d.self().ID
	entry, err := d.store.Get(ctx, key)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(d.store.Delete(ctx, key, entry.Version))
}

// publish writes this instance's entry if it has changed.
func (d *Directory) publish(ctx context.Context, self Member) error {
	value, err := json.Marshal(self)
	if err != nil {
		return trace.Wrap(err)
	}
	key := memberPrefix + self.ID
	entry, err := d.store.Get(ctx, key)
	var missing *platform.ErrKeyNotExist
	if err != nil && !errors.As(err, &missing) {
		return trace.Wrap(err)
	}
	if string(entry.Value) == string(value) {
		return nil
	}
	return trace.Wrap(d.store.Put(ctx, key, value, entry.Version))
}
