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
	putSucceeds putOutcome = iota
	putResponseLost
	putLost
	putDelayed
	putUnavailable
)

// cluster is a store with injected faults, three instances that write to it, and the results that are expected of them.
type cluster struct {
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

func newCluster(t *rapid.T) *cluster {
	c := &cluster{
		T: t, platform: standin.New(),
		applied: map[string]configuration.Record{}, refused: map[string]bool{}, accepted: map[string]bool{},
	}
	direct := c.platform.Store()
	c.store = direct
	c.store.Put = func(ctx context.Context, key string, value []byte, expected uint64) error {
		switch c.takeOutcome() {
		case putResponseLost:
			_ = direct.Put(ctx, key, value, expected)
			return &platform.ErrOutcomeUnknown{Key: key, Cause: errors.New("lost")}
		case putLost:
			return &platform.ErrOutcomeUnknown{Key: key, Cause: errors.New("lost")}
		case putDelayed:
			c.delayedPuts = append(c.delayedPuts, func() { _ = direct.Put(context.Background(), key, value, expected) })
			return &platform.ErrOutcomeUnknown{Key: key, Cause: errors.New("late")}
		case putUnavailable:
			return &platform.ErrUnavailable{Cause: errors.New("down")}
		default:
			return direct.Put(ctx, key, value, expected)
		}
	}
	for range 3 {
		c.instances = append(c.instances, &modelInstance{})
	}
	for n := range c.instances {
		c.boot(n)
		c.instances[n].unconfirmed = false
	}
	return c
}

func (c *cluster) takeOutcome() putOutcome {
	if len(c.nextOutcomes) == 0 {
		return putSucceeds
	}
	o := c.nextOutcomes[0]
	c.nextOutcomes = c.nextOutcomes[1:]
	return o
}

// boot replaces an instance by a new one, which loads the store and then pulls changes from the others.
func (c *cluster) boot(n int) {
	s := &testInstance{platform: c.platform, state: configuration.NewState()}
	s.writer = configuration.NewWriter(c.store, s.state)
	s.reader = configuration.NewReader(c.store, s.state, zap.NewNop())
	i := &modelInstance{testInstance: s, unconfirmed: true}
	s.writer.ConfirmedByPeers = func() bool { return c.confirmedByPeers(i) }
	c.instances[n] = i
	if s.reader.Load(context.Background()) != nil || s.state.View().Revision == 0 {
		c.copyFromPeer(i)
	}
	for _, other := range c.instances {
		if other.testInstance != nil {
			c.pull(i, other)
		}
	}
}

func (c *cluster) copyFromPeer(i *modelInstance) {
	for _, other := range c.instances {
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

func (c *cluster) pull(to, from *modelInstance) {
	records, _ := from.state.RecordsAfter(to.state.View().Revision, 1000)
	for _, r := range records {
		_ = to.state.Apply(r)
	}
}

// confirmedByPeers reports whether an instance has applied everything that a majority of the instances has.
func (c *cluster) confirmedByPeers(i *modelInstance) bool {
	agreeing := 0
	for _, other := range c.instances {
		v := other.state.View()
		chain, ok := i.state.ChainAt(v.Revision)
		if !other.unconfirmed && (v.Revision == 0 || (ok && chain == v.Chain)) {
			agreeing++
		}
	}
	if agreeing > len(c.instances)/2 {
		i.unconfirmed = false
		return true
	}
	return false
}

func (c *cluster) drawInstance() *modelInstance {
	return c.instances[rapid.IntRange(0, len(c.instances)-1).Draw(c.T, "instance")]
}

func (c *cluster) write() {
	i := c.drawInstance()
	c.nextOutcomes = rapid.SliceOfN(rapid.SampledFrom([]putOutcome{
		putSucceeds, putSucceeds, putResponseLost, putLost, putDelayed, putUnavailable,
	}), 0, 3).Draw(c.T, "outcomes")
	c.writeCount++
	q := configuration.ChangeRequest{ID: fmt.Sprintf("w%d", c.writeCount), Actor: "a", Reason: "r", Action: configuration.ActionUpdate}
	name := rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(c.T, "name")
	// The operator may have read the resource at a different instance.
	read, exists := c.drawInstance().state.View().Snapshot.Get(resource.KindRegion, name)
	if !exists {
		q.Action, read = configuration.ActionCreate, resource.Resource{Kind: resource.KindRegion, Name: name}
	}
	read.Spec = resource.Region{Capacity: c.writeCount}
	q.Resource = read
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	record, err := i.writer.Write(ctx, q)
	c.nextOutcomes = nil
	var unknown *configuration.ErrOutcomeUnknown
	switch {
	case err == nil:
		c.applied[q.ID] = record
	case !errors.As(err, &unknown):
		c.refused[q.ID] = true
	}
}

// exchange lets one instance pull from another and sometimes delivers old messages to it again.
func (c *cluster) exchange() {
	from, to := c.drawInstance(), c.drawInstance()
	records, _ := from.state.RecordsAfter(0, 1000)
	c.messages = append(c.messages, records...)
	c.pull(to, from)
	for range min(3, len(c.messages)) {
		n := rapid.IntRange(0, len(c.messages)-1).Draw(c.T, "message")
		_ = to.state.Apply(c.messages[n])
	}
}

func (c *cluster) catchUp() { _ = c.drawInstance().reader.CatchUp(context.Background()) }

func (c *cluster) restart() {
	n := rapid.IntRange(0, len(c.instances)-1).Draw(c.T, "restarted")
	for k, other := range c.instances {
		if k != n && other.unconfirmed {
			return
		}
	}
	c.boot(n)
}

func (c *cluster) deliverDelayedPut() {
	if len(c.delayedPuts) > 0 {
		n := rapid.IntRange(0, len(c.delayedPuts)-1).Draw(c.T, "late")
		c.delayedPuts[n]()
		c.delayedPuts = append(c.delayedPuts[:n], c.delayedPuts[n+1:]...)
	}
}

func (c *cluster) saveStore() {
	s := c.platform.Save()
	c.saved = &s
}

func (c *cluster) rollBackStore() {
	if c.saved != nil {
		c.platform.Restore(*c.saved)
		c.storeRolledBack = true
	}
}

func (c *cluster) restore() {
	i := c.drawInstance()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, _ = i.writer.Restore(ctx, true)
}

func (c *cluster) archive() {
	a := configuration.NewArchiver(c.store, c.drawInstance().state, nil, zap.NewNop()).WithInterval(6, 4)
	_ = a.ArchiveIfDue(context.Background())
}

// checkInvariants compares the instances with the expected results.
func (c *cluster) checkInvariants(*rapid.T) {
	for n, i := range c.instances {
		v := i.state.View()
		if v.Revision < i.maxRevision {
			c.Fatalf("instance %d: revision decreased from %d to %d", n, i.maxRevision, v.Revision)
		}
		i.maxRevision = v.Revision
	}
	for id, record := range c.applied {
		if c.countApplied(record) > len(c.instances)/2 && c.stored(record) {
			c.accepted[id] = true
		}
	}
	for id := range c.accepted {
		for n, i := range c.instances {
			if c.confirmedByPeers(i) && !i.hasApplied(c.applied[id]) {
				c.Fatalf("instance %d is confirmed by a majority but lacks the accepted change %s", n, id)
			}
		}
	}
	if c.storeRolledBack {
		// The keys in the store that keep a refused write from being applied later may be lost in the rollback.
		return
	}
	for id := range c.refused {
		for n, i := range c.instances {
			if _, ok := i.state.FindByID(id); ok {
				c.Fatalf("change %s was reported as not applied but is active at instance %d", id, n)
			}
		}
	}
}

// stored reports whether the store holds a change now.
func (c *cluster) stored(r configuration.Record) bool {
	entry, err := c.platform.Store().Get(context.Background(), fmt.Sprintf("medlarpond/log/%020d", r.Revision))
	return err == nil && bytes.Equal(entry.Value, r.Raw)
}

func (c *cluster) countApplied(r configuration.Record) int {
	n := 0
	for _, i := range c.instances {
		if i.hasApplied(r) {
			n++
		}
	}
	return n
}

// hasApplied reports whether a change is active. A change that is older than the history counts as active.
func (i *modelInstance) hasApplied(r configuration.Record) bool {
	chain, ok := i.state.ChainAt(r.Revision)
	if !ok {
		return r.Revision <= i.state.View().Revision
	}
	return chain == r.Chain
}

// settle ends all faults, lets the instances catch up and checks the final state.
func (c *cluster) settle() {
	for len(c.delayedPuts) > 0 {
		c.delayedPuts[0]()
		c.delayedPuts = c.delayedPuts[1:]
	}
	for n, i := range c.instances {
		if i.reader.CatchUp(context.Background()) != nil && !c.storeRolledBack {
			// The instance was too far behind to catch up, so an operator restarts it.
			c.boot(n)
		}
	}
	c.checkInvariants(c.T)
	if c.storeRolledBack {
		return
	}
	for id, record := range c.applied {
		if n := c.countApplied(record); n != len(c.instances) {
			c.Fatalf("change %s was reported as applied: got it active at %d instances, want all", id, n)
		}
	}
}

// TestModel runs random operations on three writing instances and a store with faults. It checks that no revision
// decreases, no accepted change is lost and Write reports the true outcome.
func TestModel(t *testing.T) {
	actions := func(c *cluster) map[string]func(*rapid.T) {
		act := func(f func()) func(*rapid.T) {
			return func(t *rapid.T) {
				c.T = t
				f()
			}
		}
		return map[string]func(*rapid.T){
			"write": act(c.write), "write-2": act(c.write), "exchange": act(c.exchange), "catch-up": act(c.catchUp),
			"restart": act(c.restart), "late-write-arrives": act(c.deliverDelayedPut), "": c.checkInvariants,
		}
	}
	t.Run("store without rollback", func(t *testing.T) {
		rapid.Check(t, func(r *rapid.T) {
			inBubble(t, func() {
				c := newCluster(r)
				all := actions(c)
				all["archive"] = func(t *rapid.T) { c.T = t; c.archive() }
				r.Repeat(all)
				c.T = r
				c.settle()
			})
		})
	})
	t.Run("store with rollback", func(t *testing.T) {
		rapid.Check(t, func(r *rapid.T) {
			inBubble(t, func() {
				c := newCluster(r)
				all := actions(c)
				all["save"] = func(t *rapid.T) { c.T = t; c.saveStore() }
				all["store-loses"] = func(t *rapid.T) { c.T = t; c.rollBackStore() }
				all["restore"] = func(t *rapid.T) { c.T = t; c.restore() }
				r.Repeat(all)
				c.T = r
				c.settle()
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
