package membership

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/modules/logging"
	"medlarpond.dev/core/services/configuration"
)

const (
	// staleMemberAge is the time since a member was last seen after which a seat reports it to others.
	staleMemberAge = 1500 * time.Millisecond
	// maxOthers is the maximum number of members that a message reports.
	maxOthers = 32
)

// applyMessage merges a message into the local state; seenAt is a time at which its sender was alive.
func (x *Exchanger) applyMessage(m Message, seenAt time.Time) {
	x.applyFleet(m)
	x.applyRecords(m)
	f := x.FleetStore.Fleet()
	x.Epochs.Report(m.From.ProcessID(), m.Epoch, m.Settled)
	from, ok := withAddresses(f, m.From)
	if !ok {
		return
	}
	matches := x.chainMatches(m)
	if m.Sequence > f.Sequence || !matches {
		// The sender's revision counts only if its history matches the local one and the local fleet record is at least
		// as new.
		from.Revision = 0
	}
	x.Table.Observe(from, seenAt)
	x.checkDivergence(m)
	if sender, ok := f.Member(from.ID); ok && sender.Seat && matches && m.Sequence == f.Sequence {
		x.applyOthers(f, m, seenAt)
	}
}

// chainMatches reports whether the sender's revision is part of the local configuration history.
func (x *Exchanger) chainMatches(m Message) bool {
	chain, ok := x.State.ChainAt(m.From.Revision)
	return ok && chainPrefix(chain) == m.Chain
}

func (x *Exchanger) applyFleet(m Message) {
	if len(m.Fleet) == 0 {
		return
	}
	f, err := DecodeFleet(m.Fleet)
	if err != nil {
		x.Logger.Warn("failed to decode the fleet record of a peer", zap.String(logging.FieldPeer, m.From.ID), zap.Error(err))
		return
	}
	if x.FleetStore.Adopt(f) {
		x.Table.ApplyFleet(f)
	}
}

func (x *Exchanger) applyRecords(m Message) {
	for _, raw := range m.Records {
		record, err := configuration.DecodeRecord(raw)
		if err == nil {
			err = x.State.Apply(record)
		}
		var gap *configuration.ErrGap
		if errors.As(err, &gap) {
			return
		}
		if err != nil {
			x.Logger.Warn("failed to apply a configuration change from a peer", zap.String(logging.FieldPeer, m.From.ID), zap.Error(err))
			return
		}
	}
}

// checkDivergence records whether the sender has a different history at the same revision, and logs the start of a
// divergence.
func (x *Exchanger) checkDivergence(m Message) {
	v := x.State.View()
	if v.Revision != m.From.Revision || v.Revision == 0 {
		return
	}
	differs := chainPrefix(v.Chain) != m.Chain
	x.mu.Lock()
	changed := differs != x.diverged
	x.diverged = differs
	x.mu.Unlock()
	if changed && differs {
		x.Logger.Error("configuration histories of this instance and a peer differ at the same revision", zap.String(logging.FieldPeer, m.From.ID),
			zap.Uint64(logging.FieldRevision, v.Revision))
	}
}

// othersToReport returns the members whose state differs from the fleet record, and those that are unconfirmed, behind
// this instance or not seen for staleMemberAge. It also reports whether the list is complete. Only an instance with a
// seat reports, as others do not receive enough messages to tell.
func (x *Exchanger) othersToReport(f Fleet, revision uint64) ([]MemberReport, bool) {
	self, ok := f.Member(x.Self().ID)
	if !ok || !self.Seat {
		return nil, false
	}
	var others []MemberReport
	for _, e := range x.Table.entries() {
		m, registered := f.Member(e.ID)
		registered = registered && m.Incarnation == e.Incarnation
		age := x.Table.entryAge(e)
		current := registered && e.State == m.State && e.Confirmed && e.Revision >= revision && age < staleMemberAge
		if e.ID == self.ID || current {
			continue
		}
		if len(others) == maxOthers {
			return others, false
		}
		if registered {
			e.Member = e.withoutAddresses()
		}
		others = append(others, MemberReport{Member: e.Member, Age: age})
	}
	return others, true
}

// applyOthers merges the statuses that a seat reports of other members. If the report is complete, all members that it
// does not list are alive and confirmed, and have applied the seat's revision.
func (x *Exchanger) applyOthers(f Fleet, m Message, seenAt time.Time) {
	listed := map[string]bool{}
	for _, other := range m.Others {
		listed[other.Member.ID] = true
		member, ok := withAddresses(f, other.Member)
		if !ok || member.ID == x.Self().ID {
			continue
		}
		x.Table.Observe(member, seenAt.Add(-other.Age))
		x.FailureDetector.record(m.From.ID, member.ProcessID(), other.Age, seenAt)
	}
	if !m.Digest {
		return
	}
	for _, registered := range f.Members {
		if listed[registered.ID] || registered.ID == x.Self().ID || registered.ID == m.From.ID {
			continue
		}
		member := registered.toMember()
		member.Revision, member.Confirmed = m.From.Revision, true
		x.Table.Observe(member, seenAt.Add(-staleMemberAge))
		x.FailureDetector.record(m.From.ID, member.ProcessID(), 0, seenAt)
	}
}

// withoutAddresses returns the member without the fields that are in the fleet record.
func (m Member) withoutAddresses() Member {
	return Member{
		ID: m.ID, Incarnation: m.Incarnation, State: m.State, Revision: m.Revision, Confirmed: m.Confirmed, Running: m.Running,
	}
}

// withAddresses fills in the fields that withoutAddresses has left out, and reports whether the fleet record has them.
func withAddresses(f Fleet, m Member) (Member, bool) {
	if m.Peer != "" {
		return m, true
	}
	registered, ok := f.Member(m.ID)
	if !ok || registered.Incarnation != m.Incarnation {
		return m, false
	}
	full := registered.toMember()
	full.State, full.Revision, full.Confirmed, full.Running = m.State, m.Revision, m.Confirmed, m.Running
	return full, true
}
