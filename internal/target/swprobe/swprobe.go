// Package swprobe polls a target for its load and its cache events, and
// observes whether it is reachable.
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

// Default intervals.
const (
	defaultInterval swclock.Millis = 500
	defaultTimeout                 = 1 * swclock.Second
	defaultWait                    = 5 * swclock.Second
	// failuresUntilDown is how many polls in a row fail before a target counts as unreachable.
	failuresUntilDown = 3
)

// Config configures a Poller.
type Config struct {
	Target swid.TargetID
	URL    string
	// Plain marks a plain service, which reports nothing; only its reachability is observed.
	Plain bool
	// Interval is the least time between two polls of one kind; 0 stands for the default.
	Interval swclock.Millis
	// Timeout bounds a poll; 0 stands for the default.
	Timeout swclock.Millis
}

// Poller polls one target while its cell's owner runs it.
type Poller struct {
	config    Config
	clock     swclock.Clock
	transport *http.Transport
	report    func(swcell.Event)
	// reachable and failures belong to the goroutine that polls the load.
	reachable bool
	failures  int
	// after is the number of the next cache event; it belongs to the goroutine
	// that polls events.
	after uint64
	// known tells that after is set.
	known bool
}

// New returns a poller that hands LoadReport, CacheReport and TargetSeen to
// report, from up to two goroutines at once.
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
	wg.Go(func() { p.every(ctx, p.PollLoad) })
	if !p.config.Plain {
		wg.Go(func() { p.every(ctx, p.PollEvents) })
	}
	wg.Wait()
}

// every calls poll, and waits for the interval after each call. Errors have no
// effect but on reachability, and the next poll comes at the same pace.
func (p *Poller) every(ctx context.Context, poll func(context.Context) error) {
	for ctx.Err() == nil {
		_ = poll(ctx) // the poll has reported what it means
		select {
		case <-ctx.Done():
		case <-time.After(p.config.Interval.Duration()):
		}
	}
}

// PollLoad reads the target's load once, reports it, and reports a change of reachability.
func (p *Poller) PollLoad(ctx context.Context) error {
	sent := p.clock.Now()
	load, err := p.readLoad(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	p.observe(err == nil)
	if err != nil || p.config.Plain {
		return err
	}
	p.report(swcell.LoadReport{
		Target:  p.config.Target,
		Running: load.Running,
		Waiting: load.Waiting,
		// The figures may be as old as the poll itself.
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
		address = net.JoinHostPort(u.Hostname(), u.Scheme) // the scheme names the port
	}
	c, err := p.transport.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "reach target")
	}
	return errors.Wrap(c.Close(), "close connection")
}

// observe reports a change of reachability. One success suffices to count as
// reachable, failuresUntilDown failures in a row to count as unreachable.
func (p *Poller) observe(ok bool) {
	if ok {
		p.failures = 0
	} else {
		p.failures++
	}
	reachable := ok || p.reachable && p.failures < failuresUntilDown
	if reachable != p.reachable {
		p.reachable = reachable
		p.report(swcell.TargetSeen{Target: p.config.Target, Reachable: reachable})
	}
}

// PollEvents waits for cache events once and reports them.
func (p *Poller) PollEvents(ctx context.Context) error {
	var w wireEvents
	if err := p.get(ctx, eventsPath(p.after), p.config.Timeout+defaultWait, &w); err != nil {
		return err
	}
	r, err := w.report(p.config.Target)
	if err != nil {
		return err
	}
	// Events that begin again lower were lost with the process that numbered them.
	r.Gap = p.known && (w.First > p.after || w.Next < p.after)
	p.after, p.known = w.Next, true
	if r.Gap || len(r.Added) > 0 || len(r.Removed) > 0 {
		p.report(r)
	}
	return nil
}
