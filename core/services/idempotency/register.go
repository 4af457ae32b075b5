// Package idempotency ensures that a non-idempotent request with an idempotency key runs at most once in the whole
// fleet within a fixed time. Each key is stored by up to three owner instances, and a majority of them must grant it.
package idempotency

import (
	"sync"
	"time"
)

const (
	// KeyTTL is how long a key is remembered after it was granted.
	KeyTTL = 5 * time.Minute
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

// The answers of an owner. AnswerFull means that the owner stores the maximum number of keys.
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

// ClaimStore stores the claims that one instance has granted as an owner. It is safe for concurrent use.
type ClaimStore struct {
	mu sync.Mutex
	// claims has at most maxClaims entries, apart from adopted ones.
	claims    map[Key]grant
	lastSweep time.Time
}

type grant struct {
	id        uint64
	expiresAt time.Time
}

// NewClaimStore returns an empty store.
func NewClaimStore() *ClaimStore { return &ClaimStore{claims: map[Key]grant{}} }

// Claim grants a key to the first claim, and again to repetitions of the same claim.
func (s *ClaimStore) Claim(c Claim) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if g, ok := s.claims[c.Key]; ok && now.Before(g.expiresAt) {
		if g.id == c.ID {
			return AnswerGranted
		}
		return AnswerDuplicate
	}
	if len(s.claims) >= maxClaims && !s.sweep(now) {
		return AnswerFull
	}
	s.claims[c.Key] = grant{id: c.ID, expiresAt: now.Add(KeyTTL)}
	return AnswerGranted
}

// Withdraw removes a claim whose request has certainly not run.
func (s *ClaimStore) Withdraw(c Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claims[c.Key].id == c.ID {
		delete(s.claims, c.Key)
	}
}

// Adopt stores entries that were granted by other owners. Unexpired claims in this store take precedence.
func (s *ClaimStore) Adopt(entries []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, e := range entries {
		if g, ok := s.claims[e.Claim.Key]; ok && now.Before(g.expiresAt) {
			continue
		}
		s.claims[e.Claim.Key] = grant{id: e.Claim.ID, expiresAt: now.Add(min(e.Left, KeyTTL))}
	}
}

// Entries returns the unexpired claims.
func (s *ClaimStore) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	entries := make([]Entry, 0, len(s.claims))
	for k, g := range s.claims {
		if left := g.expiresAt.Sub(now); left > 0 {
			entries = append(entries, Entry{Claim: Claim{Key: k, ID: g.id}, Left: left})
		}
	}
	return entries
}

// sweep removes expired claims, at most once per sweepInterval, and reports whether another claim can be stored.
func (s *ClaimStore) sweep(now time.Time) bool {
	if now.Sub(s.lastSweep) < sweepInterval {
		return false
	}
	s.lastSweep = now
	for k, g := range s.claims {
		if !now.Before(g.expiresAt) {
			delete(s.claims, k)
		}
	}
	return len(s.claims) < maxClaims
}
