package swclient

import (
	"context"
	"net/http/httptest"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/operator/swadmin"
	"github.com/sassafraswing/sassafraswing/internal/owner/sworder"
	"github.com/sassafraswing/sassafraswing/internal/stand/swengine"
	"github.com/sassafraswing/sassafraswing/internal/stand/swmemstore"
	"github.com/sassafraswing/sassafraswing/internal/store/swlease"
)

// engineOrderSender implements swadmin.OrderSender. It sends orders to a stand-in engine
// under a lease in the test's store.
type engineOrderSender struct {
	issuer *sworder.Issuer
	// url is the URL of the engine, which checks the caller's token.
	url string
}

// startEngines starts a stand-in engine that runs until the test script ends.
func startEngines(e *testscript.Env, store *swmemstore.Store) engineOrderSender {
	engine := swengine.New(swengine.Config{EnforceFencing: true, CallerToken: "secret"})
	server := httptest.NewServer(engine.Handler())
	issuer := sworder.NewIssuer(sworder.IssuerConfig{
		Lease:         swlease.Config{Key: "lease", Term: 10 * swclock.Second, DeliveryTimeout: 2 * swclock.Second},
		AnswerTimeout: 10 * swclock.Second,
		LoadInterval:  10,
		PollInterval:  10,
	}, store, swclock.NewSystem())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { issuer.Run(ctx); close(done) }()
	e.Defer(func() { cancel(); <-done; server.Close(); engine.Close() })
	return engineOrderSender{issuer: issuer, url: server.URL}
}

// Order implements swadmin.OrderSender.
func (s engineOrderSender) Order(ctx context.Context, id swid.TargetID, o sworder.Order) error {
	switch id {
	case "engine-1":
		return s.issuer.Issue(ctx, sworder.Target{URL: s.url, ChecksCaller: true, Token: "secret"}, o)
	case "wrong-token":
		return s.issuer.Issue(ctx, sworder.Target{URL: s.url, ChecksCaller: true, Token: "old"}, o)
	case "no-token":
		return s.issuer.Issue(ctx, sworder.Target{URL: s.url, ChecksCaller: true}, o)
	case "gone":
		return s.issuer.Issue(ctx, sworder.Target{URL: "http://127.0.0.1:1"}, o)
	case "busy":
		return &sworder.LeaseError{Cause: sworder.ErrLeaseElsewhere, RetryAfter: 12 * swclock.Second}
	case "silent":
		return errors.New("no answer")
	}
	return &swadmin.Failure{Code: swadmin.CodeNotFound, Message: "no such target in the document"}
}
