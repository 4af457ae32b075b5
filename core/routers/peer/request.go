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
	// tellParallel bounds the instances that are told of an event at the same time.
	tellParallel = 32
)

// Request answers what other instances ask about single requests. Its exported methods are called by net/rpc.
type Request struct {
	register *idempotency.ClaimStore
	guard    *crash.Guard
}

// ClaimArgs asks for an idempotency key.
type ClaimArgs struct{ Claim idempotency.Claim }

// ClaimReply answers ClaimArgs.
type ClaimReply struct{ Answer idempotency.Answer }

// AdoptArgs hands over remembered keys.
type AdoptArgs struct{ Entries []idempotency.Entry }

// SuspectArgs names a suspected request.
type SuspectArgs struct{ Fingerprint crash.Fingerprint }

// GrantReply says whether a suspected request may be sent once more.
type GrantReply struct{ Granted bool }

// EventArgs tells of an attempt of a suspected request.
type EventArgs struct {
	Fingerprint crash.Fingerprint
	Event       crash.Event
}

// Done is the empty reply.
type Done struct{}

// RegisterRequest adds the methods to a server.
func RegisterRequest(s *peer.Server, register *idempotency.ClaimStore, guard *crash.Guard) error {
	return s.Register(requestName, &Request{register: register, guard: guard})
}

// Claim grants an idempotency key.
func (r *Request) Claim(args ClaimArgs, reply *ClaimReply) error {
	reply.Answer = r.register.Claim(args.Claim)
	return nil
}

// Withdraw forgets a claim.
func (r *Request) Withdraw(args ClaimArgs, _ *Done) error {
	r.register.Withdraw(args.Claim)
	return nil
}

// Adopt takes over remembered keys.
func (r *Request) Adopt(args AdoptArgs, _ *Done) error {
	r.register.Adopt(args.Entries)
	return nil
}

// Grant grants one more attempt of a suspected request.
func (r *Request) Grant(args SuspectArgs, reply *GrantReply) error {
	reply.Granted = r.guard.Grant(args.Fingerprint)
	return nil
}

// Note takes in an event.
func (r *Request) Note(args EventArgs, _ *Done) error {
	r.guard.Record(args.Fingerprint, args.Event)
	return nil
}

// Requests makes the calls that Request answers.
type Requests struct {
	self    string
	table   *membership.Table
	pool    *peer.Pool
	timeout time.Duration
}

// NewRequests returns the caller's side of Request for the instance self; timeout bounds each call.
func NewRequests(self string, table *membership.Table, pool *peer.Pool, timeout time.Duration) *Requests {
	return &Requests{self: self, table: table, pool: pool, timeout: timeout}
}

// Seams returns the calls about idempotency keys.
func (r *Requests) Seams() idempotency.PeerCalls {
	return idempotency.PeerCalls{
		Claim: func(ctx context.Context, owner string, c idempotency.Claim) (idempotency.Answer, error) {
			reply, err := call[ClaimArgs, ClaimReply](ctx, r, owner, "Claim", ClaimArgs{Claim: c})
			return reply.Answer, err
		},
		Withdraw: func(ctx context.Context, owner string, c idempotency.Claim) error {
			_, err := call[ClaimArgs, Done](ctx, r, owner, "Withdraw", ClaimArgs{Claim: c})
			return err
		},
		Adopt: func(ctx context.Context, owner string, entries []idempotency.Entry) error {
			_, err := call[AdoptArgs, Done](ctx, r, owner, "Adopt", AdoptArgs{Entries: entries})
			return err
		},
	}
}

// Grant asks the owner of a suspected request for one more attempt.
func (r *Requests) Grant(ctx context.Context, owner string, f crash.Fingerprint) (bool, error) {
	reply, err := call[SuspectArgs, GrantReply](ctx, r, owner, "Grant", SuspectArgs{Fingerprint: f})
	return reply.Granted, err
}

// Tell tells all other instances of an event and waits until they have answered or the context ends.
func (r *Requests) Tell(ctx context.Context, f crash.Fingerprint, e crash.Event) {
	var group sync.WaitGroup
	slots := make(chan struct{}, tellParallel)
	for _, m := range r.table.All() {
		if m.ID == r.self {
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			_, _ = call[EventArgs, Done](ctx, r, m.ID, "Note", EventArgs{Fingerprint: f, Event: e})
		})
	}
	group.Wait()
}

func call[A, R any](ctx context.Context, r *Requests, id, method string, args A) (R, error) {
	var none R
	m, ok := r.table.Get(id)
	if !ok {
		return none, &peer.ErrUnreachable{Address: id, Cause: context.Canceled}
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	return peer.Call[A, R](ctx, r.pool.Get(m.Peer), requestName+"."+method, args)
}
