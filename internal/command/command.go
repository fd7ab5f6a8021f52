// Package command implements the subcommands of the program.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Version is the version of the program.
const Version = "0.1.0"

// Exit codes of the program.
const (
	ExitOK       = 0 // done; after a stop signal, stopped without cutting a request
	ExitFailed   = 1 // the subcommand failed
	ExitUsage    = 2 // wrong flags or arguments
	ExitInvalid  = 3 // a settings or configuration file has findings
	ExitRejected = 4 // a change set or a request was refused
	ExitUnknown  = 5 // the outcome is not known
)

// exitError is an error with an exit code.
type exitError struct {
	code  int
	cause error
}

// Error returns the text of the cause.
func (e *exitError) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *exitError) Unwrap() error {
	return e.cause
}

func withCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, cause: err}
}

// environment is what a subcommand writes to and is controlled by.
type environment struct {
	ctx     context.Context
	stdout  io.Writer
	stderr  io.Writer
	hangups <-chan os.Signal   // SIGHUP; nil for none
	reload  func(*slog.Logger) // called on each SIGHUP; nil for none
}

// subcommand is one subcommand with its flags.
type subcommand interface {
	run(env environment, args []string) error
}

// role is a subcommand that runs an instance of the system. SIGHUP asks it to read its
// settings again, and asks any other subcommand to stop.
type role interface {
	subcommand
	// reload reads the settings again and logs what it finds.
	reload(logger *slog.Logger)
}

type registration struct {
	name  string
	short string
	long  string
	value subcommand
}

// Run runs the program with the given arguments and returns its exit code. It
// returns when the subcommand ends; SIGTERM and SIGINT ask it to stop. SIGHUP is
// received until the process exits, since its default action would end a process that
// is stopping.
func Run(args []string, stdout, stderr io.Writer) int {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return run(environment{ctx: ctx, stdout: stdout, stderr: stderr, hangups: hangups}, args)
}

func run(env environment, args []string) int {
	var global struct {
		Version bool `long:"version" description:"Print the version and exit"`
	}
	parser := flags.NewNamedParser("oleanderspool", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "A serving layer for prompts of very unlike lengths on a few shared model backend servers.\n" +
		"Exit codes: 0 done, 1 failed, 2 usage, 3 findings in a file, 4 refused or rejected, 5 outcome unknown."
	parser.SubcommandsOptional = true
	if _, err := parser.AddGroup("Global options", "", &global); err != nil {
		return report(env, err)
	}
	values := make(map[string]subcommand)
	for _, r := range registrations() {
		if _, err := parser.AddCommand(r.name, r.short, r.long, r.value); err != nil {
			return report(env, err)
		}
		values[r.name] = r.value
	}
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return reportFlags(env, err)
	}
	if global.Version {
		fmt.Fprintln(env.stdout, Version)
		return ExitOK
	}
	if parser.Active == nil {
		parser.WriteHelp(env.stderr)
		return ExitUsage
	}
	active := values[parser.Active.Name]
	if r, ok := active.(role); ok {
		env.reload = r.reload
		signal.Ignore(syscall.SIGPIPE) // a log that nobody reads must not end an instance
	} else {
		var stop context.CancelFunc
		env.ctx, stop = signal.NotifyContext(env.ctx, syscall.SIGHUP)
		defer stop()
		env.hangups = nil
	}
	return report(env, active.run(env, rest))
}

// runReloads reads the settings again on each SIGHUP until ctx ends.
func (e environment) runReloads(ctx context.Context, logger *slog.Logger) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.hangups:
			e.reload(logger)
		}
	}
}

func reportFlags(env environment, err error) int {
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		fmt.Fprintln(env.stdout, f.Message)
		return ExitOK
	}
	fmt.Fprintln(env.stderr, err)
	return ExitUsage
}

func report(env environment, err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(env.stderr, err)
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return ExitFailed
}
