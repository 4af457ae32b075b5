// Package intake bounds the memory that callers can make an instance hold: connections, heads, bodies, requests read ahead and
// responses that wait for their readers. An Account decides; Conn and Listener apply its decisions to the connections of a
// server.
package intake

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// connectionBytes is what a connection takes besides its requests: two buffers of 4 KiB, stacks and descriptors.
	connectionBytes = 20 << 10
	// ResponseBytes is what a response takes at most: the part that is read before it is passed on, and a copy buffer.
	ResponseBytes = 72 << 10
	// fieldBytes is what a header field takes besides its text once it is parsed: an entry of a map, a list and two strings.
	fieldBytes = 128
	// reserveShare is the fraction of an account that Reserve may fill, so that what need not be held does not displace the rest.
	reserveShare = 0.5
	// textFactor is how often the text of a head is held: in a buffer, and parsed.
	textFactor = 2
)

// Reason says why a connection was closed or a request refused.
type Reason string

// The reasons of the counter medlarpond_intake_refusals_total.
const (
	// NoRoomForConnection, NoRoomForHead, NoRoomForBody and NoRoomForResponse mean that the account is exceeded.
	NoRoomForConnection Reason = "connection"
	NoRoomForHead       Reason = "head"
	NoRoomForBody       Reason = "body"
	NoRoomForResponse   Reason = "response"
	// Evicted means that a connection was closed to make room for others.
	Evicted Reason = "evicted"
	// TooManyFields means that a head has more fields than permitted.
	TooManyFields Reason = "fields"
	// TooSlow means that a caller has sent or read less than the minimum.
	TooSlow Reason = "too-slow"
)

// Policy holds the limits for callers.
type Policy struct {
	// MaxFields is the largest number of lines in a head.
	MaxFields int
	// MinProgress is the number of bytes that a caller must send or read within each StallTime of waiting for it.
	MinProgress int
	StallTime   time.Duration
	// EvictAfter is the time for which a caller must have made less progress to be closed when there is no room.
	EvictAfter time.Duration
	// BodyTimeout bounds the time until the buffered part of a body has been received.
	BodyTimeout time.Duration
	// BodyShare is the fraction of an account that bodies may fill, so that requests without one are still served.
	BodyShare float64
}

// Account counts the memory that the callers of one or more servers occupy. It is safe for concurrent use. A nil Account has
// no limit.
type Account struct {
	*pool
	policy Policy
	// refused is called with each reason for which something is refused or closed.
	refused func(Reason)
	now     func() time.Time
	// guaranteed is the part of the pool that the other accounts cannot use.
	guaranteed int64

	// used and holders are guarded by the mutex of the pool.
	used    int64
	holders map[*holder]struct{}
}

// pool is the memory that several accounts share.
type pool struct {
	limit int64
	// accounts does not change.
	accounts []*Account

	mu sync.Mutex
}

// holder is what one connection holds.
type holder struct {
	account *Account
	// closeConn closes the connection.
	closeConn func()
	// waitingSince is the time since when the caller has made too little progress, in nanoseconds of the Unix time; zero while
	// the instance does not wait for it.
	waitingSince atomic.Int64
	// idle is true between requests.
	idle atomic.Bool

	// held is guarded by the mutex of the account. evicted is true once the connection is being closed, which releases all.
	held    int64
	evicted bool
}

// NewAccounts returns accounts that share limit bytes. Each has a fraction of it, its share, that the others cannot use. What the
// shares leave is used by whichever needs it first.
func NewAccounts(limit int64, policy Policy, refused func(Reason), shares ...float64) []*Account {
	p := &pool{limit: limit}
	for _, share := range shares {
		p.accounts = append(p.accounts, &Account{
			pool: p, policy: policy, refused: refused, now: time.Now, guaranteed: int64(share * float64(limit)),
			holders: map[*holder]struct{}{},
		})
	}
	return p.accounts
}

// NewAccount returns an account of limit bytes.
func NewAccount(limit int64, policy Policy, refused func(Reason)) *Account {
	return NewAccounts(limit, policy, refused, 1)[0]
}

// most returns the largest number of bytes that the account may hold now, times a fraction. The caller must hold a.mu.
func (a *Account) most(fraction float64) int64 {
	most := a.limit
	for _, other := range a.accounts {
		if other != a {
			most -= max(other.guaranteed, other.used)
		}
	}
	return int64(fraction * float64(most))
}

// Used returns the number of bytes in use.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Reserve reserves memory that belongs to no connection and is never evicted, for work that can wait. It returns false if the
// account would be filled beyond reserveShare. What is reserved must be released.
func (a *Account) Reserve(n int64) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.used+n > a.most(reserveShare) {
		return false
	}
	a.used += n
	return true
}

// Release releases what Reserve has reserved.
func (a *Account) Release(n int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used -= n
}

// add registers a connection. It returns nil if there is no room for it.
func (a *Account) add(closeConn func()) *holder {
	h := &holder{account: a, closeConn: closeConn}
	if !h.charge(connectionBytes, 1, NoRoomForConnection) {
		return nil
	}
	return h
}

// charge adds n bytes to what the connection holds if all connections together then hold at most a fraction of what the account may
// hold. Otherwise it closes connections that have waited for their callers for EvictAfter, those between requests last and the slowest first. It returns
// false if that does not make enough room.
func (h *holder) charge(n int64, fraction float64, reason Reason) bool {
	a := h.account
	a.mu.Lock()
	if h.evicted {
		a.mu.Unlock()
		return false
	}
	var victims []*holder
	limit := a.most(fraction)
	for a.used+n > limit {
		victim := a.slowest(h)
		if victim == nil {
			break
		}
		victim.remove()
		victims = append(victims, victim)
	}
	ok := a.used+n <= limit
	if ok {
		a.used += n
		h.held += n
		a.holders[h] = struct{}{}
	}
	a.mu.Unlock()
	for _, victim := range victims {
		a.refused(Evicted)
		victim.closeConn()
	}
	if !ok {
		a.refused(reason)
	}
	return ok
}

// slowest returns the connection to close first, or nil. The caller must hold a.mu.
func (a *Account) slowest(except *holder) *holder {
	latest := a.now().Add(-a.policy.EvictAfter).UnixNano()
	var found *holder
	var foundSince int64
	foundIdle := false
	for h := range a.holders {
		since := h.waitingSince.Load()
		if since == 0 || since > latest || h == except {
			continue
		}
		idle := h.idle.Load()
		if found == nil || (foundIdle && !idle) || (foundIdle == idle && since < foundSince) {
			found, foundSince, foundIdle = h, since, idle
		}
	}
	return found
}

// remove releases all that the connection holds, for good. The caller must hold the account's mutex.
func (h *holder) remove() {
	h.account.used -= h.held
	h.held, h.evicted = 0, true
	delete(h.account.holders, h)
}

// close releases all that the connection holds.
func (h *holder) close() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.remove()
}

// reset releases all but the connection itself and n bytes.
func (h *holder) reset(n int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.evicted {
		return
	}
	h.account.used += connectionBytes + n - h.held
	h.held = connectionBytes + n
}

// HeadCost returns what a head of the given size and number of lines takes once it is parsed.
func HeadCost(size, lines int) int64 { return textFactor*int64(size) + fieldBytes*int64(lines) }

// headerCost returns what the header of a request takes.
func headerCost(r *http.Request) int64 {
	size, lines := len(r.RequestURI), 0
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
			lines++
		}
	}
	return HeadCost(size, lines)
}
