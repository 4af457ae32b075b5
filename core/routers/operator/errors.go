package operator

import (
	"errors"
	"net/http"
	"time"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/modules/refusal"
	"medlarpond.dev/core/services/configuration"
)

// storeRetryAfter is the Retry-After of refusals while the store is unreachable or this instance is not confirmed.
const storeRetryAfter = 2 * time.Second

// refusalFor maps an error of the services to the error response for the operator.
func refusalFor(err error) *refusal.Refusal {
	var (
		unknownKind    *resource.ErrKindNotExist
		missing        *resource.ErrNotExist
		malformed      *resource.ErrMalformed
		invalid        *resource.ErrInvalid
		inUse          *resource.ErrInUse
		required       *configuration.ErrVersionRequired
		conflict       *configuration.ErrVersionConflict
		tooOld         *configuration.ErrVersionTooOld
		outcomeUnknown *configuration.ErrOutcomeUnknown
		unavailable    *configuration.ErrStoreUnavailable
		behind         *configuration.ErrStoreBehind
		notConfirmed   *configuration.ErrNotConfirmed
		taken          *configuration.ErrIDTaken
		tooFarBehind   *configuration.ErrTooFarBehind
		diverged       *configuration.ErrDiverged
		tooLarge       *http.MaxBytesError
	)
	switch {
	case errors.As(err, &unknownKind), errors.As(err, &missing):
		return refusal.New(http.StatusNotFound, refusal.NotFound, err.Error())
	case errors.As(err, &malformed):
		return refusal.New(http.StatusBadRequest, refusal.Malformed, err.Error())
	case errors.As(err, &invalid):
		return refusal.New(http.StatusUnprocessableEntity, refusal.Invalid, err.Error())
	case errors.As(err, &inUse), errors.As(err, &conflict):
		return refusal.New(http.StatusConflict, refusal.VersionConflict, err.Error())
	case errors.As(err, &required):
		return refusal.New(http.StatusPreconditionRequired, refusal.VersionRequired, err.Error())
	case errors.As(err, &tooOld):
		return refusal.New(http.StatusGone, refusal.VersionTooOld, err.Error())
	case errors.As(err, &outcomeUnknown):
		return refusal.NewMayHaveRun(http.StatusGatewayTimeout, refusal.OutcomeUnknown, err.Error())
	case errors.As(err, &unavailable):
		return refusal.New(http.StatusServiceUnavailable, refusal.StoreUnavailable, err.Error()).WithRetryAfter(storeRetryAfter)
	case errors.As(err, &behind), errors.As(err, &diverged), errors.As(err, &tooFarBehind):
		return refusal.New(http.StatusServiceUnavailable, refusal.StoreBehind, err.Error())
	case errors.As(err, &notConfirmed):
		return refusal.New(http.StatusServiceUnavailable, refusal.Unconfirmed, err.Error()).WithRetryAfter(storeRetryAfter)
	case errors.As(err, &taken):
		return refusal.New(http.StatusConflict, refusal.VersionConflict, err.Error())
	case errors.As(err, &tooLarge):
		return refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge, "the body is over the limit")
	default:
		return refusal.NewMayHaveRun(http.StatusInternalServerError, refusal.Internal, err.Error())
	}
}
