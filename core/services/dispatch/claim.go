package dispatch

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"net/http"
	"time"

	"medlarpond.dev/core/modules/refusal"
	"medlarpond.dev/core/services/idempotency"
)

// idempotencyKeyHeader is where a caller names a request that must not run twice.
const idempotencyKeyHeader = "Idempotency-Key"

// claim makes sure that a non-idempotent request with an idempotency key is the only one with it. It returns nil for
// other requests.
func (d *Dispatcher) claim(ctx context.Context, c *call) (*idempotency.Claim, *refusal.Refusal) {
	name := c.request.Header.Get(idempotencyKeyHeader)
	if name == "" || c.idempotent {
		return nil, nil
	}
	claim := idempotency.Claim{Key: c.claimKey(name), ID: rand.Uint64()}
	bounded, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	switch d.claimer.Claim(bounded, claim) {
	case idempotency.ResultGranted:
		return &claim, nil
	case idempotency.ResultDuplicate:
		return nil, refusal.New(http.StatusConflict, refusal.DuplicateRequest,
			"a request with this idempotency key is running or has run")
	default:
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.Unconfirmed,
			"the instances that know of this idempotency key cannot be reached").WithRetryAfter(time.Second)
	}
}

// withdrawClaim lets the key be used again before the caller learns that its request has not run.
func (d *Dispatcher) withdrawClaim(ctx context.Context, claim idempotency.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellTimeout)
	defer cancel()
	d.claimer.Withdraw(ctx, claim)
}

func (c *call) claimKey(name string) idempotency.Key {
	h := sha256.New()
	for _, part := range []string{c.team, c.route.Service, name} {
		writePart(h, []byte(part))
	}
	var key idempotency.Key
	h.Sum(key[:0])
	return key
}
