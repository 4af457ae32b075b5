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

func registered(id string, incarnation uint64, domain string) membership.FleetMember {
	return membership.FleetMember{
		ID: id, Incarnation: incarnation, Region: domain[:2], FailureDomain: domain, Peer: "peer-of-" + id,
		State: membership.StateReady,
	}
}

func seatHolders(f membership.Fleet) []string {
	var ids []string
	for _, s := range f.Seats() {
		ids = append(ids, fmt.Sprintf("%s/%d", s.ID, s.Incarnation))
	}
	return ids
}

// TestSeatAssignment checks which members hold seats after each change, and whether a new epoch starts.
func TestSeatAssignment(t *testing.T) {
	var f membership.Fleet
	for n := range 9 {
		f = f.WithMember(registered(fmt.Sprintf("i%d", n), 1, fmt.Sprintf("r%d-%c", n%3, 'a'+n%2)))
	}
	if got := len(f.Seats()); got != membership.MaxSeats || f.Epoch != membership.MaxSeats {
		t.Fatalf("got %d seats in epoch %d, want MaxSeats seats in epoch MaxSeats", got, f.Epoch)
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
			"member registers again", func(f membership.Fleet) membership.Fleet { return f.WithMember(registered("i0", 1, "r0-a")) },
			[]string{"i0/1", "i1/1", "i2/1", "i3/1", "i4/1", "i5/1", "i6/1"},
			0,
		},
		{
			"member without a seat is removed", func(f membership.Fleet) membership.Fleet { return f.WithoutMember("i8", 1) },
			[]string{"i0/1", "i1/1", "i2/1", "i3/1", "i4/1", "i5/1", "i6/1"},
			0,
		},
		{
			"seat holder leaves and a member in its failure domain gets the seat", func(f membership.Fleet) membership.Fleet { return f.WithMember(leaving) },
			[]string{"i0/1", "i1/1", "i3/1", "i4/1", "i5/1", "i6/1", "i8/1"},
			1,
		},
		{
			"seat holder is removed", func(f membership.Fleet) membership.Fleet { return f.WithoutMember("i1", 1) },
			[]string{"i0/1", "i2/1", "i3/1", "i4/1", "i5/1", "i6/1", "i7/1"},
			1,
		},
		{
			"earlier process of a seat holder is removed", func(f membership.Fleet) membership.Fleet { return f.WithoutMember("i1", 0) },
			[]string{"i0/1", "i1/1", "i2/1", "i3/1", "i4/1", "i5/1", "i6/1"},
			0,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := test.change(f)
			if !slices.Equal(seatHolders(got), test.want) || got.Epoch != f.Epoch+test.epochs {
				t.Errorf("got %v in epoch %d, want %v in epoch %d", seatHolders(got), got.Epoch, test.want, f.Epoch+test.epochs)
			}
		})
	}
}

// TestReplacedProcessIsMarkedGone checks that a seat is marked as gone when a later process with its ID, or another
// process with its address, registers.
func TestReplacedProcessIsMarkedGone(t *testing.T) {
	f := membership.Fleet{}.WithMember(registered("a", 1, "r1-a"))
	byID := f.WithMember(registered("a", 2, "r1-a"))
	if byID.Epoch != 2 || len(byID.OpenSets) != 1 || !byID.OpenSets[0].Seats[0].Gone {
		t.Errorf("got %+v, want the seat replaced by ID marked as gone in a new epoch", byID)
	}
	other := registered("b", 1, "r1-a")
	other.Peer = "peer-of-a"
	byAddress := f.WithMember(other)
	if len(byAddress.Members) != 1 || !byAddress.OpenSets[0].Seats[0].Gone {
		t.Errorf("got %+v, want the member replaced by address removed and its seat marked as gone", byAddress)
	}
	all := func(membership.SeatSet) bool { return true }
	if kept := byID.WithoutClosedSets(all); len(kept.OpenSets) != 1 {
		t.Errorf("got %+v, want the open set kept", kept)
	}
	closed := byID.WithClosedSets(5, all)
	if removed := closed.WithoutClosedSets(all); closed.Revision != 5 || len(removed.OpenSets) != 0 {
		t.Errorf("got %+v, want the closed set removed and revision 5", removed)
	}
}

// TestConcurrentFleetUpdates checks that members that register concurrently, while responses of the store get lost,
// are all in the record at the end.
func TestConcurrentFleetUpdates(t *testing.T) {
	p := standin.New()
	server := httptest.NewServer(p)
	defer server.Close()
	store, _ := platform.NewHTTP(server.URL, time.Second)
	p.SetFaults(standin.Faults{LoseWriteResponse: true})
	time.AfterFunc(50*time.Millisecond, func() { p.SetFaults(standin.Faults{}) })
	var group sync.WaitGroup
	for n := range 10 {
		group.Go(func() {
			fleetStore := membership.NewFleetStore(store, zap.NewNop())
			m := registered(fmt.Sprintf("i%d", n), 1, "r1-a")
			err := fleetStore.Update(context.Background(), func(f membership.Fleet) (membership.Fleet, bool) {
				_, ok := f.Member(m.ID)
				return f.WithMember(m), !ok
			})
			if err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	fleetStore := membership.NewFleetStore(store, zap.NewNop())
	if err := fleetStore.Read(context.Background()); err != nil {
		t.Fatal(err)
	}
	if f := fleetStore.Fleet(); len(f.Members) != 10 || len(f.Seats()) != membership.MaxSeats || f.Epoch != membership.MaxSeats {
		t.Errorf("got %d members, %d seats, epoch %d, want 10 members, MaxSeats seats, epoch MaxSeats", len(f.Members), len(f.Seats()), f.Epoch)
	}
}

// TestOlderRecordIsNotAdopted checks that the newest known record is kept, and written again, after the store was
// restored to an older state.
func TestOlderRecordIsNotAdopted(t *testing.T) {
	p := standin.New()
	server := httptest.NewServer(p)
	defer server.Close()
	store, _ := platform.NewHTTP(server.URL, time.Second)
	fleetStore := membership.NewFleetStore(store, zap.NewNop())
	add := func(id string) {
		t.Helper()
		if err := fleetStore.Update(context.Background(), func(f membership.Fleet) (membership.Fleet, bool) {
			return f.WithMember(registered(id, 1, "r1-a")), true
		}); err != nil {
			t.Fatal(err)
		}
	}
	add("a")
	saved := p.Save()
	add("b")
	add("c")
	p.Restore(saved)
	if err := fleetStore.Read(context.Background()); err != nil {
		t.Fatal(err)
	}
	if f := fleetStore.Fleet(); len(f.Members) != 3 {
		t.Fatalf("got %d members after the store was restored, want 3", len(f.Members))
	}
	add("d")
	fresh := membership.NewFleetStore(store, zap.NewNop())
	if err := fresh.Read(context.Background()); err != nil {
		t.Fatal(err)
	}
	if f := fresh.Fleet(); len(f.Members) != 4 || f.Epoch != 4 {
		t.Errorf("got %d members in epoch %d in the store, want 4 in epoch 4", len(f.Members), f.Epoch)
	}
}
