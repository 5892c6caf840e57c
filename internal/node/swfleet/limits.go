package swfleet

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/holder/swholder"
)

// rateLimitChanged logs that an answer to a request that this host scheduled changed a rate limit.
func (h *Host) rateLimitChanged(cell swid.CellID, target swid.TargetID, limit swid.RequestRate) {
	h.log.Info().Str("target", string(target)).Str("cell", string(cell)).Float64("perSecond", float64(limit)).
		Msg("rate limit of a target changed")
}

// recordRateLimit records what an answer to a request of this host says of its target's rate limit.
func (h *Host) recordRateLimit(r *swholder.Request, target swid.TargetID, s swlimit.Statement, sent swclock.Millis) {
	if !h.limits.Observe(target, s, sent, h.clock.Now()) {
		return
	}
	h.log.Info().Str("target", string(target)).Str("cell", string(r.Cell)).Float64("perSecond", float64(s.PerSecond)).
		Str("requestId", string(r.ID)).Int64("sentAgeMillis", int64(h.clock.Now()-sent)).Msg("rate limit of a target changed")
}
