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

const usage = `usage: swstand engine|plain|platform -address IP:port [-admin IP:port] [-settings file.yaml]
`

// standIn is a running stand-in.
type standIn struct {
	handler http.Handler
	faults  *swfault.Set
	close   func()
}

// Run runs the stand-in that the arguments name until ctx ends, and returns the exit status.
func Run(ctx context.Context, args []string, stderr io.Writer) int {
	log := zerolog.New(stderr).With().Timestamp().Logger()
	o, err := parse(args, stderr)
	if err != nil {
		fmt.Fprintf(stderr, "swstand: %v\n", err)
		return ExitUsage
	}
	s, err := o.start(log)
	if err != nil {
		fmt.Fprintf(stderr, "swstand: %v\n", err)
		return ExitUsage
	}
	defer s.close()
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

func parse(args []string, stderr io.Writer) (options, error) {
	flags := flag.NewFlagSet("swstand", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprint(stderr, usage)
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
func (o options) start(log zerolog.Logger) (standIn, error) {
	data := []byte("{}")
	if o.settings != "" {
		read, err := os.ReadFile(o.settings)
		if err != nil {
			return standIn{}, errors.Wrap(err, "read settings")
		}
		data = read
	}
	switch o.kind {
	case "engine":
		c, err := swengine.ParseConfig(o.settings, data)
		if err != nil {
			return standIn{}, err
		}
		e := swengine.New(c, swengine.WithLog(log))
		return standIn{handler: e.Handler(), faults: e.Faults(), close: e.Close}, nil
	case "plain":
		c, err := swplain.ParseConfig(o.settings, data)
		if err != nil {
			return standIn{}, err
		}
		s := swplain.New(c, swplain.WithLog(log))
		return standIn{handler: s.Handler(), faults: s.Faults(), close: s.Close}, nil
	case "platform":
		c, err := swplatform.ParseConfig(o.settings, data)
		if err != nil {
			return standIn{}, err
		}
		p := swplatform.New(c, swplatform.WithLog(log))
		return standIn{handler: p.Handler(), faults: p.Faults(), close: p.Close}, nil
	}
	return standIn{}, errors.Errorf("unknown kind of stand-in %q (allowed: engine, plain, platform)", o.kind)
}
