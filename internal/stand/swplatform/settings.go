package swplatform

import (
	"net/netip"

	"github.com/sassafraswing/sassafraswing/internal/config/swyaml"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

const (
	maxRate       = 1e9
	maxWeightRate = 1 << 40
)

// ParseConfig parses a settings file. Its errors are of type *swyaml.Error and name file.
func ParseConfig(file string, data []byte) (Config, error) {
	var c Config
	if err := swyaml.Read(file, data, func(o *swyaml.Object) { mapConfig(o, &c) }); err != nil {
		return Config{}, err
	}
	return c, nil
}

func mapConfig(o *swyaml.Object, c *Config) {
	c.ReadRate = o.Optional("readsPerSecond").Float(defaultReadRate, 1, maxRate)
	c.WriteRate = o.Optional("writesPerSecond").Float(defaultWriteRate, 1, maxRate)
	c.WeightRate = float64(o.Optional("weightBytesPerSecond").Size(defaultWeightRate, 1, maxWeightRate))
	c.Delay = o.Optional("delay").Span(0, 0, swclock.Hour)
	c.HostLag = o.Optional("hostLag").Span(0, 0, swclock.Hour)
	for _, v := range o.Optional("hosts").List() {
		c.Hosts = append(c.Hosts, mapHost(v.Object()))
	}
}

func mapHost(o *swyaml.Object) swobject.Host {
	defer o.ReportUnknown()
	h := swobject.Host{
		ID:     swid.HostID(o.Required("id").Name()),
		Zone:   swid.ZoneID(o.Required("zone").Name()),
		Region: swid.RegionID(o.Required("region").Name()),
		Address: o.Required("address").Text("", "IP:port", func(s string) bool {
			_, err := netip.ParseAddrPort(s)
			return err == nil
		}),
	}
	h.State, _ = parseState(o.Optional("state").OneOf(stateLive, stateLive, stateLeaving))
	return h
}
