// Package swplain is a stand-in for a plain service: it answers every call with
// an echo, counts the calls that ran, and supports fault injection.
package swplain

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
	"github.com/sassafraswing/sassafraswing/internal/stand/swreply"
	"github.com/sassafraswing/sassafraswing/internal/stand/swversion"
)

// Headers of the service.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// KindDropAnswer runs the call and then cuts the connection without a response.
const KindDropAnswer swfault.Kind = "dropAnswer"

// Config describes one service.
type Config struct {
	// ServiceTime is how long each call takes.
	ServiceTime swclock.Millis
	// Slots is the number of calls at which the service is fully loaded; it runs more.
	Slots int
	// Version is the software version that the service plays. It is sound if it has no Badness.
	Version swversion.Version
}

// Option configures a Service in New.
type Option func(*Service)

// WithClock sets the clock; the default is the system's.
func WithClock(c swclock.Clock) Option { return func(s *Service) { s.clock = c } }

// WithLog sets the log; the default discards it.
func WithLog(log zerolog.Logger) Option { return func(s *Service) { s.log = log } }

// Service is a running stand-in for a plain service.
type Service struct {
	config Config
	clock  swclock.Clock
	log    zerolog.Logger
	faults *swfault.Set
	// version decides which answers are bad.
	version *swversion.Player

	lifetime context.Context
	stop     context.CancelFunc

	mu sync.Mutex
	// process is the context of the calls that the simulated process serves. It is
	// cancelled, which aborts those that are waiting, and replaced when a crash fault is
	// added. Close cancels it as well.
	process    context.Context
	endProcess context.CancelFunc
	// sequence is the number of the latest call that ran, counted from 1.
	sequence int64
	// running is the number of calls that run.
	running int
	counts  Counts
}

// Counts holds how often calls ran. A crash fault does not reset it.
type Counts struct {
	// ByRequest and ByKey count by request id and by idempotency key.
	ByRequest map[string]int
	ByKey     map[string]int
}

// New returns a service. The caller must close it.
func New(c Config, options ...Option) *Service {
	s := &Service{
		config: c,
		clock:  swclock.NewSystem(),
		log:    zerolog.Nop(),
		counts: Counts{ByRequest: make(map[string]int), ByKey: make(map[string]int)},
	}
	for _, o := range options {
		o(s)
	}
	s.version = swversion.NewPlayer(c.Version, s.clock)
	s.faults = swfault.NewSet(s.clock, s.onFaultAdded, swfault.KindFreeze, swfault.KindCrash,
		swfault.KindSlow, swfault.KindSilence, swfault.KindRefuse, KindDropAnswer)
	s.lifetime, s.stop = context.WithCancel(context.Background())
	s.process, s.endProcess = context.WithCancel(s.lifetime)
	return s
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler { return http.HandlerFunc(s.serve) }

// Faults returns the service's faults.
func (s *Service) Faults() *swfault.Set { return s.faults }

// Counts returns a copy of the counts.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{ByRequest: copyCounts(s.counts.ByRequest), ByKey: copyCounts(s.counts.ByKey)}
}

// Close aborts the calls that are waiting. It does not reject later calls.
func (s *Service) Close() { s.stop() }

func copyCounts(counts map[string]int) map[string]int {
	copied := make(map[string]int, len(counts))
	for key, n := range counts {
		copied[key] = n
	}
	return copied
}

func (s *Service) onFaultAdded(f swfault.Fault) {
	s.log.Info().Str("kind", string(f.Kind)).Msg("fault")
	if f.Kind != swfault.KindCrash {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endProcess()
	s.process, s.endProcess = context.WithCancel(s.lifetime)
}

func (s *Service) currentProcess() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == swfault.AdminPath:
		s.faults.ServeHTTP(w, r)
	case r.URL.Path == "/admin/runs":
		s.serveRuns(w)
	default:
		s.serveCall(w, r)
	}
}

// echoBody is the answer to every call.
type echoBody struct {
	RequestID string `json:"requestId"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body"`
	Sequence  int64  `json:"sequence"`
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	ctx, release := swfault.RequestContext(s.currentProcess(), r)
	defer release()
	if !s.faults.Gate(ctx, w, r) {
		return
	}
	var body strings.Builder
	if _, err := io.Copy(&body, http.MaxBytesReader(w, r.Body, swreply.MaxRequestBytes)); err != nil {
		swreply.Error(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	id := r.Header.Get(headerRequestID)
	sequence, effect := s.startCall(r.URL.Path, id, r.Header.Get(headerIdempotencyKey))
	defer s.endCall()
	s.simulateWork(ctx, max(effect.Slowdown, 1))
	if _, ok := s.faults.Trigger(KindDropAnswer); ok || effect.Cut {
		panic(http.ErrAbortHandler)
	}
	if effect.Fails {
		swreply.Error(w, http.StatusInternalServerError, "failed", "the call ran and failed")
		return
	}
	s.faults.BlockResponse(ctx, r)
	w.Header().Set(headerRequestID, id)
	swreply.JSON(w, http.StatusOK, echoBody{
		RequestID: id,
		Method:    r.Method,
		Path:      r.URL.Path,
		Body:      body.String(),
		Sequence:  sequence,
	})
}

// startCall counts a call that runs and returns its sequence number, and what the software version does to its answer.
func (s *Service) startCall(path, id, key string) (int64, swversion.Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	s.running++
	s.counts.ByRequest[id]++
	if key != "" {
		s.counts.ByKey[key]++
	}
	return s.sequence, s.version.Next(swversion.Request{Path: path, Running: s.running, Slots: s.config.Slots})
}

func (s *Service) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// simulateWork waits for slowdown times the processing time of a call, which the slow fault extends.
// It aborts the connection if ctx ends first; the call stays counted.
func (s *Service) simulateWork(ctx context.Context, slowdown float64) {
	span := time.Duration(float64(s.config.ServiceTime.Duration()) * slowdown)
	if f, ok := s.faults.Get(swfault.KindSlow); ok && f.Factor > 0 {
		span = time.Duration(float64(span)*f.Factor) + f.Delay.Duration()
	}
	if span == 0 {
		return
	}
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

type runsBody struct {
	RequestIDs      []runCount `json:"requestIds"`
	IdempotencyKeys []runCount `json:"idempotencyKeys"`
}

// runCount is the number of runs under one request id or idempotency key.
type runCount struct {
	Key  string `json:"key"`
	Runs int    `json:"runs"`
}

func (s *Service) serveRuns(w http.ResponseWriter) {
	counts := s.Counts()
	swreply.JSON(w, http.StatusOK, runsBody{
		RequestIDs:      sortedRunCounts(counts.ByRequest),
		IdempotencyKeys: sortedRunCounts(counts.ByKey),
	})
}

func sortedRunCounts(counts map[string]int) []runCount {
	bodies := make([]runCount, 0, len(counts))
	for key, n := range counts {
		bodies = append(bodies, runCount{Key: key, Runs: n})
	}
	slices.SortFunc(bodies, func(a, b runCount) int { return strings.Compare(a.Key, b.Key) })
	return bodies
}
