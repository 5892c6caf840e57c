// Package swclient implements swctl, the operators' command line. It validates,
// compares and applies environment documents, shows the state of hosts and of
// roll-outs, drains hosts and targets, sends orders to engines and prints events.
package swclient

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/config/swtls"
	"github.com/sassafraswing/sassafraswing/internal/config/swyaml"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/operator/swadmin"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2 // wrong usage, or an invalid document
	ExitConflict    = 3
	ExitUnreachable = 4 // no response from the daemon, or the daemon reported unavailable, unknown or notApplied
)

const (
	defaultServer  = "http://127.0.0.1:8082"
	defaultTimeout = 30 * swclock.Second
)

// usageError reports a wrong command line, or a file named on it that cannot be read
// or used.
type usageError struct{ text string }

// Error implements error.
func (e *usageError) Error() string { return e.text }

func usageErrorf(format string, a ...any) error { return &usageError{text: fmt.Sprintf(format, a...)} }

// command is a subcommand of swctl.
type command struct {
	name  string
	usage string
	run   func(*session, []string) error
}

func commands() []command {
	return []command{
		{"validate", "FILE", (*session).validate},
		{"diff", "FILE [FILE]", (*session).diff},
		{"document", "", (*session).showDocument},
		{"apply", "-base VERSION [-change ID] FILE", (*session).apply},
		{"promote", "-to URL [-base VERSION] [-change ID]", (*session).promote},
		{"status", "", (*session).status},
		{"drain", "target|host ID", (*session).drain},
		{"undrain", "target|host ID", (*session).undrain},
		{"order", "TARGET load-model|load-adapter|set-role ARGUMENT [VERSION]", (*session).order},
		{"rollouts", "[URL ...]", (*session).rollouts},
		{"follow", "[-count N]", (*session).follow},
	}
}

// session holds the global flags and the output streams of one run of swctl.
type session struct {
	ctx         context.Context
	output      io.Writer
	errorOutput io.Writer
	server      string
	keys        *swtls.Keys
	json        bool
	// timeout bounds the calls of all commands except follow.
	timeout swclock.Millis
}

// Main runs one command and returns its exit code.
func Main(ctx context.Context, arguments []string, output, errorOutput io.Writer) int {
	s := &session{ctx: ctx, output: output, errorOutput: errorOutput}
	if err := s.main(arguments); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(errorOutput, "swctl:", err)
		}
		return exitCode(err)
	}
	return ExitOK
}

func (s *session) main(arguments []string) error {
	flags := s.flags("swctl")
	var files swsettings.TLS
	flags.StringVar(&s.server, "server", defaultServer, "URL of a daemon's interface for operators")
	flags.StringVar(&files.CertificateFile, "certificate", "", "file of the operator's certificate")
	flags.StringVar(&files.KeyFile, "key", "", "file of the operator's key")
	flags.StringVar(&files.AuthorityFile, "authority", "", "file of the CA certificates, one of which must have signed the daemon's certificate")
	flags.BoolVar(&s.json, "json", false, "print JSON")
	timeout := flags.Duration("timeout", defaultTimeout.Duration(), "timeout of the command, except for follow")
	flags.Usage = func() { printUsage(s.errorOutput, flags) }
	if err := parseFlags(flags, arguments); err != nil {
		return err
	}
	s.timeout = swclock.FromDuration(*timeout)
	files.Off = files == swsettings.TLS{}
	var err error
	if s.keys, err = swtls.New(files, swclock.NewSystem(), func(error) {}); err != nil {
		return usageErrorf("%v", err)
	}
	for _, c := range commands() {
		if c.name == flags.Arg(0) {
			return c.run(s, flags.Args()[1:])
		}
	}
	return usageErrorf("unknown command %q; see swctl -help", flags.Arg(0))
}

func printUsage(w io.Writer, flags *flag.FlagSet) {
	fmt.Fprintln(w, "usage: swctl [flags] COMMAND [arguments]")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %s %s\n", c.name, c.usage)
	}
	flags.PrintDefaults()
}

func (s *session) flags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(s.errorOutput)
	return flags
}

func parseFlags(flags *flag.FlagSet, arguments []string) error {
	err := flags.Parse(arguments)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		return usageErrorf("%v", err)
	}
	return err
}

// client returns a client of a daemon and a context for its calls.
func (s *session) client(server string) (*client, context.Context, context.CancelFunc, error) {
	c, err := newClient(server, s.keys)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.timeout.Duration())
	return c, ctx, cancel, nil
}

func exitCode(err error) int {
	var usage *usageError
	var problems *swyaml.Error
	var failure *swadmin.Failure
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &usage), errors.As(err, &problems):
		return ExitUsage
	case errors.Is(err, errUnreachable):
		return ExitUnreachable
	case errors.As(err, &failure):
		return failureExitCode(failure.Code)
	}
	return ExitFailure
}

func failureExitCode(code swadmin.Code) int {
	switch code {
	case swadmin.CodeInvalid, swadmin.CodeTooLarge:
		return ExitUsage
	case swadmin.CodeConflict:
		return ExitConflict
	case swadmin.CodeUnavailable, swadmin.CodeUnknown, swadmin.CodeNotApplied:
		return ExitUnreachable
	}
	return ExitFailure
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageErrorf("%v", err)
	}
	return data, nil
}
