package swfleet

import (
	"context"
	"slices"

	"github.com/sourcegraph/conc/pool"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
	"github.com/sassafraswing/sassafraswing/internal/store/sworiginlog"
)

// loadOrigins reads which software versions have served, before the first request.
func (h *Host) loadOrigins(ctx context.Context) {
	h.originKeeper = sworiginlog.New(sworiginlog.Config{
		Objects: h.platform.Streams(), Register: h.origins, Clock: h.clock, Owner: h.isOwner, Reachable: h.storeReachable,
		Refresh: h.refreshLists, ReregisterWithin: h.settings.Fleet.ReregisterWithin, Log: h.log,
	})
	h.originKeeper.Step(ctx)
}

// updateServing passes on which origins the streams of each service may have from now on.
func (h *Host) updateServing() {
	if h.origins.SetServing(h.view.continuable(), h.clock.Now()) {
		h.originKeeper.Wake()
	}
}

// joinOrigins records that streams of each group of services may be continued at any service of the group, since routes were
// moved between them.
func (h *Host) joinOrigins(groups [][]swid.ServiceID) {
	for _, services := range groups {
		h.origins.Join(services, h.clock.Now())
		h.log.Info().Interface("services", services).Uint64("configVersion", uint64(h.view.currentTable().Catalog().Version)).
			Msg("streams of services may be continued at each other")
		h.originKeeper.Wake()
	}
}

// refreshLists reads the configuration and the targets, from which updateServing takes the origins.
func (h *Host) refreshLists(ctx context.Context) error {
	refreshing := pool.New().WithErrors().WithFirstError().WithContext(ctx)
	refreshing.Go(h.catalogs.Refresh)
	refreshing.Go(h.targets.Refresh)
	return refreshing.Wait()
}

// mixesPlainVersions reports whether streams of a plain service may have several origins, so that they have to
// be recorded for all hosts.
func (h *Host) mixesPlainVersions(now swclock.Millis) bool {
	return slices.ContainsFunc(h.view.continuablePlain(), func(s swid.ServiceID) bool { return h.origins.Mixed(s, now) })
}

// continuable returns, for each service that gets streams which may be continued at another target, the origins
// that these may have: those of all targets of the services that get them.
func (v *view) continuable() map[swid.ServiceID][]sworigin.Origin {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table == nil {
		return nil
	}
	listed := make(map[swid.ServiceID][]sworigin.Origin)
	for _, t := range v.targets {
		listed[t.Service] = appendNew(listed[t.Service], sworigin.Origin{Service: t.Service, Version: t.Version})
	}
	possible := make(map[swid.ServiceID][]sworigin.Origin)
	for _, r := range v.table.Catalog().Routes {
		if !r.Resumable {
			continue
		}
		for _, s := range r.Shares {
			for _, other := range r.Shares {
				possible[s.Service] = appendNew(possible[s.Service], listed[other.Service]...)
			}
		}
	}
	return possible
}

// continuablePlain returns the plain services that get streams which may be continued at another target.
func (v *view) continuablePlain() []swid.ServiceID {
	v.mu.Lock()
	defer v.mu.Unlock()
	var services []swid.ServiceID
	if v.table == nil {
		return nil
	}
	for _, r := range v.table.Catalog().Routes {
		if !r.Resumable {
			continue
		}
		for _, s := range r.Shares {
			if v.isPlain(swid.NewCellID(s.Service, v.settings.Region)) {
				services = appendNew(services, s.Service)
			}
		}
	}
	return services
}

// appendNew appends the values that a slice does not have.
func appendNew[T comparable](values []T, further ...T) []T {
	for _, v := range further {
		if !slices.Contains(values, v) {
			values = append(values, v)
		}
	}
	return values
}
