package contract

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"medlarpond.dev/core/models/platform"
)

// StoreFaults switch the faults of a store on and off; the cases of a nil function are skipped.
type StoreFaults struct {
	// Down makes the store refuse every call without applying it.
	Down func(on bool)
	// LoseAnswers applies writes and drops their answers.
	LoseAnswers func(on bool)
	// LoseWrites drops writes without applying them or answering.
	LoseWrites func(on bool)
	// Silence keeps every call open without an answer.
	Silence func(on bool)
	// Unreachable makes every connection fail.
	Unreachable func(on bool)
	// Freeze makes the open connections silent for good; new ones work.
	Freeze func()
}

// Store checks an implementation of the seam to the key-value service. The function returns an empty store.
func Store(t *testing.T, open func(t *testing.T) (platform.Store, StoreFaults)) {
	t.Helper()
	for _, test := range storeCases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			store, faults := open(t)
			bounded(t, callBound, func(ctx context.Context) { test.run(t, &storeCase{ctx, store, faults}) })
		})
	}
}

// storeCase is what one case works with.
type storeCase struct {
	context.Context //nolint:containedctx // the lifetime of one case

	store  platform.Store
	faults StoreFaults
}

var storeCases = []struct {
	name string
	run  func(*testing.T, *storeCase)
}{
	{"a missing key is reported", missingKey},
	{"create, get and create again", createTwice},
	{"an update needs the version", updateVersions},
	{"a delete needs the version", deleteVersions},
	{"a key that was deleted can be created", createAfterDelete},
	{"a list is sorted and has the prefix only", listSorted},
	{"an empty list is no error", listEmpty},
	{"a value of a megabyte", largestValue},
	{"a larger value is refused and not written", tooLargeValue},
	{"a wait ends when the key is created", waitCreated},
	{"a wait ends when the key changes", waitChanged},
	{"a wait without a change returns the entry", waitUnchanged},
	{"a wait for a key that stays missing", waitMissing},
	{"two waits do not disturb each other", waitTwice},
	{"a store that is down changes nothing", whileDown},
	{"a store that cannot be reached", whileUnreachable},
	{"a lost answer is an unknown outcome", lostAnswer},
	{"a lost write is an unknown outcome", lostWrite},
	{"silence ends by the deadline", whileSilent},
	{"a silent connection is replaced", frozenConnection},
}

func (c *storeCase) mustPut(t *testing.T, key, value string, expected uint64) platform.Entry {
	t.Helper()
	if err := c.store.Put(c, key, []byte(value), expected); err != nil {
		t.Fatalf("put %s: %v", key, err)
	}
	return c.mustGet(t, key, value)
}

func (c *storeCase) mustGet(t *testing.T, key, value string) platform.Entry {
	t.Helper()
	e, err := c.store.Get(c, key)
	if err != nil || e.Key != key || string(e.Value) != value || e.Version == 0 {
		t.Fatalf("get %s: got %+v, %v; want value %q and a version", key, e, err, value)
	}
	return e
}

func missingKey(t *testing.T, c *storeCase) {
	t.Helper()
	_, err := c.store.Get(c, "a")
	wantError[*platform.ErrKeyNotExist](t, err)
}

func createTwice(t *testing.T, c *storeCase) {
	t.Helper()
	c.mustPut(t, "a", "1", 0)
	wantError[*platform.ErrConflict](t, c.store.Put(c, "a", []byte("2"), 0))
	c.mustGet(t, "a", "1")
}

func updateVersions(t *testing.T, c *storeCase) {
	t.Helper()
	first := c.mustPut(t, "a", "1", 0)
	second := c.mustPut(t, "a", "2", first.Version)
	if second.Version == first.Version {
		t.Error("the version did not change with the value")
	}
	wantError[*platform.ErrConflict](t, c.store.Put(c, "a", []byte("3"), first.Version))
	wantError[*platform.ErrConflict](t, c.store.Put(c, "b", []byte("3"), first.Version))
	c.mustGet(t, "a", "2")
}

func deleteVersions(t *testing.T, c *storeCase) {
	t.Helper()
	first := c.mustPut(t, "a", "1", 0)
	second := c.mustPut(t, "a", "2", first.Version)
	wantError[*platform.ErrConflict](t, c.store.Delete(c, "a", first.Version))
	c.mustGet(t, "a", "2")
	if err := c.store.Delete(c, "a", second.Version); err != nil {
		t.Fatal(err)
	}
	missingKey(t, c)
}

func createAfterDelete(t *testing.T, c *storeCase) {
	t.Helper()
	first := c.mustPut(t, "a", "1", 0)
	if err := c.store.Delete(c, "a", first.Version); err != nil {
		t.Fatal(err)
	}
	again := c.mustPut(t, "a", "2", 0)
	if again.Version == first.Version {
		t.Error("a key that was created again has its old version")
	}
}

func listSorted(t *testing.T, c *storeCase) {
	t.Helper()
	for _, key := range []string{"p/2", "p/10", "q/1", "p/1"} {
		c.mustPut(t, key, key, 0)
	}
	entries, err := c.store.List(c, "p/")
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"p/1", "p/10", "p/2"}
	if len(entries) != len(want) {
		t.Fatalf("got %d entries, want %d", len(entries), len(want))
	}
	for i, e := range entries {
		if e.Key != want[i] || string(e.Value) != want[i] || e.Version == 0 {
			t.Errorf("entry %d: got %s %q version %d", i, e.Key, e.Value, e.Version)
		}
	}
}

func listEmpty(t *testing.T, c *storeCase) {
	t.Helper()
	entries, err := c.store.List(c, "p/")
	if err != nil || len(entries) != 0 {
		t.Errorf("got %v, %v", entries, err)
	}
}

func largestValue(t *testing.T, c *storeCase) {
	t.Helper()
	value := bytes.Repeat([]byte{'x'}, platform.MaxValueBytes)
	c.mustPut(t, "a", string(value), 0)
}

func tooLargeValue(t *testing.T, c *storeCase) {
	t.Helper()
	value := bytes.Repeat([]byte{'x'}, platform.MaxValueBytes+1)
	if err := c.store.Put(c, "a", value, 0); err == nil {
		t.Error("the value was accepted")
	}
	missingKey(t, c)
}

// waited is the outcome of a wait.
type waited struct {
	entry platform.Entry
	err   error
}

// wait starts a wait for a key and returns where its outcome arrives.
func (c *storeCase) wait(key string, known uint64, d time.Duration) <-chan waited {
	outcome := make(chan waited, 1)
	go func() {
		e, err := c.store.WaitFor(c, key, known, d)
		outcome <- waited{e, err}
	}()
	return outcome
}

func waitCreated(t *testing.T, c *storeCase) {
	t.Helper()
	outcome := c.wait("a", 0, callBound)
	time.Sleep(shortWait)
	select {
	case w := <-outcome:
		t.Fatalf("the wait ended before the key existed: %+v", w)
	default:
	}
	c.mustPut(t, "b", "other", 0)
	made := c.mustPut(t, "a", "1", 0)
	if w := <-outcome; w.err != nil || string(w.entry.Value) != "1" || w.entry.Version != made.Version {
		t.Errorf("got %+v", w)
	}
}

func waitChanged(t *testing.T, c *storeCase) {
	t.Helper()
	first := c.mustPut(t, "a", "1", 0)
	outcome := c.wait("a", first.Version, callBound)
	time.Sleep(shortWait)
	c.mustPut(t, "b", "other", 0)
	c.mustPut(t, "a", "2", first.Version)
	if w := <-outcome; w.err != nil || string(w.entry.Value) != "2" {
		t.Errorf("got %+v", w)
	}
}

func waitUnchanged(t *testing.T, c *storeCase) {
	t.Helper()
	first := c.mustPut(t, "a", "1", 0)
	started := time.Now()
	e, err := c.store.WaitFor(c, "a", first.Version, shortWait)
	if err != nil || e.Version != first.Version {
		t.Errorf("got %+v, %v", e, err)
	}
	if time.Since(started) < shortWait {
		t.Error("the wait ended early")
	}
}

func waitMissing(t *testing.T, c *storeCase) {
	t.Helper()
	started := time.Now()
	_, err := c.store.WaitFor(c, "a", 0, shortWait)
	wantError[*platform.ErrKeyNotExist](t, err)
	if time.Since(started) < shortWait {
		t.Error("the wait ended early")
	}
}

func waitTwice(t *testing.T, c *storeCase) {
	t.Helper()
	a, b := c.wait("a", 0, shortWait), c.wait("b", 0, callBound)
	wantError[*platform.ErrKeyNotExist](t, (<-a).err)
	wantError[*platform.ErrKeyNotExist](t, (<-c.wait("a", 0, shortWait)).err)
	select {
	case w := <-b:
		t.Fatalf("the other wait ended early: %+v", w)
	default:
	}
	c.mustPut(t, "b", "1", 0)
	if w := <-b; w.err != nil || string(w.entry.Value) != "1" {
		t.Errorf("got %+v", w)
	}
}

// during switches a fault on while the function runs, or skips the case.
func during(t *testing.T, fault func(on bool), f func()) {
	t.Helper()
	if fault == nil {
		t.Skip("the store cannot be made to fail in this way")
	}
	fault(true)
	f()
	fault(false)
}

// checkReads fails unless every read reports that the store is unavailable by the deadline.
func (c *storeCase) checkReads(t *testing.T) {
	t.Helper()
	bounded(t, shortWait, func(ctx context.Context) {
		_, err := c.store.Get(ctx, "a")
		wantError[*platform.ErrUnavailable](t, err)
	})
	bounded(t, shortWait, func(ctx context.Context) {
		_, err := c.store.List(ctx, "a")
		wantError[*platform.ErrUnavailable](t, err)
	})
	bounded(t, shortWait, func(ctx context.Context) {
		_, err := c.store.WaitFor(ctx, "a", 0, callBound)
		wantError[*platform.ErrUnavailable](t, err)
	})
}

func whileDown(t *testing.T, c *storeCase) {
	t.Helper()
	first := c.mustPut(t, "a", "1", 0)
	during(t, c.faults.Down, func() {
		c.checkReads(t)
		wantError[*platform.ErrUnavailable](t, c.store.Put(c, "a", []byte("2"), first.Version))
		wantError[*platform.ErrUnavailable](t, c.store.Delete(c, "a", first.Version))
	})
	c.mustGet(t, "a", "1")
}

func whileUnreachable(t *testing.T, c *storeCase) {
	t.Helper()
	first := c.mustPut(t, "a", "1", 0)
	during(t, c.faults.Unreachable, func() {
		c.checkReads(t)
		c.checkUnsure(t, "2", first.Version)
	})
	c.mustGet(t, "a", "1")
}

// checkUnsure fails unless a write reports an unknown outcome or, which must then be true, that nothing was changed.
func (c *storeCase) checkUnsure(t *testing.T, value string, expected uint64) {
	t.Helper()
	err := c.store.Put(c, "a", []byte(value), expected)
	var unavailable *platform.ErrUnavailable
	if !errors.As(err, &unavailable) {
		wantError[*platform.ErrOutcomeUnknown](t, err)
	}
}

func lostAnswer(t *testing.T, c *storeCase) {
	t.Helper()
	first := c.mustPut(t, "a", "1", 0)
	during(t, c.faults.LoseAnswers, func() {
		wantError[*platform.ErrOutcomeUnknown](t, c.store.Put(c, "a", []byte("2"), first.Version))
	})
	second := c.mustGet(t, "a", "2")
	during(t, c.faults.LoseAnswers, func() {
		wantError[*platform.ErrOutcomeUnknown](t, c.store.Delete(c, "a", second.Version))
	})
	missingKey(t, c)
}

func lostWrite(t *testing.T, c *storeCase) {
	t.Helper()
	first := c.mustPut(t, "a", "1", 0)
	during(t, c.faults.LoseWrites, func() {
		wantError[*platform.ErrOutcomeUnknown](t, c.store.Put(c, "a", []byte("2"), first.Version))
	})
	c.mustGet(t, "a", "1")
}

func whileSilent(t *testing.T, c *storeCase) {
	t.Helper()
	during(t, c.faults.Silence, func() {
		c.checkReads(t)
		bounded(t, shortWait, func(ctx context.Context) {
			wantError[*platform.ErrOutcomeUnknown](t, c.store.Put(ctx, "a", []byte("1"), 0))
		})
	})
	c.mustPut(t, "b", "1", 0)
}

func frozenConnection(t *testing.T, c *storeCase) {
	t.Helper()
	first := c.mustPut(t, "a", "1", 0)
	if c.faults.Freeze == nil {
		t.Skip("the store cannot be made to fail in this way")
	}
	c.faults.Freeze()
	bounded(t, shortWait, func(ctx context.Context) {
		wantError[*platform.ErrOutcomeUnknown](t, c.store.Put(ctx, "a", []byte("2"), first.Version))
	})
	c.mustGet(t, "a", "1")
}
