package swholder

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/store/swclaim"
	"github.com/sassafraswing/sassafraswing/internal/target/swpool"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// sentMessage is a message that the holder sent, with its receiver.
type sentMessage struct {
	to      swid.HostID
	message swmsg.Message
}

// fixture connects a holder with scripted implementations of its dependencies.
type fixture struct {
	holder *Holder
	sent   chan sentMessage

	mu sync.Mutex
	// owner is the host that the router returns.
	owner swid.HostID
	// starts counts the requests started on each target.
	starts map[swid.TargetID]int
	// scripts holds the scripts of each target's next answers.
	scripts map[swid.TargetID][]script
	// claimErr is returned for each claim; nil grants it.
	claimErr error
	// recorded has the outcomes that were recorded for keys.
	recorded []swclaim.Decision
	// doubted lists the hosts that the holder reported as late; each report makes
	// nextOwner the owner.
	doubted   []swid.HostID
	nextOwner swid.HostID
	// versions has the software versions of the targets that do not have v1.
	versions map[swid.TargetID]swid.SoftwareVersion
	// listed has the targets, without their adapters; nil stands for those with scripts, which accept requests.
	listed map[swid.TargetID]swpool.Target
	// calls lists the requests that the targets received.
	calls []swtarget.Request
}

// script defines the behaviour of a target for one request.
type script struct {
	startErr error
	// stalls ends the request with startErr only if the holder gives it up. asks asks whether it does, and answers all the same.
	stalls, asks bool
	chunks       []string
	// end is the error after the last chunk; io.EOF completes the answer.
	end error
	// hang blocks after the chunks until the attempt's context ends.
	hang bool
	// wait blocks the answer until it is closed; nil does not block.
	wait chan struct{}
	// status is the status of the answer; 0 means 200. mediaType is that of the answer; empty means text/plain.
	status    int
	mediaType string
	// limit is what the answer says of the requests that its target takes.
	limit swlimit.Statement
	// lastEventID is the ID of the last event in each chunk.
	lastEventID string
	// tokens is the number of tokens in each chunk; 0 means 1.
	tokens swid.Tokens
}

func (f *fixture) Send(to swid.HostID, m swmsg.Message) bool {
	f.sent <- sentMessage{to, m}
	return true
}
func (f *fixture) Connected(swid.HostID) bool           { return true }
func (f *fixture) ObserveEpoch(swid.CellID, swid.Epoch) {}
func (f *fixture) RequestEnded(*Request, *Report)       {}
func (f *fixture) UnusedGrant()                         {}
func (f *fixture) RecordOutcome(_ swclaim.Entry, d swclaim.Decision) {
	f.recorded = append(f.recorded, d)
}
func (f *fixture) Claim(context.Context, swclaim.Entry) (swclaim.Decision, error) {
	return swclaim.Decision{Granted: f.claimErr == nil}, f.claimErr
}

func (f *fixture) Owner(swid.CellID) (swid.HostID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.owner, false
}

func (f *fixture) Vouch(swid.HostID) {}

func (f *fixture) Doubt(host swid.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.doubted = append(f.doubted, host)
	f.owner = f.nextOwner
}

func (f *fixture) setOwner(host swid.HostID) {
	f.mu.Lock()
	f.owner = host
	f.mu.Unlock()
}

func (f *fixture) Target(id swid.TargetID) (swpool.Target, bool) {
	f.mu.Lock()
	t, listed := f.listed[id]
	all := f.listed == nil
	f.mu.Unlock()
	if all {
		t, listed = swpool.Target{Accepting: true, Origin: f.originOf(id)}, true
	}
	t.Adapter = scriptedAdapter{f, id}
	return t, listed
}

func (f *fixture) OfService(swid.ServiceID) []swid.TargetID {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listed != nil {
		return slices.Collect(maps.Keys(f.listed))
	}
	return slices.Collect(maps.Keys(f.scripts))
}

// originOf returns the origin of the streams that a target begins, at version v1 unless another one is set.
func (f *fixture) originOf(id swid.TargetID) sworigin.Origin {
	f.mu.Lock()
	defer f.mu.Unlock()
	version, set := f.versions[id]
	if !set {
		version = "v1"
	}
	return sworigin.Origin{Service: "s", Version: version}
}

type scriptedAdapter struct {
	fixture *fixture
	target  swid.TargetID
}

func (s scriptedAdapter) Start(ctx context.Context, r swtarget.Request) (swtarget.Answer, error) {
	s.fixture.mu.Lock()
	s.fixture.calls = append(s.fixture.calls, r)
	s.fixture.starts[s.target]++
	next := s.fixture.scripts[s.target][0]
	s.fixture.scripts[s.target] = s.fixture.scripts[s.target][1:]
	s.fixture.mu.Unlock()
	if next.startErr != nil && (!next.stalls || r.GiveUp()) {
		return nil, next.startErr
	}
	if next.asks {
		r.GiveUp()
	}
	return &scriptedAnswer{ctx: ctx, script: next}, nil
}

type scriptedAnswer struct {
	ctx    context.Context
	script script
	next   int
}

func (a *scriptedAnswer) Status() int { return max(a.script.status, http.StatusOK) }
func (a *scriptedAnswer) Header() http.Header {
	return swtarget.MediaType(cmp.Or(a.script.mediaType, "text/plain"))
}
func (a *scriptedAnswer) Statement() swlimit.Statement { return a.script.limit }
func (a *scriptedAnswer) Usage() swtarget.Usage        { return swtarget.Usage{} }
func (a *scriptedAnswer) Close() error                 { return nil }
func (a *scriptedAnswer) Next() (swtarget.Chunk, error) {
	if a.script.wait != nil {
		<-a.script.wait
	}
	if a.next < len(a.script.chunks) {
		a.next++
		return swtarget.Chunk{
			Data: []byte(a.script.chunks[a.next-1]), Tokens: max(a.script.tokens, 1), Events: 1, LastEventID: a.script.lastEventID,
		}, nil
	}
	if a.script.hang {
		<-a.ctx.Done()
		return swtarget.Chunk{}, &swtarget.Error{Failure: swtarget.FailureBroken, Err: a.ctx.Err()}
	}
	return swtarget.Chunk{}, a.script.end
}

// bufferSink is a Sink that stores the answer in memory.
type bufferSink struct {
	header http.Header
	data   []byte
}

func (b *bufferSink) Begin(_ int, header http.Header) error {
	b.header = header
	return nil
}
func (b *bufferSink) Write(data []byte) error {
	b.data = append(b.data, data...)
	return nil
}

func newFixture(scripts map[swid.TargetID][]script) *fixture {
	return newFixtureWithConfig(scripts, func(*Config) {})
}

func newFixtureWithConfig(scripts map[swid.TargetID][]script, change func(c *Config)) *fixture {
	f := &fixture{owner: "owner", sent: make(chan sentMessage, 64), starts: make(map[swid.TargetID]int), scripts: scripts}
	config := Config{
		Host: "holder", Incarnation: 1, Clock: swclock.NewSystem(), Sender: f, Router: f, Targets: f,
		Claims: f, Observer: f, Log: zerolog.Nop(), MaxHeld: 10,
	}
	change(&config)
	f.holder = New(config)
	return f
}

func (f *fixture) request(stream, nonIdempotent bool) *Request {
	seq, id := f.holder.NextID()
	return &Request{
		ID: id, Seq: seq, Cell: "c", Deadline: swclock.Hour, NonIdempotent: nonIdempotent,
		Call: swtarget.Request{Stream: stream},
	}
}

// serve starts a request. It returns a channel for its report and the sink that receives its answer.
func (f *fixture) serve(r *Request) (<-chan Report, *bufferSink) {
	out := &bufferSink{}
	reports := make(chan Report, 1)
	go func() { reports <- f.holder.Serve(context.Background(), r, out) }()
	return reports, out
}

// expect returns the next sent message of type T and its receiver. It discards other messages.
func expect[T swmsg.Message](t *testing.T, f *fixture) (T, swid.HostID) {
	t.Helper()
	for {
		s := <-f.sent
		if m, ok := s.message.(T); ok {
			return m, s.to
		}
	}
}

func (f *fixture) grant(from swid.HostID, request swmsg.GrantRequest, target swid.TargetID) {
	f.receive(from, swmsg.Grant{Cell: request.Cell, Seq: request.Seq, Attempt: request.Attempt, Target: target})
}

// receive has the holder receive a message of another host.
func (f *fixture) receive(from swid.HostID, m swmsg.Message) {
	f.holder.Receive(swlink.Peer{Host: from}, m)
}

// errEnded is the error of a connection that ended in the middle of an answer.
var errEnded = &swtarget.Error{Failure: swtarget.FailureBroken, Err: io.EOF}

var errBroken = &swtarget.Error{Failure: swtarget.FailureBroken, Err: errors.New("connection reset")}

// TestGrantOfAnotherHost checks that the holder uses only a grant of the host that
// it sent the last grant request to, and cancels that of another host.
func TestGrantOfAnotherHost(t *testing.T) {
	f := newFixture(map[swid.TargetID][]script{"a": {{chunks: []string{"x"}, end: io.EOF}}})
	reports, _ := f.serve(f.request(false, false))
	grantRequest, _ := expect[swmsg.GrantRequest](t, f)
	f.setOwner("second")
	f.holder.Reroute()
	if _, to := expect[swmsg.Withdraw](t, f); to != "owner" {
		t.Errorf("grant request cancelled at %s, want owner", to)
	}
	if _, to := expect[swmsg.GrantRequest](t, f); to != "second" {
		t.Errorf("grant request sent to %s, want second", to)
	}
	f.grant("owner", grantRequest, "z")
	if _, to := expect[swmsg.Withdraw](t, f); to != "owner" {
		t.Errorf("grant cancelled at %s, want owner", to)
	}
	f.grant("second", grantRequest, "a")
	f.grant("second", grantRequest, "a")
	if r := <-reports; r.End.Outcome != swlife.OutcomeAnswered || r.Target != "a" {
		t.Errorf("report is %+v", r)
	}
	if f.starts["a"] != 1 || f.starts["z"] != 0 {
		t.Errorf("starts are %v", f.starts)
	}
}

// TestReplyToEarlierProcess guards against an owner's delayed replies to the host's earlier process that
// are taken for replies to a request of the present one, which may have another service.
func TestReplyToEarlierProcess(t *testing.T) {
	start := func(incarnation swid.Incarnation) (*fixture, <-chan Report, swmsg.GrantRequest) {
		f := newFixtureWithConfig(map[swid.TargetID][]script{"a": {{chunks: []string{"x"}, end: io.EOF}}}, func(c *Config) { c.Incarnation = incarnation })
		reports, _ := f.serve(f.request(false, false))
		grantRequest, _ := expect[swmsg.GrantRequest](t, f)
		return f, reports, grantRequest
	}
	_, _, earlier := start(1)
	f, reports, present := start(2)
	owner := swlink.Peer{Host: "owner"}
	for _, cell := range []swid.CellID{"c", "other"} {
		f.holder.Receive(owner, swmsg.Reject{Cell: cell, Seq: earlier.Seq, Attempt: 1, Reason: swcell.ReasonOverload})
		f.holder.Receive(owner, swmsg.Grant{Cell: cell, Seq: earlier.Seq, Attempt: 1, Target: "z"})
		if _, to := expect[swmsg.Withdraw](t, f); to != "owner" {
			t.Errorf("grant cancelled at %s, want owner", to)
		}
	}
	f.grant("owner", present, "a")
	if r := <-reports; r.End.Outcome != swlife.OutcomeAnswered || f.starts["z"] != 0 {
		t.Errorf("report is %+v, starts %v", r, f.starts)
	}
}

// TestOwnerChangeWhileRunning has a second host take the cell over. It may preempt
// the running attempt, and both owners receive the report of its end.
func TestOwnerChangeWhileRunning(t *testing.T) {
	f := newFixture(map[swid.TargetID][]script{"a": {{chunks: []string{"x"}, hang: true}}})
	reports, _ := f.serve(f.request(true, false))
	grantRequest, _ := expect[swmsg.GrantRequest](t, f)
	f.grant("owner", grantRequest, "a")
	for f.holder.lookup(grantRequest.Cell, grantRequest.Seq).runningOn() != "a" {
	}
	f.holder.Receive(swlink.Peer{Host: "second"}, swmsg.Recover{Cell: "c", Epoch: 2})
	if m, to := expect[swmsg.InFlight](t, f); to != "second" || m.Target != "a" {
		t.Errorf("in-flight report to %s: %+v", to, m)
	}
	f.holder.Receive(swlink.Peer{Host: "second"}, swmsg.Preempt{Cell: "c", Seq: grantRequest.Seq, Attempt: 1, Target: "a"})
	var notified []swid.HostID
	for range 2 {
		_, to := expect[swmsg.Done](t, f)
		notified = append(notified, to)
	}
	if !slices.Equal(notified, []swid.HostID{"owner", "second"}) {
		t.Errorf("end reported to %v", notified)
	}
	if r := <-reports; r.End.Outcome != swlife.OutcomeUnknown || r.End.Cause != swlife.CausePreempted {
		t.Errorf("report is %+v", r)
	}
}

// TestRecoverAgain checks that the holder reports a running attempt again to an
// owner that already granted it or received a report of it: the owner may have
// restarted, or the report may have been lost with a link.
func TestRecoverAgain(t *testing.T) {
	f := newFixture(map[swid.TargetID][]script{"a": {{chunks: []string{"x"}, hang: true}}})
	reports, _ := f.serve(f.request(true, false))
	grantRequest, _ := expect[swmsg.GrantRequest](t, f)
	f.grant("owner", grantRequest, "a")
	for f.holder.lookup(grantRequest.Cell, grantRequest.Seq).runningOn() != "a" {
	}
	for range 2 {
		f.holder.Receive(swlink.Peer{Host: "owner"}, swmsg.Recover{Cell: "c", Epoch: 2})
		if m, to := expect[swmsg.InFlight](t, f); to != "owner" || m.Target != "a" {
			t.Errorf("in-flight report to %s: %+v", to, m)
		}
	}
	f.holder.Receive(swlink.Peer{Host: "owner"}, swmsg.Preempt{Cell: "c", Seq: grantRequest.Seq, Attempt: 1, Target: "a"})
	if _, to := expect[swmsg.Done](t, f); to != "owner" {
		t.Errorf("end reported to %s, want owner", to)
	}
	<-reports
}

// TestStrikesAreReported breaks two attempts and changes the owner during the
// third. Grant requests and in-flight reports carry the number of strikes, which a
// cancelled attempt does not raise.
func TestStrikesAreReported(t *testing.T) {
	f := newFixture(map[swid.TargetID][]script{"a": {{end: errBroken}}, "b": {{end: errBroken}}, "c": {{hang: true}}})
	reports, _ := f.serve(f.request(false, false))
	var last swmsg.GrantRequest
	for n, target := range []swid.TargetID{"a", "b", "c"} {
		last, _ = expect[swmsg.GrantRequest](t, f)
		if int(last.Strikes) != n {
			t.Errorf("grant request %d reports %d strikes, want %d", n+1, last.Strikes, n)
		}
		f.grant("owner", last, target)
	}
	for f.holder.lookup(last.Cell, last.Seq).runningOn() != "c" {
	}
	f.holder.Receive(swlink.Peer{Host: "second"}, swmsg.Recover{Cell: "c", Epoch: 2})
	if m, _ := expect[swmsg.InFlight](t, f); m.GrantRequest.Strikes != 2 {
		t.Errorf("work in flight reports %d strikes, want 2", m.GrantRequest.Strikes)
	}
	f.holder.Receive(swlink.Peer{Host: "second"}, swmsg.Preempt{Cell: "c", Seq: last.Seq, Attempt: last.Attempt, Target: "c"})
	fourth, to := expect[swmsg.GrantRequest](t, f)
	if fourth.Strikes != 2 {
		t.Errorf("grant request after a cancellation reports %d strikes, want 2", fourth.Strikes)
	}
	f.holder.Receive(swlink.Peer{Host: to}, swmsg.Reject{Cell: "c", Seq: fourth.Seq, Attempt: fourth.Attempt, Reason: swcell.ReasonSuspect})
	<-reports
}

// TestKeepsNothing breaks the stream of a request that may run only once. The target
// would run the request again from the start, so the holder must not resume the stream.
func TestKeepsNothing(t *testing.T) {
	f := newFixture(map[swid.TargetID][]script{"a": {{chunks: []string{"x"}, end: errBroken}, {chunks: []string{"x", "y"}, end: io.EOF}}})
	r := f.request(true, true)
	r.NotResumable, r.Attempts = true, 1
	reports, out := f.serve(r)
	grantRequest, _ := expect[swmsg.GrantRequest](t, f)
	f.grant("owner", grantRequest, "a")
	if report := <-reports; report.End.Outcome != swlife.OutcomeUnknown {
		t.Errorf("report is %+v", report)
	}
	if f.starts["a"] != 1 || string(out.data) != "x" {
		t.Errorf("started %d times, delivered %q", f.starts["a"], out.data)
	}
}

// TestSilentOwner checks that the holder reports an owner as unresponsive that does
// not acknowledge a grant request, and keeps one that acknowledges each of them.
func TestSilentOwner(t *testing.T) {
	f := newFixtureWithConfig(map[swid.TargetID][]script{"a": {{chunks: []string{"x"}, end: io.EOF}}}, func(c *Config) {
		c.AckTimeout, c.GrantRequestInterval = swclock.Second, 5
	})
	f.nextOwner = "second"
	reports, _ := f.serve(f.request(false, false))
	if _, to := expect[swmsg.GrantRequest](t, f); to != "owner" {
		t.Errorf("grant request sent to %s, want owner", to)
	}
	grantRequest, to := expect[swmsg.GrantRequest](t, f)
	if to != "second" {
		t.Fatalf("grant request sent to %s after the owner did not respond, want second", to)
	}
	f.holder.Receive(swlink.Peer{Host: "second"}, swmsg.Queued{Cell: grantRequest.Cell, Seq: grantRequest.Seq, Attempt: grantRequest.Attempt})
	// The second owner acknowledges each repeated grant request, so it is kept.
	for range 3 {
		again, to := expect[swmsg.GrantRequest](t, f)
		if to != "second" {
			t.Errorf("grant request sent to %s, although the second owner acknowledges", to)
		}
		f.holder.Receive(swlink.Peer{Host: "second"}, swmsg.Queued{Cell: again.Cell, Seq: again.Seq, Attempt: again.Attempt})
	}
	f.grant("second", grantRequest, "a")
	if r := <-reports; r.End.Outcome != swlife.OutcomeAnswered {
		t.Errorf("report is %+v", r)
	}
	if f.mu.Lock(); !slices.Equal(f.doubted, []swid.HostID{"owner"}) {
		t.Errorf("hosts reported as late: %v", f.doubted)
	}
	f.mu.Unlock()
}

// TestReportsEarly checks that ReportEarly sends the owner a progress report at the
// first output and one after secondReportTokens.
func TestReportsEarly(t *testing.T) {
	long := script{chunks: make([]string, 30), end: io.EOF, tokens: 5}
	f := newFixtureWithConfig(map[swid.TargetID][]script{"a": {long}}, func(c *Config) { c.ReportEarly = true })
	reports, _ := f.serve(f.request(true, false))
	grantRequest, _ := expect[swmsg.GrantRequest](t, f)
	f.grant("owner", grantRequest, "a")
	<-reports
	var produced []swid.Tokens
	for {
		s := <-f.sent
		if m, ok := s.message.(swmsg.Progress); ok {
			produced = append(produced, m.Produced)
		}
		if _, ok := s.message.(swmsg.Done); ok {
			break
		}
	}
	if want := []swid.Tokens{5, 35}; !slices.Equal(produced, want) {
		t.Errorf("reported progress %v, want %v", produced, want)
	}
}

// TestRetryFailures checks that the holder tries another target after a failed
// answer, and delivers the failed answer if no other target answers.
func TestRetryFailures(t *testing.T) {
	failure := script{status: http.StatusInternalServerError, chunks: []string{"failed"}, end: io.EOF}
	tests := []struct {
		name   string
		second script
		want   string
	}{
		{"the second answers", script{chunks: []string{"fine"}, end: io.EOF}, "fine"},
		{"the second fails too", failure, "failed"},
		{"the second does not answer", script{startErr: errBroken}, "failed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(map[swid.TargetID][]script{"a": {failure}, "b": {tt.second}})
			r := f.request(false, false)
			r.RetryFailures, r.Attempts = true, 2
			reports, out := f.serve(r)
			for _, target := range []swid.TargetID{"a", "b"} {
				grantRequest, _ := expect[swmsg.GrantRequest](t, f)
				f.grant("owner", grantRequest, target)
			}
			if report := <-reports; report.End.Outcome != swlife.OutcomeAnswered || report.Attempts != 2 {
				t.Errorf("report is %+v", report)
			}
			if string(out.data) != tt.want {
				t.Errorf("delivered %q, want %q", out.data, tt.want)
			}
		})
	}
}

// TestLengthOfWholeAnswer guards against an answer that is held whole and sent without its length, so that callers of HTTP/1.0 could not tell
// if it is cut.
func TestLengthOfWholeAnswer(t *testing.T) {
	failure := script{status: http.StatusInternalServerError, chunks: []string{"failed"}, end: io.EOF}
	tests := []struct {
		name    string
		stream  bool
		scripts []script
		want    string
	}{
		{"in pieces", false, []script{{chunks: []string{"x", "yz"}, end: io.EOF}}, "3"},
		{"a stream", true, []script{{chunks: []string{"x", "yz"}, end: io.EOF}}, ""},
		{"an empty answer", false, []script{{end: io.EOF}}, ""},
		{"an error", false, []script{{status: http.StatusNotFound, chunks: []string{"none"}, end: io.EOF}}, "4"},
		{"an earlier error", false, []script{failure, {startErr: errBroken}}, "6"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(map[swid.TargetID][]script{"a": tt.scripts[:1], "b": tt.scripts[1:]})
			r := f.request(tt.stream, false)
			r.RetryFailures, r.Attempts = len(tt.scripts) > 1, 2
			reports, out := f.serve(r)
			for i := range tt.scripts {
				grantRequest, _ := expect[swmsg.GrantRequest](t, f)
				f.grant("owner", grantRequest, []swid.TargetID{"a", "b"}[i])
			}
			<-reports
			if got := out.header.Get("Content-Length"); got != tt.want {
				t.Errorf("length %q, want %q", got, tt.want)
			}
		})
	}
}

// TestLastAttemptWaits guards against an attempt that is given up to leave time for another one when none may follow.
func TestLastAttemptWaits(t *testing.T) {
	const limit = 700 * swclock.Millis(1)
	unsent := script{startErr: &swtarget.Error{Failure: swtarget.FailureNotStarted, Unsent: true, Err: errors.New("not connected")}}
	silent := script{startErr: &swtarget.Error{Failure: swtarget.FailureStalled, Err: errors.New("silent")}}
	answer := script{chunks: []string{"x"}, end: io.EOF}
	broken := script{chunks: []string{"x"}, end: errBroken, lastEventID: "1"}
	hang := script{hang: true}
	tests := []struct {
		name     string
		attempts swid.Attempt
		stream   bool
		limit    swclock.Millis
		scripts  []script
		// limited tells of each attempt whether it has a limit.
		limited []bool
		result  swcell.Result
		cause   swlife.Cause
	}{
		{"one attempt", 1, false, limit, []script{answer}, []bool{false}, swcell.ResultAnswered, swlife.CauseNone},
		{"one attempt of a stream", 1, true, 0, []script{answer}, []bool{false}, swcell.ResultAnswered, swlife.CauseNone},
		{"two attempts", 2, false, limit, []script{silent, answer}, []bool{true, false}, swcell.ResultAnswered, swlife.CauseNone},
		{"two attempts of a stream", 2, true, 0, []script{broken, answer}, []bool{true, false}, swcell.ResultAnswered, swlife.CauseNone},
		{"as many as there may be", 0, false, limit, []script{silent, silent, silent, answer}, []bool{true, true, true, false}, swcell.ResultAnswered, swlife.CauseNone},
		{"unsent attempts do not count", 2, false, limit, []script{unsent, silent, answer}, []bool{true, true, false}, swcell.ResultAnswered, swlife.CauseNone},
		{"silent to the deadline", 1, false, limit, []script{hang}, []bool{false}, swcell.ResultNoAnswer, swlife.CauseDeadline},
		{"silent to the deadline where it is not given up", 2, false, limit, []script{hang}, []bool{true}, swcell.ResultNoAnswer, swlife.CauseDeadline},
		{"silent to the deadline after another", 2, false, limit, []script{silent, hang}, []bool{true, false}, swcell.ResultNoAnswer, swlife.CauseDeadline},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				scripts := make(map[swid.TargetID][]script)
				for i, s := range tt.scripts {
					scripts[swid.TargetID(fmt.Sprint(i))] = []script{s}
				}
				f := newFixture(scripts)
				r := f.request(tt.stream, false)
				r.Attempts, r.FirstOutputTimeout, r.ResumeElsewhere, r.NotResumable = tt.attempts, tt.limit, tt.stream, true
				r.Deadline = f.holder.config.Clock.Now() + 10*swclock.Second
				reports, _ := f.serve(r)
				var done swmsg.Done
				for i := range tt.scripts {
					grantRequest, _ := expect[swmsg.GrantRequest](t, f)
					f.grant("owner", grantRequest, swid.TargetID(fmt.Sprint(i)))
					done, _ = expect[swmsg.Done](t, f)
				}
				if report := <-reports; report.End.Cause != tt.cause || done.Result != tt.result {
					t.Errorf("ended with cause %v and result %v, want %v and %v", report.End.Cause, done.Result, tt.cause, tt.result)
				}
				var limited []bool
				for _, call := range f.calls {
					limited = append(limited, call.FirstOutputTimeout > 0)
				}
				if !slices.Equal(limited, tt.limited) {
					t.Errorf("attempts with a limit: %v, want %v", limited, tt.limited)
				}
			})
		})
	}
}

// TestOnlyTargetWaits guards against an attempt that is given up at half of its time though the request can be sent to no other target, and
// against one that is not given up once there is another.
func TestOnlyTargetWaits(t *testing.T) {
	type listed = map[swid.TargetID]swpool.Target
	accepting := swpool.Target{Accepting: true, Origin: sworigin.Origin{Service: "s", Version: "v1"}}
	other := swpool.Target{Accepting: true, Origin: sworigin.Origin{Service: "s", Version: "v2"}}
	tests := []struct {
		name string
		// listed has the targets beside "a", which gets the request, and "tried", which was tried before.
		listed    listed
		leaving   []swid.TargetID
		continues bool
		givesUp   bool
	}{
		{name: "no other target"},
		{name: "another one", listed: listed{"b": accepting}, givesUp: true},
		{name: "the other one drains", listed: listed{"b": {Origin: accepting.Origin}}},
		{name: "the other one says that it is leaving", listed: listed{"b": accepting}, leaving: []swid.TargetID{"b"}},
		{name: "one of the others stays", listed: listed{"b": accepting, "c": accepting}, leaving: []swid.TargetID{"b"}, givesUp: true},
		{name: "another version", listed: listed{"b": other}, givesUp: true},
		{name: "another version for a stream that goes on", listed: listed{"b": other}, continues: true},
		{name: "the version of a stream that goes on", listed: listed{"b": accepting}, continues: true, givesUp: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixtureWithConfig(map[swid.TargetID][]script{"tried": {{startErr: errBroken}}, "a": {{hang: true}}}, func(c *Config) {
					c.Closed = func(target swid.TargetID, _ swclock.Millis) (swlimit.Statement, bool) {
						leaving := slices.Contains(tt.leaving, target)
						return swlimit.Statement{Heard: leaving, Leaving: leaving}, leaving
					}
				})
				f.listed = listed{"tried": accepting, "a": accepting}
				r := f.request(tt.continues, false)
				if tt.continues {
					r.Continuation, r.ResumeElsewhere = sworigin.Continuation{Continues: true}, true
				}
				r.Deadline = f.holder.config.Clock.Now() + 10*swclock.Second
				reports, _ := f.serve(r)
				for _, target := range []swid.TargetID{"tried", "a"} {
					m, _ := expect[swmsg.GrantRequest](t, f)
					f.holder.Receive(swlink.Peer{Host: "owner"}, swmsg.Grant{Cell: m.Cell, Seq: m.Seq, Attempt: m.Attempt, Target: target, Origin: accepting.Origin})
				}
				synctest.Wait()
				giveUp := f.calls[1].GiveUp
				if giveUp() {
					t.Error("given up before there is another target")
				}
				f.mu.Lock()
				maps.Copy(f.listed, tt.listed)
				f.mu.Unlock()
				if got := giveUp(); got != tt.givesUp {
					t.Errorf("given up: %t, want %t", got, tt.givesUp)
				}
				<-reports
			})
		})
	}
}

// limitedRetries is a budget of a number of retries. It implements Retries.
type limitedRetries struct{ left int }

func (l *limitedRetries) Take(swid.ServiceID) bool {
	if l.left == 0 {
		return false
	}
	l.left--
	return true
}

func (l *limitedRetries) GiveBack(swid.ServiceID, swclock.Millis) { l.left++ }

// TestUnsentAttemptsTakeNoRetry guards against retries of the budget that are used up by attempts that reach no target, or by none.
func TestUnsentAttemptsTakeNoRetry(t *testing.T) {
	answer := script{chunks: []string{"x"}, end: io.EOF}
	broken := script{startErr: errBroken}
	unsent := script{startErr: &swtarget.Error{Failure: swtarget.FailureNotStarted, Unsent: true, Err: errors.New("not connected")}}
	rejecting := script{startErr: &swtarget.Error{Failure: swtarget.FailureNotStarted, Err: errors.New("no room")}}
	silent := script{startErr: &swtarget.Error{Failure: swtarget.FailureStalled, Err: errors.New("silent")}, stalls: true}
	slow := script{asks: true, chunks: []string{"x"}, end: io.EOF}
	tests := []struct {
		name    string
		retries int
		// scripts are those of the targets that are granted; the grant request after the last of them is rejected.
		scripts []script
		cause   swlife.Cause
		left    int
	}{
		{"unsent after sent", 1, []script{broken, unsent, answer}, swlife.CauseNone, 0},
		{"several unsent after sent", 1, []script{broken, unsent, unsent, answer}, swlife.CauseNone, 0},
		{"unsent after one that was given up", 1, []script{silent, unsent, answer}, swlife.CauseNone, 0},
		{"unsent after a retry that was given up", 2, []script{broken, silent, unsent, answer}, swlife.CauseNone, 0},
		{"unsent before sent", 1, []script{unsent, broken, answer}, swlife.CauseNone, 0},
		{"sent twice", 1, []script{broken, broken}, swlife.CauseRetryBudget, 0},
		{"rejected by its target", 1, []script{broken, rejecting}, swlife.CauseRetryBudget, 0},
		{"answered before it is given up", 1, []script{slow}, swlife.CauseNone, 1},
		{"retry answered before it is given up", 2, []script{broken, slow}, swlife.CauseNone, 1},
		{"no further grant", 1, []script{broken}, swlife.CauseOverload, 1},
		{"no further grant after unsent", 2, []script{broken, unsent}, swlife.CauseOverload, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			scripts := make(map[swid.TargetID][]script)
			for i, s := range tt.scripts {
				scripts[swid.TargetID(fmt.Sprint(i))] = []script{s}
			}
			f := newFixture(scripts)
			budget := &limitedRetries{left: tt.retries}
			f.holder.config.Retries = budget
			reports, _ := f.serve(f.request(false, false))
			go func() {
				for s := range f.sent {
					m, waits := s.message.(swmsg.GrantRequest)
					switch {
					case !waits:
					case int(m.Attempt) <= len(tt.scripts):
						f.grant(s.to, m, swid.TargetID(fmt.Sprint(m.Attempt-1)))
					default:
						f.holder.Receive(swlink.Peer{Host: s.to}, swmsg.Reject{Cell: m.Cell, Seq: m.Seq, Attempt: m.Attempt, Reason: swcell.ReasonOverload})
					}
				}
			}()
			if report := <-reports; report.End.Cause != tt.cause || int(report.Attempts) != len(tt.scripts) || budget.left != tt.left {
				t.Errorf("%d attempts, ended with %+v, %d retries left, want %v and %d", report.Attempts, report.End, budget.left, tt.cause, tt.left)
			}
			close(f.sent)
		})
	}
}

// TestGiveUpTakesRetry guards against an attempt that is given up while the budget allows no other one, and against a retry that is
// counted twice.
func TestGiveUpTakesRetry(t *testing.T) {
	silent := script{startErr: &swtarget.Error{Failure: swtarget.FailureStalled, Err: errors.New("silent")}, stalls: true, chunks: []string{"x"}, end: io.EOF}
	for _, retries := range []int{0, 1, 2} {
		f := newFixture(map[swid.TargetID][]script{"a": {silent}, "b": {silent}, "c": {{chunks: []string{"x"}, end: io.EOF}}})
		budget := &limitedRetries{left: retries}
		f.holder.config.Retries = budget
		reports, out := f.serve(f.request(false, false))
		for _, target := range []swid.TargetID{"a", "b", "c"}[:retries+1] {
			grantRequest, _ := expect[swmsg.GrantRequest](t, f)
			f.grant("owner", grantRequest, target)
		}
		report := <-reports
		if report.End.Outcome != swlife.OutcomeAnswered || int(report.Attempts) != retries+1 || string(out.data) != "x" || budget.left != 0 {
			t.Errorf("with %d retries: report %+v, delivered %q, %d retries left", retries, report, out.data, budget.left)
		}
	}
}

// TestLateAttempt guards against a target that is taken for silent because a request was sent to it shortly before its deadline.
func TestLateAttempt(t *testing.T) {
	const limit = 700 * swclock.Millis(1)
	for remaining, want := range map[swclock.Millis]swcell.Result{100: swcell.ResultCancelled, limit: swcell.ResultNoAnswer} {
		t.Run(fmt.Sprint(remaining), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(map[swid.TargetID][]script{"a": {{hang: true}}})
				r := f.request(false, false)
				r.Attempts, r.FirstOutputTimeout = 1, limit
				r.Deadline = f.holder.config.Clock.Now() + 10*swclock.Second
				reports, _ := f.serve(r)
				grantRequest, _ := expect[swmsg.GrantRequest](t, f)
				time.Sleep((10*swclock.Second - remaining).Duration())
				f.grant("owner", grantRequest, "a")
				report := <-reports
				if done, _ := expect[swmsg.Done](t, f); done.Result != want || report.End.Cause != swlife.CauseDeadline {
					t.Errorf("ended with %+v and result %v, want %v", report.End, done.Result, want)
				}
			})
		})
	}
}

// TestStreamOnLostPath guards against a stream that has begun and is not ended where its path is lost, so that its caller cannot take it up.
func TestStreamOnLostPath(t *testing.T) {
	tests := []struct {
		name     string
		attempts swid.Attempt
		chunks   []string
		retries  int
		givesUp  bool
	}{
		{"last attempt, silent", 1, nil, 1, false},
		{"last attempt, begun", 1, []string{"x"}, 1, true},
		{"no retry allowed, silent", 2, nil, 0, false},
		{"no retry allowed, begun", 2, []string{"x"}, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(map[swid.TargetID][]script{"a": {{chunks: tt.chunks, hang: true, lastEventID: "1"}}, "b": nil})
				budget := &limitedRetries{left: tt.retries}
				f.holder.config.Retries = budget
				r := f.request(true, false)
				r.Attempts, r.ResumeElsewhere, r.NotResumable = tt.attempts, true, true
				r.Deadline = f.holder.config.Clock.Now() + 10*swclock.Second
				reports, _ := f.serve(r)
				grantRequest, _ := expect[swmsg.GrantRequest](t, f)
				f.grant("owner", grantRequest, "a")
				synctest.Wait()
				if giveUp := f.calls[0].GiveUp; giveUp == nil || giveUp() != tt.givesUp || budget.left != tt.retries {
					t.Errorf("not given up as wanted, %d retries left", budget.left)
				}
				<-reports
			})
		})
	}
}

// TestDeadlineTakesNoRetry guards against a request that ends at its deadline and takes a retry from the budget, or ends for want of one.
func TestDeadlineTakesNoRetry(t *testing.T) {
	for _, retries := range []int{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(map[swid.TargetID][]script{"a": {{hang: true}}})
			budget := &limitedRetries{left: retries}
			f.holder.config.Retries = budget
			r := f.request(false, false)
			r.Deadline = f.holder.config.Clock.Now() + 10*swclock.Second
			reports, _ := f.serve(r)
			grantRequest, _ := expect[swmsg.GrantRequest](t, f)
			f.grant("owner", grantRequest, "a")
			report := <-reports
			if report.End.Cause != swlife.CauseDeadline || report.End.Outcome != swlife.OutcomeUnknown || budget.left != retries {
				t.Errorf("with %d retries: ended with %+v, %d retries left", retries, report.End, budget.left)
			}
		})
	}
}

// TestCarried checks that an attempt for which the owner named a carrier is sent by it, and what the owner learns of
// its end.
func TestCarried(t *testing.T) {
	lost := &swtarget.Error{Failure: swtarget.FailureStalled, CarrierLost: true, Err: errors.New("carrier lost")}
	unreached := &swtarget.Error{Failure: swtarget.FailureNotStarted, Unsent: true, CarrierLost: true, Err: errors.New("no link")}
	paused := &swtarget.Error{
		Failure: swtarget.FailureNotStarted, Unsent: true, Statement: swlimit.Statement{Heard: true, Pause: 500}, Err: errors.New("paused"),
	}
	tests := []struct {
		name          string
		script        script
		nonIdempotent bool
		want          swmsg.Done
		outcome       swlife.Outcome
	}{
		{"answered", script{chunks: []string{"x"}, end: io.EOF}, true, swmsg.Done{Result: swcell.ResultAnswered}, swlife.OutcomeAnswered},
		{"lost before its answer", script{startErr: lost}, true, swmsg.Done{Result: swcell.ResultNoAnswer, CarrierLost: true}, swlife.OutcomeUnknown},
		{"lost during its answer", script{chunks: []string{"x"}, end: lost}, true, swmsg.Done{Result: swcell.ResultNoAnswer, CarrierLost: true}, swlife.OutcomeUnknown},
		{"never reached", script{startErr: unreached}, true, swmsg.Done{Result: swcell.ResultNotStarted, CarrierLost: true}, swlife.OutcomeNotRun},
		{"asked to pause", script{startErr: paused}, true, swmsg.Done{Result: swcell.ResultNotStarted}, swlife.OutcomeNotRun},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			var statements []swlimit.Statement
			f := newFixture(map[swid.TargetID][]script{"carrier/a": {e.script}})
			f.holder.config.Cut = func(swid.ServiceID) bool { return true }
			f.holder.config.Carry = func(carrier swid.HostID, _ swid.CellID, target swid.TargetID) swtarget.Adapter {
				return scriptedAdapter{f, swid.TargetID(carrier) + "/" + target}
			}
			f.holder.config.OnStatement = func(_ *Request, _ swid.TargetID, s swlimit.Statement, _ swclock.Millis) {
				statements = append(statements, s)
			}
			r := f.request(false, e.nonIdempotent)
			r.Attempts = 1
			reports, _ := f.serve(r)
			request, _ := expect[swmsg.GrantRequest](t, f)
			if !request.Carry {
				t.Error("the owner is not told that this host reaches no target")
			}
			f.holder.Receive(swlink.Peer{Host: "owner"}, swmsg.Grant{
				Cell: request.Cell, Seq: request.Seq, Attempt: request.Attempt, Target: "a", Carrier: "carrier",
			})
			done, _ := expect[swmsg.Done](t, f)
			if done.Result != e.want.Result || done.CarrierLost != e.want.CarrierLost || done.PathLost {
				t.Errorf("the owner got result %v, carrier lost %t, path lost %t, want %v, %t and false",
					done.Result, done.CarrierLost, done.PathLost, e.want.Result, e.want.CarrierLost)
			}
			if e.outcome == swlife.OutcomeNotRun {
				request, _ = expect[swmsg.GrantRequest](t, f)
				f.grant("owner", request, "a") // the target that it was granted before ends the request
			}
			if report := <-reports; report.Carrier != "carrier" || report.End.Outcome != e.outcome {
				t.Errorf("report is %+v, want outcome %v by way of the carrier", report, e.outcome)
			}
			for _, s := range statements {
				if s.Pause > 0 {
					t.Error("what a target wants of the carrier is taken for a wish to this host")
				}
			}
		})
	}
}

// TestPathLost checks that an owner learns which failures say nothing of the target.
func TestPathLost(t *testing.T) {
	for _, cut := range []bool{false, true} {
		f := newFixture(map[swid.TargetID][]script{"a": {{startErr: errBroken}}})
		f.holder.config.Cut = func(swid.ServiceID) bool { return cut }
		r := f.request(false, false)
		r.Attempts = 1
		reports, _ := f.serve(r)
		request, _ := expect[swmsg.GrantRequest](t, f)
		f.grant("owner", request, "a")
		if done, _ := expect[swmsg.Done](t, f); done.PathLost != cut {
			t.Errorf("path lost is %t for a host that is cut off: %t", done.PathLost, cut)
		}
		<-reports
	}
}

// TestResumeElsewhere checks that a broken stream continues at another target after
// the last event that the caller received.
func TestResumeElsewhere(t *testing.T) {
	f := newFixture(map[swid.TargetID][]script{
		"a": {{chunks: []string{"1", "2"}, end: errBroken, lastEventID: "e2"}}, "b": {{chunks: []string{"3"}, end: io.EOF}},
	})
	r := f.request(true, false)
	r.ResumeElsewhere, r.Attempts = true, 2
	reports, out := f.serve(r)
	for _, target := range []swid.TargetID{"a", "b"} {
		grantRequest, _ := expect[swmsg.GrantRequest](t, f)
		f.grant("owner", grantRequest, target)
	}
	if report := <-reports; report.End.Outcome != swlife.OutcomeAnswered || string(out.data) != "123" {
		t.Errorf("report is %+v, delivered %q", report, out.data)
	}
	if after := f.calls[1].LastEventID; after != "e2" {
		t.Errorf("continued after event %q, want e2", after)
	}
}

// TestNotContinued guards against an answer that is no part of a stream which broke off, and is delivered in its middle or taken for
// its end.
func TestNotContinued(t *testing.T) {
	begun := script{chunks: []string{"1", "2"}, end: errBroken, lastEventID: "e2"}
	tests := []struct {
		name   string
		answer script
	}{
		{"not found, with text", script{status: http.StatusNotFound, chunks: []string{"not here"}, end: io.EOF}},
		{"no content", script{status: http.StatusNoContent, end: io.EOF}},
		{"found elsewhere", script{status: http.StatusFound, end: io.EOF}},
		{"a failure", script{status: http.StatusInternalServerError, chunks: []string{"failed"}, end: io.EOF}},
		{"another media type", script{mediaType: "application/json", chunks: []string{"{}"}, end: io.EOF, lastEventID: "e3"}},
		{"no event", script{end: io.EOF}},
		{"an event that does not follow", script{end: &swtarget.Error{Failure: swtarget.FailureNotContinued, Err: errors.New("event 1")}}},
	}
	for _, tt := range tests {
		for _, attempts := range []swid.Attempt{2, 3} {
			t.Run(fmt.Sprint(tt.name, ", attempts: ", attempts), func(t *testing.T) {
				rest := script{chunks: []string{"3"}, end: io.EOF, lastEventID: "e3", mediaType: "text/plain; charset=utf-8"}
				f := newFixture(map[swid.TargetID][]script{"a": {begun}, "b": {tt.answer}, "c": {rest}})
				r := f.request(true, false)
				r.ResumeElsewhere, r.RetryFailures, r.Attempts = true, true, attempts
				reports, out := f.serve(r)
				for _, target := range []swid.TargetID{"a", "b", "c"}[:attempts] {
					grantRequest, _ := expect[swmsg.GrantRequest](t, f)
					f.grant("owner", grantRequest, target)
				}
				report := <-reports
				wantOutcome, wantData := swlife.OutcomeUnknown, "12"
				if attempts == 3 {
					wantOutcome, wantData = swlife.OutcomeAnswered, "123"
				}
				if report.End.Outcome != wantOutcome || string(out.data) != wantData || !report.Begun {
					t.Errorf("report is %+v, delivered %q, want outcome %v and %q", report, out.data, wantOutcome, wantData)
				}
				if after := f.calls[len(f.calls)-1].LastEventID; after != "e2" {
					t.Errorf("the last try continues after event %q, want e2", after)
				}
			})
		}
	}
}

// TestStreamWithoutIDs guards against a stream whose events have no ids and which is begun anew at another target, after part of it
// was delivered.
func TestStreamWithoutIDs(t *testing.T) {
	f := newFixture(map[swid.TargetID][]script{"a": {{chunks: []string{"1", "2"}, end: errBroken}}, "b": {{chunks: []string{"1", "2", "3"}, end: io.EOF}}})
	r := f.request(true, false)
	r.ResumeElsewhere, r.Attempts = true, 2
	reports, out := f.serve(r)
	grantRequest, _ := expect[swmsg.GrantRequest](t, f)
	f.grant("owner", grantRequest, "a")
	if report := <-reports; report.End.Outcome != swlife.OutcomeUnknown || string(out.data) != "12" || len(f.calls) != 1 {
		t.Errorf("report is %+v, delivered %q in %d tries", report, out.data, len(f.calls))
	}
}

// TestContinuedLate guards against streams that break late and are not continued, because they are taken for
// ones without output that their callers have abandoned.
func TestContinuedLate(t *testing.T) {
	clock := &swclock.Manual{}
	clock.Advance(swclock.Second)
	broken := script{chunks: []string{"1"}, wait: make(chan struct{}), end: errBroken, lastEventID: "e1"}
	f := newFixtureWithConfig(map[swid.TargetID][]script{"a": {broken}, "b": {{chunks: []string{"2"}, end: io.EOF}}}, func(c *Config) { c.Clock = clock })
	r := f.request(true, false)
	r.ResumeElsewhere, r.Attempts, r.AbandonAfter, r.Objective = true, 2, 4*swclock.Second, 2*swclock.Second
	reports, _ := f.serve(r)
	grantRequest, _ := expect[swmsg.GrantRequest](t, f)
	if grantRequest.Abandon != 4*swclock.Second || grantRequest.Objective != swclock.Second {
		t.Errorf("a new stream is abandoned after %d ms and late after %d, want 4000 and 1000", grantRequest.Abandon, grantRequest.Objective)
	}
	f.grant("owner", grantRequest, "a")
	clock.Advance(10 * swclock.Second) // the events of the stream, of which the last one comes now
	close(broken.wait)
	grantRequest, _ = expect[swmsg.GrantRequest](t, f)
	if grantRequest.Abandon != 4*swclock.Second || grantRequest.Objective != 0 {
		t.Errorf("a stream that has just broken is abandoned after %d ms and late after %d, want 4000 and 0", grantRequest.Abandon, grantRequest.Objective)
	}
	f.grant("owner", grantRequest, "b")
	if report := <-reports; report.End.Outcome != swlife.OutcomeAnswered {
		t.Errorf("report is %+v", report)
	}
}

// TestContinuedVersion guards against streams that are continued at another software version than the one that
// began them, whatever the owner grants.
func TestContinuedVersion(t *testing.T) {
	v1, v2 := sworigin.Origin{Service: "s", Version: "v1"}, sworigin.Origin{Service: "s", Version: "v2"}
	begun := []script{{chunks: []string{"1"}, end: errBroken, lastEventID: "e1"}}
	rest := []script{{chunks: []string{"2"}, end: io.EOF}}
	tests := []struct {
		name string
		// takesUp is set if the caller takes the stream up, and recorded what this host knows of it.
		takesUp  bool
		recorded sworigin.Origin
		// granted are the targets that the owner grants, a and c of v1, b of v2, and resolved what it knows of
		// the stream.
		granted  []swid.TargetID
		resolved sworigin.Origin
		outcome  swlife.Outcome
		cause    swlife.Cause
		// declined are the targets whose grants are cancelled.
		declined []swid.TargetID
	}{
		{name: "broken, continued at the version", granted: []swid.TargetID{"a", "b", "c"}, outcome: swlife.OutcomeAnswered, declined: []swid.TargetID{"b"}},
		{name: "taken up, known to this host", takesUp: true, recorded: v1, granted: []swid.TargetID{"b", "c"}, outcome: swlife.OutcomeAnswered, declined: []swid.TargetID{"b"}},
		{name: "taken up, known to the owner", takesUp: true, resolved: v1, granted: []swid.TargetID{"c"}, outcome: swlife.OutcomeAnswered},
		{name: "taken up, the owner grants another version", takesUp: true, resolved: v2, granted: []swid.TargetID{"c", "b"}, outcome: swlife.OutcomeAnswered, declined: []swid.TargetID{"c"}},
		{name: "taken up, known to nobody", takesUp: true, granted: []swid.TargetID{"c"}, outcome: swlife.OutcomeNotRun, cause: swlife.CauseVersionUnknown, declined: []swid.TargetID{"c"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			register := sworigin.NewRegister(10)
			f := newFixtureWithConfig(map[swid.TargetID][]script{"a": begun, "b": rest, "c": rest}, func(c *Config) { c.Origins = register })
			f.versions = map[swid.TargetID]swid.SoftwareVersion{"b": "v2"}
			r := f.request(true, false)
			r.ResumeElsewhere, r.Attempts, r.Stream, r.ContinuableUntil = true, 3, sworigin.StreamOf("new"), swclock.Hour
			if tt.takesUp {
				r.Continuation = sworigin.Continuation{Continues: true, Stream: sworigin.StreamOf("first")}
				r.Call.LastEventID = "e1"
			}
			if tt.recorded.Known() {
				register.Add(sworigin.Begun{Stream: sworigin.StreamOf("first"), Origin: tt.recorded, Retention: swclock.Minute}, 0)
			}
			reports, _ := f.serve(r)
			var declined []swid.TargetID
			var latest swid.TargetID
			for _, target := range tt.granted {
				for s := range f.sent {
					if m, isRequest := s.message.(swmsg.GrantRequest); isRequest {
						f.holder.Receive(swlink.Peer{Host: "owner"}, swmsg.Grant{Cell: m.Cell, Seq: m.Seq, Attempt: m.Attempt, Target: target, Origin: tt.resolved})
						latest = target
						break
					}
					if _, cancelled := s.message.(swmsg.Withdraw); cancelled {
						declined = append(declined, latest)
					}
				}
			}
			report := <-reports
			close(f.sent)
			for s := range f.sent {
				if _, cancelled := s.message.(swmsg.Withdraw); cancelled {
					declined = append(declined, latest)
				}
			}
			if report.End.Outcome != tt.outcome || report.End.Cause != tt.cause {
				t.Errorf("ended %s, %s, want %s, %s", report.End.Outcome, report.End.Cause, tt.outcome, tt.cause)
			}
			if !slices.Equal(declined, tt.declined) {
				t.Errorf("declined %v, want %v", declined, tt.declined)
			}
			if origin, known := register.Find(sworigin.StreamOf("new"), 0); known == tt.takesUp || known && origin != v1 {
				t.Errorf("the request's own stream is recorded %t with %v", known, origin)
			}
		})
	}
}

// TestEndWaiting checks that EndWaiting ends a request that waits for a grant, and
// that a later request still runs to its end.
func TestEndWaiting(t *testing.T) {
	f := newFixture(map[swid.TargetID][]script{"a": {{chunks: []string{"x"}, end: io.EOF}}})
	waiting, _ := f.serve(f.request(false, true))
	expect[swmsg.GrantRequest](t, f)
	f.holder.EndWaiting()
	if r := <-waiting; r.End.Outcome != swlife.OutcomeNotRun || r.End.Cause != swlife.CauseShutdown || r.End.RetryAfter == 0 {
		t.Errorf("report is %+v", r)
	}
	if m, to := expect[swmsg.Withdraw](t, f); to != "owner" || m.Attempt != 1 {
		t.Errorf("cancelled %+v at %s", m, to)
	}
	running, out := f.serve(f.request(false, true))
	grantRequest, _ := expect[swmsg.GrantRequest](t, f)
	f.grant("owner", grantRequest, "a")
	if r := <-running; r.End.Outcome != swlife.OutcomeAnswered || string(out.data) != "x" {
		t.Errorf("report is %+v", r)
	}
}

// TestEndAll checks how requests end that wait, run or are granted when the host stops.
func TestEndAll(t *testing.T) {
	hanging := script{chunks: []string{"x"}, hang: true}
	tests := []struct {
		name                  string
		stream, nonIdempotent bool
		granted, endedBefore  bool
		want                  swlife.Outcome
		begun                 bool
	}{
		{name: "waiting", want: swlife.OutcomeNotRun},
		{name: "running", granted: true, want: swlife.OutcomeUnknown},
		{name: "running, non-idempotent", nonIdempotent: true, granted: true, want: swlife.OutcomeUnknown},
		{name: "stream that has begun", stream: true, granted: true, want: swlife.OutcomeUnknown, begun: true},
		{name: "sent later", endedBefore: true, want: swlife.OutcomeNotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(map[swid.TargetID][]script{"a": {hanging}})
				if tt.endedBefore {
					f.holder.EndAll()
				}
				reports, _ := f.serve(f.request(tt.stream, tt.nonIdempotent))
				grantRequest, _ := expect[swmsg.GrantRequest](t, f)
				if tt.granted {
					f.grant("owner", grantRequest, "a")
				}
				synctest.Wait()
				f.holder.EndAll()
				r := <-reports
				if r.End.Outcome != tt.want || r.End.Cause != swlife.CauseShutdown || r.End.RetryAfter == 0 || r.Begun != tt.begun {
					t.Errorf("report is %+v", r)
				}
				if wantStarts := map[bool]int{true: 1}[tt.granted]; f.starts["a"] != wantStarts {
					t.Errorf("%d attempts, want %d", f.starts["a"], wantStarts)
				}
			})
		})
	}
}

// TestStartLeaving checks which granted requests a leaving host does not dispatch.
func TestStartLeaving(t *testing.T) {
	const endsAfter = 2 * swclock.Second
	tests := []struct {
		name                      string
		sentBefore, nonIdempotent bool
		total                     swclock.Millis
		want                      swlife.Outcome
	}{
		{name: "sent before", sentBefore: true, nonIdempotent: true, total: 3 * swclock.Second, want: swlife.OutcomeAnswered},
		{name: "may be repeated", total: 3 * swclock.Second, want: swlife.OutcomeAnswered},
		{name: "can finish", nonIdempotent: true, total: swclock.Second, want: swlife.OutcomeAnswered},
		{name: "cannot finish", nonIdempotent: true, total: 3 * swclock.Second, want: swlife.OutcomeNotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(map[swid.TargetID][]script{"a": {{chunks: []string{"x"}, end: io.EOF}}})
				leave := func() {
					time.Sleep(time.Millisecond)
					f.holder.StartLeaving(f.holder.config.Clock.Now() + endsAfter)
				}
				if !tt.sentBefore {
					leave()
				}
				reports, _ := f.serve(f.request(false, tt.nonIdempotent))
				request, _ := expect[swmsg.GrantRequest](t, f)
				if tt.sentBefore {
					leave()
				}
				f.holder.Receive(swlink.Peer{Host: "owner"}, swmsg.Grant{
					Cell: request.Cell, Seq: request.Seq, Attempt: request.Attempt, Target: "a", Total: tt.total,
				})
				r := <-reports
				if r.End.Outcome != tt.want {
					t.Errorf("ended as %+v, want %v", r.End, tt.want)
				}
				if r.End.Outcome != swlife.OutcomeNotRun {
					return
				}
				if m, to := expect[swmsg.Withdraw](t, f); to != "owner" || m.Attempt != request.Attempt {
					t.Errorf("cancelled %+v at %s", m, to)
				}
				if r.End.Cause != swlife.CauseShutdown || r.End.RetryAfter == 0 || f.starts["a"] != 0 {
					t.Errorf("ended as %+v, %d attempts", r.End, f.starts["a"])
				}
			})
		})
	}
}

// TestOutcomes checks the outcome and the delivered data for scripted answers of targets.
func TestOutcomes(t *testing.T) {
	whole := script{chunks: []string{"x", "y"}, end: io.EOF}
	notStarted := script{startErr: &swtarget.Error{Failure: swtarget.FailureNotStarted, Err: errors.New("refused")}}
	tests := []struct {
		name          string
		stream        bool
		nonIdempotent bool
		scripts       map[swid.TargetID][]script
		grants        []swid.TargetID
		want          swlife.Outcome
		data          string
	}{
		{"whole", false, false, map[swid.TargetID][]script{"a": {whole}}, []swid.TargetID{"a"}, swlife.OutcomeAnswered, "xy"},
		{"broken then elsewhere", false, false, map[swid.TargetID][]script{"a": {{chunks: []string{"x"}, end: errBroken}}, "b": {whole}}, []swid.TargetID{"a", "b"}, swlife.OutcomeAnswered, "xy"},
		{"stream resumed", true, false, map[swid.TargetID][]script{"a": {{chunks: []string{"x"}, end: errBroken}, {chunks: []string{"y"}, end: io.EOF}}}, []swid.TargetID{"a"}, swlife.OutcomeAnswered, "xy"},
		{"stream not resumable", true, false, map[swid.TargetID][]script{"a": {{chunks: []string{"x"}, end: errBroken}, notStarted}}, []swid.TargetID{"a"}, swlife.OutcomeUnknown, "x"},
		{"non-idempotent refused then elsewhere", false, true, map[swid.TargetID][]script{"a": {notStarted}, "b": {whole}}, []swid.TargetID{"a", "b"}, swlife.OutcomeAnswered, "xy"},
		{"broken by the end of the connection", false, true, map[swid.TargetID][]script{"a": {{chunks: []string{"x"}, end: errEnded}}}, []swid.TargetID{"a"}, swlife.OutcomeUnknown, ""},
		{"non-idempotent broken", false, true, map[swid.TargetID][]script{"a": {{end: errBroken}}}, []swid.TargetID{"a"}, swlife.OutcomeUnknown, ""},
		{"granted twice to one target", false, false, map[swid.TargetID][]script{"a": {notStarted}}, []swid.TargetID{"a", "a"}, swlife.OutcomeNotRun, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(tt.scripts)
			reports, out := f.serve(f.request(tt.stream, tt.nonIdempotent))
			for _, target := range tt.grants {
				grantRequest, _ := expect[swmsg.GrantRequest](t, f)
				f.grant("owner", grantRequest, target)
			}
			if r := <-reports; r.End.Outcome != tt.want {
				t.Errorf("outcome %s, want %s", r.End.Outcome, tt.want)
			}
			if string(out.data) != tt.data {
				t.Errorf("delivered %q, want %q", out.data, tt.data)
			}
		})
	}
}

// TestInTime checks Report.InTime of a non-idempotent request, which may be answered
// after its deadline.
func TestInTime(t *testing.T) {
	tests := []struct {
		name   string
		delay  swclock.Millis
		inTime bool
	}{
		{"before the deadline", 0, true},
		{"after the deadline", 2 * swclock.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := &swclock.Manual{}
			wait := make(chan struct{})
			f := newFixture(map[swid.TargetID][]script{"a": {{chunks: []string{"x"}, end: io.EOF, wait: wait}}})
			f.holder.config.Clock = clock
			r := f.request(false, true)
			r.Deadline = swclock.Second
			reports, _ := f.serve(r)
			grantRequest, _ := expect[swmsg.GrantRequest](t, f)
			f.grant("owner", grantRequest, "a")
			for f.holder.lookup(grantRequest.Cell, grantRequest.Seq).runningOn() != "a" {
			}
			clock.Advance(tt.delay)
			close(wait)
			if report := <-reports; report.End.Outcome != swlife.OutcomeAnswered || report.InTime != tt.inTime {
				t.Errorf("report is %+v", report)
			}
		})
	}
}

// TestNoDispatchAfterCallerLeft guards against requests that reach a target after their caller has left.
func TestNoDispatchAfterCallerLeft(t *testing.T) {
	tests := []struct {
		name string
		// end ends the request between its grant and its dispatch.
		end   func(cancel context.CancelFunc, clock *swclock.Manual)
		cause swlife.Cause
	}{
		{"the caller disconnected", func(cancel context.CancelFunc, _ *swclock.Manual) { cancel() }, swlife.CauseCallerGone},
		{"the deadline passed", func(_ context.CancelFunc, clock *swclock.Manual) { clock.Advance(swclock.Hour) }, swlife.CauseDeadline},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := &swclock.Manual{}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			f := newFixtureWithConfig(map[swid.TargetID][]script{"a": {{chunks: []string{"x"}, end: io.EOF}}}, func(c *Config) {
				c.Clock = clock
				c.OnGranted = func(*Request) { tt.end(cancel, clock) }
			})
			reports := make(chan Report, 1)
			r := f.request(true, true)
			r.EndsAtDeadline = true
			go func() { reports <- f.holder.Serve(ctx, r, &bufferSink{}) }()
			grantRequest, owner := expect[swmsg.GrantRequest](t, f)
			f.grant(owner, grantRequest, "a")
			if end := (<-reports).End; end.Outcome != swlife.OutcomeNotRun || end.Cause != tt.cause {
				t.Errorf("the request ended with %+v, want outcome notRun and cause %v", end, tt.cause)
			}
			if f.starts["a"] != 0 {
				t.Errorf("the target got the request %d times", f.starts["a"])
			}
		})
	}
}

// TestDrain checks that a draining holder finishes its held requests and rejects new ones.
func TestDrain(t *testing.T) {
	f := newFixture(map[swid.TargetID][]script{"a": {{chunks: []string{"x"}, end: io.EOF}}})
	reports, out := f.serve(f.request(false, false))
	grantRequest, _ := expect[swmsg.GrantRequest](t, f)
	drained := make(chan error, 1)
	go func() { drained <- f.holder.Drain(context.Background()) }()
	for !f.holder.isDraining() {
	}
	refused := f.holder.Serve(context.Background(), f.request(false, false), &bufferSink{})
	if refused.End.Outcome != swlife.OutcomeNotRun || refused.End.Cause != swlife.CauseShutdown {
		t.Errorf("new request ended as %+v", refused.End)
	}
	f.grant("owner", grantRequest, "a")
	if r := <-reports; r.End.Outcome != swlife.OutcomeAnswered || string(out.data) != "x" {
		t.Errorf("held request ended as %+v with %q", r.End, out.data)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if m, _ := expect[swmsg.Done](t, f); m.Result != swcell.ResultAnswered {
		t.Errorf("reported %+v to the owner", m)
	}
}

func (h *Holder) isDraining() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.draining
}

// TestClaimNotRecorded checks the outcome, and the time after which the caller may retry,
// of a request whose claim could not be recorded.
func TestClaimNotRecorded(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want swclock.Millis
	}{
		{"no room", errors.WithMessage(&swclaim.FullError{RetryAfter: swclock.Hour}, "claim"), swclock.Hour},
		{"platform away", swclaim.ErrUnavailable, claimTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(nil)
			f.claimErr = tt.err
			r := f.request(false, true)
			r.IdempotencyKey = "k"
			reports, _ := f.serve(r)
			end := (<-reports).End
			if end.Outcome != swlife.OutcomeNotRun || end.Cause != swlife.CauseClaimUnavailable || end.RetryAfter != tt.want {
				t.Errorf("got %+v, want a retry after %d", end, tt.want)
			}
		})
	}
}

// TestOwnerAndCarryAgree guards against requests that go to this host itself, which knows no other hosts, with the demand to be carried,
// because the host finds itself cut off while it chooses the owner.
func TestOwnerAndCarryAgree(t *testing.T) {
	f := newFixture(nil)
	var cut atomic.Bool
	f.holder.config.Cut = func(swid.ServiceID) bool { return cut.Load() }
	f.holder.config.Router = routerFunc{f, func() { cut.Store(true) }}
	reports, _ := f.serve(f.request(false, false))
	if request, _ := expect[swmsg.GrantRequest](t, f); request.Carry {
		t.Error("the owner that was chosen before the host was cut off is asked for a carrier")
	}
	f.holder.EndWaiting()
	<-reports
}

// routerFunc is a Router that calls a function once it has chosen an owner.
type routerFunc struct {
	Router
	chosen func()
}

func (r routerFunc) Owner(cell swid.CellID) (swid.HostID, bool) {
	defer r.chosen()
	return r.Router.Owner(cell)
}
