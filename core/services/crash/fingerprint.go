package crash

import (
	"encoding/hex"

	"medlarpond.dev/core/modules/digest"
)

// Fingerprint identifies a request that may be sent again.
type Fingerprint [32]byte

// NewFingerprint returns the fingerprint of a request from the parts that stay the same when it is sent again.
func NewFingerprint(parts ...[]byte) Fingerprint { return digest.Of(parts...) }

// String returns the beginning of the fingerprint in hexadecimal, for logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:8]) }
