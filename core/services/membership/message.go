package membership

import "time"

// Message is what two instances tell each other, in a question and in its answer.
type Message struct {
	// From is the sender; its addresses are left out if they stand in the fleet record.
	From Member
	// Chain is the start of the chain of the revision in force at the sender.
	Chain string
	// Sequence is the fleet record that the sender knows, Epoch the epoch that it has adopted, and Settled the latest
	// epoch within whose portions it stays.
	Sequence, Epoch, Settled uint64
	// Age is how long ago at most the sender was certain to have missed nothing; it means nothing unless From.Confirmed.
	Age time.Duration
	// Fleet is the encoded fleet record, if the receiver seems to lack it.
	Fleet []byte
	// Records are the changes that follow the receiver's revision, without gaps, as far as they fit.
	Records [][]byte
	// Others are the members that differ from the record or lag, as a seat sees them.
	Others []Other
	// Digest is true if Others is complete: all other members have in force what the sender has.
	Digest bool
}

// position returns what the sender has.
func (m Message) position() position {
	return position{revision: m.From.Revision, sequence: m.Sequence}
}

// Other is a member as a seat sees it.
type Other struct {
	Member Member
	// Age is for how long the member has been silent.
	Age time.Duration
}
