package configuration

import "fmt"

// ErrGap is returned for a change that does not follow the state's revision.
type ErrGap struct {
	Have, Got uint64
}

// Error implements error.
func (e *ErrGap) Error() string {
	return fmt.Sprintf("change %d does not follow revision %d", e.Got, e.Have)
}

// ErrDiverged is returned for a change whose history differs from the state's.
type ErrDiverged struct {
	Revision uint64
}

// Error implements error.
func (e *ErrDiverged) Error() string {
	return fmt.Sprintf("change %d belongs to another history than the one in force", e.Revision)
}

// ErrNoResource is returned for a stored change that says what to do and not to which resource.
type ErrNoResource struct {
	Revision uint64
	Action   Action
}

// Error implements error.
func (e *ErrNoResource) Error() string {
	return fmt.Sprintf("change %d (%s) names no resource", e.Revision, e.Action)
}

// ErrVersionTooOld is returned when the changes after a version are no longer held.
type ErrVersionTooOld struct {
	Oldest uint64
}

// Error implements error.
func (e *ErrVersionTooOld) Error() string {
	return fmt.Sprintf("version is too old; list again and watch from %d or later", e.Oldest)
}

// ErrVersionRequired is returned for a write that does not name the version it read.
type ErrVersionRequired struct{}

// Error implements error.
func (e *ErrVersionRequired) Error() string {
	return "name the version that you read, so that nobody's change is overwritten unseen"
}

// ErrVersionConflict is returned for a write that was not applied since the resource has another version.
type ErrVersionConflict struct {
	// Have is the version in force; zero if the resource does not exist.
	Have uint64
	// By and Why name the change that won.
	By, Why string
}

// Error implements error.
func (e *ErrVersionConflict) Error() string {
	if e.Have == 0 {
		return "not applied: the resource does not exist"
	}
	return fmt.Sprintf("not applied: the resource has version %d, by %s: %s", e.Have, e.By, e.Why)
}

// ErrUnknown is returned for a write that may or may not have been applied.
type ErrUnknown struct {
	// ID is the change to ask for later.
	ID string
}

// Error implements error.
func (e *ErrUnknown) Error() string {
	return fmt.Sprintf("the store did not say whether change %s was applied; ask for it again later", e.ID)
}

// ErrStoreUnavailable is returned for a write that was not applied since the store cannot be reached.
type ErrStoreUnavailable struct {
	Cause error
}

// Error implements error.
func (e *ErrStoreUnavailable) Error() string {
	return fmt.Sprintf("not applied: the store cannot be reached: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *ErrStoreUnavailable) Unwrap() error { return e.Cause }

// ErrStoreBehind is returned for a write that was not applied since the store lacks changes that are in force, or holds
// others in their place.
type ErrStoreBehind struct {
	// Revision is the one in force here.
	Revision uint64
}

// Error implements error.
func (e *ErrStoreBehind) Error() string {
	return fmt.Sprintf("not applied: the store lacks change %d, which is in force; restore it first", e.Revision)
}

// ErrNoContact is returned for a write that was not applied since the writing instance is not in contact with most seats.
type ErrNoContact struct{}

// Error implements error.
func (e *ErrNoContact) Error() string {
	return "not applied: this instance is not in contact with most of the others; use another one"
}

// ErrIDTaken is returned for a write whose identifier belongs to another change.
type ErrIDTaken struct {
	Revision uint64
}

// Error implements error.
func (e *ErrIDTaken) Error() string {
	return fmt.Sprintf("not applied: the identifier belongs to change %d, which differs", e.Revision)
}

// ErrTooFarBehind is returned when an instance that has run for long cannot catch up any more and must be restarted.
type ErrTooFarBehind struct {
	Have, Oldest uint64
}

// Error implements error.
func (e *ErrTooFarBehind) Error() string {
	return fmt.Sprintf("revision %d is too old to catch up; the store holds changes after %d; restart the instance", e.Have, e.Oldest)
}
