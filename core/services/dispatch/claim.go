package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"medlarpond.dev/core/modules/digest"
	"medlarpond.dev/core/modules/refusal"
	"medlarpond.dev/core/services/idempotency"
)

// idempotencyKeyHeader is the header with which a caller identifies a non-idempotent request that must run only once.
const idempotencyKeyHeader = "Idempotency-Key"

// claim claims the idempotency key of a non-idempotent request, so that no other request with the same key runs. It
// returns nil for requests that need no claim.
func (d *Dispatcher) claim(ctx context.Context, c *call) (*idempotency.Claim, *refusal.Refusal) {
	headerValue := c.request.Header.Get(idempotencyKeyHeader)
	if headerValue == "" || c.idempotent {
		return nil, nil
	}
	claim := idempotency.Claim{Key: c.claimKey(headerValue), ID: rand.Uint64()}
	claimCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	switch d.claimer.Claim(claimCtx, claim) {
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

// withdrawClaim releases the idempotency key before the caller learns that its request has not run.
func (d *Dispatcher) withdrawClaim(ctx context.Context, claim idempotency.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerCallTimeout)
	defer cancel()
	d.claimer.Withdraw(ctx, claim)
}

func (c *call) claimKey(headerValue string) idempotency.Key {
	return digest.Of([]byte(c.team), []byte(c.route.Service), []byte(headerValue))
}
