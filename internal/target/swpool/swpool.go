// Package swpool holds an adapter for each target in the current configuration document.
package swpool

import (
	"sync/atomic"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// Factory creates the adapter of a target.
type Factory func(t swdoc.Target, kind swdoc.ServiceKind) swtarget.Adapter

// Pool holds the adapters of the targets. Its methods are safe for concurrent use,
// except that Configure must be called from one goroutine only.
type Pool struct {
	factory Factory
	// listing is replaced as a whole by Configure. A stored one is not modified.
	listing atomic.Pointer[listing]
}

// listing has the targets of one document.
type listing struct {
	entries  map[swid.TargetID]entry
	services map[swid.ServiceID][]swid.TargetID
}

type entry struct {
	target  swdoc.Target
	kind    swdoc.ServiceKind
	adapter swtarget.Adapter
}

// New returns an empty pool.
func New(factory Factory) *Pool {
	p := &Pool{factory: factory}
	p.listing.Store(&listing{})
	return p
}

// Configure applies a document. A target keeps its adapter if its URL and the kind
// of its service are unchanged.
func (p *Pool) Configure(d *swdoc.Document) {
	kinds := make(map[swid.ServiceID]swdoc.ServiceKind, len(d.Services))
	for _, s := range d.Services {
		kinds[s.ID] = s.Kind
	}
	old := p.listing.Load().entries
	l := listing{entries: make(map[swid.TargetID]entry, len(d.Targets)), services: make(map[swid.ServiceID][]swid.TargetID, len(d.Services))}
	for _, t := range d.Targets {
		e := entry{target: t, kind: kinds[t.Service]}
		if o, known := old[t.ID]; known && o.target.URL == t.URL && o.kind == e.kind {
			e.adapter = o.adapter
		} else {
			e.adapter = p.factory(t, e.kind)
		}
		l.entries[t.ID] = e
		l.services[t.Service] = append(l.services[t.Service], t.ID)
	}
	p.listing.Store(&l)
}

// Target is a target of the current document.
type Target struct {
	Adapter swtarget.Adapter
	// Accepting is set unless the target is draining.
	Accepting bool
	// Born identifies one start of the target; 0 if unknown.
	Born int64
	// Origin is that of the streams that the target begins.
	Origin sworigin.Origin
}

// Target returns a target of the current document, and whether the document lists it.
func (p *Pool) Target(id swid.TargetID) (Target, bool) {
	e, listed := p.listing.Load().entries[id]
	return Target{
		Adapter: e.adapter, Accepting: !e.target.Draining, Born: e.target.Born,
		Origin: sworigin.Origin{Service: e.target.Service, Version: e.target.Version},
	}, listed
}

// OfService returns the targets of a service in the current document. The slice must not be modified.
func (p *Pool) OfService(service swid.ServiceID) []swid.TargetID {
	return p.listing.Load().services[service]
}
