package relay

import (
	"context"
	"time"

	"medlarpond.dev/core/modules/boottime"
)

// Topic is one kind of keys that all instances follow.
type Topic struct {
	name      string
	relay     *Relay
	reachable func() bool
	log       *log
	// position is where this instance is in the log of its leader; used by its one follower only.
	position struct{ log, number uint64 }
}

// Append adds a change that this instance has learnt.
func (t *Topic) Append(c Change) { t.log.append(c) }

// Confirm notes that this instance knows every change up to a revision, by a question that was sent at a boot time.
func (t *Topic) Confirm(asked time.Duration, revision uint64) { t.log.confirm(asked, revision) }

// Relayed reports whether there is an instance to ask instead of the store.
func (t *Topic) Relayed() bool {
	_, ok := t.relay.Leader()
	return ok
}

// Follow asks the leader for changes after a revision up to which this instance knows all. It returns false if the store
// has to be asked instead.
func (t *Topic) Follow(ctx context.Context, revision uint64) (Answer, bool) {
	leader, ok := t.relay.Leader()
	if !ok {
		return Answer{}, false
	}
	answer, ok := t.relay.ask(ctx, leader, Question{
		Topic: t.name, Log: t.position.log, Position: t.position.number, Revision: revision,
	})
	if !ok {
		return Answer{}, false
	}
	t.position.log, t.position.number = answer.Log, answer.Position
	return answer, true
}

// answer answers a follower, at the latest when the context ends.
func (t *Topic) answer(ctx context.Context, q Question) Answer {
	arrived := boottime.Now()
	for {
		if !t.reachable() {
			return Answer{Lost: true}
		}
		a, changed := t.log.since(q, arrived)
		if a.Lost || a.Whole || len(a.Changes) > 0 || ctx.Err() != nil {
			return a
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
