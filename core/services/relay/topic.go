package relay

import (
	"context"
	"time"

	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/boottime"
)

// Topic is a group of keys that all instances follow.
type Topic struct {
	name      string
	relay     *Relay
	reachable func() bool
	unbroken  func() time.Duration
	log       *log
	// position is this instance's position in the log of its leader. Only Poll uses it, which must not be called
	// concurrently.
	position struct{ log, number uint64 }
}

// Append adds a change that this instance has received to its log.
func (t *Topic) Append(c Change) { t.log.append(c) }

// Confirm records that this instance knows every change up to a revision, according to a response of the store. sentAt
// is the boot time at which the request was sent.
func (t *Topic) Confirm(sentAt time.Duration, revision uint64) { t.log.confirm(sentAt, revision) }

// HasLeader reports whether there is a leader to poll instead of the store.
func (t *Topic) HasLeader() bool {
	_, ok := t.leader()
	return ok
}

// leader returns the instance to poll; false if the store must be polled instead. No other instance follows one that is not
// registered or has not listed the keys, so in both cases any other instance may be polled without forming a cycle.
func (t *Topic) leader() (roster.Instance, bool) {
	if leader, ok := t.relay.Leader(); ok {
		return leader, true
	}
	other, registered, ok := t.relay.firstOther()
	return other, ok && (!registered || !t.log.isConfirmed())
}

// Poll polls the leader for changes after revision, up to which this instance knows every change. It returns false if
// the store must be polled instead. It must not be called concurrently.
func (t *Topic) Poll(ctx context.Context, revision uint64) (PollResponse, bool) {
	return t.PollWithin(ctx, revision, 0)
}

// PollWithin is like Poll, but the leader waits for changes at most for a time, or for as long as Poll does if it is zero.
func (t *Topic) PollWithin(ctx context.Context, revision uint64, wait time.Duration) (PollResponse, bool) {
	leader, ok := t.leader()
	if !ok {
		return PollResponse{}, false
	}
	response, ok := t.relay.pollLeader(ctx, leader, PollRequest{
		Topic: t.name, Log: t.position.log, Position: t.position.number, Revision: revision, Wait: wait,
	})
	if !ok {
		return PollResponse{}, false
	}
	t.position.log, t.position.number = response.Log, response.Position
	return response, true
}

// waitForChanges answers the poll of a follower as soon as there are changes, at the latest when the context is done.
func (t *Topic) waitForChanges(ctx context.Context, request PollRequest) PollResponse {
	receivedAt := boottime.Now()
	for {
		if !t.reachable() {
			return PollResponse{Lost: true}
		}
		response, changed := t.log.since(request, receivedAt)
		response.Unbroken = t.unbroken()
		if response.Lost || response.Whole || len(response.Changes) > 0 || ctx.Err() != nil {
			return response
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
