package swfleet

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/caller/swgate"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
)

const (
	// retryWindow is the time from the start of a process after which it has a part of the reserve of retries.
	retryWindow = 10 * time.Second
	// callPatience is how long callers wait for calls of TestSilenceBesideStops: longer than a target is silent and a leaving host serves.
	callPatience = 10 * time.Second
	// graceShare is the part of the grace of a leaving host after which what is still at work may be ended.
	graceShare = 5.0 / 6
)

// stoppingFleet is a fleet whose hosts leave, or are killed, while targets are silent.
type stoppingFleet struct {
	*partitionedFleet

	mu sync.Mutex
	// leftAt is when each host that leaves began to, and killed has the hosts that were killed.
	leftAt map[*simulatedHost]time.Time
	killed map[*simulatedHost]bool
	// ends counts the requests by path and end.
	ends map[string]map[string]int
}

// leave begins a planned stop of a host.
func (f *stoppingFleet) leave(h *simulatedHost) {
	f.mu.Lock()
	f.leftAt[h] = time.Now()
	f.mu.Unlock()
	h.leave()
}

// kill kills a host.
func (f *stoppingFleet) kill(h *simulatedHost) {
	f.mu.Lock()
	f.killed[h] = true
	f.mu.Unlock()
	h.stop()
}

// hasKilled reports whether a host was killed. f.mu must be held.
func (f *stoppingFleet) hasKilled(host swid.HostID) bool {
	for h := range f.killed {
		if fmt.Sprint("host-", h.number) == string(host) {
			return true
		}
	}
	return false
}

// request sends a request to a host and counts its end. It reports one that could have been answered and was not, though the
// host was not killed.
func (f *stoppingFleet) request(h *simulatedHost, path string) {
	host := h.current.Load()
	if host == nil {
		return
	}
	f.partitionedFleet.mu.Lock()
	counts := f.counting
	f.partitionedFleet.mu.Unlock()
	call := newCall(path, uniqueBody())
	call.Deadline = swclock.FromDuration(callPatience)
	sink := &checkedSink{f: f.partitionedFleet, id: call.ID}
	ctx, cancel := context.WithCancel(f.deployment.t.Context())
	defer cancel()
	go func() {
		select {
		case <-h.ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	began := time.Now()
	result := host.gate.Serve(ctx, call, sink)
	took, ended := time.Since(began), ctx.Err() != nil
	f.checkRuns(call.ID, path, result.Report.End)
	if !counts {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	leftAt, left := f.leftAt[h]
	grace := time.Duration(graceShare * float64(host.settings.ShutdownTimeout.Duration()))
	end := f.endOf(&result, sink, path)
	switch {
	case f.killed[h] && ended:
		end = "at a killed host"
	case ended:
		end = "without an answer"
	case end != "whole" && left && began.Add(took).Sub(leftAt) >= grace:
		end = "late in the grace"
	case end != "whole" && took >= callPatience:
		end = "at the deadline"
	case end != "whole" && len(f.killed) > 0 && result.Report.End.Cause == swlife.CauseRetryBudget:
		end = "no retry left after a kill"
	case end == "lost" && path == "/once/x" && f.hasKilled(result.Report.Carrier):
		end = "at a killed carrier"
	}
	if f.ends[path] == nil {
		f.ends[path] = make(map[string]int)
	}
	f.ends[path][end]++
	if end == "cut" || end == "lost" || end == "without an answer" || end == "at the deadline" {
		r := &result.Report
		f.deployment.t.Errorf("%s of host %d %s after %v: %s, %s, carried by %q, %d attempts, ended by %s after a silence of %d ms; the host leaves: %t",
			path, h.number, end, took, r.End.Outcome, r.End.Cause, r.Carrier, r.Attempts, r.EndedBy, r.Silence, left)
	}
}

// endOf returns how a request ended.
func (f *stoppingFleet) endOf(result *swgate.Result, sink *checkedSink, path string) string {
	events := 1
	if path == "/long/x" {
		events = longStream
	}
	end := result.Report.End
	switch {
	case result.Denial != swgate.DeniedNone:
		return "denied"
	case end.Outcome == swlife.OutcomeAnswered:
		if string(sink.data) != strings.Repeat(string(sink.id)+"\n", events) {
			f.deployment.t.Errorf("the answer to %s has %d bytes", sink.id, len(sink.data))
		}
		return "whole"
	case result.Report.Begun:
		return "cut"
	case end.Outcome == swlife.OutcomeNotRun:
		return "refused"
	default:
		return "lost"
	}
}

// TestSilenceBesideStops guards against requests that are cut, lost or run twice because sound targets fall silent while hosts leave, or while
// other hosts carry the requests.
func TestSilenceBesideStops(t *testing.T) {
	none := func(*stoppingFleet) {}
	hostLeaves := func(f *stoppingFleet) { f.leave(f.sound()) }
	ownerLeaves := func(f *stoppingFleet) { f.leave(f.owner()) }
	ownerKilled := func(f *stoppingFleet) {
		if len(f.killed) == 0 {
			f.kill(f.owner())
		}
	}
	cases := []struct {
		name string
		// cut is how half of the hosts are partitioned from all targets; 0 if they are not.
		cut cutMode
		// stop runs shortly before each silence, and share is the share of the targets that fall silent.
		stop  func(f *stoppingFleet)
		share float64
	}{
		{"hosts leave, all silent", 0, hostLeaves, 1},
		{"owners leave, half silent", 0, ownerLeaves, 0.5},
		{"owner killed, all silent", 0, ownerKilled, 1},
		{"reset, half silent", cutReset, none, 0.5},
		{"hang, all silent", cutHang, none, 1},
		{"lost, carriers leave, all silent", cutLost, hostLeaves, 1},
		{"reset, carriers leave, half silent", cutReset, hostLeaves, 0.5},
		{"hang, owners leave, all silent", cutHang, ownerLeaves, 1},
		{"lost, owner killed, half silent", cutLost, ownerKilled, 0.5},
	}
	for _, size := range sizesOf(15) {
		for _, c := range cases {
			t.Run(fmt.Sprint(size, " hosts, ", c.name), func(t *testing.T) {
				clearPools()
				synctest.Test(t, func(t *testing.T) {
					defer clearPools()
					f := &stoppingFleet{
						partitionedFleet: newPartitionedFleet(t, size), leftAt: make(map[*simulatedHost]time.Time), killed: make(map[*simulatedHost]bool),
						ends: make(map[string]map[string]int),
					}
					f.addLongStreams()
					f.startAll()
					f.observe(4)
					if c.cut != 0 {
						for _, n := range f.numbers((size+1)/2, false) {
							f.isCut[n] = true
						}
						f.partition.set(c.cut, slices.Collect(maps.Keys(f.isCut))...)
					}
					f.loadFor(func() { time.Sleep(2 * time.Second) }) // the hosts find out
					time.Sleep(retryWindow)
					f.setCounting(true)
					f.loadFor(func() { f.playSilences(c.stop, c.share) })
					if n := f.running(); n > 0 {
						t.Errorf("%d requests still run", n)
					}
					f.killAll()
					t.Log(f.ends)
				})
			})
		}
	}
}

// sound returns a host that is not partitioned, not leaving and not the owner.
func (f *stoppingFleet) sound() *simulatedHost {
	owner := f.owner()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range rand.Perm(len(f.hosts)) {
		h := f.hosts[i]
		if _, left := f.leftAt[h]; h != owner && !left && !f.isCut[i] {
			return h
		}
	}
	return nil
}

// loadFor sends requests to all hosts while during runs, and waits for their ends.
func (f *stoppingFleet) loadFor(during func()) {
	var callers sync.WaitGroup
	ctx, end := context.WithCancel(context.Background())
	for _, path := range []string{"/long/x", "/plain/x", "/once/x"} {
		callers.Go(func() {
			order := hostOrder{hosts: f.hosts}
			for ctx.Err() == nil {
				h := order.next()
				callers.Go(func() { f.request(h, path) })
				time.Sleep(100 * time.Millisecond * usualSize / time.Duration(max(len(f.hosts), usualSize)))
			}
		})
	}
	during()
	end()
	callers.Wait()
}

// playSilences lets a share of the targets fall silent several times, each time within a second after stop.
func (f *stoppingFleet) playSilences(stop func(f *stoppingFleet), share float64) {
	time.Sleep(2 * time.Second)
	targets := slices.Collect(maps.Values(f.targets))
	for range 3 {
		rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		stop(f)
		time.Sleep(time.Duration(rand.Int64N(int64(time.Second))))
		f.silence(targets[:int(share*float64(len(targets)))], longSilentSpan)
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
}
