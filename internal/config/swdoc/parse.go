package swdoc

import (
	"encoding/hex"
	"net/url"
	"strings"

	"github.com/sassafraswing/sassafraswing/internal/config/swyaml"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Bounds and fixed values of a document.
const (
	maxTitleBytes   = 128
	maxWeight       = 1_000_000
	minWeight       = 0.001
	maxRate         = 1_000_000_000
	minRate         = 0.001
	maxTokens       = 1_000_000_000
	maxSlots        = 100_000
	maxDuration     = 24 * swclock.Hour
	keyHashBytes    = 32
	maxPathBytes    = 256
	keyHashAllowed  = "the SHA-256 of an API key: 64 lower-case hexadecimal digits"
	allowedMethods  = "GET, HEAD, POST, PUT, PATCH, DELETE"
	servicesPath    = "/services/"
	fencingHonoured = "honoured"
	fencingIgnored  = "ignored"
	kindModel       = "model"
	kindPlain       = "plain"
)

// Parse parses and validates an environment document. Its error is a
// *swyaml.Error that lists all problems; file is the file name in them.
func Parse(file string, data []byte) (*Document, error) {
	if d, ok := parseSplit(file, data); ok {
		return d, nil
	}
	return parseWhole(file, data)
}

// parseWhole parses the whole document with the YAML parser.
func parseWhole(file string, data []byte) (*Document, error) {
	m := &mapper{document: &Document{}}
	if err := swyaml.Read(file, data, m.root); err != nil {
		return nil, err
	}
	return m.document, nil
}

// mapper converts the YAML of one document to a Document, and keeps the names that later parts refer to.
type mapper struct {
	document    *Document
	zones       names[swid.ZoneID]
	regions     names[swid.RegionID]
	tiers       names[string]
	orgs        names[swid.OrgID]
	keyHashes   names[string]
	generations names[swid.GenerationID]
	services    names[swid.ServiceID]
	kinds       map[swid.ServiceID]ServiceKind
	targets     names[swid.TargetID]
	urls        names[string]
	routes      routeCheck
	classes     map[swid.OrgClass]swid.OrgClass
	// split is nil if no organisations were removed from the document.
	split *flowSplit
}

// names is the set of the names of one kind that the document has defined so far.
type names[T ~string] map[T]struct{}

// define adds a name and reports a duplicate. It ignores an empty name, which was reported when it was read.
func (n *names[T]) define(v swyaml.Value, name T) {
	if name == "" {
		return
	}
	if !n.add(name) {
		v.Fail("\""+string(name)+"\" occurs twice", "a unique name")
	}
}

// add adds a name and reports whether it is new.
func (n *names[T]) add(name T) bool {
	if *n == nil {
		*n = make(names[T])
	}
	before := len(*n)
	(*n)[name] = struct{}{}
	return len(*n) > before
}

// checkDefined reports a name that is not defined.
func (n names[T]) checkDefined(v swyaml.Value, name T, kind string) {
	if _, ok := n[name]; !ok && name != "" {
		v.Fail("\""+string(name)+"\" is not defined", kind+" of this document")
	}
}

func (m *mapper) root(o *swyaml.Object) {
	m.document.Name = o.Required("name").Text("", "1 to 128 bytes", func(s string) bool {
		return s != "" && len(s) <= maxTitleBytes
	})
	m.document.Regions = mapList(o.Required("regions"), 1, m.region)
	m.document.Tiers = mapList(o.Required("tiers"), 1, m.tier)
	if len(m.document.Tiers) > swid.MaxTiers {
		o.Optional("tiers").Fail("too many tiers", "at most 8")
	}
	organisations := o.Required(organisationsKey)
	m.document.Organisations = m.mergeOrganisations(organisations, mapList(organisations, 1, m.organisation))
	m.document.Generations = mapList(o.Optional("generations"), 0, m.generation)
	m.document.Services = mapList(o.Required("services"), 1, m.service)
	m.document.Targets = mapList(o.Required("targets"), 0, m.target)
}

// mapList converts each mapping of a list with mapOne, and reports a list with fewer than minEntries.
func mapList[T any](v swyaml.Value, minEntries int, mapOne func(*swyaml.Object) T) []T {
	values := v.List()
	if v.Present() && len(values) < minEntries {
		v.Fail("the list is empty", "at least one entry")
	}
	list := make([]T, 0, len(values))
	for _, e := range values {
		o := e.Object()
		list = append(list, mapOne(o))
		o.ReportUnknown()
	}
	return list
}

func (m *mapper) region(o *swyaml.Object) Region {
	id := o.Required("id")
	r := Region{ID: swid.RegionID(id.Name())}
	m.regions.define(id, r.ID)
	zones := o.Required("zones")
	for _, v := range zones.List() {
		zone := swid.ZoneID(v.Name())
		m.zones.define(v, zone)
		r.Zones = append(r.Zones, zone)
	}
	if zones.Present() && len(r.Zones) == 0 {
		zones.Fail("the list is empty", "at least one availability zone")
	}
	return r
}

func (m *mapper) tier(o *swyaml.Object) Tier {
	name := o.Required("name")
	t := Tier{Name: name.Name()}
	m.tiers.define(name, t.Name)
	t.Deadline = o.Required("deadline").Span(swclock.Second, 10, maxDuration)
	return t
}

func (m *mapper) organisation(o *swyaml.Object) Organisation {
	id := o.Required("id")
	org := Organisation{ID: swid.OrgID(id.Name())}
	m.orgs.define(id, org.ID)
	org.Class = swid.OrgClass(o.Required("class").Name())
	org.Weight = o.Optional("weight").Float(1, minWeight, maxWeight)
	for _, v := range o.Required("keyHashes").List() {
		hash := v.Text("", keyHashAllowed, isKeyHash)
		m.keyHashes.define(v, hash)
		org.KeyHashes = append(org.KeyHashes, hash)
	}
	highest := o.Optional("highestTier")
	org.HighestTier = m.tierRank(highest, highest.Name())
	return org
}

// tierRank returns the rank of the named tier and reports a tier that is not
// defined. An empty name means the highest tier.
func (m *mapper) tierRank(v swyaml.Value, name string) swid.Tier {
	m.tiers.checkDefined(v, name, "a tier")
	return m.rankOf(name)
}

func (m *mapper) rankOf(name string) swid.Tier {
	for i, t := range m.document.Tiers {
		if name != "" && t.Name == name && i < swid.MaxTiers {
			return swid.Tier(i)
		}
	}
	return 0
}

func (m *mapper) generation(o *swyaml.Object) Generation {
	id := o.Required("id")
	g := Generation{ID: swid.GenerationID(id.Name())}
	m.generations.define(id, g.ID)
	g.PrefillRate = o.Required("prefillTokensPerSecond").Float(1, minRate, maxRate)
	g.DecodeRate = o.Required("decodeTokensPerSecond").Float(1, minRate, maxRate)
	return g
}

func (m *mapper) target(o *swyaml.Object) Target {
	id, service, zone := o.Required("id"), o.Required("service"), o.Required("zone")
	address := o.Required("url")
	t := Target{
		ID:      swid.TargetID(id.Name()),
		Service: swid.ServiceID(service.ModelName()),
		Zone:    swid.ZoneID(zone.Name()),
		URL:     address.Text("", "an http or https URL without query", isTargetURL),
	}
	m.targets.define(id, t.ID)
	m.services.checkDefined(service, t.Service, "a service")
	m.zones.checkDefined(zone, t.Zone, "an availability zone")
	m.urls.define(address, strings.TrimSuffix(t.URL, "/"))
	t.Generation = m.targetGeneration(o.Optional("generation"), m.kinds[t.Service])
	t.Slots = int(o.Required("slots").Int(1, 1, maxSlots))
	t.KVTokens = swid.Tokens(o.Optional("kvTokens").Int(0, 0, maxTokens))
	t.Draining = o.Optional("draining").Bool(false)
	t.ChecksCaller = o.Optional("checksCaller").Bool(false)
	t.Fencing = FencingIgnored
	if o.Optional("fencing").OneOf(fencingIgnored, fencingHonoured, fencingIgnored) == fencingHonoured {
		t.Fencing = FencingHonoured
	}
	return t
}

// targetGeneration reads the generation, which engines must have and plain services must not.
func (m *mapper) targetGeneration(v swyaml.Value, kind ServiceKind) swid.GenerationID {
	id := swid.GenerationID(v.Name())
	m.generations.checkDefined(v, id, "a generation")
	if kind == KindModel && !v.Present() {
		v.Fail("the key is missing", "the generation of an engine")
	}
	if kind == KindPlain && v.Present() {
		v.Fail("a plain service has no generation", "no such key")
	}
	return id
}

// isTargetURL reports whether s is the base URL of a target. Its path may be empty.
func isTargetURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil {
		return false
	}
	return (u.Scheme == "http" || u.Scheme == "https") && u.Hostname() != "" && u.User == nil && u.RawQuery == "" && u.Fragment == ""
}

func isKeyHash(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == keyHashBytes && strings.ToLower(s) == s
}
