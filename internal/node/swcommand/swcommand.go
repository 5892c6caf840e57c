// Package swcommand implements the daemon's command line.
package swcommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/node/swdaemon"
	"github.com/sassafraswing/sassafraswing/internal/node/swdev"
	"github.com/sassafraswing/sassafraswing/internal/node/swfleet"
	"github.com/sassafraswing/sassafraswing/internal/operator/swlog"
)

// Exit codes.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitUsage means that the command line or the settings are invalid; nothing was started.
	ExitUsage = 2
)

const usage = `Usage:
  sassafraswing -settings FILE [-check]   run the daemon, or only check its settings
  sassafraswing dev                       run one host with stand-ins for all else
  sassafraswing dev -rollout VERSION      show a roll-out on three hosts with stand-ins for all else
  sassafraswing -version                  print the version
`

// Adapters maps the adapter names used in settings to the factories that create these
// adapters. Each adapter connects the daemon to one kind of operators' platform.
type Adapters map[string]swfleet.Factory

// ShowRollout shows a roll-out to a software version on hosts with stand-ins, until it is decided or ctx ends.
type ShowRollout func(ctx context.Context, version string, out io.Writer, log zerolog.Logger) error

// Main runs the command and returns its exit code.
func Main(args []string, stdout, stderr io.Writer, adapters Adapters, show ShowRollout) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Run(ctx, args, stdout, stderr, adapters, show)
}

// Run is Main with a context whose end shuts the daemon down.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer, adapters Adapters, show ShowRollout) int {
	// The hangup handler is installed first, because an unhandled hangup signal ends the process.
	hangups, release := notifyHangups()
	defer release()
	if len(args) > 0 && args[0] == "dev" {
		return runDev(ctx, args[1:], stdout, stderr, show)
	}
	flags := newFlags(stderr)
	settingsFile := flags.String("settings", "", "the daemon's settings `FILE`")
	check := flags.Bool("check", false, "check the settings and exit")
	version := flags.Bool("version", false, "print the version and exit")
	if err := flags.Parse(args); err != nil || flags.NArg() > 0 {
		fmt.Fprint(stderr, usage)
		return ExitUsage
	}
	if *version {
		fmt.Fprintln(stdout, "sassafraswing", buildVersion())
		return ExitOK
	}
	if *settingsFile == "" {
		fmt.Fprint(stderr, usage)
		return ExitUsage
	}
	settings, err := swsettings.Load(*settingsFile)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	var adapter swfleet.Factory
	if settings.Fleet != nil {
		var known bool
		if adapter, known = adapters[settings.Fleet.Adapter]; !known {
			fmt.Fprintf(stderr, "%s: fleet.adapter: there is no adapter %q\n", *settingsFile, settings.Fleet.Adapter)
			return ExitUsage
		}
	}
	if *check {
		fmt.Fprintln(stdout, *settingsFile+": valid")
		return ExitOK
	}
	if adapter != nil {
		logWriter := swlog.New(stdout, swlog.DefaultLimit)
		defer logWriter.Close()
		return exitCode(stderr, runFleet(ctx, *settingsFile, settings, hangups, adapter, logWriter))
	}
	return exitCode(stderr, swdaemon.Run(ctx, settings, newLogger(stderr, settings)))
}

// gcPercent is the growth of the heap between two collections. A host has little
// memory and a mostly idle processor: compared with the default of 100, the peak on the
// day with the highest load is 9.8 MB instead of 12.3 MB, for 5% more processor time.
const gcPercent = 25

const (
	// memoryLimitShare is the part of the process's memory from which the collector runs more often and returns memory to the operating
	// system. The rest is for what the collector does not see, such as the program itself.
	memoryLimitShare = 0.75
	// megabyte is the unit of the memory in the settings.
	megabyte = 1e6
	// memoryLimitVariable is the environment variable with which an operator sets the limit of the collector, or "off".
	memoryLimitVariable = "GOMEMLIMIT"
)

// memoryLimit returns the limit of the garbage collector in bytes, or 0 if that of the runtime stays: the one that the operator
// set in the environment.
func memoryLimit(megabytes float64, ofOperator string) int64 {
	if ofOperator != "" {
		return 0
	}
	return int64(megabytes * megabyte * memoryLimitShare)
}

// runFleet runs a host that reads its configuration, its targets and the other hosts from
// the platform's store.
func runFleet(ctx context.Context, path string, settings *swsettings.Settings, hangups <-chan os.Signal, adapter swfleet.Factory, logWriter *swlog.Writer) error {
	debug.SetGCPercent(gcPercent)
	if limit := memoryLimit(settings.Fleet.MemoryMegabytes, os.Getenv(memoryLimitVariable)); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	log := newLogger(logWriter, settings)
	log.Info().Int64("collectorLimitBytes", debug.SetMemoryLimit(-1)).Msg("memory limit of the garbage collector")
	f, err := swfleet.New(settings, adapter, log)
	if err != nil {
		return err
	}
	f.RegisterDroppedLines(logWriter.Dropped)
	watchContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	var tasks conc.WaitGroup
	tasks.Go(func() { watchSettings(watchContext, path, hangups, log, f.Reload) })
	defer tasks.Wait()
	defer stop()
	return f.Run(ctx)
}

func runDev(ctx context.Context, args []string, stdout, stderr io.Writer, show ShowRollout) int {
	flags := newFlags(stderr)
	rollout := flags.String("rollout", "", "show a roll-out to this `VERSION` of the stand-ins")
	level := flags.String("log", "", "with -rollout, log from this `LEVEL` on; without it, warnings and errors")
	if err := flags.Parse(args); err != nil || flags.NArg() > 0 {
		fmt.Fprint(stderr, usage)
		return ExitUsage
	}
	log := zerolog.New(stderr).With().Timestamp().Logger()
	if *rollout == "" {
		if *level != "" {
			fmt.Fprint(stderr, usage)
			return ExitUsage
		}
		return exitCode(stderr, swdev.Run(ctx, stdout, log))
	}
	shown := zerolog.WarnLevel
	if *level != "" {
		var err error
		if shown, err = zerolog.ParseLevel(*level); err != nil {
			fmt.Fprintf(stderr, "sassafraswing: -log: there is no level %q\n", *level)
			return ExitUsage
		}
	}
	return exitCode(stderr, show(ctx, *rollout, stdout, log.Level(shown)))
}

func newFlags(stderr io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet("sassafraswing", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {}
	return flags
}

// newLogger returns a daemon's logger, which writes lines of JSON. The level in s is
// valid, because the settings were checked when they were loaded.
func newLogger(w io.Writer, s *swsettings.Settings) zerolog.Logger {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(level).With().Timestamp().Str("host", string(s.Host)).Logger()
}

// exitCode prints err, if it is not nil, and returns the exit code.
func exitCode(stderr io.Writer, err error) int {
	if err != nil {
		fmt.Fprintln(stderr, "sassafraswing:", err)
		return ExitFailure
	}
	return ExitOK
}

// buildVersion returns the module's version, followed by the revision that it was built
// from if that is recorded.
func buildVersion() string {
	info, known := debug.ReadBuildInfo()
	if !known {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return info.Main.Version + " " + s.Value
		}
	}
	return info.Main.Version
}
