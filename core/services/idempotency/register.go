// Package idempotency lets a non-idempotent request with an idempotency key run at most once in the whole fleet within
// a stated time. Up to three owners of a key remember it, and a majority of them must grant it.
package idempotency

import (
	"sync"
	"time"
)

const (
	// Window is how long a key is remembered after its request.
	Window = 5 * time.Minute
	// maxClaims bounds the keys that one instance remembers. When they are used up, further keys are refused.
	maxClaims = 1 << 17
	// sweepInterval is the shortest pause between two removals of expired claims.
	sweepInterval = time.Second
)

// Key is the hash of a team, a service and an idempotency key.
type Key [32]byte

// Claim is the wish of one request to be the only one with its key.
type Claim struct {
	Key Key
	// ID is unique for each request.
	ID uint64
}

// Answer is an owner's answer to a claim.
type Answer string

// The answers of an owner.
const (
	AnswerGranted   Answer = "granted"
	AnswerDuplicate Answer = "duplicate"
	AnswerFull      Answer = "full"
)

// Entry is a granted claim with the time that is left of its window.
type Entry struct {
	Claim Claim
	Left  time.Duration
}

// Register holds the claims that one instance has granted as an owner.
type Register struct {
	mu sync.Mutex
	// claims has at most maxClaims entries.
	claims map[Key]granted
	swept  time.Time
}

type granted struct {
	id      uint64
	expires time.Time
}

// NewRegister returns an empty register.
func NewRegister() *Register { return &Register{claims: map[Key]granted{}} }

// Claim grants a key to the first claim and to repeats of it.
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
	r.claims[c.Key] = granted{id: c.ID, expires: now.Add(Window)}
	return AnswerGranted
}

// Withdraw forgets a claim whose request has certainly not run.
func (r *Register) Withdraw(c Claim) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claims[c.Key].id == c.ID {
		delete(r.claims, c.Key)
	}
}

// Adopt takes over entries of other owners.
func (r *Register) Adopt(entries []Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, e := range entries {
		if g, ok := r.claims[e.Claim.Key]; ok && now.Before(g.expires) {
			continue
		}
		r.claims[e.Claim.Key] = granted{id: e.Claim.ID, expires: now.Add(min(e.Left, Window))}
	}
}

// Entries returns the claims whose window is not over.
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

// sweep removes expired claims and reports whether there is room.
func (r *Register) sweep(now time.Time) bool {
	if now.Sub(r.swept) < sweepInterval {
		return false
	}
	r.swept = now
	for k, g := range r.claims {
		if !now.Before(g.expires) {
			delete(r.claims, k)
		}
	}
	return len(r.claims) < maxClaims
}
