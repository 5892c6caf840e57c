// Package swcaller serves callers over HTTP: models through the OpenAI API, and
// plain services through their configured routes.
package swcaller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/caller/swcallerconn"
	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
	"github.com/sassafraswing/sassafraswing/internal/core/swprompt"
	"github.com/sassafraswing/sassafraswing/internal/core/swroom"
	"github.com/sassafraswing/sassafraswing/internal/holder/swholder"
)

// Holder dispatches requests to targets and keeps each request until its outcome.
type Holder interface {
	NextID() (swid.Seq, swid.RequestID)
	Serve(ctx context.Context, r *swholder.Request, sink swholder.Sink) swholder.Report
}

// Server serves callers. Its methods are safe for concurrent use.
type Server struct {
	settings swsettings.Caller
	region   swid.RegionID
	holder   Holder
	clock    swclock.Clock
	log      zerolog.Logger
	router   *httprouter.Router
	// index is nil until the first document is in force.
	index atomic.Pointer[index]
	// leaving ends, by startLeaving, when the HTTP server begins to shut down.
	leaving      context.Context
	startLeaving context.CancelFunc
}

// New returns a Server for a host of a region.
func New(settings swsettings.Caller, region swid.RegionID, holder Holder, clock swclock.Clock, log zerolog.Logger) *Server {
	s := &Server{settings: settings, region: region, holder: holder, clock: clock, log: log, router: httprouter.New()}
	s.leaving, s.startLeaving = context.WithCancel(context.Background())
	s.router.POST("/v1/chat/completions", s.withErrorResponse(s.serveCompletion))
	s.router.POST("/v1/completions", s.withErrorResponse(s.serveCompletion))
	s.router.GET("/v1/models", s.withErrorResponse(s.models))
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		s.router.Handle(method, "/services/:service/*path", s.withErrorResponse(s.serveCall))
	}
	s.router.NotFound = s.newRefusal(http.StatusNotFound)
	s.router.MethodNotAllowed = s.newRefusal(http.StatusMethodNotAllowed)
	return s
}

// Configure puts a document into force.
func (s *Server) Configure(d *swdoc.Document) { s.index.Store(newIndex(d, s.region)) }

// Configured reports whether a document is in force. Without one, all requests are rejected.
func (s *Server) Configured() bool { return s.index.Load() != nil }

// HTTP returns an HTTP server with the limits of the settings.
func (s *Server) HTTP() *http.Server {
	server := &http.Server{
		Handler:           s.router,
		ReadHeaderTimeout: s.settings.HeaderTimeout.Duration(),
		MaxHeaderBytes:    s.settings.MaxHeaderBytes,
		IdleTimeout:       idleTimeout.Duration(),
		ConnContext:       swcallerconn.ConnContext,
		ConnState:         swcallerconn.ConnState,
	}
	server.RegisterOnShutdown(s.startLeaving)
	return server
}

// idleTimeout is how long a caller's connection may stay open without a request.
const idleTimeout = 2 * swclock.Minute

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// newBody returns the body of a request.
func (s *Server) newBody(w http.ResponseWriter, r *http.Request) *swcallerconn.Body {
	return swcallerconn.NewBody(w, r, swcallerconn.Bounds{
		ReadTimeout: s.settings.BodyTimeout, WriteTimeout: s.settings.WriteTimeout, Leaving: func() bool { return s.leaving.Err() != nil }, Draining: s.leaving,
	})
}

// refuse sends an error as the response to a request that was not passed to the holder.
func (s *Server) refuse(w http.ResponseWriter, body *swcallerconn.Body, problem *Error) {
	body.Refuse(&s.log, problem.Request, int64(s.settings.MaxBodyBytes), func() { problem.write(w, false) })
}

// newRefusal returns a handler for requests whose method and path have none.
func (s *Server) newRefusal(status int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := s.newBody(w, r)
		defer body.Close()
		s.refuse(w, body, newNotRunError(status, "noSuchPath", "there is no "+r.Method+" "+r.URL.Path))
	})
}

// withErrorResponse wraps a handler and sends the error that it returns as the response.
func (s *Server) withErrorResponse(handle func(http.ResponseWriter, *http.Request, *swcallerconn.Body, httprouter.Params) *Error) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		body := s.newBody(w, r)
		defer body.Close()
		if problem := handle(w, r, body, params); problem != nil {
			s.refuse(w, body, problem)
		}
	}
}

// serveCompletion serves a completion request to a model.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request, body *swcallerconn.Body, _ httprouter.Params) *Error {
	a, problem := s.accept(r, body)
	if problem != nil {
		return problem
	}
	c, problem := parseCompletion(a.body)
	if problem != nil {
		return problem
	}
	e, known := a.index.services[c.model]
	if !known || e.service.Kind != swdoc.KindModel {
		return newNotRunError(http.StatusNotFound, "noSuchModel", "there is no model "+string(c.model))
	}
	request, problem := s.newRequest(r, a, e)
	if problem != nil {
		return problem
	}
	c.fillRequest(request, e.service, r.URL.Path, a.body)
	request.NonIdempotent = request.IdempotencyKey != ""
	s.serve(w, r, request)
	return nil
}

// serveCall serves a call of a plain service.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request, body *swcallerconn.Body, params httprouter.Params) *Error {
	a, problem := s.accept(r, body)
	if problem != nil {
		return problem
	}
	name, path := swid.ServiceID(params.ByName("service")), params.ByName("path")
	e, known := a.index.services[name]
	if !known || e.service.Kind != swdoc.KindPlain {
		return newNotRunError(http.StatusNotFound, "noSuchService", "there is no service "+string(name))
	}
	idempotent, found := e.lookupRoute(r.Method, path)
	if !found {
		return newNotRunError(http.StatusNotFound, "noSuchRoute", "service "+string(name)+" has no route "+r.Method+" "+path)
	}
	request, problem := s.newRequest(r, a, e)
	if problem != nil {
		return problem
	}
	fillCall(request, r, path, a.body)
	request.NonIdempotent = !idempotent || request.IdempotencyKey != ""
	s.serve(w, r, request)
	return nil
}

// fillCall sets the fields of request that are specific to calls of plain services.
func fillCall(request *swholder.Request, r *http.Request, path string, body []byte) {
	request.Call.Method = r.Method
	request.Call.Path = path
	if r.URL.RawQuery != "" {
		request.Call.Path += "?" + r.URL.RawQuery
	}
	request.Call.ContentType = r.Header.Get("Content-Type")
	request.Call.Body = body
	request.Fingerprint = swprompt.Fingerprint(request.Service, []byte(r.Method+" "+request.Call.Path+"\n"), body)
}

// acceptedRequest is an authenticated request with its body.
type acceptedRequest struct {
	// index belongs to the document that was in force when the body was complete.
	index *index
	org   *swdoc.Organisation
	body  []byte
}

// accept authenticates a caller and reads the body. It authenticates the caller again by the document that is in force then.
func (s *Server) accept(r *http.Request, body *swcallerconn.Body) (acceptedRequest, *Error) {
	early, problem := s.authenticate(r)
	if problem != nil {
		return acceptedRequest{}, problem
	}
	data, problem := s.readBody(body, early.org.ID)
	if problem != nil {
		return acceptedRequest{}, problem
	}
	a, problem := s.authenticate(r)
	a.body = data
	return a, problem
}

// authenticate finds the organisation of a caller in the document in force.
func (s *Server) authenticate(r *http.Request) (acceptedRequest, *Error) {
	a := acceptedRequest{index: s.index.Load()}
	if a.index == nil {
		e := newNotRunError(http.StatusServiceUnavailable, "noConfiguration", "this host has no configuration yet")
		e.RetryAfter = swclock.Second
		return a, e
	}
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	org, known := a.index.organisation(key)
	if !found || !known {
		return a, newNotRunError(http.StatusUnauthorized, "unknownApiKey", "the API key is missing or unknown")
	}
	a.org = org
	return a, nil
}

func (s *Server) readBody(body *swcallerconn.Body, org swid.OrgID) ([]byte, *Error) {
	data, err := body.ReadAll(int64(s.settings.MaxBodyBytes), swroom.Group(org))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, newNotRunError(http.StatusRequestEntityTooLarge, "bodyTooLarge", "the body is above "+strconv.Itoa(s.settings.MaxBodyBytes)+" bytes")
	}
	if err != nil && s.leaving.Err() != nil {
		return nil, newNotRunError(http.StatusServiceUnavailable, "shuttingDown", "this host is shutting down")
	}
	if errors.Is(err, swroom.ErrNoRoom) {
		problem := newNotRunError(http.StatusServiceUnavailable, "noRoom", "this host has no room for the body")
		problem.RetryAfter = swclock.Second
		return nil, problem
	}
	if err != nil {
		return nil, newNotRunError(http.StatusRequestTimeout, "bodyIncomplete", "the body did not arrive whole in time")
	}
	return data, nil
}

// newRequest returns a request with the fields that all kinds of requests share.
func (s *Server) newRequest(r *http.Request, a acceptedRequest, e *serviceEntry) (*swholder.Request, *Error) {
	tier, problem := requestTier(r, a.index, a.org)
	if problem != nil {
		return nil, problem
	}
	remaining, problem := requestDeadline(r, a.index.document.Tiers[tier])
	if problem != nil {
		return nil, problem
	}
	if e.cell == "" {
		problem := newNotRunError(http.StatusServiceUnavailable, "noTarget", "service "+string(e.service.ID)+" has no target")
		problem.RetryAfter = swclock.Second
		return nil, problem
	}
	key := r.Header.Get(headerIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return nil, newNotRunError(http.StatusBadRequest, "invalidIdempotencyKey", "the idempotency key is above "+strconv.Itoa(maxIdempotencyKeyBytes)+" bytes")
	}
	seq, id := s.holder.NextID()
	return &swholder.Request{
		ID:             id,
		Seq:            seq,
		Service:        e.service.ID,
		Cell:           e.cell,
		Tier:           tier,
		Org:            a.org.ID,
		OrgClass:       a.org.Class,
		Deadline:       s.clock.Now() + remaining,
		IdempotencyKey: key,
	}, nil
}

const (
	// maxIdempotencyKeyBytes limits the length of an idempotency key.
	maxIdempotencyKeyBytes = 256
	// maxDeadline is the longest deadline that a caller may set.
	maxDeadline = swclock.Hour
)

func requestTier(r *http.Request, x *index, org *swdoc.Organisation) (swid.Tier, *Error) {
	name := r.Header.Get(headerTier)
	if name == "" {
		return swid.Tier(len(x.document.Tiers) - 1), nil
	}
	tier, known := x.tiers[name]
	if !known {
		return 0, newNotRunError(http.StatusBadRequest, "noSuchTier", "there is no tier "+name)
	}
	if tier < org.HighestTier {
		return 0, newNotRunError(http.StatusForbidden, "tierNotAllowed", "organisation "+string(org.ID)+" may not use tier "+name)
	}
	return tier, nil
}

func requestDeadline(r *http.Request, tier swdoc.Tier) (swclock.Millis, *Error) {
	value := r.Header.Get(headerDeadline)
	if value == "" {
		return tier.Deadline, nil
	}
	millis, err := strconv.ParseInt(value, 10, 64)
	if err != nil || millis <= 0 || swclock.Millis(millis) > maxDeadline {
		return 0, newNotRunError(http.StatusBadRequest, "invalidDeadline",
			headerDeadline+" must be a whole number of milliseconds from 1 to "+strconv.Itoa(int(maxDeadline)))
	}
	return swclock.Millis(millis), nil
}

// serve passes a request to the holder and, if the request ends without an answer, sends
// the caller an error.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, request *swholder.Request) {
	w.Header().Set(headerRequestID, string(request.ID))
	swcallerconn.SetRequest(r.Context(), request.ID)
	out := &sink{writer: w, controller: http.NewResponseController(w), timeout: s.settings.WriteTimeout, stream: request.Call.Stream, once: request.NonIdempotent}
	report := s.holder.Serve(r.Context(), request, out)
	s.logEnd(request, &report)
	if report.End.Outcome == swlife.OutcomeAnswered {
		return
	}
	problem := newEndError(report.End, request.ID)
	if !report.Begun {
		retriable := report.End.Outcome == swlife.OutcomeNotRun || !request.NonIdempotent
		problem.write(w, retriable)
		return
	}
	// The answer has begun, so its status can no longer change. An error event and a
	// connection that closes without the terminal marker show the caller that the answer
	// is incomplete.
	if request.Call.Stream {
		_ = out.Write(append(append([]byte("data: "), problem.body()...), '\n', '\n')) // if this write fails, closing the connection still shows it
	}
	swcallerconn.LogAbort(r.Context(), &s.log, request.ID, report.Begun, report.End)
	panic(http.ErrAbortHandler)
}

func (s *Server) logEnd(r *swholder.Request, report *swholder.Report) {
	s.log.Info().
		Str("requestId", string(r.ID)).
		Str("service", string(r.Service)).
		Str("organisation", string(r.Org)).
		Uint8("tier", uint8(r.Tier)).
		Str("outcome", report.End.Outcome.String()).
		Str("cause", report.End.Cause.String()).
		Str("target", string(report.Target)).
		Uint32("attempts", uint32(report.Attempts)).
		Int64("queueMillis", int64(report.Timing.Queue)).
		Int64("totalMillis", int64(report.Timing.Total)).
		Msg("request ended")
}

type wireModel struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type wireModels struct {
	Object string      `json:"object"`
	Data   []wireModel `json:"data"`
}

// models sends the list of models.
func (s *Server) models(w http.ResponseWriter, r *http.Request, body *swcallerconn.Body, _ httprouter.Params) *Error {
	a, problem := s.accept(r, body)
	if problem != nil {
		return problem
	}
	list := wireModels{Object: "list", Data: make([]wireModel, 0, len(a.index.models))}
	for _, m := range a.index.models {
		list.Data = append(list.Data, wireModel{ID: string(m), Object: "model", OwnedBy: a.index.document.Name})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		s.log.Debug().Err(err).Msg("model list not sent")
	}
	return nil
}
