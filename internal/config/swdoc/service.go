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
	s.ServiceTime = span.Span(0, 1, maxDuration)
	s.Routes = mapList(routes, 1, func(o *swyaml.Object) Route { return m.route(o, s.ID) })
	checkKeyOfKind(s.Kind == KindModel, tokens, "a model has")
	checkKeyOfKind(s.Kind == KindPlain, span, "a plain service has")
	checkKeyOfKind(s.Kind == KindPlain, routes, "a plain service has")
	return s
}

// checkKeyOfKind reports a missing key that the kind of service requires, and a
// key that only the other kind may have. subject names the kind that has it.
func checkKeyOfKind(required bool, v swyaml.Value, subject string) {
	if required && !v.Present() {
		v.Fail("the key is missing", subject+" it")
	}
	if !required && v.Present() {
		v.Fail("the key does not apply to the service's kind", "only "+subject+" it")
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
		path.Fail(err.Error(), "an httprouter pattern that does not conflict with other routes")
	}
	return r
}

// routeCheck finds patterns that the router would refuse when a host applies the document.
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
