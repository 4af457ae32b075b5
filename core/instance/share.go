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

// shares connects the ledger with the fleet record and the peers.
type shares struct {
	ledger *share.Ledger
	pool   *peer.Pool
	// adopted is the epoch that the ledger obeys, settled the latest within whose portions it stays.
	adopted, settled atomic.Uint64
}

// newShares returns a ledger that owns nothing until the fleet record gives it a seat.
func (i *Instance) newShares(notify func()) *shares {
	s := &shares{ledger: share.NewLedger(notify), pool: peer.NewPool()}
	s.ledger.Confirmed = i.sharesConfirmed
	s.ledger.RequestLoans = i.askLoan
	s.ledger.SetEpoch(share.Epoch{}, nil, i.self().ProcessID())
	if err := peerrouter.RegisterShare(i.peers, s.ledger.Lend); err != nil {
		i.logger.Error("cannot register the calls about loans", zap.Error(err))
	}
	return s
}

// sharesConfirmed reports whether shares may be used: the ledger has to obey the epoch that the confirmation is for.
func (i *Instance) sharesConfirmed() bool {
	return i.shares.adopted.Load() == i.fleet.registrar.Fleet().Epoch && i.fleet.exchanger.Confirmed()
}

// followEpochs adopts each epoch of the fleet record.
func (i *Instance) followEpochs(ctx context.Context) error {
	for {
		changed := i.fleet.registrar.Changed()
		i.adoptEpoch()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (i *Instance) adoptEpoch() {
	f := i.fleet.registrar.Fleet()
	open := make([]share.Epoch, 0, len(f.OpenSets))
	for _, set := range f.OpenSets {
		open = append(open, shareEpoch(set.Epoch, set.Seats))
	}
	i.shares.ledger.SetEpoch(shareEpoch(f.Epoch, f.Seats()), open, i.self().ProcessID())
	i.shares.adopted.Store(f.Epoch)
}

func shareEpoch(number uint64, seats []membership.Seat) share.Epoch {
	e := share.Epoch{Number: number}
	for _, s := range seats {
		e.Seats = append(e.Seats, share.Seat{ID: s.ProcessID(), Region: s.Region})
	}
	return e
}

// settledEpoch returns the latest epoch within whose portions this instance stays.
func (i *Instance) settledEpoch() uint64 {
	if adopted := i.shares.adopted.Load(); i.shares.ledger.Settled(adopted) {
		i.shares.settled.Store(adopted)
	}
	return i.shares.settled.Load()
}

// awaitSettled waits for a short time until what this instance has lent has come back.
func (i *Instance) awaitSettled(ctx context.Context) bool {
	ticker := time.NewTicker(contactCheck)
	defer ticker.Stop()
	for i.settledEpoch() < i.fleet.registrar.Fleet().Epoch {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// activate tells the ledger that the earlier epochs are over.
func (i *Instance) activate(epoch uint64, settled bool) {
	i.adoptEpoch()
	i.shares.ledger.Activate(epoch, settled)
}

// askLoan asks a process for loans.
func (i *Instance) askLoan(ctx context.Context, process string, q share.LoanRequest) (share.LoanReply, error) {
	for _, s := range i.knownSeats() {
		if s.ProcessID() == process {
			return peerrouter.AskLoan(ctx, i.shares.pool, s.Peer, q)
		}
	}
	for _, m := range i.table.All() {
		if m.ProcessID() == process {
			return peerrouter.AskLoan(ctx, i.shares.pool, m.Peer, q)
		}
	}
	return share.LoanReply{}, &peer.ErrUnreachable{Address: process, Cause: context.Canceled}
}

// knownSeats returns the seats of all epochs in the fleet record.
func (i *Instance) knownSeats() []membership.Seat {
	f := i.fleet.registrar.Fleet()
	seats := f.Seats()
	for _, set := range f.OpenSets {
		seats = append(seats, set.Seats...)
	}
	return seats
}
