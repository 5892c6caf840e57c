// Package swprobe polls a target for its load and its cache events, and checks
// whether it is reachable.
package swprobe

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Times of a poller. A target that has no new cache events delays its answer to a poll for them
// by up to longPollWait.
const (
	defaultInterval swclock.Millis = 500
	defaultTimeout                 = 1 * swclock.Second
	longPollWait                   = 5 * swclock.Second
	// failuresUntilUnreachable is the number of consecutive failed polls after which a target is unreachable.
	failuresUntilUnreachable = 3
)

// Config configures a Poller.
type Config struct {
	Target swid.TargetID
	URL    string
	// Plain marks a target of a plain service, which reports neither load nor cache events. Only its
	// reachability is checked.
	Plain bool
	// Interval is the pause between two polls of the same kind; 0 means the default.
	Interval swclock.Millis
	// Timeout bounds a poll, besides the wait for cache events; 0 means the default.
	Timeout swclock.Millis
}

// Poller polls one target. The poller runs on the owner, the host that schedules the target's cell.
type Poller struct {
	config    Config
	clock     swclock.Clock
	transport *http.Transport
	report    func(swcell.Event)
	// reachable and failures are used only by the goroutine that polls the load.
	reachable bool
	failures  int
	// nextEvent is the number of the next cache event. It and hasNextEvent are used
	// only by the goroutine that polls cache events.
	nextEvent uint64
	// hasNextEvent is set once nextEvent was received from the target.
	hasNextEvent bool
}

// New returns a poller that calls report with LoadReport, CacheReport and
// TargetReachability events, from up to two goroutines at once.
func New(c Config, clock swclock.Clock, report func(swcell.Event)) *Poller {
	if c.Interval == 0 {
		c.Interval = defaultInterval
	}
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	c.URL = strings.TrimRight(c.URL, "/")
	dialer := &net.Dialer{Timeout: c.Timeout.Duration()}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}
	return &Poller{config: c, clock: clock, transport: transport, report: report, reachable: true}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	defer p.transport.CloseIdleConnections()
	var wg conc.WaitGroup
	wg.Go(func() { p.pollRepeatedly(ctx, p.PollLoad) })
	if !p.config.Plain {
		wg.Go(func() { p.pollRepeatedly(ctx, p.PollEvents) })
	}
	wg.Wait()
}

// pollRepeatedly calls poll until ctx ends, and waits for the interval after each
// call. A failed poll does not change the interval.
func (p *Poller) pollRepeatedly(ctx context.Context, poll func(context.Context) error) {
	for ctx.Err() == nil {
		_ = poll(ctx) // PollLoad has reported a change of reachability; other errors have no effect
		select {
		case <-ctx.Done():
		case <-time.After(p.config.Interval.Duration()):
		}
	}
}

// PollLoad reads the target's load once, reports it, and reports a change of reachability. For a
// target of a plain service, it only checks the reachability.
func (p *Poller) PollLoad(ctx context.Context) error {
	sent := p.clock.Now()
	load, err := p.readLoad(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	p.updateReachability(err == nil)
	if err != nil || p.config.Plain {
		return err
	}
	p.report(swcell.LoadReport{
		Target:  p.config.Target,
		Running: load.Running,
		Waiting: load.Waiting,
		// The target may have measured its load as early as the poll was sent, so the duration of
		// the poll is added to the age.
		Age: swclock.Millis(load.AgeMillis) + p.clock.Now() - sent,
	})
	return nil
}

func (p *Poller) readLoad(ctx context.Context) (wireLoad, error) {
	var w wireLoad
	if p.config.Plain {
		return w, p.dial(ctx)
	}
	err := p.get(ctx, "/load", p.config.Timeout, &w)
	return w, err
}

// dial checks that the target accepts connections.
func (p *Poller) dial(ctx context.Context) error {
	u, err := url.Parse(p.config.URL)
	if err != nil {
		return errors.Wrap(err, "parse target URL")
	}
	address := u.Host
	if u.Port() == "" {
		address = net.JoinHostPort(u.Hostname(), u.Scheme) // the dialer resolves the scheme, such as http, to its usual port
	}
	c, err := p.transport.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "reach target")
	}
	return errors.Wrap(c.Close(), "close connection")
}

// updateReachability records the result of a poll and reports a change of
// reachability. One success makes the target reachable, and failuresUntilDown
// consecutive failures make it unreachable.
func (p *Poller) updateReachability(ok bool) {
	if ok {
		p.failures = 0
	} else {
		p.failures++
	}
	reachable := ok || p.reachable && p.failures < failuresUntilUnreachable
	if reachable != p.reachable {
		p.reachable = reachable
		p.report(swcell.TargetReachability{Target: p.config.Target, Reachable: reachable})
	}
}

// PollEvents polls once for cache events, with a long poll, and reports those that it receives.
func (p *Poller) PollEvents(ctx context.Context) error {
	var w wireEvents
	if err := p.get(ctx, eventsPath(p.nextEvent), p.config.Timeout+longPollWait, &w); err != nil {
		return err
	}
	r, err := w.report(p.config.Target)
	if err != nil {
		return err
	}
	// If First is above the expected number, the target has dropped events. If Next is below the
	// expected number, the target's process was replaced, and events of the old process are lost.
	r.Gap = p.hasNextEvent && (w.First > p.nextEvent || w.Next < p.nextEvent)
	p.nextEvent, p.hasNextEvent = w.Next, true
	if r.Gap || len(r.Added) > 0 || len(r.Removed) > 0 {
		p.report(r)
	}
	return nil
}
