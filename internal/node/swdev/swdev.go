// Package swdev runs one host in one process, with stand-ins (simulated servers) for
// the platform and the targets, on the embedded example document.
package swdev

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/config/swexample"
	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/node/swdaemon"
	"github.com/sassafraswing/sassafraswing/internal/stand/swengine"
	"github.com/sassafraswing/sassafraswing/internal/stand/swplain"
	"github.com/sassafraswing/sassafraswing/internal/stand/swplatform"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// readHeaderTimeout limits the time to read the header of a request to a stand-in.
const readHeaderTimeout = 10 * swclock.Second

// Run runs the host and its stand-ins until ctx ends. It prints to out how to send a request.
func Run(ctx context.Context, out io.Writer, log zerolog.Logger) error {
	document, err := swdoc.Parse(swexample.DocumentFile, swexample.Document())
	if err != nil {
		return err
	}
	settings, err := swsettings.Parse(swexample.SettingsFile, swexample.Settings())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tasks := pool.New().WithErrors().WithContext(ctx).WithCancelOnError()
	// The stand-ins run longer than the daemon, so that its graceful shutdown can
	// complete the requests that it holds.
	standInContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := startStandIns(standInContext, tasks, settings, document); err != nil {
		return err
	}
	tasks.Go(func(ctx context.Context) error {
		defer stop()
		return swdaemon.Run(ctx, settings, log, swdaemon.WithFirstDocument(swexample.Document()))
	})
	printExample(out, settings)
	return tasks.Wait()
}

// startStandIns starts the stand-ins. It returns once all of them are listening, so that
// none is used before.
func startStandIns(ctx context.Context, tasks *pool.ContextPool, s *swsettings.Settings, d *swdoc.Document) error {
	platform := swplatform.New(swplatform.Config{})
	platform.SetHosts([]swobject.Host{{ID: s.Host, Zone: s.Zone, Region: s.Region, Address: s.Peer.Address, State: swobject.HostLive}})
	if err := serve(ctx, tasks, s.Platform.URL, platform.Handler(), platform.Close); err != nil {
		return err
	}
	for _, t := range d.Targets {
		handler, end := newStandIn(t, d)
		if err := serve(ctx, tasks, t.URL, handler, end); err != nil {
			return err
		}
	}
	return nil
}

// newStandIn returns the handler of a target's stand-in and a function that closes the
// stand-in. A target with a hardware generation gets an engine, any other a plain service.
func newStandIn(t swdoc.Target, d *swdoc.Document) (handler http.Handler, end func()) {
	for _, g := range d.Generations {
		if g.ID == t.Generation {
			engine := swengine.New(swengine.Config{
				Slots: t.Slots, KVTokens: t.KVTokens, PrefillRate: g.PrefillRate, DecodeRate: g.DecodeRate,
				EnforceFencing: t.Fencing == swdoc.FencingHonoured,
			})
			return engine.Handler(), engine.Close
		}
	}
	service := swplain.New(swplain.Config{})
	return service.Handler(), service.Close
}

// serve listens on the address of rawURL before it returns, and serves until ctx ends.
func serve(ctx context.Context, tasks *pool.ContextPool, rawURL string, handler http.Handler, end func()) error {
	u, err := url.Parse(rawURL)
	if err != nil {
		return errors.Wrap(err, "parse the URL of a stand-in")
	}
	listener, err := net.Listen("tcp", u.Host)
	if err != nil {
		return errors.Wrap(err, "listen for a stand-in")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout.Duration()}
	tasks.Go(func(context.Context) error {
		defer end()
		stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // a stand-in has no data to lose
		defer stop()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve a stand-in")
		}
		return nil
	})
	return nil
}

func printExample(out io.Writer, s *swsettings.Settings) {
	fmt.Fprintf(out, `sassafraswing runs with two engines and a plain service. Send a request:

curl -N http://%s/v1/chat/completions \
  -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' \
  -d '{"model":"chat","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"Hello"}]}'

Status and metrics: http://%s/status and http://%s/metrics. Stop with Ctrl-C.

A roll-out on three hosts, to a version that is sound, or of which some answers fail, are cut off or are slow, or all are slow:

sassafraswing dev -rollout v2|fails|cuts|slow|slower
`, s.Caller.Address, swexample.APIKey, s.Operator.Address, s.Operator.Address)
}
