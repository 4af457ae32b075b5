// Package digest hashes lists of byte strings.
package digest

import (
	"crypto/sha256"
	"encoding/binary"
)

// Of returns the SHA-256 digest of a list of parts. Each part is hashed with its length, so that different lists never give
// the same bytes.
func Of(parts ...[]byte) (d [sha256.Size]byte) {
	h := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(part)
	}
	h.Sum(d[:0])
	return d
}
