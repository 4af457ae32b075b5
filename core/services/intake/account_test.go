package intake

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fakeAccount is an account whose time the test sets, and which records what it refuses.
type fakeAccount struct {
	*Account
	at      time.Time
	refused []Reason
}

func newFakeAccount(limit int64) *fakeAccount {
	f := &fakeAccount{at: time.Unix(1000, 0)}
	f.Account = NewAccount(limit, Policy{EvictAfter: time.Second, BodyShare: 0.75}, func(r Reason) { f.refused = append(f.refused, r) })
	f.now = func() time.Time { return f.at }
	return f
}

// wait makes the connection wait for its caller since a time before now.
func (f *fakeAccount) wait(h *holder, since time.Duration, idle bool) {
	h.waitingSince.Store(f.at.Add(-since).UnixNano())
	h.idle.Store(idle)
}

// TestEviction guards against closing a connection whose caller makes progress, or whose request runs, when there is no room, and
// against refusing a new one while a slow one could be closed.
func TestEviction(t *testing.T) {
	type waiting struct {
		since time.Duration
		idle  bool
	}
	for name, c := range map[string]struct {
		holders []waiting
		closed  []int
		ok      bool
	}{
		"a slow one":               {[]waiting{{2 * time.Second, false}, {500 * time.Millisecond, false}}, []int{0}, true},
		"the slowest":              {[]waiting{{2 * time.Second, false}, {3 * time.Second, false}}, []int{1}, true},
		"slow before idle":         {[]waiting{{time.Hour, true}, {2 * time.Second, false}}, []int{1}, true},
		"idle if none is slow":     {[]waiting{{time.Hour, true}, {0, false}}, []int{0}, true},
		"none that makes progress": {[]waiting{{999 * time.Millisecond, false}, {10 * time.Millisecond, true}}, nil, false},
		"none whose request runs":  {[]waiting{{0, false}, {0, false}}, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeAccount(2 * connectionBytes)
			var closed []int
			for n, w := range c.holders {
				h := f.add(func() { closed = append(closed, n) })
				if w.since > 0 {
					f.wait(h, w.since, w.idle)
				}
			}
			if got := f.add(func() {}); (got != nil) != c.ok || !slices.Equal(closed, c.closed) {
				t.Errorf("got admitted %t after closing %v, want %t after %v", got != nil, closed, c.ok, c.closed)
			}
			want := NoRoomForConnection
			if c.ok {
				want = Evicted
			}
			if !slices.Equal(f.refused, []Reason{want}) {
				t.Errorf("got reasons %v, want [%s]", f.refused, want)
			}
		})
	}
}

// TestAccountsShareAPool guards against a crowd at one server that leaves no memory to another, and against memory that nobody may use.
func TestAccountsShareAPool(t *testing.T) {
	accounts := NewAccounts(100*connectionBytes, Policy{EvictAfter: time.Hour}, func(Reason) {}, 0.5, 0.2)
	fill := func(a *Account) int {
		n := 0
		for a.add(func() {}) != nil {
			n++
		}
		return n
	}
	if got := fill(accounts[0]); got != 80 {
		t.Errorf("got %d connections at the first account, want 80: all but the share of the other", got)
	}
	if got := fill(accounts[1]); got != 20 {
		t.Errorf("got %d connections at the second account, want its share of 20", got)
	}
	for h := range accounts[0].holders {
		h.close()
	}
	if got := fill(accounts[1]); got != 30 {
		t.Errorf("got %d further connections at the second account, want the 30 that no share has", got)
	}
	if got := fill(accounts[0]); got != 50 {
		t.Errorf("got %d connections at the first account, want its share of 50", got)
	}
}

// TestAccountAddsUp guards against charges that are lost or counted twice, whatever the order of events: they would refuse all
// callers in time, or none.
func TestAccountAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 8 * connectionBytes
		f := newFakeAccount(limit)
		var holders []*holder
		var reserved int64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.Int64Range(0, 2*connectionBytes).Draw(t, "bytes")
			var h *holder
			if len(holders) > 0 {
				h = holders[rapid.IntRange(0, len(holders)-1).Draw(t, "holder")]
			}
			switch kind := rapid.IntRange(0, 6).Draw(t, "kind"); {
			case kind == 0 || h == nil:
				if h = f.add(func() {}); h != nil {
					holders = append(holders, h)
				}
			case kind == 1:
				h.charge(n, 1, NoRoomForBody)
			case kind == 2:
				h.reset(0)
			case kind == 3:
				h.close()
			case kind == 4:
				f.wait(h, time.Duration(n)*time.Millisecond, n%2 == 0)
			case kind == 5 && f.Reserve(n):
				reserved += n
			case kind == 6:
				f.Release(reserved)
				reserved = 0
			}
			held := reserved
			for _, h := range holders {
				held += h.held
				if h.evicted && h.held != 0 {
					t.Fatalf("a closed connection holds %d bytes, want 0", h.held)
				}
			}
			if got := f.Used(); got != held || got > limit {
				t.Fatalf("got %d bytes in use, want %d, at most %d", got, held, limit)
			}
		}
	})
}
