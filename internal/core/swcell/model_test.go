package swcell

import (
	"fmt"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// choiceSource makes the random choices of a model; intn returns one in [0, n).
type choiceSource interface{ intn(n int) int }

// modelRequest is the model holder's state of one request.
type modelRequest struct {
	grantRequest GrantRequest
	waiting      bool
	// target is where the request runs, or empty.
	target     swid.TargetID
	preempted  bool
	holderDied bool
	// used holds every target that was granted.
	used []swid.TargetID
}

// model drives a cell with random events and checks every action.
type model struct {
	cell    *Cell
	source  choiceSource
	now     swclock.Millis
	targets []Target
	// down holds the targets that were reported unreachable.
	down     map[swid.TargetID]bool
	requests []*modelRequest
	byID     map[Key]*modelRequest
	// closedUntil is the time until which no lower tier may be granted, by the tier
	// that shed a request.
	closedUntil [3]swclock.Millis
	grants      int
	rejections  int
	failure     string
}

const modelTiers = 3

func newModel(s choiceSource) *model {
	m := &model{source: s, down: make(map[swid.TargetID]bool), byID: make(map[Key]*modelRequest)}
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
		m.randomStep()
	}
	// When all deadlines and timeouts have passed, no request may still wait.
	for end := m.now + 3*swclock.Minute; m.now < end && m.failure == ""; {
		m.now += 500
		m.step(Tick{})
	}
	for _, a := range m.requests {
		if a.waiting {
			m.failf("%v attempt %d neither granted nor rejected", a.grantRequest.Key, a.grantRequest.Attempt)
		}
	}
	if s := m.cell.Snapshot(); len(m.cell.waiting) > 0 {
		m.failf("%d requests left waiting: %+v", len(m.cell.waiting), s)
	}
}

func (m *model) randomStep() {
	m.now += swclock.Millis(m.source.intn(40) * m.source.intn(40))
	switch m.source.intn(16) {
	case 0, 1, 2, 3, 4:
		m.requestNew()
	case 5, 6:
		m.finish(true)
	case 7:
		m.finish(false)
	case 8:
		m.repeatRequest()
	case 9:
		m.withdraw()
	case 10:
		m.reconfigure()
	case 11:
		m.sendReports()
	case 12:
		m.inFlight()
	case 13:
		m.killHolder()
	case 14:
		m.requestNextAttempt()
	default:
		m.step(Tick{})
	}
}

func (m *model) newRequest() *modelRequest {
	n := len(m.requests) + 1
	a := &modelRequest{grantRequest: GrantRequest{
		Key:     Key{Holder: swid.HostID(fmt.Sprint("h", m.source.intn(2))), Incarnation: 1, Seq: swid.Seq(n)},
		Attempt: 1, Tier: swid.Tier(m.source.intn(modelTiers)), Org: swid.OrgID(fmt.Sprint("o", m.source.intn(3))),
		Deadline:     m.now + swclock.Millis(m.source.intn(20000)),
		PromptTokens: swid.Tokens(1 + m.source.intn(2000)), OutputTokens: swid.Tokens(m.source.intn(200)),
		Prefix:      []swid.PrefixHash{1, swid.PrefixHash(m.source.intn(4))},
		Fingerprint: swid.Fingerprint(m.source.intn(40)), NonIdempotent: m.source.intn(4) == 0,
	}}
	m.requests = append(m.requests, a)
	m.byID[a.grantRequest.Key] = a
	return a
}

func (m *model) requestNew() {
	a := m.newRequest()
	a.waiting = true
	m.step(a.grantRequest)
}

// pick returns a request for which ok returns true, or nil if there is none.
func (m *model) pick(ok func(*modelRequest) bool) *modelRequest {
	if len(m.requests) == 0 {
		return nil
	}
	first := m.source.intn(len(m.requests))
	for i := range m.requests {
		if a := m.requests[(first+i)%len(m.requests)]; ok(a) {
			return a
		}
	}
	return nil
}

func running(a *modelRequest) bool { return a.target != "" && !a.holderDied }

func (m *model) finish(answered bool) {
	a := m.pick(running)
	if a == nil {
		return
	}
	results := []Result{ResultNotStarted, ResultBroken, ResultCancelled, ResultRejected}
	e := Done{
		Key: a.grantRequest.Key, Attempt: a.grantRequest.Attempt, Target: a.target, Result: ResultAnswered,
		PromptTokens: a.grantRequest.PromptTokens, OutputTokens: a.grantRequest.OutputTokens / 2,
		FirstToken: swclock.Millis(m.source.intn(3000)), Total: 4000,
	}
	if !answered {
		e.Result = results[m.source.intn(len(results))]
	}
	a.target = ""
	m.step(e)
	m.step(e)
}

// requestNextAttempt sends a grant request for the next attempt of a request that
// neither waits nor runs.
func (m *model) requestNextAttempt() {
	a := m.pick(func(a *modelRequest) bool { return a.target == "" && !a.waiting && !a.holderDied })
	if a == nil {
		return
	}
	a.grantRequest.Attempt++
	a.grantRequest.Exclude = slices.Clone(a.used)
	a.waiting, a.preempted = true, false
	m.step(a.grantRequest)
}

// repeatRequest sends a grant request a second time.
func (m *model) repeatRequest() {
	a := m.pick(func(a *modelRequest) bool { return !a.holderDied && (a.waiting || a.target != "") })
	if a != nil {
		m.step(a.grantRequest)
	}
}

func (m *model) withdraw() {
	a := m.pick(func(a *modelRequest) bool { return !a.holderDied && (a.waiting || a.target != "") })
	if a == nil {
		return
	}
	a.waiting, a.target = false, ""
	m.step(Withdraw{Key: a.grantRequest.Key, Attempt: a.grantRequest.Attempt})
}

func (m *model) reconfigure() {
	t := &m.targets[m.source.intn(len(m.targets))]
	if m.source.intn(2) == 0 {
		m.down[t.ID] = !m.down[t.ID]
		m.step(TargetReachability{Target: t.ID, Reachable: !m.down[t.ID]})
		return
	}
	t.State = TargetActive + TargetState(m.source.intn(3))
	m.step(Configure{Targets: m.targets})
}

func (m *model) sendReports() {
	t := m.targets[m.source.intn(len(m.targets))]
	m.step(LoadReport{Target: t.ID, Running: m.source.intn(4), Waiting: m.source.intn(2), Age: 300})
	m.step(CacheReport{Target: t.ID, Added: []swid.PrefixHash{1, 2}, Removed: []swid.PrefixHash{3}, Gap: m.source.intn(2) == 0})
	if a := m.pick(running); a != nil {
		m.step(Progress{Key: a.grantRequest.Key, Attempt: a.grantRequest.Attempt, Produced: swid.Tokens(m.source.intn(200))})
	}
	m.step(Done{Key: key(1 << 20), Attempt: 1, Target: t.ID, Result: ResultAnswered})
}

func (m *model) inFlight() {
	a := m.newRequest()
	a.target = m.targets[m.source.intn(len(m.targets))].ID
	a.used = append(a.used, a.target)
	e := InFlight{GrantRequest: a.grantRequest, Target: a.target, Elapsed: 100}
	m.step(e)
	m.step(e)
}

func (m *model) killHolder() {
	died := HolderDied{Holder: "h1", Incarnation: 1}
	if m.source.intn(4) > 0 {
		return
	}
	for _, a := range m.requests {
		if a.grantRequest.Key.Holder == died.Holder {
			a.waiting, a.holderDied = false, true
		}
	}
	m.step(died)
}

func (m *model) step(e Event) {
	repeated, _ := e.(GrantRequest)
	for _, action := range m.cell.Step(m.now, e, nil) {
		switch action := action.(type) {
		case Grant:
			m.checkGrant(action, repeated)
		case Reject:
			m.checkReject(action)
		case Preempt:
			m.checkPreempt(action)
		}
	}
	m.checkSlots()
}

func (m *model) checkGrant(g Grant, e GrantRequest) {
	a := m.byID[g.Key]
	if a.target == g.Target && e.Key == g.Key && e.Attempt == g.Attempt {
		return // the same grant for a repeated grant request
	}
	m.grants++
	if !a.waiting || a.grantRequest.Attempt != g.Attempt {
		m.failf("%+v without an open grant request", g)
	}
	if slices.Contains(a.used, g.Target) {
		m.failf("%+v for the second time", g)
	}
	i := slices.IndexFunc(m.targets, func(t Target) bool { return t.ID == g.Target })
	if m.targets[i].State != TargetActive || m.down[g.Target] {
		m.failf("%+v on a target that takes no new work", g)
	}
	for tier := range a.grantRequest.Tier {
		if m.closedUntil[tier] > m.now {
			m.failf("%+v of tier %d after a shed of tier %d", g, a.grantRequest.Tier, tier)
		}
	}
	others := 0
	for _, o := range m.requests {
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

func (m *model) checkReject(g Reject) {
	a := m.byID[g.Key]
	m.rejections++
	if !a.waiting || a.grantRequest.Attempt != g.Attempt {
		m.failf("%+v without an open grant request", g)
	}
	a.waiting = false
	if g.Reason != ReasonOverload {
		return
	}
	m.closedUntil[a.grantRequest.Tier] = max(m.closedUntil[a.grantRequest.Tier], min(a.grantRequest.Deadline, m.now+g.RetryAfter))
	for _, o := range m.requests {
		switch {
		case o.grantRequest.Tier <= a.grantRequest.Tier || o.holderDied:
		case o.waiting:
			m.failf("%+v of tier %d while tier %d waits", g, a.grantRequest.Tier, o.grantRequest.Tier)
		case o.target != "" && !o.preempted && !o.grantRequest.NonIdempotent && m.cell.byID[o.target].active():
			m.failf("%+v of tier %d while tier %d runs", g, a.grantRequest.Tier, o.grantRequest.Tier)
		}
	}
}

func (m *model) checkPreempt(p Preempt) {
	a := m.byID[p.Key]
	if a.target != p.Target || a.preempted || a.grantRequest.NonIdempotent || a.holderDied {
		m.failf("%+v of a request that must not be preempted: %+v", p, a)
	}
	a.preempted = true
}

// checkSlots checks that the cell counts at least the runs of the model. The model
// leaves out runs of dead holders and those a minute past their deadline, since the
// cell ends them by itself.
func (m *model) checkSlots() {
	live := make(map[swid.TargetID]int)
	for _, a := range m.requests {
		if running(a) && m.now <= a.grantRequest.Deadline+swclock.Minute {
			live[a.target]++
		}
	}
	for _, t := range m.cell.targets {
		if n := live[t.conf.ID]; len(t.runs) < n {
			m.failf("%d of %d runs counted on %s", len(t.runs), n, t.conf.ID)
		}
	}
}
