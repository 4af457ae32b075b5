package share

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// minBurst is the least burst that a seat owns, if it owns any, in parts of tokens.
const minBurst = nanosPerToken

// Seat is the right of one process to a portion of every limit.
type Seat struct {
	// ID names one process for its whole life and is never used by another one, not even by its successor.
	ID     string
	Region string
}

// Epoch is a fixed set of seats.
type Epoch struct {
	// Number grows by one with each change of the seats; zero means that none is known.
	Number uint64
	// Seats are at most seven, with different IDs.
	Seats []Seat
}

// reign says which epochs bound the portions of this process.
type reign struct {
	self    string
	current Epoch
	// earlier holds the epochs whose portions others may still use; a process uses no more than it owns in each of them.
	earlier []Epoch
	// activated is when the current epoch was activated; zero before.
	activated time.Time
	// settled is true if at activation no loan or unit of an earlier epoch was uncounted.
	settled bool
}

// SetEpoch adopts an epoch: from now on this process uses no more than the smaller of its old and its new portions.
// open holds the earlier epochs whose portions some process may still use; of those between the last one adopted and
// this one, the ones that it lacks must have ended. An epoch that is not newer than the current one is ignored.
func (l *Ledger) SetEpoch(e Epoch, open []Epoch, self string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := &l.reign
	if g.self != "" && e.Number <= g.current.Number {
		return
	}
	if g.settled {
		g.earlier = nil
	}
	g.earlier = append(g.earlier, g.current)
	for _, between := range open {
		if between.Number > g.current.Number && between.Number < e.Number {
			g.earlier = append(g.earlier, between)
		}
	}
	g.self, g.current = self, e
	g.activated, g.settled = time.Time{}, false
	l.deal(time.Now())
	l.recallExcess()
}

// Activate lets this process use its whole portion of the current epoch, if that is the one named. It may be called
// only when each seat of every earlier epoch has either adopted this one or can never be confirmed again without
// adopting it. settled says that, besides, each of these seats has reported Settled for this epoch; without it, what is
// gained waits until the loans and units of the others have ended.
func (l *Ledger) Activate(epoch uint64, settled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := &l.reign
	if epoch != g.current.Number || g.settled || (!g.activated.IsZero() && !settled) {
		return
	}
	if g.activated.IsZero() {
		g.activated = time.Now()
	}
	g.settled = settled
	l.deal(time.Now())
}

// Settled reports whether this process has adopted the epoch, or a later one, and whether all that it uses and has lent
// is within the smaller of its old and new portions.
func (l *Ledger) Settled(epoch uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reign.current.Number < epoch {
		return false
	}
	now := time.Now()
	for _, r := range l.rates {
		r.advance(now)
		if !r.lent.within(r.portion) {
			return false
		}
	}
	for _, u := range l.units {
		u.advance(now)
		if u.used+u.lent-u.cover() > u.portion {
			return false
		}
	}
	return true
}

// units returns how many of the units of an account belong to this process now.
func (g *reign) units(a Account, total int, region string, hold time.Duration, now time.Time) int {
	owned := int64(total)
	if g.self == "" {
		return total
	}
	owned = min(owned, g.current.part(g.self, a, int64(total), region))
	if g.over(now, hold) {
		return int(owned)
	}
	for _, e := range g.earlier {
		owned = min(owned, e.part(g.self, a, int64(total), region))
	}
	return int(owned)
}

// allowance returns how much of a rate and burst belongs to this process now.
func (g *reign) allowance(a Account, total allowance, now time.Time) allowance {
	if g.self == "" {
		return total
	}
	owned := g.current.allowance(g.self, a, total)
	if g.over(now, 0) {
		return owned
	}
	for _, e := range g.earlier {
		owned = owned.atMost(e.allowance(g.self, a, total))
	}
	return owned
}

// over reports whether nothing of an earlier epoch can be in use any more, for units with the given hold.
func (g *reign) over(now time.Time, hold time.Duration) bool {
	if g.activated.IsZero() {
		return false
	}
	return g.settled || now.Sub(g.activated) >= lenderTerm+hold
}

// allowance deals a rate. A team's falls to as many seats as leave each at least minBurst tokens of burst, so that none
// owns a fraction that no request can use.
func (e Epoch) allowance(self string, a Account, total allowance) allowance {
	seats := int64(len(e.Seats))
	if a.Kind == KindTeam {
		seats = min(seats, seatsFor(total.burst))
	}
	rank := rankOf(self, a, e.Seats)
	return allowance{rate: partOf(total.rate, rank, seats), burst: partOf(total.burst, rank, seats)}
}

// seatsFor returns the number of seats to which a team's burst is dealt if there are as many.
func seatsFor(burst int64) int64 { return max(burst/minBurst, 1) }

// part deals a total to the seats in the order of their hashes and returns what one seat gets. It never shrinks when
// the total grows, so processes that know different totals never own more together than the largest of them.
func (e Epoch) part(self string, a Account, total int64, region string) int64 {
	seats := e.eligible(region)
	return partOf(total, rankOf(self, a, seats), int64(len(seats)))
}

// partOf returns the part of a total that falls to one of count seats; a seat with a rank below zero gets nothing.
func partOf(total, rank, count int64) int64 {
	if rank < 0 || rank >= count {
		return 0
	}
	return (total + count - 1 - rank) / count
}

// rank returns the place of one process among the seats in the order of their hashes for an account; -1 if it has none.
func rankOf(self string, a Account, seats []Seat) int64 {
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

// eligible returns the seats in a region, or all if it has none.
func (e Epoch) eligible(region string) []Seat {
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
	// The last bytes of the input barely reach the upper bits; mixing makes the order depend on all of them.
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	return sum
}
