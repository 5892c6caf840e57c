package swfleet

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sourcegraph/conc/pool"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
)

const (
	// endWaitingAfter is the time after the start of leaving at which requests that
	// still wait for a grant are ended. By then the platform, which checks readiness
	// each second and acts on the second answer, sends callers to other hosts.
	endWaitingAfter = 3500 * swclock.Millis(1)
	// refuseAfter is how long a leaving host accepts new requests. A request that
	// arrives later could still be running at the end of the shutdown.
	refuseAfter = 2500 * swclock.Millis(1)
	// exitMargin is how long before the end of the shutdown timeout the remaining
	// requests are cut off, so that the process exits by itself.
	exitMargin = 500 * swclock.Millis(1)
	// registerTimeout bounds one attempt to register the host in the store.
	registerTimeout = 1500 * swclock.Millis(1)
	// registerRetryInterval is the wait after a failed attempt.
	registerRetryInterval = 200 * swclock.Millis(1)
	// headerTimeout bounds a request for readiness or metrics.
	headerTimeout = 3 * swclock.Second
	// idleTimeout closes a caller's connection that carries no request. It is longer
	// than the limits that operators configure, so that no caller sends a request on a
	// connection that is being closed.
	idleTimeout = swclock.Minute
)

// callerHandler forwards callers' requests to the gate. Until the gate is assembled,
// it answers them with 503.
type callerHandler struct {
	handler atomic.Pointer[http.Handler]
}

// ServeHTTP implements http.Handler.
func (c *callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h := c.handler.Load(); h != nil {
		(*h).ServeHTTP(w, r)
		return
	}
	w.Header().Set("Retry-After", "0.3")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Run serves until ctx ends, and then finishes the requests that the host holds.
func (f *Fleet) Run(ctx context.Context) error {
	f.log.Info().Str("zone", string(f.settings.Zone)).Str("address", f.settings.Caller.Address).Msg("starting")
	err := f.run(ctx)
	f.log.Info().Err(err).Msg("stopped")
	return err
}

func (f *Fleet) run(ctx context.Context) error {
	listeners, err := f.listen()
	if err != nil {
		return err
	}
	var c callerHandler
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers := &http.Server{
		Handler: &c, ReadHeaderTimeout: f.settings.Caller.HeaderTimeout.Duration(),
		MaxHeaderBytes: f.settings.Caller.MaxHeaderBytes, IdleTimeout: idleTimeout.Duration(),
	}
	readiness := &http.Server{
		Handler:           f.platform.Readiness(func() bool { return f.ready() }),
		ReadHeaderTimeout: headerTimeout.Duration(),
	}
	operators := &http.Server{Handler: f.operators(), ReadHeaderTimeout: headerTimeout.Duration()}
	tasks := pool.New().WithErrors().WithContext(running).WithCancelOnError()
	tasks.Go(serve("callers", callers, listeners.callers))
	tasks.Go(serve("readiness", readiness, listeners.readiness))
	tasks.Go(serve("operators", operators, listeners.operators))
	tasks.Go(func(running context.Context) error {
		defer stop()
		if err := f.register(ctx); err != nil {
			return nil // ctx ended before the host was registered
		}
		f.assemble()
		if err := f.network.Listen(); err != nil {
			return err
		}
		handler := f.platform.Callers(f.gate, f.leaving.Load)
		c.handler.Store(&handler)
		return f.serve(ctx, running, callers)
	})
	return tasks.Wait()
}

// serve runs the host's components until ctx ends, and then leaves. It stops without
// leaving if running ends first.
func (f *Fleet) serve(ctx, running context.Context, callers *http.Server) error {
	parts, stop := context.WithCancel(running)
	tasks := pool.New().WithErrors().WithContext(parts)
	tasks.Go(f.network.Run)
	for _, run := range []func(context.Context){f.owner.Run, f.catalogs.Run, f.targets.Run, f.hosts.Run, f.renewRegistration} {
		tasks.Go(func(ctx context.Context) error {
			run(ctx)
			return nil
		})
	}
	select {
	case <-ctx.Done():
		f.leave(parts, callers)
	case <-running.Done():
	}
	stop()
	return tasks.Wait()
}

// leave reports the host as not ready, so that the platform sends callers to other
// hosts, then finishes the held requests and closes the callers' connections.
func (f *Fleet) leave(parts context.Context, callers *http.Server) {
	started := f.clock.Now()
	f.leaving.Store(true)
	f.log.Info().Int("held", f.holder.Held()).Msg("leaving")
	f.router.leave()
	f.announceLeaving()
	f.refreshOwner()
	sleep(parts, refuseAfter-(f.clock.Now()-started))
	f.gate.Leave()
	sleep(parts, endWaitingAfter-(f.clock.Now()-started))
	f.holder.EndWaiting()
	remaining := f.settings.ShutdownTimeout - exitMargin - (f.clock.Now() - started)
	shutdownCtx, cancel := context.WithTimeout(parts, max(remaining, 0).Duration())
	defer cancel()
	if err := callers.Shutdown(shutdownCtx); err != nil {
		f.log.Warn().Int("held", f.holder.Held()).Msg("shutdown cut requests that were still held")
	}
}

// ready reports whether the host accepts callers' requests.
func (f *Fleet) ready() bool { return f.view.complete() && f.gate.Fresh() && !f.leaving.Load() }

// register writes this host's entry to the store, retrying until it succeeds or ctx ends.
func (f *Fleet) register(ctx context.Context) error {
	for {
		call, cancel := context.WithTimeout(ctx, registerTimeout.Duration())
		incarnation, err := f.platform.Register(call, f.hostEntry())
		cancel()
		if err == nil {
			f.self = swlink.Peer{Host: f.settings.Host, Incarnation: incarnation}
			f.log.Info().Uint64("incarnation", uint64(incarnation)).Msg("registered")
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		f.log.Warn().Err(err).Msg("not registered yet")
		sleep(ctx, registerRetryInterval)
	}
}

func (f *Fleet) hostEntry() swcatalog.Host {
	return swcatalog.Host{
		ID: f.settings.Host, Zone: f.settings.Zone, Region: f.settings.Region, Address: f.settings.Peer.Address,
		Incarnation: f.self.Incarnation,
	}
}

// listeners are the host's listeners, except the one for peers.
type listeners struct{ callers, readiness, operators net.Listener }

func (f *Fleet) listen() (l listeners, err error) {
	if l.callers, err = net.Listen("tcp", f.settings.Caller.Address); err != nil {
		return l, errors.Wrap(err, "listen for callers")
	}
	if l.readiness, err = net.Listen("tcp", f.settings.Fleet.ReadinessAddress); err != nil {
		return l, errors.Wrap(err, "listen for readiness checks")
	}
	if l.operators, err = net.Listen("tcp", f.settings.Operator.Address); err != nil {
		return l, errors.Wrap(err, "listen for operators")
	}
	return l, nil
}

// serve returns a task that serves HTTP on l until its context ends.
func serve(name string, s *http.Server, l net.Listener) func(context.Context) error {
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = s.Close() }) // cuts off open connections
		defer stop()
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve "+name)
		}
		return nil
	}
}

// operators returns the handler for operators, which serves the metrics.
func (f *Fleet) operators() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(f.registry, promhttp.HandlerOpts{}))
	return mux
}

// sleep waits for span, or until ctx ends.
func sleep(ctx context.Context, span swclock.Millis) {
	timer := time.NewTimer(max(span, 0).Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
