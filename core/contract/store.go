package contract

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"medlarpond.dev/core/models/platform"
)

// StoreFaults holds the functions that turn faults of a store on and off. A case that needs a function which is nil is
// skipped.
type StoreFaults struct {
	// Down makes the store reject every call without applying it.
	Down func(on bool)
	// LoseResponses makes the store apply writes and drop the responses.
	LoseResponses func(on bool)
	// LoseWrites makes the store drop writes without applying them or responding.
	LoseWrites func(on bool)
	// Unresponsive makes the store accept every call and never respond to it.
	Unresponsive func(on bool)
	// Unreachable makes every connection fail.
	Unreachable func(on bool)
	// Freeze makes the connections that are open now unresponsive for good; new connections work.
	Freeze func()
}

// RunStoreTests runs the contract tests against an implementation of platform.Store. The open function returns an empty
// store and its faults.
func RunStoreTests(t *testing.T, open func(t *testing.T) (platform.Store, StoreFaults)) {
	t.Helper()
	for _, test := range storeCases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			store, faults := open(t)
			runWithDeadline(t, callTimeout, func(ctx context.Context) { test.run(t, &storeCase{ctx, store, faults}) })
		})
	}
}

// storeCase is the environment of one test case.
type storeCase struct {
	context.Context //nolint:containedctx // the lifetime of one case

	store  platform.Store
	faults StoreFaults
}

var storeCases = []struct {
	name string
	run  func(*testing.T, *storeCase)
}{
	{"a missing key is reported", getMissingKey},
	{"create, get and create again", createTwice},
	{"an update needs the version", updateVersions},
	{"a delete needs the version", deleteVersions},
	{"a key that was deleted can be created", createAfterDelete},
	{"a list is sorted and limited to the prefix", listSorted},
	{"an empty list is no error", listEmpty},
	{"a value of the largest size", maxSizeValue},
	{"a larger value is rejected and not written", tooLargeValue},
	{"a wait ends when the key is created", waitCreated},
	{"a wait ends when the key changes", waitChanged},
	{"a wait without a change returns the entry", waitUnchanged},
	{"a wait for a key that stays missing", waitMissing},
	{"two waits do not affect each other", waitTwice},
	{"a store that is down changes nothing", whileDown},
	{"a store that cannot be reached", whileUnreachable},
	{"a lost response is an unknown outcome", lostResponse},
	{"a lost write is an unknown outcome", lostWrite},
	{"a call without a response ends at its deadline", whileUnresponsive},
	{"an unresponsive connection is replaced", frozenConnection},
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

func getMissingKey(t *testing.T, c *storeCase) {
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
		t.Error("got the old version after an update, want another one")
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
	getMissingKey(t, c)
}

func createAfterDelete(t *testing.T, c *storeCase) {
	t.Helper()
	first := c.mustPut(t, "a", "1", 0)
	if err := c.store.Delete(c, "a", first.Version); err != nil {
		t.Fatal(err)
	}
	again := c.mustPut(t, "a", "2", 0)
	if again.Version == first.Version {
		t.Error("got the old version after a delete and a create, want another one")
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
			t.Errorf("entry %d: got key %s, value %q, version %d; want the sorted key as key and value, and a version", i, e.Key, e.Value, e.Version)
		}
	}
}

func listEmpty(t *testing.T, c *storeCase) {
	t.Helper()
	entries, err := c.store.List(c, "p/")
	if err != nil || len(entries) != 0 {
		t.Errorf("got %v, %v; want no entries and no error", entries, err)
	}
}

func maxSizeValue(t *testing.T, c *storeCase) {
	t.Helper()
	value := bytes.Repeat([]byte{'x'}, platform.MaxValueBytes)
	c.mustPut(t, "a", string(value), 0)
}

func tooLargeValue(t *testing.T, c *storeCase) {
	t.Helper()
	value := bytes.Repeat([]byte{'x'}, platform.MaxValueBytes+1)
	if err := c.store.Put(c, "a", value, 0); err == nil {
		t.Error("Put of a value above MaxValueBytes succeeded, want an error")
	}
	getMissingKey(t, c)
}

// waitResult is the result of a call of WaitFor.
type waitResult struct {
	entry platform.Entry
	err   error
}

// wait calls WaitFor in a goroutine and returns the channel on which its result arrives.
func (c *storeCase) wait(key string, known uint64, d time.Duration) <-chan waitResult {
	result := make(chan waitResult, 1)
	go func() {
		e, err := c.store.WaitFor(c, key, known, d)
		result <- waitResult{e, err}
	}()
	return result
}

func waitCreated(t *testing.T, c *storeCase) {
	t.Helper()
	result := c.wait("a", 0, callTimeout)
	time.Sleep(shortWait)
	select {
	case w := <-result:
		t.Fatalf("the wait ended before the key existed: %+v", w)
	default:
	}
	c.mustPut(t, "b", "other", 0)
	created := c.mustPut(t, "a", "1", 0)
	if w := <-result; w.err != nil || string(w.entry.Value) != "1" || w.entry.Version != created.Version {
		t.Errorf("got %+v, want the created entry", w)
	}
}

func waitChanged(t *testing.T, c *storeCase) {
	t.Helper()
	first := c.mustPut(t, "a", "1", 0)
	result := c.wait("a", first.Version, callTimeout)
	time.Sleep(shortWait)
	c.mustPut(t, "b", "other", 0)
	c.mustPut(t, "a", "2", first.Version)
	if w := <-result; w.err != nil || string(w.entry.Value) != "2" {
		t.Errorf("got %+v, want the updated entry", w)
	}
}

func waitUnchanged(t *testing.T, c *storeCase) {
	t.Helper()
	first := c.mustPut(t, "a", "1", 0)
	started := time.Now()
	e, err := c.store.WaitFor(c, "a", first.Version, shortWait)
	if err != nil || e.Version != first.Version {
		t.Errorf("got %+v, %v; want the unchanged entry", e, err)
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
	a, b := c.wait("a", 0, shortWait), c.wait("b", 0, callTimeout)
	wantError[*platform.ErrKeyNotExist](t, (<-a).err)
	wantError[*platform.ErrKeyNotExist](t, (<-c.wait("a", 0, shortWait)).err)
	select {
	case w := <-b:
		t.Fatalf("the other wait ended early: %+v", w)
	default:
	}
	c.mustPut(t, "b", "1", 0)
	if w := <-b; w.err != nil || string(w.entry.Value) != "1" {
		t.Errorf("got %+v, want the created entry", w)
	}
}

// withFault turns a fault on while the function runs; it skips the case if the store does not support the fault.
func withFault(t *testing.T, fault func(on bool), f func()) {
	t.Helper()
	if fault == nil {
		t.Skip("the store does not support this fault")
	}
	fault(true)
	f()
	fault(false)
}

// checkReadsUnavailable fails unless every kind of read returns ErrUnavailable by its deadline.
func (c *storeCase) checkReadsUnavailable(t *testing.T) {
	t.Helper()
	runWithDeadline(t, shortWait, func(ctx context.Context) {
		_, err := c.store.Get(ctx, "a")
		wantError[*platform.ErrUnavailable](t, err)
	})
	runWithDeadline(t, shortWait, func(ctx context.Context) {
		_, err := c.store.List(ctx, "a")
		wantError[*platform.ErrUnavailable](t, err)
	})
	runWithDeadline(t, shortWait, func(ctx context.Context) {
		_, err := c.store.WaitFor(ctx, "a", 0, callTimeout)
		wantError[*platform.ErrUnavailable](t, err)
	})
}

func whileDown(t *testing.T, c *storeCase) {
	t.Helper()
	first := c.mustPut(t, "a", "1", 0)
	withFault(t, c.faults.Down, func() {
		c.checkReadsUnavailable(t)
		wantError[*platform.ErrUnavailable](t, c.store.Put(c, "a", []byte("2"), first.Version))
		wantError[*platform.ErrUnavailable](t, c.store.Delete(c, "a", first.Version))
	})
	c.mustGet(t, "a", "1")
}

func whileUnreachable(t *testing.T, c *storeCase) {
	t.Helper()
	first := c.mustPut(t, "a", "1", 0)
	withFault(t, c.faults.Unreachable, func() {
		c.checkReadsUnavailable(t)
		c.checkPutUnacknowledged(t, "2", first.Version)
	})
	c.mustGet(t, "a", "1")
}

// checkPutUnacknowledged fails unless a write returns ErrOutcomeUnknown or ErrUnavailable. The latter means that nothing
// was changed, which the caller must check.
func (c *storeCase) checkPutUnacknowledged(t *testing.T, value string, expected uint64) {
	t.Helper()
	err := c.store.Put(c, "a", []byte(value), expected)
	var unavailable *platform.ErrUnavailable
	if !errors.As(err, &unavailable) {
		wantError[*platform.ErrOutcomeUnknown](t, err)
	}
}

func lostResponse(t *testing.T, c *storeCase) {
	t.Helper()
	first := c.mustPut(t, "a", "1", 0)
	withFault(t, c.faults.LoseResponses, func() {
		wantError[*platform.ErrOutcomeUnknown](t, c.store.Put(c, "a", []byte("2"), first.Version))
	})
	second := c.mustGet(t, "a", "2")
	withFault(t, c.faults.LoseResponses, func() {
		wantError[*platform.ErrOutcomeUnknown](t, c.store.Delete(c, "a", second.Version))
	})
	getMissingKey(t, c)
}

func lostWrite(t *testing.T, c *storeCase) {
	t.Helper()
	first := c.mustPut(t, "a", "1", 0)
	withFault(t, c.faults.LoseWrites, func() {
		wantError[*platform.ErrOutcomeUnknown](t, c.store.Put(c, "a", []byte("2"), first.Version))
	})
	c.mustGet(t, "a", "1")
}

func whileUnresponsive(t *testing.T, c *storeCase) {
	t.Helper()
	withFault(t, c.faults.Unresponsive, func() {
		c.checkReadsUnavailable(t)
		runWithDeadline(t, shortWait, func(ctx context.Context) {
			wantError[*platform.ErrOutcomeUnknown](t, c.store.Put(ctx, "a", []byte("1"), 0))
		})
	})
	c.mustPut(t, "b", "1", 0)
}

func frozenConnection(t *testing.T, c *storeCase) {
	t.Helper()
	first := c.mustPut(t, "a", "1", 0)
	if c.faults.Freeze == nil {
		t.Skip("the store does not support this fault")
	}
	c.faults.Freeze()
	runWithDeadline(t, shortWait, func(ctx context.Context) {
		wantError[*platform.ErrOutcomeUnknown](t, c.store.Put(ctx, "a", []byte("2"), first.Version))
	})
	c.mustGet(t, "a", "1")
}
