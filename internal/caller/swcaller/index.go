package swcaller

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// index answers the questions that each request asks of the document. It does not change.
type index struct {
	document *swdoc.Document
	// keys maps the SHA-256 of an API key, in hexadecimal, to its organisation.
	keys     map[string]*swdoc.Organisation
	tiers    map[string]swid.Tier
	services map[swid.ServiceID]*serviceEntry
	models   []swid.ServiceID
}

// serviceEntry is a service with what finds its cell and its routes.
type serviceEntry struct {
	service *swdoc.Service
	// cell is the cell that requests of this host go to; empty if the service has no target.
	cell swid.CellID
	// routes is nil for models.
	routes *httprouter.Router
}

func newIndex(d *swdoc.Document, region swid.RegionID) *index {
	x := &index{
		document: d,
		keys:     make(map[string]*swdoc.Organisation),
		tiers:    make(map[string]swid.Tier),
		services: make(map[swid.ServiceID]*serviceEntry),
	}
	for i := range d.Organisations {
		for _, hash := range d.Organisations[i].KeyHashes {
			x.keys[hash] = &d.Organisations[i]
		}
	}
	for i, t := range d.Tiers {
		x.tiers[t.Name] = swid.Tier(i)
	}
	for i := range d.Services {
		x.addService(&d.Services[i], region)
	}
	return x
}

func (x *index) addService(s *swdoc.Service, region swid.RegionID) {
	e := &serviceEntry{service: s, cell: cellOf(x.document, s.ID, region)}
	x.services[s.ID] = e
	if s.Kind == swdoc.KindModel {
		x.models = append(x.models, s.ID)
		return
	}
	e.routes = httprouter.New()
	for _, r := range s.Routes {
		e.routes.Handle(r.Method, r.Path, routeMarker(r.Idempotent))
	}
}

// routeMarker returns a handle that only tells, in place of an answer, whether a route is idempotent.
func routeMarker(idempotent bool) httprouter.Handle {
	return func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if m, ok := w.(*routeMark); ok {
			m.idempotent = idempotent
		}
	}
}

// routeMark carries the result of a routeMarker; it is used as nothing else.
type routeMark struct {
	http.ResponseWriter
	idempotent bool
}

// route finds the route of a call of a plain service.
func (e *serviceEntry) route(method, path string) (idempotent, found bool) {
	handle, params, _ := e.routes.Lookup(method, path)
	if handle == nil {
		return false, false
	}
	var m routeMark
	handle(&m, nil, params)
	return m.idempotent, true
}

// cellOf prefers the cell of the host's own region, and else takes the first that has a target.
func cellOf(d *swdoc.Document, service swid.ServiceID, region swid.RegionID) swid.CellID {
	var first swid.CellID
	for _, t := range d.Targets {
		if t.Service != service {
			continue
		}
		r, known := d.RegionOf(t.Zone)
		if !known {
			continue
		}
		if r == region {
			return swid.NewCellID(service, region)
		}
		if first == "" {
			first = swid.NewCellID(service, r)
		}
	}
	return first
}

// organisation returns the organisation that an API key belongs to.
func (x *index) organisation(key string) (*swdoc.Organisation, bool) {
	hash := sha256.Sum256([]byte(key))
	o, known := x.keys[hex.EncodeToString(hash[:])]
	return o, known
}
