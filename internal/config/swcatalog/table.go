package swcatalog

import (
	"cmp"
	"slices"
	"strings"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Table finds routes, organisations and services of one Catalog.
type Table struct {
	catalog *Catalog
	// hosts has the routes of each host name, the longest prefix first.
	hosts    map[string][]*Route
	keys     map[string]*Organisation
	services map[swid.ServiceID]*Service
}

// NewTable indexes a catalog.
func NewTable(c *Catalog) *Table {
	t := &Table{
		catalog:  c,
		hosts:    make(map[string][]*Route),
		keys:     make(map[string]*Organisation),
		services: make(map[swid.ServiceID]*Service, len(c.Services)),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		for _, key := range o.Keys {
			t.keys[key] = o
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].ID] = &c.Services[i]
	}
	return t
}

// Catalog returns the indexed catalog.
func (t *Table) Catalog() *Catalog { return t.catalog }

// Route returns the route with the longest prefix of a path, without its query.
// The host name may have a port.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, r := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// hostName returns the form in which routes name hosts.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Organisation returns the organisation that holds an API key.
func (t *Table) Organisation(key string) (*Organisation, bool) {
	o, known := t.keys[key]
	return o, known
}

// Service returns a service of the catalog.
func (t *Table) Service(id swid.ServiceID) (*Service, bool) {
	s, known := t.services[id]
	return s, known
}

// Pick returns the service for a point in [0, 1) of the route's shares.
func (r *Route) Pick(point float64) swid.ServiceID {
	var sum float64
	for _, s := range r.Shares {
		sum += s.Weight
	}
	rest := point * sum
	for _, s := range r.Shares {
		if rest < s.Weight {
			return s.Service
		}
		rest -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
