// Package idempotency ensures that a non-idempotent request with an idempotency key runs at most once in the whole
// fleet within a fixed time. Each key is stored by up to three owner instances, and a majority of them must grant it.
package idempotency

import (
	"sync"
	"time"
)

const (
	// Window is how long a key is remembered after it was granted.
	Window = 5 * time.Minute
	// maxClaims is the maximum number of keys that one instance remembers. Once it is reached, further keys are
	// refused.
	maxClaims = 1 << 17
	// sweepInterval is the minimum time between two removals of expired claims.
	sweepInterval = time.Second
)

// Key is the hash of a team, a service and an idempotency key.
type Key [32]byte

// Claim is the attempt of one request to become the only one with its key.
type Claim struct {
	Key Key
	// ID is unique to each request.
	ID uint64
}

// Answer is the response of one owner to a claim.
type Answer string

// The answers of an owner. AnswerFull means that the owner has no room for another key.
const (
	AnswerGranted   Answer = "granted"
	AnswerDuplicate Answer = "duplicate"
	AnswerFull      Answer = "full"
)

// Entry is a granted claim with the time left until it expires.
type Entry struct {
	Claim Claim
	Left  time.Duration
}

// Register stores the claims that one instance has granted as an owner. It is safe for concurrent use.
type Register struct {
	mu sync.Mutex
	// claims has at most maxClaims entries, apart from adopted ones.
	claims    map[Key]grant
	lastSweep time.Time
}

type grant struct {
	id      uint64
	expires time.Time
}

// NewRegister returns an empty register.
func NewRegister() *Register { return &Register{claims: map[Key]grant{}} }

// Claim grants a key to the first claim, and again to repetitions of the same claim.
func (r *Register) Claim(c Claim) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if g, ok := r.claims[c.Key]; ok && now.Before(g.expires) {
		if g.id == c.ID {
			return AnswerGranted
		}
		return AnswerDuplicate
	}
	if len(r.claims) >= maxClaims && !r.sweep(now) {
		return AnswerFull
	}
	r.claims[c.Key] = grant{id: c.ID, expires: now.Add(Window)}
	return AnswerGranted
}

// Withdraw removes a claim whose request has certainly not run.
func (r *Register) Withdraw(c Claim) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claims[c.Key].id == c.ID {
		delete(r.claims, c.Key)
	}
}

// Adopt stores entries that were granted by other owners. Existing unexpired claims win.
func (r *Register) Adopt(entries []Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, e := range entries {
		if g, ok := r.claims[e.Claim.Key]; ok && now.Before(g.expires) {
			continue
		}
		r.claims[e.Claim.Key] = grant{id: e.Claim.ID, expires: now.Add(min(e.Left, Window))}
	}
}

// Entries returns the unexpired claims.
func (r *Register) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	entries := make([]Entry, 0, len(r.claims))
	for k, g := range r.claims {
		if left := g.expires.Sub(now); left > 0 {
			entries = append(entries, Entry{Claim: Claim{Key: k, ID: g.id}, Left: left})
		}
	}
	return entries
}

// sweep removes expired claims, at most once per sweepInterval, and reports whether there is room for another.
func (r *Register) sweep(now time.Time) bool {
	if now.Sub(r.lastSweep) < sweepInterval {
		return false
	}
	r.lastSweep = now
	for k, g := range r.claims {
		if !now.Before(g.expires) {
			delete(r.claims, k)
		}
	}
	return len(r.claims) < maxClaims
}
