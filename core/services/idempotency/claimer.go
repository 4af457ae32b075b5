package idempotency

import (
	"context"
	"slices"
	"sync"
	"time"

	"medlarpond.dev/core/modules/rendezvous"
)

const (
	// ownersPerKey is the number of instances that store a key.
	ownersPerKey = 3
	// handoffInterval is the time between checks for a change of the seats.
	handoffInterval = 250 * time.Millisecond
	// handoffTimeout limits one transfer of entries.
	handoffTimeout = time.Second
	// handoffBatchSize is the maximum number of entries in one transfer.
	handoffBatchSize = 2048
)

// PeerCalls holds the calls to other instances.
type PeerCalls struct {
	// Claim requests a key from an owner.
	Claim func(ctx context.Context, owner string, c Claim) (Answer, error)
	// Withdraw removes a claim at an owner.
	Withdraw func(ctx context.Context, owner string, c Claim) error
	// Adopt sends entries to a new owner.
	Adopt func(ctx context.Context, owner string, entries []Entry) error
}

// Claimer claims keys for the requests of one instance.
type Claimer struct {
	self   string
	seats  func() []string
	claims *ClaimStore
	calls  PeerCalls
}

// Result is the outcome of a claim across all owners of its key.
type Result string

// The results of a claim.
const (
	ResultGranted   Result = "granted"
	ResultDuplicate Result = "duplicate"
	// ResultUnknown means that too few owners responded or could store the key.
	ResultUnknown Result = "unknown"
)

// NewClaimer returns a claimer for the instance self; seats returns the IDs of the instances that own keys.
func NewClaimer(self string, seats func() []string, claims *ClaimStore, calls PeerCalls) *Claimer {
	return &Claimer{self: self, seats: seats, claims: claims, calls: calls}
}

// Claim requests a key from its owners. A claim needs a majority of them; as any two majorities overlap, and each owner
// grants a key only once, no two requests get the same key. A claim that fails is withdrawn from all owners.
func (c *Claimer) Claim(ctx context.Context, claim Claim) Result {
	keyOwners := rendezvous.Owners(claim.Key[:], c.seats(), ownersPerKey)
	if len(keyOwners) == 0 {
		keyOwners = []string{c.self}
	}
	answers := c.claimFromOwners(ctx, keyOwners, claim)
	majority := len(keyOwners)/2 + 1
	grants := countAnswers(answers, AnswerGranted)
	// A new owner may not yet know of a request that another owner has stored, so a majority is not enough if any owner
	// reports a duplicate.
	if grants >= majority && countAnswers(answers, AnswerDuplicate) == 0 {
		return ResultGranted
	}
	if grants >= majority && len(keyOwners) == ownersPerKey {
		return c.retryContested(ctx, keyOwners, claim)
	}
	c.withdrawFrom(ctx, keyOwners, claim)
	if countAnswers(answers, AnswerDuplicate) > 0 {
		return ResultDuplicate
	}
	return ResultUnknown
}

// Withdraw releases the key of a request that has certainly not run.
func (c *Claimer) Withdraw(ctx context.Context, claim Claim) {
	c.withdrawFrom(ctx, rendezvous.Owners(claim.Key[:], c.seats(), ownersPerKey), claim)
}

// contestedRetryDelay is how long a claim with a majority waits for a competing claim to be withdrawn.
const contestedRetryDelay = 50 * time.Millisecond

// retryContested repeats a claim that has a majority but also a duplicate. After the delay a competing claim without a
// majority has been withdrawn, whereas the claim of an earlier request remains.
func (c *Claimer) retryContested(ctx context.Context, keyOwners []string, claim Claim) Result {
	select {
	case <-time.After(contestedRetryDelay):
	case <-ctx.Done():
	}
	answers := c.claimFromOwners(ctx, keyOwners, claim)
	if countAnswers(answers, AnswerGranted) >= len(keyOwners)/2+1 && countAnswers(answers, AnswerDuplicate) == 0 {
		return ResultGranted
	}
	c.withdrawFrom(ctx, keyOwners, claim)
	return ResultDuplicate
}

func (c *Claimer) claimFromOwners(ctx context.Context, keyOwners []string, claim Claim) []Answer {
	answers := make([]Answer, len(keyOwners))
	if len(keyOwners) < ownersPerKey {
		// Two concurrent claims could each get one of two owners, so the owners are asked in the same order and the
		// first one decides.
		for i, owner := range keyOwners {
			answers[i] = c.claimFromOwner(ctx, owner, claim)
			if answers[i] != AnswerGranted {
				break
			}
		}
		return answers
	}
	var group sync.WaitGroup
	for i, owner := range keyOwners {
		group.Go(func() { answers[i] = c.claimFromOwner(ctx, owner, claim) })
	}
	group.Wait()
	return answers
}

// claimFromOwner returns the answer of an owner; empty if the call failed.
func (c *Claimer) claimFromOwner(ctx context.Context, owner string, claim Claim) Answer {
	if owner == c.self {
		return c.claims.Claim(claim)
	}
	answer, err := c.calls.Claim(ctx, owner, claim)
	if err != nil {
		return ""
	}
	return answer
}

func (c *Claimer) withdrawFrom(ctx context.Context, keyOwners []string, claim Claim) {
	var group sync.WaitGroup
	for _, owner := range keyOwners {
		if owner == c.self {
			c.claims.Withdraw(claim)
			continue
		}
		group.Go(func() { _ = c.calls.Withdraw(ctx, owner, claim) })
	}
	group.Wait()
}

// Run transfers the stored keys to their new owners whenever the seats change, until the context ends.
func (c *Claimer) Run(ctx context.Context) error {
	ticker := time.NewTicker(handoffInterval)
	defer ticker.Stop()
	before := c.seats()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		now := c.seats()
		if slices.Equal(before, now) || c.handOff(ctx, before, now) != nil {
			continue
		}
		before = now
	}
}

// handOff sends each entry to its owners that were not among its owners before.
func (c *Claimer) handOff(ctx context.Context, before, now []string) error {
	gained := map[string][]Entry{}
	for _, entry := range c.claims.Entries() {
		previous := rendezvous.Owners(entry.Claim.Key[:], before, ownersPerKey)
		for _, owner := range rendezvous.Owners(entry.Claim.Key[:], now, ownersPerKey) {
			if owner != c.self && !slices.Contains(previous, owner) {
				gained[owner] = append(gained[owner], entry)
			}
		}
	}
	for owner, entries := range gained {
		for batch := range slices.Chunk(entries, handoffBatchSize) {
			if err := c.sendEntries(ctx, owner, batch); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Claimer) sendEntries(ctx context.Context, owner string, batch []Entry) error {
	ctx, cancel := context.WithTimeout(ctx, handoffTimeout)
	defer cancel()
	return c.calls.Adopt(ctx, owner, batch)
}

func countAnswers(answers []Answer, wanted Answer) int {
	matching := 0
	for _, a := range answers {
		if a == wanted {
			matching++
		}
	}
	return matching
}
