package swcell

import (
	"fmt"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// source makes the choices of a random run.
type source interface{ intn(n int) int }

// asking is what a model holder knows of one request.
type asking struct {
	ask     Ask
	waiting bool
	// target is where the request runs, or empty.
	target    swid.TargetID
	preempted bool
	gone      bool
	// used holds every target that was granted.
	used []swid.TargetID
}

// model drives a cell with random events and checks every action.
type model struct {
	cell    *Cell
	source  source
	now     swclock.Millis
	targets []Target
	// down holds the targets that were reported unreachable.
	down map[swid.TargetID]bool
	asks []*asking
	byID map[Key]*asking
	// closed is until when no lower tier may be granted, by tier that shed.
	closed  [3]swclock.Millis
	grants  int
	giveUps int
	failure string
}

const modelTiers = 3

func newModel(s source) *model {
	m := &model{source: s, down: make(map[swid.TargetID]bool), byID: make(map[Key]*asking)}
	m.cell = New(Config{Tiers: modelTiers, HistorySize: 1 << 12}, WithViolationHook(func(v Violation) {
		m.failf("violation: %+v", v)
	}))
	for i := range 1 + s.intn(4) {
		m.targets = append(m.targets, Target{
			ID: swid.TargetID(fmt.Sprint("t", i)), Generation: "g", State: TargetActive, Slots: 1 + s.intn(3),
			KVTokens: swid.Tokens(s.intn(2) * 3000), PrefillRate: 4000, DecodeRate: 50,
		})
	}
	m.step(Configure{Targets: m.targets})
	return m
}

func (m *model) failf(format string, args ...any) {
	if m.failure == "" {
		m.failure = fmt.Sprintf(format, args...)
	}
}

func (m *model) run(steps int) {
	for i := 0; i < steps && m.failure == ""; i++ {
		m.act()
	}
	// Past every deadline and bound nothing may be left.
	for end := m.now + 3*swclock.Minute; m.now < end && m.failure == ""; {
		m.now += 500
		m.step(Tick{})
	}
	for _, a := range m.asks {
		if a.waiting {
			m.failf("%v attempt %d neither granted nor given up", a.ask.Key, a.ask.Attempt)
		}
	}
	if s := m.cell.Snapshot(); len(m.cell.waiting) > 0 {
		m.failf("%d requests left waiting: %+v", len(m.cell.waiting), s)
	}
}

func (m *model) act() {
	m.now += swclock.Millis(m.source.intn(40) * m.source.intn(40))
	switch m.source.intn(16) {
	case 0, 1, 2, 3, 4:
		m.askNew()
	case 5, 6:
		m.finish(true)
	case 7:
		m.finish(false)
	case 8:
		m.repeat()
	case 9:
		m.withdraw()
	case 10:
		m.reconfigure()
	case 11:
		m.reports()
	case 12:
		m.inFlight()
	case 13:
		m.holderGone()
	case 14:
		m.askAgain()
	default:
		m.step(Tick{})
	}
}

func (m *model) newAsk() *asking {
	n := len(m.asks) + 1
	a := &asking{ask: Ask{
		Key:     Key{Holder: swid.HostID(fmt.Sprint("h", m.source.intn(2))), Incarnation: 1, Seq: swid.Seq(n)},
		Attempt: 1, Tier: swid.Tier(m.source.intn(modelTiers)), Org: swid.OrgID(fmt.Sprint("o", m.source.intn(3))),
		Deadline:     m.now + swclock.Millis(m.source.intn(20000)),
		PromptTokens: swid.Tokens(1 + m.source.intn(2000)), OutputTokens: swid.Tokens(m.source.intn(200)),
		Prefix:      []swid.PrefixHash{1, swid.PrefixHash(m.source.intn(4))},
		Fingerprint: swid.Fingerprint(m.source.intn(40)), NonIdempotent: m.source.intn(4) == 0,
	}}
	m.asks = append(m.asks, a)
	m.byID[a.ask.Key] = a
	return a
}

func (m *model) askNew() {
	a := m.newAsk()
	a.waiting = true
	m.step(a.ask)
}

// pick returns any request for which ok holds, or nil.
func (m *model) pick(ok func(*asking) bool) *asking {
	if len(m.asks) == 0 {
		return nil
	}
	first := m.source.intn(len(m.asks))
	for i := range m.asks {
		if a := m.asks[(first+i)%len(m.asks)]; ok(a) {
			return a
		}
	}
	return nil
}

func running(a *asking) bool { return a.target != "" && !a.gone }

func (m *model) finish(answered bool) {
	a := m.pick(running)
	if a == nil {
		return
	}
	results := []Result{ResultNotStarted, ResultBroken, ResultCancelled, ResultRejected}
	e := Done{
		Key: a.ask.Key, Attempt: a.ask.Attempt, Target: a.target, Result: ResultAnswered,
		PromptTokens: a.ask.PromptTokens, OutputTokens: a.ask.OutputTokens / 2,
		FirstToken: swclock.Millis(m.source.intn(3000)), Total: 4000,
	}
	if !answered {
		e.Result = results[m.source.intn(len(results))]
	}
	a.target = ""
	m.step(e)
	m.step(e)
}

// askAgain asks for the next attempt of a request that is not running.
func (m *model) askAgain() {
	a := m.pick(func(a *asking) bool { return a.target == "" && !a.waiting && !a.gone })
	if a == nil {
		return
	}
	a.ask.Attempt++
	a.ask.Exclude = slices.Clone(a.used)
	a.waiting, a.preempted = true, false
	m.step(a.ask)
}

// repeat sends an ask a second time.
func (m *model) repeat() {
	a := m.pick(func(a *asking) bool { return !a.gone && (a.waiting || a.target != "") })
	if a != nil {
		m.step(a.ask)
	}
}

func (m *model) withdraw() {
	a := m.pick(func(a *asking) bool { return !a.gone && (a.waiting || a.target != "") })
	if a == nil {
		return
	}
	a.waiting, a.target = false, ""
	m.step(Withdraw{Key: a.ask.Key, Attempt: a.ask.Attempt})
}

func (m *model) reconfigure() {
	t := &m.targets[m.source.intn(len(m.targets))]
	if m.source.intn(2) == 0 {
		m.down[t.ID] = !m.down[t.ID]
		m.step(TargetSeen{Target: t.ID, Reachable: !m.down[t.ID]})
		return
	}
	t.State = TargetActive + TargetState(m.source.intn(3))
	m.step(Configure{Targets: m.targets})
}

func (m *model) reports() {
	t := m.targets[m.source.intn(len(m.targets))]
	m.step(LoadReport{Target: t.ID, Running: m.source.intn(4), Waiting: m.source.intn(2), Age: 300})
	m.step(CacheReport{Target: t.ID, Added: []swid.PrefixHash{1, 2}, Removed: []swid.PrefixHash{3}, Gap: m.source.intn(2) == 0})
	if a := m.pick(running); a != nil {
		m.step(Progress{Key: a.ask.Key, Attempt: a.ask.Attempt, Produced: swid.Tokens(m.source.intn(200))})
	}
	m.step(Done{Key: key(1 << 20), Attempt: 1, Target: t.ID, Result: ResultAnswered})
}

func (m *model) inFlight() {
	a := m.newAsk()
	a.target = m.targets[m.source.intn(len(m.targets))].ID
	a.used = append(a.used, a.target)
	e := InFlight{Ask: a.ask, Target: a.target, Elapsed: 100}
	m.step(e)
	m.step(e)
}

func (m *model) holderGone() {
	gone := HolderGone{Holder: "h1", Incarnation: 1}
	if m.source.intn(4) > 0 {
		return
	}
	for _, a := range m.asks {
		if a.ask.Key.Holder == gone.Holder {
			a.waiting, a.gone = false, true
		}
	}
	m.step(gone)
}

func (m *model) step(e Event) {
	repeated, _ := e.(Ask)
	for _, action := range m.cell.Step(m.now, e, nil) {
		switch action := action.(type) {
		case Grant:
			m.checkGrant(action, repeated)
		case GiveUp:
			m.checkGiveUp(action)
		case Preempt:
			m.checkPreempt(action)
		}
	}
	m.checkSlots()
}

func (m *model) checkGrant(g Grant, e Ask) {
	a := m.byID[g.Key]
	if a.target == g.Target && e.Key == g.Key && e.Attempt == g.Attempt {
		return // the same grant for a repeated ask
	}
	m.grants++
	if !a.waiting || a.ask.Attempt != g.Attempt {
		m.failf("%+v without an open ask", g)
	}
	if slices.Contains(a.used, g.Target) {
		m.failf("%+v for the second time", g)
	}
	i := slices.IndexFunc(m.targets, func(t Target) bool { return t.ID == g.Target })
	if m.targets[i].State != TargetActive || m.down[g.Target] {
		m.failf("%+v on a target that takes no new work", g)
	}
	for tier := range a.ask.Tier {
		if m.closed[tier] > m.now {
			m.failf("%+v of tier %d after a shed of tier %d", g, a.ask.Tier, tier)
		}
	}
	others := 0
	for _, o := range m.asks {
		if running(o) && o.target == g.Target {
			others++
		}
	}
	if others >= m.targets[i].Slots {
		m.failf("%+v beside %d others on %d slots", g, others, m.targets[i].Slots)
	}
	a.waiting, a.target = false, g.Target
	a.used = append(a.used, g.Target)
}

func (m *model) checkGiveUp(g GiveUp) {
	a := m.byID[g.Key]
	m.giveUps++
	if !a.waiting || a.ask.Attempt != g.Attempt {
		m.failf("%+v without an open ask", g)
	}
	a.waiting = false
	if g.Reason != ReasonOverload {
		return
	}
	m.closed[a.ask.Tier] = max(m.closed[a.ask.Tier], min(a.ask.Deadline, m.now+g.RetryAfter))
	for _, o := range m.asks {
		switch {
		case o.ask.Tier <= a.ask.Tier || o.gone:
		case o.waiting:
			m.failf("%+v of tier %d while tier %d waits", g, a.ask.Tier, o.ask.Tier)
		case o.target != "" && !o.preempted && !o.ask.NonIdempotent && m.cell.byID[o.target].active():
			m.failf("%+v of tier %d while tier %d runs", g, a.ask.Tier, o.ask.Tier)
		}
	}
}

func (m *model) checkPreempt(p Preempt) {
	a := m.byID[p.Key]
	if a.target != p.Target || a.preempted || a.ask.NonIdempotent || a.gone {
		m.failf("%+v of %+v", p, a)
	}
	a.preempted = true
}

// checkSlots compares the cell's account with the model's. Runs of dead holders
// end by the cell's own bound, and those past their deadline too.
func (m *model) checkSlots() {
	live := make(map[swid.TargetID]int)
	for _, a := range m.asks {
		if running(a) && m.now <= a.ask.Deadline+swclock.Minute {
			live[a.target]++
		}
	}
	for _, t := range m.cell.targets {
		if n := live[t.conf.ID]; len(t.runs) < n {
			m.failf("%d of %d runs counted on %s", len(t.runs), n, t.conf.ID)
		}
	}
}
