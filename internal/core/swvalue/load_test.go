package swvalue

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
)

// core is the scheduler that the simulation drives: a Cell with any placement and order.
type core interface {
	Step(now swclock.Millis, e swcell.Event, actions []swcell.Action) []swcell.Action
}

// class is a kind of request, with figures from the users' tables.
type class struct {
	name                    string
	tier                    swid.Tier
	perSecond               float64
	prompt, promptDeviation float64 // mean, and the standard deviation of the logarithm
	output, outputDeviation float64
	limit                   swid.Tokens
	objective               swclock.Millis
	deadline                swclock.Millis
	worth, late             float64 // of an answer in time, and of a late one
	// abandon is how long callers wait for the first output before they leave.
	abandon swclock.Millis
	// resumable is set if callers take up streams that broke.
	resumable bool
}

var classes = []class{
	{"letter", 0, 16.8, 6610, 1.2, 382, 1.3, 3800, 1000, 15000, 6.6, 2, 4800, false},
	{"nudge", 1, 15.3, 628, 1, 291, 1.3, 2900, 500, 15000, 1.7, 0.51, 4800, true},
	{"triage", 2, 21.4, 1800, 1.1, 22, 1.2, 225, 600, 3000, 0.34, 0.1, 4800, false},
}

// simOrigin is the origin of all streams of a simulation.
var simOrigin = sworigin.Origin{Service: "s", Version: "v1"}

// simEngine simulates a batching engine. It processes prompts one after the other,
// which stalls the output of all other requests.
type simEngine struct {
	id       swid.TargetID
	slowdown float64 // time that work takes, as a multiple of a typical engine's
	slots    int
	runs     []*simRun
	// granted counts the requests that it was granted.
	granted int
	down    bool
	born    int64
}

// simRun is a request at an engine.
type simRun struct {
	key     swcell.Key
	request *simRequest
	// prompt and output are the work left, in ms.
	prompt, output float64
	started        swclock.Millis
	first          swclock.Millis
	// reported is set once the second report of the output was sent.
	reported bool
}

// simRequest is a request with its outcome for the caller.
type simRequest struct {
	class        *class
	grantRequest swcell.GrantRequest
	size         float64
	outputTokens float64
	arrived      swclock.Millis
	first, done  swclock.Millis
	rejected     swclock.Millis
	timedOut     bool
	rejections   int
	// requestedAt is when the caller last sent the request.
	requestedAt      swclock.Millis
	firstRequestedAt swclock.Millis
	deadlineAt       swclock.Millis
	// begun is set once the stream began, takenUp once it broke after that, and wentOn once it went on.
	begun, takenUp, wentOn bool
}

const (
	simStep     = 5 * swclock.Millis(1)
	simPrefill  = 0.0185
	simDecode   = 4.6
	simOverhead = 25.0
	// simSecondReport is the number of output tokens after which holders report
	// progress for the second time.
	simSecondReport = 32
)

// step advances an engine by simStep and returns the runs that ended.
func (e *simEngine) step(now swclock.Millis) (ended []*simRun) {
	left := float64(simStep) / e.slowdown
	for _, r := range e.runs {
		if r.prompt > 0 && left > 0 {
			spent := min(left, r.prompt)
			r.prompt -= spent
			left -= spent
		}
	}
	for _, r := range e.runs {
		if r.prompt > 0 {
			continue
		}
		if r.first == 0 {
			r.first = now
		}
		r.output -= left
		if r.output <= 0 {
			ended = append(ended, r)
		}
	}
	e.runs = slices.DeleteFunc(e.runs, func(r *simRun) bool { return slices.Contains(ended, r) })
	return ended
}

// sim simulates a core and its engines under one load.
type sim struct {
	core       core
	engines    map[swid.TargetID]*simEngine
	engineList []*simEngine
	requests   []*simRequest
	byKey      map[swcell.Key]*simRequest
	now        swclock.Millis
	actions    []swcell.Action
	retrying   []*simRequest
}

// simLoad describes the arrivals relative to what the engines can process.
type simLoad struct {
	name    string
	factor  float64
	seconds int
	// burst multiplies the rate of arrivals in the middle third; 0 means no burst.
	burst float64
	// scale multiplies the engines and the arrivals; 0 means 1.
	scale int
	// takenUp multiplies the arrivals of resumable requests, which take up streams then; 0 means that they are new.
	takenUp float64
	// orgs is the number of organisations, of which the first sends hotOrg times as much as each other one; 0 means one.
	orgs   int
	hotOrg float64
	// joins is when a third of the engines join, one of each speed in three; 0 means that they are there from the start.
	joins swclock.Millis
	// seed selects the arrivals.
	seed uint64
	// crashes are the times at which five of nine engines end, for simCrashTime.
	crashes []swclock.Millis
}

// drawOrg draws the organisation of a request.
func (l *simLoad) drawOrg(random *rand.Rand) swid.OrgID {
	if l.orgs == 0 {
		return "o"
	}
	return swid.OrgID(fmt.Sprint("o", max(int(random.Float64()*(float64(l.orgs)-1+l.hotOrg)-l.hotOrg+1), 0)))
}

const simCrashTime = 2 * swclock.Second

var slowdowns = []float64{0.55, 1, 2.8, 0.55, 1, 2.8, 0.55, 1, 2.8}

func newSim(c core, l simLoad) *sim {
	s := &sim{
		core: c, engines: make(map[swid.TargetID]*simEngine), byKey: make(map[swcell.Key]*simRequest),
	}
	for i := range len(slowdowns) * max(l.scale, 1) {
		e := &simEngine{id: swid.TargetID(fmt.Sprint("e", i)), slowdown: slowdowns[i%len(slowdowns)], slots: 10, born: 1}
		e.down = l.joins > 0 && i%len(slowdowns) < 3
		s.engines[e.id], s.engineList = e, append(s.engineList, e)
	}
	s.configure()
	s.drawArrivals(l)
	return s
}

// configure lists the engines that are up.
func (s *sim) configure() {
	var conf swcell.Configure
	for _, e := range s.engineList {
		if !e.down {
			conf.Targets = append(conf.Targets, swcell.Target{
				ID: e.id, State: swcell.TargetActive, Slots: e.slots, KVTokens: 672558, Version: simOrigin.Version, Born: e.born,
			})
		}
	}
	s.step(conf)
}

// crash ends five of nine engines. Callers take up the streams that they can.
func (s *sim) crash() {
	var takenUp []*simRequest
	for i, e := range s.engineList {
		if i%9 >= 5 {
			continue
		}
		e.down = true
		for _, r := range e.runs {
			s.broke(e, r)
			if r.first > 0 && r.request.class.resumable && !r.request.takenUp {
				takenUp = append(takenUp, r.request)
			} else {
				r.request.timedOut = true
			}
		}
		e.runs = nil
	}
	s.configure()
	for _, r := range takenUp {
		r.takenUp, r.first = true, 0
		s.sendGrantRequest(r)
	}
}

// broke ends a run whose engine ended.
func (s *sim) broke(e *simEngine, r *simRun) {
	done := swcell.Done{Key: r.key, Attempt: 1, Target: e.id, Result: swcell.ResultNoAnswer}
	if r.first > 0 {
		done.Result, done.FirstToken, done.Total = swcell.ResultBroken, max(r.first-r.started, 1), max(s.now-r.started, 2)
		r.request.outputTokens = max(r.output/simDecode, 1)
	}
	s.step(done)
}

// restart brings the engines back that are down.
func (s *sim) restart() {
	for _, e := range s.engineList {
		if e.down {
			e.down, e.born = false, e.born+1
		}
	}
	s.configure()
}

// drawArrivals draws the arrivals of a load at random; equal loads get equal arrivals.
func (s *sim) drawArrivals(l simLoad) {
	random := rand.New(rand.NewPCG(11, 7+l.seed))
	lognormal := func(mean, sigma float64) float64 { return mean * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2) }
	for i := range classes {
		c := &classes[i]
		for at := 0.0; ; {
			rate := c.perSecond * l.factor * float64(max(l.scale, 1))
			if l.takenUp > 0 && c.resumable {
				rate *= l.takenUp
			}
			third := float64(l.seconds) * 1000 / 3
			if l.burst > 0 && at > third && at < 2*third {
				rate *= l.burst
			}
			at += random.ExpFloat64() * 1000 / rate
			if at > float64(l.seconds)*1000 {
				break
			}
			r := &simRequest{class: c, arrived: swclock.Millis(at), outputTokens: min(max(lognormal(c.output, c.outputDeviation), 1), float64(c.limit))}
			prompt := min(max(lognormal(c.prompt, c.promptDeviation), 50), 54000)
			r.size = prompt + outputWeight*r.outputTokens
			r.grantRequest = swcell.GrantRequest{
				Tier: c.tier, Org: l.drawOrg(random), PromptTokens: swid.Tokens(prompt), OutputTokens: c.limit,
				ExpectedTokens: swid.Tokens(max(lognormal(r.outputTokens, 0.5)*1.13, 1)),
			}
			if r.takenUp = l.takenUp > 0 && c.resumable; r.takenUp {
				r.outputTokens *= random.Float64() // it broke anywhere
			}
			s.requests = append(s.requests, r)
		}
	}
	slices.SortStableFunc(s.requests, func(a, b *simRequest) int { return cmp.Compare(a.arrived, b.arrived) })
	for i, r := range s.requests {
		r.grantRequest.Key = swcell.Key{Holder: "h", Incarnation: 1, Seq: swid.Seq(i + 1)}
		r.grantRequest.Fingerprint = swid.Fingerprint(i + 1)
		r.deadlineAt = r.arrived + r.class.deadline
	}
}

func (s *sim) step(e swcell.Event) {
	s.actions = s.core.Step(s.now, e, nil)
	for _, a := range s.actions {
		switch a := a.(type) {
		case swcell.Grant:
			s.granted(a)
		case swcell.Reject:
			s.retry(a)
		}
	}
}

func (s *sim) granted(g swcell.Grant) {
	r, e := s.byKey[g.Key], s.engines[g.Target]
	run := &simRun{
		key: g.Key, request: r, started: s.now,
		prompt: simOverhead + float64(r.grantRequest.PromptTokens)*simPrefill, output: r.outputTokens * simDecode,
	}
	e.runs = append(e.runs, run)
	e.granted++
}

// retry lets the caller of a rejected request retry once, after the RetryAfter of the
// rejection, but at most after a third of the time to its deadline.
func (s *sim) retry(g swcell.Reject) {
	r := s.byKey[g.Key]
	r.rejected = s.now
	r.rejections++
	if left := r.deadlineAt - s.now; r.rejections == 1 {
		r.arrived = s.now + min(g.RetryAfter, left/3)
		s.retrying = append(s.retrying, r)
	}
}

// sendGrantRequest sends the grant request of r to the cell.
func (s *sim) sendGrantRequest(r *simRequest) {
	if r.firstRequestedAt == 0 {
		r.firstRequestedAt = max(s.now, 1)
	}
	r.requestedAt = s.now
	a := r.grantRequest
	a.Key.Seq += swid.Seq(r.rejections * 1_000_000)
	if a.Resumable = r.class.resumable; r.takenUp {
		a.Key.Seq += 500_000
		a.Continuation = sworigin.Continuation{Continues: true, Stream: 7, Origin: simOrigin}
	}
	a.Attempt = 1
	a.Deadline = r.deadlineAt
	a.Objective = s.now + r.class.objective
	a.Abandon = s.now + r.class.abandon
	s.byKey[a.Key] = r
	s.step(a)
}

// run simulates the load to its end.
func (s *sim) run(l simLoad) {
	next := 0
	for s.now = 0; s.now < swclock.Millis(l.seconds+20)*swclock.Second; s.now += simStep {
		if slices.Contains(l.crashes, s.now) {
			s.crash()
		}
		if l.joins > 0 && s.now == l.joins || slices.Contains(l.crashes, s.now-simCrashTime) {
			s.restart()
		}
		for ; next < len(s.requests) && s.requests[next].arrived <= s.now; next++ {
			s.sendGrantRequest(s.requests[next])
		}
		for _, r := range slices.Clone(s.retrying) {
			if r.arrived <= s.now {
				s.retrying = slices.DeleteFunc(s.retrying, func(o *simRequest) bool { return o == r })
				s.sendGrantRequest(r)
			}
		}
		for _, e := range s.engineList {
			s.advance(e)
		}
		if s.now%reviewInterval == 0 {
			s.step(swcell.Tick{})
		}
	}
}

func (s *sim) advance(e *simEngine) {
	runs := slices.Clone(e.runs)
	hadOutput := make([]bool, len(runs))
	for i, r := range runs {
		hadOutput[i] = r.first > 0
	}
	ended := e.step(s.now)
	for i, r := range runs {
		if !hadOutput[i] && r.first > 0 {
			r.request.begun, r.request.wentOn = true, r.request.takenUp
			s.step(swcell.Progress{Key: r.key, Attempt: 1, Produced: 5})
		}
		if done := r.request.outputTokens - r.output/simDecode; !r.reported && r.first > 0 && done >= simSecondReport {
			r.reported = true
			s.step(swcell.Progress{Key: r.key, Attempt: 1, Produced: swid.Tokens(done)})
		}
	}
	for _, r := range ended {
		r.request.first, r.request.done = r.first, s.now
		s.step(swcell.Done{
			Key: r.key, Attempt: 1, Target: e.id, Result: swcell.ResultAnswered,
			PromptTokens: r.request.grantRequest.PromptTokens, OutputTokens: swid.Tokens(r.request.outputTokens),
			FirstToken: max(r.first-r.started, 1), Total: max(s.now-r.started, 2),
		})
	}
	for _, r := range slices.Clone(e.runs) {
		if s.now > r.request.deadlineAt {
			e.runs = slices.DeleteFunc(e.runs, func(o *simRun) bool { return o == r })
			r.request.timedOut = true
			s.step(swcell.Done{Key: r.key, Attempt: 1, Target: e.id, Result: swcell.ResultCancelled})
		}
	}
}

// tally counts the outcomes of one kind of request.
type tally struct {
	requests, inTime, late int
	// timeouts counts the requests that were dispatched and did not end by their
	// deadline, and rejected counts the others without an answer. heldTooLong counts the
	// rejected requests that waited, since their caller last sent them, for more than
	// three quarters of the time to their deadline or to the caller's abandonment.
	timeouts, rejected, heldTooLong int
	// rejectedLate counts the requests that were rejected after their objective had passed.
	rejectedLate    int
	earned, offered float64
	// largestRequests and largestAnswered count the largest tenth of the requests, and
	// the answered ones among them.
	largestRequests, largestAnswered int
}

func (t *tally) answered() float64 { return float64(t.inTime+t.late) / float64(t.requests) }

// tallies counts the outcomes by kind of request, and over all.
func (s *sim) tallies() (all tally, kinds map[string]*tally) {
	kinds = make(map[string]*tally)
	sizes := make(map[string][]float64)
	for _, r := range s.requests {
		sizes[r.class.name] = append(sizes[r.class.name], r.size)
	}
	means := s.meanSizes()
	for _, v := range sizes {
		slices.Sort(v)
	}
	for _, r := range s.requests {
		k := kinds[r.class.name]
		if k == nil {
			k = &tally{}
			kinds[r.class.name] = k
		}
		v := sizes[r.class.name]
		s.count(k, r, means[r.class.name], r.size >= v[len(v)*9/10])
		s.count(&all, r, means[r.class.name], false)
	}
	return all, kinds
}

func (s *sim) count(t *tally, r *simRequest, mean float64, large bool) {
	worth := worthOf(r, mean)
	t.requests++
	t.offered += worth
	answered := r.done > 0 && !r.timedOut
	switch {
	case answered && r.first-r.firstRequestedAt <= r.class.objective:
		t.inTime++
		t.earned += worth
	case answered:
		t.late++
		t.earned += worth * r.class.late / r.class.worth
	case r.timedOut:
		t.timeouts++
	default:
		t.rejected++
		if r.rejected-r.requestedAt > min(r.deadlineAt-r.requestedAt, r.class.abandon)*3/4 {
			t.heldTooLong++
		}
		if r.rejected-r.requestedAt > r.class.objective {
			t.rejectedLate++
		}
	}
	if large {
		t.largestRequests++
		if answered {
			t.largestAnswered++
		}
	}
}

// worthBound returns the share of the worth that no order and no placement can
// exceed: all requests are known beforehand, every answer is in time, and the
// engines' time is allotted without gaps, first to the requests that are worth most
// for their time. An engine either processes a prompt or generates, at most for as
// many requests as it has slots, so that a request takes its prompt's time and its
// output's divided by the slots. Engines run until the last deadline; the load lasts
// longer here than in the simulations, so that the time after its end counts little.
func worthBound(l simLoad) float64 {
	l.seconds *= 30
	s := newSim(New(Config{}, Fastest{}, ByWorth{}), l)
	left := 0.0
	last := swclock.Millis(0)
	for _, r := range s.requests {
		last = max(last, r.deadlineAt)
	}
	for _, e := range s.engineList {
		left += float64(last) / e.slowdown
	}
	type item struct{ worth, work float64 }
	var items []item
	offered := 0.0
	means := s.meanSizes()
	for _, r := range s.requests {
		worth := worthOf(r, means[r.class.name])
		offered += worth
		slots := float64(s.engineList[0].slots)
		items = append(items, item{worth, float64(r.grantRequest.PromptTokens)*simPrefill + (simOverhead+r.outputTokens*simDecode)/slots})
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(b.worth/b.work, a.worth/a.work) })
	earned := 0.0
	for _, i := range items {
		share := min(1, left/i.work)
		earned += share * i.worth
		left -= share * i.work
	}
	return earned / offered
}

// worthOf returns what an answer to r in time is worth.
func worthOf(r *simRequest, meanSize float64) float64 {
	return min(baseWeight+(1-baseWeight)*r.size/meanSize, maxWeight) * r.class.worth
}

// meanSizes returns the mean size of the requests of each kind.
func (s *sim) meanSizes() map[string]float64 {
	sums, counts := make(map[string]float64), make(map[string]float64)
	for _, r := range s.requests {
		sums[r.class.name] += r.size
		counts[r.class.name]++
	}
	for name := range sums {
		sums[name] /= counts[name]
	}
	return sums
}

func runLoad(c core, l simLoad) (all tally, kinds map[string]*tally) {
	s := newSim(c, l)
	s.run(l)
	return s.tallies()
}

var (
	calm     = simLoad{name: "calm", factor: 0.5, seconds: 20}
	full     = simLoad{name: "at capacity", factor: 1, seconds: 20}
	overload = simLoad{name: "half above capacity", factor: 1.5, seconds: 20}
	burst    = simLoad{name: "a burst to twice the capacity", factor: 0.9, seconds: 20, burst: 2.2}
)

// TestLoads simulates loads and checks the outcomes for callers. It compares their
// worth with two baselines on the same arrivals, which grant in order of arrival: a
// random target, and the one with the fewest outstanding requests.
func TestLoads(t *testing.T) {
	for _, l := range []simLoad{calm, full, overload, burst} {
		t.Run(l.name, func(t *testing.T) {
			all, kinds := runLoad(New(Config{}, Fastest{}, ByWorth{}), l)
			random, _ := runLoad(New(Config{}, Random{}, ByArrival{}), l)
			least, _ := runLoad(New(Config{}, LeastOutstanding{}, ByArrival{}), l)
			share := func(t tally) float64 { return t.earned / t.offered }
			t.Logf("worth %.3f, random %.3f, least outstanding %.3f, upper bound %.3f", share(all), share(random), share(least), worthBound(l))
			for name, k := range kinds {
				t.Logf("%s: %d requests, in time %d, late %d, timed out %d, rejected %d (%d after their objective, %d after three quarters of their time), answered of the largest tenth %d of %d",
					name, k.requests, k.inTime, k.late, k.timeouts, k.rejected, k.rejectedLate, k.heldTooLong, k.largestAnswered, k.largestRequests)
			}
			if share(all) < max(share(random), share(least)) {
				t.Error("the answers are worth less than those of a baseline")
			}
			for name, k := range kinds {
				if k.answered() < all.answered()/4 {
					t.Errorf("class %s: answered share %.2f, over all classes %.2f", name, k.answered(), all.answered())
				}
				if large := float64(k.largestAnswered) / float64(k.largestRequests); large < k.answered()/2 {
					t.Errorf("class %s: answered share of the largest tenth %.2f, of the whole class %.2f", name, large, k.answered())
				}
			}
			if l.name == calm.name && all.rejected+all.timeouts > 0 {
				t.Errorf("%d requests were rejected and %d timed out below capacity", all.rejected, all.timeouts)
			}
			// Rejections reach callers early enough for a retry to be in time.
			if most := all.rejected / 10; all.rejectedLate > most {
				t.Errorf("%d of %d rejected requests were rejected after their objective, want at most %d", all.rejectedLate, all.rejected, most)
			}
			if most := all.requests / 100; all.heldTooLong > most {
				t.Errorf("%d requests were rejected after three quarters of their time, want at most %d", all.heldTooLong, most)
			}
		})
	}
}

// newResumableSim returns a simulation of a service whose streams are all of one software version.
func newResumableSim(l simLoad) *sim {
	register := sworigin.NewRegister(100)
	register.SetServing(map[swid.ServiceID][]sworigin.Origin{simOrigin.Service: {simOrigin}}, 0)
	s := newSim(New(Config{Service: simOrigin.Service, Origins: register}, Fastest{}, ByWorth{}), l)
	s.run(l)
	return s
}

// TestContinuationsGoOnInBurst guards against streams that are taken up after a crash in a burst, and are rejected while new ones begin.
func TestContinuationsGoOnInBurst(t *testing.T) {
	for _, scale := range []int{1, 9, 20} {
		t.Run(fmt.Sprint(scale*len(slowdowns), " engines"), func(t *testing.T) {
			s := newResumableSim(simLoad{
				factor: 0.9, seconds: 30, burst: 2.2, scale: scale, crashes: []swclock.Millis{12 * swclock.Second, 16 * swclock.Second},
			})
			var requests, begun, takenUp, wentOn int
			for _, r := range s.requests {
				if !r.class.resumable {
					continue
				}
				requests++
				if r.begun {
					begun++
				}
				if r.takenUp {
					takenUp++
				}
				if r.wentOn {
					wentOn++
				}
			}
			t.Logf("%d of %d new streams begun, %d of %d that were taken up went on", begun, requests, wentOn, takenUp)
			if takenUp < 12 || wentOn*requests < begun*takenUp {
				t.Errorf("%d of %d streams that were taken up went on, %d of %d new ones begun: want no smaller share of 12 or more",
					wentOn, takenUp, begun, requests)
			}
		})
	}
}

// TestContinuationsLeaveRoom guards against new requests of the highest tier that are served less often than streams of a lower one
// that are taken up without end.
func TestContinuationsLeaveRoom(t *testing.T) {
	// The users' rules allow a more urgent kind to be served less often by this.
	const allowed = 0.05
	for _, takenUp := range []float64{2, 5, 10, 20} {
		for _, factor := range []float64{0.6, 1} {
			t.Run(fmt.Sprintf("load %v, streams taken up %v times as often", factor, takenUp), func(t *testing.T) {
				s := newResumableSim(simLoad{factor: factor, seconds: 20, takenUp: takenUp})
				_, kinds := s.tallies()
				letters, nudges := kinds["letter"].answered(), kinds["nudge"].answered()
				t.Logf("%.2f of the new requests of the highest tier answered, %.2f of the streams that are taken up", letters, nudges)
				if letters < nudges-allowed {
					t.Errorf("%.2f of the new requests of the highest tier answered, %.2f of the streams that are taken up", letters, nudges)
				}
			})
		}
	}
}
