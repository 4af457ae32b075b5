package peer_test

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	modulepeer "medlarpond.dev/core/modules/peer"
	"medlarpond.dev/core/routers/peer"
	"medlarpond.dev/core/services/crash"
	"medlarpond.dev/core/services/idempotency"
	"medlarpond.dev/core/services/membership"
)

// callTimeout limits each call.
const callTimeout = 200 * time.Millisecond

// startRequest starts a server with the methods of Request for an instance.
func startRequest(t *testing.T, id string) (membership.Member, *idempotency.ClaimStore, *crash.Guard) {
	t.Helper()
	claims := idempotency.NewClaimStore()
	guard := crash.New(id, func() []string { return []string{id} }, nil, func(context.Context, crash.Fingerprint, crash.Event) {})
	server := modulepeer.NewServer()
	if err := peer.RegisterRequest(server, claims, guard); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		server.Close()
	})
	return membership.Member{ID: id, Peer: l.Addr().String(), State: membership.StateReady}, claims, guard
}

// TestRequestCalls checks every method of Request over sockets.
func TestRequestCalls(t *testing.T) {
	member, claims, guard := startRequest(t, "entry-2")
	pool := modulepeer.NewPool()
	t.Cleanup(pool.Close)
	calls := peer.NewRequestClient("entry-1", membership.NewTable(member), pool, callTimeout)
	keyCalls := calls.IdempotencyCalls()
	ctx := context.Background()
	first, second := idempotency.Claim{Key: idempotency.Key{1}, ID: 1}, idempotency.Claim{Key: idempotency.Key{1}, ID: 2}
	claim := func(c idempotency.Claim) idempotency.Answer {
		answer, err := keyCalls.Claim(ctx, "entry-2", c)
		if err != nil {
			t.Fatal(err)
		}
		return answer
	}
	answers := []idempotency.Answer{claim(first), claim(second)}
	if err := keyCalls.Withdraw(ctx, "entry-2", first); err != nil {
		t.Fatal(err)
	}
	answers = append(answers, claim(second))
	adopted := idempotency.Claim{Key: idempotency.Key{2}, ID: 3}
	if err := keyCalls.Adopt(ctx, "entry-2", []idempotency.Entry{{Claim: adopted, Left: time.Minute}}); err != nil {
		t.Fatal(err)
	}
	answers = append(answers, claims.Claim(idempotency.Claim{Key: adopted.Key, ID: 4}))
	want := []idempotency.Answer{idempotency.AnswerGranted, idempotency.AnswerDuplicate, idempotency.AnswerGranted, idempotency.AnswerDuplicate}
	if !slices.Equal(answers, want) {
		t.Errorf("claims: got %v, want %v", answers, want)
	}
	f := crash.Fingerprint{1}
	calls.Broadcast(ctx, f, crash.EventCrashed)
	if !guard.IsSuspect(f) {
		t.Error("got IsSuspect false at the other instance, want true")
	}
	for _, want := range []bool{true, false} {
		if granted, err := calls.RequestGrant(ctx, "entry-2", f); err != nil || granted != want {
			t.Errorf("got grant %v and error %v, want grant %v", granted, err, want)
		}
	}
}

// TestRequestCallsBounded checks that calls to an unresponsive or unknown instance fail instead of blocking.
func TestRequestCallsBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	unresponsive := membership.Member{ID: "unresponsive", Peer: l.Addr().String(), State: membership.StateReady}
	pool := modulepeer.NewPool()
	t.Cleanup(pool.Close)
	calls := peer.NewRequestClient("entry-1", membership.NewTable(unresponsive), pool, callTimeout)
	for _, id := range []string{"unresponsive", "unknown"} {
		if _, err := calls.RequestGrant(context.Background(), id, crash.Fingerprint{}); err == nil {
			t.Errorf("call to the %s instance succeeded, want an error", id)
		}
	}
	calls.Broadcast(context.Background(), crash.Fingerprint{}, crash.EventCrashed)
}
