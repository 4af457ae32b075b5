// Command mpctl is the command-line client for operators: it reads and changes steering intents through the resource API.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"os/user"
	"syscall"
	"time"

	flags "github.com/jessevdk/go-flags"

	"medlarpond.dev/core/modules/exit"
	"medlarpond.dev/mpctl/api"
)

// The exit codes.
const (
	exitFailed         = exit.Failed
	exitUsage          = exit.Usage
	exitNotFound       = 3
	exitConflict       = 4
	exitOutcomeUnknown = 5
	// exitNotApplied is for a change that is stored, but not yet applied by all instances that must apply it.
	exitNotApplied = 6
)

// options are the flags of all commands.
type options struct {
	Server string        `long:"server" env:"MEDLARPOND_SERVER" default:"http://127.0.0.1:7201" description:"operator address of any entry instance"`
	Output string        `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"output format"`
	Actor  string        `long:"actor" env:"MEDLARPOND_ACTOR" description:"who makes the change (default: the login name)"`
	Reason string        `short:"m" long:"reason" description:"why the change is made; required for changes"`
	ID     string        `long:"change-id" description:"identifier of the change, to send it again safely (default: a random one)"`
	Wait   time.Duration `long:"wait" optional:"yes" optional-value:"15s" description:"wait until a change is in force in every instance, for 15s or the given time"`
}

// program holds the flags and the context of one invocation.
type program struct {
	options options
	ctx     context.Context //nolint:containedctx // the lifetime of one invocation
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	p := &program{ctx: ctx}
	_, err := newParser(p).Parse()
	stop()
	os.Exit(report(err))
}

// newParser returns the parser of the command line.
func newParser(p *program) *flags.Parser {
	parser := flags.NewNamedParser("mpctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "read and change the steering intents of medlarpond"
	parser.LongDescription = helpText
	_, _ = parser.AddGroup("Options", "", &p.options)
	for _, c := range commands(p) {
		_, _ = parser.AddCommand(c.name, c.short, c.long, c.data)
	}
	keys := parser.Find("keys")
	_, _ = keys.AddCommand("grant", "grant a key to a team", grantHelp, &grantCommand{program: p})
	_, _ = keys.AddCommand("withdraw", "revoke a key", withdrawHelp, &withdrawCommand{program: p})
	return parser
}

// changeMetadata returns the metadata of a change from the flags. The actor defaults to the login name.
func (p *program) changeMetadata() (api.ChangeMetadata, error) {
	metadata := api.ChangeMetadata{Actor: p.options.Actor, Reason: p.options.Reason, ID: p.options.ID}
	if metadata.Actor == "" {
		if u, err := user.Current(); err == nil {
			metadata.Actor = u.Username
		}
	}
	if metadata.Reason == "" {
		return metadata, &errUsage{message: "a reason is required: give one with -m, such as -m 'siliguri is overloaded'"}
	}
	return metadata, nil
}

func (p *program) client() *api.Client { return api.New(p.options.Server) }

// errUsage is returned for invalid arguments.
type errUsage struct {
	message string
}

// Error implements error.
func (e *errUsage) Error() string { return e.message }

// report prints an error and returns its exit code.
func report(err error) int {
	if err == nil {
		return 0
	}
	var parseErr *flags.Error
	if errors.As(err, &parseErr) && parseErr.Type == flags.ErrHelp {
		fmt.Println(parseErr.Message)
		return 0
	}
	fmt.Fprintln(os.Stderr, "mpctl: "+err.Error())
	var usageErr *errUsage
	var unreadable *errUnreadable
	var notApplied *errNotApplied
	var refused *api.ErrRefused
	switch {
	case errors.As(err, &parseErr), errors.As(err, &usageErr), errors.As(err, &unreadable):
		return exitUsage
	case errors.As(err, &refused):
		return exitCode(refused)
	case errors.As(err, &notApplied):
		return exitNotApplied
	default:
		return exitFailed
	}
}

func exitCode(e *api.ErrRefused) int {
	switch e.Reason {
	case "not-found":
		return exitNotFound
	case "version-conflict", "version-required":
		return exitConflict
	case "outcome-unknown":
		return exitOutcomeUnknown
	default:
		return exitFailed
	}
}
