// Package duty runs the long-lived background tasks of a process, its duties, as actors under a supervisor.
//
// Each duty is one actor with a bounded mailbox. The supervisor restarts a duty that panics or returns an error, and
// permanently stops a duty that fails too often within a time window. The other duties are not affected.
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
	// maxRestarts is the number of restarts of a duty that are allowed within restartWindow.
	maxRestarts = 10
	// restartWindow is the time over which restarts are counted.
	restartWindow = time.Minute
	// stopTimeout bounds the wait for all duties to stop.
	stopTimeout = 5 * time.Second
)

// Duty is a long-lived background task.
type Duty struct {
	// Name is unique among the duties of a supervisor, in kebab case.
	Name string
	// Run does the work and returns when its context is done. After a panic or an error the supervisor runs it again; after
	// nil it does not.
	Run func(ctx context.Context) error
}

// Supervisor runs each duty in a child actor of its own.
type Supervisor struct {
	system *actor.ActorSystem
	root   *actor.PID
	logger *zap.Logger
	ctx    context.Context //nolint:containedctx // the lifetime of the supervisor, ended by Stop
	cancel context.CancelFunc
	// running counts the duties whose Run has not returned.
	running sync.WaitGroup
}

// startRequest asks the supervisor to spawn a duty.
type startRequest struct{ duty Duty }

// runResult is sent to a duty's actor when its Run has returned or panicked.
type runResult struct {
	err      error
	panicked any
}

// New starts a supervisor without duties.
func New(logger *zap.Logger) *Supervisor {
	discardLogs := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }
	ctx, cancel := context.WithCancel(context.Background())
	s := &Supervisor{
		system: actor.NewActorSystem(actor.WithLoggerFactory(discardLogs)),
		logger: logger,
		ctx:    ctx,
		cancel: cancel,
	}
	strategy := actor.NewOneForOneStrategy(maxRestarts, restartWindow, s.onFailure)
	props := actor.PropsFromFunc(s.supervise, actor.WithMailbox(actor.Bounded(MailboxCapacity)), actor.WithSupervisor(strategy))
	s.root = s.system.Root.Spawn(props)
	return s
}

// Start starts a duty.
func (s *Supervisor) Start(d Duty) {
	s.system.Root.Send(s.root, startRequest{duty: d})
}

// Stop ends the context of every duty and waits until their Run functions have returned, at most for stopTimeout.
func (s *Supervisor) Stop() {
	s.cancel()
	future := s.system.Root.PoisonFuture(s.root)
	done := make(chan struct{})
	go func() {
		_ = future.Wait()
		s.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(stopTimeout):
		s.logger.Warn("duties did not stop before the timeout", zap.Duration("timeout", stopTimeout))
	}
	s.system.Shutdown()
}

// onFailure decides what the supervisor does with a failed duty. The restart strategy stops the duty instead if it has
// used up its restarts.
func (s *Supervisor) onFailure(reason any) actor.Directive {
	s.logger.Error("duty failed; restarting it unless it has failed too often", zap.Any("reason", reason))
	return actor.RestartDirective
}

// supervise is the actor function of the supervisor; it spawns a child actor for each start request.
func (s *Supervisor) supervise(c actor.Context) {
	m, ok := c.Message().(startRequest)
	if !ok {
		return
	}
	props := actor.PropsFromProducer(
		func() actor.Actor { return &child{supervisor: s, duty: m.duty} },
		actor.WithMailbox(actor.Bounded(MailboxCapacity)),
	)
	if _, err := c.SpawnNamed(props, m.duty.Name); err != nil {
		s.logger.Error("cannot start duty", zap.String("duty", m.duty.Name), zap.Error(err))
	}
}

// child is the actor of one duty; it owns the goroutine that runs the duty.
type child struct {
	supervisor *Supervisor
	duty       Duty
}

// Receive runs the duty when the actor starts, and panics when the duty has failed, so that the supervisor restarts it.
func (c *child) Receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case *actor.Started:
		c.launch(ctx)
	case runResult:
		if c.supervisor.ctx.Err() != nil || (m.err == nil && m.panicked == nil) {
			return
		}
		if m.panicked != nil {
			panic(m.panicked)
		}
		panic(m.err)
	}
}

// launch runs the duty in a goroutine, so that the actor stays able to receive messages.
func (c *child) launch(ctx actor.Context) {
	self, system := ctx.Self(), ctx.ActorSystem()
	c.supervisor.running.Add(1)
	go func() {
		defer c.supervisor.running.Done()
		result := c.run()
		if c.supervisor.ctx.Err() == nil {
			system.Root.Send(self, result)
		}
	}()
}

// run runs the duty once and recovers its panic.
func (c *child) run() (result runResult) {
	defer func() {
		if p := recover(); p != nil {
			result = runResult{panicked: p}
		}
	}()
	return runResult{err: c.duty.Run(c.supervisor.ctx)}
}
