package swcaller

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// index has the lookup tables that requests need, built from the configuration
// document. It is immutable.
type index struct {
	document *swdoc.Document
	// keys maps the SHA-256 of an API key, in hexadecimal, to its organisation.
	keys     map[string]*swdoc.Organisation
	tiers    map[string]swid.Tier
	services map[swid.ServiceID]*serviceEntry
	models   []swid.ServiceID
}

// serviceEntry is a service with its cell and its routes.
type serviceEntry struct {
	service *swdoc.Service
	// cell is the cell that this host sends the service's requests to; empty if the
	// service has no target. A cell is the service's targets in one region, which one
	// host schedules together.
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
	e := &serviceEntry{service: s, cell: selectCell(x.document, s.ID, region)}
	x.services[s.ID] = e
	if s.Kind == swdoc.KindModel {
		x.models = append(x.models, s.ID)
		return
	}
	e.routes = httprouter.New()
	for _, r := range s.Routes {
		e.routes.Handle(r.Method, r.Path, newRouteHandle(r.Idempotent))
	}
}

// newRouteHandle returns a handle that sends no response, but stores in a routeResult
// whether the route is idempotent.
func newRouteHandle(idempotent bool) httprouter.Handle {
	return func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if m, ok := w.(*routeResult); ok {
			m.idempotent = idempotent
		}
	}
}

// routeResult receives the result of a handle from newRouteHandle. It is a
// ResponseWriter only to fit the signature of httprouter.Handle.
type routeResult struct {
	http.ResponseWriter
	idempotent bool
}

// lookupRoute looks up the route of a plain service for a method and path.
func (e *serviceEntry) lookupRoute(method, path string) (idempotent, found bool) {
	handle, params, _ := e.routes.Lookup(method, path)
	if handle == nil {
		return false, false
	}
	var m routeResult
	handle(&m, nil, params)
	return m.idempotent, true
}

// selectCell returns the service's cell in the host's own region or, if the service has
// no target there, the cell of its first target.
func selectCell(d *swdoc.Document, service swid.ServiceID, region swid.RegionID) swid.CellID {
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
