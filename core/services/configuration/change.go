// Package configuration manages the configuration that operators write. It is an append-only log of changes in the
// platform's key-value store; every instance keeps the state that results from applying the log.
//
// Each revision N has one key in the store, which is created once and never overwritten. Creating the key is the
// compare-and-swap that decides between concurrent writers, and the key remains as the record of what was applied.
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

// Action is the kind of a change.
type Action string

// The actions of changes.
const (
	ActionCreate Action = "create"
	ActionUpdate Action = "update"
	ActionDelete Action = "delete"
	// ActionVoid changes nothing. It occupies a revision so that a write whose outcome is unknown cannot be applied
	// later.
	ActionVoid Action = "void"
)

// ChainHash is the SHA-256 hash of a stored change in hexadecimal. Since each change holds the hash of its predecessor,
// it covers all changes up to this one.
type ChainHash string

// Change is one entry of the configuration log.
type Change struct {
	// ID identifies the change. The client may choose it; otherwise the writer generates a random one.
	ID string `json:"id"`
	// Revision is one more than the revision of the preceding change.
	Revision uint64 `json:"revision"`
	// Previous is the chain hash of the preceding change; empty for revision 1.
	Previous ChainHash `json:"previous,omitempty"`
	Action   Action    `json:"action"`
	// Actor names who made the change; never empty.
	Actor string `json:"actor"`
	// Reason is the actor's justification of the change; never empty.
	Reason string `json:"reason"`
	// Time is the clock time of the writing instance when it built the change.
	Time time.Time `json:"time"`
	// Resource is the new value, or the deleted one; nil for a void change.
	Resource *resource.Resource `json:"resource,omitempty"`
	// Before is the value that the change replaced; nil for a created resource.
	Before *resource.Resource `json:"before,omitempty"`
}

// Record is a change together with its stored encoding.
type Record struct {
	Change
	// Raw is the JSON encoding as stored and sent to other instances; Chain is its hash.
	Raw   []byte
	Chain ChainHash
}

// NewRecord encodes a change.
func NewRecord(c Change) (Record, error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return Record{}, trace.Wrap(err)
	}
	return Record{Change: c, Raw: raw, Chain: hashChange(raw)}, nil
}

// DecodeRecord decodes a stored change. It returns ErrNoResource if the action requires a resource and there is none.
func DecodeRecord(raw []byte) (Record, error) {
	var c Change
	if err := json.Unmarshal(raw, &c); err != nil {
		return Record{}, trace.Wrap(err, "decoding a change")
	}
	if c.Resource == nil && (c.Action == ActionCreate || c.Action == ActionUpdate || c.Action == ActionDelete) {
		return Record{}, &ErrNoResource{Revision: c.Revision, Action: c.Action}
	}
	return Record{Change: c, Raw: raw, Chain: hashChange(raw)}, nil
}

func hashChange(raw []byte) ChainHash {
	sum := sha256.Sum256(raw)
	return ChainHash(hex.EncodeToString(sum[:]))
}

// logPrefix is the prefix of the store's keys that hold changes.
const logPrefix = "medlarpond/log/"

// logKey returns the store's key of a revision. The zero padding makes keys sort by revision.
func logKey(revision uint64) string { return fmt.Sprintf("%s%020d", logPrefix, revision) }
