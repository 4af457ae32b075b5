package membership_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/platform"
	"medlarpond.dev/core/services/membership"
	standin "medlarpond.dev/core/standin/platform"
)

func registered(id string, incarnation uint64, domain string) membership.Registered {
	return membership.Registered{
		ID: id, Incarnation: incarnation, Region: domain[:2], FailureDomain: domain, Peer: "peer-of-" + id,
		State: membership.StateReady,
	}
}

func seatsOf(f membership.Fleet) []string {
	var ids []string
	for _, s := range f.Seats() {
		ids = append(ids, fmt.Sprintf("%s/%d", s.ID, s.Incarnation))
	}
	return ids
}

// TestSeats checks who holds seats after each change, and when an epoch begins.
func TestSeats(t *testing.T) {
	var f membership.Fleet
	for n := range 9 {
		f = f.With(registered(fmt.Sprintf("i%d", n), 1, fmt.Sprintf("r%d-%c", n%3, 'a'+n%2)))
	}
	if got := len(f.Seats()); got != membership.MaxSeats || f.Epoch != membership.MaxSeats {
		t.Fatalf("got %d seats in epoch %d", got, f.Epoch)
	}
	leaving := registered("i2", 1, "r2-a")
	leaving.State = membership.StateLeaving
	tests := []struct {
		name   string
		change func(membership.Fleet) membership.Fleet
		want   []string
		epochs uint64
	}{
		{
			"the same member again", func(f membership.Fleet) membership.Fleet { return f.With(registered("i0", 1, "r0-a")) },
			[]string{"i0/1", "i1/1", "i2/1", "i3/1", "i4/1", "i5/1", "i6/1"},
			0,
		},
		{
			"a member without a seat dies", func(f membership.Fleet) membership.Fleet { return f.Without("i8", 1) },
			[]string{"i0/1", "i1/1", "i2/1", "i3/1", "i4/1", "i5/1", "i6/1"},
			0,
		},
		{
			"a holder leaves: its failure domain is served again", func(f membership.Fleet) membership.Fleet { return f.With(leaving) },
			[]string{"i0/1", "i1/1", "i3/1", "i4/1", "i5/1", "i6/1", "i8/1"},
			1,
		},
		{
			"a holder dies", func(f membership.Fleet) membership.Fleet { return f.Without("i1", 1) },
			[]string{"i0/1", "i2/1", "i3/1", "i4/1", "i5/1", "i6/1", "i7/1"},
			1,
		},
		{
			"an earlier process with the ID is named", func(f membership.Fleet) membership.Fleet { return f.Without("i1", 0) },
			[]string{"i0/1", "i1/1", "i2/1", "i3/1", "i4/1", "i5/1", "i6/1"},
			0,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := test.change(f)
			if !slices.Equal(seatsOf(got), test.want) || got.Epoch != f.Epoch+test.epochs {
				t.Errorf("got %v in epoch %d, want %v in epoch %d", seatsOf(got), got.Epoch, test.want, f.Epoch+test.epochs)
			}
		})
	}
}

// TestReplacedProcessIsGone checks that a later process with the ID or the address of a seat closes the earlier one's.
func TestReplacedProcessIsGone(t *testing.T) {
	f := membership.Fleet{}.With(registered("a", 1, "r1-a"))
	byID := f.With(registered("a", 2, "r1-a"))
	if byID.Epoch != 2 || len(byID.Open) != 1 || !byID.Open[0].Seats[0].Gone {
		t.Errorf("replaced under the same ID: %+v", byID)
	}
	other := registered("b", 1, "r1-a")
	other.Peer = "peer-of-a"
	byAddress := f.With(other)
	if len(byAddress.Members) != 1 || !byAddress.Open[0].Seats[0].Gone {
		t.Errorf("replaced under the same address: %+v", byAddress)
	}
	all := func(membership.SeatSet) bool { return true }
	if kept := byID.WithoutClosed(all); len(kept.Open) != 1 {
		t.Errorf("a set that is not closed is gone: %+v", kept)
	}
	closed := byID.WithClosed(5, all)
	if gone := closed.WithoutClosed(all); closed.Revision != 5 || len(gone.Open) != 0 {
		t.Errorf("a closed set stays: %+v", gone)
	}
}

// TestRegistrarRace checks that members which register at once, with lost answers, all end up in the record.
func TestRegistrarRace(t *testing.T) {
	p := standin.New()
	server := httptest.NewServer(p)
	defer server.Close()
	store, _ := platform.NewHTTP(server.URL, time.Second)
	p.SetFaults(standin.Faults{LoseWriteAnswer: true})
	time.AfterFunc(50*time.Millisecond, func() { p.SetFaults(standin.Faults{}) })
	var group sync.WaitGroup
	for n := range 10 {
		group.Go(func() {
			r := membership.NewRegistrar(store, zap.NewNop())
			m := registered(fmt.Sprintf("i%d", n), 1, "r1-a")
			err := r.Change(context.Background(), func(f membership.Fleet) (membership.Fleet, bool) {
				_, ok := f.Member(m.ID)
				return f.With(m), !ok
			})
			if err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	r := membership.NewRegistrar(store, zap.NewNop())
	if err := r.Read(context.Background()); err != nil {
		t.Fatal(err)
	}
	if f := r.Fleet(); len(f.Members) != 10 || len(f.Seats()) != membership.MaxSeats || f.Epoch != membership.MaxSeats {
		t.Errorf("got %d members, %d seats, epoch %d", len(f.Members), len(f.Seats()), f.Epoch)
	}
}

// TestOlderRecordIsNotAdopted checks that a store that comes back with less gets the newest record known.
func TestOlderRecordIsNotAdopted(t *testing.T) {
	p := standin.New()
	server := httptest.NewServer(p)
	defer server.Close()
	store, _ := platform.NewHTTP(server.URL, time.Second)
	r := membership.NewRegistrar(store, zap.NewNop())
	add := func(id string) {
		t.Helper()
		if err := r.Change(context.Background(), func(f membership.Fleet) (membership.Fleet, bool) {
			return f.With(registered(id, 1, "r1-a")), true
		}); err != nil {
			t.Fatal(err)
		}
	}
	add("a")
	saved := p.Save()
	add("b")
	add("c")
	p.Restore(saved)
	if err := r.Read(context.Background()); err != nil {
		t.Fatal(err)
	}
	if f := r.Fleet(); len(f.Members) != 3 {
		t.Fatalf("went back to %d members", len(f.Members))
	}
	add("d")
	fresh := membership.NewRegistrar(store, zap.NewNop())
	if err := fresh.Read(context.Background()); err != nil {
		t.Fatal(err)
	}
	if f := fresh.Fleet(); len(f.Members) != 4 || f.Epoch != 4 {
		t.Errorf("the store has %d members in epoch %d", len(f.Members), f.Epoch)
	}
}
