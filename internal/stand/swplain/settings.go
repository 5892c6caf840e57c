package swplain

import (
	"github.com/sassafraswing/sassafraswing/internal/config/swyaml"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/stand/swversion"
)

// maxSlots is the upper bound of slots.
const maxSlots = 1 << 16

// ParseConfig parses a settings file. Its errors are of type *swyaml.Error and name file.
func ParseConfig(file string, data []byte) (Config, error) {
	var c Config
	if err := swyaml.Read(file, data, func(o *swyaml.Object) { mapConfig(o, &c) }); err != nil {
		return Config{}, err
	}
	return c, nil
}

func mapConfig(o *swyaml.Object, c *Config) {
	c.Version = swversion.MapVersion(o)
	c.Slots = int(o.Optional("slots").Int(0, 0, maxSlots))
	c.ServiceTime = o.Optional("serviceTime").Span(0, 0, swclock.Hour)
}
