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
	// orderTerm is the term of the lease for orders.
	orderTerm = 10 * swclock.Second
	// orderDelivery bounds the way of an order to its engine.
	orderDelivery = 2 * swclock.Second
	// orderPoll is the interval at which a lease of another host is looked at.
	orderPoll = 500 * swclock.Millis(1)
)

// newGiver returns what gives the orders of this host's region.
func (d *Daemon) newGiver() *sworder.Giver {
	key := "environments/" + d.settings.Platform.Environment + "/orders/" + string(d.settings.Region)
	return sworder.NewGiver(sworder.GiverConfig{
		Lease:        swlease.Config{Key: key, Term: orderTerm, Delivery: orderDelivery},
		Answer:       d.settings.Orders.AnswerTimeout,
		LoadInterval: d.settings.Orders.LoadInterval,
		Poll:         orderPoll,
	}, d.store, d.clock)
}

// Order implements swadmin.Orderer.
func (d *Daemon) Order(ctx context.Context, id swid.TargetID, o sworder.Order) error {
	target, err := d.orderTarget(id)
	if err != nil {
		return err
	}
	return d.giver.Give(ctx, target, o)
}

// orderTarget returns an engine of this host's region.
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
			return sworder.Target{}, noOrder("the target is in region " + string(region) + "; ask a host there")
		}
		if t.Generation == "" {
			return sworder.Target{}, noOrder("the target is a plain service, which takes no orders")
		}
		return d.withToken(t)
	}
	return sworder.Target{}, noOrder("no such target in the document")
}

func noOrder(text string) error { return &swadmin.Failure{Code: swadmin.CodeNotFound, Message: text} }

// withToken reads the token anew for each order, so that a replaced file is in use at once.
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
