package share

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// minSeatBurst is the least burst that a seat owns, if it owns any, in nanotokens.
const minSeatBurst = nanotokensPerToken

// Seat gives one process a share of every limit.
type Seat struct {
	// ID names one process for its whole life and is never reused, not even by a process that replaces it.
	ID     string
	Region string
}

// Epoch is a fixed set of seats.
type Epoch struct {
	// Number increases by one with each change of the seats; zero means that no epoch is known.
	Number uint64
	// Seats holds at most seven seats with distinct IDs.
	Seats []Seat
}

// epochState holds the epochs that bound the shares of this process.
type epochState struct {
	self    string
	current Epoch
	// earlier holds the epochs whose shares others may still use. A process uses no more than it owns in each of them.
	earlier []Epoch
	// activatedAt is when the current epoch was activated; zero before.
	activatedAt time.Time
	// settled is true once every seat of the earlier epochs has reported Settled for the current one, so that all loans
	// and units of earlier epochs are accounted for.
	settled bool
}

// SetEpoch adopts an epoch: from now on this process uses no more than the smaller of its old and its new shares. open
// holds the earlier epochs whose shares some process may still use; an epoch between the last adopted one and this one
// that is not in open must have ended. An epoch that is not newer than the current one is ignored.
func (l *Ledger) SetEpoch(e Epoch, open []Epoch, self string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := &l.epochs
	if state.self != "" && e.Number <= state.current.Number {
		return
	}
	if state.settled {
		state.earlier = nil
	}
	state.earlier = append(state.earlier, state.current)
	for _, openEpoch := range open {
		if openEpoch.Number > state.current.Number && openEpoch.Number < e.Number {
			state.earlier = append(state.earlier, openEpoch)
		}
	}
	state.self, state.current = self, e
	state.activatedAt, state.settled = time.Time{}, false
	l.recomputeOwned(time.Now())
	l.recallExcess()
}

// Activate lets this process use its full share of the given epoch, if that is the current one. It may be called only
// when each seat of every earlier epoch has either adopted this epoch or can never be confirmed again without adopting
// it. settled states that each of these seats has also reported Settled for this epoch; without it, a larger share
// takes effect only after the loans and units of the other seats have expired.
func (l *Ledger) Activate(epoch uint64, settled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := &l.epochs
	if epoch != state.current.Number || state.settled || (!state.activatedAt.IsZero() && !settled) {
		return
	}
	if state.activatedAt.IsZero() {
		state.activatedAt = time.Now()
	}
	state.settled = settled
	l.recomputeOwned(time.Now())
}

// Settled reports whether this process has adopted the epoch, or a later one, and all that it uses and has lent is
// within the smaller of its old and new shares.
func (l *Ledger) Settled(epoch uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epochs.current.Number < epoch {
		return false
	}
	now := time.Now()
	for _, r := range l.rates {
		r.advance(now)
		if !r.lent.within(r.owned) {
			return false
		}
	}
	for _, u := range l.units {
		u.advance(now)
		if u.inUse+u.lent-u.borrowed() > u.owned {
			return false
		}
	}
	return true
}

// ownedUnits returns how many units of an account this process owns now.
func (s *epochState) ownedUnits(a Account, total int, region string, hold time.Duration, now time.Time) int {
	owned := int64(total)
	if s.self == "" {
		return total
	}
	owned = min(owned, s.current.ownedUnits(s.self, a, int64(total), region))
	if s.earlierExpired(now, hold) {
		return int(owned)
	}
	for _, e := range s.earlier {
		owned = min(owned, e.ownedUnits(s.self, a, int64(total), region))
	}
	return int(owned)
}

// ownedAllowance returns how much of a rate and burst this process owns now.
func (s *epochState) ownedAllowance(a Account, total allowance, now time.Time) allowance {
	if s.self == "" {
		return total
	}
	owned := s.current.ownedAllowance(s.self, a, total)
	if s.earlierExpired(now, 0) {
		return owned
	}
	for _, e := range s.earlier {
		owned = owned.atMost(e.ownedAllowance(s.self, a, total))
	}
	return owned
}

// earlierExpired reports whether nothing of an earlier epoch can be in use any more, for units with the given hold.
func (s *epochState) earlierExpired(now time.Time, hold time.Duration) bool {
	if s.activatedAt.IsZero() {
		return false
	}
	return s.settled || now.Sub(s.activatedAt) >= lenderLoanTTL+hold
}

// ownedAllowance returns the share of a rate and burst that one seat owns. A team's limit is divided among only as many
// seats as can own at least minSeatBurst each, so that no seat owns a fraction of a token that no request can use.
func (e Epoch) ownedAllowance(self string, a Account, total allowance) allowance {
	seats := int64(len(e.Seats))
	if a.Kind == KindTeam {
		seats = min(seats, seatsForBurst(total.burst))
	}
	rank := seatRank(self, a, e.Seats)
	return allowance{rate: shareOfRank(total.rate, rank, seats), burst: shareOfRank(total.burst, rank, seats)}
}

// seatsForBurst returns the largest number of seats among which a team's burst is divided.
func seatsForBurst(burst int64) int64 { return max(burst/minSeatBurst, 1) }

// ownedUnits returns the share of a total that one seat owns, where seats are ranked by their hashes. A share never
// shrinks when the total grows, so processes that know different totals never own more together than the largest of
// them.
func (e Epoch) ownedUnits(self string, a Account, total int64, region string) int64 {
	seats := e.eligibleSeats(region)
	return shareOfRank(total, seatRank(self, a, seats), int64(len(seats)))
}

// shareOfRank returns the share of a total for the seat with the given rank out of count. Other ranks get zero.
func shareOfRank(total, rank, count int64) int64 {
	if rank < 0 || rank >= count {
		return 0
	}
	return (total + count - 1 - rank) / count
}

// seatRank returns the position of a process among the seats when sorted by their hashes for an account; -1 if it has
// no seat.
func seatRank(self string, a Account, seats []Seat) int64 {
	if !slices.ContainsFunc(seats, func(s Seat) bool { return s.ID == self }) {
		return -1
	}
	rank := int64(0)
	for _, s := range seats {
		if s.ID != self && compareSeats(a, s.ID, self) < 0 {
			rank++
		}
	}
	return rank
}

// eligibleSeats returns the seats in a region, or all seats if the region is empty or has none.
func (e Epoch) eligibleSeats(region string) []Seat {
	if region == "" {
		return e.Seats
	}
	inRegion := slices.DeleteFunc(slices.Clone(e.Seats), func(s Seat) bool { return s.Region != region })
	if len(inRegion) == 0 {
		return e.Seats
	}
	return inRegion
}

// compareSeats orders two seats by their hashes for an account.
func compareSeats(a Account, first, second string) int {
	return cmp.Or(cmp.Compare(seatHash(a, first), seatHash(a, second)), cmp.Compare(first, second))
}

func seatHash(a Account, id string) uint64 {
	h := fnv.New64a()
	for _, s := range []string{string(a.Kind), "/", a.Name, "/", id} {
		_, _ = h.Write([]byte(s))
	}
	sum := h.Sum64()
	// The last bytes of the input barely affect the upper bits of the FNV sum; mixing makes the order depend on all of
	// them.
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	return sum
}
