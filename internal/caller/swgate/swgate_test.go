package swgate

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
	"github.com/sassafraswing/sassafraswing/internal/holder/swholder"
)

var catalog = &swcatalog.Catalog{
	Version: 3,
	Routes: []swcatalog.Route{
		{
			Name: "read", Host: "h", Prefix: "/read/", Kind: swcatalog.KindIdempotent, Timeout: 1000, Objective: 100, Tier: 2, Attempts: 2,
			Shares: []swcatalog.Share{{Service: "plain", Weight: 1}},
		},
		{
			Name: "write", Host: "h", Prefix: "/write/", Kind: swcatalog.KindNonIdempotent, Attempts: 1,
			Shares: []swcatalog.Share{{Service: "plain", Weight: 1}},
		},
		{
			Name: "letter", Host: "h", Prefix: "/letter/", Kind: swcatalog.KindStream, Timeout: 9000, Attempts: 1,
			Shares: []swcatalog.Share{{Service: "engines", Weight: 1}},
		},
		{
			Name: "chat", Host: "h", Prefix: "/chat/", Kind: swcatalog.KindStream, Resumable: true, Attempts: 2,
			Shares: []swcatalog.Share{{Service: "engines", Weight: 1}},
		},
		{
			Name: "open", Host: "h", Prefix: "/read/open/", Kind: swcatalog.KindIdempotent, Public: true, Attempts: 1,
			Shares: []swcatalog.Share{{Service: "plain", Weight: 1}},
		},
	},
	Organisations: []swcatalog.Organisation{
		{ID: "org", Keys: []string{"key"}, HasTier: true, Tier: 2, Quota: swcatalog.Quota{Rate: 1000, Burst: 1000, CountsTokens: true, DefaultTokens: 200}},
	},
}

// fixture is a gate with its clock and a holder that records requests.
type fixture struct {
	gate  *Gate
	clock *swclock.Manual
	// confirmed is the time that Config.ConfirmedAt returns.
	confirmed swclock.Millis
	// lastRequest is the last request that the holder received.
	lastRequest *swholder.Request
	// forwarded is the number of calls of Config.OnForwarded.
	forwarded int
	// results has the results passed to Config.OnResult.
	results []Result
}

// NextID implements Holder.
func (f *fixture) NextID() (swid.Seq, swid.RequestID) { return 1, "" }

// Serve implements Holder.
func (f *fixture) Serve(_ context.Context, r *swholder.Request, _ swholder.Sink) swholder.Report {
	f.lastRequest = r
	return swholder.Report{End: swlife.End{Outcome: swlife.OutcomeAnswered}}
}

func newFixture() *fixture {
	f := &fixture{clock: &swclock.Manual{}}
	f.clock.Advance(swclock.Minute)
	f.confirmed = f.clock.Now()
	f.gate = New(Config{
		Region: "r", Holder: f, Clock: f.clock, Boot: f.clock, ConfirmedAt: func() swclock.Millis { return f.confirmed },
		OnForwarded: func(swid.ServiceID) { f.forwarded++ }, Log: zerolog.Nop(), OnResult: func(r *Result) { f.results = append(f.results, *r) },
	}, Bounds{ApplyWithin: 2000, RevokeWithin: 5000})
	f.gate.Configure(swcatalog.NewTable(catalog))
	return f
}

func callTo(path, key string) *Call {
	return &Call{
		ID: "id", Method: http.MethodPost, Host: "H:8080", Target: path + "?q", Path: path, Key: key,
		ReadBody: func(swcatalog.Limits, swid.OrgID) ([]byte, error) { return []byte("body"), nil },
	}
}

// TestDenials checks which calls a host denies, also when the store has not confirmed
// the configuration for a while.
func TestDenials(t *testing.T) {
	tests := []struct {
		name, path, key string
		// age is the time since the store confirmed the configuration.
		age  swclock.Millis
		want Denial
	}{
		{"known route and key", "/read/x", "key", 0, DeniedNone},
		{"no route", "/none/", "key", 0, DeniedNoRoute},
		{"no key", "/read/x", "", 0, DeniedKey},
		{"unknown key", "/read/x", "other", 0, DeniedKey},
		{"public route without a key", "/read/open/x", "", 0, DeniedNone},
		{"known key shortly before it may have been removed", "/read/x", "key", 4900, DeniedNone},
		{"known key that may have been removed", "/read/x", "key", 4901, DeniedStale},
		{"public route long after", "/read/open/x", "", swclock.Hour, DeniedNone},
		{"unknown key that may be new", "/read/x", "other", 4000, DeniedStale},
		{"unknown route that may be new", "/none/", "key", 4000, DeniedStale},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture()
			f.clock.Advance(tt.age)
			result := f.gate.Serve(context.Background(), callTo(tt.path, tt.key), nil)
			if result.Denial != tt.want {
				t.Fatalf("denial %s, want %s", result.Denial, tt.want)
			}
			if (f.lastRequest != nil) != (tt.want == DeniedNone) || f.forwarded != len(f.results)-boolToInt(tt.want != DeniedNone) {
				t.Errorf("holder received %v, %d requests forwarded, %d results", f.lastRequest, f.forwarded, len(f.results))
			}
			if wantRetry := tt.want == DeniedStale; (result.RetryAfter > 0) != wantRetry {
				t.Errorf("retry after %d", result.RetryAfter)
			}
		})
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestScopeNames checks that the names of the scopes that were used last are known if they are kept, and that models of callers' choice do
// not add up.
func TestScopeNames(t *testing.T) {
	f := newFixture()
	serve := func(path, model string) swid.PromptScope {
		call := callTo(path, "key")
		call.Model = model
		if r := f.gate.Serve(context.Background(), call, nil); r.Denial != DeniedNone {
			t.Fatalf("denial %s", r.Denial)
		}
		return f.lastRequest.Scope
	}
	if got := f.gate.ScopeName(serve("/read/x", "")); got != "" {
		t.Errorf("name %q, though names are not kept", got)
	}
	f.gate.KeepScopeNames()
	read, chat := serve("/read/x", ""), serve("/chat/x", "m")
	if got := f.gate.ScopeName(read); got != "read" {
		t.Errorf("name %q of route read", got)
	}
	if got := f.gate.ScopeName(chat); got != "chat/m" {
		t.Errorf("name %q of route chat and model m", got)
	}
	for i := range 2 * maxScopes {
		serve("/chat/x", fmt.Sprint("m", i))
		serve("/chat/x", "m")
	}
	if got := f.gate.ScopeName(chat); got != "chat/m" {
		t.Errorf("name %q of a scope that is in use", got)
	}
	if got := f.gate.ScopeName(read); got != "" || f.gate.scopes.Len() != maxScopes {
		t.Errorf("name %q after many others, %d names", got, f.gate.scopes.Len())
	}
}

// TestUnready checks that calls are denied before the first configuration and during shutdown.
func TestUnready(t *testing.T) {
	f := newFixture()
	fresh := New(f.gate.config, Bounds{})
	if r := fresh.Serve(context.Background(), callTo("/read/x", "key"), nil); r.Denial != DeniedUnconfigured || r.RetryAfter == 0 {
		t.Errorf("without a configuration: %+v", r)
	}
	f.gate.StartDraining()
	if r := f.gate.Serve(context.Background(), callTo("/read/x", "key"), nil); r.Denial != DeniedDraining || r.RetryAfter == 0 {
		t.Errorf("during shutdown: %+v", r)
	}
	if f.lastRequest != nil {
		t.Error("the holder received a request")
	}
}

// TestBody checks that a request is denied if its body cannot be read.
func TestBody(t *testing.T) {
	f := newFixture()
	c := callTo("/read/x", "key")
	readErr := errors.New("too large")
	c.ReadBody = func(swcatalog.Limits, swid.OrgID) ([]byte, error) { return nil, readErr }
	if r := f.gate.Serve(context.Background(), c, nil); r.Denial != DeniedBody || !errors.Is(r.BodyError, readErr) {
		t.Errorf("result %+v", r)
	}
}

// TestChangeWhileBodyArrives guards against requests that are passed on by a decision that no longer holds when their body is complete.
func TestChangeWhileBodyArrives(t *testing.T) {
	configure := func(change func(c *swcatalog.Catalog)) func(*fixture) {
		return func(f *fixture) {
			changed := *catalog
			changed.Version++
			changed.Routes = slices.Clone(catalog.Routes)
			changed.Organisations = slices.Clone(catalog.Organisations)
			change(&changed)
			f.gate.Configure(swcatalog.NewTable(&changed))
		}
	}
	tests := []struct {
		name, path, key string
		change          func(f *fixture)
		want            Denial
		service         swid.ServiceID
		charge          int64
	}{
		{"nothing", "/read/x", "key", func(*fixture) {}, DeniedNone, "plain", 200},
		{"another version", "/read/x", "key", configure(func(*swcatalog.Catalog) {}), DeniedNone, "plain", 200},
		{"the host begins to drain", "/read/x", "key", func(f *fixture) { f.gate.StartDraining() }, DeniedDraining, "", 0},
		{"the route is dropped", "/read/x", "key", configure(func(c *swcatalog.Catalog) { c.Routes = c.Routes[1:4] }), DeniedNoRoute, "", 0},
		{"the route is moved", "/read/x", "key", configure(func(c *swcatalog.Catalog) {
			c.Routes[0].Shares = []swcatalog.Share{{Service: "other", Weight: 1}}
		}), DeniedNone, "other", 200},
		{"the key is removed", "/read/x", "key", configure(func(c *swcatalog.Catalog) { c.Organisations[0].Keys = nil }), DeniedKey, "", 0},
		{"the quota counts requests", "/read/x", "key", configure(func(c *swcatalog.Catalog) { c.Organisations[0].Quota.CountsTokens = false }), DeniedNone, "plain", 1},
		{"the route is not public any more", "/read/open/x", "", configure(func(c *swcatalog.Catalog) { c.Routes[4].Public = false }), DeniedKey, "", 0},
		{"the route becomes public", "/write/x", "key", configure(func(c *swcatalog.Catalog) { c.Routes[1].Public = true }), DeniedNone, "plain", 0},
		{"the configuration becomes stale", "/read/x", "key", func(f *fixture) { f.clock.Advance(5000) }, DeniedStale, "", 0},
		{"the route is dropped, then the store is lost", "/read/x", "key", func(f *fixture) {
			configure(func(c *swcatalog.Catalog) { c.Routes = nil })(f)
			f.clock.Advance(4000)
		}, DeniedStale, "", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture()
			c := callTo(tt.path, tt.key)
			c.ReadBody = func(swcatalog.Limits, swid.OrgID) ([]byte, error) {
				tt.change(f)
				return []byte("body"), nil
			}
			result := f.gate.Serve(context.Background(), c, nil)
			if result.Denial != tt.want || len(f.results) != 1 {
				t.Fatalf("denial %s, want %s; %d results", result.Denial, tt.want, len(f.results))
			}
			if tt.want != DeniedNone {
				if f.lastRequest != nil || f.forwarded != 0 {
					t.Errorf("the holder received %+v", f.lastRequest)
				}
				return
			}
			if r := f.lastRequest; r.Service != tt.service || r.Charge != tt.charge {
				t.Errorf("service %s, charge %d, want %s, %d", r.Service, r.Charge, tt.service, tt.charge)
			}
		})
	}
}

// TestRequest checks the request that the holder receives for each kind of route.
func TestRequest(t *testing.T) {
	tests := []struct {
		name, path    string
		deadline      swclock.Millis
		nonIdempotent bool
		resumes       bool
		retries       bool
		stream        bool
		attempts      swid.Attempt
		remaining     swclock.Millis
		charge        int64
	}{
		{"idempotent", "/read/x", 5000, false, false, true, false, 2, 1000, 200},
		{"caller's deadline", "/read/x", 400, false, false, true, false, 2, 400, 200},
		{"non-idempotent without a timeout", "/write/x", 700, true, false, false, false, 1, 700, 200},
		{"no bound at all", "/write/x", 0, true, false, false, false, 1, defaultDeadline, 200},
		{"stream", "/letter/x", 15000, true, false, false, true, 1, 9000, 30},
		{"resumable stream", "/chat/x", 15000, false, true, true, true, 2, 15000, 30},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture()
			c := callTo(tt.path, "key")
			c.Deadline = tt.deadline
			if tt.stream {
				c.PromptTokens, c.OutputTokens = 10, 20
			}
			f.gate.Serve(context.Background(), c, nil)
			r := f.lastRequest
			if r.NonIdempotent != tt.nonIdempotent || r.ResumeElsewhere != tt.resumes || r.RetryFailures != tt.retries ||
				r.Call.Stream != tt.stream || r.Attempts != tt.attempts || !r.EndsAtDeadline || !r.NotResumable {
				t.Errorf("request %+v", r)
			}
			if got := r.Deadline - f.clock.Now(); got != tt.remaining {
				t.Errorf("%d ms remain, want %d", got, tt.remaining)
			}
			if r.Charge != tt.charge || r.Org != "org" {
				t.Errorf("charge %d of %s, want %d", r.Charge, r.Org, tt.charge)
			}
			if r.OrgTier != 2 {
				t.Errorf("the organisation's tier is %d, want 2", r.OrgTier)
			}
			if r.Call.Path != tt.path+"?q" || string(r.Call.Body) != "body" || r.ID != "id" {
				t.Errorf("call %+v", r.Call)
			}
		})
	}
}

// TestTakenUpService checks that a stream which is taken up goes to the service that its first attempt went to.
func TestTakenUpService(t *testing.T) {
	f := newFixture()
	split := *catalog
	split.Version++
	split.Routes = []swcatalog.Route{{
		Name: "chat", Host: "h", Prefix: "/chat/", Kind: swcatalog.KindStream, Resumable: true, Attempts: 2, Public: true,
		Shares: []swcatalog.Share{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}},
	}}
	f.gate.Configure(swcatalog.NewTable(&split))
	serve := func(id, begunBy swid.RequestID) *swholder.Request {
		call := callTo("/chat/x", "")
		call.ID = id
		if begunBy != "" {
			call.ResumeAfter, call.BegunBy = "3", begunBy
		}
		f.gate.Serve(context.Background(), call, nil)
		return f.lastRequest
	}
	picked := make(map[swid.ServiceID]int)
	for i := range 100 {
		first := swid.RequestID(fmt.Sprint("first ", i))
		service := serve(first, "").Service
		picked[service]++
		for try := range 3 {
			r := serve(swid.RequestID(fmt.Sprint("try ", i, try)), first)
			if want := (sworigin.Continuation{Continues: true, Stream: sworigin.StreamOf(first)}); r.Service != service || r.Continuation != want {
				t.Fatalf("a stream of %s is taken up at %s as %+v, want %+v", service, r.Service, r.Continuation, want)
			}
		}
	}
	if picked["a"] < 30 || picked["b"] < 30 {
		t.Errorf("new streams went to %v, want about half to each", picked)
	}
}

// TestFingerprint checks that requests which differ in path, query, method or body have
// different fingerprints, and that a repeated request has the same fingerprint.
func TestFingerprint(t *testing.T) {
	f := newFixture()
	fingerprintOf := func(change func(c *Call)) swid.Fingerprint {
		c := callTo("/read/x", "key")
		change(c)
		f.gate.Serve(context.Background(), c, nil)
		return f.lastRequest.Fingerprint
	}
	first := fingerprintOf(func(c *Call) { c.ID = "other attempt" })
	if again := fingerprintOf(func(*Call) {}); again != first {
		t.Error("another attempt at the same request has another fingerprint")
	}
	for name, change := range map[string]func(c *Call){
		"target": func(c *Call) { c.Target = "/read/x?other" },
		"method": func(c *Call) { c.Method = http.MethodPut },
		"body": func(c *Call) {
			c.ReadBody = func(swcatalog.Limits, swid.OrgID) ([]byte, error) { return []byte("else"), nil }
		},
	} {
		if fingerprintOf(change) == first {
			t.Errorf("another %s has the same fingerprint", name)
		}
	}
}

// TestFingerprintOfEveryService guards against content that is counted once for each service that
// its route leads to.
func TestFingerprintOfEveryService(t *testing.T) {
	f := newFixture()
	seen := make(map[swid.Fingerprint]bool)
	for version, service := range []swid.ServiceID{"plain", "other", "engines"} {
		moved := *catalog
		moved.Version += swid.ConfigVersion(version)
		moved.Routes = []swcatalog.Route{catalog.Routes[0]}
		moved.Routes[0].Shares = []swcatalog.Share{{Service: service, Weight: 1}}
		f.gate.Configure(swcatalog.NewTable(&moved))
		f.gate.Serve(context.Background(), callTo("/read/x", "key"), nil)
		if f.lastRequest.Service != service {
			t.Fatalf("sent to service %s, want %s", f.lastRequest.Service, service)
		}
		seen[f.lastRequest.Fingerprint] = true
	}
	if len(seen) != 1 {
		t.Errorf("%d fingerprints of the same content", len(seen))
	}
}

// TestUsualTier checks that a request on a public route, which has no organisation, gets defaultOrgTier.
func TestUsualTier(t *testing.T) {
	f := newFixture()
	f.gate.Serve(context.Background(), callTo("/read/open/x", ""), nil)
	if f.lastRequest.OrgTier != defaultOrgTier {
		t.Errorf("tier %d, want %d", f.lastRequest.OrgTier, defaultOrgTier)
	}
}
