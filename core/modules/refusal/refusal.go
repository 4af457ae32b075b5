// Package refusal defines the error responses that callers and operators receive, and their JSON form.
package refusal

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// NotRunHeader marks the refusal of a request that certainly no target has run.
const NotRunHeader = "Medlarpond-Not-Run"

// Reason is the machine-readable cause of a refusal.
type Reason string

// The reasons that callers and operators can receive.
const (
	NoRoute          Reason = "no-route"
	NoKey            Reason = "no-key"
	UnknownKey       Reason = "unknown-key"
	TeamNotPermitted Reason = "team-not-permitted"
	RateExceeded     Reason = "rate-exceeded"
	Overloaded       Reason = "overloaded"
	NoTarget         Reason = "no-target"
	Unconfirmed      Reason = "instance-unconfirmed"
	Leaving          Reason = "instance-leaving"
	DeadlineTooShort Reason = "deadline-too-short"
	DuplicateRequest Reason = "duplicate-request"
	CrashSuspected   Reason = "crash-suspected"
	BodyTooLarge     Reason = "body-too-large"
	BodyTooSlow      Reason = "body-too-slow"
	UpgradeRefused   Reason = "upgrade-not-supported"
	TargetFailed     Reason = "target-failed"
	OutcomeUnknown   Reason = "outcome-unknown"
	Malformed        Reason = "malformed"
	NotFound         Reason = "not-found"
	Invalid          Reason = "invalid"
	VersionRequired  Reason = "version-required"
	VersionConflict  Reason = "version-conflict"
	VersionTooOld    Reason = "version-too-old"
	StoreUnavailable Reason = "store-unavailable"
	StoreBehind      Reason = "store-behind"
	Internal         Reason = "internal"
)

// Refusal is an error response with the details that its receiver can act on.
type Refusal struct {
	// Status is the HTTP status code.
	Status int
	// Reason is one of the constants of this package.
	Reason Reason
	// Message explains the refusal to a person and never contains a key.
	Message string
	// NotRun is true only if it is certain that no byte of the request has reached code that could run it.
	NotRun bool
	// RetryAfter is how long the receiver should wait before a retry; zero omits it from the response.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Reason) + ": " + r.Message }

// Retryable reports whether a retry of the unchanged request can succeed.
func (r *Refusal) Retryable() bool {
	return r.RetryAfter > 0
}

// WithRetryAfter returns a copy that asks the receiver to retry after the given time.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.RetryAfter = d
	return &c
}

// New returns a refusal of a request that was not run.
func New(status int, reason Reason, message string) *Refusal {
	return &Refusal{Status: status, Reason: reason, Message: message, NotRun: true}
}

// NewMayHaveRun returns a refusal of a request that a target may have run.
func NewMayHaveRun(status int, reason Reason, message string) *Refusal {
	return &Refusal{Status: status, Reason: reason, Message: message}
}

type wireBody struct {
	Error wireError `json:"error"`
}

type wireError struct {
	Reason            Reason  `json:"reason"`
	Message           string  `json:"message"`
	NotRun            bool    `json:"not-run"`
	Retryable         bool    `json:"retryable"`
	RetryAfterSeconds float64 `json:"retry-after-seconds,omitempty"`
}

// WholeSeconds formats a duration for Retry-After as HTTP defines it: in whole seconds, rounded up.
func WholeSeconds(d time.Duration) string { return strconv.Itoa(int(math.Ceil(d.Seconds()))) }

// FractionalSeconds formats a duration in seconds for callers that accept fractions in Retry-After.
func FractionalSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// Write writes the refusal as an HTTP response.
func (r *Refusal) Write(w http.ResponseWriter) { r.WriteWith(w, WholeSeconds) }

// WriteWith writes the refusal with the Retry-After header in the given format.
func (r *Refusal) WriteWith(w http.ResponseWriter, formatRetryAfter func(time.Duration) string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	if r.NotRun {
		h.Set(NotRunHeader, "true")
	}
	if r.RetryAfter > 0 {
		h.Set("Retry-After", formatRetryAfter(r.RetryAfter))
	}
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(wireBody{Error: wireError{
		Reason:            r.Reason,
		Message:           r.Message,
		NotRun:            r.NotRun,
		Retryable:         r.Retryable(),
		RetryAfterSeconds: r.RetryAfter.Seconds(),
	}})
}
