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
	// maxRecordBytes and maxRecords limit the configuration changes in one message.
	maxRecordBytes = 64 << 10
	maxRecords     = 256
	// maxFollowUps limits the messages of one exchange while one side is catching up.
	maxFollowUps = 64
	// seatsPerRound is the number of seats that a member without a seat contacts in each round.
	seatsPerRound = 2
	// largeFleetSize is the number of members above which the round interval grows with the fleet.
	largeFleetSize = 64
	// maxRoundInterval limits the round interval of a large fleet.
	maxRoundInterval = time.Second
	// maxAnnouncements is the maximum number of members to which a state change is sent at once.
	maxAnnouncements = 64
	// chainPrefixLength is the number of characters of a chain hash that messages carry.
	chainPrefixLength = 16
)

// Call sends a message to the peer at an address and returns its response.
type Call func(ctx context.Context, address string, m Message) (Message, error)

// ExchangerConfig holds the dependencies and settings of an Exchanger.
type ExchangerConfig struct {
	Table           *Table
	FleetStore      *FleetStore
	Confirmation    *Confirmation
	Epochs          *EpochTracker
	FailureDetector *FailureDetector
	State           *configuration.State
	// Self describes this instance, except for Confirmed and Revision, which the exchanger fills in.
	Self func() Member
	// Settled returns the latest epoch whose shares of the limits this instance no longer exceeds.
	Settled func() uint64
	Call    Call
	// Seeds are the peer addresses to contact while no member is known or this instance is not confirmed.
	Seeds []string
	// Interval is the time between rounds, and CallTimeout limits each call.
	Interval, CallTimeout time.Duration
	// ConfirmTimeout is how long this instance stays confirmed after a contact.
	ConfirmTimeout time.Duration
	Logger         *zap.Logger
}

// Exchanger synchronizes the fleet record, the configuration and member states between this instance and its peers by
// anti-entropy gossip.
type Exchanger struct {
	ExchangerConfig
	// trigger holds a token when a round should start at once.
	trigger chan struct{}

	mu sync.Mutex
	// inFlight holds the addresses with an exchange in progress.
	inFlight map[string]bool
	// peerVersions holds the version that each peer last reported, keyed by address.
	peerVersions map[string]replicaVersion
	// nextSeatIndex is the position in the rotation of seats to contact.
	nextSeatIndex int
	// diverged is true while a peer at the same revision has a different configuration history.
	diverged bool
}

// NewExchanger returns an exchanger with the given dependencies and settings.
func NewExchanger(config ExchangerConfig) *Exchanger {
	return &Exchanger{
		ExchangerConfig: config, trigger: make(chan struct{}, 1), inFlight: map[string]bool{}, peerVersions: map[string]replicaVersion{},
	}
}

// Run exchanges messages with peers in rounds until the context ends.
func (x *Exchanger) Run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		x.startRound(ctx, &calls)
		select {
		case <-time.After(x.roundDelay()):
		case <-x.trigger:
		case <-ctx.Done():
		}
	}
	return nil
}

// TriggerRound starts a round at once.
func (x *Exchanger) TriggerRound() {
	select {
	case x.trigger <- struct{}{}:
	default:
	}
}

// Announce sends the state of this instance to at most maxAnnouncements members. It returns when all calls have
// finished.
func (x *Exchanger) Announce(ctx context.Context) {
	var calls sync.WaitGroup
	members := x.FleetStore.Fleet().Members
	for _, m := range members[:min(len(members), maxAnnouncements)] {
		if m.ID != x.Self().ID {
			calls.Go(func() { x.exchangeWith(ctx, m.Peer) })
		}
	}
	calls.Wait()
}

// Confirmed reports whether this instance was up to date at some time within the confirm timeout, according to the
// store or its peers.
func (x *Exchanger) Confirmed() bool {
	return x.isRecent(x.Confirmation.ConfirmedAsOf(x.FleetStore.Fleet(), x.Self().ProcessID()))
}

// ConfirmedByPeers is like Confirmed, but disregards what this instance itself has read from the store.
func (x *Exchanger) ConfirmedByPeers() bool {
	return x.isRecent(x.Confirmation.ConfirmedByPeersAsOf(x.FleetStore.Fleet(), x.Self().ProcessID()))
}

// Diverged reports whether a peer at the same revision has a different configuration history.
func (x *Exchanger) Diverged() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.diverged
}

// WaitApplied waits until a majority of the seats of the current epoch, and of every earlier one that is not closed, has
// applied a revision, or until the context ends. It reports whether they have, and returns the IDs of the members that
// are not known to have applied it.
func (x *Exchanger) WaitApplied(ctx context.Context, revision uint64) (bool, []string) {
	x.TriggerRound()
	for {
		changed := x.Table.Changed()
		x.Table.Put(x.describeSelf())
		if x.appliedByMajorities(revision) {
			return true, x.Table.MembersBehind(revision)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false, x.Table.MembersBehind(revision)
		}
	}
}

func (x *Exchanger) appliedByMajorities(revision uint64) bool {
	for _, set := range x.FleetStore.Fleet().activeSeatSets() {
		count := 0
		for _, s := range set {
			if m, ok := x.Table.Get(s.ID); ok && m.Incarnation == s.Incarnation && m.Revision >= revision {
				count++
			}
		}
		if len(set) > 0 && count <= len(set)/2 {
			return false
		}
	}
	return true
}

func (x *Exchanger) isRecent(confirmedAsOf time.Time) bool {
	return !confirmedAsOf.IsZero() && time.Since(confirmedAsOf) < x.ConfirmTimeout
}

// roundDelay returns the time until the next round. It grows with the size of a large fleet and has a jitter of one
// eighth.
func (x *Exchanger) roundDelay() time.Duration {
	interval := x.Interval
	if members := len(x.FleetStore.Fleet().Members); members > largeFleetSize {
		interval = min(interval*time.Duration(members)/largeFleetSize, max(maxRoundInterval, x.Interval))
	}
	return interval*7/8 + time.Duration(rand.Int64N(int64(interval)/4+1))
}

func (x *Exchanger) startRound(ctx context.Context, calls *sync.WaitGroup) {
	x.Table.Put(x.describeSelf())
	for _, address := range x.peersForRound() {
		calls.Go(func() { x.exchangeWith(ctx, address) })
	}
}

// peersForRound returns the addresses to contact in this round: all seats if this instance holds one, otherwise some of
// them, and one random member. The seeds are added if there are no such addresses or this instance is not confirmed.
func (x *Exchanger) peersForRound() []string {
	f, self := x.FleetStore.Fleet(), x.Self()
	var addresses []string
	holdsSeat := false
	for _, set := range f.activeSeatSets() {
		for _, s := range set {
			holdsSeat = holdsSeat || s.ProcessID() == self.ProcessID()
			if s.Peer != self.Peer && !s.Gone && !slices.Contains(addresses, s.Peer) {
				addresses = append(addresses, s.Peer)
			}
		}
	}
	if !holdsSeat {
		addresses = x.rotateSeats(addresses)
	}
	if n := len(f.Members); n > 0 {
		if other := f.Members[rand.IntN(n)].Peer; other != self.Peer && !slices.Contains(addresses, other) {
			addresses = append(addresses, other)
		}
	}
	if len(addresses) == 0 || !x.Confirmed() {
		addresses = append(addresses, x.Seeds...)
	}
	return addresses
}

// rotateSeats returns the next seatsPerRound seats in rotation.
func (x *Exchanger) rotateSeats(seats []string) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var selected []string
	for range min(seatsPerRound, len(seats)) {
		selected = append(selected, seats[x.nextSeatIndex%len(seats)])
		x.nextSeatIndex++
	}
	return selected
}

// exchangeWith exchanges messages with one peer until both have the same configuration and fleet record, at most
// maxFollowUps times.
func (x *Exchanger) exchangeWith(ctx context.Context, address string) {
	if !x.beginExchange(address) {
		return
	}
	defer x.endExchange(address)
	for range maxFollowUps {
		before := x.version()
		request := x.buildMessage(x.peerVersion(address))
		sentAt := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, x.CallTimeout)
		response, err := x.Call(callCtx, address, request)
		cancel()
		if err != nil {
			x.Logger.Debug("exchange with a peer failed", zap.String(logging.FieldPeer, address), zap.Error(err))
			return
		}
		x.applyMessage(response, sentAt)
		x.Confirmation.RecordPeerResponse(response, sentAt)
		after, peerVersion := x.version(), response.version()
		x.setPeerVersion(address, peerVersion)
		advanced := after.revision > before.revision && after.revision < peerVersion.revision
		peerBehind := after.revision > peerVersion.revision || after.sequence > peerVersion.sequence
		if !advanced && !peerBehind {
			return
		}
	}
}

// HandleMessage handles a message from a peer and returns the response.
func (x *Exchanger) HandleMessage(m Message) Message {
	x.applyMessage(m, time.Now())
	x.setPeerVersion(m.From.Peer, m.version())
	return x.buildMessage(m.version())
}

// buildMessage returns a message for a peer that has the given version.
func (x *Exchanger) buildMessage(receiver replicaVersion) Message {
	f, v := x.FleetStore.Fleet(), x.State.View()
	confirmedAsOf := x.Confirmation.ConfirmedAsOf(f, x.Self().ProcessID())
	m := Message{
		From: x.describeSelf(), Chain: chainPrefix(v.Chain), Sequence: f.Sequence, Epoch: f.Epoch, Settled: x.Settled(),
		Age: max(time.Since(confirmedAsOf), 0),
	}
	if registered, ok := f.Member(m.From.ID); ok && registered.Incarnation == m.From.Incarnation && receiver.sequence >= f.Sequence {
		m.From = m.From.withoutAddresses()
	}
	if receiver.sequence < f.Sequence {
		m.Fleet, _ = f.Encode()
	}
	m.Records = x.recordsAfter(receiver.revision, v.Revision)
	m.Others, m.Digest = x.othersToReport(f, v.Revision)
	return m
}

func (x *Exchanger) recordsAfter(revision, current uint64) [][]byte {
	if revision >= current {
		return nil
	}
	records, err := x.State.RecordsAfter(revision, maxRecords)
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

func (x *Exchanger) describeSelf() Member {
	m := x.Self()
	m.Revision = x.State.View().Revision
	m.Confirmed = x.Confirmed()
	return m
}

func (x *Exchanger) version() replicaVersion {
	return replicaVersion{revision: x.State.View().Revision, sequence: x.FleetStore.Fleet().Sequence}
}

func (x *Exchanger) beginExchange(address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.inFlight[address] {
		return false
	}
	x.inFlight[address] = true
	return true
}

func (x *Exchanger) endExchange(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.inFlight, address)
}

// peerVersion returns the version that a peer last reported. A peer that never reported counts as fully up to date, so
// that nothing is sent to it unasked.
func (x *Exchanger) peerVersion(address string) replicaVersion {
	x.mu.Lock()
	defer x.mu.Unlock()
	if v, ok := x.peerVersions[address]; ok {
		return v
	}
	return replicaVersion{revision: ^uint64(0), sequence: ^uint64(0)}
}

func (x *Exchanger) setPeerVersion(address string, v replicaVersion) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if address != "" {
		x.peerVersions[address] = v
	}
}

func chainPrefix(chain configuration.ChainHash) string {
	return string(chain[:min(len(chain), chainPrefixLength)])
}
