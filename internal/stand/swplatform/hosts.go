package swplatform

import (
	"context"
	"net/http"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/stand/swreply"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// hostList is the list of hosts from the time at on.
type hostList struct {
	at    swclock.Millis
	hosts []swobject.Host
}

// hostHistory holds the lists of hosts in order of time; it is never empty.
type hostHistory []hostList

// at returns the list as it was at the time now, and drops all earlier lists.
func (h *hostHistory) at(now swclock.Millis) []swobject.Host {
	for len(*h) > 1 && (*h)[1].at <= now {
		*h = (*h)[1:]
	}
	return (*h)[0].hosts
}

// hostBody is a host in JSON.
type hostBody struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Address string `json:"address"`
	State   string `json:"state"`
}

const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

func (p *Platform) serveHosts(_ context.Context, w http.ResponseWriter, _ *http.Request, _ string) {
	bodies := []hostBody{}
	for _, h := range p.servedHosts() {
		state := stateLive
		if h.State == swobject.HostLeaving {
			state = stateLeaving
		}
		bodies = append(bodies, hostBody{
			ID:      string(h.ID),
			Zone:    string(h.Zone),
			Region:  string(h.Region),
			Address: h.Address,
			State:   state,
		})
	}
	swreply.JSON(w, http.StatusOK, bodies)
}

// servedHosts returns the list of hosts as it was Config.HostLag ago. While the
// lagHosts fault is active, it returns the list served last, or the initial one.
func (p *Platform) servedHosts() []swobject.Host {
	_, lag := p.faults.Get(KindLagHosts)
	p.mu.Lock()
	defer p.mu.Unlock()
	if lag {
		return p.hosts[0].hosts
	}
	return p.hosts.at(p.clock.Now() - p.config.HostLag)
}

func (p *Platform) serveSetHosts(w http.ResponseWriter, r *http.Request) {
	var bodies []hostBody
	if err := swreply.Read(w, r, &bodies); err != nil {
		swreply.Error(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	hosts := make([]swobject.Host, 0, len(bodies))
	for _, b := range bodies {
		state, ok := parseState(b.State)
		if !ok {
			swreply.Error(w, http.StatusBadRequest, "state", "the state must be live or leaving")
			return
		}
		hosts = append(hosts, swobject.Host{
			ID:      swid.HostID(b.ID),
			Zone:    swid.ZoneID(b.Zone),
			Region:  swid.RegionID(b.Region),
			Address: b.Address,
			State:   state,
		})
	}
	p.SetHosts(hosts)
	w.WriteHeader(http.StatusNoContent)
}

func parseState(state string) (swobject.HostState, bool) {
	switch state {
	case stateLive:
		return swobject.HostLive, true
	case stateLeaving:
		return swobject.HostLeaving, true
	}
	return 0, false
}
