package swfleet

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/core/swreach"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// stallingTarget sends two events of a stream, and another one after a pause. It implements swtarget.Adapter, Prober and RunReporter.
type stallingTarget struct {
	pause time.Duration
	// made is the number of events that it reports; -1 if it reports no run.
	made int
}

func (p *stallingTarget) Start(ctx context.Context, _ swtarget.Request) (swtarget.Answer, error) {
	return &stallingAnswer{ctx: ctx, pause: p.pause}, nil
}

func (*stallingTarget) Probe(context.Context) (swlimit.Statement, error) {
	return swlimit.Statement{Heard: true}, nil
}

func (p *stallingTarget) ReportedEvents(context.Context, swid.RequestID) (events int, reported bool, err error) {
	return max(p.made, 0), p.made >= 0, nil
}

// stallingAnswer implements swtarget.Answer.
type stallingAnswer struct {
	ctx   context.Context
	pause time.Duration
	sent  int
}

func (*stallingAnswer) Status() int                  { return http.StatusOK }
func (*stallingAnswer) Header() http.Header          { return nil }
func (*stallingAnswer) Statement() swlimit.Statement { return swlimit.Statement{Heard: true} }
func (*stallingAnswer) Usage() swtarget.Usage        { return swtarget.Usage{} }
func (*stallingAnswer) Close() error                 { return nil }

func (a *stallingAnswer) Next() (swtarget.Chunk, error) {
	if a.sent++; a.sent > 2 {
		select {
		case <-time.After(a.pause):
		case <-a.ctx.Done():
			return swtarget.Chunk{}, &swtarget.Error{Failure: swtarget.FailureBroken, Err: a.ctx.Err()}
		}
	}
	return swtarget.Chunk{Events: 1}, nil
}

// TestSilentConnection guards against a stream that waits for a connection that is silent for good although its target goes on, and against
// one that is ended because its target pauses.
func TestSilentConnection(t *testing.T) {
	yes, no := func() bool { return true }, func() bool { return false }
	tests := []struct {
		name   string
		target stallingTarget
		giveUp func() bool
		after  string
		ended  bool
	}{
		{"the target has made more events", stallingTarget{time.Minute, 3}, yes, "", true},
		{"the target pauses", stallingTarget{time.Minute, 2}, yes, "", false},
		{"the target reports no run", stallingTarget{time.Minute, -1}, yes, "", false},
		{"a shorter pause", stallingTarget{2900 * time.Millisecond, 3}, yes, "", false},
		{"the event is on its way", stallingTarget{3100 * time.Millisecond, 3}, yes, "", false},
		{"the stream must not be ended", stallingTarget{time.Minute, 3}, no, "", false},
		{"a stream that is continued", stallingTarget{time.Minute, 3}, yes, "7", false},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &Host{clock: swclock.NewSystem(), log: zerolog.Nop(), brittle: swlimit.NewBrittle(), limits: swlimit.New()}
				none := func() {}
				h.paths = swreach.NewPaths(h.clock, swreach.Hooks{Changed: func(swid.ServiceID, bool) {}, Doubted: none, Suspected: none})
				h.paths.Configure(map[swid.TargetID]swid.ServiceID{"t": "s"})
				adapter := &pathAdapter{Adapter: &e.target, target: "t", host: h}
				answer, err := adapter.Start(t.Context(), swtarget.Request{ID: "r", Stream: true, GiveUp: e.giveUp, LastEventID: e.after})
				if err != nil {
					t.Fatal(err)
				}
				var tasks conc.WaitGroup
				defer tasks.Wait()
				defer func() { _ = answer.Close() }()
				ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
				defer stop()
				tasks.Go(func() {
					for ctx.Err() == nil {
						h.paths.Review()
						for _, w := range h.paths.ToLookFor() {
							_ = w.Look(ctx)
						}
						time.Sleep(probeInterval.Duration())
					}
				})
				for range 2 {
					if _, err := answer.Next(); err != nil {
						t.Fatal(err)
					}
				}
				ended := make(chan error, 1)
				tasks.Go(func() {
					_, err := answer.Next()
					ended <- err
				})
				var failure *swtarget.Error
				select {
				case err := <-ended:
					if e.ended != (errors.As(err, &failure) && failure.Failure == swtarget.FailureStalled) {
						t.Errorf("error %v, want an end: %t", err, e.ended)
					}
				case <-ctx.Done():
					if e.ended {
						t.Error("the stream goes on")
					}
				}
			})
		})
	}
}
