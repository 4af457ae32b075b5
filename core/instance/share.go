package instance

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/modules/peer"
	peerrouter "medlarpond.dev/core/routers/peer"
	"medlarpond.dev/core/services/membership"
	"medlarpond.dev/core/services/share"
)

// shares connects the share ledger with the fleet record and the peers.
type shares struct {
	ledger *share.Ledger
	pool   *peer.Pool
	// adoptedEpoch is the epoch that the ledger has adopted, settledEpoch the latest one for which it has settled.
	adoptedEpoch, settledEpoch atomic.Uint64
}

// newShares returns the shares with a ledger that owns nothing until this instance has a seat in the fleet record.
func (i *Instance) newShares(notify func()) *shares {
	s := &shares{ledger: share.NewLedger(notify), pool: peer.NewPool()}
	s.ledger.Confirmed = i.sharesConfirmed
	s.ledger.RequestLoans = i.requestLoans
	s.ledger.SetEpoch(share.Epoch{}, nil, i.self().ProcessID())
	if err := peerrouter.RegisterShare(i.peerServer, s.ledger.Lend); err != nil {
		i.logger.Error("failed to register the loan RPC methods", zap.Error(err))
	}
	return s
}

// sharesConfirmed reports whether shares may be used: this instance is confirmed, and the ledger has adopted the epoch
// to which the confirmation applies.
func (i *Instance) sharesConfirmed() bool {
	return i.shares.adoptedEpoch.Load() == i.fleet.fleetStore.Fleet().Epoch && i.fleet.exchanger.Confirmed()
}

// followEpochs adopts each new epoch of the fleet record until the context ends.
func (i *Instance) followEpochs(ctx context.Context) error {
	for {
		changed := i.fleet.fleetStore.Changed()
		i.adoptEpoch()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (i *Instance) adoptEpoch() {
	f := i.fleet.fleetStore.Fleet()
	open := make([]share.Epoch, 0, len(f.OpenSets))
	for _, set := range f.OpenSets {
		open = append(open, shareEpoch(set.Epoch, set.Seats))
	}
	i.shares.ledger.SetEpoch(shareEpoch(f.Epoch, f.Seats()), open, i.self().ProcessID())
	i.shares.adoptedEpoch.Store(f.Epoch)
}

func shareEpoch(number uint64, seats []membership.Seat) share.Epoch {
	e := share.Epoch{Number: number}
	for _, s := range seats {
		e.Seats = append(e.Seats, share.Seat{ID: s.ProcessID(), Region: s.Region})
	}
	return e
}

// settledEpoch returns the latest epoch for which the ledger has settled: all that it uses and has lent is within the
// shares of that epoch.
func (i *Instance) settledEpoch() uint64 {
	if adopted := i.shares.adoptedEpoch.Load(); i.shares.ledger.Settled(adopted) {
		i.shares.settledEpoch.Store(adopted)
	}
	return i.shares.settledEpoch.Load()
}

// waitSettled waits until the ledger has settled for the epoch of the fleet record, which includes that all loans have
// been returned. It returns false if the context ends first.
func (i *Instance) waitSettled(ctx context.Context) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for i.settledEpoch() < i.fleet.fleetStore.Fleet().Epoch {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// activate adopts the current epoch and activates it in the ledger, as all earlier epochs have ended.
func (i *Instance) activate(epoch uint64, settled bool) {
	i.adoptEpoch()
	i.shares.ledger.Activate(epoch, settled)
}

// requestLoans sends a loan request to the process with the given ID.
func (i *Instance) requestLoans(ctx context.Context, processID string, q share.LoanRequest) (share.LoanReply, error) {
	for _, s := range i.knownSeats() {
		if s.ProcessID() == processID {
			return peerrouter.RequestLoans(ctx, i.shares.pool, s.Peer, q)
		}
	}
	for _, m := range i.table.All() {
		if m.ProcessID() == processID {
			return peerrouter.RequestLoans(ctx, i.shares.pool, m.Peer, q)
		}
	}
	return share.LoanReply{}, &peer.ErrUnreachable{Address: processID, Cause: context.Canceled}
}

// knownSeats returns the seats of the current and all open epochs in the fleet record.
func (i *Instance) knownSeats() []membership.Seat {
	f := i.fleet.fleetStore.Fleet()
	seats := f.Seats()
	for _, set := range f.OpenSets {
		seats = append(seats, set.Seats...)
	}
	return seats
}
