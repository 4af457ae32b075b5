package peer

import (
	"context"
	"sync"
	"time"

	"medlarpond.dev/core/modules/peer"
	"medlarpond.dev/core/services/crash"
	"medlarpond.dev/core/services/idempotency"
	"medlarpond.dev/core/services/membership"
)

const (
	// requestName is the name under which the methods of Request are registered.
	requestName = "request"
	// maxParallelCalls is the maximum number of instances that are notified of an event at the same time.
	maxParallelCalls = 32
)

// Request serves the calls about idempotency keys and requests suspected of crashing targets. Its exported methods are called by net/rpc.
type Request struct {
	claims *idempotency.ClaimStore
	guard  *crash.Guard
}

// ClaimArgs holds the arguments of Request.Claim and Request.Withdraw.
type ClaimArgs struct{ Claim idempotency.Claim }

// ClaimReply is the reply of Request.Claim.
type ClaimReply struct{ Answer idempotency.Answer }

// AdoptArgs holds the arguments of Request.Adopt: granted claims that are handed over.
type AdoptArgs struct{ Entries []idempotency.Entry }

// SuspectArgs holds the arguments of Request.Grant: the fingerprint of a suspected request.
type SuspectArgs struct{ Fingerprint crash.Fingerprint }

// GrantReply is the reply of Request.Grant: whether a suspected request may be attempted once more.
type GrantReply struct{ Granted bool }

// EventArgs holds the arguments of Request.Note: an event of an attempt of a suspected request.
type EventArgs struct {
	Fingerprint crash.Fingerprint
	Event       crash.Event
}

// EmptyReply is an empty reply.
type EmptyReply struct{}

// RegisterRequest registers the methods of Request with a server.
func RegisterRequest(s *peer.Server, claims *idempotency.ClaimStore, guard *crash.Guard) error {
	return s.Register(requestName, &Request{claims: claims, guard: guard})
}

// Claim handles a claim of an idempotency key.
func (r *Request) Claim(args ClaimArgs, reply *ClaimReply) (err error) {
	defer peer.Recover(&err)
	reply.Answer = r.claims.Claim(args.Claim)
	return nil
}

// Withdraw removes a claim of an idempotency key.
func (r *Request) Withdraw(args ClaimArgs, _ *EmptyReply) (err error) {
	defer peer.Recover(&err)
	r.claims.Withdraw(args.Claim)
	return nil
}

// Adopt stores claims that were granted by other instances.
func (r *Request) Adopt(args AdoptArgs, _ *EmptyReply) (err error) {
	defer peer.Recover(&err)
	r.claims.Adopt(args.Entries)
	return nil
}

// Grant grants one more attempt of a suspected request, unless it was already granted or the request is blocked.
func (r *Request) Grant(args SuspectArgs, reply *GrantReply) (err error) {
	defer peer.Recover(&err)
	reply.Granted = r.guard.Grant(args.Fingerprint)
	return nil
}

// Note records an event of an attempt of a suspected request.
func (r *Request) Note(args EventArgs, _ *EmptyReply) (err error) {
	defer peer.Recover(&err)
	r.guard.Record(args.Fingerprint, args.Event)
	return nil
}

// RequestClient calls the methods of Request at other instances.
type RequestClient struct {
	self    string
	table   *membership.Table
	pool    *peer.Pool
	timeout time.Duration
}

// NewRequestClient returns a RequestClient for the instance with the ID self. timeout limits each call.
func NewRequestClient(self string, table *membership.Table, pool *peer.Pool, timeout time.Duration) *RequestClient {
	return &RequestClient{self: self, table: table, pool: pool, timeout: timeout}
}

// IdempotencyCalls returns the calls that concern idempotency keys.
func (r *RequestClient) IdempotencyCalls() idempotency.PeerCalls {
	return idempotency.PeerCalls{
		Claim: func(ctx context.Context, owner string, c idempotency.Claim) (idempotency.Answer, error) {
			reply, err := call[ClaimArgs, ClaimReply](ctx, r, owner, "Claim", ClaimArgs{Claim: c})
			return reply.Answer, err
		},
		Withdraw: func(ctx context.Context, owner string, c idempotency.Claim) error {
			_, err := call[ClaimArgs, EmptyReply](ctx, r, owner, "Withdraw", ClaimArgs{Claim: c})
			return err
		},
		Adopt: func(ctx context.Context, owner string, entries []idempotency.Entry) error {
			_, err := call[AdoptArgs, EmptyReply](ctx, r, owner, "Adopt", AdoptArgs{Entries: entries})
			return err
		},
	}
}

// RequestGrant requests one more attempt of a suspected request from its owner.
func (r *RequestClient) RequestGrant(ctx context.Context, owner string, f crash.Fingerprint) (bool, error) {
	reply, err := call[SuspectArgs, GrantReply](ctx, r, owner, "Grant", SuspectArgs{Fingerprint: f})
	return reply.Granted, err
}

// Broadcast notifies all other instances of an event and waits until they have replied or their calls have failed.
func (r *RequestClient) Broadcast(ctx context.Context, f crash.Fingerprint, e crash.Event) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxParallelCalls)
	for _, m := range r.table.All() {
		if m.ID == r.self {
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			_, _ = call[EventArgs, EmptyReply](ctx, r, m.ID, "Note", EventArgs{Fingerprint: f, Event: e})
		})
	}
	group.Wait()
}

func call[A, R any](ctx context.Context, r *RequestClient, id, method string, args A) (R, error) {
	var zero R
	m, ok := r.table.Get(id)
	if !ok {
		return zero, &peer.ErrUnreachable{Address: id, Cause: context.Canceled}
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	return peer.Call[A, R](ctx, r.pool.Get(m.Peer), requestName+"."+method, args)
}
