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

// callTimeout bounds the calls of these tests.
const callTimeout = 200 * time.Millisecond

// startRequest starts an instance that answers calls about requests.
func startRequest(t *testing.T, id string) (membership.Member, *idempotency.ClaimStore, *crash.Guard) {
	t.Helper()
	register := idempotency.NewClaimStore()
	guard := crash.New(id, func() []string { return []string{id} }, nil, func(context.Context, crash.Fingerprint, crash.Event) {})
	server := modulepeer.NewServer()
	if err := peer.RegisterRequest(server, register, guard); err != nil {
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
	return membership.Member{ID: id, Peer: l.Addr().String(), State: membership.StateReady}, register, guard
}

// TestRequestCalls makes every call about requests over sockets.
func TestRequestCalls(t *testing.T) {
	member, register, guard := startRequest(t, "entry-2")
	pool := modulepeer.NewPool()
	t.Cleanup(pool.Close)
	calls := peer.NewRequests("entry-1", membership.NewTable(member), pool, callTimeout)
	seams := calls.Seams()
	ctx := context.Background()
	first, second := idempotency.Claim{Key: idempotency.Key{1}, ID: 1}, idempotency.Claim{Key: idempotency.Key{1}, ID: 2}
	claim := func(c idempotency.Claim) idempotency.Answer {
		answer, err := seams.Claim(ctx, "entry-2", c)
		if err != nil {
			t.Fatal(err)
		}
		return answer
	}
	answers := []idempotency.Answer{claim(first), claim(second)}
	if err := seams.Withdraw(ctx, "entry-2", first); err != nil {
		t.Fatal(err)
	}
	answers = append(answers, claim(second))
	adopted := idempotency.Claim{Key: idempotency.Key{2}, ID: 3}
	if err := seams.Adopt(ctx, "entry-2", []idempotency.Entry{{Claim: adopted, Left: time.Minute}}); err != nil {
		t.Fatal(err)
	}
	answers = append(answers, register.Claim(idempotency.Claim{Key: adopted.Key, ID: 4}))
	want := []idempotency.Answer{idempotency.AnswerGranted, idempotency.AnswerDuplicate, idempotency.AnswerGranted, idempotency.AnswerDuplicate}
	if !slices.Equal(answers, want) {
		t.Errorf("got %v, want %v", answers, want)
	}
	f := crash.Fingerprint{1}
	calls.Tell(ctx, f, crash.EventCrashed)
	if !guard.IsSuspect(f) {
		t.Error("the other instance does not know the suspect")
	}
	for _, want := range []bool{true, false} {
		if granted, err := calls.Grant(ctx, "entry-2", f); err != nil || granted != want {
			t.Errorf("got %v and %v, want %v", granted, err, want)
		}
	}
}

// TestRequestCallsBounded checks that calls to an instance that is silent or unknown end.
func TestRequestCallsBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	silent := membership.Member{ID: "silent", Peer: l.Addr().String(), State: membership.StateReady}
	pool := modulepeer.NewPool()
	t.Cleanup(pool.Close)
	calls := peer.NewRequests("entry-1", membership.NewTable(silent), pool, callTimeout)
	for _, id := range []string{"silent", "unknown"} {
		if _, err := calls.Grant(context.Background(), id, crash.Fingerprint{}); err == nil {
			t.Errorf("a call to the instance %s succeeded", id)
		}
	}
	calls.Tell(context.Background(), crash.Fingerprint{}, crash.EventCrashed)
}
