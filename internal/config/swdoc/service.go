package swdoc

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/julienschmidt/httprouter"

	"github.com/sassafraswing/sassafraswing/internal/config/swyaml"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

func (m *mapper) service(o *swyaml.Object) Service {
	id := o.Required("id")
	s := Service{Kind: KindModel}
	if o.Required("kind").OneOf(kindModel, kindModel, kindPlain) == kindPlain {
		s.Kind = KindPlain
		s.ID = swid.ServiceID(id.Name())
	} else {
		s.ID = swid.ServiceID(id.ModelName())
	}
	m.services.define(id, s.ID)
	if m.kinds == nil {
		m.kinds = make(map[swid.ServiceID]ServiceKind)
	}
	m.kinds[s.ID] = s.Kind
	tokens, span, routes := o.Optional("outputTokens"), o.Optional("serviceTime"), o.Optional("routes")
	s.OutputTokens = swid.Tokens(tokens.Int(0, 1, maxTokens))
	s.ServiceTime = span.Span(0, 1, maxSpan)
	s.Routes = mapList(routes, 1, func(o *swyaml.Object) Route { return m.route(o, s.ID) })
	need(s.Kind == KindModel, tokens, "a model has")
	need(s.Kind == KindPlain, span, "a plain service has")
	need(s.Kind == KindPlain, routes, "a plain service has")
	return s
}

// need reports a key that one kind of service must have and the other must not.
func need(wanted bool, v swyaml.Value, who string) {
	if wanted && !v.Present() {
		v.Fail("the key is missing", who+" it")
	}
	if !wanted && v.Present() {
		v.Fail("the key does not fit the service's kind", "only "+who+" it")
	}
}

func (m *mapper) route(o *swyaml.Object, service swid.ServiceID) Route {
	method, path := o.Required("method"), o.Required("path")
	r := Route{
		Method: method.OneOf("", strings.Split(allowedMethods, ", ")...),
		Path: path.Text("", "a path that starts with '/', of at most 256 bytes", func(s string) bool {
			return strings.HasPrefix(s, "/") && len(s) <= maxPathBytes
		}),
		Idempotent: o.Required("idempotent").Bool(false),
	}
	if r.Method == "" || r.Path == "" {
		return r
	}
	if err := m.routes.add(r.Method, servicesPath+string(service)+r.Path); err != nil {
		path.Fail(err.Error(), "a pattern of httprouter beside the service's others")
	}
	return r
}

// routeCheck finds patterns that the router would refuse when a host takes the document into force.
type routeCheck struct{ router *httprouter.Router }

// add registers a pattern. The router reports a conflict by a panic.
func (c *routeCheck) add(method, pattern string) (err error) {
	if c.router == nil {
		c.router = httprouter.New()
	}
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("the pattern is refused: %v", p)
		}
	}()
	c.router.Handle(method, pattern, func(http.ResponseWriter, *http.Request, httprouter.Params) {})
	return nil
}
