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
	// reconcileInterval is the mean time between checks of the fleet record.
	reconcileInterval = time.Second
	// maxStoreBackoff limits the mean delay after store failures, to avoid a rush of calls when the store recovers.
	maxStoreBackoff = 8 * time.Second
)

// Registration maintains the entry of this instance in the fleet record and, while the instance holds a seat, the rest
// of the record.
type Registration struct {
	FleetStore *FleetStore
	Exchanger  *Exchanger
	// Activate is called, possibly repeatedly, with the current epoch once all earlier ones have ended, and with
	// whether all seats of those have settled.
	Activate func(epoch uint64, settled bool)
	// ReleaseDelay returns how long after the end of an epoch the loans and requests of an unresponsive seat may
	// continue.
	ReleaseDelay func() time.Duration
	// CatchUp applies all configuration changes in the store.
	CatchUp func(ctx context.Context) error
	Logger  *zap.Logger
	// joined is true once this process has been in the record.
	joined bool
}

// Run reconciles the record periodically until the context ends.
func (r *Registration) Run(ctx context.Context) error {
	delay := reconcileInterval
	for ctx.Err() == nil {
		r.syncRecord()
		if err := r.reconcile(ctx); err != nil {
			delay = min(2*delay, maxStoreBackoff)
			r.Logger.Debug("failed to update the fleet record", zap.Error(err))
		} else {
			delay = reconcileInterval
		}
		r.waitAndSync(ctx, delay/2+time.Duration(rand.Int64N(int64(delay))))
	}
	return nil
}

// Join adds this instance to the record as ready. It is called before the instance itself reports that it is ready.
func (r *Registration) Join(ctx context.Context) error {
	self := r.Exchanger.Self().WithState(StateReady).toFleetMember()
	err := r.FleetStore.Update(ctx, func(f Fleet) (Fleet, bool) {
		current, ok := f.Member(self.ID)
		if ok && current.Incarnation >= self.Incarnation {
			return f, false
		}
		return f.WithMember(self), true
	})
	r.syncRecord()
	return err
}

// waitAndSync waits for d. Meanwhile it calls syncRecord for every new record, and regularly to notice the end of an epoch.
func (r *Registration) waitAndSync(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	ticker := time.NewTicker(reconcileInterval / 4)
	defer ticker.Stop()
	for {
		changed := r.FleetStore.Changed()
		select {
		case <-timer.C:
			return
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		r.syncRecord()
	}
}

// syncRecord updates the local state from the newest record, and activates its epoch if all earlier ones have ended.
func (r *Registration) syncRecord() {
	f := r.FleetStore.Fleet()
	r.Exchanger.Table.ApplyFleet(f)
	r.Exchanger.Confirmation.Prune(f)
	self := r.Exchanger.Self()
	if m, ok := f.Member(self.ID); ok && m.Incarnation == self.Incarnation {
		r.joined = true
	}
	r.Exchanger.Epochs.Report(self.ProcessID(), f.Epoch, r.Exchanger.Settled())
	ended, settled := r.Exchanger.Epochs.AllEnded(f)
	if ended && f.Epoch > 0 {
		r.Activate(f.Epoch, settled)
	}
}

// reconcile makes the changes to the record that this instance is responsible for.
func (r *Registration) reconcile(ctx context.Context) error {
	if r.upToDate(r.FleetStore.Fleet()) && !r.FleetStore.StoreDiffers() {
		return nil
	}
	ended := r.endedEpochs(r.FleetStore.Fleet())
	if len(ended) > 0 {
		// The record's revision must cover every change accepted in the ended epochs.
		if err := r.CatchUp(ctx); err != nil {
			return err
		}
	}
	revision := r.Exchanger.State.View().Revision
	return r.FleetStore.Update(ctx, func(f Fleet) (Fleet, bool) {
		if r.upToDate(f) {
			return f, false
		}
		closed := f.WithClosedSets(revision, func(s SeatSet) bool { return slices.Contains(ended, s.Epoch) })
		return r.withUpdatedMembers(closed.WithoutClosedSets(r.releasable)), true
	})
}

func (r *Registration) upToDate(f Fleet) bool {
	return r.entryUpToDate(f) && len(r.deadMembers(f)) == 0 && len(r.endedEpochs(f)) == 0 && !slices.ContainsFunc(f.OpenSets, r.releasable)
}

// endedEpochs returns the epochs that have ended and are not closed yet. Only instances with a seat close epochs.
func (r *Registration) endedEpochs(f Fleet) []uint64 {
	var epochs []uint64
	for _, set := range f.OpenSets {
		if !set.Closed && r.holdsSeat(f) && !r.Exchanger.Epochs.EndedAt(set).IsZero() {
			epochs = append(epochs, set.Epoch)
		}
	}
	return epochs
}

// releasable reports whether a closed set can be dropped from the record because none of its shares can be in use any
// more.
func (r *Registration) releasable(set SeatSet) bool {
	endedAt := r.Exchanger.Epochs.EndedAt(set)
	return set.Closed && !endedAt.IsZero() && (r.Exchanger.Epochs.AllSettled(set) || time.Since(endedAt) > r.ReleaseDelay())
}

// withUpdatedMembers returns the record without dead members and with the current entry of this instance.
func (r *Registration) withUpdatedMembers(f Fleet) Fleet {
	for _, m := range r.deadMembers(f) {
		r.Logger.Warn("removing an unresponsive member from the fleet record", zap.String(logging.FieldPeer, m.ID))
		f = f.WithoutMember(m.ID, m.Incarnation)
	}
	if !r.entryUpToDate(f) {
		f = f.WithMember(r.Exchanger.Self().toFleetMember())
	}
	return f
}

// entryUpToDate reports whether the record needs no change to the entry of this instance. A starting instance does not
// register, a leaving one changes its entry in Leave and Deregister, and one that was replaced by a later process stays
// out. An instance that was removed stays out until peers respond to it.
func (r *Registration) entryUpToDate(f Fleet) bool {
	self := r.Exchanger.Self()
	if self.State != StateReady {
		return true
	}
	current, ok := f.Member(self.ID)
	if !ok {
		return r.joined && !r.Exchanger.ConfirmedByPeers() || slices.ContainsFunc(f.Members, func(m FleetMember) bool {
			return m.Peer == self.Peer && m.Incarnation > self.Incarnation
		})
	}
	want := self.toFleetMember()
	want.Seat = current.Seat
	return current == want || current.Incarnation > self.Incarnation
}

func (r *Registration) deadMembers(f Fleet) []FleetMember {
	if !r.holdsSeat(f) {
		return nil
	}
	return r.Exchanger.FailureDetector.Dead(f, r.Exchanger.Self().ID, r.Exchanger.Table)
}

// holdsSeat reports whether this instance holds a seat.
func (r *Registration) holdsSeat(f Fleet) bool {
	self := r.Exchanger.Self()
	current, ok := f.Member(self.ID)
	return ok && current.Seat && current.Incarnation == self.Incarnation
}

// Leave marks this instance as leaving in the record, which gives up its seat.
func (r *Registration) Leave(ctx context.Context) error {
	self := r.Exchanger.Self()
	return r.FleetStore.Update(ctx, func(f Fleet) (Fleet, bool) {
		current, ok := f.Member(self.ID)
		if !ok || current.Incarnation != self.Incarnation || current.State == StateLeaving {
			return f, false
		}
		return f.WithMember(self.toFleetMember()), true
	})
}

// Deregister removes the entry of this instance. It may be called with settled true only if the instance has no
// capacity in use or on loan.
func (r *Registration) Deregister(ctx context.Context, settled bool) error {
	self := r.Exchanger.Self()
	return r.FleetStore.Update(ctx, func(f Fleet) (Fleet, bool) {
		current, ok := f.Member(self.ID)
		if !ok || current.Incarnation != self.Incarnation {
			return f, false
		}
		if settled {
			return f.WithoutSettled(self.ID, self.Incarnation), true
		}
		return f.WithoutMember(self.ID, self.Incarnation), true
	})
}

// MarkGone records an operator's statement that all processes with an ID, registered or with a seat of an earlier
// epoch, have ended.
func (r *Registration) MarkGone(ctx context.Context, id string) error {
	return r.FleetStore.Update(ctx, func(f Fleet) (Fleet, bool) {
		next := f.WithGone(id)
		return next, !reflect.DeepEqual(next, f)
	})
}
