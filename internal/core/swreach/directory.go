package swreach

import (
	"cmp"
	"slices"
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swelect"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// presenceTime is how long after its latest report a host may carry requests: several times the interval of
	// reports.
	presenceTime = 2 * swclock.Second
	// maxCarried bounds the requests that one host carries at a time, so that it goes on to serve its own
	// callers.
	maxCarried = 64
	// choices is the number of hosts among which the one is chosen that carries the fewest requests. It bounds the
	// links of a host whose requests are carried.
	choices = 2
	// avoidTime is how long a host that could not be reached by another one carries no requests of that one.
	avoidTime = 2 * swclock.Second
	// outageShare is the share of the hosts that are present from which an outage begins of a service that they do not reach:
	// if none does, the others find out in turn.
	outageShare = 0.25
)

// Report is what a host reports of itself.
type Report struct {
	Zone swid.ZoneID
	// Carries is set if the host can carry requests of others, and have its own carried.
	Carries bool
	// Leaving is set if the process of the host is about to stop, so that it carries no further requests.
	Leaving bool
	// Cut are the services of which the host reaches no target.
	Cut []swid.ServiceID
}

// Directory has the hosts that may carry requests of others. It is safe for concurrent use.
type Directory struct {
	mu    sync.Mutex
	hosts map[swid.HostID]*entry
	// version grows with each change of the hosts or their zones.
	version uint64
	ranked  map[swid.HostID]ranking
	avoided map[pair]swclock.Millis
	// outages is when the outage of each service began of which outageShare of the hosts, or more, reach no target.
	outages map[swid.ServiceID]swclock.Millis
	// forgotAt is when the hosts were last looked through for ones that do not report any more.
	forgotAt swclock.Millis
}

type entry struct {
	Report
	seenAt  swclock.Millis
	carried int
}

// pair is a host whose requests are carried, and one that carries them.
type pair struct{ holder, carrier swid.HostID }

// ranking has the hosts in the order in which they are chosen to carry the requests of one.
type ranking struct {
	version uint64
	hosts   []swid.HostID
}

// NewDirectory returns a directory without hosts.
func NewDirectory() *Directory {
	return &Directory{
		hosts: make(map[swid.HostID]*entry), ranked: make(map[swid.HostID]ranking), avoided: make(map[pair]swclock.Millis),
		outages: make(map[swid.ServiceID]swclock.Millis),
	}
}

// Update records the report of a host.
func (d *Directory) Update(host swid.HostID, r Report, now swclock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forget(now)
	e := d.hosts[host]
	if e == nil || e.Zone != r.Zone {
		d.version++
	}
	if e == nil {
		e = &entry{seenAt: -presenceTime}
		d.hosts[host] = e
	}
	changed := !e.present(now) || !slices.Equal(e.Cut, r.Cut)
	if changed {
		d.lookAgain(now)
	}
	e.Report, e.seenAt = r, now
	if changed {
		d.lookAgain(now)
		for _, service := range r.Cut {
			d.look(service, now)
		}
	}
}

// present reports whether the host has reported lately.
func (e *entry) present(now swclock.Millis) bool { return now-e.seenAt <= presenceTime }

// lookAgain looks at the services with outages. d.mu must be held.
func (d *Directory) lookAgain(now swclock.Millis) {
	for service := range d.outages {
		d.look(service, now)
	}
}

// look counts the hosts that are present, and records the begin or the end of an outage of a service. d.mu must be held.
func (d *Directory) look(service swid.ServiceID, now swclock.Millis) (present int) {
	cut := 0
	for _, e := range d.hosts {
		if !e.present(now) {
			continue
		}
		present++
		if slices.Contains(e.Cut, service) {
			cut++
		}
	}
	_, known := d.outages[service]
	switch outage := cut > 0 && float64(cut) >= outageShare*float64(present); {
	case !outage:
		delete(d.outages, service)
	case !known:
		d.outages[service] = now
	}
	return present
}

// Reaching returns the hosts that are present and reach a service, of those for which reaches returns true, or two of them if there
// are more. since is when the outage of the service began, or now if there is none. known is false if no host is present.
func (d *Directory) Reaching(service swid.ServiceID, now swclock.Millis, reaches func(swid.HostID) bool) (hosts []swid.HostID, since swclock.Millis, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if present := d.look(service, now); present == 0 {
		return nil, 0, false
	}
	for host, e := range d.hosts {
		if e.present(now) && !slices.Contains(e.Cut, service) && reaches(host) {
			if hosts = append(hosts, host); len(hosts) == 2 {
				break
			}
		}
	}
	since, outage := d.outages[service]
	if !outage {
		since = now
	}
	return hosts, since, true
}

// forget deletes the hosts that have not reported for a long time. d.mu must be held.
func (d *Directory) forget(now swclock.Millis) {
	if now-d.forgotAt < swclock.Minute {
		return
	}
	d.forgotAt = now
	for host, e := range d.hosts {
		if now-e.seenAt > swclock.Minute {
			delete(d.hosts, host)
			delete(d.ranked, host)
			d.version++
		}
	}
}

// CutServices returns the services of which a host that is present reported to reach no target, sorted.
func (d *Directory) CutServices(now swclock.Millis) []swid.ServiceID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var cut []swid.ServiceID
	for _, e := range d.hosts {
		if e.present(now) {
			cut = append(cut, e.Cut...)
		}
	}
	slices.Sort(cut)
	return slices.Compact(cut)
}

// Remove removes a host, whose link was lost or which is leaving.
func (d *Directory) Remove(host swid.HostID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.hosts[host]; e != nil {
		e.seenAt = -presenceTime
	}
}

// Avoid records that a host could not reach one that was to carry its request.
func (d *Directory) Avoid(holder, carrier swid.HostID, now swclock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for p, until := range d.avoided {
		if until <= now {
			delete(d.avoided, p)
		}
	}
	d.avoided[pair{holder, carrier}] = now + avoidTime
}

// Pick returns the host that is to carry a request of a holder to a service, of those that reach the target. It
// returns false if there is none.
func (d *Directory) Pick(holder swid.HostID, service swid.ServiceID, now swclock.Millis, reaches func(swid.HostID) bool) (swid.HostID, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if own := d.hosts[holder]; own == nil || !own.Carries {
		return "", false
	}
	var picked swid.HostID
	fewest, found := 0, 0
	for _, host := range d.rank(holder) {
		e := d.hosts[host]
		if !e.Carries || e.Leaving || !e.present(now) || e.carried >= maxCarried || slices.Contains(e.Cut, service) ||
			now < d.avoided[pair{holder, host}] || !reaches(host) {
			continue
		}
		if found == 0 || e.carried < fewest {
			picked, fewest = host, e.carried
		}
		if found++; found == choices {
			break
		}
	}
	return picked, found > 0
}

// rank returns the other hosts in the order in which they are chosen for a holder: those of its zone
// first. d.mu must be held.
func (d *Directory) rank(holder swid.HostID) []swid.HostID {
	if r, known := d.ranked[holder]; known && r.version == d.version {
		return r.hosts
	}
	hosts := make([]swid.HostID, 0, len(d.hosts))
	for host := range d.hosts {
		if host != holder {
			hosts = append(hosts, host)
		}
	}
	own := d.hosts[holder]
	slices.SortFunc(hosts, func(a, b swid.HostID) int {
		if near := d.hosts[a].Zone == own.Zone; near != (d.hosts[b].Zone == own.Zone) {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(swelect.Score(swid.CellID(holder), b), swelect.Score(swid.CellID(holder), a)), cmp.Compare(a, b))
	})
	d.ranked[holder] = ranking{d.version, hosts}
	return hosts
}

// Began records that a host begins to carry a request, and Ended that it no longer does.
func (d *Directory) Began(carrier swid.HostID) { d.count(carrier, 1) }

// Ended records that a host no longer carries a request.
func (d *Directory) Ended(carrier swid.HostID) { d.count(carrier, -1) }

func (d *Directory) count(carrier swid.HostID, change int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.hosts[carrier]; e != nil {
		e.carried = max(e.carried+change, 0)
	}
}
