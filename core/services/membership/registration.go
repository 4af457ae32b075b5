package membership

import (
	"context"
	"math/rand/v2"
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
	Hold   func() time.Duration
	Logger *zap.Logger
	// overSince is when this instance first saw that all epochs before seen are over.
	overSince time.Time
	seen      uint64
	// settled is true if the seats of the epochs before seen have settled.
	settled bool
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
	r.Exchanger.Epochs.Report(self.Process(), f.Epoch, r.Exchanger.Settled())
	over, settled := r.Exchanger.Epochs.Over(f)
	if f.Epoch != r.seen || !over {
		r.seen, r.overSince = f.Epoch, time.Time{}
	}
	r.settled = settled
	if !over || f.Epoch == 0 {
		return
	}
	if r.overSince.IsZero() {
		r.overSince = time.Now()
	}
	r.Activate(f.Epoch, settled)
}

// tend makes the changes that the record needs from this instance.
func (r *Registration) tend(ctx context.Context) error {
	if r.needless(r.Registrar.Fleet()) && !r.Registrar.Stale() {
		return nil
	}
	return r.Registrar.Change(ctx, func(f Fleet) (Fleet, bool) {
		if r.needless(f) {
			return f, false
		}
		return r.tended(f), true
	})
}

func (r *Registration) needless(f Fleet) bool {
	return r.listed(f) && len(r.dead(f)) == 0 && !r.closable(f)
}

// tended returns the record with all that this instance has to change.
func (r *Registration) tended(f Fleet) Fleet {
	for _, m := range r.dead(f) {
		r.Logger.Warn("removing a silent member", zap.String(logging.FieldPeer, m.ID))
		f = f.Without(m.ID, m.Incarnation)
	}
	if r.closable(f) {
		f = f.WithClosed(f.Epoch, r.Exchanger.State.View().Revision)
	}
	if !r.listed(f) {
		f = f.With(r.Exchanger.Self().registered())
	}
	return f
}

// listed reports whether the record has this instance as it should be. An instance that is starting does not register,
// one that is leaving changes its entry by itself, and one that a later process has replaced stays out.
func (r *Registration) listed(f Fleet) bool {
	self := r.Exchanger.Self()
	if self.State != StateReady {
		return true
	}
	have, ok := f.Member(self.ID)
	if !ok {
		return slices.ContainsFunc(f.Members, func(m Registered) bool {
			return m.Peer == self.Peer && m.Incarnation > self.Incarnation
		})
	}
	want := self.registered()
	want.Seat = have.Seat
	return have == want || have.Incarnation > self.Incarnation
}

func (r *Registration) dead(f Fleet) []Registered {
	self := r.Exchanger.Self()
	have, ok := f.Member(self.ID)
	if !ok || !have.Seat || have.Incarnation != self.Incarnation {
		return nil
	}
	return r.Exchanger.Silence.Dead(f, self.ID, r.Exchanger.Table)
}

// closable reports whether the earlier epochs can leave the record: they are over, nothing of their portions can be in
// use, and this instance has since learned from the store of all that was accepted in them.
func (r *Registration) closable(f Fleet) bool {
	if len(f.Open) == 0 || f.Epoch != r.seen || r.overSince.IsZero() {
		return false
	}
	if !r.settled && time.Since(r.overSince) < r.Hold() {
		return false
	}
	return r.Exchanger.Confirmation.StoreAnswered().After(r.overSince)
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
