package swholder

import (
	"io"
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/store/swclaim"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// TestRefusalAfterRun guards against a status that tells the caller that its request has not run, although only a target said so
// that may have run it.
func TestRefusalAfterRun(t *testing.T) {
	refusals := map[int]bool{http.StatusRequestTimeout: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}
	answer := func(status int, text string) script {
		return script{status: status, chunks: []string{text}, end: io.EOF}
	}
	notRun := script{startErr: &swtarget.Error{Failure: swtarget.FailureNotStarted, Err: errors.New("not run")}}
	empty := script{status: http.StatusServiceUnavailable, end: io.EOF}
	fine, full := answer(http.StatusOK, "fine"), answer(http.StatusServiceUnavailable, "full")
	event := script{chunks: []string{"event"}, end: errBroken, lastEventID: "1", mediaType: "text/event-stream"}
	const answered, unknown = swlife.OutcomeAnswered, swlife.OutcomeUnknown
	once := func(r *Request) { r.NonIdempotent, r.Attempts = true, 3 }
	onceKeyed := func(r *Request) {
		once(r)
		r.IdempotencyKey = "key"
	}
	onceStream := func(r *Request) {
		once(r)
		r.Call.Stream = true
	}
	repeatable := func(r *Request) { r.RetryFailures, r.Attempts = true, 2 }
	repeatableStream := func(r *Request) {
		repeatable(r)
		r.Call.Stream, r.ResumeElsewhere, r.NotResumable = true, true, true
	}
	tests := []struct {
		name    string
		request func(*Request)
		scripts []script
		want    swlife.Outcome
		data    string
	}{
		{"503, once", once, []script{full}, unknown, ""},
		{"503 without a body, once", once, []script{empty}, unknown, ""},
		{"429, once", once, []script{answer(http.StatusTooManyRequests, "busy")}, unknown, ""},
		{"408, once", once, []script{answer(http.StatusRequestTimeout, "late")}, unknown, ""},
		{"404, once", once, []script{answer(http.StatusNotFound, "none")}, answered, "none"},
		{"500, once", once, []script{answer(http.StatusInternalServerError, "failed")}, answered, "failed"},
		{"503, keyed", onceKeyed, []script{full}, unknown, ""},
		{"503, stream", onceStream, []script{full}, unknown, ""},
		{"503 after one that did not run it, once", once, []script{notRun, full}, unknown, ""},
		{"503 after one that did not run it, keyed", onceKeyed, []script{notRun, full}, unknown, ""},
		{"503 and an answer", repeatable, []script{full, fine}, answered, "fine"},
		{"429 and an answer", repeatable, []script{answer(http.StatusTooManyRequests, "busy"), fine}, answered, "fine"},
		{"503 twice", repeatable, []script{full, full}, unknown, ""},
		{"503 and one that breaks off", repeatable, []script{full, {startErr: errBroken}}, unknown, ""},
		{"500 and 503", repeatable, []script{answer(http.StatusInternalServerError, "failed"), full}, answered, "failed"},
		{"503 twice, stream that may be taken up", repeatableStream, []script{full, full}, unknown, ""},
		{"503 after the first event", repeatableStream, []script{event, full}, unknown, "event"},
	}
	for _, tt := range tests {
		for _, carried := range []bool{false, true} {
			name := tt.name
			if carried {
				name += ", carried"
			}
			t.Run(name, func(t *testing.T) {
				scripts := make(map[swid.TargetID][]script)
				for i, s := range tt.scripts {
					scripts[swid.TargetID("abc"[i:i+1])] = []script{s}
				}
				var f *fixture
				f = newFixtureWithConfig(scripts, func(c *Config) {
					c.Carry = func(_ swid.HostID, _ swid.CellID, target swid.TargetID) swtarget.Adapter {
						return scriptedAdapter{f, target}
					}
				})
				r := f.request(false, false)
				tt.request(r)
				r.IsRefusal = func(status int) bool { return refusals[status] }
				var carrier swid.HostID
				if carried {
					carrier = "carrier"
				}
				report, done, data := f.grantInTurn(r, carrier)
				if int(report.Attempts) != len(tt.scripts) {
					t.Errorf("%d attempts, want %d", report.Attempts, len(tt.scripts))
				}
				if report.End.Outcome != tt.want || data != tt.data {
					t.Errorf("outcome %s, delivered %q, want %s, %q", report.End.Outcome, data, tt.want, tt.data)
				}
				if refusals[tt.scripts[len(tt.scripts)-1].status] && (!done.TargetFault || done.Result != swcell.ResultFailed) && tt.data != "event" {
					t.Errorf("the owner gets %+v, not that the target failed", done)
				}
				if r.IdempotencyKey != "" && (len(f.recorded) != 1 || f.recorded[0].Outcome != swclaim.OutcomeUnknown || f.recorded[0].Status != 0) {
					t.Errorf("recorded for the key: %+v", f.recorded)
				}
			})
		}
	}
}

// grantInTurn serves a request, which is granted the targets a, b and c one after the other. It returns the last end of an attempt that the
// owner gets, and what is delivered.
func (f *fixture) grantInTurn(r *Request, carrier swid.HostID) (report Report, done swmsg.Done, data string) {
	reports, out := f.serve(r)
	targets := []swid.TargetID{"a", "b", "c"}
	for {
		select {
		case s := <-f.sent:
			switch m := s.message.(type) {
			case swmsg.GrantRequest:
				f.receive("owner", swmsg.Grant{Cell: m.Cell, Seq: m.Seq, Attempt: m.Attempt, Target: targets[0], Carrier: carrier})
				targets = targets[1:]
			case swmsg.Done:
				done = m
			}
		case report = <-reports:
			for len(f.sent) > 0 {
				if m, ok := (<-f.sent).message.(swmsg.Done); ok {
					done = m
				}
			}
			return report, done, string(out.data)
		}
	}
}

// TestPauseBesideRefusalAfterRun guards against an owner that does not get to know for how long a target wants no requests, because the
// answer that says so is not passed on.
func TestPauseBesideRefusalAfterRun(t *testing.T) {
	pause := swlimit.Statement{Heard: true, Pause: 3 * swclock.Second}
	f := newFixture(map[swid.TargetID][]script{"a": {{status: http.StatusServiceUnavailable, end: io.EOF, limit: pause}}})
	r := f.request(false, true)
	r.IsRefusal = func(status int) bool { return status == http.StatusServiceUnavailable }
	reports, _ := f.serve(r)
	grantRequest, _ := expect[swmsg.GrantRequest](t, f)
	f.grant("owner", grantRequest, "a")
	if done, _ := expect[swmsg.Done](t, f); done.Statement != pause {
		t.Errorf("the owner gets %+v, want %+v", done.Statement, pause)
	}
	if report := <-reports; report.End != (swlife.End{Outcome: swlife.OutcomeUnknown, Cause: swlife.CauseTargetFailed}) {
		t.Errorf("ended with %+v", report.End)
	}
}
