package share

import (
	"maps"
	"sync"
	"time"
)

// Ledger holds what one instance may use of every account.
type Ledger struct {
	mu sync.Mutex
	// buckets holds the rate accounts and units the others; an account is in one of them.
	buckets map[Account]*bucket
	units   map[Account]*units
	// notify is called, without the lock held, after something has become free.
	notify func()
}

// bucket is a token bucket; level never exceeds burst.
type bucket struct {
	rate, burst, level float64
	updated            time.Time
}

// units counts whole units; used may exceed owned only after a limit was lowered.
type units struct {
	owned, used int
}

// NewLedger returns a ledger without accounts; notify is called after something has become free.
func NewLedger(notify func()) *Ledger {
	return &Ledger{buckets: map[Account]*bucket{}, units: map[Account]*units{}, notify: notify}
}

// SetLimits replaces the limits of all accounts. A new rate account starts empty.
func (l *Ledger) SetLimits(limits map[Account]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(l.buckets, func(a Account, _ *bucket) bool { return limits[a].Rate == 0 })
	maps.DeleteFunc(l.units, func(a Account, u *units) bool { return limits[a].Units == 0 && u.used == 0 })
	for a, limit := range limits {
		if limit.Units > 0 {
			l.unitsOf(a).owned = limit.Units
			continue
		}
		l.bucketOf(a, now).resize(limit.Rate, limit.Burst, now)
	}
}

// Take uses n tokens of a rate account and reports whether it could.
func (l *Ledger) Take(a Account, n float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets[a]
	if !ok {
		return false
	}
	b.refill(time.Now())
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// Return gives back tokens that were taken for a request that did not run.
func (l *Ledger) Return(a Account, n float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.buckets[a]; ok {
		b.level = min(b.level+n, b.burst)
	}
}

// Acquire puts a unit of an account in use and reports whether one was free.
func (l *Ledger) Acquire(a Account) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.units[a]
	if !ok || u.used >= u.owned {
		return false
	}
	u.used++
	return true
}

// Release ends the use of a unit.
func (l *Ledger) Release(a Account) {
	l.mu.Lock()
	if u, ok := l.units[a]; ok {
		u.used--
	}
	l.mu.Unlock()
	l.notify()
}

// Free returns the number of units of an account that can be acquired without borrowing.
func (l *Ledger) Free(a Account) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.units[a]
	if !ok {
		return 0
	}
	return max(u.owned-u.used, 0)
}

func (l *Ledger) bucketOf(a Account, now time.Time) *bucket {
	b, ok := l.buckets[a]
	if !ok {
		b = &bucket{updated: now}
		l.buckets[a] = b
	}
	return b
}

func (l *Ledger) unitsOf(a Account) *units {
	u, ok := l.units[a]
	if !ok {
		u = &units{}
		l.units[a] = u
	}
	return u
}

func (b *bucket) refill(now time.Time) {
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.updated).Seconds())
	b.updated = now
}

func (b *bucket) resize(rate, burst float64, now time.Time) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}
