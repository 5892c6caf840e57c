package swrolloutkeeper

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swrollout"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
	"github.com/sassafraswing/sassafraswing/internal/store/swwatch"
)

const orderTime = swclock.Minute

// stand is the store, and the host of a Keeper. It implements Follower.
type stand struct {
	keeper    *Keeper
	now       swclock.Millis
	confirmed swclock.Millis
	era       swobject.Era
	revision  swwatch.Revision
	items     map[string]swwatch.Item[swcatalog.Rollout]
	calls     int
	err       error
	// cut is set while other hosts have another owner, and away while the store cannot be reached.
	cut, away bool
}

func (s *stand) Now() swclock.Millis         { return s.now }
func (s *stand) SinceBoot() swclock.Millis   { return s.now }
func (s *stand) ConfirmedAt() swclock.Millis { return s.confirmed }
func (s *stand) Run(context.Context)         {}

// Refresh implements Follower.
func (s *stand) Refresh(context.Context) error {
	s.calls++
	if s.err != nil {
		return s.err
	}
	s.confirmed = s.now
	var items []swwatch.Item[swcatalog.Rollout]
	for _, item := range s.items {
		items = append(items, item)
	}
	s.keeper.Changed(items)
	return nil
}

func (s *stand) write(_ context.Context, name string, record swrollout.Record, expected swwatch.Revision) (swwatch.Revision, error) {
	s.calls++
	switch item, found := s.items[name]; {
	case s.err != nil:
		return 0, s.err
	case !found:
		return 0, swobject.ErrNotFound
	case item.Revision != expected:
		return 0, swobject.ErrConflict
	}
	s.put(name, s.items[name].Value.Order, record)
	return s.revision, nil
}

func (s *stand) put(name string, order swrollout.Order, record swrollout.Record) {
	s.revision++
	s.items[name] = swwatch.Item[swcatalog.Rollout]{Name: name, Revision: s.revision, Value: swcatalog.Rollout{Order: order, Record: record}}
}

// order writes an order for the service "s".
func (s *stand) order(id swrollout.OrderID, to swid.SoftwareVersion) {
	s.put("s", swrollout.Order{ID: id, Service: "s", To: to, Duration: orderTime}, swrollout.Record{})
}

// newStand returns the stand of an owner, over a store that other stands may share.
func newStand(writer string, items map[string]swwatch.Item[swcatalog.Rollout]) *stand {
	s := &stand{now: 1000, items: items}
	s.keeper = New(Config{
		Rollout: swrollout.Config{MaxShare: 0.1, Slack: 50, RollbackWithin: 5 * swclock.Second, Writer: writer},
		Clock:   s, Boot: s, UnixNow: func() int64 { return 1_700_000_000_000 + int64(s.now) },
		Owner: func() bool { return true }, Alone: func() bool { return !s.cut }, Reachable: func() bool { return !s.away },
		Era: func() swobject.Era { return s.era }, Write: s.write, Log: zerolog.Nop(),
	})
	s.keeper.Follow(s)
	s.keeper.begin()
	return s
}

// step passes time in steps of stepInterval.
func (s *stand) step(span swclock.Millis) {
	for end := s.now + span; s.now < end; {
		s.now += stepInterval
		s.keeper.step(context.Background(), s.now)
		s.keeper.calls.Wait()
	}
}

// list lists targets of versions, of which the first is the oldest.
func (s *stand) list(versions ...swid.SoftwareVersion) {
	var targets []swcatalog.Target
	for i, v := range versions {
		targets = append(targets, swcatalog.Target{ID: swid.TargetID(v), Service: "s", Version: v, Slots: 4, Born: int64(i + 1)})
	}
	s.keeper.SetTargets(targets)
}

// withheld returns the versions of the service that get nothing.
func (s *stand) withheld() []swid.SoftwareVersion {
	return s.keeper.Service("s").Standing(s.now).Withheld
}

func (s *stand) refresh(t *testing.T) {
	t.Helper()
	s.now++
	if err := s.Refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// TestUnlistedOrder guards against requests at a version whose order this host does not know yet.
func TestUnlistedOrder(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, s *stand)
		want []swid.SoftwareVersion
	}{
		{"one version, not listed yet", func(_ *testing.T, s *stand) { s.list("v1") }, nil},
		{"two versions, not listed yet", func(_ *testing.T, s *stand) { s.list("v1", "v2") }, []swid.SoftwareVersion{"v2"}},
		{"two versions, then the orders", func(t *testing.T, s *stand) { s.list("v1", "v2"); s.refresh(t) }, nil},
		{"the orders, then another version", func(t *testing.T, s *stand) {
			s.list("v1")
			s.refresh(t)
			s.now++
			s.list("v1", "v2")
		}, []swid.SoftwareVersion{"v2"}},
		{"another version with older targets", func(t *testing.T, s *stand) {
			s.list("v1")
			s.refresh(t)
			s.now++
			s.list("v2", "v1")
		}, []swid.SoftwareVersion{"v2"}},
		{"the known version has gone", func(t *testing.T, s *stand) {
			s.list("v1")
			s.refresh(t)
			s.now++
			s.list("v2", "v3")
		}, []swid.SoftwareVersion{"v3"}},
		{"the owner again", func(t *testing.T, s *stand) {
			s.list("v1", "v2")
			s.refresh(t)
			s.keeper.end()
			s.now++
			s.keeper.begin()
		}, []swid.SoftwareVersion{"v2"}},
		{"no owner", func(t *testing.T, s *stand) {
			s.list("v1", "v2")
			s.refresh(t)
			s.keeper.end()
		}, []swid.SoftwareVersion{"v2"}},
		{"on trial, cut off from the store", func(t *testing.T, s *stand) {
			s.list("v1", "v2")
			s.order("1", "v2")
			s.refresh(t)
			s.away = true
		}, nil},
		{"on trial, cut off from the store and other hosts", func(t *testing.T, s *stand) {
			s.list("v1", "v2")
			s.order("1", "v2")
			s.refresh(t)
			s.away, s.cut = true, true
		}, []swid.SoftwareVersion{"v2"}},
		{"order removed", func(t *testing.T, s *stand) {
			s.list("v1", "v2")
			s.order("1", "v2")
			s.refresh(t)
			delete(s.items, "s")
			s.refresh(t)
		}, []swid.SoftwareVersion{"v2"}},
		{"order replaced by one for another version", func(t *testing.T, s *stand) {
			s.list("v1", "v2", "v3")
			s.order("1", "v2")
			s.refresh(t)
			s.order("2", "v3")
			s.refresh(t)
		}, []swid.SoftwareVersion{"v2"}},
		{"order replaced by one for the same version", func(t *testing.T, s *stand) {
			s.list("v1", "v2")
			s.order("1", "v2")
			s.refresh(t)
			s.order("2", "v2")
			s.refresh(t)
		}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newStand("a", make(map[string]swwatch.Item[swcatalog.Rollout]))
			tt.run(t, s)
			if got := s.withheld(); !slices.Equal(got, tt.want) {
				t.Errorf("%v get nothing, want %v", got, tt.want)
			}
		})
	}
}

// TestTwoOwners guards against exposure that two owners use at once.
func TestTwoOwners(t *testing.T) {
	items := make(map[string]swwatch.Item[swcatalog.Rollout])
	a, b := newStand("a", items), newStand("b", items)
	owners := []*stand{a, b}
	for _, s := range owners {
		s.list("v1", "v2")
	}
	a.order("1", "v2")
	b.revision = a.revision
	used, arrived := 0, 0
	for range 200 {
		for _, s := range owners {
			s.revision = max(a.revision, b.revision)
			if arrived%3 == 0 {
				s.refresh(t)
			}
			service := s.keeper.Service("s")
			arrived++
			service.Arrived(s.now)
			for range 5 {
				if standing := service.Standing(s.now); standing.Ordered && service.Versions(1, 0, s.now).New {
					service.Granted("v2", s.now)
					used++
				}
			}
			s.step(stepInterval)
		}
	}
	record := items["s"].Value.Record
	if bound := 0.1*float64(arrived) + 50; float64(used) > bound || used == 0 || uint64(used) > record.Reserved {
		t.Errorf("two owners used %d of %d that are reserved, want at most %.0f", used, record.Reserved, bound)
	}
}

// TestStoreFaults checks what an owner reserves and writes when the store does not answer, or is set back.
func TestStoreFaults(t *testing.T) {
	s := newStand("a", make(map[string]swwatch.Item[swcatalog.Rollout]))
	s.list("v1", "v2")
	s.order("1", "v2")
	s.refresh(t)
	service := s.keeper.Service("s")
	use := func() (used int) {
		for range 100 {
			if service.Versions(1, 0, s.now).New {
				service.Granted("v2", s.now)
				used++
			}
		}
		return used
	}
	early := s.items["s"]
	s.step(swclock.Second)
	first := use()
	reserved := s.items["s"].Value.Record.Reserved
	if first == 0 || uint64(first) > reserved {
		t.Fatalf("%d requests at the version, with %d reserved", first, reserved)
	}
	s.err = swobject.ErrUnavailable
	for range 500 {
		service.Arrived(s.now)
	}
	s.step(10 * swclock.Second)
	if more := use(); uint64(first+more) > reserved {
		t.Errorf("%d further requests while the store is away", more)
	}
	s.err = nil
	s.items["s"], s.era = early, s.era+1
	s.refresh(t)
	s.step(swclock.Second)
	if got := s.items["s"].Value.Record.Reserved; got < reserved {
		t.Errorf("%d reserved after the store was set back, want at least %d", got, reserved)
	}
	s.list("v1")
	calls := s.calls
	delete(s.items, "s")
	s.refresh(t)
	s.step(10 * swclock.Second)
	if s.calls > calls+1 {
		t.Errorf("%d calls after the order was removed", s.calls-calls-1)
	}
}

// TestReportedAnswers checks that a new owner takes the answers that hosts report, those of a process once.
func TestReportedAnswers(t *testing.T) {
	s := newStand("a", make(map[string]swwatch.Item[swcatalog.Rollout]))
	s.list("v1", "v2")
	order := swrollout.Order{ID: "1", Service: "s", To: "v2", Duration: orderTime}
	s.put("s", order, swrollout.Record{Order: "1", To: "v2", State: swrollout.StateRunning, StartedAt: 1_700_000_000_000 + int64(s.now) - 20_000, Requests: 900, Reserved: 60})
	var answers []swrollout.Answer
	for i := range 64 {
		a := swrollout.Answer{Version: "v1", Target: "v1", Route: 1, First: 50, Total: 300, SinceEnd: swclock.Millis(100 + 200*i)}
		if i%2 == 0 {
			a.Version, a.Target, a.Bad = "v2", swid.TargetID(fmt.Sprint("v2-", i%8)), true
		}
		answers = append(answers, a)
	}
	reported := map[swid.ServiceID][]swrollout.Answer{"s": answers}
	s.keeper.ObserveReported(Process{"a", 1}, reported)
	s.keeper.ObserveReported(Process{"a", 1}, reported)
	s.refresh(t)
	s.step(swclock.Second)
	e := s.keeper.Evidence()
	if len(e) != 1 || e[0].Verdict != swrollout.VerdictBad || len(e[0].Routes) != 1 || e[0].Routes[0].NewAnswers != 32 {
		t.Errorf("evidence is %+v", e)
	}
	if state := s.items["s"].Value.Record.State; state != swrollout.StateRolledBack {
		t.Errorf("the record says %v", state)
	}
}

// TestLateWriteOfFormerEra guards against a revision of a former era of the store that is taken for one of the present era.
func TestLateWriteOfFormerEra(t *testing.T) {
	s := newStand("a", make(map[string]swwatch.Item[swcatalog.Rollout]))
	s.list("v1", "v2")
	s.order("1", "v2")
	s.refresh(t)
	early := s.items["s"]
	service := s.keeper.Service("s")
	s.now += stepInterval
	late := service.step(true, s.now)
	s.keeper.write(t.Context(), late)
	s.step(orderTime / 2)
	late = &pendingWrite{service: late.service, name: late.name, order: late.order, era: late.era, record: s.items["s"].Value.Record, expected: 100}
	s.items["s"], s.era = early, s.era+1
	s.refresh(t)
	service.written(late, 120, nil, s.now)
	s.calls = 0
	s.step(orderTime)
	if state := s.items["s"].Value.Record.State; state != swrollout.StateRolledBack || s.items["s"].Value.Record.Reserved < late.record.Reserved {
		t.Errorf("the record is %+v, want at least %d reserved and a final state", s.items["s"].Value.Record, late.record.Reserved)
	}
}

// TestConflictingWrites guards against writes that are repeated without growing pauses while they conflict.
func TestConflictingWrites(t *testing.T) {
	s := newStand("a", make(map[string]swwatch.Item[swcatalog.Rollout]))
	s.list("v1", "v2")
	s.order("1", "v2")
	s.refresh(t)
	s.step(swclock.Second)
	s.calls, s.err = 0, swobject.ErrConflict
	s.step(2 * orderTime)
	// A write and a listing for each doubling, and each longest pause.
	if most := 2 * (6 + int(2*orderTime/swrollout.MaxConflictPause)); s.calls > most || s.calls == 0 {
		t.Errorf("%d calls, want at most %d", s.calls, most)
	}
	s.err = nil
	s.step(swrollout.MaxConflictPause + stepInterval)
	if state := s.items["s"].Value.Record.State; state != swrollout.StateRolledBack {
		t.Errorf("the record says %v", state)
	}
}

// TestReportedAfterCut guards against answers that the owner that began the order drops, as they are reported to it after a cut.
func TestReportedAfterCut(t *testing.T) {
	s := newStand("a", make(map[string]swwatch.Item[swcatalog.Rollout]))
	s.list("v1", "v2")
	s.order("1", "v2")
	s.refresh(t)
	s.step(20 * swclock.Second)
	var answers []swrollout.Answer
	for i := range 64 {
		a := swrollout.Answer{Version: "v1", Target: "v1", Route: 1, First: 50, Total: 300, SinceEnd: swclock.Millis(100 + 200*i)}
		if i%2 == 0 {
			a.Version, a.Target, a.Bad = "v2", swid.TargetID(fmt.Sprint("v2-", i%8)), true
		}
		answers = append(answers, a)
	}
	s.keeper.ObserveReported(Process{"b", 1}, map[swid.ServiceID][]swrollout.Answer{"s": answers})
	s.step(swclock.Second)
	if state := s.items["s"].Value.Record.State; state != swrollout.StateRolledBack {
		t.Errorf("the record says %v", state)
	}
}
