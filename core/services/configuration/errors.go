package configuration

import "fmt"

// ErrGap is returned for a change that does not directly follow the active revision.
type ErrGap struct {
	Current, Got uint64
}

// Error implements error.
func (e *ErrGap) Error() string {
	return fmt.Sprintf("change %d does not follow revision %d", e.Got, e.Current)
}

// ErrDiverged is returned for a change that belongs to a different history than the active configuration.
type ErrDiverged struct {
	Revision uint64
}

// Error implements error.
func (e *ErrDiverged) Error() string {
	return fmt.Sprintf("change %d belongs to another history than the one in force", e.Revision)
}

// ErrNoResource is returned for a stored change whose action requires a resource but which holds none.
type ErrNoResource struct {
	Revision uint64
	Action   Action
}

// Error implements error.
func (e *ErrNoResource) Error() string {
	return fmt.Sprintf("change %d (%s) names no resource", e.Revision, e.Action)
}

// ErrVersionTooOld is returned when the changes after a requested version are no longer in the history.
type ErrVersionTooOld struct {
	// Oldest is the oldest version after which the changes are still held.
	Oldest uint64
}

// Error implements error.
func (e *ErrVersionTooOld) Error() string {
	return fmt.Sprintf("version is too old; list again and watch from %d or later", e.Oldest)
}

// ErrVersionRequired is returned for an update or deletion that does not state the version it is based on.
type ErrVersionRequired struct{}

// Error implements error.
func (e *ErrVersionRequired) Error() string {
	return "name the version that you read, so that nobody's change is overwritten unseen"
}

// ErrVersionConflict is returned for a write that was not applied because the resource has another version.
type ErrVersionConflict struct {
	// Version is the active version; zero if the resource does not exist.
	Version uint64
	// Actor and Reason are the actor and the reason of the change that made the active version.
	Actor, Reason string
}

// Error implements error.
func (e *ErrVersionConflict) Error() string {
	if e.Version == 0 {
		return "not applied: the resource does not exist"
	}
	return fmt.Sprintf("not applied: the resource has version %d, by %s: %s", e.Version, e.Actor, e.Reason)
}

// ErrOutcomeUnknown is returned for a write that may or may not have been applied.
type ErrOutcomeUnknown struct {
	// ID identifies the change, so that its outcome can be queried later.
	ID string
}

// Error implements error.
func (e *ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("the store did not say whether change %s was applied; ask for it again later", e.ID)
}

// ErrStoreUnavailable is returned for a write that was not applied because the store cannot be reached.
type ErrStoreUnavailable struct {
	Cause error
}

// Error implements error.
func (e *ErrStoreUnavailable) Error() string {
	return fmt.Sprintf("not applied: the store cannot be reached: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *ErrStoreUnavailable) Unwrap() error { return e.Cause }

// ErrStoreBehind is returned for a write that was not applied because the store lacks changes that are active here, or
// holds different ones at their revisions.
type ErrStoreBehind struct {
	// Revision is the active revision of this instance.
	Revision uint64
}

// Error implements error.
func (e *ErrStoreBehind) Error() string {
	return fmt.Sprintf("not applied: the store lacks change %d, which is in force; restore it first", e.Revision)
}

// ErrNotConfirmed is returned for a write that was not applied because the peers do not confirm the writing instance,
// which therefore may lack accepted changes.
type ErrNotConfirmed struct{}

// Error implements error.
func (e *ErrNotConfirmed) Error() string {
	return "not applied: this instance is not in contact with most of the others; use another one"
}

// ErrIDTaken is returned for a write whose ID already belongs to a different change.
type ErrIDTaken struct {
	Revision uint64
}

// Error implements error.
func (e *ErrIDTaken) Error() string {
	return fmt.Sprintf("not applied: the identifier belongs to change %d, which differs", e.Revision)
}

// ErrTooFarBehind is returned when the changes that follow the instance's revision were removed from the store. The
// instance must be restarted so that it loads the latest image.
type ErrTooFarBehind struct {
	// Revision is the active revision of the instance, and Oldest that of the oldest change that the store still holds.
	Revision, Oldest uint64
}

// Error implements error.
func (e *ErrTooFarBehind) Error() string {
	return fmt.Sprintf("revision %d is too old to catch up; the store holds changes after %d; restart the instance", e.Revision, e.Oldest)
}
