// Package configuration keeps the operators' decisions: an append-only log of changes in the platform's store,
// of which every instance holds the state that follows from it.
//
// The change with revision N is the store's key for N, created once and never overwritten. Creating the key is the
// compare-and-swap that decides races, and the key stays as the proof of what was applied.
package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"medlarpond.dev/core/models/resource"
)

// Action says what a change does.
type Action string

// The actions of changes.
const (
	ActionCreate Action = "create"
	ActionUpdate Action = "update"
	ActionDelete Action = "delete"
	// ActionVoid changes nothing; it takes a revision so that a write whose answer was lost cannot apply later.
	ActionVoid Action = "void"
)

// Chain is the hash of a change and, through it, of all changes before it.
type Chain string

// Change is one accepted decision.
type Change struct {
	// ID is chosen at random by the writer and identifies the attempt to write.
	ID string `json:"id"`
	// Revision is one more than that of the change before.
	Revision uint64 `json:"revision"`
	// Previous is the chain of the change before; empty for revision 1.
	Previous Chain  `json:"previous,omitempty"`
	Action   Action `json:"action"`
	// Actor names who made the change; never empty.
	Actor string `json:"actor"`
	// Reason says why; never empty.
	Reason string `json:"reason"`
	// Time is the writer's clock when it made the change.
	Time time.Time `json:"time"`
	// Resource is the new value, or the deleted one; nil for a void change.
	Resource *resource.Resource `json:"resource,omitempty"`
	// Before is the value that the change replaced; nil for a created resource.
	Before *resource.Resource `json:"before,omitempty"`
}

// Record is a change in the form in which it is stored and sent.
type Record struct {
	Change
	// Raw is the stored encoding; Chain is its hash.
	Raw   []byte
	Chain Chain
}

// NewRecord encodes a change.
func NewRecord(c Change) (Record, error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return Record{}, trace.Wrap(err)
	}
	return Record{Change: c, Raw: raw, Chain: chainOf(raw)}, nil
}

// DecodeRecord decodes a stored change.
func DecodeRecord(raw []byte) (Record, error) {
	var c Change
	if err := json.Unmarshal(raw, &c); err != nil {
		return Record{}, trace.Wrap(err, "decoding a change")
	}
	if c.Resource == nil && (c.Action == ActionCreate || c.Action == ActionUpdate || c.Action == ActionDelete) {
		return Record{}, &ErrNoResource{Revision: c.Revision, Action: c.Action}
	}
	return Record{Change: c, Raw: raw, Chain: chainOf(raw)}, nil
}

func chainOf(raw []byte) Chain {
	sum := sha256.Sum256(raw)
	return Chain(hex.EncodeToString(sum[:]))
}

// logPrefix is the start of the store's keys for changes.
const logPrefix = "medlarpond/log/"

// logKey returns the store's key for a revision; keys sort like revisions.
func logKey(revision uint64) string { return fmt.Sprintf("%s%020d", logPrefix, revision) }
