package swrolloutkeeper

import (
	"maps"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swrollout"
	"github.com/sassafraswing/sassafraswing/internal/core/swvalue"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
	"github.com/sassafraswing/sassafraswing/internal/store/swwatch"
)

// formerLifetime is how long versions count as former ones of an order that this host found completed: their targets stop at once, and
// are listed for a while. A version that is listed for longer is a later one.
const formerLifetime = 30 * swclock.Second

// carryShare is the share of their former slots with which the versions that may serve are taken to carry the service's load.
const carryShare = 0.6

// reportLifetime is how long a cell's report of its load holds: a cell without work ends and reports no more.
const reportLifetime = 500 * swclock.Millis(1)

// Service runs the roll-outs of one service. It implements swvalue.Rollouts, and its methods are safe for concurrent use.
type Service struct {
	keeper *Keeper
	id     swid.ServiceID

	mu sync.Mutex
	// rollout is nil if there is no order. name and revision are those of its entry.
	rollout  *swrollout.Rollout
	name     string
	revision swwatch.Revision
	era      swobject.Era
	// record is the one that the store had when it was last read or written, in era.
	record swrollout.Record
	// state, moving and verdict are those of the latest step.
	state   swrollout.State
	moving  bool
	verdict swrollout.Verdict
	// logged is the state and moving that were last logged as written.
	logged      swrollout.State
	loggedMoved bool
	// failing is set while writes fail.
	failing bool
	// versions has the versions of the listed targets. abandoned is the version of a former order that was not found sound; it is
	// meaningless unless hasAbandoned is set.
	versions     map[swid.SoftwareVersion]*listedVersion
	abandoned    swid.SoftwareVersion
	hasAbandoned bool
	// unrestricted is set if, at the latest call of Standing, the order's version alone served: requests begin there without exposure.
	unrestricted bool
	// mixed is set if other versions than the order's were listed since it was taken up, or may have been before.
	mixed bool
	// former has the versions from which the completed order has moved the service, while they are listed and until formerUntil
	// in time since boot, unless that is 0.
	former      map[swid.SoftwareVersion]struct{}
	formerUntil swclock.Millis
	load        swrollout.Situation
	loadAt      swclock.Millis
	// reported has the answers that hosts reported before the order was known, the oldest first.
	reported []reportedAnswer
}

// reportedAnswer is an answer that a host reported.
type reportedAnswer struct {
	swrollout.Answer
	at swclock.Millis
}

// maxReported bounds the answers that are kept until the order is known.
const maxReported = 4096

// listedVersion is a software version of listed targets.
type listedVersion struct {
	// listedAt is the time since boot at which the version was first listed, or this host became the owner.
	listedAt swclock.Millis
	// born is the earliest start of its targets.
	born int64
	// active and slots count the targets that take requests, and their slots.
	active, slots int
	// peak is the most slots since a version of the service is withheld, and just before.
	peak int
}

func newService(k *Keeper, id swid.ServiceID) *Service {
	return &Service{keeper: k, id: id, versions: make(map[swid.SoftwareVersion]*listedVersion)}
}

func (s *Service) restart(now swclock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.versions {
		v.listedAt = now
	}
}

func (s *Service) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rollout, s.reported, s.former = nil, nil, nil
	s.hasAbandoned = false
}

func (s *Service) lacksOrders(confirmed swclock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.versions) < 2 {
		return false
	}
	for _, v := range s.versions {
		if v.listedAt > confirmed {
			return true
		}
	}
	return false
}

// setTargets takes the listed targets.
func (s *Service) setTargets(targets []swcatalog.Target, now swclock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	former := s.versions
	s.versions = make(map[swid.SoftwareVersion]*listedVersion)
	for _, t := range targets {
		v := s.versions[t.Version]
		if v == nil {
			v = &listedVersion{listedAt: now, born: t.Born}
			if f := former[t.Version]; f != nil {
				v.listedAt = f.listedAt
			}
			s.versions[t.Version] = v
		}
		v.born = min(v.born, t.Born)
		if !t.Draining {
			v.active++
			v.slots += t.Slots
		}
	}
	for version, v := range s.versions {
		v.peak = v.slots
		if f := former[version]; f != nil && len(s.versions) > 1 {
			v.peak = max(f.peak, v.slots)
		}
	}
	if s.hasAbandoned && s.versions[s.abandoned] == nil {
		s.hasAbandoned = false
	}
	s.mixed = s.mixed || s.listsOthers()
	maps.DeleteFunc(s.former, func(version swid.SoftwareVersion, _ struct{}) bool { return s.versions[version] == nil })
}

// listsOthers reports whether there is an order, and targets of other versions are listed. s.mu must be held.
func (s *Service) listsOthers() bool {
	if s.rollout == nil {
		return false
	}
	for version := range s.versions {
		if version != s.rollout.Order().To {
			return true
		}
	}
	return false
}

// servesAlone reports whether only targets of the order's version take requests, beside versions that get nothing. s.mu must be held and
// there must be an order.
func (s *Service) servesAlone(withheld []swid.SoftwareVersion) bool {
	active := false
	for version, v := range s.versions {
		switch {
		case v.active == 0 || slices.Contains(withheld, version):
		case version == s.rollout.Order().To:
			active = true
		default:
			return false
		}
	}
	return active
}

// take takes an order and its record in the store.
func (s *Service) take(item swwatch.Item[swcatalog.Rollout]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.keeper.config.Clock.Now()
	order, record := item.Value.Order, item.Value.Record
	if s.rollout != nil && s.rollout.Order().ID == order.ID {
		era := s.keeper.config.Era()
		if era == s.era && item.Revision <= s.revision {
			return // read before this host's latest write
		}
		s.name, s.revision, s.era, s.record = item.Name, item.Revision, era, record
		s.rollout.Stored(record, now)
		s.refreshState(now)
		return
	}
	s.abandon()
	if s.hasAbandoned && s.abandoned == order.To {
		s.hasAbandoned = false
	}
	s.rollout = swrollout.New(s.keeper.config.Rollout, order, record, now, s.keeper.config.UnixNow())
	s.name, s.revision = item.Name, item.Revision
	s.logged, s.loggedMoved = record.State, record.Moving
	s.era = s.keeper.config.Era()
	s.record = record
	s.observeReported(now)
	s.state, s.former = swrollout.StateNone, nil
	s.mixed = record.State != swrollout.StateNone || s.listsOthers()
	s.refreshState(now)
	s.formerUntil = 0
	if record.State == swrollout.StateCompleted {
		s.formerUntil = s.keeper.config.Boot.SinceBoot() + formerLifetime
	}
	s.log().Str("state", record.State.String()).Uint64("reserved", record.Reserved).Uint64("requests", record.Requests).
		Int64("durationMillis", int64(order.Duration)).Uint64("revision", uint64(item.Revision)).Msg("order of a roll-out")
}

// takeReported takes answers that a host reported. Those that come before the order is known wait for it.
func (s *Service) takeReported(answers []swrollout.Answer, now swclock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range answers {
		s.reported = append(s.reported, reportedAnswer{a, now})
	}
	s.reported = slices.Delete(s.reported, 0, max(len(s.reported)-maxReported, 0))
	if s.rollout != nil {
		s.observeReported(now)
	}
}

// observeReported passes the reported answers since the order was first seen to the roll-out. s.mu must be held.
func (s *Service) observeReported(now swclock.Millis) {
	if s.record.StartedAt > 0 {
		age := swclock.Millis(s.keeper.config.UnixNow() - s.record.StartedAt)
		for _, a := range s.reported {
			if a.SinceEnd += now - a.at; a.SinceEnd <= age {
				s.rollout.Observe(a.Answer, now)
			}
		}
	}
	s.reported = nil
}

// withdraw drops the order, whose entry was removed.
func (s *Service) withdraw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rollout == nil {
		return
	}
	s.log().Str("state", s.state.String()).Msg("order of a roll-out was removed")
	s.abandon()
	s.rollout, s.former = nil, nil
}

// abandon keeps the version of the present order from requests unless it was found sound. s.mu must be held.
func (s *Service) abandon() {
	if s.rollout == nil || s.verdict == swrollout.VerdictSound {
		return
	}
	s.abandoned, s.hasAbandoned = s.rollout.Order().To, true
}

// log returns a log line about the order. s.mu must be held and there must be an order.
func (s *Service) log() *zerolog.Event {
	o := s.rollout.Order()
	return s.keeper.config.Log.Info().Str("service", string(s.id)).Str("to", string(o.To)).Str("order", string(o.ID))
}

// refreshState takes over the state of the roll-out. s.mu must be held and there must be an order.
func (s *Service) refreshState(now swclock.Millis) {
	e := s.rollout.Evidence(now)
	if e.State == swrollout.StateCompleted && s.state != e.State {
		s.former = make(map[swid.SoftwareVersion]struct{})
		for version := range s.versions {
			if version != e.Order.To {
				s.former[version] = struct{}{}
			}
		}
	}
	s.state, s.moving, s.verdict = e.State, e.Moving, e.Verdict
}

func (s *Service) isOpen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rollout != nil && !s.state.Final()
}

func (s *Service) evidence(now swclock.Millis) (swrollout.Evidence, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rollout == nil {
		return swrollout.Evidence{}, false
	}
	return s.rollout.Evidence(now), true
}

// pendingWrite is a record that is being written.
type pendingWrite struct {
	service *Service
	name    string
	order   swrollout.OrderID
	record  swrollout.Record
	// expected is a revision of era.
	expected swwatch.Revision
	era      swobject.Era
}

// step reviews the order, and returns the record that is to be written, if one is. alone is set if no other owner schedules requests.
func (s *Service) step(alone bool, now swclock.Millis) *pendingWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rollout == nil {
		return nil
	}
	record, change := s.rollout.Step(s.situation(alone, now), now)
	s.refreshState(now)
	if change != nil {
		s.logChange(change)
	}
	if record == nil {
		return nil
	}
	return &pendingWrite{service: s, name: s.name, order: s.rollout.Order().ID, record: *record, expected: s.revision, era: s.era}
}

// situation returns the state of the service's targets, as its cell reported it a moment ago, or as they are listed. s.mu must be held.
func (s *Service) situation(alone bool, now swclock.Millis) swrollout.Situation {
	situation := s.load
	if s.loadAt == 0 || now-s.loadAt > reportLifetime {
		situation = swrollout.Situation{}
		for version, v := range s.versions {
			if version == s.rollout.Order().To {
				situation.NewTargets, situation.NewSlots = v.active, v.slots
				continue
			}
			situation.OldTargets, situation.OldSlots = situation.OldTargets+v.active, situation.OldSlots+v.slots
		}
	}
	to := s.versions[s.rollout.Order().To]
	situation.OnlyNew = !s.mixed && to != nil && to.active > 0
	if !alone {
		situation.OldRunning++ // other owners may have granted requests
	}
	return situation
}

func (s *Service) logChange(c *swrollout.Change) {
	e := &c.Evidence
	routes := zerolog.Arr()
	for _, r := range e.Routes {
		routes.Dict(zerolog.Dict().Uint64("route", uint64(r.Route)).Uint64("old", r.OldAnswers).Uint64("oldBad", r.OldBad).Uint64("oldSlow", r.OldSlow).
			Uint64("new", r.NewAnswers).Uint64("newBad", r.NewBad).Uint64("newSlow", r.NewSlow))
	}
	s.log().Str("before", c.Before.String()).Str("verdict", c.After.String()).Str("reason", e.Reason).Int64("remainingMillis", int64(e.Remaining)).
		Uint64("requests", e.Requests).Uint64("reserved", e.Reserved).Uint64("used", e.Used).Array("routes", routes).
		Int64("targetsAgeMillis", int64(s.keeper.config.Clock.Now()-s.loadAt)).Msg("verdict of a roll-out changed")
}

// written takes the outcome of a write.
func (s *Service) written(w *pendingWrite, revision swwatch.Revision, err error, now swclock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rollout == nil || s.rollout.Order().ID != w.order {
		return
	}
	if err != nil {
		if errors.Is(err, swobject.ErrConflict) {
			s.rollout.WriteConflicted(now)
		} else {
			s.rollout.WriteFailed(now)
		}
		if s.failing {
			return
		}
		s.failing = true
		s.log().Err(err).Str("state", w.record.State.String()).Uint64("expected", uint64(w.expected)).Msg("record of a roll-out not written")
		return
	}
	s.rollout.Stored(w.record, now)
	if w.era == s.era {
		s.revision, s.record = max(revision, s.revision), w.record
	} else {
		s.rollout.Stored(s.record, now) // the store was set back since
	}
	s.refreshState(now)
	if w.record.State != s.logged || w.record.Moving != s.loggedMoved || s.failing {
		s.logged, s.loggedMoved, s.failing = w.record.State, w.record.Moving, false
		s.log().Str("state", w.record.State.String()).Bool("moving", w.record.Moving).Uint64("reserved", w.record.Reserved).
			Uint64("requests", w.record.Requests).Uint64("answers", w.record.Answers).Uint64("bad", w.record.Bad).
			Uint64("revision", uint64(revision)).Msg("record of a roll-out written")
	}
}

// isBarred reports whether a version gets nothing because the order was decided. s.mu must be held.
func (s *Service) isBarred(version swid.SoftwareVersion) bool {
	if s.rollout == nil {
		return false
	}
	switch s.state {
	case swrollout.StateCompleted:
		_, former := s.former[version]
		return former && (s.formerUntil == 0 || s.keeper.config.Boot.SinceBoot() < s.formerUntil)
	case swrollout.StateRolledBack:
		return version == s.rollout.Order().To
	default:
		return false
	}
}

// excluded returns the versions that get nothing: withheld ones may be those of orders that are not known, and barred ones lost when the
// order was decided. If none is known to be free of orders, the version whose targets are oldest serves. None is withheld if the others
// cannot carry the load any more, as in a release. s.mu must be held.
func (s *Service) excluded(confirmed swclock.Millis) (withheld, barred []swid.SoftwareVersion) {
	if len(s.versions) < 2 {
		return nil, nil
	}
	var oldest *listedVersion
	var serving swid.SoftwareVersion
	serves := false
	slots, peak := 0, 0
	for version, v := range s.versions {
		abandoned := s.hasAbandoned && version == s.abandoned
		switch {
		case s.isBarred(version):
			barred = append(barred, version)
			continue
		case v.listedAt <= confirmed && !abandoned:
			serves = serves || v.active > 0
			slots, peak = slots+v.slots, peak+v.peak
			continue
		}
		withheld = append(withheld, version)
		if v.active > 0 && !abandoned && (oldest == nil || v.born < oldest.born || v.born == oldest.born && version < serving) {
			oldest, serving = v, version
		}
	}
	if len(withheld) == 0 {
		for _, v := range s.versions {
			v.peak = v.slots
		}
	}
	if !serves && oldest != nil {
		withheld = slices.DeleteFunc(withheld, func(v swid.SoftwareVersion) bool { return v == serving })
		slots, peak = slots+oldest.slots, peak+oldest.peak
	}
	if !serves && oldest == nil {
		return nil, nil // nothing else serves
	}
	if float64(slots) < carryShare*float64(peak) {
		withheld = nil
	}
	slices.Sort(withheld)
	slices.Sort(barred)
	return withheld, barred
}

// Standing implements swvalue.Rollouts.
func (s *Service) Standing(now swclock.Millis) swvalue.Standing {
	confirmed := s.keeper.confirmedAt()
	s.mu.Lock()
	defer s.mu.Unlock()
	var standing swvalue.Standing
	standing.Withheld, standing.Barred = s.excluded(confirmed)
	if s.rollout == nil || s.state.Final() {
		return standing
	}
	s.unrestricted = s.servesAlone(standing.Withheld)
	if s.unrestricted {
		standing.Ordered, standing.Open, standing.To, standing.OldServes, standing.NewServes = true, true, s.rollout.Order().To, true, true
		return standing
	}
	if s.verdict == swrollout.VerdictOpen && !s.keeper.config.Reachable() && !s.keeper.config.Alone() {
		// Another owner may have rolled the version back.
		standing.Withheld = append(standing.Withheld, s.rollout.Order().To)
	}
	standing.Ordered, standing.Open, standing.To = true, true, s.rollout.Order().To
	standing.Trial = s.verdict == swrollout.VerdictOpen
	standing.NewServes = s.verdict == swrollout.VerdictSound
	standing.OldServes = true
	return standing
}

// Versions implements swvalue.Rollouts.
func (s *Service) Versions(route swrollout.Route, mayLast, now swclock.Millis) swrollout.Versions {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rollout == nil {
		return swrollout.Versions{Old: true, New: true}
	}
	versions := s.rollout.Versions(route, mayLast, now)
	if s.unrestricted {
		versions.Old, versions.New = true, true
	}
	return versions
}

// Arrived implements swvalue.Rollouts.
func (s *Service) Arrived(now swclock.Millis) {
	s.withRollout(func(r *swrollout.Rollout) { r.Arrived(now) })
}

// Granted implements swvalue.Rollouts.
func (s *Service) Granted(version swid.SoftwareVersion, now swclock.Millis) {
	s.withRollout(func(r *swrollout.Rollout) {
		if r.Order().To == version {
			r.Granted(now)
		}
	})
}

// Returned implements swvalue.Rollouts.
func (s *Service) Returned(version swid.SoftwareVersion, now swclock.Millis) {
	s.withRollout(func(r *swrollout.Rollout) {
		if r.Order().To == version {
			r.Returned(now)
		}
	})
}

// Observe implements swvalue.Rollouts.
func (s *Service) Observe(a swrollout.Answer, now swclock.Millis) {
	s.withRollout(func(r *swrollout.Rollout) { r.Observe(a, now) })
}

// Report implements swvalue.Rollouts.
func (s *Service) Report(load swrollout.Situation, now swclock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load, s.loadAt = load, max(now, 1)
}

func (s *Service) withRollout(do func(*swrollout.Rollout)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rollout != nil {
		do(s.rollout)
	}
}
