package share_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"medlarpond.dev/core/services/share"
)

// epochOf returns an epoch whose seats are spread over three regions.
func epochOf(number uint64, ids ...string) share.Epoch {
	e := share.Epoch{Number: number}
	for n, id := range ids {
		e.Seats = append(e.Seats, share.Seat{ID: id, Region: fmt.Sprintf("r%d", n%3)})
	}
	return e
}

// TestOwnedSharesSumToLimit checks that the shares of all seats add up to exactly the limit, whatever its size.
func TestOwnedSharesSumToLimit(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "g"}
	for _, total := range []int{1, 3, 7, 10, 100} {
		for _, region := range []string{"", "r0", "nowhere"} {
			account := share.Account{Kind: share.KindTarget, Name: fmt.Sprintf("t%d", total)}
			sum, largest := 0, 0
			for _, id := range ids {
				l := share.NewLedger(func() {})
				l.SetEpoch(epochOf(1, ids...), nil, id)
				l.SetLimits(map[share.Account]share.Limit{account: {Units: total, Region: region}})
				if free := l.FreeUnits(account); free != 0 {
					t.Errorf("seat %s owns %d units before activation, want 0", id, free)
				}
				l.Activate(1, true)
				sum += l.FreeUnits(account)
				largest = max(largest, l.FreeUnits(account))
			}
			seats := map[string]int{"": 7, "r0": 3, "nowhere": 7}[region]
			if want := (total + seats - 1) / seats; sum != total || largest != want {
				t.Errorf("limit %d in region %q: got %d units in total and at most %d per seat, want the whole limit and %d", total, region, sum, largest, want)
			}
		}
	}
}

// TestEpochChange checks what a process may use while the seats change.
func TestEpochChange(t *testing.T) {
	account := share.Account{Kind: share.KindRegion, Name: "r"}
	limit := share.Limit{Units: 12, Hold: 5 * time.Second}
	tests := []struct {
		name   string
		second share.Epoch
		open   []share.Epoch
		// before, after and later are the free units after adoption, after activation and after the hold time.
		settled              bool
		before, after, later int
	}{
		{"fewer seats, all settled", epochOf(2, "a", "b"), nil, true, 4, 6, 6},
		{"fewer seats, one not settled", epochOf(2, "a", "b"), nil, false, 4, 4, 6},
		{"more seats", epochOf(2, "a", "b", "c", "d"), nil, true, 3, 3, 3},
		{"skipped epochs have ended", epochOf(4, "a", "b"), nil, true, 4, 6, 6},
		{"skipped epochs are open", epochOf(4, "a", "b"), []share.Epoch{epochOf(2, "b", "c"), epochOf(3, "a")}, true, 0, 6, 6},
		{"a skipped open epoch has more seats", epochOf(3, "a", "b"), []share.Epoch{epochOf(2, "a", "b", "c", "d")}, true, 3, 6, 6},
		{"without a seat", epochOf(2, "b", "c"), nil, true, 0, 0, 0},
		{"an older epoch", epochOf(1, "a"), nil, true, 4, 4, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := share.NewLedger(func() {})
				l.SetEpoch(epochOf(1, "a", "b", "c"), nil, "a")
				l.SetLimits(map[share.Account]share.Limit{account: limit})
				l.Activate(1, true)
				l.SetEpoch(test.second, test.open, "a")
				got := []int{l.FreeUnits(account)}
				l.Activate(test.second.Number, test.settled)
				got = append(got, l.FreeUnits(account))
				time.Sleep(limit.Hold + 2*time.Second)
				l.SetLimits(map[share.Account]share.Limit{account: limit})
				got = append(got, l.FreeUnits(account))
				if want := []int{test.before, test.after, test.later}; fmt.Sprint(got) != fmt.Sprint(want) {
					t.Errorf("got %v free units, want %v", got, want)
				}
			})
		})
	}
}

// TestSettled checks that a process is not settled while more units than its new share are in use.
func TestSettled(t *testing.T) {
	account := share.Account{Kind: share.KindRegion, Name: "r"}
	l := share.NewLedger(func() {})
	l.SetEpoch(epochOf(1, "a"), nil, "a")
	l.SetLimits(map[share.Account]share.Limit{account: {Units: 2, Hold: time.Second}})
	l.Activate(1, true)
	for n, want := range []bool{true, true, false} {
		if l.Acquire(account) != want {
			t.Fatalf("acquire unit %d: got %v, want the opposite", n, !want)
		}
	}
	l.SetEpoch(epochOf(2, "a", "b"), nil, "a")
	if l.Settled(2) || l.Settled(3) {
		t.Error("settled with more units in use than the share, want not settled")
	}
	l.Release(account)
	if !l.Settled(2) || l.Settled(3) {
		t.Error("with one unit in use: want settled in epoch 2 and not in epoch 3")
	}
}

// TestSmallBurst checks that a burst of fewer tokens than seats is divided into whole tokens.
func TestSmallBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account := share.Account{Kind: share.KindTeam, Name: "small"}
		ids := []string{"a", "b", "c", "d", "e", "f", "g"}
		owners, owned := 0, 0
		for _, id := range ids {
			l := share.NewLedger(func() {})
			l.SetEpoch(epochOf(1, ids...), nil, id)
			l.SetLimits(map[share.Account]share.Limit{account: {Rate: 20, Burst: 5}})
			l.Activate(1, true)
			time.Sleep(2 * time.Second)
			n := takeAll(l, account)
			owned += n
			owners += min(n, 1)
		}
		if owners != 5 || owned != 5 {
			t.Errorf("got %d seats that own %d tokens, want 5 seats that own 5", owners, owned)
		}
	})
}
