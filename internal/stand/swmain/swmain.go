// Package swmain runs one stand-in as a process.
package swmain

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/stand/swengine"
	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
	"github.com/sassafraswing/sassafraswing/internal/stand/swplain"
	"github.com/sassafraswing/sassafraswing/internal/stand/swplatform"
)

// Exit statuses.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitUsage means that the arguments or the settings are wrong.
	ExitUsage = 2
)

const usage = `usage: swstand %s -address IP:port [-admin IP:port] [-settings file.yaml]
`

// StandIn is a running stand-in.
type StandIn struct {
	Handler http.Handler
	Faults  *swfault.Set
	Close   func()
}

// Kind is a kind of stand-in.
type Kind struct {
	Name string
	// Start starts a stand-in with the contents of a settings file.
	Start func(file string, data []byte, log zerolog.Logger) (StandIn, error)
}

// kinds are those of this module. The users of Run add their own.
var kinds = []Kind{
	{"engine", startEngine}, {"plain", startPlain}, {"platform", startPlatform},
}

// Run runs the stand-in that the arguments name, which is of a kind of this module or one of further, until ctx ends, and returns
// the exit status.
func Run(ctx context.Context, args []string, stderr io.Writer, further ...Kind) int {
	log := zerolog.New(stderr).With().Timestamp().Logger()
	kinds := slices.Concat(kinds, further)
	o, err := parse(args, names(kinds), stderr)
	if err != nil {
		fmt.Fprintf(stderr, "swstand: %v\n", err)
		return ExitUsage
	}
	s, err := o.start(kinds, log)
	if err != nil {
		fmt.Fprintf(stderr, "swstand: %v\n", err)
		return ExitUsage
	}
	defer s.Close()
	if err := serve(ctx, log, o, s); err != nil {
		log.Error().Err(err).Msg("stopped")
		return ExitFailure
	}
	return ExitOK
}

// options holds the process's arguments.
type options struct {
	kind     string
	address  string
	admin    string
	settings string
}

func names(kinds []Kind) []string {
	names := make([]string, len(kinds))
	for i, k := range kinds {
		names[i] = k.Name
	}
	return names
}

func parse(args, kinds []string, stderr io.Writer) (options, error) {
	flags := flag.NewFlagSet("swstand", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprintf(stderr, usage, strings.Join(kinds, "|"))
		flags.PrintDefaults()
	}
	var o options
	flags.StringVar(&o.address, "address", "", "`IP:port` to listen on")
	flags.StringVar(&o.admin, "admin", "", "`IP:port` of a listener that serves only the admin paths; with it, a crash also refuses connections to -address")
	flags.StringVar(&o.settings, "settings", "", "settings `file`; without it, defaults")
	if len(args) == 0 {
		flags.Usage()
		return options{}, errors.New("the kind of stand-in is missing")
	}
	o.kind = args[0]
	if err := flags.Parse(args[1:]); err != nil {
		return options{}, err
	}
	if flags.NArg() > 0 {
		return options{}, errors.Errorf("unexpected argument %q", flags.Arg(0))
	}
	if _, err := netip.ParseAddrPort(o.address); err != nil {
		return options{}, errors.Wrap(err, "-address")
	}
	return o, nil
}

// start reads the settings and starts the stand-in.
func (o options) start(kinds []Kind, log zerolog.Logger) (StandIn, error) {
	data := []byte("{}")
	if o.settings != "" {
		read, err := os.ReadFile(o.settings)
		if err != nil {
			return StandIn{}, errors.Wrap(err, "read settings")
		}
		data = read
	}
	for _, k := range kinds {
		if k.Name == o.kind {
			return k.Start(o.settings, data, log)
		}
	}
	return StandIn{}, errors.Errorf("unknown kind of stand-in %q (allowed: %s)", o.kind, strings.Join(names(kinds), ", "))
}

func startEngine(file string, data []byte, log zerolog.Logger) (StandIn, error) {
	c, err := swengine.ParseConfig(file, data)
	if err != nil {
		return StandIn{}, err
	}
	e := swengine.New(c, swengine.WithLog(log))
	return StandIn{Handler: e.Handler(), Faults: e.Faults(), Close: e.Close}, nil
}

func startPlain(file string, data []byte, log zerolog.Logger) (StandIn, error) {
	c, err := swplain.ParseConfig(file, data)
	if err != nil {
		return StandIn{}, err
	}
	s := swplain.New(c, swplain.WithLog(log))
	return StandIn{Handler: s.Handler(), Faults: s.Faults(), Close: s.Close}, nil
}

func startPlatform(file string, data []byte, log zerolog.Logger) (StandIn, error) {
	c, err := swplatform.ParseConfig(file, data)
	if err != nil {
		return StandIn{}, err
	}
	p := swplatform.New(c, swplatform.WithLog(log))
	return StandIn{Handler: p.Handler(), Faults: p.Faults(), Close: p.Close}, nil
}
