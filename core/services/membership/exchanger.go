package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/modules/logging"
	"medlarpond.dev/core/services/configuration"
)

const (
	// maxRecordBytes and maxRecords bound the changes in one message.
	maxRecordBytes = 64 << 10
	maxRecords     = 256
	// maxFollowUps bounds the messages by which one exchange catches up.
	maxFollowUps = 64
	// seatsAsked is the number of seats that a member without a seat asks in each round.
	seatsAsked = 2
	// stretchFrom is the number of members from which the pause between rounds grows with the fleet.
	stretchFrom = 64
	// maxInterval bounds the pause between rounds of a large fleet.
	maxInterval = time.Second
	// maxAnnounced bounds the members that are told of a change of state at once.
	maxAnnounced = 64
	// chainPrefix is the number of characters of a chain that messages carry.
	chainPrefix = 16
)

// Call sends a message to the peer with an address and returns the answer.
type Call func(ctx context.Context, address string, m Message) (Message, error)

// Parts are what an exchanger works with.
type Parts struct {
	Table        *Table
	Registrar    *Registrar
	Confirmation *Confirmation
	Epochs       *Epochs
	Silence      *Silence
	State        *configuration.State
	// Self describes this instance; its Confirmed and Revision are filled in by the exchanger.
	Self func() Member
	// Settled returns the latest epoch within whose portions this instance stays.
	Settled func() uint64
	Call    Call
	// Seeds are peer addresses to ask while no member is known.
	Seeds []string
	// Interval is the pause between rounds and CallTimeout bounds each call.
	Interval, CallTimeout time.Duration
	// ConfirmTimeout is how long contact counts.
	ConfirmTimeout time.Duration
	Logger         *zap.Logger
}

// Exchanger keeps this instance and its peers up to date with each other.
type Exchanger struct {
	Parts
	// kick holds a token when a round should start at once.
	kick chan struct{}

	mu sync.Mutex
	// busy holds the addresses to which an exchange is under way.
	busy map[string]bool
	// known is what peers have last said, by address.
	known map[string]position
	// turn counts the rounds.
	turn int
	// diverged is true while a peer at the same revision has another history.
	diverged bool
}

// NewExchanger returns an exchanger made of the given parts.
func NewExchanger(p Parts) *Exchanger {
	return &Exchanger{
		Parts: p, kick: make(chan struct{}, 1), busy: map[string]bool{}, known: map[string]position{},
	}
}

// Run exchanges with peers in rounds until the context ends.
func (x *Exchanger) Run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		x.round(ctx, &calls)
		select {
		case <-time.After(x.pause()):
		case <-x.kick:
		case <-ctx.Done():
		}
	}
	return nil
}

// Kick starts a round at once.
func (x *Exchanger) Kick() {
	select {
	case x.kick <- struct{}{}:
	default:
	}
}

// Announce tells all members of this instance's state and returns when they have answered or the calls have ended.
func (x *Exchanger) Announce(ctx context.Context) {
	var calls sync.WaitGroup
	members := x.Registrar.Fleet().Members
	for _, m := range members[:min(len(members), maxAnnounced)] {
		if m.ID != x.Self().ID {
			calls.Go(func() { x.exchange(ctx, m.Peer) })
		}
	}
	calls.Wait()
}

// Confirmed reports whether this instance has had contact within the confirm timeout.
func (x *Exchanger) Confirmed() bool {
	return x.within(x.Confirmation.Since(x.Registrar.Fleet(), x.Self().Process()))
}

// InContact reports whether peers alone, without the store, confirm this instance.
func (x *Exchanger) InContact() bool {
	return x.within(x.Confirmation.ByPeers(x.Registrar.Fleet(), x.Self().Process()))
}

// Diverged reports whether a peer at the same revision has another history.
func (x *Exchanger) Diverged() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.diverged
}

// InForce waits until a revision is in force at most seats of every open epoch, or the context ends. It reports whether
// it is, and the members at which it is not known to be in force.
func (x *Exchanger) InForce(ctx context.Context, revision uint64) (bool, []string) {
	x.Kick()
	for {
		changed := x.Table.Changed()
		x.Table.Put(x.self())
		if x.atMostSeats(revision) {
			return true, x.Table.Lacking(revision)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false, x.Table.Lacking(revision)
		}
	}
}

func (x *Exchanger) atMostSeats(revision uint64) bool {
	for _, set := range x.Registrar.Fleet().sets() {
		have := 0
		for _, s := range set {
			if m, ok := x.Table.Get(s.ID); ok && m.Incarnation == s.Incarnation && m.Revision >= revision {
				have++
			}
		}
		if len(set) > 0 && have <= len(set)/2 {
			return false
		}
	}
	return true
}

func (x *Exchanger) within(since time.Time) bool {
	return !since.IsZero() && time.Since(since) < x.ConfirmTimeout
}

// pause returns the time to the next round, longer in a large fleet and spread at random.
func (x *Exchanger) pause() time.Duration {
	d := x.Interval
	if n := len(x.Registrar.Fleet().Members); n > stretchFrom {
		d = min(d*time.Duration(n)/stretchFrom, max(maxInterval, x.Interval))
	}
	return d*7/8 + time.Duration(rand.Int64N(int64(d)/4+1))
}

func (x *Exchanger) round(ctx context.Context, calls *sync.WaitGroup) {
	x.Table.Put(x.self())
	for _, address := range x.targets() {
		calls.Go(func() { x.exchange(ctx, address) })
	}
}

// targets returns whom to ask in this round: a seat asks all seats, another member some of them, and everybody one
// member at random.
func (x *Exchanger) targets() []string {
	f, self := x.Registrar.Fleet(), x.Self()
	var seats []string
	seated := false
	for _, set := range f.sets() {
		for _, s := range set {
			seated = seated || s.Process() == self.Process()
			if s.Peer != self.Peer && !s.Gone && !slices.Contains(seats, s.Peer) {
				seats = append(seats, s.Peer)
			}
		}
	}
	if !seated {
		seats = x.some(seats)
	}
	if n := len(f.Members); n > 0 {
		if other := f.Members[rand.IntN(n)].Peer; other != self.Peer && !slices.Contains(seats, other) {
			seats = append(seats, other)
		}
	}
	if len(seats) == 0 || !x.Confirmed() {
		seats = append(seats, x.Seeds...)
	}
	return seats
}

// some returns a few of the seats, others in each round.
func (x *Exchanger) some(seats []string) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var some []string
	for range min(seatsAsked, len(seats)) {
		some = append(some, seats[x.turn%len(seats)])
		x.turn++
	}
	return some
}

// exchange asks one peer and goes on until neither lacks what the other has.
func (x *Exchanger) exchange(ctx context.Context, address string) {
	if !x.begin(address) {
		return
	}
	defer x.end(address)
	for range maxFollowUps {
		before := x.position()
		question := x.message(x.lastKnown(address))
		asked := time.Now()
		bounded, cancel := context.WithTimeout(ctx, x.CallTimeout)
		answer, err := x.Call(bounded, address, question)
		cancel()
		if err != nil {
			x.Logger.Debug("peer did not answer", zap.String(logging.FieldPeer, address), zap.Error(err))
			return
		}
		x.take(answer, asked)
		x.Confirmation.Answered(answer, asked)
		now, theirs := x.position(), answer.position()
		x.learn(address, theirs)
		gained := now.revision > before.revision && now.revision < theirs.revision
		owed := now.revision > theirs.revision || now.sequence > theirs.sequence
		if !gained && !owed {
			return
		}
	}
}

// Answer answers a peer's question.
func (x *Exchanger) Answer(q Message) Message {
	x.take(q, time.Now())
	x.learn(q.From.Peer, q.position())
	return x.message(q.position())
}

// message describes this instance to a peer that has what the position says.
func (x *Exchanger) message(theirs position) Message {
	f, v := x.Registrar.Fleet(), x.State.View()
	since := x.Confirmation.Since(f, x.Self().Process())
	m := Message{
		From: x.self(), Chain: prefixOf(v.Chain), Sequence: f.Sequence, Epoch: f.Epoch, Settled: x.Settled(),
		Age: max(time.Since(since), 0),
	}
	if have, ok := f.Member(m.From.ID); ok && have.Incarnation == m.From.Incarnation && theirs.sequence >= f.Sequence {
		m.From = m.From.compact()
	}
	if theirs.sequence < f.Sequence {
		m.Fleet, _ = f.Encode()
	}
	m.Records = x.recordsAfter(theirs.revision, v.Revision)
	m.Others, m.Digest = x.others(f, v.Revision)
	return m
}

func (x *Exchanger) recordsAfter(revision, current uint64) [][]byte {
	if revision >= current {
		return nil
	}
	records, err := x.State.After(revision, maxRecords)
	if err != nil {
		return nil
	}
	var raw [][]byte
	size := 0
	for _, r := range records {
		if size += len(r.Raw); size > maxRecordBytes && len(raw) > 0 {
			break
		}
		raw = append(raw, r.Raw)
	}
	return raw
}

func (x *Exchanger) self() Member {
	m := x.Self()
	m.Revision = x.State.View().Revision
	m.Confirmed = x.Confirmed()
	return m
}

func (x *Exchanger) position() position {
	return position{revision: x.State.View().Revision, sequence: x.Registrar.Fleet().Sequence}
}

func (x *Exchanger) begin(address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.busy[address] {
		return false
	}
	x.busy[address] = true
	return true
}

func (x *Exchanger) end(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.busy, address)
}

// lastKnown returns what a peer had when it last spoke; nothing is assumed of a peer that never did.
func (x *Exchanger) lastKnown(address string) position {
	x.mu.Lock()
	defer x.mu.Unlock()
	if p, ok := x.known[address]; ok {
		return p
	}
	return position{revision: ^uint64(0), sequence: ^uint64(0)}
}

func (x *Exchanger) learn(address string, p position) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if address != "" {
		x.known[address] = p
	}
}

func prefixOf(c configuration.Chain) string { return string(c[:min(len(c), chainPrefix)]) }
