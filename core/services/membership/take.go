package membership

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/modules/logging"
	"medlarpond.dev/core/services/configuration"
)

const (
	// staleAge is the silence from which a seat names a member to others.
	staleAge = 1500 * time.Millisecond
	// maxOthers bounds the members that a message names.
	maxOthers = 32
)

// take takes in a message whose sender was alive at the given time.
func (x *Exchanger) take(m Message, heard time.Time) {
	x.takeFleet(m)
	x.takeRecords(m)
	f := x.Registrar.Fleet()
	x.Epochs.Report(m.From.Process(), m.Epoch, m.Settled)
	from, ok := resolve(f, m.From)
	if !ok {
		return
	}
	agrees := x.agrees(m)
	if m.Sequence > f.Sequence || !agrees {
		// What it has in force counts only together with the record that it knows, and as part of the history here.
		from.Revision = 0
	}
	x.Table.Observe(from, heard)
	x.compare(m)
	if seat, ok := f.Member(from.ID); ok && seat.Seat && agrees && m.Sequence == f.Sequence {
		x.takeOthers(f, m, heard)
	}
}

// agrees reports whether what the sender has in force is part of the history here.
func (x *Exchanger) agrees(m Message) bool {
	chain, ok := x.State.ChainAt(m.From.Revision)
	return ok && prefixOf(chain) == m.Chain
}

func (x *Exchanger) takeFleet(m Message) {
	if len(m.Fleet) == 0 {
		return
	}
	f, err := DecodeFleet(m.Fleet)
	if err != nil {
		x.Logger.Warn("cannot read a peer's fleet record", zap.String(logging.FieldPeer, m.From.ID), zap.Error(err))
		return
	}
	if x.Registrar.Adopt(f) {
		x.Table.Follow(f)
	}
}

func (x *Exchanger) takeRecords(m Message) {
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
			x.Logger.Warn("cannot use a peer's change", zap.String(logging.FieldPeer, m.From.ID), zap.Error(err))
			return
		}
	}
}

// compare notes whether the sender has another history at the same revision.
func (x *Exchanger) compare(m Message) {
	v := x.State.View()
	if v.Revision != m.From.Revision || v.Revision == 0 {
		return
	}
	differs := prefixOf(v.Chain) != m.Chain
	x.mu.Lock()
	changed := differs != x.diverged
	x.diverged = differs
	x.mu.Unlock()
	if changed && differs {
		x.Logger.Error("a peer has another history of changes", zap.String(logging.FieldPeer, m.From.ID),
			zap.Uint64(logging.FieldRevision, v.Revision))
	}
}

// others returns the members that differ from the record or lag behind this instance, and whether they are all of them.
// Only a seat hears enough to tell.
func (x *Exchanger) others(f Fleet, revision uint64) ([]Other, bool) {
	self, ok := f.Member(x.Self().ID)
	if !ok || !self.Seat {
		return nil, false
	}
	var others []Other
	for _, s := range x.Table.sightings() {
		m, registered := f.Member(s.ID)
		registered = registered && m.Incarnation == s.Incarnation
		age := x.Table.age(s)
		current := registered && s.State == m.State && s.Confirmed && s.Revision >= revision && age < staleAge
		if s.ID == self.ID || current {
			continue
		}
		if len(others) == maxOthers {
			return others, false
		}
		if registered {
			s.Member = s.compact()
		}
		others = append(others, Other{Member: s.Member, Age: age})
	}
	return others, true
}

// takeOthers takes in what a seat says of other members. What it names is as it says; all others have in force what the
// seat has, if it says that it has named all that have not.
func (x *Exchanger) takeOthers(f Fleet, m Message, heard time.Time) {
	named := map[string]bool{}
	for _, o := range m.Others {
		named[o.Member.ID] = true
		member, ok := resolve(f, o.Member)
		if !ok || member.ID == x.Self().ID {
			continue
		}
		x.Table.Observe(member, heard.Add(-o.Age))
		x.Silence.report(m.From.ID, member.Process(), o.Age, heard)
	}
	if !m.Digest {
		return
	}
	for _, r := range f.Members {
		if named[r.ID] || r.ID == x.Self().ID || r.ID == m.From.ID {
			continue
		}
		member := r.member()
		member.Revision, member.Confirmed = m.From.Revision, true
		x.Table.Observe(member, heard.Add(-staleAge))
		x.Silence.report(m.From.ID, member.Process(), 0, heard)
	}
}

// compact leaves out what stands in the fleet record.
func (m Member) compact() Member {
	return Member{
		ID: m.ID, Incarnation: m.Incarnation, State: m.State, Revision: m.Revision, Confirmed: m.Confirmed, Running: m.Running,
	}
}

// resolve fills in the addresses of a compact member; false means that they are unknown.
func resolve(f Fleet, m Member) (Member, bool) {
	if m.Peer != "" {
		return m, true
	}
	r, ok := f.Member(m.ID)
	if !ok || r.Incarnation != m.Incarnation {
		return m, false
	}
	full := r.member()
	full.State, full.Revision, full.Confirmed, full.Running = m.State, m.Revision, m.Confirmed, m.Running
	return full, true
}
