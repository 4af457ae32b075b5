package idempotency

import (
	"context"
	"slices"
	"sync"
	"time"

	"medlarpond.dev/core/modules/rendezvous"
)

const (
	// owners is the number of instances that remember a key.
	owners = 3
	// moveInterval is the pause between looks at the seats.
	moveInterval = 250 * time.Millisecond
	// moveTimeout bounds one transfer of entries.
	moveTimeout = time.Second
	// moveBatch bounds the entries of one transfer.
	moveBatch = 2048
)

// Seams are the calls to other instances.
type Seams struct {
	// Claim asks an owner for a key.
	Claim func(ctx context.Context, owner string, c Claim) (Answer, error)
	// Withdraw tells an owner to forget a claim.
	Withdraw func(ctx context.Context, owner string, c Claim) error
	// Adopt hands entries to a new owner.
	Adopt func(ctx context.Context, owner string, entries []Entry) error
}

// Claimer claims keys for the requests of one instance.
type Claimer struct {
	self     string
	seats    func() []string
	register *Register
	seams    Seams
}

// Result is the outcome of a claim over all owners.
type Result string

// The results of a claim.
const (
	ResultGranted   Result = "granted"
	ResultDuplicate Result = "duplicate"
	// ResultUnknown means that too few owners could be asked.
	ResultUnknown Result = "unknown"
)

// NewClaimer returns a claimer of the instance self.
func NewClaimer(self string, seats func() []string, register *Register, seams Seams) *Claimer {
	return &Claimer{self: self, seats: seats, register: register, seams: seams}
}

// Claim asks the owners of a key. Any two majorities of the owners share one that grants a key only once. A claim that
// is not granted leaves nothing behind.
func (c *Claimer) Claim(ctx context.Context, claim Claim) Result {
	asked := rendezvous.Owners(claim.Key[:], c.seats(), owners)
	if len(asked) == 0 {
		asked = []string{c.self}
	}
	answers := c.askAll(ctx, asked, claim)
	majority := len(asked)/2 + 1
	grants := count(answers, AnswerGranted)
	// An owner that is new may not know of a request that an owner beside it remembers.
	if grants >= majority && count(answers, AnswerDuplicate) == 0 {
		return ResultGranted
	}
	if grants >= majority && len(asked) == owners {
		return c.contested(ctx, asked, claim)
	}
	c.withdraw(ctx, asked, claim)
	if count(answers, AnswerDuplicate) > 0 {
		return ResultDuplicate
	}
	return ResultUnknown
}

// Withdraw lets the key be used again, since the request has certainly not run.
func (c *Claimer) Withdraw(ctx context.Context, claim Claim) {
	c.withdraw(ctx, rendezvous.Owners(claim.Key[:], c.seats(), owners), claim)
}

// contestPause is how long a claim with a majority waits for a competing one to be withdrawn.
const contestPause = 50 * time.Millisecond

// contested asks again after a pause: a competing claim without a majority is withdrawn by then, an earlier request's
// claim is not.
func (c *Claimer) contested(ctx context.Context, asked []string, claim Claim) Result {
	select {
	case <-time.After(contestPause):
	case <-ctx.Done():
	}
	answers := c.askAll(ctx, asked, claim)
	if count(answers, AnswerGranted) >= len(asked)/2+1 && count(answers, AnswerDuplicate) == 0 {
		return ResultGranted
	}
	c.withdraw(ctx, asked, claim)
	return ResultDuplicate
}

func (c *Claimer) askAll(ctx context.Context, asked []string, claim Claim) []Answer {
	answers := make([]Answer, len(asked))
	if len(asked) < owners {
		// With two owners, claims that cross could each get one; the first owner decides alone between them.
		for i, owner := range asked {
			answers[i] = c.ask(ctx, owner, claim)
			if answers[i] != AnswerGranted {
				break
			}
		}
		return answers
	}
	var group sync.WaitGroup
	for i, owner := range asked {
		group.Go(func() { answers[i] = c.ask(ctx, owner, claim) })
	}
	group.Wait()
	return answers
}

// ask returns an owner's answer; empty if it could not be asked.
func (c *Claimer) ask(ctx context.Context, owner string, claim Claim) Answer {
	if owner == c.self {
		return c.register.Claim(claim)
	}
	answer, err := c.seams.Claim(ctx, owner, claim)
	if err != nil {
		return ""
	}
	return answer
}

func (c *Claimer) withdraw(ctx context.Context, asked []string, claim Claim) {
	var group sync.WaitGroup
	for _, owner := range asked {
		if owner == c.self {
			c.register.Withdraw(claim)
			continue
		}
		group.Go(func() { _ = c.seams.Withdraw(ctx, owner, claim) })
	}
	group.Wait()
}

// Run hands the remembered keys to their new owners whenever the seats change, until the context ends.
func (c *Claimer) Run(ctx context.Context) error {
	ticker := time.NewTicker(moveInterval)
	defer ticker.Stop()
	before := c.seats()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		now := c.seats()
		if slices.Equal(before, now) || c.move(ctx, before, now) != nil {
			continue
		}
		before = now
	}
}

// move sends each entry to the owners that it has gained.
func (c *Claimer) move(ctx context.Context, before, now []string) error {
	gained := map[string][]Entry{}
	for _, e := range c.register.Entries() {
		old := rendezvous.Owners(e.Claim.Key[:], before, owners)
		for _, owner := range rendezvous.Owners(e.Claim.Key[:], now, owners) {
			if owner != c.self && !slices.Contains(old, owner) {
				gained[owner] = append(gained[owner], e)
			}
		}
	}
	for owner, entries := range gained {
		for batch := range slices.Chunk(entries, moveBatch) {
			if err := c.adopt(ctx, owner, batch); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Claimer) adopt(ctx context.Context, owner string, batch []Entry) error {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	return c.seams.Adopt(ctx, owner, batch)
}

func count(answers []Answer, wanted Answer) int {
	n := 0
	for _, a := range answers {
		if a == wanted {
			n++
		}
	}
	return n
}
