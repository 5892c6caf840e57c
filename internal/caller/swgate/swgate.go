// Package swgate admits callers' requests by the configuration that operators
// keep in the platform's store: it finds the route and the organisation, decides
// what a host may answer that has not heard of the store for a while, and hands
// the request to the holder. The wire format of callers is an adapter's.
package swgate

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
	"github.com/sassafraswing/sassafraswing/internal/core/swprompt"
	"github.com/sassafraswing/sassafraswing/internal/holder/swholder"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// Call is a caller's request as its wire format was decoded.
type Call struct {
	ID     swid.RequestID
	Method string
	Host   string
	// Target is the path and query as the caller sent them; Path is it without the query.
	Target string
	Path   string
	// Header has the fields that a target is given.
	Header http.Header
	// Key is the API key; empty if there is none.
	Key string
	// Deadline is the time that the caller will wait; 0 if it does not say.
	Deadline swclock.Millis
	// PromptTokens and OutputTokens are 0 if the caller does not say.
	PromptTokens swid.Tokens
	OutputTokens swid.Tokens
	// ExpectedTokens is the caller's estimate of the output; 0 if it gives none.
	ExpectedTokens swid.Tokens
	Parts          []swcell.Part
	// ResumeAfter is the id of the last event that the caller has of a stream; empty for a new one.
	ResumeAfter string
	// ReadBody reads the body within the bounds.
	ReadBody func(swcatalog.Limits) ([]byte, error)
}

// Denial says why a request was answered without a target.
type Denial uint8

// Denials.
const (
	// DeniedNone means that the holder decided.
	DeniedNone Denial = iota
	// DeniedUnconfigured: the host has no configuration yet.
	DeniedUnconfigured
	// DeniedNoRoute: no route leads from the host name and path.
	DeniedNoRoute
	// DeniedKey: the API key is missing or unknown.
	DeniedKey
	// DeniedStale: the host cannot tell whether the configuration still holds.
	DeniedStale
	// DeniedBody: the body could not be read.
	DeniedBody
	// DeniedLeaving: the host is about to stop.
	DeniedLeaving
)

var denialNames = [...]string{
	DeniedNone:         "none",
	DeniedUnconfigured: "unconfigured",
	DeniedNoRoute:      "noRoute",
	DeniedKey:          "unknownKey",
	DeniedStale:        "staleConfiguration",
	DeniedBody:         "body",
	DeniedLeaving:      "leaving",
}

// String returns the denial's name in logs and metrics.
func (d Denial) String() string { return denialNames[d] }

// Result is the end of a call.
type Result struct {
	Denial Denial
	// RetryAfter is when to come back after a denial; 0 if it would not help.
	RetryAfter swclock.Millis
	// BodyError is the error of ReadBody.
	BodyError error
	// Report is the holder's; it has no meaning after a denial.
	Report swholder.Report
	// Stream tells that the answer is a stream of events.
	Stream bool
}

// Holder holds requests until their outcome.
type Holder interface {
	NextID() (swid.Seq, swid.RequestID)
	Serve(ctx context.Context, r *swholder.Request, sink swholder.Sink) swholder.Report
}

// Bounds are promises about the configuration, by the time since the store
// acknowledged a change.
type Bounds struct {
	// ApplyWithin is how long a host may act on an older version.
	ApplyWithin swclock.Millis
	// RevokeWithin is how long a removed API key may be accepted, even by a host
	// that does not reach the store; 0 sets no bound.
	RevokeWithin swclock.Millis
}

// Config joins what a Gate works with.
type Config struct {
	Region swid.RegionID
	Holder Holder
	Clock  swclock.Clock
	Boot   swclock.Boot
	// Confirmed returns when the store last confirmed the configuration, in time since boot.
	Confirmed func() swclock.Millis
	// Counted is told of each request that goes to the holder, for the retry budget.
	Counted func(service swid.ServiceID)
	Log     zerolog.Logger
	// Ended is told of each call's end, for metrics; it does not block.
	Ended func(r *Result)
}

// Gate admits calls. Its methods are safe for concurrent use.
type Gate struct {
	config Config
	bounds atomic.Pointer[Bounds]
	// table is nil until the first configuration is in force.
	table atomic.Pointer[swcatalog.Table]
	// leaving is set once the host takes no new requests.
	leaving atomic.Bool
}

// New returns a gate that admits nothing until Configure.
func New(config Config, bounds Bounds) *Gate {
	g := &Gate{config: config}
	g.bounds.Store(&bounds)
	return g
}

// Configure brings a configuration into force.
func (g *Gate) Configure(t *swcatalog.Table) { g.table.Store(t) }

// Leave refuses new requests.
func (g *Gate) Leave() { g.leaving.Store(true) }

// SetBounds replaces the bounds.
func (g *Gate) SetBounds(b Bounds) { g.bounds.Store(&b) }

// Table returns the configuration in force, or nil.
func (g *Gate) Table() *swcatalog.Table { return g.table.Load() }

const (
	// revokeMargin is taken off the bound on removed keys, for the resolution of the clocks.
	revokeMargin = 100 * swclock.Millis(1)
	// returnUnconfigured and returnStale are when a caller is to come back to
	// another host, or to this one once it has heard of the store.
	returnUnconfigured = 300 * swclock.Millis(1)
	returnStale        = 300 * swclock.Millis(1)
	// returnLeaving leads a caller to another host at once.
	returnLeaving = 10 * swclock.Millis(1)
)

// age returns the time since the store last confirmed the configuration.
func (g *Gate) age() swclock.Millis { return g.config.Boot.SinceBoot() - g.config.Confirmed() }

// Fresh reports whether keyed requests are admitted.
func (g *Gate) Fresh() bool {
	within := g.bounds.Load().RevokeWithin
	return within == 0 || g.age() <= within-revokeMargin
}

// Serve carries a call out. The caller's context ends when its connection does.
func (g *Gate) Serve(ctx context.Context, c *Call, sink swholder.Sink) Result {
	result := g.serve(ctx, c, sink)
	g.config.Ended(&result)
	return result
}

func (g *Gate) serve(ctx context.Context, c *Call, sink swholder.Sink) Result {
	table := g.table.Load()
	switch {
	case table == nil:
		return g.deny(c, nil, DeniedUnconfigured, returnUnconfigured)
	case g.leaving.Load():
		return g.deny(c, table, DeniedLeaving, returnLeaving)
	}
	route, found := table.Route(c.Host, c.Path)
	if !found {
		return g.denyFor(c, table, DeniedNoRoute)
	}
	var org *swcatalog.Organisation
	if !route.Public {
		if !g.Fresh() {
			return g.deny(c, table, DeniedStale, returnStale)
		}
		var known bool
		if org, known = table.Organisation(c.Key); !known {
			return g.denyFor(c, table, DeniedKey)
		}
	}
	body, err := c.ReadBody(table.Catalog().Limits)
	if err != nil {
		result := g.deny(c, table, DeniedBody, 0)
		result.BodyError = err
		return result
	}
	r := g.request(c, route, org, body)
	g.config.Counted(r.Service)
	report := g.config.Holder.Serve(ctx, r, sink)
	g.logEnd(c, table, route, r, &report)
	return Result{Report: report, Stream: r.Call.Stream}
}

// denyFor denies a call for what the configuration does not have. A host whose
// configuration may be older than the bound does not know that.
func (g *Gate) denyFor(c *Call, table *swcatalog.Table, d Denial) Result {
	if g.age() > g.bounds.Load().ApplyWithin+applyMargin {
		return g.deny(c, table, DeniedStale, returnStale)
	}
	return g.deny(c, table, d, 0)
}

// applyMargin is added to the bound on the configuration's age, because the
// store confirms it no more often than a watch ends.
const applyMargin = 1500 * swclock.Millis(1)

func (g *Gate) deny(c *Call, table *swcatalog.Table, d Denial, retryAfter swclock.Millis) Result {
	version := swid.ConfigVersion(0)
	if table != nil {
		version = table.Catalog().Version
	}
	g.config.Log.Info().
		Str("requestId", string(c.ID)).Str("denial", d.String()).
		Str("callerHost", shorten(c.Host)).Str("path", shorten(c.Path)).
		Uint64("configVersion", uint64(version)).Int64("configAgeMillis", int64(g.age())).
		Int64("retryAfterMillis", int64(retryAfter)).
		Msg("request denied")
	return Result{Denial: d, RetryAfter: retryAfter}
}

// longestLogged bounds what a line takes over from a caller, in bytes.
const longestLogged = 160

func shorten(s string) string {
	if len(s) <= longestLogged {
		return s
	}
	return s[:longestLogged]
}

// request builds what the holder is given.
func (g *Gate) request(c *Call, route *swcatalog.Route, org *swcatalog.Organisation, body []byte) *swholder.Request {
	now := g.config.Clock.Now()
	seq, _ := g.config.Holder.NextID()
	service := route.Pick(rand.Float64())
	r := &swholder.Request{
		ID: c.ID, Seq: seq, Service: service, Cell: swid.NewCellID(service, g.config.Region),
		Tier: route.Tier, OrgTier: usualOrgTier, Deadline: deadline(now, c.Deadline, route.Timeout),
		PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens, ExpectedTokens: c.ExpectedTokens, Parts: c.Parts,
		Attempts: swid.Attempt(route.Attempts), EndsAtDeadline: true, KeepsNothing: true,
		Call: swtarget.Request{
			Method: c.Method, Host: c.Host, Path: c.Target, Header: c.Header, Body: body,
			Stream: route.Kind == swcatalog.KindStream,
		},
	}
	if org != nil {
		r.Org = org.ID
		if org.HasTier {
			r.OrgTier = org.Tier
		}
		r.Charge = charge(c, &org.Quota)
	}
	if route.Objective > 0 {
		r.Objective = now + route.Objective
	}
	if route.Abandon > 0 {
		r.Abandon = now + route.Abandon
	}
	switch {
	case route.Kind == swcatalog.KindIdempotent:
		r.RetryFailures = true
		r.Patience = patience(r.Deadline - now)
	case route.Kind == swcatalog.KindStream && route.Resumable:
		r.ResumeElsewhere = true
		r.RetryFailures = true
		r.Call.ResumeAfter = c.ResumeAfter
	default:
		r.NonIdempotent = true
	}
	r.Fingerprint = fingerprint(r, c)
	return r
}

// usualOrgTier is the tier of organisations for which the operators set none: the
// middle of the users' three, so that their requests stand by their route's tier
// among those of organisations that have one.
const usualOrgTier swid.Tier = 1

// charge returns what a call counts towards its organisation's quota.
func charge(c *Call, q *swcatalog.Quota) int64 {
	switch {
	case !q.Tokens:
		return 1
	case c.PromptTokens+c.OutputTokens > 0:
		return int64(c.PromptTokens + c.OutputTokens)
	default:
		return int64(q.PlainTokens)
	}
}

// deadline returns the instant at which the caller or the operator stops waiting.
func deadline(now, caller, timeout swclock.Millis) swclock.Millis {
	switch {
	case caller == 0 && timeout == 0:
		return now + defaultDeadline
	case caller == 0:
		return now + timeout
	case timeout == 0:
		return now + caller
	default:
		return now + min(caller, timeout)
	}
}

// defaultDeadline holds for a request for which neither the caller nor the operator sets one.
const defaultDeadline = swclock.Minute

// patience leaves half of the time to another target.
func patience(remaining swclock.Millis) swclock.Millis { return remaining / 2 }

// fingerprint identifies a request's content with the organisation that sent it.
func fingerprint(r *swholder.Request, c *Call) swid.Fingerprint {
	content := make([]byte, 0, len(r.Org)+len(c.Method)+len(c.Target)+len(r.Call.Body)+3)
	content = append(append(content, r.Org...), 0)
	content = append(append(content, c.Method...), 0)
	content = append(append(content, c.Target...), 0)
	return swprompt.Fingerprint(r.Service, append(content, r.Call.Body...))
}

// logEnd logs how a request ended, with what decided it.
func (g *Gate) logEnd(c *Call, table *swcatalog.Table, route *swcatalog.Route, r *swholder.Request, report *swholder.Report) {
	e := g.config.Log.Info().
		Str("requestId", string(c.ID)).
		Str("route", route.Name).
		Str("service", string(r.Service)).
		Str("organisation", string(r.Org)).
		Uint8("tier", uint8(r.Tier)).
		Uint64("configVersion", uint64(table.Catalog().Version)).
		Str("outcome", report.End.Outcome.String()).
		Uint32("attempts", uint32(report.Attempts)).
		Str("target", string(report.Target)).
		Int64("promptTokens", int64(r.PromptTokens)).
		Int64("expectedTokens", int64(r.ExpectedTokens)).
		Int64("outputTokens", int64(report.OutputTokens)).
		Int64("queueMillis", int64(report.Timing.Queue)).
		Int64("expectedFirstMillis", int64(report.Timing.ExpectedFirst)).
		Int64("firstMillis", int64(report.Timing.FirstToken)).
		Int64("objectiveMillis", int64(route.Objective)).
		Int64("totalMillis", int64(report.Timing.Total))
	if report.End.Outcome != swlife.OutcomeAnswered {
		e = e.Str("cause", report.End.Cause.String()).Int64("retryAfterMillis", int64(report.End.RetryAfter))
	}
	e.Msg("request ended")
}
