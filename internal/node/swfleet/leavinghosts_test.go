package swfleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/caller/swgate"
	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// leavingFleet is a fleet whose hosts leave while calls of a plain service, which may not be repeated, run.
type leavingFleet struct {
	*simulatedFleet

	mu sync.Mutex
	// cut has the hosts that reach no target.
	cut map[int]bool
	// starts has the calls that reached a target, with the host that sent them.
	starts []targetStart
}

// targetStart is a call that reached a target.
type targetStart struct {
	id   swid.RequestID
	host int
	at   time.Time
}

// newLeavingFleet returns a fleet whose plain service takes a time for each call.
func newLeavingFleet(t *testing.T, size int, work time.Duration) *leavingFleet {
	f := &leavingFleet{simulatedFleet: newMixedFleet(t, size), cut: make(map[int]bool)}
	c := *f.deployment.store.catalogs.items["main"].Value
	once := c.Routes[1]
	once.Name, once.Prefix, once.Kind, once.Attempts = "once", "/once/", swcatalog.KindNonIdempotent, 1
	c.Routes = append(c.Routes, once)
	c.Version++
	f.deployment.store.catalogs.put("main", &c)
	for id, target := range f.deployment.targets {
		if strings.HasPrefix(string(id), "plain") {
			target.duration = work
		}
	}
	f.hostAdapter = func(host int, id swid.TargetID) swtarget.Adapter {
		return &observedTarget{Adapter: f.deployment.targets[id], fleet: f, host: host}
	}
	return f
}

// observedTarget is a target as one host reaches it. It implements swtarget.Adapter and swtarget.Prober.
type observedTarget struct {
	swtarget.Adapter
	fleet *leavingFleet
	host  int
}

// Start implements swtarget.Adapter.
func (o *observedTarget) Start(ctx context.Context, r swtarget.Request) (swtarget.Answer, error) {
	o.fleet.mu.Lock()
	cut := o.fleet.cut[o.host]
	if !cut {
		o.fleet.starts = append(o.fleet.starts, targetStart{r.ID, o.host, time.Now()})
	}
	o.fleet.mu.Unlock()
	if cut {
		return nil, &swtarget.Error{Failure: swtarget.FailureNotStarted, Unsent: true, Err: errConnection}
	}
	return o.Adapter.Start(ctx, r)
}

// Probe implements swtarget.Prober.
func (o *observedTarget) Probe(context.Context) (swlimit.Statement, error) {
	o.fleet.mu.Lock()
	defer o.fleet.mu.Unlock()
	if o.fleet.cut[o.host] {
		return swlimit.Statement{}, errConnection
	}
	return swlimit.Statement{Heard: true}, nil
}

// callOnce sends a call that may not be repeated to a host, and returns how it ended. It is cut if the host's process ends first.
func (f *leavingFleet) callOnce(h *simulatedHost) (id swid.RequestID, end swlife.End, cut bool) {
	host := h.current.Load()
	if host == nil {
		return "", swlife.End{Outcome: swlife.OutcomeNotRun}, false
	}
	call := newCall("/once/x", "")
	call.Deadline = 0
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-h.ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	sink := &endingSink{ctx: ctx}
	result := host.gate.Serve(ctx, call, sink)
	end = result.Report.End
	switch {
	case result.Denial != swgate.DeniedNone:
		return call.ID, swlife.End{Outcome: swlife.OutcomeNotRun}, false
	case end.Outcome == swlife.OutcomeAnswered:
		return call.ID, end, sink.late // the host may end as soon as the call has
	default:
		return call.ID, end, ctx.Err() != nil
	}
}

// endingSink takes an answer from a host whose context is ctx.
type endingSink struct {
	ctx context.Context
	// late is set if a part of the answer came after the host had ended.
	late bool
}

// Begin implements swholder.Sink.
func (s *endingSink) Begin(int, http.Header) error { return s.Write(nil) }

// Write implements swholder.Sink.
func (s *endingSink) Write([]byte) error {
	s.late = s.late || s.ctx.Err() != nil
	return nil
}

// cutOff partitions a host from all targets.
func (f *leavingFleet) cutOff(h *simulatedHost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[h.number] = true
}

// startsOf returns the calls that a host sent to targets after an instant.
func (f *leavingFleet) startsOf(host int, after time.Time) (starts []targetStart) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.starts {
		if s.host == host && s.at.After(after) {
			starts = append(starts, s)
		}
	}
	return starts
}

// runsOf returns how often a call reached a target.
func (f *leavingFleet) runsOf(id swid.RequestID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := 0
	for _, s := range f.starts {
		if s.id == id {
			runs++
		}
	}
	return runs
}

// TestCarrierLeaves guards against requests that a leaving host is given to carry for others, and against those that it
// carries and that end with its process.
func TestCarrierLeaves(t *testing.T) {
	const (
		work     = 5 * time.Second
		interval = 150 * time.Millisecond
		// knownWithin is the time in which requests may still be given to a host that leaves.
		knownWithin = 100 * time.Millisecond
	)
	events := []struct {
		name string
		// run runs once the carrier has begun to leave.
		run func(f *leavingFleet)
	}{
		{"alone", func(*leavingFleet) {}},
		{"before the owner", func(f *leavingFleet) {
			time.Sleep(500 * time.Millisecond)
			f.owner().leave()
		}},
	}
	for _, e := range events {
		t.Run(e.name, func(t *testing.T) {
			clearPools()
			synctest.Test(t, func(t *testing.T) {
				defer clearPools()
				f := newLeavingFleet(t, 5, work)
				f.startAll()
				f.observe(4)
				holder := f.hosts[0]
				if holder == f.owner() {
					holder = f.hosts[1]
				}
				f.cutOff(holder)
				ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
				defer stop()
				var callers sync.WaitGroup
				var mu sync.Mutex
				ends := make(map[swlife.End]int)
				callers.Go(func() {
					for ctx.Err() == nil {
						time.Sleep(interval)
						callers.Go(func() {
							_, end, _ := f.callOnce(holder)
							mu.Lock()
							defer mu.Unlock()
							ends[end]++
						})
					}
				})
				time.Sleep(4 * time.Second)
				var carrier *simulatedHost
				for _, h := range f.hosts {
					if h != f.owner() && len(f.startsOf(h.number, time.Time{})) > 0 {
						carrier = h
					}
				}
				if carrier == nil {
					t.Fatal("no request is carried")
				}
				carrier.leave()
				began := time.Now()
				e.run(f)
				<-ctx.Done()
				callers.Wait()
				f.killAll()
				if late := f.startsOf(carrier.number, began.Add(knownWithin)); len(late) > 0 {
					t.Errorf("%d requests were given to a carrier that leaves, the last after %v", len(late), late[len(late)-1].at.Sub(began))
				}
				for end, n := range ends {
					if end.Outcome != swlife.OutcomeAnswered {
						t.Errorf("%d requests ended as %v", n, end)
					}
				}
			})
		})
	}
}

// TestCallsOfLeavingHost guards against calls that may not be repeated, are sent to a leaving host and are cut when it ends.
func TestCallsOfLeavingHost(t *testing.T) {
	const work = 6 * time.Second
	tests := []struct {
		name string
		// sentAt is the time after the start of leaving.
		sentAt time.Duration
		want   swlife.Outcome
	}{
		{"sent before", -time.Second, swlife.OutcomeAnswered},
		{"can finish", time.Second, swlife.OutcomeAnswered},
		{"cannot finish", 2 * time.Second, swlife.OutcomeNotRun},
		{"just before new calls are denied", 2400 * time.Millisecond, swlife.OutcomeNotRun},
		{"denied", 3 * time.Second, swlife.OutcomeNotRun},
	}
	for _, carried := range []bool{false, true} {
		t.Run(fmt.Sprint("carried ", carried), func(t *testing.T) {
			clearPools()
			synctest.Test(t, func(t *testing.T) {
				defer clearPools()
				f := newLeavingFleet(t, 5, work)
				f.startAll()
				f.observe(4)
				leaving := f.hosts[0]
				if leaving == f.owner() {
					leaving = f.hosts[1]
				}
				if carried {
					f.cutOff(leaving)
				}
				var callers sync.WaitGroup
				for range 12 { // the owners learn how long calls take at each target
					for i := range 8 * len(f.hosts) {
						callers.Go(func() { f.callOnce(f.hosts[i%len(f.hosts)]) })
					}
					callers.Wait()
				}
				leavesAt := time.Now().Add(2 * time.Second)
				for _, tt := range tests {
					callers.Go(func() {
						time.Sleep(time.Until(leavesAt.Add(tt.sentAt)))
						id, end, cut := f.callOnce(leaving)
						if end.Outcome != tt.want || cut {
							t.Errorf("%s: ended as %v %v, cut %t, want %v", tt.name, end.Outcome, end.Cause, cut, tt.want)
						}
						if runs := f.runsOf(id); end.Outcome == swlife.OutcomeNotRun && runs > 0 {
							t.Errorf("%s: ran %d times", tt.name, runs)
						}
					})
				}
				time.Sleep(time.Until(leavesAt))
				leaving.leave()
				callers.Wait()
				f.killAll()
			})
		})
	}
}

// TestHostsLeaveInTurn guards against calls that are cut, or run twice, because callers try one leaving host after the other.
func TestHostsLeaveInTurn(t *testing.T) {
	const (
		size, leaving = 10, 7
		interval      = 50 * time.Millisecond
		// between is the time between two hosts that begin to leave.
		between = 1200 * time.Millisecond
	)
	for _, work := range []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
		for _, cut := range []bool{false, true} {
			t.Run(fmt.Sprint("calls of ", work, ", cut ", cut), func(t *testing.T) {
				clearPools()
				synctest.Test(t, func(t *testing.T) {
					defer clearPools()
					f := newLeavingFleet(t, size, work)
					f.startAll()
					f.observe(4)
					if cut {
						f.cutOff(f.hosts[size-1])
					}
					ctx, stop := context.WithTimeout(context.Background(), (leaving+2)*between)
					defer stop()
					var callers sync.WaitGroup
					callers.Go(func() {
						for n := 0; ctx.Err() == nil; n++ {
							time.Sleep(max(interval, work/40))
							callers.Go(func() { f.tryInTurn(n) })
						}
					})
					for _, h := range f.hosts[:leaving] {
						time.Sleep(between)
						h.leave()
					}
					<-ctx.Done()
					callers.Wait()
					f.killAll()
				})
			})
		}
	}
}

// tryInTurn sends a call to one host after the other until it is answered, and checks that it ran once.
func (f *leavingFleet) tryInTurn(first int) {
	for i := range f.hosts {
		h := f.hosts[(first+i)%len(f.hosts)]
		id, end, cut := f.callOnce(h)
		runs := f.runsOf(id)
		if cut || end.Outcome == swlife.OutcomeUnknown {
			f.deployment.t.Errorf("a call to %d ended as %v %v, cut %t", h.number, end.Outcome, end.Cause, cut)
		}
		if want := map[bool]int{true: 1}[end.Outcome == swlife.OutcomeAnswered]; runs != want {
			f.deployment.t.Errorf("a call to %d that ended as %v ran %d times", h.number, end.Outcome, runs)
		}
		if end.Outcome != swlife.OutcomeNotRun {
			return
		}
		time.Sleep(end.RetryAfter.Duration())
	}
	f.deployment.t.Error("a call was answered by no host")
}
