package configuration_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/platform"
	"medlarpond.dev/core/services/configuration"
	standin "medlarpond.dev/core/standin/platform"
)

// site is a store with one instance that writes to it.
type site struct {
	platform *standin.Platform
	state    *configuration.State
	writer   *configuration.Writer
	reader   *configuration.Reader
}

func newSite(p *standin.Platform) *site {
	s := &site{platform: p, state: configuration.NewState()}
	s.writer = configuration.NewWriter(p.Store(), s.state)
	s.reader = configuration.NewReader(p.Store(), s.state, zap.NewNop())
	return s
}

func (s *site) write(t *testing.T, names ...string) {
	t.Helper()
	for _, name := range names {
		if _, err := s.writer.Write(context.Background(), createRegion(name)); err != nil {
			t.Fatal(err)
		}
	}
}

// TestStoreWithLess brings a store back with less or with another history and checks that it is noticed, not obeyed, not
// written to, and in order after a restoration.
func TestStoreWithLess(t *testing.T) {
	tests := []struct {
		name string
		// meddle changes the store, given an early state of it.
		meddle    func(t *testing.T, p *standin.Platform, early standin.State)
		condition configuration.Condition
		replace   bool
		replaced  int
	}{
		{
			name:      "the latest changes are missing",
			meddle:    func(_ *testing.T, p *standin.Platform, early standin.State) { p.Restore(early) },
			condition: configuration.ConditionBehind,
		},
		{
			name:      "everything is missing",
			meddle:    func(_ *testing.T, p *standin.Platform, _ standin.State) { p.Restore(standin.New().Save()) },
			condition: configuration.ConditionBehind,
		},
		{
			name: "others stand in their place",
			meddle: func(t *testing.T, p *standin.Platform, early standin.State) {
				t.Helper()
				p.Restore(early)
				other := newSite(p)
				if err := other.reader.Load(context.Background()); err != nil {
					t.Fatal(err)
				}
				other.write(t, "x1", "x2", "x3", "x4")
			},
			condition: configuration.ConditionDiverged, replace: true, replaced: 2,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(standin.New())
			s.write(t, "a1", "a2")
			early := s.platform.Save()
			s.write(t, "a3", "a4")
			test.meddle(t, s.platform, early)
			before := s.state.View()
			if err := s.reader.Load(context.Background()); err == nil || s.reader.Condition() != test.condition {
				t.Errorf("got condition %s (%v), want %s", s.reader.Condition(), err, test.condition)
			}
			var behind *configuration.ErrStoreBehind
			if _, err := s.writer.Write(context.Background(), createRegion("new")); !errors.As(err, &behind) {
				t.Errorf("a write got %v", err)
			}
			if s.state.View() != before {
				t.Fatal("the configuration in force has changed")
			}
			s.checkRestore(t, test.replace, test.replaced)
		})
	}
}

func (s *site) checkRestore(t *testing.T, replace bool, replaced int) {
	t.Helper()
	var diverged *configuration.ErrDiverged
	if _, err := s.writer.Restore(context.Background(), false); errors.As(err, &diverged) != replace {
		t.Fatalf("restoration without permission to replace: %v", err)
	}
	done, err := s.writer.Restore(context.Background(), replace)
	if err != nil || done.Replaced != replaced {
		t.Fatalf("restored %+v, %v", done, err)
	}
	if err := s.reader.Load(context.Background()); err != nil || s.reader.Condition() != configuration.ConditionCurrent {
		t.Errorf("after the restoration: %s, %v", s.reader.Condition(), err)
	}
	s.write(t, "new")
	newcomer := newSite(s.platform)
	if err := newcomer.reader.Load(context.Background()); err != nil || newcomer.state.View().Chain != s.state.View().Chain {
		t.Errorf("a newcomer has revision %d, not %d: %v", newcomer.state.View().Revision, s.state.View().Revision, err)
	}
}

// TestArchive checks that the store's size is bounded, and that a newcomer gets all from image and tail.
func TestArchive(t *testing.T) {
	s := newSite(standin.New())
	archive := configuration.NewArchive(s.platform.Store(), s.state, nil, zap.NewNop()).WithInterval(10, 5)
	for n := range 100 {
		s.write(t, fmt.Sprintf("r%d", n))
		if err := archive.Tend(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	// One image of one chunk, its head, a tail of five changes and up to ten since.
	if keys := s.platform.Keys(); keys > 18 {
		t.Errorf("the store holds %d keys", keys)
	}
	newcomer := newSite(s.platform)
	if err := newcomer.reader.Load(context.Background()); err != nil {
		t.Fatal(err)
	}
	if got, want := newcomer.state.View(), s.state.View(); got.Chain != want.Chain || len(got.Snapshot.All()) != 100 {
		t.Errorf("the newcomer has revision %d and %d resources", got.Revision, len(got.Snapshot.All()))
	}
	late := newSite(s.platform)
	if err := late.reader.CatchUp(context.Background()); err != nil || late.state.View().Chain != s.state.View().Chain {
		t.Errorf("an instance that had nothing has caught up to revision %d: %v", late.state.View().Revision, err)
	}
	if records, err := newcomer.state.After(96, 10); err != nil || len(records) != 4 {
		t.Errorf("the newcomer lacks the tail: %d changes, %v", len(records), err)
	}
}

// TestLateWriteBelowArchive checks that a write which arrives after its revision was taken and archived is not reported
// as applied.
func TestLateWriteBelowArchive(t *testing.T) {
	s := newSite(standin.New())
	s.write(t, "r1")
	late := newSite(s.platform)
	if err := late.reader.Load(context.Background()); err != nil {
		t.Fatal(err)
	}
	archive := configuration.NewArchive(s.platform.Store(), s.state, nil, zap.NewNop()).WithInterval(5, 5)
	// The late writer has checked the change before its own; meanwhile the log moves on and its key is removed.
	store := s.platform.Store()
	get := store.Get
	raced := false
	store.Get = func(ctx context.Context, key string) (e platform.Entry, err error) {
		e, err = get(ctx, key)
		if !raced {
			raced = true
			for n := range 20 {
				s.write(t, fmt.Sprintf("s%d", n))
			}
			if err := archive.Tend(ctx); err != nil {
				t.Error(err)
			}
		}
		return e, err
	}
	_, err := configuration.NewWriter(store, late.state).Write(context.Background(), createRegion("late"))
	var unknown *configuration.ErrUnknown
	if !errors.As(err, &unknown) {
		t.Errorf("got %v, want that the outcome is unknown", err)
	}
	if _, err := s.writer.Write(context.Background(), createRegion("late")); err != nil {
		t.Errorf("the late write has left something behind: %v", err)
	}
}
