package membership

import "time"

// Message is the request and the response of an exchange between two instances.
type Message struct {
	// From is the sender; its addresses are left out if the receiver can find them in the fleet record.
	From Member
	// Chain is the prefix of the chain hash of the sender's revision.
	Chain string
	// Sequence is the sequence of the sender's fleet record, Epoch the epoch that it has adopted, and Settled the
	// latest epoch whose shares of the limits it no longer exceeds.
	Sequence, Epoch, Settled uint64
	// Age is the time since the sender was last known to be up to date; it is valid only if From.Confirmed is true.
	Age time.Duration
	// Fleet is the encoded fleet record, if the receiver seems to have an older one.
	Fleet []byte
	// Records are the encoded configuration changes that follow the receiver's revision without gaps, up to the size
	// limits of a message.
	Records [][]byte
	// Others are the members that need a report, as seen by a sender that holds a seat: those whose state differs from
	// the fleet record, and those that are unconfirmed, behind the sender or not seen recently.
	Others []MemberReport
	// Digest is true if Others is complete: all members that it does not list are alive and confirmed, and have applied
	// the sender's revision.
	Digest bool
}

// version returns the sender's configuration revision and fleet record sequence.
func (m Message) version() replicaVersion {
	return replicaVersion{revision: m.From.Revision, sequence: m.Sequence}
}

// MemberReport is the status of a member as seen by the sender of a message.
type MemberReport struct {
	Member Member
	// Age is the time since the sender last knew the member to be alive.
	Age time.Duration
}
