package swengine

import (
	"github.com/sassafraswing/sassafraswing/internal/config/swyaml"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/stand/swversion"
)

// Upper bounds of settings.
const (
	maxSlots        = 1 << 12
	maxQueueLength  = 1 << 20
	maxTokens       = 1 << 30
	maxRate         = 1e12
	maxBatchPenalty = 100
	maxTimeScale    = 1e6
	maxEvents       = 1 << 20
	maxStepInterval = swclock.Second
	maxDuration     = swclock.Hour
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
	if v := o.Optional("model"); v.Present() {
		c.Model = v.ModelName()
	}
	c.Slots = int(o.Optional("slots").Int(defaultSlots, 1, maxSlots))
	c.MaxWaiting = int(o.Optional("maxWaiting").Int(defaultMaxWaiting, 1, maxQueueLength))
	c.KVTokens = swid.Tokens(o.Optional("kvTokens").Int(0, 0, maxTokens))
	c.CacheTokens = swid.Tokens(o.Optional("cacheTokens").Int(defaultCacheTokens, 1, maxTokens))
	c.PrefillRate = o.Optional("prefillTokensPerSecond").Float(defaultPrefillRate, 1, maxRate)
	c.DecodeRate = o.Optional("decodeTokensPerSecond").Float(defaultDecodeRate, 1, maxRate)
	c.BatchPenalty = o.Optional("batchPenalty").Float(0, 0, maxBatchPenalty)
	c.TimeScale = o.Optional("timeScale").Float(1, 1/maxTimeScale, maxTimeScale)
	c.StepInterval = o.Optional("stepInterval").Span(defaultStepInterval, 1, maxStepInterval)
	c.LoadLag = o.Optional("loadLag").Span(0, 0, maxDuration)
	c.EventLag = o.Optional("eventLag").Span(0, 0, maxDuration)
	c.EventLimit = int(o.Optional("eventLimit").Int(defaultEventLimit, 1, maxEvents))
	c.EventLoss = int(o.Optional("eventLoss").Int(0, 0, maxEvents))
	c.Retention = o.Optional("retention").Span(defaultRetention, 1, maxDuration)
	c.EnforceFencing = o.Optional("honoursFencing").Bool(false)
	c.Version = swversion.MapVersion(o)
	if v := o.Optional("callerToken"); v.Present() {
		c.CallerToken = v.Text("", "a bearer token", func(s string) bool { return s != "" })
	}
}
