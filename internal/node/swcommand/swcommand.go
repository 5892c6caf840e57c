// Package swcommand is the daemon's command line.
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
	// ExitUsage is for a wrong command line and for invalid settings; nothing was started.
	ExitUsage = 2
)

const usage = `Usage:
  sassafraswing -settings FILE [-check]   run the daemon, or only check its settings
  sassafraswing dev                       run one host with stand-ins for all else
  sassafraswing -version                  print the version
`

// Adapters has the adapters to operators' platforms, by the names that the settings use.
type Adapters map[string]swfleet.Factory

// Main runs the command and returns its exit code.
func Main(args []string, stdout, stderr io.Writer, adapters Adapters) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Run(ctx, args, stdout, stderr, adapters)
}

// Run is Main with a context whose end shuts the daemon down.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer, adapters Adapters) int {
	// From the start, since a hang-up signal ends a process that is not notified.
	hangUps, release := notifyHangUps()
	defer release()
	if len(args) > 0 && args[0] == "dev" {
		return runDev(ctx, args[1:], stdout, stderr)
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
		fmt.Fprintln(stdout, "sassafraswing", versionOf())
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
		lines := swlog.New(stdout, swlog.DefaultLimit)
		defer lines.Close()
		return report(stderr, runFleet(ctx, *settingsFile, settings, hangUps, adapter, lines))
	}
	return report(stderr, swdaemon.Run(ctx, settings, newLog(stderr, settings)))
}

// gcPercent is the growth of the heap between two collections. A host has little
// memory and a processor that is mostly idle: against the default of 100 the peak
// fell from 12.3 to 9.8 MB on the heaviest day, for a twentieth more processor time.
const gcPercent = 25

// runFleet runs a host that follows the platform's store.
func runFleet(ctx context.Context, path string, settings *swsettings.Settings, hangUps <-chan os.Signal, adapter swfleet.Factory, lines *swlog.Writer) error {
	debug.SetGCPercent(gcPercent)
	log := newLog(lines, settings)
	f, err := swfleet.New(settings, adapter, log)
	if err != nil {
		return err
	}
	f.CountLost(lines.Dropped)
	following, stop := context.WithCancel(context.WithoutCancel(ctx))
	var tasks conc.WaitGroup
	tasks.Go(func() { followSettings(following, path, hangUps, log, f.Reload) })
	defer tasks.Wait()
	defer stop()
	return f.Run(ctx)
}

func runDev(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags(stderr)
	if err := flags.Parse(args); err != nil || flags.NArg() > 0 {
		fmt.Fprint(stderr, usage)
		return ExitUsage
	}
	return report(stderr, swdev.Run(ctx, stdout, zerolog.New(stderr).With().Timestamp().Logger()))
}

func newFlags(stderr io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet("sassafraswing", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {}
	return flags
}

// newLog returns the JSON-line log of a daemon. The settings were checked, so that the level is known.
func newLog(w io.Writer, s *swsettings.Settings) zerolog.Logger {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(level).With().Timestamp().Str("host", string(s.Host)).Logger()
}

func report(stderr io.Writer, err error) int {
	if err != nil {
		fmt.Fprintln(stderr, "sassafraswing:", err)
		return ExitFailure
	}
	return ExitOK
}

// versionOf returns the module's version, or the revision that it was built from.
func versionOf() string {
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
