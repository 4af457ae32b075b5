package ratepool

import (
	"maps"
	"slices"
	"time"
)

const (
	// leaseTTL is how long after a stamp of the parent a delegation ends.
	leaseTTL = time.Second
	// startupDelay is how long a new process owns nothing, because the delegation of its predecessor may still be in use.
	startupDelay = leaseTTL
	// validityStep is the step to which the validity of passed-on delegations is rounded down, so that few groups result.
	validityStep = 50 * time.Millisecond
	// maxShares bounds the shares in one message. Delegations beyond it are not passed on.
	maxShares = 256
	// maxExcept bounds the exceptions in one message. A message with more delegates nothing.
	maxExcept = 4096
)

// childID identifies a child node. A restarted process is a different child.
type childID struct {
	instance    string
	incarnation uint64
}

// lease is what one child has delegated. A lease without parts was released; it is kept until no earlier message of the child can be
// accepted any more.
type lease struct {
	sequence uint64
	// releasedUntil is when a released lease is removed; zero for others.
	releasedUntil time.Duration
	parts         []leasedPart
	except        map[string]float64
}

// leasedPart is a part of a lease that ends at the same time.
type leasedPart struct {
	rule    rule
	members int
	// end is in the parent's boot time.
	end time.Duration
}

// leaseTable holds the delegations to a node.
type leaseTable struct {
	leases map[childID]*lease
	// nextEnd is the earliest end of a part; zero if there is none.
	nextEnd time.Duration
}

// expire removes the parts that have ended and reports whether there were any.
func (t *leaseTable) expire(now time.Duration) (removed bool) {
	if t.nextEnd == 0 || now < t.nextEnd {
		return false
	}
	t.nextEnd = 0
	for id, l := range t.leases {
		kept := l.parts[:0]
		for _, p := range l.parts {
			if p.end > now {
				kept = append(kept, p)
				t.noteEnd(p.end)
			}
		}
		removed = removed || len(kept) < len(l.parts)
		l.parts = kept
		if l.releasedUntil > now {
			t.noteEnd(l.releasedUntil)
		} else if len(kept) == 0 {
			delete(t.leases, id)
		}
	}
	return removed
}

func (t *leaseTable) noteEnd(end time.Duration) {
	if t.nextEnd == 0 || end < t.nextEnd {
		t.nextEnd = end
	}
}

// accept applies the delegation of a message, and reports whether the table changed. incarnation is that of this process. A message
// with a stamp of another process, with an old stamp or out of order changes nothing.
func (t *leaseTable) accept(now time.Duration, incarnation uint64, r Request) bool {
	if r.StampIncarnation != incarnation || r.Stamp > now || len(r.Shares) > maxShares || len(r.Except) > maxExcept {
		return false
	}
	id := childID{instance: r.From, incarnation: r.Incarnation}
	old, known := t.leases[id]
	if known && r.Sequence <= old.sequence {
		return false
	}
	next := &lease{sequence: r.Sequence, except: r.Except}
	for _, s := range r.Shares {
		end := r.Stamp + min(s.ValidFor, leaseTTL)
		if s.Members <= 0 || s.Instances <= 0 || s.Members > s.Instances || end <= now {
			continue
		}
		next.parts = append(next.parts, leasedPart{rule: rule{instances: s.Instances, all: s.All}, members: s.Members, end: end})
		t.noteEnd(end)
	}
	if len(next.parts) == 0 {
		// A message that is late may be the only one since; an earlier delegation stays until its end.
		return false
	}
	if t.leases == nil {
		t.leases = map[childID]*lease{}
	}
	t.leases[id] = next
	return true
}

// release ends the delegation of the child that has sent a message, and reports whether it did.
func (t *leaseTable) release(now time.Duration, incarnation uint64, r Request) bool {
	id := childID{instance: r.From, incarnation: r.Incarnation}
	l, known := t.leases[id]
	if r.StampIncarnation != incarnation || (known && r.Sequence <= l.sequence) {
		return false
	}
	if t.leases == nil {
		t.leases = map[childID]*lease{}
	}
	t.leases[id] = &lease{sequence: r.Sequence, releasedUntil: now + leaseTTL}
	t.noteEnd(now + leaseTTL)
	return true
}

// isEmpty reports whether no child delegates anything.
func (t *leaseTable) isEmpty() bool {
	for _, l := range t.leases {
		if len(l.parts) > 0 {
			return false
		}
	}
	return true
}

// sum returns what all children have delegated together.
func (t *leaseTable) sum() holding {
	var h holding
	for _, l := range t.leases {
		part := holding{members: map[rule]int{}, except: l.except}
		for _, p := range l.parts {
			part.members[p.rule] += p.members
		}
		h.add(part)
	}
	return h
}

// uplink is the state of a node's delegation to its parent. All times are the child's boot time.
type uplink struct {
	// candidates are the possible parents, the first choice first; the parent is the first one that has not failed.
	candidates []Parent
	parent     Parent
	// probeAt holds the candidates that have failed, by ID, and when each is called again.
	probeAt map[string]time.Duration
	// failingSince is when the first of the calls was sent that have failed without a success since; failures is their number.
	failingSince time.Duration
	failures     int
	// stamp is the latest stamp of the parent's process stampIncarnation, received at stampAt. stampIncarnation is zero without one.
	stamp            time.Duration
	stampIncarnation uint64
	stampAt          time.Duration
	// delegatedTo is the incarnation of the only process that may use the delegation, until delegatedUntil.
	delegatedTo    uint64
	delegatedUntil time.Duration
	sequence       uint64
}

// Parent is an instance to which others delegate.
type Parent struct {
	ID, Address string
}

const (
	// failoverAfter is how long, and minFailures in how many calls, a parent must have failed before another one is tried. A single
	// lost connection is no reason for the change, which makes a node hold nothing until its delegation has ended.
	failoverAfter = 400 * time.Millisecond
	minFailures   = 2
	// probeInterval is the time between calls to a candidate that has failed.
	probeInterval = 2 * time.Second
)

// choose sets the parent and reports whether it changed. The stamp of an earlier parent is of no use.
func (u *uplink) choose() bool {
	var next Parent
	if len(u.candidates) > 0 {
		next = u.candidates[0]
	}
	for _, c := range u.candidates {
		if _, failed := u.probeAt[c.ID]; !failed {
			next = c
			break
		}
	}
	maps.DeleteFunc(u.probeAt, func(id string, _ time.Duration) bool {
		return !slices.ContainsFunc(u.candidates, func(c Parent) bool { return c.ID == id })
	})
	if next == u.parent {
		return false
	}
	u.parent = next
	u.stampIncarnation, u.failures = 0, 0
	return true
}

// nextProbe returns a candidate that is preferred to the parent, but has failed, if it is time to call it again.
func (u *uplink) nextProbe(now time.Duration) (Parent, bool) {
	for _, c := range u.candidates {
		if c == u.parent {
			break
		}
		if at, failed := u.probeAt[c.ID]; failed && at <= now {
			u.probeAt[c.ID] = now + probeInterval
			return c, true
		}
	}
	return Parent{}, false
}

// mayRelease reports whether a delegation to the previous parent can be ended by the message: it is still in use there, and the parent
// has not failed.
func (u *uplink) mayRelease(now time.Duration, previous Parent, r Request) bool {
	_, failed := u.probeAt[previous.ID]
	return previous.ID != "" && !failed && u.delegated(now) && r.StampIncarnation != 0 && r.StampIncarnation == u.delegatedTo
}

// released records that the parent's process has ended the delegation.
func (u *uplink) released(now time.Duration, r Reply) {
	if r.Released && r.Incarnation == u.delegatedTo {
		u.delegatedUntil = min(u.delegatedUntil, now)
	}
}

// nextSequence returns the sequence number of the next message.
func (u *uplink) nextSequence() uint64 {
	u.sequence++
	return u.sequence
}

// delegated reports whether the parent may use what the node holds.
func (u *uplink) delegated(now time.Duration) bool { return now < u.delegatedUntil }

// mayDelegate reports whether a message to the parent may carry a delegation: the parent has sent a stamp that is recent enough,
// and no other process may use an earlier delegation.
func (u *uplink) mayDelegate(now time.Duration) bool {
	return u.stampIncarnation != 0 && now < u.stampAt+leaseTTL && (u.delegatedTo == u.stampIncarnation || !u.delegated(now))
}

// delegate records that a message with a delegation is sent to the parent.
func (u *uplink) delegate(validFor time.Duration) {
	u.delegatedTo = u.stampIncarnation
	u.delegatedUntil = max(u.delegatedUntil, u.stampAt+validFor)
}

// succeed records a reply of the parent. recovered is true for the first one after failures, newProcess for the first one of a process.
func (u *uplink) succeed(now time.Duration, r Reply) (recovered, newProcess bool) {
	recovered, newProcess = u.failures > 0, u.stampIncarnation != r.Incarnation
	u.failures = 0
	delete(u.probeAt, u.parent.ID)
	if newProcess || r.Stamp > u.stamp {
		// Replies may arrive in another order.
		u.stamp, u.stampIncarnation, u.stampAt = r.Stamp, r.Incarnation, now
	}
	return recovered, newProcess
}

// fail records that a call that was sent at a time has failed, and reports whether it is the first one.
func (u *uplink) fail(sentAt, now time.Duration) bool {
	if u.failures == 0 {
		u.failingSince = sentAt
	}
	u.failures++
	if u.failures >= minFailures && now-u.failingSince >= failoverAfter {
		if u.probeAt == nil {
			u.probeAt = map[string]time.Duration{}
		}
		u.probeAt[u.parent.ID] = now + probeInterval
	}
	return u.failures == 1
}
