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
)

// core is what the simulation drives.
type core interface {
	Step(now swclock.Millis, e swcell.Event, actions []swcell.Action) []swcell.Action
}

// class is a kind of request, as in the users' tables.
type class struct {
	name               string
	tier               swid.Tier
	perSecond          float64
	prompt, promptSpan float64 // mean, and the deviation of the logarithm
	output, outputSpan float64
	limit              swid.Tokens
	objective          swclock.Millis
	deadline           swclock.Millis
	worth, late        float64
	// abandon is how long callers wait for the first output.
	abandon swclock.Millis
}

var letters = []class{
	{"letter", 0, 16.8, 6610, 1.2, 382, 1.3, 3800, 1000, 15000, 6.6, 2, 4800},
	{"nudge", 1, 15.3, 628, 1, 291, 1.3, 2900, 500, 15000, 1.7, 0.51, 4800},
	{"triage", 2, 21.4, 1800, 1.1, 22, 1.2, 225, 600, 3000, 0.34, 0.1, 4800},
}

// simEngine is a batching engine. Prompts are processed one after the other, and
// stall the output of all that runs beside them.
type simEngine struct {
	id    swid.TargetID
	pace  float64 // times longer than a usual engine
	slots int
	runs  []*simRun
}

// simRun is a request at an engine.
type simRun struct {
	request *simRequest
	// prompt and output are the ms of work left.
	prompt, output float64
	started        swclock.Millis
	first          swclock.Millis
	// told tells that the second report of the output was made.
	told bool
}

// simRequest is a request and what its caller gets.
type simRequest struct {
	class        *class
	ask          swcell.Ask
	size         float64
	outputTokens float64
	arrived      swclock.Millis
	first, done  swclock.Millis
	refused      swclock.Millis
	lost         bool
	tries        int
	// askedAt is when the caller asked last.
	askedAt          swclock.Millis
	firstAsk         swclock.Millis
	deadlineInstants swclock.Millis
}

const (
	simStep     = 5 * swclock.Millis(1)
	simPrefill  = 0.0185
	simDecode   = 4.6
	simOverhead = 25.0
	// simReported is the output after which holders report for the second time.
	simReported = 32
)

// step lets an engine work for a step and returns the runs that ended.
func (e *simEngine) step(now swclock.Millis) (ended []*simRun) {
	left := float64(simStep) / e.pace
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

// sim is one run of a load.
type sim struct {
	core     core
	engines  map[swid.TargetID]*simEngine
	order    []*simEngine
	requests []*simRequest
	byKey    map[swcell.Key]*simRequest
	runs     map[swcell.Key]*simRun
	now      swclock.Millis
	actions  []swcell.Action
	returns  []*simRequest
}

// simLoad is how much arrives, relative to what the engines can process.
type simLoad struct {
	name    string
	factor  float64
	seconds int
	// burst multiplies the arrivals of the middle third.
	burst float64
}

var paces = []float64{0.55, 1, 2.8, 0.55, 1, 2.8, 0.55, 1, 2.8}

func newSim(c core, l simLoad) *sim {
	s := &sim{
		core: c, engines: make(map[swid.TargetID]*simEngine), byKey: make(map[swcell.Key]*simRequest),
		runs: make(map[swcell.Key]*simRun),
	}
	var conf swcell.Configure
	for i, pace := range paces {
		e := &simEngine{id: swid.TargetID(fmt.Sprint("e", i)), pace: pace, slots: 10}
		s.engines[e.id], s.order = e, append(s.order, e)
		conf.Targets = append(conf.Targets, swcell.Target{ID: e.id, State: swcell.TargetActive, Slots: e.slots, KVTokens: 672558})
	}
	s.step(conf)
	s.draw(l)
	return s
}

// draw draws the arrivals of a load; equal loads have equal arrivals.
func (s *sim) draw(l simLoad) {
	random := rand.New(rand.NewPCG(11, 7))
	lognormal := func(mean, span float64) float64 { return mean * math.Exp(span*random.NormFloat64()-span*span/2) }
	for i := range letters {
		c := &letters[i]
		for at := 0.0; ; {
			rate := c.perSecond * l.factor
			third := float64(l.seconds) * 1000 / 3
			if l.burst > 0 && at > third && at < 2*third {
				rate *= l.burst
			}
			at += random.ExpFloat64() * 1000 / rate
			if at > float64(l.seconds)*1000 {
				break
			}
			r := &simRequest{class: c, arrived: swclock.Millis(at), outputTokens: min(max(lognormal(c.output, c.outputSpan), 1), float64(c.limit))}
			prompt := min(max(lognormal(c.prompt, c.promptSpan), 50), 54000)
			r.size = prompt + outputWeight*r.outputTokens
			r.ask = swcell.Ask{
				Tier: c.tier, Org: "o", PromptTokens: swid.Tokens(prompt), OutputTokens: c.limit,
				ExpectedTokens: swid.Tokens(max(lognormal(r.outputTokens, 0.5)*1.13, 1)),
			}
			s.requests = append(s.requests, r)
		}
	}
	slices.SortStableFunc(s.requests, func(a, b *simRequest) int { return cmp.Compare(a.arrived, b.arrived) })
	for i, r := range s.requests {
		r.ask.Key = swcell.Key{Holder: "h", Incarnation: 1, Seq: swid.Seq(i + 1)}
		r.ask.Fingerprint = swid.Fingerprint(i + 1)
		r.deadlineInstants = r.arrived + r.class.deadline
	}
}

func (s *sim) step(e swcell.Event) {
	s.actions = s.core.Step(s.now, e, nil)
	for _, a := range s.actions {
		switch a := a.(type) {
		case swcell.Grant:
			s.granted(a)
		case swcell.GiveUp:
			s.givenUp(a)
		}
	}
}

func (s *sim) granted(g swcell.Grant) {
	r, e := s.byKey[g.Key], s.engines[g.Target]
	run := &simRun{
		request: r, started: s.now,
		prompt: simOverhead + float64(r.ask.PromptTokens)*simPrefill, output: r.outputTokens * simDecode,
	}
	s.runs[g.Key] = run
	e.runs = append(e.runs, run)
}

// givenUp has the caller come back once, as it was told.
func (s *sim) givenUp(g swcell.GiveUp) {
	r := s.byKey[g.Key]
	r.refused = s.now
	r.tries++
	if left := r.deadlineInstants - s.now; r.tries == 1 {
		r.arrived = s.now + min(g.RetryAfter, left/3)
		s.returns = append(s.returns, r)
	}
}

func (s *sim) ask(r *simRequest) {
	if r.firstAsk == 0 {
		r.firstAsk = max(s.now, 1)
	}
	r.askedAt = s.now
	a := r.ask
	a.Key.Seq += swid.Seq(r.tries * 1_000_000)
	a.Attempt = 1
	a.Deadline = r.deadlineInstants
	a.Objective = s.now + r.class.objective
	a.Abandon = s.now + r.class.abandon
	s.byKey[a.Key] = r
	s.step(a)
}

// run plays the load to its end.
func (s *sim) run(l simLoad) {
	next := 0
	for s.now = 0; s.now < swclock.Millis(l.seconds+20)*swclock.Second; s.now += simStep {
		for ; next < len(s.requests) && s.requests[next].arrived <= s.now; next++ {
			s.ask(s.requests[next])
		}
		for _, r := range slices.Clone(s.returns) {
			if r.arrived <= s.now {
				s.returns = slices.DeleteFunc(s.returns, func(o *simRequest) bool { return o == r })
				s.ask(r)
			}
		}
		for _, e := range s.order {
			s.advance(e)
		}
		if s.now%reviewInterval == 0 {
			s.step(swcell.Tick{})
		}
	}
}

func (s *sim) advance(e *simEngine) {
	runs := slices.Clone(e.runs)
	begun := make([]bool, len(runs))
	for i, r := range runs {
		begun[i] = r.first > 0
	}
	ended := e.step(s.now)
	for i, r := range runs {
		if !begun[i] && r.first > 0 {
			s.step(swcell.Progress{Key: s.keyOf(r), Attempt: 1, Produced: 5})
		}
		if done := r.request.outputTokens - r.output/simDecode; !r.told && r.first > 0 && done >= simReported {
			r.told = true
			s.step(swcell.Progress{Key: s.keyOf(r), Attempt: 1, Produced: swid.Tokens(done)})
		}
	}
	for _, r := range ended {
		r.request.first, r.request.done = r.first, s.now
		s.step(swcell.Done{
			Key: s.keyOf(r), Attempt: 1, Target: e.id, Result: swcell.ResultAnswered,
			PromptTokens: r.request.ask.PromptTokens, OutputTokens: swid.Tokens(r.request.outputTokens),
			FirstToken: max(r.first-r.started, 1), Total: max(s.now-r.started, 2),
		})
	}
	for _, r := range slices.Clone(e.runs) {
		if s.now > r.request.deadlineInstants {
			e.runs = slices.DeleteFunc(e.runs, func(o *simRun) bool { return o == r })
			r.request.lost = true
			s.step(swcell.Done{Key: s.keyOf(r), Attempt: 1, Target: e.id, Result: swcell.ResultCancelled})
		}
	}
}

func (s *sim) keyOf(run *simRun) swcell.Key {
	for k, r := range s.runs {
		if r == run {
			return k
		}
	}
	return swcell.Key{}
}

// tally is what the callers of one kind of request got.
type tally struct {
	asked, inTime, late int
	// cut counts those that were dispatched and did not end in time, refused the
	// others without an answer, and held those of them that were told after three
	// quarters of the time that they had when they asked last.
	cut, refused, held int
	// overdue are those of the refused that were told after their objective had passed.
	overdue      int
	earned, owed float64
	// largest counts the largest tenth: asked for, and answered.
	largestAsked, largestAnswered int
}

func (t *tally) answered() float64 { return float64(t.inTime+t.late) / float64(t.asked) }

// tallies sums up a run by kind of request, and over all.
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
	t.asked++
	t.owed += worth
	answered := r.done > 0 && !r.lost
	switch {
	case answered && r.first-r.firstAsk <= r.class.objective:
		t.inTime++
		t.earned += worth
	case answered:
		t.late++
		t.earned += worth * r.class.late / r.class.worth
	case r.lost:
		t.cut++
	default:
		t.refused++
		if r.refused-r.askedAt > min(r.deadlineInstants-r.askedAt, r.class.abandon)*3/4 {
			t.held++
		}
		if r.refused-r.askedAt > r.class.objective {
			t.overdue++
		}
	}
	if large {
		t.largestAsked++
		if answered {
			t.largestAnswered++
		}
	}
}

// bound returns the share of the worth that no order and no placement can
// exceed: all requests are known beforehand, every answer is in time, and the
// engines' time is dealt out without a gap, to what is worth most for its time
// first. An engine either processes a prompt or generates, at most for as many
// requests as it has places, so that a request takes its prompt's time and its
// output's divided by the places. Engines go on until the last deadline; the
// load lasts longer here than in the runs, so that this time counts little.
func bound(l simLoad) float64 {
	l.seconds *= 30
	s := newSim(New(Config{}, Fastest{}, ByWorth{}), l)
	left := 0.0
	last := swclock.Millis(0)
	for _, r := range s.requests {
		last = max(last, r.deadlineInstants)
	}
	for _, e := range s.order {
		left += float64(last) / e.pace
	}
	type item struct{ worth, work float64 }
	var items []item
	owed := 0.0
	means := s.meanSizes()
	for _, r := range s.requests {
		worth := worthOf(r, means[r.class.name])
		owed += worth
		places := float64(s.order[0].slots)
		items = append(items, item{worth, float64(r.ask.PromptTokens)*simPrefill + (simOverhead+r.outputTokens*simDecode)/places})
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(b.worth/b.work, a.worth/a.work) })
	earned := 0.0
	for _, i := range items {
		share := min(1, left/i.work)
		earned += share * i.worth
		left -= share * i.work
	}
	return earned / owed
}

// worthOf returns what an answer in time is worth.
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

func playLoad(c core, l simLoad) (all tally, kinds map[string]*tally) {
	s := newSim(c, l)
	s.run(l)
	return s.tallies()
}

var (
	calm     = simLoad{"calm", 0.5, 20, 0}
	full     = simLoad{"at capacity", 1, 20, 0}
	overload = simLoad{"half above capacity", 1.5, 20, 0}
	burst    = simLoad{"a burst to twice the capacity", 0.9, 20, 2.2}
)

// TestLoads plays loads and checks what callers get, beside baselines on the
// same arrivals: any target and the least outstanding, in order of arrival.
func TestLoads(t *testing.T) {
	for _, l := range []simLoad{calm, full, overload, burst} {
		t.Run(l.name, func(t *testing.T) {
			all, kinds := playLoad(New(Config{}, Fastest{}, ByWorth{}), l)
			random, _ := playLoad(New(Config{}, Random{}, ByArrival{}), l)
			least, _ := playLoad(New(Config{}, LeastOutstanding{}, ByArrival{}), l)
			share := func(t tally) float64 { return t.earned / t.owed }
			t.Logf("worth %.3f, random %.3f, least outstanding %.3f, bound %.3f", share(all), share(random), share(least), bound(l))
			for name, k := range kinds {
				t.Logf("%s: asked %d, in time %d, late %d, cut %d, refused %d (%d after their objective, %d held), of the largest tenth %d of %d",
					name, k.asked, k.inTime, k.late, k.cut, k.refused, k.overdue, k.held, k.largestAnswered, k.largestAsked)
			}
			if share(all) < max(share(random), share(least)) {
				t.Error("callers get less than from a baseline")
			}
			for name, k := range kinds {
				if k.answered() < all.answered()/4 {
					t.Errorf("%s is answered for %.2f, all for %.2f", name, k.answered(), all.answered())
				}
				if large := float64(k.largestAnswered) / float64(k.largestAsked); large < k.answered()/2 {
					t.Errorf("the largest tenth of %s is answered for %.2f, all of it for %.2f", name, large, k.answered())
				}
			}
			if l == calm && all.refused+all.cut > 0 {
				t.Errorf("%d refused and %d cut below capacity", all.refused, all.cut)
			}
			// Who is refused is told while another try can still be in time.
			if most := all.refused / 10; all.overdue > most {
				t.Errorf("%d of %d refused were told after their objective, at most %d are allowed", all.overdue, all.refused, most)
			}
			if most := all.asked / 100; all.held > most {
				t.Errorf("%d requests were refused after three quarters of their time, at most %d are allowed", all.held, most)
			}
		})
	}
}
