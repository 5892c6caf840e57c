package swscenario

import (
	"net/url"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/config/swyaml"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Limits and defaults of the values in a scenario. maxRate is in arrivals per second.
const (
	maxDuration     = swclock.Hour
	maxRequests     = 1_000_000
	maxRate         = 10_000
	maxFactor       = 1000
	maxTokens       = 1 << 18
	maxPrefixes     = 1000
	maxWeight       = 1e6
	maxFaultCount   = 1 << 20
	maxStatus       = 599
	defaultTokens   = 32
	defaultPairs    = 1000
	defaultWarmup   = 50
	defaultSeed     = 1
	maxSeed         = 1 << 62
	defaultDeadline = 10 * swclock.Second
)

// Load reads and parses a scenario file.
func Load(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read scenario")
	}
	return Parse(path, data)
}

// Parse parses the text of a scenario file. Its error is a *swyaml.Error, in which
// file is the name of the file.
func Parse(file string, data []byte) (*Scenario, error) {
	s := &Scenario{}
	if err := swyaml.Read(file, data, func(o *swyaml.Object) { mapScenario(o, s) }); err != nil {
		return nil, err
	}
	return s, nil
}

func mapScenario(o *swyaml.Object, s *Scenario) {
	s.Name = o.Required("name").Name()
	s.Seed = uint64(o.Optional("seed").Int(defaultSeed, 0, maxSeed))
	s.Duration = o.Required("duration").Span(0, 1, maxDuration)
	s.Requests = int(o.Optional("requests").Int(0, 1, maxRequests))
	s.Hosts = parseURLs(o.Required("hosts"))
	s.Engines = parseURLs(o.Optional("engines"))
	s.PlainServices = parseURLs(o.Optional("plain"))
	for _, v := range o.Required("tiers").List() {
		s.Tiers = append(s.Tiers, v.Name())
	}
	for _, v := range o.Required("organisations").List() {
		s.Organisations = append(s.Organisations, mapOrganisation(v.Object()))
	}
	flows := o.Required("flows")
	for _, v := range flows.List() {
		s.Flows = append(s.Flows, mapFlow(v.Object(), s))
	}
	if flows.Present() && len(s.Flows) == 0 {
		flows.Fail("there is no flow", "at least one")
	}
	for _, v := range o.Optional("faults").List() {
		s.Faults = append(s.Faults, mapFault(v.Object()))
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	if v := o.Optional("paired"); v.Present() {
		s.Paired = mapPaired(v.Object(), s)
	}
}

func parseURLs(v swyaml.Value) []string {
	var list []string
	for _, e := range v.List() {
		list = append(list, parseBaseURL(e))
	}
	if v.Present() && len(list) == 0 {
		v.Fail("the list is empty", "at least one URL")
	}
	return list
}

func parseBaseURL(v swyaml.Value) string {
	return v.Text("", "an http or https URL without a path", func(s string) bool {
		u, err := url.Parse(s)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.Path == "" && u.RawQuery == ""
	})
}

func mapOrganisation(o *swyaml.Object) Organisation {
	defer o.ReportUnknown()
	return Organisation{
		ID:     swid.OrgID(o.Required("id").Name()),
		Key:    o.Required("key").Text("", "an API key", isHeaderText),
		Weight: o.Optional("weight").Float(1, 1/maxWeight, maxWeight),
	}
}

// isHeaderText reports whether a text is non-empty printable ASCII without spaces, so
// that it can be sent in a header or a request line.
func isHeaderText(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c > '~' })
}

func mapFlow(o *swyaml.Object, s *Scenario) Flow {
	defer o.ReportUnknown()
	f := Flow{
		Name:         o.Required("name").Name(),
		Tier:         parseIndex(o.Required("tier"), s.Tiers),
		Organisation: parseIndex(o.Required("organisation"), s.organisationNames()),
		Service:      swid.ServiceID(o.Required("service").ModelName()),
		Rate:         o.Required("perSecond").Float(0, 1/float64(maxDuration), maxRate),
		Deadline:     o.Optional("deadline").Span(defaultDeadline, 1, maxDuration),
	}
	for _, v := range o.Optional("bursts").List() {
		f.Bursts = append(f.Bursts, mapBurst(v.Object()))
	}
	plain, model := o.Optional("plain"), o.Optional("model")
	if plain.Present() == model.Present() {
		model.Fail("a flow is either for a model or for a plain service", "model or plain")
	}
	if plain.Present() {
		f.Plain = mapPlain(plain.Object())
	} else {
		f.Model = mapModel(model.Object())
	}
	return f
}

func (s *Scenario) organisationNames() []string {
	var names []string
	for _, o := range s.Organisations {
		names = append(names, string(o.ID))
	}
	return names
}

// parseIndex reads a name and returns its index in names. It returns 0 for an unknown
// name, which the reader reports as an error.
func parseIndex(v swyaml.Value, names []string) int {
	name := v.OneOf("", names...)
	return max(0, slices.Index(names, name))
}

func mapBurst(o *swyaml.Object) Burst {
	defer o.ReportUnknown()
	return Burst{
		At:       o.Required("at").Span(0, 0, maxDuration),
		Duration: o.Required("for").Span(0, 1, maxDuration),
		Factor:   o.Required("factor").Float(0, 0, maxFactor),
	}
}

func mapPlain(o *swyaml.Object) *Plain {
	defer o.ReportUnknown()
	return &Plain{
		Method: o.Required("method").OneOf("", "GET", "PUT", "POST", "DELETE"),
		Path: o.Required("path").Text("", "a path that begins with /", func(s string) bool {
			return strings.HasPrefix(s, "/") && isHeaderText(s)
		}),
		Keyed: o.Optional("keyed").Bool(false),
	}
}

func mapModel(o *swyaml.Object) *Model {
	defer o.ReportUnknown()
	m := &Model{
		Chat:             o.Optional("chat").Bool(true),
		Stream:           o.Optional("stream").Bool(true),
		PromptTokens:     int(o.Optional("promptTokens").Int(defaultTokens, 1, maxTokens)),
		LongPromptTokens: int(o.Optional("longPromptTokens").Int(1, 1, maxTokens)),
		LongShare:        o.Optional("longShare").Float(0, 0, 1),
		Prefixes:         int(o.Optional("prefixes").Int(0, 0, maxPrefixes)),
		PrefixTokens:     int(o.Optional("prefixTokens").Int(0, 0, maxTokens)),
		MaxTokens:        int(o.Optional("maxTokens").Int(defaultTokens, 1, maxTokens)),
		SameContent:      o.Optional("sameContent").Bool(false),
	}
	if v := o.Optional("marker"); v.Present() {
		m.Marker = v.Name()
	}
	return m
}

func mapFault(o *swyaml.Object) Fault {
	defer o.ReportUnknown()
	f := Fault{
		At:       o.Required("at").Span(0, 0, maxDuration),
		URL:      parseBaseURL(o.Required("url")),
		Kind:     o.Required("kind").Name(),
		Factor:   o.Optional("factor").Float(0, 0, maxFactor),
		After:    int(o.Optional("after").Int(0, 0, maxFaultCount)),
		Count:    int(o.Optional("count").Int(0, 0, maxFaultCount)),
		Delay:    o.Optional("delay").Span(0, 0, maxDuration),
		Duration: o.Optional("duration").Span(0, 0, maxDuration),
		Existing: o.Optional("existing").Bool(false),
		Status:   int(o.Optional("status").Int(0, 0, maxStatus)),
	}
	if v := o.Optional("contains"); v.Present() {
		f.Contains = v.Name()
	}
	return f
}

func mapPaired(o *swyaml.Object, s *Scenario) Paired {
	defer o.ReportUnknown()
	var models []string
	for _, f := range s.Flows {
		if f.Model != nil {
			models = append(models, f.Name)
		}
	}
	name := o.Required("flow").OneOf("", models...)
	return Paired{
		Engine: parseBaseURL(o.Required("engine")),
		Flow:   max(0, slices.IndexFunc(s.Flows, func(f Flow) bool { return f.Name == name })),
		Count:  int(o.Optional("count").Int(defaultPairs, 1, maxRequests)),
		Warmup: int(o.Optional("warmup").Int(defaultWarmup, 0, maxRequests)),
	}
}
