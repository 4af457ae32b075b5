package idempotency_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"medlarpond.dev/core/services/idempotency"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.steps": "40"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var errUnreachable = errors.New("unreachable")

// fleet simulates instances and the connections between them.
type fleet struct {
	mu          sync.Mutex
	seats       []string
	claimStores map[string]*idempotency.ClaimStore
	claimers    map[string]*idempotency.Claimer
	// unreachable holds the pairs of instances whose calls fail, and dropsAnswers those whose claims are executed but
	// whose answers are lost. Both are ordered as caller and callee.
	unreachable, dropsAnswers map[[2]string]bool
}

func newFleet(instances int) *fleet {
	f := &fleet{
		claimStores: map[string]*idempotency.ClaimStore{}, claimers: map[string]*idempotency.Claimer{},
		unreachable: map[[2]string]bool{}, dropsAnswers: map[[2]string]bool{},
	}
	for n := range instances {
		f.add(fmt.Sprintf("entry-%d", n))
	}
	return f
}

func (f *fleet) add(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seats = append(slices.Clone(f.seats), id)
	f.claimStores[id] = idempotency.NewClaimStore()
	reach := func(to string) error {
		if f.unreachable[[2]string{id, to}] {
			return errUnreachable
		}
		return nil
	}
	f.claimers[id] = idempotency.NewClaimer(id, f.seatIDs, f.claimStores[id], idempotency.PeerCalls{
		Claim: func(_ context.Context, to string, c idempotency.Claim) (idempotency.Answer, error) {
			if err := reach(to); err != nil {
				return "", err
			}
			answer := f.claimStore(to).Claim(c)
			if f.dropsAnswers[[2]string{id, to}] {
				return "", errUnreachable
			}
			return answer, nil
		},
		Withdraw: func(_ context.Context, to string, c idempotency.Claim) error {
			if err := reach(to); err != nil {
				return err
			}
			f.claimStore(to).Withdraw(c)
			return nil
		},
		Adopt: func(_ context.Context, to string, entries []idempotency.Entry) error {
			if err := reach(to); err != nil {
				return err
			}
			f.claimStore(to).Adopt(entries)
			return nil
		},
	})
}

func (f *fleet) seatIDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seats
}

func (f *fleet) claimStore(id string) *idempotency.ClaimStore {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.claimStores[id]
}

// replaceFirstSeat removes the first seat and adds another.
func (f *fleet) replaceFirstSeat(id string) {
	f.mu.Lock()
	f.seats = slices.Clone(f.seats[1:])
	f.mu.Unlock()
	f.add(id)
}

// TestAtMostOnce claims keys through instances with random connection failures, and checks that no key is granted
// twice.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 7).Draw(t, "instances"))
		granted := map[idempotency.Key]idempotency.Claim{}
		next := uint64(0)
		instance := rapid.Custom(func(t *rapid.T) string { return rapid.SampledFrom(f.seats).Draw(t, "instance") })
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				next++
				claim := idempotency.Claim{Key: idempotency.Key{rapid.Byte().Draw(t, "key") % 4}, ID: next}
				if f.claimers[instance.Draw(t, "at")].Claim(context.Background(), claim) != idempotency.ResultGranted {
					return
				}
				if earlier, ok := granted[claim.Key]; ok {
					t.Fatalf("claims %d and %d of the same key were both granted, want only one", earlier.ID, claim.ID)
				}
				granted[claim.Key] = claim
			},
			"withdraw": func(t *rapid.T) {
				for key, claim := range granted {
					f.claimers[instance.Draw(t, "at")].Withdraw(context.Background(), claim)
					delete(granted, key)
					return
				}
				t.Skip()
			},
			"cut":  func(t *rapid.T) { f.unreachable[[2]string{instance.Draw(t, "from"), instance.Draw(t, "to")}] = true },
			"lose": func(t *rapid.T) { f.dropsAnswers[[2]string{instance.Draw(t, "from"), instance.Draw(t, "to")}] = true },
			"heal": func(*rapid.T) { clear(f.unreachable); clear(f.dropsAnswers) },
		})
	})
}

// TestHandoffOnSeatChanges checks that a key is still stored after all instances were replaced one by one, and that it
// expires after KeyTTL.
func TestHandoffOnSeatChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		run := func(id string) {
			go func() { _ = f.claimers[id].Run(ctx) }()
		}
		for _, id := range f.seats {
			run(id)
		}
		key := idempotency.Key{1}
		if got := f.claimers["entry-0"].Claim(ctx, idempotency.Claim{Key: key, ID: 1}); got != idempotency.ResultGranted {
			t.Fatalf("got %s for a new key, want granted", got)
		}
		for n := range 5 {
			time.Sleep(time.Second)
			id := fmt.Sprintf("entry-%d", 5+n)
			f.replaceFirstSeat(id)
			run(id)
		}
		time.Sleep(time.Second)
		if got := f.claimers["entry-9"].Claim(ctx, idempotency.Claim{Key: key, ID: 2}); got != idempotency.ResultDuplicate {
			t.Errorf("got %s after all instances were replaced, want duplicate", got)
		}
		time.Sleep(idempotency.KeyTTL)
		if got := f.claimers["entry-9"].Claim(ctx, idempotency.Claim{Key: key, ID: 3}); got != idempotency.ResultGranted {
			t.Errorf("got %s after the key expired, want granted", got)
		}
	})
}
