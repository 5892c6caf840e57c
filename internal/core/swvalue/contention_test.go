package swvalue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swcontention"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
)

// plainTarget simulates a target of a plain service, which queues some requests and turns the others away.
type plainTarget struct {
	id      swid.TargetID
	queue   []plainRun
	running []plainRun
}

type plainRun struct {
	request *plainRequest
	cell    *plainCell
	attempt swid.Attempt
	started swclock.Millis
	ends    swclock.Millis
}

const (
	plainSlots   = 6
	plainQueue   = 24
	plainWork    = 60 * swclock.Millis(1)
	plainTargets = 3
	// plainReportInterval is the interval at which hosts report to the owner, and earlyReportInterval the least one, at which they do
	// once a request was contended.
	plainReportInterval = 500 * swclock.Millis(1)
	earlyReportInterval = 100 * swclock.Millis(1)
	// messageTime is the time that a message between hosts takes.
	messageTime = 5 * swclock.Millis(1)
)

type plainRequest struct {
	key      swcell.Key
	arrives  swclock.Millis
	deadline swclock.Millis
	exclude  []swid.TargetID
	answered bool
}

// plainCell is the cell of a service at a host that schedules its own requests, or at the owner.
type plainCell struct {
	*Cell[Fastest, ByWorth]
	meter *swcontention.Meter
	// contended is set once a request was contended since the latest report, which was at reportedAt.
	contended  bool
	reportedAt swclock.Millis
}

// plainSim plays hosts that schedule the requests of one plain service. With a register they report how these find room, and have the
// owner schedule while it says so.
type plainSim struct {
	now      swclock.Millis
	random   *rand.Rand
	hosts    []*plainCell
	owner    *plainCell
	register *swcontention.Register
	targets  map[swid.TargetID]*plainTarget
	requests map[swcell.Key]*plainRequest
	// arrivals and turnedAway count what reached targets.
	arrivals, turnedAway int
	shared               bool
}

func newPlainCell(targets int, shared func() bool) *plainCell {
	c := new(plainCell)
	c.meter = swcontention.NewMeter(shared, func() { c.contended = true })
	c.Cell = New(Config{Contention: c.meter}, Fastest{}, ByWorth{})
	var conf swcell.Configure
	for i := range targets {
		conf.Targets = append(conf.Targets, swcell.Target{
			ID: swid.TargetID(fmt.Sprint("t", i)), State: swcell.TargetActive, Slots: plainSlots, Plain: true,
		})
	}
	c.Step(0, conf, nil)
	return c
}

func newPlainSim(hosts int, seed uint64, register *swcontention.Register) *plainSim {
	s := &plainSim{
		random: rand.New(rand.NewPCG(seed, 5)), register: register,
		targets: make(map[swid.TargetID]*plainTarget), requests: make(map[swcell.Key]*plainRequest),
	}
	for i := range plainTargets {
		t := &plainTarget{id: swid.TargetID(fmt.Sprint("t", i))}
		s.targets[t.id] = t
	}
	shared := func() bool { return s.shared }
	s.owner = newPlainCell(plainTargets, shared)
	for range hosts {
		s.hosts = append(s.hosts, newPlainCell(plainTargets, shared))
	}
	return s
}

func (s *plainSim) step(c *plainCell, e swcell.Event) {
	for _, a := range c.Step(s.now, e, nil) {
		if g, granted := a.(swcell.Grant); granted {
			s.send(c, g)
		}
	}
}

// request requests a grant for the next attempt of r.
func (s *plainSim) request(c *plainCell, r *plainRequest) {
	s.step(c, swcell.GrantRequest{
		Key: r.key, Attempt: swid.Attempt(len(r.exclude) + 1), Tier: 1, Org: "o", Deadline: r.deadline, Objective: r.arrives + 300, Exclude: r.exclude,
		Fingerprint: swid.Fingerprint(r.key.Seq),
	})
}

func (s *plainSim) send(c *plainCell, g swcell.Grant) {
	t, r := s.targets[g.Target], s.requests[g.Key]
	s.arrivals++
	if len(t.running)+len(t.queue) >= plainSlots+plainQueue {
		s.turnedAway++
		s.step(c, swcell.Done{
			Key: g.Key, Attempt: g.Attempt, Target: g.Target, Result: swcell.ResultNotStarted, Statement: swlimit.Statement{Heard: true},
		})
		if r.exclude = append(r.exclude, g.Target); len(r.exclude) < plainTargets {
			s.request(c, r)
		}
		return
	}
	t.queue = append(t.queue, plainRun{request: r, cell: c, attempt: g.Attempt, started: s.now})
}

func (s *plainSim) advance(t *plainTarget) {
	for _, r := range slices.Clone(t.running) {
		if r.ends > s.now {
			continue
		}
		t.running = slices.DeleteFunc(t.running, func(o plainRun) bool { return o.request == r.request })
		r.request.answered = s.now <= r.request.deadline
		s.step(r.cell, swcell.Done{Key: r.request.key, Attempt: r.attempt, Target: t.id, Result: swcell.ResultAnswered, Total: s.now - r.started})
	}
	for len(t.queue) > 0 && len(t.running) < plainSlots {
		r := t.queue[0]
		t.queue = t.queue[1:]
		r.ends = s.now + swclock.Millis(float64(plainWork)*(0.5+s.random.Float64()))
		t.running = append(t.running, r)
	}
}

// report passes on what the hosts and the owner have counted, and who schedules from now on.
func (s *plainSim) report() {
	if s.register == nil {
		return
	}
	for _, c := range s.cells() {
		if since := s.now - c.reportedAt; since >= plainReportInterval || c.contended && since >= earlyReportInterval {
			s.register.Add(c.meter.Take(), s.now)
			c.contended, c.reportedAt = false, s.now
		}
	}
	if s.shared || !s.register.Contended(s.now) {
		return
	}
	s.shared = true
	for _, t := range s.targets {
		for _, runs := range [][]plainRun{t.queue, t.running} {
			for i := range runs {
				runs[i].cell = s.owner
				s.step(s.owner, swcell.InFlight{
					GrantRequest: swcell.GrantRequest{Key: runs[i].request.key, Attempt: runs[i].attempt, Deadline: runs[i].request.deadline},
					Target:       t.id, Elapsed: s.now - runs[i].started,
				})
			}
		}
	}
}

// cells returns the cells of the owner and of all hosts.
func (s *plainSim) cells() []*plainCell { return append([]*plainCell{s.owner}, s.hosts...) }

// play plays a load for some seconds, as a multiple of what the targets can process, and returns the share of answered requests.
func (s *plainSim) play(load func(at swclock.Millis) float64, seconds int) float64 {
	perMilli := float64(plainTargets*plainSlots) / float64(plainWork)
	end := swclock.Millis(seconds) * swclock.Second
	next, seq := 0.0, 0
	for s.now = 0; s.now < end+5*swclock.Second; s.now++ {
		for next <= float64(s.now) && s.now < end {
			seq++
			r := &plainRequest{
				key:     swcell.Key{Holder: swid.HostID(fmt.Sprint("h", seq%len(s.hosts))), Incarnation: 1, Seq: swid.Seq(seq)},
				arrives: s.now, deadline: s.now + 4*swclock.Second,
			}
			s.requests[r.key] = r
			c := s.hosts[s.random.IntN(len(s.hosts))]
			if s.shared {
				c = s.owner
			}
			s.request(c, r)
			next += s.random.ExpFloat64() / (perMilli * load(s.now))
		}
		for i := range plainTargets {
			s.advance(s.targets[swid.TargetID(fmt.Sprint("t", i))])
		}
		if s.now%reviewInterval == 0 {
			for _, c := range s.cells() {
				s.step(c, swcell.Tick{})
			}
		}
		if s.now%messageTime == 0 {
			s.report()
		}
	}
	answered := 0
	for _, r := range s.requests {
		if r.answered {
			answered++
		}
	}
	return float64(answered) / float64(len(s.requests))
}

// TestContendedPlainService guards against requests that are sent to be turned away, because each host sees few of those at a target.
func TestContendedPlainService(t *testing.T) {
	// The stated target: of the arrivals in a burst, fewer are turned away.
	const maxTurnedAway = 0.02
	burst := func(at swclock.Millis) float64 {
		if at < 2*swclock.Second {
			return 0.5
		}
		return 2
	}
	for _, hosts := range []int{30, 129} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(10) {
				each, owner := newPlainSim(hosts, seed, nil), newPlainSim(hosts, seed, new(swcontention.Register))
				servedByEach, servedByOwner := each.play(burst, 10), owner.play(burst, 10)
				awayByEach := float64(each.turnedAway) / float64(each.arrivals)
				awayByOwner := float64(owner.turnedAway) / float64(owner.arrivals)
				t.Logf("seed %d: each host for itself %.3f served, %.3f turned away; the owner while contended %.3f and %.3f",
					seed, servedByEach, awayByEach, servedByOwner, awayByOwner)
				if awayByOwner >= maxTurnedAway {
					t.Errorf("seed %d: %.3f of the arrivals are turned away, less than %v wanted", seed, awayByOwner, maxTurnedAway)
				}
				if awayByEach < maxTurnedAway {
					t.Errorf("seed %d: the load turns only %.3f away where each host schedules for itself", seed, awayByEach)
				}
			}
		})
	}
}
