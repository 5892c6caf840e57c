package swfleet

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/sassafraswing/sassafraswing/internal/caller/swcallerconn"
	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swelect"
	"github.com/sassafraswing/sassafraswing/internal/operator/swadmin"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
)

const (
	// endWaitingAfter is the time after the start of leaving at which the holder ends
	// the requests that still wait for a grant. By then the platform sends callers to
	// other hosts: it checks readiness each second and acts on the second answer that
	// the host is not ready.
	endWaitingAfter = 3500 * swclock.Millis(1)
	// refuseAfter is the time after the start of leaving at which the gate begins to
	// deny new requests. A request that arrives later could still be running at the end
	// of the shutdown.
	refuseAfter = 2500 * swclock.Millis(1)
	// exitMargin is how long before the end of the shutdown timeout the host cuts off
	// the remaining connections, so that the process exits by itself within the timeout.
	exitMargin = 500 * swclock.Millis(1)
	// answerMargin is how long before that the holder ends the remaining requests, so that
	// their callers get an answer.
	answerMargin = 250 * swclock.Millis(1)
	// registerTimeout bounds one attempt to register the host in the store.
	registerTimeout = 1500 * swclock.Millis(1)
	// registerRetryInterval is the wait after a failed attempt to register.
	registerRetryInterval = 200 * swclock.Millis(1)
	// entryInterval is the mean time between two looks whether the store was set back.
	entryInterval = 500 * swclock.Millis(1)
	// refusalReadTimeout and refusalWriteTimeout bound the exchange with a caller that is
	// refused because the gate is not assembled yet.
	refusalReadTimeout  = 15 * swclock.Second
	refusalWriteTimeout = 5 * swclock.Second
	// headerTimeout bounds the time to read the header of a request for readiness or
	// metrics.
	headerTimeout = 3 * swclock.Second
	// idleTimeout is how long a caller's connection may stay open without a request, or as
	// long as the configuration lets callers reuse it, if that is longer, so that no caller
	// sends a request on a connection that is being closed.
	idleTimeout = swclock.Minute
)

// callerHandler forwards callers' requests to the gate. Until the gate is assembled,
// it answers them with 503.
type callerHandler struct {
	handler atomic.Pointer[http.Handler]
	bounds  swcallerconn.Bounds
	log     zerolog.Logger
}

// ServeHTTP implements http.Handler.
func (c *callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h := c.handler.Load(); h != nil {
		(*h).ServeHTTP(w, r)
		return
	}
	body := swcallerconn.NewBody(w, r, c.bounds)
	defer body.Close()
	body.Refuse(&c.log, "", 0, func() {
		w.Header().Set("Retry-After", "0.3")
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}

// Run serves callers until ctx ends, and then finishes the requests that the host holds.
func (h *Host) Run(ctx context.Context) error {
	h.log.Info().Str("zone", string(h.settings.Zone)).Str("address", h.settings.Caller.Address).
		Int("maxConnections", h.intake.Connections.Limit()).Int64("maxBodyBytesHeld", h.intake.Bodies.Capacity()).Msg("starting")
	err := h.run(ctx)
	h.log.Info().Err(err).Msg("stopped")
	return err
}

func (h *Host) run(ctx context.Context) error {
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	c := callerHandler{
		bounds: swcallerconn.Bounds{ReadTimeout: refusalReadTimeout, WriteTimeout: refusalWriteTimeout, Leaving: h.leaving.Load},
		log:    h.log,
	}
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers := &http.Server{
		Handler: &c, ReadHeaderTimeout: h.settings.Caller.HeaderTimeout.Duration(),
		MaxHeaderBytes: h.settings.Caller.MaxHeaderBytes, IdleTimeout: idleTimeout.Duration(),
		ConnContext: swcallerconn.ConnContext, ConnState: swcallerconn.ConnState,
	}
	limits := func() swcatalog.Limits {
		if c.handler.Load() == nil || h.gate.Table() == nil {
			return swcatalog.Limits{}
		}
		return h.gate.Table().Catalog().Limits
	}
	readiness := &http.Server{
		Handler:           h.platform.ReadinessHandler(func() bool { return h.ready() }),
		ReadHeaderTimeout: headerTimeout.Duration(),
	}
	operators := &http.Server{Handler: h.operators(), ReadHeaderTimeout: headerTimeout.Duration()}
	tasks := pool.New().WithErrors().WithContext(runCtx).WithCancelOnError()
	tasks.Go(newServeTask("callers", callers, swcallerconn.Observe(listeners.callers, swcallerconn.Observation{
		IdleTimeout:   func() swclock.Millis { return limits().IdleTimeout },
		HeaderTimeout: func() swclock.Millis { return limits().HeaderTimeout },
		Intake:        h.intake, Log: h.log,
	})))
	tasks.Go(newServeTask("readiness", readiness, listeners.readiness))
	tasks.Go(newServeTask("operators", operators, listeners.operators))
	tasks.Go(func(runCtx context.Context) error {
		defer stop()
		if err := h.register(ctx); err != nil {
			return nil // ctx ended before the host was registered
		}
		h.assemble()
		if err := h.network.Listen(); err != nil {
			return err
		}
		handler := h.platform.CallerHandler(h.gate, h.leaving.Load)
		c.handler.Store(&handler)
		return h.runComponents(ctx, runCtx, callers)
	})
	return tasks.Wait()
}

// runComponents runs the host's components until ctx ends, and then calls leave before
// it stops them. If runCtx ends first, it stops them without calling leave.
func (h *Host) runComponents(ctx, runCtx context.Context, callers *http.Server) error {
	componentsCtx, stop := context.WithCancel(runCtx)
	tasks := pool.New().WithErrors().WithContext(componentsCtx)
	tasks.Go(h.network.Run)
	runs := []func(context.Context){h.owner.Run, h.catalogs.Run, h.targets.Run, h.hosts.Run, h.renewRegistration, h.refusalKeeper.Run, h.originKeeper.Run, h.pathProber.run, h.keepEntry}
	if h.rollouts != nil {
		runs = append(runs, h.rollouts.Run)
	}
	for _, run := range runs {
		tasks.Go(func(ctx context.Context) error {
			run(ctx)
			return nil
		})
	}
	select {
	case <-ctx.Done():
		h.leave(componentsCtx, callers)
	case <-runCtx.Done():
	}
	stop()
	return tasks.Wait()
}

// leave takes the host out of service. The host reports that it is not ready, so that
// the platform sends callers to other hosts, and that it is leaving, so that other hosts
// send their grant requests elsewhere. From the start it does not dispatch new requests
// that may not be repeated and are expected to outlast it. It denies new requests after
// refuseAfter, those of callers and those that other hosts want carried, and ends the
// waiting ones after endWaitingAfter. Then leave waits for the requests that it holds and
// carries, and closes the callers' connections, until exitMargin before the end of the
// shutdown timeout. Requests of callers that still run answerMargin before that are ended.
func (h *Host) leave(componentsCtx context.Context, callers *http.Server) {
	started := h.clock.Now()
	exitAt := started + h.settings.ShutdownTimeout - exitMargin
	endAllAt := exitAt - answerMargin
	h.leaving.Store(true)
	h.log.Info().Int("held", h.holder.Held()).Int("carried", h.carrying.Carried()).Msg("leaving")
	h.holder.StartLeaving(endAllAt)
	h.router.leave()
	h.announceLeaving()
	h.refreshOwner()
	sleep(componentsCtx, min(started+refuseAfter, endAllAt)-h.clock.Now())
	h.gate.StartDraining()
	h.carrying.StopAccepting()
	sleep(componentsCtx, min(started+endWaitingAfter, endAllAt)-h.clock.Now())
	h.holder.EndWaiting()
	ending := time.AfterFunc(max(endAllAt-h.clock.Now(), 0).Duration(), h.endAll)
	defer ending.Stop()
	shutdownCtx, cancel := context.WithTimeout(componentsCtx, max(exitAt-h.clock.Now(), 0).Duration())
	defer cancel()
	if err := h.finish(shutdownCtx, callers); err != nil {
		h.log.Warn().Err(err).Int("held", h.holder.Held()).Int("carried", h.carrying.Carried()).Msg("shutdown cut connections")
	}
}

// finish waits for the requests that the host holds and carries, and then closes the callers' connections. Until then the gate
// answers on them: Shutdown closes a connection on which a request arrives without an answer.
func (h *Host) finish(ctx context.Context, callers *http.Server) error {
	finishing := pool.New().WithErrors()
	finishing.Go(func() error { return h.holder.Drain(ctx) })
	finishing.Go(func() error { return h.carrying.Drain(ctx) })
	if err := finishing.Wait(); err != nil {
		return err
	}
	return callers.Shutdown(ctx)
}

// endAll ends the requests that are still held because the shutdown timeout is about to expire.
func (h *Host) endAll() {
	h.log.Warn().Int("held", h.holder.Held()).Msg("ending the requests that are still held")
	h.holder.EndAll()
}

// ready reports whether the host accepts callers' requests.
func (h *Host) ready() bool {
	complete := h.view.complete()
	ready := complete && h.gate.ConfigFresh() && !h.leaving.Load()
	if ready != h.reportedReady.Swap(ready) {
		h.log.Info().Bool("ready", ready).Bool("listed", complete).Bool("leaving", h.leaving.Load()).
			Int64("sinceStartMillis", int64(h.clock.Now())).Msg("readiness changed")
	}
	return ready
}

// register writes this host's entry to the store, retrying until it succeeds or ctx ends. Then it
// reads what earlier processes saved.
func (h *Host) register(ctx context.Context) error {
	for {
		call, cancel := context.WithTimeout(ctx, registerTimeout.Duration())
		incarnation, err := h.platform.Register(call, h.hostEntry())
		cancel()
		if err == nil {
			h.self = swlink.Peer{Host: h.settings.Host, Incarnation: incarnation}
			h.log.Info().Uint64("incarnation", uint64(incarnation)).Int64("sinceStartMillis", int64(h.clock.Now())).Msg("registered")
			h.loadRefusals(ctx)
			h.loadOrigins(ctx)
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		h.log.Warn().Err(err).Msg("not registered yet")
		sleep(ctx, registerRetryInterval)
	}
}

// keepEntry writes this host's entry again after the store was set back, until ctx ends.
func (h *Host) keepEntry(ctx context.Context) {
	for ctx.Err() == nil {
		// Hosts that find the store set back at the same moment write at different ones.
		sleep(ctx, entryInterval/2+swclock.Millis(rand.Int64N(int64(entryInterval))))
		era := h.platform.Objects().Era()
		if era == h.entryEra || !h.storeReachable() {
			continue
		}
		call, cancel := context.WithTimeout(ctx, registerTimeout.Duration())
		err := h.platform.Restore(call, h.hostEntry())
		cancel()
		if err != nil {
			h.log.Warn().Err(err).Uint64("era", uint64(era)).Msg("own entry not restored yet")
			continue
		}
		h.entryEra = era
		h.log.Info().Uint64("era", uint64(era)).Msg("own entry is in the store")
	}
}

func (h *Host) hostEntry() swcatalog.Host {
	f := h.settings.Fleet
	return swcatalog.Host{
		ID: h.settings.Host, Zone: h.settings.Zone, Region: h.settings.Region, Address: h.settings.Peer.Address,
		Incarnation: h.self.Incarnation, Size: swelect.Size{Cores: f.ProcessorShare * f.Cores, LinkMegabits: f.LinkMegabits},
	}
}

// listeners holds the host's listeners, except the one for peers, which h.network opens.
type listeners struct{ callers, readiness, operators net.Listener }

func (h *Host) listen() (l listeners, err error) {
	if l.callers, err = net.Listen("tcp", h.settings.Caller.Address); err != nil {
		return l, errors.Wrap(err, "listen for callers")
	}
	if l.readiness, err = net.Listen("tcp", h.settings.Fleet.ReadinessAddress); err != nil {
		return l, errors.Wrap(err, "listen for readiness checks")
	}
	if l.operators, err = net.Listen("tcp", h.settings.Operator.Address); err != nil {
		return l, errors.Wrap(err, "listen for operators")
	}
	return l, nil
}

// newServeTask returns a task that serves HTTP on l until the task's context ends.
func newServeTask(name string, s *http.Server, l net.Listener) func(context.Context) error {
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = s.Close() }) // cuts off open connections
		defer stop()
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve "+name)
		}
		return nil
	}
}

// operators returns the handler for operators, which serves the metrics and, if roll-outs are in force, what is known of them.
func (h *Host) operators() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(h.registry, promhttp.HandlerOpts{}))
	if h.settings.Fleet.Rollout.Enabled() {
		mux.Handle(swadmin.RolloutsPath, swadmin.NewRolloutsHandler(swadmin.RolloutSource{
			Host: h.settings.Host, Bounds: h.rolloutBounds, Evidence: h.rolloutEvidence, RouteName: h.rolloutRouteName,
		}, h.log))
	}
	return mux
}

// sleep waits until span has passed or ctx ends.
func sleep(ctx context.Context, span swclock.Millis) {
	timer := time.NewTimer(max(span, 0).Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
