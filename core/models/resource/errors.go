package resource

import "fmt"

// ErrKindNotExist is returned for a kind that is not one of Kinds.
type ErrKindNotExist struct {
	Kind Kind
}

// Error implements error.
func (e *ErrKindNotExist) Error() string { return fmt.Sprintf("kind %q does not exist", e.Kind) }

// ErrNotExist is returned for a resource that does not exist.
type ErrNotExist struct {
	Kind Kind
	Name string
}

// Error implements error.
func (e *ErrNotExist) Error() string { return fmt.Sprintf("%s %q does not exist", e.Kind, e.Name) }

// ErrMalformed is returned for text that cannot be decoded.
type ErrMalformed struct {
	Cause string
}

// Error implements error.
func (e *ErrMalformed) Error() string { return "malformed: " + e.Cause }

// ErrInvalid is returned for a resource with an invalid field.
type ErrInvalid struct {
	Kind  Kind
	Name  string
	Field string
	// Fix says what is wrong with the field or what to write instead.
	Fix string
}

// Error implements error.
func (e *ErrInvalid) Error() string {
	return fmt.Sprintf("%s %q: %s: %s", e.Kind, e.Name, e.Field, e.Fix)
}

// ErrInUse is returned for the deletion of a resource that other resources refer to.
type ErrInUse struct {
	Kind Kind
	Name string
	// By is the kind and name of one resource that refers to it.
	By string
}

// Error implements error.
func (e *ErrInUse) Error() string {
	return fmt.Sprintf("%s %q is still named by %s", e.Kind, e.Name, e.By)
}
