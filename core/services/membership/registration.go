package membership

import (
	"context"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/modules/logging"
)

const (
	// tendInterval is the mean pause between checks of the fleet record.
	tendInterval = time.Second
	// maxStorePause bounds the mean pause after the store has failed, so that its return finds few callers.
	maxStorePause = 8 * time.Second
)

// Registration keeps this instance's entry in the fleet record, and as a seat the rest of it.
type Registration struct {
	Registrar *Registrar
	Exchanger *Exchanger
	// Activate is told the epoch whose earlier ones are over, and whether their seats have settled besides.
	Activate func(epoch uint64, settled bool)
	// Hold returns for how long after an epoch a silent seat's loans and requests may go on.
	Hold func() time.Duration
	// CatchUp puts in force all that the store holds.
	CatchUp func(ctx context.Context) error
	Logger  *zap.Logger
	// joined is true once this process has been in the record.
	joined bool
}

// Run tends the record until the context ends.
func (r *Registration) Run(ctx context.Context) error {
	pause := tendInterval
	for ctx.Err() == nil {
		r.follow()
		if err := r.tend(ctx); err != nil {
			pause = min(2*pause, maxStorePause)
			r.Logger.Debug("cannot change the fleet record", zap.Error(err))
		} else {
			pause = tendInterval
		}
		r.wait(ctx, pause/2+time.Duration(rand.Int64N(int64(pause))))
	}
	return nil
}

// Join enters this instance in the record as ready, before it says so itself.
func (r *Registration) Join(ctx context.Context) error {
	self := r.Exchanger.Self().WithState(StateReady).registered()
	err := r.Registrar.Change(ctx, func(f Fleet) (Fleet, bool) {
		have, ok := f.Member(self.ID)
		if ok && have.Incarnation >= self.Incarnation {
			return f, false
		}
		return f.With(self), true
	})
	r.follow()
	return err
}

// wait waits for a while and keeps the epochs up to date meanwhile.
func (r *Registration) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	ticker := time.NewTicker(tendInterval / 4)
	defer ticker.Stop()
	for {
		changed := r.Registrar.Changed()
		select {
		case <-timer.C:
			return
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		r.follow()
	}
}

// follow takes over what the newest record means for this instance.
func (r *Registration) follow() {
	f := r.Registrar.Fleet()
	r.Exchanger.Table.Follow(f)
	r.Exchanger.Confirmation.Forget(f)
	self := r.Exchanger.Self()
	if m, ok := f.Member(self.ID); ok && m.Incarnation == self.Incarnation {
		r.joined = true
	}
	r.Exchanger.Epochs.Report(self.Process(), f.Epoch, r.Exchanger.Settled())
	over, settled := r.Exchanger.Epochs.Over(f)
	if over && f.Epoch > 0 {
		r.Activate(f.Epoch, settled)
	}
}

// tend makes the changes that the record needs from this instance.
func (r *Registration) tend(ctx context.Context) error {
	if r.needless(r.Registrar.Fleet()) && !r.Registrar.Stale() {
		return nil
	}
	over := r.over(r.Registrar.Fleet())
	if len(over) > 0 {
		// The revision of the record has to cover all that was accepted in the epochs that are over.
		if err := r.CatchUp(ctx); err != nil {
			return err
		}
	}
	revision := r.Exchanger.State.View().Revision
	return r.Registrar.Change(ctx, func(f Fleet) (Fleet, bool) {
		if r.needless(f) {
			return f, false
		}
		closed := f.WithClosed(revision, func(s SeatSet) bool { return slices.Contains(over, s.Epoch) })
		return r.tended(closed.WithoutClosed(r.done)), true
	})
}

func (r *Registration) needless(f Fleet) bool {
	return r.listed(f) && len(r.dead(f)) == 0 && len(r.over(f)) == 0 && !slices.ContainsFunc(f.Open, r.done)
}

// over returns the epochs that are over and not closed yet. Only seats close epochs.
func (r *Registration) over(f Fleet) []uint64 {
	var epochs []uint64
	for _, set := range f.Open {
		if !set.Closed && r.seated(f) && !r.Exchanger.Epochs.OverSince(set).IsZero() {
			epochs = append(epochs, set.Epoch)
		}
	}
	return epochs
}

// done reports whether nothing of the portions of a set can be in use any more.
func (r *Registration) done(set SeatSet) bool {
	since := r.Exchanger.Epochs.OverSince(set)
	return set.Closed && !since.IsZero() && (r.Exchanger.Epochs.Settled(set) || time.Since(since) > r.Hold())
}

// tended returns the record with all that this instance has to change.
func (r *Registration) tended(f Fleet) Fleet {
	for _, m := range r.dead(f) {
		r.Logger.Warn("removing a silent member", zap.String(logging.FieldPeer, m.ID))
		f = f.Without(m.ID, m.Incarnation)
	}
	if !r.listed(f) {
		f = f.With(r.Exchanger.Self().registered())
	}
	return f
}

// listed reports whether the record has this instance as it should be. An instance that is starting does not register,
// one that is leaving changes its entry by itself, and one that a later process has replaced stays out. So does one that
// was removed, until peers answer it.
func (r *Registration) listed(f Fleet) bool {
	self := r.Exchanger.Self()
	if self.State != StateReady {
		return true
	}
	have, ok := f.Member(self.ID)
	if !ok {
		return r.joined && !r.Exchanger.InContact() || slices.ContainsFunc(f.Members, func(m Registered) bool {
			return m.Peer == self.Peer && m.Incarnation > self.Incarnation
		})
	}
	want := self.registered()
	want.Seat = have.Seat
	return have == want || have.Incarnation > self.Incarnation
}

func (r *Registration) dead(f Fleet) []Registered {
	if !r.seated(f) {
		return nil
	}
	return r.Exchanger.Silence.Dead(f, r.Exchanger.Self().ID, r.Exchanger.Table)
}

// seated reports whether this instance holds a seat.
func (r *Registration) seated(f Fleet) bool {
	self := r.Exchanger.Self()
	have, ok := f.Member(self.ID)
	return ok && have.Seat && have.Incarnation == self.Incarnation
}

// Leave gives up this instance's seat but keeps its entry, as leaving.
func (r *Registration) Leave(ctx context.Context) error {
	self := r.Exchanger.Self()
	return r.Registrar.Change(ctx, func(f Fleet) (Fleet, bool) {
		have, ok := f.Member(self.ID)
		if !ok || have.Incarnation != self.Incarnation || have.State == StateLeaving {
			return f, false
		}
		return f.With(self.registered()), true
	})
}

// Withdraw takes this instance's entry out; settled says that nothing of what it used or lent is left.
func (r *Registration) Withdraw(ctx context.Context, settled bool) error {
	self := r.Exchanger.Self()
	return r.Registrar.Change(ctx, func(f Fleet) (Fleet, bool) {
		have, ok := f.Member(self.ID)
		if !ok || have.Incarnation != self.Incarnation {
			return f, false
		}
		if settled {
			return f.WithoutLeft(self.ID, self.Incarnation), true
		}
		return f.Without(self.ID, self.Incarnation), true
	})
}

// Gone takes an operator's word that the process of a member, or of a seat of an earlier epoch, has ended.
func (r *Registration) Gone(ctx context.Context, id string) error {
	return r.Registrar.Change(ctx, func(f Fleet) (Fleet, bool) {
		next := f.WithGone(id)
		return next, !reflect.DeepEqual(next, f)
	})
}
