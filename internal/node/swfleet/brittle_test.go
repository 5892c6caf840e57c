package swfleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

const (
	// brittleQueue is the number of requests that may wait at a brittle target, and brittleQueueLater from
	// limitStableTime after it became brittle.
	brittleQueue, brittleQueueLater = 3, 1
	// brittleDownTime is how long a brittle target that has fallen over is away.
	brittleDownTime = 3 * time.Second
	// keptRunTime is how long the runs of some brittle targets go on after their connection was closed, which is longer
	// than it takes until all hosts have been restarted.
	keptRunTime = 6 * time.Second
	// minBrittleShare is the share of the requests that has to be answered, though all hosts may be away for a tenth of the
	// time and half of the targets be full of earlier runs for half of it.
	minBrittleShare = 0.5
	// minKeptShare is that share if all targets are full of earlier runs for half of the time.
	minKeptShare = 0.25
	// brittleFallSlack, and one for each brittleFallInterval targets, may fall over in one time.
	brittleFallSlack, brittleFallInterval = 2, 10
)

// brittleTarget is a target that falls over when it has to turn too many requests away in a second.
type brittleTarget struct {
	slots         int
	maxRejections int
	duration      time.Duration
	// keepsRuns is set if runs go on after their connections were closed.
	keepsRuns bool
	// from is when the target becomes brittle.
	from time.Time

	mu      sync.Mutex
	running int
	// waiting has a channel for each request that waits, which is closed when it runs.
	waiting []chan struct{}
	// rejections are the instants of the latest requests that were turned away.
	rejections []time.Time
	falls      int
	// fallen is closed when the target falls over, and then replaced. downUntil is when it is back.
	fallen    chan struct{}
	downUntil time.Time
	rejected  int
}

// statement returns what the answers of the target say.
func (b *brittleTarget) statement() swlimit.Statement {
	if time.Now().Before(b.from) {
		return swlimit.Statement{Heard: true}
	}
	return swlimit.Statement{Heard: true, Brittle: true, MaxRejections: b.maxRejections}
}

// reject turns a request away, which may be one too many. b.mu must be held.
func (b *brittleTarget) reject() error {
	now := time.Now()
	b.rejected++
	b.rejections = append(b.rejections, now)
	b.rejections = slices.DeleteFunc(b.rejections, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if now.Sub(b.from) >= limitStableTime && len(b.rejections) > b.maxRejections {
		b.falls++
		close(b.fallen)
		b.fallen = make(chan struct{})
		b.downUntil = now.Add(brittleDownTime)
		b.running, b.waiting, b.rejections = 0, nil, nil
	}
	return &swtarget.Error{Failure: swtarget.FailureNotStarted, Statement: b.statement(), Err: errConnection}
}

// enter waits for a slot.
func (b *brittleTarget) enter(ctx context.Context) (fallen <-chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.downUntil) {
		return nil, &swtarget.Error{Failure: swtarget.FailureNotStarted, Unsent: true, Err: errConnection}
	}
	fallen = b.fallen
	if b.running < b.slots {
		b.running++
		return fallen, nil
	}
	queue := brittleQueue
	if time.Since(b.from) >= limitStableTime {
		queue = brittleQueueLater
	}
	if len(b.waiting) >= queue {
		return nil, b.reject()
	}
	turn := make(chan struct{})
	b.waiting = append(b.waiting, turn)
	b.mu.Unlock()
	select {
	case <-turn:
	case <-fallen:
		err = &swtarget.Error{Failure: swtarget.FailureBroken, Err: errConnection}
	case <-ctx.Done():
		err = &swtarget.Error{Failure: swtarget.FailureBroken, Err: ctx.Err()}
	}
	b.mu.Lock()
	if err != nil {
		b.waiting = slices.DeleteFunc(b.waiting, func(w chan struct{}) bool { return w == turn })
	}
	return fallen, err
}

// leave frees a slot.
func (b *brittleTarget) leave(fallen <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if fallen != b.fallen {
		return // the target has been started anew
	}
	if len(b.waiting) > 0 {
		close(b.waiting[0])
		b.waiting = b.waiting[1:]
		return
	}
	b.running--
}

// Start implements swtarget.Adapter.
func (b *brittleTarget) Start(ctx context.Context, _ swtarget.Request) (swtarget.Answer, error) {
	time.Sleep(networkDelay)
	fallen, err := b.enter(ctx)
	if err != nil {
		return nil, err
	}
	duration := b.duration/2 + time.Duration(rand.Int64N(int64(b.duration)))
	end := time.NewTimer(duration)
	defer end.Stop()
	select {
	case <-end.C:
		b.leave(fallen)
		return &fakeAnswer{body: []byte("answer"), limit: b.statement()}, nil
	case <-fallen:
		return nil, &swtarget.Error{Failure: swtarget.FailureBroken, Err: errConnection}
	case <-ctx.Done():
		if b.keepsRuns {
			time.Sleep(keptRunTime)
		}
		b.leave(fallen)
		return nil, &swtarget.Error{Failure: swtarget.FailureBroken, Err: ctx.Err()}
	}
}

// Probe implements swtarget.Prober.
func (b *brittleTarget) Probe(context.Context) (swlimit.Statement, error) {
	time.Sleep(2 * networkDelay)
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.downUntil) {
		return swlimit.Statement{}, errConnection
	}
	return b.statement(), nil
}

// mortalFleet is a fleet whose hosts can be killed without finishing what they hold.
type mortalFleet struct {
	*simulatedFleet
	mu sync.Mutex
	// killed has a channel for each host, which is closed when its process is killed.
	killed []chan struct{}
}

func newMortalFleet(f *simulatedFleet, adapter func(swid.TargetID) *brittleTarget) *mortalFleet {
	m := &mortalFleet{simulatedFleet: f}
	for range f.hosts {
		m.killed = append(m.killed, make(chan struct{}))
	}
	f.hostAdapter = func(host int, id swid.TargetID) swtarget.Adapter {
		m.mu.Lock()
		defer m.mu.Unlock()
		return &mortalAdapter{brittleTarget: adapter(id), killed: m.killed[host]}
	}
	return m
}

// kill kills the processes of hosts and starts them again a second later.
func (m *mortalFleet) kill(hosts ...*simulatedHost) {
	dead := make(map[string]bool)
	m.mu.Lock()
	for _, h := range hosts {
		close(m.killed[h.number])
		dead[h.address()] = true
	}
	m.mu.Unlock()
	cut := func(from, to string) bool { return dead[from] || dead[to] }
	m.network.cut.Store(&cut)
	for _, h := range hosts {
		h.stop()
	}
	time.Sleep(time.Second)
	for _, h := range hosts {
		<-h.ended
	}
	m.network.cut.Store(nil)
	for _, h := range hosts {
		m.mu.Lock()
		m.killed[h.number] = make(chan struct{})
		m.mu.Unlock()
		h.start()
	}
}

func killAllTwice(m *mortalFleet) {
	for range 2 {
		time.Sleep(8 * time.Second)
		m.kill(m.hosts...)
	}
}

// mortalAdapter is a target as a host reaches it until its process is killed.
type mortalAdapter struct {
	*brittleTarget
	killed chan struct{}
}

// Start implements swtarget.Adapter.
func (a *mortalAdapter) Start(ctx context.Context, r swtarget.Request) (swtarget.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-a.killed:
			cancel()
		case <-ctx.Done():
		}
	}()
	select {
	case <-a.killed:
		return nil, &swtarget.Error{Failure: swtarget.FailureBroken, Err: errConnection} // nothing learns of it
	default:
		return a.brittleTarget.Start(ctx, r)
	}
}

// TestBrittleTargets guards against targets that fall over because they have to turn requests away, from all hosts
// together.
func TestBrittleTargets(t *testing.T) {
	const (
		settleSpan = 4 * time.Second
		span       = 24 * time.Second
		duration   = 600 * time.Millisecond
		slots      = 7
	)
	events := []struct {
		name          string
		maxRejections int
		// allKeepRuns is set if runs go on after their connections were closed at all targets, not at each second one.
		allKeepRuns bool
		run         func(f *mortalFleet)
	}{
		{"undisturbed", 2, false, nil},
		{"owner killed", 2, false, func(f *mortalFleet) {
			for range 3 {
				time.Sleep(5 * time.Second)
				f.kill(f.owner())
			}
		}},
		{"five hosts killed", 2, false, func(f *mortalFleet) {
			for range 2 {
				time.Sleep(8 * time.Second)
				f.kill(f.hosts[:5]...)
			}
		}},
		{"hosts cut in two", 2, false, func(f *mortalFleet) {
			time.Sleep(2 * time.Second)
			f.cutInTwo(20 * time.Second)
		}},
		{"all hosts killed", 2, false, killAllTwice},
		{"all hosts killed, one rejection", 1, false, killAllTwice},
		{"all hosts killed, ten rejections", 10, false, killAllTwice},
		{"all hosts killed, all runs go on", 2, true, killAllTwice},
		{"all hosts killed, all runs go on, ten rejections", 10, true, killAllTwice},
	}
	for _, size := range sizesOf(15) {
		for _, service := range []string{"model", "plain"} {
			for _, e := range events {
				t.Run(fmt.Sprintf("%d hosts, %s, %s", size, service, e.name), func(t *testing.T) {
					clearPools()
					synctest.Test(t, func(t *testing.T) {
						defer clearPools()
						s := newMixedFleet(t, size)
						brittle := make(map[swid.TargetID]*brittleTarget)
						listed := make(map[swid.ServiceID]int)
						for id := range s.deployment.targets {
							s.deployment.store.targets.update(string(id), func(t *swcatalog.Target) { t.Slots = slots })
							of := s.deployment.store.targets.items[string(id)].Value.Service
							listed[of]++
							b := &brittleTarget{
								slots: slots, maxRejections: e.maxRejections, duration: duration, keepsRuns: e.allKeepRuns || listed[of]%2 == 0,
								from: time.Now().Add(settleSpan), fallen: make(chan struct{}),
							}
							if !strings.HasPrefix(string(id), service) {
								b.from = time.Now().Add(time.Hour)
							}
							brittle[id] = b
						}
						f := newMortalFleet(s, func(id swid.TargetID) *brittleTarget { return brittle[id] })
						f.startAll()
						f.observe(4)
						ctx, stop := context.WithTimeout(context.Background(), settleSpan+span)
						defer stop()
						var requests outcomes
						var senders sync.WaitGroup
						// A little more than the targets can answer.
						rate := 11 * len(brittle) / 2 * slots * int(time.Second) / int(duration) / 10
						senders.Go(func() { f.sendEvery(ctx, time.Second/time.Duration(rate), "/"+service+"/x", uniqueBody, &requests) })
						time.Sleep(settleSpan)
						if e.run != nil {
							e.run(f)
						}
						<-ctx.Done()
						senders.Wait()
						f.killAll()
						falls, rejected, targets := 0, 0, 0
						for id, b := range brittle {
							if strings.HasPrefix(string(id), service) {
								falls, rejected, targets = falls+b.falls, rejected+b.rejected, targets+1
							}
						}
						t.Logf("%d falls, %d rejections by %d targets; of %d requests %d answered", falls, rejected, targets, requests.sent, requests.answered)
						if allowed := brittleFallSlack + targets/brittleFallInterval; falls > allowed {
							t.Errorf("targets fell over %d times, %d are allowed", falls, allowed)
						}
						want := minBrittleShare
						if e.allKeepRuns {
							want = minKeptShare
						}
						if share := float64(requests.answered) / float64(requests.sent); share < want {
							t.Errorf("%.2f of the requests were answered, want at least %.2f", share, want)
						}
					})
				})
			}
		}
	}
}
