package swcatalog

import (
	"cmp"
	"slices"
	"strings"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Table looks up the routes, organisations and services of one Catalog.
type Table struct {
	catalog *Catalog
	// routesByHost holds the routes of each host name, the longest prefix first.
	routesByHost map[string][]*Route
	orgsByKey    map[string]*Organisation
	services     map[swid.ServiceID]*Service
}

// NewTable indexes a catalog.
func NewTable(c *Catalog) *Table {
	t := &Table{
		catalog:      c,
		routesByHost: make(map[string][]*Route),
		orgsByKey:    make(map[string]*Organisation),
		services:     make(map[swid.ServiceID]*Service, len(c.Services)),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		for _, key := range o.Keys {
			t.orgsByKey[key] = o
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].ID] = &c.Services[i]
	}
	return t
}

// Catalog returns the indexed catalog.
func (t *Table) Catalog() *Catalog { return t.catalog }

// Route returns the route for a caller's host name whose prefix is the longest that
// matches path. The host name may have a port; path must not have a query.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, r := range t.routesByHost[normaliseHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// JoinedServices returns the groups of services whose streams may be continued at each other because t replaces a former
// table: for each resumable route, its own services and those that ran the requests for its paths before.
func (t *Table) JoinedServices(former *Table) [][]swid.ServiceID {
	var joined [][]swid.ServiceID
	join := func(r, before *Route) {
		services := r.services()
		for _, s := range before.services() {
			if !slices.Contains(services, s) {
				services = append(services, s)
			}
		}
		if !r.Resumable || len(services) == min(len(r.Shares), len(before.Shares)) {
			return
		}
		slices.Sort(services)
		if !slices.ContainsFunc(joined, func(other []swid.ServiceID) bool { return slices.Equal(other, services) }) {
			joined = append(joined, services)
		}
	}
	own, formerOwn := t.routesByPaths(), former.routesByPaths()
	for p, r := range own {
		before, found := formerOwn[p]
		if !found {
			before, found = former.Route(p.host, p.prefix)
		}
		if found {
			join(r, before)
		}
	}
	// A route that is gone leaves its paths to one with a shorter prefix.
	for p, before := range formerOwn {
		if own[p] != nil {
			continue
		}
		if r, found := t.Route(p.host, p.prefix); found {
			join(r, before)
		}
	}
	return joined
}

// routePaths are the paths of a route.
type routePaths struct{ host, prefix string }

func (t *Table) routesByPaths() map[routePaths]*Route {
	routes := make(map[routePaths]*Route, len(t.catalog.Routes))
	for i := range t.catalog.Routes {
		r := &t.catalog.Routes[i]
		if p := (routePaths{r.Host, r.Prefix}); routes[p] == nil {
			routes[p] = r
		}
	}
	return routes
}

// normaliseHost removes the port and converts the name to lower case, the form of Route.Host.
func normaliseHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Organisation returns the organisation that holds an API key.
func (t *Table) Organisation(key string) (*Organisation, bool) {
	o, known := t.orgsByKey[key]
	return o, known
}

// Service returns a service of the catalog.
func (t *Table) Service(id swid.ServiceID) (*Service, bool) {
	s, known := t.services[id]
	return s, known
}

// Pick selects a service in proportion to the weights of the route's shares. The
// point, in [0, 1), determines the choice.
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

// services returns the services that receive the route's requests.
func (r *Route) services() []swid.ServiceID {
	services := make([]swid.ServiceID, len(r.Shares))
	for i, s := range r.Shares {
		services[i] = s.Service
	}
	return services
}
