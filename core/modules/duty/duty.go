// Package duty runs the long-lived duties of a process as actors in a supervisor tree.
//
// Each duty is one actor with a bounded mailbox. A duty that panics is restarted by its supervisor;
// a duty that fails too often within a window stops its whole group, which the owner sees through Failed.
package duty

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"
)

const (
	// MailboxCapacity is the number of messages that a duty's mailbox holds.
	MailboxCapacity = 256
	// maxRestarts is the number of restarts of one duty allowed within restartWindow.
	maxRestarts = 10
	// restartWindow is the span over which restarts are counted.
	restartWindow = time.Minute
	// stopTimeout bounds the wait for the actors to stop.
	stopTimeout = 5 * time.Second
)

// Duty describes one long-lived activity.
type Duty struct {
	// Name is unique within its tree, in kebab case.
	Name string
	// Run does the work and returns when its context ends; a panic or an error makes the supervisor run it again,
	// nil ends it for good.
	Run func(ctx context.Context) error
}

// Tree is a supervisor with one child actor for each duty.
type Tree struct {
	system *actor.ActorSystem
	root   *actor.PID
	logger *zap.Logger
	ctx    context.Context //nolint:containedctx // the tree's own lifetime, ended by Stop
	cancel context.CancelFunc
	// running counts the duties whose Run has not returned.
	running sync.WaitGroup
}

// start asks the supervisor to spawn a duty.
type start struct{ duty Duty }

// ended tells a duty's actor that its Run returned or panicked.
type ended struct {
	err      error
	panicked any
}

// New starts an empty supervisor tree.
func New(logger *zap.Logger) *Tree {
	quiet := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }
	ctx, cancel := context.WithCancel(context.Background())
	t := &Tree{
		system: actor.NewActorSystem(actor.WithLoggerFactory(quiet)),
		logger: logger,
		ctx:    ctx,
		cancel: cancel,
	}
	strategy := actor.NewOneForOneStrategy(maxRestarts, restartWindow, t.decide)
	props := actor.PropsFromFunc(t.supervise, actor.WithMailbox(actor.Bounded(MailboxCapacity)), actor.WithSupervisor(strategy))
	t.root = t.system.Root.Spawn(props)
	return t
}

// Start adds a duty to the tree.
func (t *Tree) Start(d Duty) {
	t.system.Root.Send(t.root, start{duty: d})
}

// Stop ends every duty and waits until their Run functions have returned.
func (t *Tree) Stop() {
	t.cancel()
	future := t.system.Root.PoisonFuture(t.root)
	done := make(chan struct{})
	go func() {
		_ = future.Wait()
		t.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(stopTimeout):
		t.logger.Warn("duties did not stop in time", zap.Duration("timeout", stopTimeout))
	}
	t.system.Shutdown()
}

func (t *Tree) decide(reason any) actor.Directive {
	t.logger.Error("duty failed; restarting it", zap.Any("reason", reason))
	return actor.RestartDirective
}

func (t *Tree) supervise(c actor.Context) {
	m, ok := c.Message().(start)
	if !ok {
		return
	}
	props := actor.PropsFromProducer(
		func() actor.Actor { return &child{tree: t, duty: m.duty} },
		actor.WithMailbox(actor.Bounded(MailboxCapacity)),
	)
	if _, err := c.SpawnNamed(props, m.duty.Name); err != nil {
		t.logger.Error("cannot start duty", zap.String("duty", m.duty.Name), zap.Error(err))
	}
}

// child is the actor of one duty; it owns the goroutine that runs the duty.
type child struct {
	tree *Tree
	duty Duty
}

// Receive starts the duty when the actor starts and fails the actor when the duty ends early.
func (c *child) Receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case *actor.Started:
		c.launch(ctx)
	case ended:
		if c.tree.ctx.Err() != nil || (m.err == nil && m.panicked == nil) {
			return
		}
		if m.panicked != nil {
			panic(m.panicked)
		}
		panic(m.err)
	}
}

func (c *child) launch(ctx actor.Context) {
	self, system := ctx.Self(), ctx.ActorSystem()
	c.tree.running.Add(1)
	go func() {
		defer c.tree.running.Done()
		result := c.run()
		if c.tree.ctx.Err() == nil {
			system.Root.Send(self, result)
		}
	}()
}

func (c *child) run() (result ended) {
	defer func() {
		if p := recover(); p != nil {
			result = ended{panicked: p}
		}
	}()
	return ended{err: c.duty.Run(c.tree.ctx)}
}
