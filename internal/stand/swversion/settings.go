package swversion

import (
	"strings"

	"github.com/sassafraswing/sassafraswing/internal/config/swyaml"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	minShare      = 0.001
	minFactor     = 1
	maxFactor     = 1000
	defaultFactor = 5
)

// kindNames has the names of the kinds in settings.
var kindNames = []struct {
	name string
	kind Kind
}{{"fails", KindFails}, {"cuts", KindCuts}, {"slow", KindSlow}}

// MapVersion reads the keys version and badness of a stand-in's settings.
func MapVersion(o *swyaml.Object) Version {
	var v Version
	if name := o.Optional("version"); name.Present() {
		v.Name = swid.SoftwareVersion(name.Name())
	}
	if badness := o.Optional("badness"); badness.Present() {
		v.Badness = mapBadness(badness.Object())
	}
	return v
}

func mapBadness(o *swyaml.Object) Badness {
	defer o.ReportUnknown()
	names := make([]string, len(kindNames))
	for i, k := range kindNames {
		names[i] = k.name
	}
	b := Badness{Share: o.Optional("share").Float(1, minShare, 1)}
	kind := o.Required("kind").OneOf("", names...)
	for _, k := range kindNames {
		if k.name == kind {
			b.Kind = k.kind
		}
	}
	factor := o.Optional("factor")
	if b.Kind == KindSlow {
		b.Factor = factor.Float(defaultFactor, minFactor, maxFactor)
	} else if factor.Present() && b.Kind != KindNone {
		factor.Fail("applies to the kind slow only", "no factor")
	}
	b.After = o.Optional("after").Span(0, 0, swclock.Hour)
	b.MinLoad = o.Optional("load").Float(0, 0, 1)
	if path := o.Optional("path"); path.Present() {
		b.Path = path.Text("", "the beginning of a path", func(s string) bool { return strings.HasPrefix(s, "/") })
	}
	return b
}
