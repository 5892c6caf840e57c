package swfleet

import "github.com/sassafraswing/sassafraswing/internal/config/swsettings"

// Reload applies the fleet settings that can change at run time: the configuration
// age bounds, the retry budget and the quota tolerance. Other settings, such as
// addresses, the memory and the descriptors, take effect at the next start.
func (h *Host) Reload(s *swsettings.Settings) {
	if s.Fleet == nil {
		h.log.Error().Msg("settings not reloaded: fleet is missing")
		return
	}
	h.reloadable.Store(s.Fleet)
	h.retries.configure(s.Fleet)
	h.reconfigure()
	if f := h.settings.Fleet; s.Fleet.MemoryMegabytes != f.MemoryMegabytes || s.Fleet.FileDescriptors != f.FileDescriptors {
		h.log.Warn().
			Float64("memoryMegabytes", f.MemoryMegabytes).Int("fileDescriptors", f.FileDescriptors).
			Msg("other memory or descriptors take effect at the next start")
	}
	h.log.Info().
		Int64("applyWithinMillis", int64(s.Fleet.ApplyWithin)).Int64("revokeWithinMillis", int64(s.Fleet.RevokeWithin)).
		Float64("retryRatio", s.Fleet.RetryRatio).Float64("retryReserve", s.Fleet.RetryReserve).
		Float64("quotaOverage", s.Fleet.QuotaOverage).Float64("quotaSlack", s.Fleet.QuotaSlack).
		Msg("settings reloaded")
}

// reconfigure applies the current settings to the gate and the ledger. It does nothing
// before assemble, which creates the gate with the settings that are current then.
func (h *Host) reconfigure() {
	h.configureMu.Lock()
	defer h.configureMu.Unlock()
	if h.gate == nil {
		return // not assembled yet
	}
	h.gate.SetBounds(boundsOf(h.reloadable.Load()))
	if table := h.gate.Table(); table != nil {
		h.ledger.Configure(h.quotasOf(table.Catalog()))
	}
}
