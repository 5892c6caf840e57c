package swfleet

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

const (
	// prefillTime is how long an engine takes until it begins an answer, outputInterval the time
	// between two events of a stream of streamEvents events.
	prefillTime    = 100 * time.Millisecond
	outputInterval = 50 * time.Millisecond
	streamEvents   = 10
	eventTokens    = 8
	// crashNumber is the number of crashes after which stableTime begins.
	crashNumber = 5
	// settledTime is the time after the crash crashNumber, or the last one if there are fewer, from
	// which minBegun of the other requests have to begin at their first attempt.
	settledTime = 2 * stableTime
	minBegun    = 0.5
	// partsWarmup is the time before the first request that crashes engines.
	partsWarmup = 4 * time.Second
)

// Parts of prompts. Each part in crashingParts crashes engines.
const (
	firstPart   swid.PrefixHash = 0xaaaa1
	secondPart  swid.PrefixHash = 0xaaaa2
	otherPart   swid.PrefixHash = 0xcccc1
	sessionPart swid.PrefixHash = 0x50000
)

var crashingParts = []swid.PrefixHash{0xbadbad, 0xbad002, 0xbad003}

// crashingPrompt is the beginning of the body of a request that crashes engines. The index of its part
// in crashingParts follows.
const crashingPrompt = "crash "

// crashableEngine is an engine that requests with a crashing part crash when their answer begins. It
// implements swtarget.Adapter.
type crashableEngine struct {
	*crashableTarget
	// logs has one entry for each of crashingParts.
	logs []*crashLog
	// harmlessPath is the path of requests that crash nothing, whatever their parts.
	harmlessPath string
}

// Start implements swtarget.Adapter.
func (c *crashableEngine) Start(ctx context.Context, r swtarget.Request) (swtarget.Answer, error) {
	var log *crashLog
	if part, crashing := strings.CutPrefix(string(r.Body), crashingPrompt); crashing && r.Path != c.harmlessPath {
		index, err := strconv.Atoi(strings.Fields(part)[0])
		if err != nil {
			return nil, err
		}
		log = c.logs[index]
	}
	c.mu.Lock()
	crashed, down := c.crashed, c.down
	c.mu.Unlock()
	if down {
		return nil, &swtarget.Error{Failure: swtarget.FailureNotStarted, Unsent: true, Err: errConnection}
	}
	crashes := log != nil && log.arrive()
	a := &engineAnswer{ctx: ctx, engine: c, crashed: crashed, silence: r.FirstOutputTimeout}
	if err := a.wait(prefillTime); err != nil {
		return nil, err
	}
	if crashes {
		c.mu.Lock()
		if !c.down {
			log.crash()
			c.crash()
		}
		c.mu.Unlock()
	}
	if !r.Stream {
		if err := a.wait(streamEvents * outputInterval); err != nil {
			return nil, err
		}
		a.events, a.whole = streamEvents-1, true
	}
	return a, nil
}

// engineAnswer is an answer of a crashableEngine. It implements swtarget.Answer.
type engineAnswer struct {
	ctx     context.Context
	engine  *crashableEngine
	crashed chan struct{}
	// silence is how long the caller waits for an engine that falls silent.
	silence swclock.Millis
	events  int
	whole   bool
}

// wait waits for a time, or until the engine crashes or the caller leaves.
func (a *engineAnswer) wait(span time.Duration) error {
	select {
	case <-time.After(span):
	case <-a.crashed:
	case <-a.ctx.Done():
	}
	select {
	case <-a.crashed:
		if a.engine.log.silent && a.ctx.Err() == nil {
			return awaitSilence(a.ctx, a.silence)
		}
		return &swtarget.Error{Failure: swtarget.FailureBroken, Err: errConnection}
	default:
	}
	if err := a.ctx.Err(); err != nil {
		return &swtarget.Error{Failure: swtarget.FailureBroken, Err: err}
	}
	return nil
}

func (*engineAnswer) Status() int                  { return http.StatusOK }
func (*engineAnswer) Header() http.Header          { return nil }
func (*engineAnswer) Statement() swlimit.Statement { return swlimit.Statement{} }
func (*engineAnswer) Usage() swtarget.Usage        { return swtarget.Usage{} }
func (*engineAnswer) Close() error                 { return nil }

func (a *engineAnswer) Next() (swtarget.Chunk, error) {
	if a.events == streamEvents {
		return swtarget.Chunk{}, io.EOF
	}
	if !a.whole {
		if err := a.wait(outputInterval); err != nil {
			return swtarget.Chunk{}, err
		}
	}
	a.events++
	return swtarget.Chunk{Data: []byte("event"), Tokens: eventTokens, Events: 1}, nil
}

// begunSink records whether an answer began. It implements swholder.Sink.
type begunSink struct {
	discardSink
	begun bool
}

func (s *begunSink) Begin(int, http.Header) error {
	s.begun = true
	return nil
}

// beginnings counts the requests of one kind that were sent from an instant on, and those that began.
type beginnings struct {
	mu          sync.Mutex
	sent, begun int
}

// sendPrompt sends one request with parts, and counts whether it begins.
func (f *simulatedFleet) sendPrompt(ctx context.Context, path, body string, parts []swcell.Part, b *beginnings, from func() (time.Time, bool)) {
	call := newCall(path, body)
	call.Parts = parts
	sentAt, sink, o := time.Now(), &begunSink{}, outcomes{}
	f.sendCall(ctx, call, sink, &o)
	settled, known := from()
	b.mu.Lock()
	defer b.mu.Unlock()
	if o.sent == 1 && known && !sentAt.Before(settled) && ctx.Err() == nil {
		b.sent++
		if sink.begun {
			b.begun++
		}
	}
}

// part returns a part of a prompt.
func part(id swid.PrefixHash, tokens swid.Tokens) swcell.Part {
	return swcell.Part{ID: id, Tokens: tokens}
}

func uniquePart(tokens swid.Tokens) swcell.Part {
	return part(swid.PrefixHash(rand.Uint64()|1<<63), tokens)
}

// partsCase is a case of TestCrashingParts.
type partsCase struct {
	name string
	// interval is the time between two requests with a crashing part.
	interval time.Duration
	// parts is the number of crashing parts, 0 stands for 1.
	parts  int
	silent bool
	// first is set if the crashing part is the first of its prompts.
	first bool
	// fresh is set if the other requests have a part that no other request has.
	fresh bool
	// answered is set if requests with the part are answered before it begins to crash engines.
	answered bool
	// paths are those of the requests with a crashing part; nil stands for one of all paths at a time.
	paths []string
	// harmless is the path on which the part crashes nothing.
	harmless string
	run      func(f *simulatedFleet)
}

// variants returns the paths of the requests with a crashing part for each variant of the case.
func (c *partsCase) variants() [][]string {
	if c.paths != nil {
		return [][]string{c.paths}
	}
	return [][]string{{"/stream/x"}, {"/model/x"}}
}

// TestCrashingParts guards against requests with one part of a prompt that crash one engine after the
// other, and against the rejection of sound requests that share all else with them.
func TestCrashingParts(t *testing.T) {
	killOwner := func(interval time.Duration) func(f *simulatedFleet) {
		return func(f *simulatedFleet) {
			for range 3 {
				time.Sleep(interval)
				f.restartOwner()
			}
		}
	}
	restartAll := func(interval time.Duration) func(f *simulatedFleet) {
		return func(f *simulatedFleet) {
			for range 4 {
				time.Sleep(interval)
				f.restartAll()
			}
		}
	}
	events := []partsCase{
		{name: "undisturbed", interval: 300 * time.Millisecond},
		{name: "frequent", interval: 150 * time.Millisecond},
		{name: "fresh parts", interval: 300 * time.Millisecond, fresh: true},
		{name: "rare", interval: 1500 * time.Millisecond},
		{name: "three parts", interval: 300 * time.Millisecond, parts: 3},
		{name: "first part", interval: 300 * time.Millisecond, first: true},
		{name: "answered before", interval: 300 * time.Millisecond, answered: true},
		{name: "two routes", interval: 300 * time.Millisecond, paths: []string{"/stream/x", "/model/x"}},
		{name: "harmless on another route", interval: 300 * time.Millisecond, paths: []string{"/stream/x", "/model/x"}, harmless: "/model/x"},
		{name: "silent engines", interval: 300 * time.Millisecond, silent: true},
		{name: "owner killed", interval: 300 * time.Millisecond, run: killOwner(5 * time.Second)},
		{name: "rare, owner killed", interval: 1500 * time.Millisecond, run: killOwner(2500 * time.Millisecond)},
		{name: "all hosts restart", interval: 300 * time.Millisecond, run: restartAll(5 * time.Second)},
		{name: "rare, all hosts restart", interval: 1500 * time.Millisecond, run: restartAll(4 * time.Second)},
		{name: "hosts cut in two", interval: 300 * time.Millisecond, run: func(f *simulatedFleet) {
			f.cutInTwo(8 * time.Second)
			time.Sleep(3 * time.Second)
			f.cutInTwo(8 * time.Second)
		}},
		{name: "store set back", interval: 300 * time.Millisecond, run: func(f *simulatedFleet) {
			earlier := f.deployment.store.copy()
			for range 3 {
				time.Sleep(5 * time.Second)
				f.deployment.store.setBack(earlier)
				time.Sleep(1500 * time.Millisecond)
				f.restartAll()
			}
		}},
		{name: "owner frozen", interval: 300 * time.Millisecond, run: func(f *simulatedFleet) {
			for range 3 {
				time.Sleep(time.Second)
				f.owner().processor.freeze(5 * time.Second)
				time.Sleep(6 * time.Second)
			}
		}},
	}
	for _, size := range sizesOf(15) {
		for _, e := range events {
			for _, paths := range e.variants() {
				t.Run(fmt.Sprint(size, " hosts, ", strings.Join(paths, " "), ", ", e.name), func(t *testing.T) {
					clearPools()
					synctest.Test(t, func(t *testing.T) { e.play(t, size, paths) })
				})
			}
		}
	}
}

// partsSpan is how long a case is played after all hosts have started.
const partsSpan = 28 * time.Second

// play plays the case with a number of hosts, and requests with crashing parts on paths.
func (c *partsCase) play(t *testing.T, size int, paths []string) {
	defer clearPools()
	logs := make([]*crashLog, max(c.parts, 1))
	for i := range logs {
		logs[i] = &crashLog{silent: c.silent, harmless: c.answered}
	}
	f := newPartsFleet(t, size, logs, c.harmless)
	f.startAll()
	f.observe(4)
	settled := func() (time.Time, bool) {
		var latest time.Time
		for _, l := range logs {
			at, crashed := l.lastCrash(crashNumber)
			if !crashed {
				return latest, false
			}
			if at = at.Add(settledTime); at.After(latest) {
				latest = at
			}
		}
		return latest, true
	}
	ctx, stop := context.WithTimeout(context.Background(), partsSpan)
	var senders sync.WaitGroup
	var crashing, sound, sessions, others, elsewhere beginnings
	every := func(interval time.Duration, send func()) {
		senders.Go(func() {
			var calls sync.WaitGroup
			defer calls.Wait()
			for ctx.Err() == nil {
				calls.Go(send)
				time.Sleep(interval)
			}
		})
	}
	for _, p := range []string{"/stream/x", "/model/x"} {
		every(150*time.Millisecond, func() {
			parts := []swcell.Part{part(firstPart, 100), part(secondPart, 60), uniquePart(140)}
			f.sendPrompt(ctx, p, uniqueBody(), parts, &sound, settled)
		})
		every(150*time.Millisecond, func() {
			parts := []swcell.Part{part(firstPart, 100), part(sessionPart+swid.PrefixHash(rand.IntN(2000)), 60), uniquePart(140)}
			f.sendPrompt(ctx, p, uniqueBody(), parts, &sessions, settled)
		})
		every(50*time.Millisecond, func() {
			parts := []swcell.Part{part(otherPart, 200), uniquePart(100)}
			if c.fresh {
				parts[0] = uniquePart(200)
			}
			f.sendPrompt(ctx, p, uniqueBody(), parts, &others, settled)
		})
	}
	time.AfterFunc(partsWarmup, func() {
		for _, l := range logs {
			l.setHarmless(false)
		}
	})
	if !c.answered {
		time.Sleep(partsWarmup)
	}
	for i := range logs {
		for _, p := range paths {
			count := &crashing
			if p == c.harmless {
				count = &elsewhere
			}
			every(c.interval, func() {
				parts := []swcell.Part{part(firstPart, 100), part(crashingParts[i], 60), part(secondPart, 60), uniquePart(80)}
				if c.first {
					parts[0], parts[1] = parts[1], parts[0]
				}
				f.sendPrompt(ctx, p, fmt.Sprint(crashingPrompt, i, " ", rand.Uint64()), parts, count, settled)
			})
		}
	}
	if c.run != nil {
		c.run(f)
	}
	<-ctx.Done()
	stop()
	senders.Wait()
	f.killAll()
	for i, l := range logs {
		late, all := l.late(crashNumber)
		t.Logf("part %d: %d arrivals in all, %d crashes", i+1, all, len(l.crashes))
		if late > lateLimit {
			t.Errorf("part %d: %d arrivals later than %v after the crash %d, want at most %d", i+1, late, stableTime, crashNumber, lateLimit)
		}
	}
	for _, k := range []struct {
		name string
		*beginnings
	}{{"with the same first part", &sound}, {"with parts of sessions", &sessions}, {"with other parts", &others}, {"with the part where it is harmless", &elsewhere}} {
		t.Logf("requests %s: %d of %d began", k.name, k.begun, k.sent)
		if k.sent >= 20 && float64(k.begun) < minBegun*float64(k.sent) {
			t.Errorf("requests %s: %d of %d began, want at least %.2f of them", k.name, k.begun, k.sent, minBegun)
		}
	}
}

// lastCrash returns when the crash with a number happened, or the last one if there were fewer.
func (l *crashLog) lastCrash(number int) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.crashes) == 0 {
		return time.Time{}, false
	}
	return l.crashes[min(number, len(l.crashes))-1], true
}

// newPartsFleet returns a fleet in front of eight engines that log crashes, with a route for streams and
// one for idempotent requests.
func newPartsFleet(t *testing.T, size int, logs []*crashLog, harmlessPath string) *simulatedFleet {
	f := newMixedFleet(t, size)
	c := *f.deployment.store.catalogs.items["main"].Value
	stream := c.Routes[0]
	stream.Name, stream.Prefix, stream.Kind = "stream", "/stream/", swcatalog.KindStream
	c.Routes = append(c.Routes, stream)
	c.Version++
	f.deployment.store.catalogs.put("main", &c)
	f.setAdapters(func(id swid.TargetID) swtarget.Adapter {
		target := &crashableTarget{id: id, fleet: f, log: logs[0], crashed: make(chan struct{})}
		return &crashableEngine{crashableTarget: target, logs: logs, harmlessPath: harmlessPath}
	})
	return f
}
