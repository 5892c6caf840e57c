package swfleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
	"github.com/sassafraswing/sassafraswing/internal/core/swreach"
)

const (
	// silentSpan is how long a sound target may fall silent, and longSilentSpan more than half of patience.
	silentSpan     = time.Second
	longSilentSpan = 1200 * time.Millisecond
	// minServedInSilence is the share of the requests that has to be answered while sound targets fall silent.
	minServedInSilence = 0.95
	// minCallsServedInSilence is that of calls to plain services, each of which can be answered in time after the silence.
	minCallsServedInSilence = 0.99
)

// silence lets targets fall silent to all hosts.
func (f *partitionedFleet) silence(targets []*sharedTarget, span time.Duration) {
	for _, t := range targets {
		t.silence.set(cutHang, 0)
	}
	time.Sleep(span)
	for _, t := range targets {
		t.silence.set(0)
	}
}

// TestSilentTargets guards against requests that are ended, or not served, because sound targets fall silent for a second.
func TestSilentTargets(t *testing.T) {
	cases := []struct {
		name string
		// share is the share of the targets of the service that fall silent together.
		share float64
	}{{"one target", 0}, {"half of the targets", 0.5}, {"all targets", 1}}
	services := []silentService{
		{"engines", "model", []string{"/model/x", "/stream/x"}, silentSpan, minServedInSilence},
		{"plain", "plain", []string{"/plain/x", "/once/x"}, longSilentSpan, minCallsServedInSilence},
		{"plain, one attempt", "plain", []string{"/single/x"}, longSilentSpan, minCallsServedInSilence},
	}
	for _, size := range sizesOf(15) {
		for _, s := range services {
			for _, c := range cases {
				t.Run(fmt.Sprint(size, " hosts, ", s.name, ", ", c.name), func(t *testing.T) {
					clearPools()
					synctest.Test(t, func(t *testing.T) {
						defer clearPools()
						f := newPartitionedFleet(t, size)
						f.checkServedInSilence(s, c.share)
					})
				})
			}
		}
		t.Run(fmt.Sprint(size, " hosts, plain, the only target"), func(t *testing.T) {
			clearPools()
			synctest.Test(t, func(t *testing.T) {
				defer clearPools()
				f := newPartitionedFleet(t, size)
				for i := 1; i < 8; i++ {
					id := fmt.Sprint("plain-", i)
					f.deployment.store.targets.remove(id)
					delete(f.targets, swid.TargetID(id))
				}
				f.checkServedInSilence(services[1], 1)
			})
		})
	}
}

// silentService is a service whose targets fall silent.
type silentService struct {
	name, prefix string
	paths        []string
	// span is how long they do, and least the share of the requests that has to be answered.
	span  time.Duration
	least float64
}

// checkServedInSilence starts the hosts and checks the share of the requests that are served while a share of the targets of a service
// falls silent.
func (f *partitionedFleet) checkServedInSilence(s silentService, share float64) {
	f.startAll()
	f.observe(4)
	ctx, stop := context.WithTimeout(context.Background(), 16*time.Second)
	defer stop()
	var callers sync.WaitGroup
	f.load(ctx, s.paths, &callers)
	time.Sleep(2 * time.Second)
	f.setCounting(true)
	for range 4 {
		var targets []*sharedTarget
		for id, target := range f.targets {
			if strings.HasPrefix(string(id), s.prefix) {
				targets = append(targets, target)
			}
		}
		rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		f.silence(targets[:max(int(share*float64(len(targets))), 1)], s.span)
		time.Sleep(2 * time.Second)
	}
	f.setCounting(false)
	<-ctx.Done()
	callers.Wait()
	f.killAll()
	f.deployment.t.Logf("%d of %d served", f.sound.served, f.sound.sent)
	if float64(f.sound.served) < s.least*float64(f.sound.sent) {
		f.deployment.t.Errorf("%d of %d requests were served", f.sound.served, f.sound.sent)
	}
}

const (
	// longStreamPatience is how long callers wait for the streams of TestSilenceCutsNoStream, which take some 2 s.
	longStreamPatience = 8 * time.Second
	longStream         = 40
)

// longStreams counts the ends of streams, or of calls.
type longStreams struct {
	mu sync.Mutex
	// whole ones were delivered whole, refused ones have not run, cut ones ended after they had begun, and lost ones ended
	// without an answer although they may have run.
	whole, refused, cut, lost int
	// longest is the longest time from the begin of a request to its end.
	longest time.Duration
}

// addLongStreams adds a route to streams that may go on at another target, each of longStream events.
func (f *partitionedFleet) addLongStreams() {
	c := *f.deployment.store.catalogs.items["main"].Value
	r := c.Routes[0]
	r.Name, r.Prefix, r.Kind, r.Resumable, r.Attempts = "long", "/long/", swcatalog.KindStream, true, 2
	c.Routes = append(slices.Clone(c.Routes), r)
	c.Version++
	f.deployment.store.catalogs.put("main", &c)
}

// changeConfiguration stores a new version of the configuration.
func (f *partitionedFleet) changeConfiguration() {
	c := *f.deployment.store.catalogs.items["main"].Value
	c.Version++
	f.deployment.store.catalogs.put("main", &c)
}

// keepTargets removes all but the first targets of a service, which get the slots of all, and returns these.
func (f *partitionedFleet) keepTargets(prefix string, kept int) []*sharedTarget {
	var targets []*sharedTarget
	for i := range 8 {
		id := fmt.Sprint(prefix, i)
		if i >= kept {
			f.deployment.store.targets.remove(id)
			continue
		}
		f.deployment.store.targets.update(id, func(t *swcatalog.Target) { t.Slots *= 8 / kept })
		targets = append(targets, f.targets[swid.TargetID(id)])
	}
	return targets
}

// longCall sends a request whose caller waits for longStreamPatience to a host, and counts its end.
func (f *partitionedFleet) longCall(h *simulatedHost, path string, s *longStreams) {
	host := h.current.Load()
	call := newCall(path, uniqueBody())
	call.Deadline = swclock.FromDuration(longStreamPatience)
	sink := &checkedSink{f: f, id: call.ID}
	events := 1
	if path == "/long/x" {
		events = longStream
	}
	began := time.Now()
	result := host.gate.Serve(f.deployment.t.Context(), call, sink)
	took := time.Since(began)
	end := result.Report.End
	if path != "/long/x" {
		f.checkRuns(call.ID, path, end)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case end.Outcome == swlife.OutcomeAnswered:
		if string(sink.data) != strings.Repeat(string(call.ID)+"\n", events) {
			f.deployment.t.Errorf("the answer to %s has %d bytes", call.ID, len(sink.data))
		}
		s.whole++
	case result.Report.Begun:
		s.cut++
		f.deployment.t.Logf("cut after %v: %s, %d attempts, ended by %s after a silence of %d ms", took, end.Cause, result.Report.Attempts,
			result.Report.EndedBy, result.Report.Silence)
	case end.Outcome == swlife.OutcomeNotRun:
		s.refused++
		f.deployment.t.Logf("%s refused after %v: %s, %d attempts", path, took, end.Cause, result.Report.Attempts)
	default:
		s.lost++
		f.deployment.t.Logf("%s lost after %v: %s, %d attempts, ended by %s", path, took, end.Cause, result.Report.Attempts, result.Report.EndedBy)
	}
	s.longest = max(s.longest, took)
}

// playLongCalls has callers send requests to the hosts in turn while play runs, one each interval at the usual size of the fleet, and
// returns how they ended.
func (f *partitionedFleet) playLongCalls(path string, interval time.Duration, play func()) *longStreams {
	var s longStreams
	var callers sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	callers.Go(func() {
		order := hostOrder{hosts: f.hosts}
		for ctx.Err() == nil {
			h := order.next()
			callers.Go(func() { f.longCall(h, path, &s) })
			time.Sleep(interval * usualSize / time.Duration(max(len(f.hosts), usualSize)))
		}
	})
	play()
	stop()
	callers.Wait()
	f.killAll()
	f.deployment.t.Logf("%d whole, %d refused, %d cut, %d lost, the longest took %v", s.whole, s.refused, s.cut, s.lost, s.longest)
	return &s
}

// check reports requests that were cut or lost, and fewer whole ones than least of all.
func (s *longStreams) check(t *testing.T, least float64) {
	sent := s.whole + s.refused + s.cut + s.lost
	if s.cut > 0 || s.lost > 0 || float64(s.whole) < least*float64(sent) {
		t.Errorf("of %d requests %d were cut, %d lost and %d refused", sent, s.cut, s.lost, s.refused)
	}
}

// TestSilenceCutsNoStream guards against streams that are ended because sound targets fall silent for a moment.
func TestSilenceCutsNoStream(t *testing.T) {
	cases := []struct {
		name string
		// targets is the number of targets of the service, and silent the number of those that fall silent together.
		targets, silent int
		span            time.Duration
		// during runs at the begin of each silence; it may be nil.
		during func(f *partitionedFleet)
	}{
		{"two of eight", 8, 2, longSilentSpan, nil},
		{"all but one", 8, 7, longSilentSpan, nil},
		{"all", 8, 8, longSilentSpan, nil},
		{"all, 2 s", 8, 8, 2 * time.Second, nil},
		{"both", 2, 2, longSilentSpan, nil},
		{"the only one", 1, 1, longSilentSpan, nil},
		{"all, configuration changes", 8, 8, longSilentSpan, (*partitionedFleet).changeConfiguration},
		{"all, a target of another service leaves", 8, 8, longSilentSpan, func(f *partitionedFleet) {
			f.deployment.store.targets.update("plain-1", func(t *swcatalog.Target) { t.Draining = !t.Draining })
		}},
	}
	for _, size := range sizesOf(15) {
		for _, c := range cases {
			t.Run(fmt.Sprint(size, " hosts, ", c.name), func(t *testing.T) {
				clearPools()
				synctest.Test(t, func(t *testing.T) {
					defer clearPools()
					f := newPartitionedFleet(t, size)
					f.addLongStreams()
					engines := f.keepTargets("model-", c.targets)
					f.startAll()
					f.observe(4)
					s := f.playLongCalls("/long/x", 100*time.Millisecond, func() {
						time.Sleep(4 * time.Second)
						for range 5 {
							rand.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
							if c.during != nil {
								c.during(f)
							}
							f.silence(engines[:c.silent], c.span)
							time.Sleep(3 * time.Second)
						}
					})
					s.check(t, minServedInSilence)
				})
			})
		}
	}
}

// TestStreamsLeaveDeadTarget guards against streams that wait until their deadline for a target that has ended without a sign.
func TestStreamsLeaveDeadTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clearPools()
		defer clearPools()
		f := newPartitionedFleet(t, 15)
		f.addLongStreams()
		f.startAll()
		f.observe(4)
		s := f.playLongCalls("/long/x", 100*time.Millisecond, func() {
			time.Sleep(3 * time.Second)
			f.targets["model-3"].silence.set(cutHang, 0)
			time.Sleep(7 * time.Second)
		})
		if sent := s.whole + s.refused + s.cut + s.lost; float64(s.whole) < minServedInSilence*float64(sent) {
			t.Errorf("%d of %d streams are whole", s.whole, sent)
		}
	})
}

// TestSilenceFailsNoCall guards against calls to plain services that are ended or refused because sound targets fall silent for a
// moment, though there is time to answer them afterwards.
func TestSilenceFailsNoCall(t *testing.T) {
	paths := []string{"/plain/x", "/single/x", "/once/x"}
	cases := []struct {
		name string
		// targets is the number of targets of the service, all of which fall silent.
		targets int
		span    time.Duration
		// changes is set if the configuration changes each second.
		changes bool
	}{
		{"8 targets", 8, longSilentSpan, false},
		{"8 targets, 2 s", 8, 2 * time.Second, false},
		{"8 targets, configuration changes", 8, longSilentSpan, true},
		{"2 targets", 2, longSilentSpan, false},
		{"1 target", 1, longSilentSpan, false},
	}
	for _, size := range sizesOf(15) {
		for _, path := range paths {
			for _, c := range cases {
				t.Run(fmt.Sprint(size, " hosts, ", path, ", ", c.name), func(t *testing.T) {
					clearPools()
					synctest.Test(t, func(t *testing.T) {
						defer clearPools()
						f := newPartitionedFleet(t, size)
						targets := f.keepTargets("plain-", c.targets)
						f.startAll()
						f.observe(4)
						var changes sync.WaitGroup
						ctx, stop := context.WithCancel(context.Background())
						if c.changes {
							changes.Go(func() {
								for ctx.Err() == nil {
									f.changeConfiguration()
									time.Sleep(time.Second)
								}
							})
						}
						s := f.playLongCalls(path, 50*time.Millisecond, func() {
							time.Sleep(4 * time.Second)
							for range 5 {
								f.silence(targets, c.span)
								time.Sleep(3 * time.Second)
							}
							stop()
							changes.Wait()
						})
						s.check(t, minCallsServedInSilence)
					})
				})
			}
		}
	}
}

// TestLooksTakeTurns guards against dead targets that are never looked for because of others whose exchanges must go on.
func TestLooksTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clearPools()
		defer clearPools()
		f := newPartitionedFleet(t, 2)
		f.startAll()
		f.observe(4)
		host := f.hosts[0].current.Load()
		var ended [6]atomic.Bool
		for i := range ended {
			id := swid.TargetID(fmt.Sprint("model-", i))
			f.targets[id].silence.set(cutHang, 0)
			adapter, _ := host.pathProber.adapter(id)
			host.paths.Heard(id)
			time.Sleep(10 * time.Millisecond)
			host.paths.Begin(id, 0, func() bool {
				ended[i].Store(i >= 4) // the others are in their last attempt
				return i >= 4
			}, func(ctx context.Context, _ *swreach.Exchange) error { return adapter.probe(ctx) })
		}
		time.Sleep(6 * time.Second)
		for i := range ended {
			if i >= 4 && !ended[i].Load() {
				t.Errorf("the exchange with dead target %d goes on", i)
			}
		}
		f.killAll()
	})
}

// TestCancelledProbe guards against hosts that take themselves for cut off because probes were cancelled.
func TestCancelledProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clearPools()
		defer clearPools()
		f := newPartitionedFleet(t, 2)
		f.startAll()
		f.observe(4)
		host := f.hosts[0].current.Load()
		time.Sleep(time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		var probes sync.WaitGroup
		for _, id := range []swid.TargetID{"model-1", "model-2"} {
			adapter, known := host.pathProber.adapter(id)
			if !known {
				t.Fatalf("%s is not listed", id)
			}
			f.targets[id].silence.set(cutHang, 0)
			probes.Go(func() { _ = adapter.probe(ctx) }) // fails, as it is cancelled
		}
		time.Sleep(10 * time.Millisecond)
		cancel()
		probes.Wait()
		if host.paths.Cut("model") {
			t.Error("the host takes itself for cut off after two probes that were cancelled")
		}
		f.killAll()
	})
}
