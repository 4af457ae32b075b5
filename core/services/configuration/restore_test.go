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

// testInstance is a store with one instance that writes to it.
type testInstance struct {
	platform *standin.Platform
	state    *configuration.State
	writer   *configuration.Writer
	reader   *configuration.Reader
}

func newTestInstance(p *standin.Platform) *testInstance {
	s := &testInstance{platform: p, state: configuration.NewState()}
	s.writer = configuration.NewWriter(p.Store(), s.state)
	s.reader = configuration.NewReader(p.Store(), s.state, zap.NewNop())
	return s
}

func (s *testInstance) write(t *testing.T, names ...string) {
	t.Helper()
	for _, name := range names {
		if _, err := s.writer.Write(context.Background(), createRegion(name)); err != nil {
			t.Fatal(err)
		}
	}
}

// TestStoreRollback rolls the store back or gives it another history. The instance must detect this, keep its
// configuration, refuse writes, and work again after a restoration.
func TestStoreRollback(t *testing.T) {
	tests := []struct {
		name string
		// alterStore changes the store. early is a copy of the store from before the last two changes.
		alterStore func(t *testing.T, p *standin.Platform, early standin.State)
		status     configuration.StoreStatus
		replace    bool
		replaced   int
	}{
		{
			name:       "the latest changes are missing",
			alterStore: func(_ *testing.T, p *standin.Platform, early standin.State) { p.Restore(early) },
			status:     configuration.StoreBehind,
		},
		{
			name:       "everything is missing",
			alterStore: func(_ *testing.T, p *standin.Platform, _ standin.State) { p.Restore(standin.New().Save()) },
			status:     configuration.StoreBehind,
		},
		{
			name: "other changes in their place",
			alterStore: func(t *testing.T, p *standin.Platform, early standin.State) {
				t.Helper()
				p.Restore(early)
				other := newTestInstance(p)
				if err := other.reader.Load(context.Background()); err != nil {
					t.Fatal(err)
				}
				other.write(t, "x1", "x2", "x3", "x4")
			},
			status: configuration.StoreDiverged, replace: true, replaced: 2,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTestInstance(standin.New())
			s.write(t, "a1", "a2")
			early := s.platform.Save()
			s.write(t, "a3", "a4")
			test.alterStore(t, s.platform, early)
			before := s.state.View()
			if err := s.reader.Load(context.Background()); err == nil || s.reader.StoreStatus() != test.status {
				t.Errorf("got status %s (error %v), want %s", s.reader.StoreStatus(), err, test.status)
			}
			var behind *configuration.ErrStoreBehind
			if _, err := s.writer.Write(context.Background(), createRegion("new")); !errors.As(err, &behind) {
				t.Errorf("Write: got %v, want ErrStoreBehind", err)
			}
			if s.state.View() != before {
				t.Fatal("the active configuration has changed")
			}
			s.checkRestore(t, test.replace, test.replaced)
		})
	}
}

func (s *testInstance) checkRestore(t *testing.T, replace bool, replaced int) {
	t.Helper()
	var diverged *configuration.ErrDiverged
	if _, err := s.writer.Restore(context.Background(), false); errors.As(err, &diverged) != replace {
		t.Fatalf("Restore without replace: got error %v, want ErrDiverged only if the test case replaces changes", err)
	}
	done, err := s.writer.Restore(context.Background(), replace)
	if err != nil || done.Replaced != replaced {
		t.Fatalf("Restore: got %+v, error %v; want the number of replaced changes of the test case", done, err)
	}
	if err := s.reader.Load(context.Background()); err != nil || s.reader.StoreStatus() != configuration.StoreCurrent {
		t.Errorf("after Restore: got status %s, error %v; want current", s.reader.StoreStatus(), err)
	}
	s.write(t, "new")
	fresh := newTestInstance(s.platform)
	if err := fresh.reader.Load(context.Background()); err != nil || fresh.state.View().Chain != s.state.View().Chain {
		t.Errorf("new instance: got revision %d, want %d with the same chain; error %v", fresh.state.View().Revision, s.state.View().Revision, err)
	}
}

// TestArchive checks that the size of the store is bounded, and that a new instance loads everything from the image and
// the retained changes.
func TestArchive(t *testing.T) {
	s := newTestInstance(standin.New())
	archiver := configuration.NewArchiver(s.platform.Store(), s.state, nil, zap.NewNop()).WithInterval(10, 5)
	for n := range 100 {
		s.write(t, fmt.Sprintf("r%d", n))
		if err := archiver.ArchiveIfDue(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	// The store holds one image of one chunk, its head, 5 retained changes and up to 10 newer changes.
	if keys := s.platform.KeyCount(); keys > 18 {
		t.Errorf("got %d keys in the store, want at most 18", keys)
	}
	fresh := newTestInstance(s.platform)
	if err := fresh.reader.Load(context.Background()); err != nil {
		t.Fatal(err)
	}
	if got, want := fresh.state.View(), s.state.View(); got.Chain != want.Chain || len(got.Snapshot.All()) != 100 {
		t.Errorf("new instance: got revision %d and %d resources, want all 100", got.Revision, len(got.Snapshot.All()))
	}
	empty := newTestInstance(s.platform)
	if err := empty.reader.CatchUp(context.Background()); err != nil || empty.state.View().Chain != s.state.View().Chain {
		t.Errorf("CatchUp of an empty instance: got revision %d, error %v", empty.state.View().Revision, err)
	}
	if records, err := fresh.state.RecordsAfter(96, 10); err != nil || len(records) != 4 {
		t.Errorf("changes after revision 96 at the new instance: got %d, error %v; want 4", len(records), err)
	}
}

// TestDelayedWriteAfterPruning checks that a write that reaches the store after its revision was taken by another
// change and pruned is not reported as applied.
func TestDelayedWriteAfterPruning(t *testing.T) {
	s := newTestInstance(standin.New())
	s.write(t, "r1")
	delayed := newTestInstance(s.platform)
	if err := delayed.reader.Load(context.Background()); err != nil {
		t.Fatal(err)
	}
	archiver := configuration.NewArchiver(s.platform.Store(), s.state, nil, zap.NewNop()).WithInterval(5, 5)
	// After the delayed writer has checked the preceding change, other changes take its revision and that key is
	// pruned.
	store := s.platform.Store()
	get := store.Get
	interleaved := false
	store.Get = func(ctx context.Context, key string) (e platform.Entry, err error) {
		e, err = get(ctx, key)
		if !interleaved {
			interleaved = true
			for n := range 20 {
				s.write(t, fmt.Sprintf("s%d", n))
			}
			if err := archiver.ArchiveIfDue(ctx); err != nil {
				t.Error(err)
			}
		}
		return e, err
	}
	_, err := configuration.NewWriter(store, delayed.state).Write(context.Background(), createRegion("late"))
	var unknown *configuration.ErrOutcomeUnknown
	if !errors.As(err, &unknown) {
		t.Errorf("got %v, want ErrOutcomeUnknown", err)
	}
	if _, err := s.writer.Write(context.Background(), createRegion("late")); err != nil {
		t.Errorf("Write after the delayed write: got %v, want no error", err)
	}
}
