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

// outcome is what becomes of a write at the store.
type outcome int

const (
	answered outcome = iota
	answerLost
	writeLost
	writeLate
	unavailable
)

// world is a store with faults, three instances that write to it, and an oracle.
type world struct {
	*rapid.T
	platform *standin.Platform
	store    platform.Store
	// outcomes are what becomes of the next writes at the store; further ones are answered.
	outcomes []outcome
	// late are writes that are still on their way.
	late      []func()
	instances []*writing
	// messages are changes on their way between instances.
	messages []configuration.Record
	early    *standin.State
	// lost is true once the store has come back with less.
	lost bool
	// applied holds the changes whose operators were told so, refused those that were said not to be; accepted ones were in
	// the store and in force at most instances at the same time.
	applied           map[string]configuration.Record
	refused, accepted map[string]bool
	writes            int
}

// writing is one instance and the greatest revision that it has had in force.
type writing struct {
	*site
	highest uint64
	// fresh is true until the instance has agreed with most of those before it; nobody counts it until then.
	fresh bool
}

func newWorld(t *rapid.T) *world {
	w := &world{
		T: t, platform: standin.New(),
		applied: map[string]configuration.Record{}, refused: map[string]bool{}, accepted: map[string]bool{},
	}
	direct := w.platform.Store()
	w.store = direct
	w.store.Put = func(ctx context.Context, key string, value []byte, expected uint64) error {
		switch w.nextOutcome() {
		case answerLost:
			_ = direct.Put(ctx, key, value, expected)
			return &platform.ErrOutcomeUnknown{Key: key, Cause: errors.New("lost")}
		case writeLost:
			return &platform.ErrOutcomeUnknown{Key: key, Cause: errors.New("lost")}
		case writeLate:
			w.late = append(w.late, func() { _ = direct.Put(context.Background(), key, value, expected) })
			return &platform.ErrOutcomeUnknown{Key: key, Cause: errors.New("late")}
		case unavailable:
			return &platform.ErrUnavailable{Cause: errors.New("down")}
		default:
			return direct.Put(ctx, key, value, expected)
		}
	}
	for range 3 {
		w.instances = append(w.instances, &writing{})
	}
	for n := range w.instances {
		w.boot(n)
		w.instances[n].fresh = false
	}
	return w
}

func (w *world) nextOutcome() outcome {
	if len(w.outcomes) == 0 {
		return answered
	}
	o := w.outcomes[0]
	w.outcomes = w.outcomes[1:]
	return o
}

// boot replaces an instance by a new one, which reads the store and then hears the others.
func (w *world) boot(n int) {
	s := &site{platform: w.platform, state: configuration.NewState()}
	s.writer = configuration.NewWriter(w.store, s.state)
	s.reader = configuration.NewReader(w.store, s.state, zap.NewNop())
	i := &writing{site: s, fresh: true}
	s.writer.Contact = func() bool { return w.inContact(i) }
	w.instances[n] = i
	if s.reader.Load(context.Background()) != nil || s.state.View().Revision == 0 {
		w.takeImage(i)
	}
	for _, other := range w.instances {
		if other.site != nil {
			w.pull(i, other)
		}
	}
}

func (w *world) takeImage(i *writing) {
	for _, other := range w.instances {
		if other == i || other.site == nil || !i.state.Install(other.state.View()) {
			continue
		}
		records, _ := other.state.After(0, 1000)
		for _, r := range slices.Backward(records) {
			i.state.Prepend(r)
		}
		return
	}
}

func (w *world) pull(to, from *writing) {
	records, _ := from.state.After(to.state.View().Revision, 1000)
	for _, r := range records {
		_ = to.state.Apply(r)
	}
}

// inContact reports whether an instance has in force all that most instances have.
func (w *world) inContact(i *writing) bool {
	agreeing := 0
	for _, other := range w.instances {
		v := other.state.View()
		chain, ok := i.state.ChainAt(v.Revision)
		if !other.fresh && (v.Revision == 0 || (ok && chain == v.Chain)) {
			agreeing++
		}
	}
	if agreeing > len(w.instances)/2 {
		i.fresh = false
		return true
	}
	return false
}

func (w *world) instance() *writing {
	return w.instances[rapid.IntRange(0, len(w.instances)-1).Draw(w.T, "instance")]
}

func (w *world) write() {
	i := w.instance()
	w.outcomes = rapid.SliceOfN(rapid.SampledFrom([]outcome{
		answered, answered, answerLost, writeLost, writeLate, unavailable,
	}), 0, 3).Draw(w.T, "outcomes")
	w.writes++
	q := configuration.Request{ID: fmt.Sprintf("w%d", w.writes), Actor: "a", Reason: "r", Action: configuration.ActionUpdate}
	name := rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(w.T, "name")
	// The operator read the resource at any instance.
	read, exists := w.instance().state.View().Snapshot.Get(resource.KindRegion, name)
	if !exists {
		q.Action, read = configuration.ActionCreate, resource.Resource{Kind: resource.KindRegion, Name: name}
	}
	read.Spec = resource.Region{Capacity: w.writes}
	q.Resource = read
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	record, err := i.writer.Write(ctx, q)
	w.outcomes = nil
	var unknown *configuration.ErrUnknown
	switch {
	case err == nil:
		w.applied[q.ID] = record
	case !errors.As(err, &unknown):
		w.refused[q.ID] = true
	}
}

// exchange lets one instance pull from another, and sometimes takes in old messages again.
func (w *world) exchange() {
	from, to := w.instance(), w.instance()
	records, _ := from.state.After(0, 1000)
	w.messages = append(w.messages, records...)
	w.pull(to, from)
	for range min(3, len(w.messages)) {
		n := rapid.IntRange(0, len(w.messages)-1).Draw(w.T, "message")
		_ = to.state.Apply(w.messages[n])
	}
}

func (w *world) catchUp() { _ = w.instance().reader.CatchUp(context.Background()) }

func (w *world) restart() {
	n := rapid.IntRange(0, len(w.instances)-1).Draw(w.T, "restarted")
	for k, other := range w.instances {
		if k != n && other.fresh {
			return
		}
	}
	w.boot(n)
}

func (w *world) lateWriteArrives() {
	if len(w.late) > 0 {
		n := rapid.IntRange(0, len(w.late)-1).Draw(w.T, "late")
		w.late[n]()
		w.late = append(w.late[:n], w.late[n+1:]...)
	}
}

func (w *world) save() {
	s := w.platform.Save()
	w.early = &s
}

func (w *world) storeLoses() {
	if w.early != nil {
		w.platform.Restore(*w.early)
		w.lost = true
	}
}

func (w *world) restore() {
	i := w.instance()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, _ = i.writer.Restore(ctx, true)
}

func (w *world) archive() {
	a := configuration.NewArchive(w.store, w.instance().state, nil, zap.NewNop()).WithInterval(6, 4)
	_ = a.Tend(context.Background())
}

// check compares the instances with the oracle.
func (w *world) check(*rapid.T) {
	for n, i := range w.instances {
		v := i.state.View()
		if v.Revision < i.highest {
			w.Fatalf("instance %d went back from revision %d to %d", n, i.highest, v.Revision)
		}
		i.highest = v.Revision
	}
	for id, record := range w.applied {
		if w.inForce(record) > len(w.instances)/2 && w.stored(record) {
			w.accepted[id] = true
		}
	}
	for id := range w.accepted {
		for n, i := range w.instances {
			if w.inContact(i) && !i.holds(w.applied[id]) {
				w.Fatalf("instance %d is in contact and lacks the accepted change %s", n, id)
			}
		}
	}
	if w.lost {
		// What fences a write off is a key in the store, which is lost with the rest.
		return
	}
	for id := range w.refused {
		for n, i := range w.instances {
			if _, ok := i.state.Find(id); ok {
				w.Fatalf("change %s was reported as not applied and is in force at instance %d", id, n)
			}
		}
	}
}

// stored reports whether the store holds a change now.
func (w *world) stored(r configuration.Record) bool {
	entry, err := w.platform.Store().Get(context.Background(), fmt.Sprintf("medlarpond/log/%020d", r.Revision))
	return err == nil && bytes.Equal(entry.Value, r.Raw)
}

func (w *world) inForce(r configuration.Record) int {
	n := 0
	for _, i := range w.instances {
		if i.holds(r) {
			n++
		}
	}
	return n
}

// holds reports whether a change is in force; one that is older than the history held counts.
func (i *writing) holds(r configuration.Record) bool {
	chain, ok := i.state.ChainAt(r.Revision)
	if !ok {
		return r.Revision <= i.state.View().Revision
	}
	return chain == r.Chain
}

// settle ends all faults and checks what is left.
func (w *world) settle() {
	for len(w.late) > 0 {
		w.late[0]()
		w.late = w.late[1:]
	}
	for n, i := range w.instances {
		if i.reader.CatchUp(context.Background()) != nil && !w.lost {
			// It was too far behind to catch up, so an operator restarts it.
			w.boot(n)
		}
	}
	w.check(w.T)
	if w.lost {
		return
	}
	for id, record := range w.applied {
		if n := w.inForce(record); n != len(w.instances) {
			w.Fatalf("change %s was reported as applied and is in force at %d instances", id, n)
		}
	}
}

// TestModel drives three writing instances and a store with faults, and checks against the oracle that nothing reverts, no
// accepted change is lost, and no reply is false.
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
			"restart": act(w.restart), "late-write-arrives": act(w.lateWriteArrives), "": w.check,
		}
	}
	t.Run("store that keeps what it has", func(t *testing.T) {
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
	t.Run("store that comes back with less", func(t *testing.T) {
		rapid.Check(t, func(r *rapid.T) {
			inBubble(t, func() {
				w := newWorld(r)
				all := actions(w)
				all["save"] = func(t *rapid.T) { w.T = t; w.save() }
				all["store-loses"] = func(t *rapid.T) { w.T = t; w.storeLoses() }
				all["restore"] = func(t *rapid.T) { w.T = t; w.restore() }
				r.Repeat(all)
				w.T = r
				w.settle()
			})
		})
	})
}

// inBubble runs a function under a clock of its own and passes its panic on.
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
		panic(failure) // Shrinking tells failures apart by the line of the panic.
	}
	panic(failure)
}
