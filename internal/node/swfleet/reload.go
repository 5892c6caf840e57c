package swfleet

import "github.com/sassafraswing/sassafraswing/internal/config/swsettings"

// Reload applies the fleet settings that can change at run time: the configuration
// age bounds, the retry budget and the quota tolerance. Other settings, such as
// addresses, take effect at the next start.
func (f *Fleet) Reload(s *swsettings.Settings) {
	if s.Fleet == nil {
		f.log.Error().Msg("settings not reloaded: fleet is missing")
		return
	}
	f.reloadable.Store(s.Fleet)
	f.retries.configure(s.Fleet)
	f.reconfigure()
	f.log.Info().
		Int64("applyWithinMillis", int64(s.Fleet.ApplyWithin)).Int64("revokeWithinMillis", int64(s.Fleet.RevokeWithin)).
		Float64("retryRatio", s.Fleet.RetryRatio).Float64("retryReserve", s.Fleet.RetryReserve).
		Float64("quotaOverage", s.Fleet.QuotaOverage).Float64("quotaSlack", s.Fleet.QuotaSlack).
		Msg("settings reloaded")
}

// reconfigure applies the current settings to the gate and the ledger once they are assembled.
func (f *Fleet) reconfigure() {
	f.configureMu.Lock()
	defer f.configureMu.Unlock()
	if f.gate == nil {
		return // not registered yet
	}
	f.gate.SetBounds(boundsOf(f.reloadable.Load()))
	if table := f.gate.Table(); table != nil {
		f.ledger.Configure(f.quotasOf(table.Catalog()))
	}
}
