package swfleet

import "github.com/sassafraswing/sassafraswing/internal/config/swsettings"

// Reload brings settings into force that bound what the host promises. Others,
// such as addresses, take the next start.
func (f *Fleet) Reload(s *swsettings.Settings) {
	if s.Fleet == nil {
		f.log.Error().Msg("settings not reloaded: fleet is missing")
		return
	}
	f.bounds.Store(s.Fleet)
	f.retries.configure(s.Fleet)
	f.reconfigure()
	f.log.Info().
		Int64("applyWithinMillis", int64(s.Fleet.ApplyWithin)).Int64("revokeWithinMillis", int64(s.Fleet.RevokeWithin)).
		Float64("retryRatio", s.Fleet.RetryRatio).Float64("retryReserve", s.Fleet.RetryReserve).
		Float64("quotaOverage", s.Fleet.QuotaOverage).Float64("quotaSlack", s.Fleet.QuotaSlack).
		Msg("settings reloaded")
}

// reconfigure brings the present settings into force in the parts that were built.
func (f *Fleet) reconfigure() {
	f.configuring.Lock()
	defer f.configuring.Unlock()
	if f.gate == nil {
		return // not registered yet
	}
	f.gate.SetBounds(boundsOf(f.bounds.Load()))
	if table := f.gate.Table(); table != nil {
		f.ledger.Configure(f.quotasOf(table.Catalog()))
	}
}
