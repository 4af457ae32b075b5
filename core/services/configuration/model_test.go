package configuration_test

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"reflect"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"medlarpond.dev/core/models/platform"
	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/services/configuration"
	standin "medlarpond.dev/core/standin/platform"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "150", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// putOutcome is the injected result of a Put at the store.
type putOutcome int

const (
	putAnswered putOutcome = iota
	putAnswerLost
	putLost
	putDelayed
	putUnavailable
)

// world is the model: a store with injected faults, three instances that write to it, and the expected results.
type world struct {
	*rapid.T
	platform *standin.Platform
	store    platform.Store
	// nextOutcomes are the outcomes of the next Puts; when it is empty, Puts succeed.
	nextOutcomes []putOutcome
	// delayedPuts are Puts that have not reached the store yet.
	delayedPuts []func()
	instances   []*modelInstance
	// messages are changes that were exchanged between instances and can be delivered again.
	messages []configuration.Record
	saved    *standin.State
	// storeRolledBack is true once the store was reset to its saved state.
	storeRolledBack bool
	// applied holds the changes that Write reported as applied, by ID; refused holds those that it reported as not
	// applied. accepted holds the applied changes that were at some time both in the store and active at a majority of
	// the instances.
	applied           map[string]configuration.Record
	refused, accepted map[string]bool
	writeCount        int
}

// modelInstance is one instance with the greatest revision that was active there.
type modelInstance struct {
	*testInstance
	maxRevision uint64
	// unconfirmed is true until a new instance agrees with a majority; until then it does not count towards one.
	unconfirmed bool
}

func newWorld(t *rapid.T) *world {
	w := &world{
		T: t, platform: standin.New(),
		applied: map[string]configuration.Record{}, refused: map[string]bool{}, accepted: map[string]bool{},
	}
	direct := w.platform.Store()
	w.store = direct
	w.store.Put = func(ctx context.Context, key string, value []byte, expected uint64) error {
		switch w.takeOutcome() {
		case putAnswerLost:
			_ = direct.Put(ctx, key, value, expected)
			return &platform.ErrOutcomeUnknown{Key: key, Cause: errors.New("lost")}
		case putLost:
			return &platform.ErrOutcomeUnknown{Key: key, Cause: errors.New("lost")}
		case putDelayed:
			w.delayedPuts = append(w.delayedPuts, func() { _ = direct.Put(context.Background(), key, value, expected) })
			return &platform.ErrOutcomeUnknown{Key: key, Cause: errors.New("late")}
		case putUnavailable:
			return &platform.ErrUnavailable{Cause: errors.New("down")}
		default:
			return direct.Put(ctx, key, value, expected)
		}
	}
	for range 3 {
		w.instances = append(w.instances, &modelInstance{})
	}
	for n := range w.instances {
		w.boot(n)
		w.instances[n].unconfirmed = false
	}
	return w
}

func (w *world) takeOutcome() putOutcome {
	if len(w.nextOutcomes) == 0 {
		return putAnswered
	}
	o := w.nextOutcomes[0]
	w.nextOutcomes = w.nextOutcomes[1:]
	return o
}

// boot replaces an instance by a new one, which loads the store and then pulls changes from the others.
func (w *world) boot(n int) {
	s := &testInstance{platform: w.platform, state: configuration.NewState()}
	s.writer = configuration.NewWriter(w.store, s.state)
	s.reader = configuration.NewReader(w.store, s.state, zap.NewNop())
	i := &modelInstance{testInstance: s, unconfirmed: true}
	s.writer.ConfirmedByPeers = func() bool { return w.inContact(i) }
	w.instances[n] = i
	if s.reader.Load(context.Background()) != nil || s.state.View().Revision == 0 {
		w.copyFromPeer(i)
	}
	for _, other := range w.instances {
		if other.testInstance != nil {
			w.pull(i, other)
		}
	}
}

func (w *world) copyFromPeer(i *modelInstance) {
	for _, other := range w.instances {
		if other == i || other.testInstance == nil || !i.state.Install(other.state.View()) {
			continue
		}
		records, _ := other.state.RecordsAfter(0, 1000)
		for _, r := range slices.Backward(records) {
			i.state.Prepend(r)
		}
		return
	}
}

func (w *world) pull(to, from *modelInstance) {
	records, _ := from.state.RecordsAfter(to.state.View().Revision, 1000)
	for _, r := range records {
		_ = to.state.Apply(r)
	}
}

// inContact reports whether an instance has applied everything that a majority of the instances has.
func (w *world) inContact(i *modelInstance) bool {
	agreeing := 0
	for _, other := range w.instances {
		v := other.state.View()
		chain, ok := i.state.ChainAt(v.Revision)
		if !other.unconfirmed && (v.Revision == 0 || (ok && chain == v.Chain)) {
			agreeing++
		}
	}
	if agreeing > len(w.instances)/2 {
		i.unconfirmed = false
		return true
	}
	return false
}

func (w *world) drawInstance() *modelInstance {
	return w.instances[rapid.IntRange(0, len(w.instances)-1).Draw(w.T, "instance")]
}

func (w *world) write() {
	i := w.drawInstance()
	w.nextOutcomes = rapid.SliceOfN(rapid.SampledFrom([]putOutcome{
		putAnswered, putAnswered, putAnswerLost, putLost, putDelayed, putUnavailable,
	}), 0, 3).Draw(w.T, "outcomes")
	w.writeCount++
	q := configuration.ChangeRequest{ID: fmt.Sprintf("w%d", w.writeCount), Actor: "a", Reason: "r", Action: configuration.ActionUpdate}
	name := rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(w.T, "name")
	// The operator may have read the resource at a different instance.
	read, exists := w.drawInstance().state.View().Snapshot.Get(resource.KindRegion, name)
	if !exists {
		q.Action, read = configuration.ActionCreate, resource.Resource{Kind: resource.KindRegion, Name: name}
	}
	read.Spec = resource.Region{Capacity: w.writeCount}
	q.Resource = read
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	record, err := i.writer.Write(ctx, q)
	w.nextOutcomes = nil
	var unknown *configuration.ErrOutcomeUnknown
	switch {
	case err == nil:
		w.applied[q.ID] = record
	case !errors.As(err, &unknown):
		w.refused[q.ID] = true
	}
}

// exchange lets one instance pull from another and sometimes delivers old messages to it again.
func (w *world) exchange() {
	from, to := w.drawInstance(), w.drawInstance()
	records, _ := from.state.RecordsAfter(0, 1000)
	w.messages = append(w.messages, records...)
	w.pull(to, from)
	for range min(3, len(w.messages)) {
		n := rapid.IntRange(0, len(w.messages)-1).Draw(w.T, "message")
		_ = to.state.Apply(w.messages[n])
	}
}

func (w *world) catchUp() { _ = w.drawInstance().reader.CatchUp(context.Background()) }

func (w *world) restart() {
	n := rapid.IntRange(0, len(w.instances)-1).Draw(w.T, "restarted")
	for k, other := range w.instances {
		if k != n && other.unconfirmed {
			return
		}
	}
	w.boot(n)
}

func (w *world) deliverDelayedPut() {
	if len(w.delayedPuts) > 0 {
		n := rapid.IntRange(0, len(w.delayedPuts)-1).Draw(w.T, "late")
		w.delayedPuts[n]()
		w.delayedPuts = append(w.delayedPuts[:n], w.delayedPuts[n+1:]...)
	}
}

func (w *world) saveStore() {
	s := w.platform.Save()
	w.saved = &s
}

func (w *world) rollBackStore() {
	if w.saved != nil {
		w.platform.Restore(*w.saved)
		w.storeRolledBack = true
	}
}

func (w *world) restore() {
	i := w.drawInstance()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, _ = i.writer.Restore(ctx, true)
}

func (w *world) archive() {
	a := configuration.NewArchiver(w.store, w.drawInstance().state, nil, zap.NewNop()).WithInterval(6, 4)
	_ = a.ArchiveIfDue(context.Background())
}

// checkInvariants compares the instances with the expected results.
func (w *world) checkInvariants(*rapid.T) {
	for n, i := range w.instances {
		v := i.state.View()
		if v.Revision < i.maxRevision {
			w.Fatalf("instance %d: revision decreased from %d to %d", n, i.maxRevision, v.Revision)
		}
		i.maxRevision = v.Revision
	}
	for id, record := range w.applied {
		if w.countHolding(record) > len(w.instances)/2 && w.stored(record) {
			w.accepted[id] = true
		}
	}
	for id := range w.accepted {
		for n, i := range w.instances {
			if w.inContact(i) && !i.holds(w.applied[id]) {
				w.Fatalf("instance %d is in contact with a majority but lacks the accepted change %s", n, id)
			}
		}
	}
	if w.storeRolledBack {
		// A write is fenced off by a void change in the store, which the rollback may have lost.
		return
	}
	for id := range w.refused {
		for n, i := range w.instances {
			if _, ok := i.state.FindByID(id); ok {
				w.Fatalf("change %s was reported as not applied but is active at instance %d", id, n)
			}
		}
	}
}

// stored reports whether the store holds a change now.
func (w *world) stored(r configuration.Record) bool {
	entry, err := w.platform.Store().Get(context.Background(), fmt.Sprintf("medlarpond/log/%020d", r.Revision))
	return err == nil && bytes.Equal(entry.Value, r.Raw)
}

func (w *world) countHolding(r configuration.Record) int {
	n := 0
	for _, i := range w.instances {
		if i.holds(r) {
			n++
		}
	}
	return n
}

// holds reports whether a change is active. A change that is older than the history counts as active.
func (i *modelInstance) holds(r configuration.Record) bool {
	chain, ok := i.state.ChainAt(r.Revision)
	if !ok {
		return r.Revision <= i.state.View().Revision
	}
	return chain == r.Chain
}

// settle ends all faults, lets the instances catch up and checks the final state.
func (w *world) settle() {
	for len(w.delayedPuts) > 0 {
		w.delayedPuts[0]()
		w.delayedPuts = w.delayedPuts[1:]
	}
	for n, i := range w.instances {
		if i.reader.CatchUp(context.Background()) != nil && !w.storeRolledBack {
			// The instance was too far behind to catch up, so an operator restarts it.
			w.boot(n)
		}
	}
	w.checkInvariants(w.T)
	if w.storeRolledBack {
		return
	}
	for id, record := range w.applied {
		if n := w.countHolding(record); n != len(w.instances) {
			w.Fatalf("change %s was reported as applied: got it active at %d instances, want all", id, n)
		}
	}
}

// TestModel runs random operations on three writing instances and a store with faults. It checks that no revision
// decreases, no accepted change is lost and every reply is true.
func TestModel(t *testing.T) {
	actions := func(w *world) map[string]func(*rapid.T) {
		act := func(f func()) func(*rapid.T) {
			return func(t *rapid.T) {
				w.T = t
				f()
			}
		}
		return map[string]func(*rapid.T){
			"write": act(w.write), "write-2": act(w.write), "exchange": act(w.exchange), "catch-up": act(w.catchUp),
			"restart": act(w.restart), "late-write-arrives": act(w.deliverDelayedPut), "": w.checkInvariants,
		}
	}
	t.Run("store without rollback", func(t *testing.T) {
		rapid.Check(t, func(r *rapid.T) {
			inBubble(t, func() {
				w := newWorld(r)
				all := actions(w)
				all["archive"] = func(t *rapid.T) { w.T = t; w.archive() }
				r.Repeat(all)
				w.T = r
				w.settle()
			})
		})
	})
	t.Run("store with rollback", func(t *testing.T) {
		rapid.Check(t, func(r *rapid.T) {
			inBubble(t, func() {
				w := newWorld(r)
				all := actions(w)
				all["save"] = func(t *rapid.T) { w.T = t; w.saveStore() }
				all["store-loses"] = func(t *rapid.T) { w.T = t; w.rollBackStore() }
				all["restore"] = func(t *rapid.T) { w.T = t; w.restore() }
				r.Repeat(all)
				w.T = r
				w.settle()
			})
		})
	})
}

// inBubble runs f in a synctest bubble and re-raises its panic outside.
func inBubble(t *testing.T, f func()) {
	t.Helper()
	var failure any
	synctest.Test(t, func(*testing.T) {
		defer func() { failure = recover() }()
		f()
	})
	if failure == nil {
		return
	}
	if reflect.TypeOf(failure).Name() == "invalidData" {
		panic(failure) // rapid's shrinking distinguishes failures by the line of the panic
	}
	panic(failure)
}
