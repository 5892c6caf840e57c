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
	// leaveTime is how long a leaving host still takes requests: until the
	// platform, which asks each second and believes the second answer, leads
	// callers elsewhere.
	leaveTime = 3500 * swclock.Millis(1)
	// refuseTime is how long a leaving host takes new requests. What arrives later
	// could still run at the end of the shutdown.
	refuseTime = 2500 * swclock.Millis(1)
	// exitMargin is how long before the shutdown's end what still runs is cut, so
	// that the process ends by itself.
	exitMargin = 500 * swclock.Millis(1)
	// registerTimeout bounds one try to register the host.
	registerTimeout = 1500 * swclock.Millis(1)
	// registerRetry is the wait after a failed try.
	registerRetry = 200 * swclock.Millis(1)
	// headerTimeout bounds a request for readiness or metrics.
	headerTimeout = 3 * swclock.Second
	// idleTimeout closes a caller's connection that carries no request. It is
	// longer than the operators' limits, so that a caller does not meet the close.
	idleTimeout = swclock.Minute
)

// gateway hands callers' requests to the gate once that is built.
type gateway struct {
	handler atomic.Pointer[http.Handler]
}

// ServeHTTP implements http.Handler.
func (g *gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h := g.handler.Load(); h != nil {
		(*h).ServeHTTP(w, r)
		return
	}
	w.Header().Set("Retry-After", "0.3")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Run serves until ctx ends, and then finishes what the host holds.
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
	var g gateway
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers := &http.Server{
		Handler: &g, ReadHeaderTimeout: f.settings.Caller.HeaderTimeout.Duration(),
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
			return nil // told to stop before it was registered
		}
		f.assemble()
		if err := f.network.Listen(); err != nil {
			return err
		}
		handler := f.platform.Callers(f.gate, f.leaving.Load)
		g.handler.Store(&handler)
		return f.serve(ctx, running, callers)
	})
	return tasks.Wait()
}

// serve runs the parts until ctx ends, and then leaves.
func (f *Fleet) serve(ctx, running context.Context, callers *http.Server) error {
	parts, stop := context.WithCancel(running)
	tasks := pool.New().WithErrors().WithContext(parts)
	tasks.Go(f.network.Run)
	for _, run := range []func(context.Context){f.owner.Run, f.catalogs.Run, f.targets.Run, f.hosts.Run, f.stayAttached} {
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

// leave has callers led elsewhere, finishes what is held and closes the callers' connections.
func (f *Fleet) leave(parts context.Context, callers *http.Server) {
	started := f.clock.Now()
	f.leaving.Store(true)
	f.log.Info().Int("held", f.holder.Held()).Msg("leaving")
	f.router.leave()
	f.tellLeaving()
	f.ownerMayHaveMoved()
	sleep(parts, refuseTime-(f.clock.Now()-started))
	f.gate.Leave()
	sleep(parts, leaveTime-(f.clock.Now()-started))
	f.holder.EndWaiting()
	rest := f.settings.ShutdownTimeout - exitMargin - (f.clock.Now() - started)
	ending, cancel := context.WithTimeout(parts, max(rest, 0).Duration())
	defer cancel()
	if err := callers.Shutdown(ending); err != nil {
		f.log.Warn().Int("held", f.holder.Held()).Msg("shutdown cut requests that were still held")
	}
}

// ready reports whether the host takes callers.
func (f *Fleet) ready() bool { return f.view.complete() && f.gate.Fresh() && !f.leaving.Load() }

// register writes this host's entry, again until it succeeds or ctx ends.
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
		sleep(ctx, registerRetry)
	}
}

func (f *Fleet) hostEntry() swcatalog.Host {
	return swcatalog.Host{
		ID: f.settings.Host, Zone: f.settings.Zone, Region: f.settings.Region, Address: f.settings.Peer.Address,
		Incarnation: f.self.Incarnation,
	}
}

// listeners are those of the host, but for that of the peers.
type listeners struct{ callers, readiness, operators net.Listener }

func (f *Fleet) listen() (l listeners, err error) {
	if l.callers, err = net.Listen("tcp", f.settings.Caller.Address); err != nil {
		return l, errors.Wrap(err, "listen for callers")
	}
	if l.readiness, err = net.Listen("tcp", f.settings.Fleet.ReadinessAddress); err != nil {
		return l, errors.Wrap(err, "listen for the platform")
	}
	if l.operators, err = net.Listen("tcp", f.settings.Operator.Address); err != nil {
		return l, errors.Wrap(err, "listen for operators")
	}
	return l, nil
}

// serve returns a task that serves until the context ends.
func serve(name string, s *http.Server, l net.Listener) func(context.Context) error {
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = s.Close() }) // what is open then is cut
		defer stop()
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve "+name)
		}
		return nil
	}
}

// operators returns the handler of metrics.
func (f *Fleet) operators() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(f.registry, promhttp.HandlerOpts{}))
	return mux
}

// sleep waits for a span, or until ctx ends.
func sleep(ctx context.Context, span swclock.Millis) {
	timer := time.NewTimer(max(span, 0).Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
