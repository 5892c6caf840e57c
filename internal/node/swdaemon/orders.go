package swdaemon

import (
	"context"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/operator/swadmin"
	"github.com/sassafraswing/sassafraswing/internal/owner/sworder"
	"github.com/sassafraswing/sassafraswing/internal/store/swlease"
)

const (
	// orderLeaseTerm is the term of the lease under which orders are sent to engines.
	orderLeaseTerm = 10 * swclock.Second
	// orderDeliveryTimeout limits the time from the last check of the lease until an
	// order arrives at its engine.
	orderDeliveryTimeout = 2 * swclock.Second
	// leasePollInterval is how often the lease is read while another host holds it.
	leasePollInterval = 500 * swclock.Millis(1)
)

// newOrderIssuer returns the issuer that sends orders to the engines of this host's region.
func (d *Daemon) newOrderIssuer() *sworder.Issuer {
	key := "environments/" + d.settings.Platform.Environment + "/orders/" + string(d.settings.Region)
	return sworder.NewIssuer(sworder.IssuerConfig{
		Lease:         swlease.Config{Key: key, Term: orderLeaseTerm, DeliveryTimeout: orderDeliveryTimeout},
		AnswerTimeout: d.settings.Orders.AnswerTimeout,
		LoadInterval:  d.settings.Orders.LoadInterval,
		PollInterval:  leasePollInterval,
	}, d.store, d.clock)
}

// Order implements swadmin.OrderSender.
func (d *Daemon) Order(ctx context.Context, id swid.TargetID, o sworder.Order) error {
	target, err := d.orderTarget(id)
	if err != nil {
		return err
	}
	return d.orderIssuer.Issue(ctx, target, o)
}

// orderTarget returns the engine with the given ID, which must be in this host's region.
func (d *Daemon) orderTarget(id swid.TargetID) (sworder.Target, error) {
	document := d.relay.Current().Document
	if document == nil {
		return sworder.Target{}, errors.WithMessage(sworder.ErrNotSent, errNoDocument.Error())
	}
	for _, t := range document.Targets {
		if t.ID != id {
			continue
		}
		if region, _ := document.RegionOf(t.Zone); region != d.settings.Region {
			return sworder.Target{}, newNotFoundFailure("the target is in region " + string(region) + "; ask a host there")
		}
		if t.Generation == "" {
			return sworder.Target{}, newNotFoundFailure("the target is a plain service, which takes no orders")
		}
		return d.withToken(t)
	}
	return sworder.Target{}, newNotFoundFailure("no such target in the document")
}

func newNotFoundFailure(text string) error {
	return &swadmin.Failure{Code: swadmin.CodeNotFound, Message: text}
}

// withToken returns the order target for t, with the token of the settings' token file
// if t checks its callers. The file is read for each order, so that a replaced file takes
// effect at once.
func (d *Daemon) withToken(t swdoc.Target) (sworder.Target, error) {
	target := sworder.Target{ID: t.ID, URL: t.URL, ChecksCaller: t.ChecksCaller}
	if !t.ChecksCaller || d.settings.Orders.TokenFile == "" {
		return target, nil
	}
	data, err := os.ReadFile(d.settings.Orders.TokenFile)
	if err != nil {
		return target, errors.WithMessage(sworder.ErrNoToken, err.Error())
	}
	target.Token = strings.TrimSpace(string(data))
	return target, nil
}
