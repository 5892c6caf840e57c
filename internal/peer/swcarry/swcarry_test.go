package swcarry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/peer/swpb"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// fakeTarget is a target that answers in parts. It implements swtarget.Adapter.
type fakeTarget struct {
	chunks []string
	// pause is the time before each part.
	pause time.Duration
	// startErr and endErr, if not nil, end the request instead of an answer, and the answer.
	startErr, endErr error
	statement        swlimit.Statement
	// header is that of the answer; nil stands for a usual one.
	header http.Header

	mu       sync.Mutex
	requests []swtarget.Request
	// left counts the requests that ended before their answer was complete.
	left int
}

func (f *fakeTarget) Start(ctx context.Context, r swtarget.Request) (swtarget.Answer, error) {
	f.mu.Lock()
	f.requests = append(f.requests, r)
	f.mu.Unlock()
	if f.startErr != nil {
		return nil, f.startErr
	}
	return &fakeAnswer{target: f, ctx: ctx}, nil
}

func (f *fakeTarget) counts() (requests, left int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests), f.left
}

type fakeAnswer struct {
	target *fakeTarget
	ctx    context.Context
	sent   int
}

func (*fakeAnswer) Status() int { return 203 }
func (a *fakeAnswer) Header() http.Header {
	if a.target != nil && a.target.header != nil {
		return a.target.header
	}
	return http.Header{"X-A": {"1", "2"}, "X-B": {""}}
}
func (a *fakeAnswer) Statement() swlimit.Statement { return a.target.statement }
func (*fakeAnswer) Usage() swtarget.Usage {
	return swtarget.Usage{PromptTokens: 5, OutputTokens: 6, CachedTokens: 7}
}

func (a *fakeAnswer) Next() (swtarget.Chunk, error) {
	select {
	case <-time.After(a.target.pause):
	case <-a.ctx.Done():
		a.target.mu.Lock()
		a.target.left++
		a.target.mu.Unlock()
		return swtarget.Chunk{}, &swtarget.Error{Failure: swtarget.FailureBroken, Err: a.ctx.Err()}
	}
	if a.sent == len(a.target.chunks) {
		if a.target.endErr != nil {
			return swtarget.Chunk{}, a.target.endErr
		}
		return swtarget.Chunk{}, io.EOF
	}
	a.sent++
	return swtarget.Chunk{Data: []byte(a.target.chunks[a.sent-1]), Tokens: 2, Events: 1, LastEventID: "e" + a.target.chunks[a.sent-1]}, nil
}

func (*fakeAnswer) Close() error { return nil }

// carrier is a host that carries requests, and the streams to it. It implements Opener.
type carrier struct {
	*Server
	target     *fakeTarget
	adapterErr error
	openErr    error
	// probed has the targets that the carrier looked for, which is what probeErr says of them.
	probed   []swid.TargetID
	probeErr error
	tasks    sync.WaitGroup

	mu         sync.Mutex
	carried    []Request
	statements []swlimit.Statement
	// ends has the carrier's ends of the streams.
	ends []net.Conn
	// linkLost, if not nil, is closed when the link to the carrier is lost while streams go on.
	linkLost chan struct{}
}

// observedStream implements swlink.LinkObserver.
type observedStream struct {
	net.Conn
	linkLost chan struct{}
}

func (s observedStream) LinkLost() <-chan struct{} { return s.linkLost }

func newCarrier(target *fakeTarget) *carrier {
	c := &carrier{target: target}
	c.Server = NewServer(Config{
		Adapter: func(_ context.Context, r *Request) (swtarget.Adapter, error) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.carried = append(c.carried, *r)
			return c.target, c.adapterErr
		},
		Probe: func(_ context.Context, target swid.TargetID) error {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.probed = append(c.probed, target)
			return c.probeErr
		},
		OnStatement: func(_ *Request, s swlimit.Statement, _ swclock.Millis) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.statements = append(c.statements, s)
		},
		Clock: swclock.NewSystem(),
		Log:   zerolog.Nop(),
	})
	return c
}

func (c *carrier) OpenStream(_ context.Context, host swid.HostID) (net.Conn, error) {
	if c.openErr != nil {
		return nil, c.openErr
	}
	own, other := net.Pipe()
	c.mu.Lock()
	c.ends = append(c.ends, other)
	c.mu.Unlock()
	c.tasks.Go(func() { c.Serve("holder", other) })
	if c.linkLost != nil {
		return observedStream{own, c.linkLost}, nil
	}
	return own, nil
}

// kill ends all streams, as the end of the carrier does.
func (c *carrier) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.ends {
		_ = e.Close()
	}
}

func (c *carrier) adapter() *Adapter {
	return &Adapter{Opener: c, Carrier: "carrier", Target: "t", Cell: "cell"}
}

func testRequest() swtarget.Request {
	return swtarget.Request{
		ID: "r", Attempt: 2, Org: "o", Method: http.MethodPost, Path: "/p?q=1", Host: "h", Header: http.Header{"X-C": {"3"}},
		ContentType: "text/x", Body: []byte("\x00body\xff"), Stream: true, IdempotencyKey: "k", FirstOutputTimeout: 700,
		ExpectedFirst: 90, Remaining: 9000, ReceivedEvents: 3, LastEventID: "l", Born: 4,
	}
}

// receive reads an answer to its end.
func receive(a swtarget.Answer) (body string, events int, lastEventID string, err error) {
	for {
		chunk, err := a.Next()
		if err == io.EOF {
			return body, events, lastEventID, nil
		}
		if err != nil {
			return body, events, lastEventID, err
		}
		body += string(chunk.Data)
		events += chunk.Events
		lastEventID = chunk.LastEventID
	}
}

// TestCarry checks that a request and its answer pass the carrier unchanged, and that the request is sent once.
func TestCarry(t *testing.T) {
	large := strings.Repeat("x", 3*maxWriteBytes)
	c := newCarrier(&fakeTarget{chunks: []string{"a", large, "", "b"}, statement: swlimit.Statement{Heard: true, PerSecond: 4}})
	sent := testRequest()
	answer, err := c.adapter().Start(t.Context(), sent)
	if err != nil {
		t.Fatal(err)
	}
	if answer.Status() != 203 || !reflect.DeepEqual(answer.Header(), (&fakeAnswer{}).Header()) || answer.Statement() != c.target.statement {
		t.Errorf("answer %d, %v, %v", answer.Status(), answer.Header(), answer.Statement())
	}
	body, events, lastEventID, err := receive(answer)
	if err != nil || body != "a"+large+"b" || events != 4 || lastEventID != "eb" {
		t.Errorf("received %d bytes, %d events, last %q, error %v", len(body), events, lastEventID, err)
	}
	if got := answer.Usage(); got != (&fakeAnswer{}).Usage() {
		t.Errorf("usage %v", got)
	}
	if err := answer.Close(); err != nil {
		t.Error(err)
	}
	c.tasks.Wait()
	if requests, left := c.target.counts(); requests != 1 || left != 0 {
		t.Fatalf("the target got %d requests, %d were left, want 1 and 0", requests, left)
	}
	got := c.target.requests[0]
	if got.Remaining > sent.Remaining || got.Remaining < sent.Remaining-swclock.Second {
		t.Errorf("the time that remains is %d ms, want about %d", got.Remaining, sent.Remaining)
	}
	got.Remaining = sent.Remaining
	if !reflect.DeepEqual(got, sent) {
		t.Errorf("the target got %+v, want %+v", got, sent)
	}
	if c.carried[0].Target != "t" || c.carried[0].Cell != "cell" || len(c.statements) != 1 || c.Carried() != 0 {
		t.Errorf("carried %v, statements %v, %d at the end", c.carried[0], c.statements, c.Carried())
	}
}

// TestGiveUp guards against carried requests that are given up for want of output although they may not be, and against ones that
// are not once they may, or after their first output.
func TestGiveUp(t *testing.T) {
	const limit = 700 * swclock.Millis(1)
	tests := []struct {
		name string
		// refused is how often the request may not be given up before it may.
		refused int
		pause   time.Duration
		stream  bool
		body    string
		took    time.Duration
	}{
		{"in time", 0, limit.Duration() - 1, true, "ab", 3 * (limit.Duration() - 1)},
		{"in time, not streamed", 0, limit.Duration() / 4, false, "ab", 3 * limit.Duration() / 4},
		{"silent", 0, time.Minute, true, "", limit.Duration()},
		{"too long, not streamed", 0, limit.Duration() - 1, false, "a", limit.Duration()},
		{"may not be given up", 1000, 2 * limit.Duration(), true, "ab", 6 * limit.Duration()},
		{"may be given up later", 3, time.Minute, true, "", limit.Duration() + 300*time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCarrier(&fakeTarget{chunks: []string{"a", "b"}, pause: tt.pause})
				r := testRequest()
				asked := 0
				r.Stream, r.Remaining, r.FirstOutputTimeout, r.GiveUp = tt.stream, 2*swclock.Minute, limit, func() bool {
					asked++
					return asked > tt.refused
				}
				began := time.Now()
				answer, err := c.adapter().Start(t.Context(), r)
				if err != nil {
					t.Fatal(err)
				}
				body, _, _, err := receive(answer)
				took := time.Since(began)
				_ = answer.Close()
				c.tasks.Wait()
				var failure *swtarget.Error
				givenUp := errors.As(err, &failure) && failure.Failure == swtarget.FailureStalled && !failure.CarrierLost && !failure.Unsent
				if body != tt.body || took != tt.took || givenUp != (tt.body != "ab") {
					t.Errorf("%q after %v, %v, want %q after %v", body, took, err, tt.body, tt.took)
				}
				if _, left := c.target.counts(); left > 0 != givenUp {
					t.Errorf("ended early at the target: %d", left)
				}
				if got := c.carried[0].FirstOutputTimeout; got != r.Remaining {
					t.Errorf("the carrier gives the request up after %d ms, want %d", got, r.Remaining)
				}
			})
		})
	}
}

// TestFailures checks what a holder learns of requests that fail.
func TestFailures(t *testing.T) {
	statement := swlimit.Statement{Heard: true, Leaving: true}
	rejected := &swtarget.Error{Failure: swtarget.FailureNotStarted, Unsent: true, Statement: statement, Err: errors.New("full")}
	broken := &swtarget.Error{Failure: swtarget.FailureBroken, Err: io.ErrUnexpectedEOF}
	tests := []struct {
		name    string
		prepare func(c *carrier)
		want    swtarget.Error
	}{
		{"no link", func(c *carrier) { c.openErr = errors.New("no link") },
			swtarget.Error{Failure: swtarget.FailureNotStarted, Unsent: true, CarrierLost: true}},
		{"not sent by the carrier", func(c *carrier) { c.adapterErr = rejected },
			swtarget.Error{Failure: swtarget.FailureNotStarted, Unsent: true, Statement: statement}},
		{"not taken by the target", func(c *carrier) { c.target.startErr = rejected },
			swtarget.Error{Failure: swtarget.FailureNotStarted, Unsent: true, Statement: statement}},
		{"broken by the target", func(c *carrier) { c.target.startErr = broken }, swtarget.Error{Failure: swtarget.FailureBroken}},
		{"of an unknown kind", func(c *carrier) { c.target.startErr = errors.New("other") }, swtarget.Error{Failure: swtarget.FailureBroken}},
		{"truncated", func(c *carrier) { c.target.endErr = broken }, swtarget.Error{Failure: swtarget.FailureBroken}},
		{"carrier killed", func(c *carrier) {
			c.target.pause = 50 * time.Millisecond
			time.AfterFunc(75*time.Millisecond, c.kill)
		}, swtarget.Error{Failure: swtarget.FailureStalled, CarrierLost: true}},
		{"carrier leaving", func(c *carrier) { c.StopAccepting() }, swtarget.Error{Failure: swtarget.FailureNotStarted, Unsent: true}},
		{"carrier busy", func(c *carrier) { c.Server.carried.Store(maxCarried) }, swtarget.Error{Failure: swtarget.FailureNotStarted, Unsent: true, CarrierLost: true}},
	}
	for i := range 2 * len(tests) {
		e, size := tests[i/2], []int{6, 4 << 20}[i%2]
		t.Run(fmt.Sprintf("%s, %d bytes", e.name, size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCarrier(&fakeTarget{chunks: []string{"a", "b"}})
				e.prepare(c)
				r := testRequest()
				r.Body = make([]byte, size)
				answer, err := c.adapter().Start(t.Context(), r)
				if err == nil {
					_, _, _, err = receive(answer)
					_ = answer.Close()
				}
				failure, ok := err.(*swtarget.Error)
				if !ok {
					t.Fatalf("error %v, want a *swtarget.Error", err)
				}
				if got := (swtarget.Error{Failure: failure.Failure, Unsent: failure.Unsent, CarrierLost: failure.CarrierLost, Statement: failure.Statement}); got != e.want {
					t.Errorf("failed with %+v, want %+v", got, e.want)
				}
				c.tasks.Wait()
				if requests, _ := c.target.counts(); requests > 1 {
					t.Errorf("the target got %d requests", requests)
				}
			})
		})
	}
}

// TestCancel checks that the request ends at the target when its holder gives it up, ends or runs out of time.
func TestCancel(t *testing.T) {
	tests := []struct {
		name string
		end  func(cancel context.CancelFunc, a swtarget.Answer)
		// remaining is the time that remains at the start.
		remaining swclock.Millis
	}{
		{"the holder gives it up", func(cancel context.CancelFunc, _ swtarget.Answer) { cancel() }, 0},
		{"the holder closes the answer", func(_ context.CancelFunc, a swtarget.Answer) { _ = a.Close() }, 0},
		{"the deadline passes", func(context.CancelFunc, swtarget.Answer) { time.Sleep(500 * time.Millisecond) }, 500},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCarrier(&fakeTarget{chunks: []string{"a"}, pause: time.Hour})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				r := testRequest()
				r.Remaining = e.remaining
				answer, err := c.adapter().Start(ctx, r)
				if err != nil {
					t.Fatal(err)
				}
				e.end(cancel, answer)
				synctest.Wait()
				if _, left := c.target.counts(); left != 1 {
					t.Error("the request goes on at the target")
				}
				_ = answer.Close() // ended before in some cases
				c.tasks.Wait()
			})
		})
	}
}

// lingeringStream is a stream on which reads go on after Close until the peer ends its side, as those of yamux do.
type lingeringStream struct{ net.Conn }

func (lingeringStream) Close() error { return nil }

// TestCancelAtSilentCarrier guards against a request that has ended at its holder, but waits for a carrier that is silent.
func TestCancelAtSilentCarrier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, other := net.Pipe()
		defer func() { _, _ = own.Close(), other.Close() }() // not checked
		go func() { _, _ = io.Copy(io.Discard, other) }()    // ends with the stream
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		time.AfterFunc(time.Minute, func() { _ = other.Close() })
		if _, err := (&Adapter{Opener: pipe{lingeringStream{own}}}).Start(ctx, testRequest()); err == nil || time.Since(began) != time.Second+cancelTimeout.Duration() {
			t.Errorf("error %v after %v", err, time.Since(began))
		}
	})
}

// TestLinkLost guards against answers that are cut, and requests that end as unknown, because their carrier was silent for a moment. A request
// that may be sent to another target does not wait for its first output.
func TestLinkLost(t *testing.T) {
	yes, no := func() bool { return true }, func() bool { return false }
	tests := []struct {
		name   string
		giveUp func() bool
		// after is when the link is lost. The parts of the answer come after 1 s and 2 s.
		after time.Duration
		ends  bool
	}{
		{"may not be repeated", nil, 500 * time.Millisecond, false},
		{"may be sent to another target", yes, 500 * time.Millisecond, true},
		{"its last attempt", no, 500 * time.Millisecond, false},
		{"begun", yes, 1500 * time.Millisecond, false},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCarrier(&fakeTarget{chunks: []string{"a", "b"}, pause: time.Second})
				c.linkLost = make(chan struct{})
				time.AfterFunc(e.after, func() { close(c.linkLost) })
				began := time.Now()
				r := testRequest()
				r.GiveUp, r.FirstOutputTimeout = e.giveUp, 1500
				answer, err := c.adapter().Start(t.Context(), r)
				if err != nil {
					t.Fatal(err)
				}
				body, _, _, err := receive(answer)
				var failure *swtarget.Error
				switch {
				case !e.ends && (err != nil || body != "ab"):
					t.Errorf("answer %q, error %v", body, err)
				case e.ends && (!errors.As(err, &failure) || !failure.CarrierLost || body != "" || time.Since(began) != e.after):
					t.Errorf("answer %q, error %v after %v", body, err, time.Since(began))
				}
				if err := answer.Close(); err != nil {
					t.Error(err)
				}
				c.tasks.Wait()
			})
		})
	}
}

// TestDrain checks that a server that drains finishes what it carries, until the holder has the end.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCarrier(&fakeTarget{chunks: []string{"a", "b"}, pause: time.Second})
		answer, err := c.adapter().Start(t.Context(), testRequest())
		if err != nil {
			t.Fatal(err)
		}
		early, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := c.Drain(early); err == nil {
			t.Error("drained while a request was carried")
		}
		drained := make(chan error, 1)
		go func() { drained <- c.Drain(t.Context()) }()
		if body, _, _, err := receive(answer); err != nil || body != "ab" {
			t.Errorf("received %q, %v", body, err)
		}
		synctest.Wait()
		select {
		case <-drained:
			t.Error("drained before the holder had the end")
		default:
		}
		_ = answer.Close() // complete
		if err := <-drained; err != nil {
			t.Error(err)
		}
		c.tasks.Wait()
	})
}

// TestEarlyLeave checks that a request is not sent whose holder left while the carrier looked whether it reaches the
// target.
func TestEarlyLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &fakeTarget{}
		server := NewServer(Config{
			Adapter: func(ctx context.Context, _ *Request) (swtarget.Adapter, error) {
				<-ctx.Done()
				return target, nil
			},
			Clock: swclock.NewSystem(), Log: zerolog.Nop(),
		})
		own, other := net.Pipe()
		var tasks sync.WaitGroup
		tasks.Go(func() { server.Serve("holder", other) })
		if err := writeFrame(own, encodeRequest(&Request{Target: "t", Request: testRequest()})); err != nil {
			t.Fatal(err)
		}
		_ = own.Close()
		tasks.Wait()
		if requests, _ := target.counts(); requests > 0 {
			t.Error("a request was sent after its holder had left")
		}
	})
}

// TestMalformedFrames checks that malformed frames end a request on both sides.
func TestMalformedFrames(t *testing.T) {
	frame := func(m proto.Message) []byte {
		var b bytes.Buffer
		if err := writeFrame(&b, m); err != nil {
			t.Fatal(err)
		}
		return b.Bytes()
	}
	tests := []struct {
		name string
		data []byte
	}{
		{"empty", nil},
		{"short", []byte{5, 1}},
		{"too large", []byte{0xff, 0xff, 0xff, 0xff, 0x7f}},
		{"no message", []byte{2, 0xff, 0xff}},
		{"no kind", frame(&swpb.CarriedReply{})},
		{"an end without an answer", frame(encodeEnd(nil, swtarget.Usage{}))},
		{"a chunk without an answer", frame(&swpb.CarriedReply{Kind: &swpb.CarriedReply_Chunk{Chunk: &swpb.CarriedChunk{}}})},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			own, other := net.Pipe()
			go func() {
				if err := readFrame(bufio.NewReader(other), &swpb.CarriedRequest{}); err != nil {
					t.Error(err)
				}
				_, _ = other.Write(e.data) // the holder may have closed it
				_ = other.Close()
			}()
			_, err := (&Adapter{Opener: pipe{own}}).Start(t.Context(), testRequest())
			failure, ok := err.(*swtarget.Error)
			if !ok || !failure.CarrierLost || failure.Unsent {
				t.Errorf("error %#v, want a lost carrier that may have sent the request", err)
			}
			c := newCarrier(&fakeTarget{})
			holder, stream := net.Pipe()
			c.tasks.Go(func() { c.Serve("holder", stream) })
			_, _ = holder.Write(e.data) // the carrier may have closed it
			_ = holder.Close()
			c.tasks.Wait()
			if c.Carried() != 0 {
				t.Error("a request is carried for ever")
			}
		})
	}
}

// TestOddStatus guards against answers of a carrier whose status is none.
func TestOddStatus(t *testing.T) {
	for _, status := range []uint32{0, 20, 99, 100, 101, 199} {
		own, other := net.Pipe()
		go func() {
			if err := readFrame(bufio.NewReader(other), &swpb.CarriedRequest{}); err != nil {
				t.Error(err)
			}
			if err := writeFrame(other, &swpb.CarriedReply{Kind: &swpb.CarriedReply_Answer{Answer: &swpb.CarriedAnswer{Status: status}}}); err != nil {
				t.Error(err)
			}
		}()
		_, err := (&Adapter{Opener: pipe{own}}).Start(t.Context(), testRequest())
		if failure, ok := err.(*swtarget.Error); !ok || failure.Failure != swtarget.FailureBroken || failure.CarrierLost {
			t.Errorf("status %d: error %#v, want a broken answer", status, err)
		}
	}
}

// TestProbe checks what a holder learns of whether a carrier reaches a target, for which nothing is sent to the target.
func TestProbe(t *testing.T) {
	tests := []struct {
		name              string
		openErr, probeErr error
		reached           bool
	}{
		{"reached", nil, nil, true},
		{"not reached", nil, errors.New("no answer"), false},
		{"carrier lost", errors.New("no link"), nil, false},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			c := newCarrier(&fakeTarget{})
			c.openErr, c.probeErr = e.openErr, e.probeErr
			err := (&Adapter{Opener: c, Carrier: "carrier", Target: "t"}).Probe(t.Context())
			c.tasks.Wait()
			if (err == nil) != e.reached {
				t.Errorf("error %v, want one: %t", err, !e.reached)
			}
			if len(c.carried) > 0 || e.openErr == nil && !slices.Equal(c.probed, []swid.TargetID{"t"}) {
				t.Errorf("%d requests carried and targets %v probed, want no request and t", len(c.carried), c.probed)
			}
		})
	}
}

// TestProbeNamesNoTarget guards against questions that hosts of an earlier build take for requests: they count their target as one that cannot
// be connected to.
func TestProbeNamesNoTarget(t *testing.T) {
	own, other := net.Pipe()
	var asked swpb.CarriedRequest
	var carrier sync.WaitGroup
	carrier.Go(func() {
		defer func() { _ = other.Close() }()
		if err := readFrame(bufio.NewReader(other), &asked); err != nil {
			t.Error(err)
		}
	})
	if err := (&Adapter{Opener: pipe{own}, Target: "t"}).Probe(t.Context()); err == nil {
		t.Error("a target counts as reached without an answer")
	}
	carrier.Wait()
	if asked.GetTarget() != "" {
		t.Errorf("the question is a request to target %q", asked.GetTarget())
	}
}

// TestProbeWithoutAnswer guards against a holder that waits for longer than it wants for a carrier that does not answer.
func TestProbeWithoutAnswer(t *testing.T) {
	own, other := net.Pipe()
	defer func() { _ = other.Close() }()
	go func() { _, _ = io.Copy(io.Discard, other) }()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if err := (&Adapter{Opener: pipe{own}, Target: "t"}).Probe(ctx); err == nil {
		t.Error("a target counts as reached without an answer")
	}
}

// TestCutStreams guards against a request or an answer that is cut at some byte between two hosts and is taken for whole.
func TestCutStreams(t *testing.T) {
	var request bytes.Buffer
	if err := writeFrame(&request, encodeRequest(&Request{Target: "t", Request: testRequest()})); err != nil {
		t.Fatal(err)
	}
	for cut := range request.Len() {
		c := newCarrier(&fakeTarget{})
		holder, stream := net.Pipe()
		c.tasks.Go(func() { c.Serve("holder", stream) })
		_, _ = holder.Write(request.Bytes()[:cut])
		_ = holder.Close()
		c.tasks.Wait()
		if len(c.carried) > 0 {
			t.Errorf("a request was carried after %d of %d bytes", cut, request.Len())
		}
	}
	c := newCarrier(&fakeTarget{chunks: []string{"a", strings.Repeat("b", 200)}, statement: swlimit.Statement{Heard: true, PerSecond: 4}})
	holder, stream := net.Pipe()
	c.tasks.Go(func() { c.Serve("holder", stream) })
	if _, err := holder.Write(request.Bytes()); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(holder)
	if err != nil {
		t.Fatal(err)
	}
	c.tasks.Wait()
	for cut := range len(answer) + 1 {
		own, other := net.Pipe()
		go func() {
			if err := readFrame(bufio.NewReader(other), &swpb.CarriedRequest{}); err != nil {
				t.Error(err)
			}
			_, _ = other.Write(answer[:cut]) // the holder may have closed it
			_ = other.Close()
		}()
		a, err := (&Adapter{Opener: pipe{own}}).Start(t.Context(), testRequest())
		if err == nil {
			_, _, _, err = receive(a)
			_ = a.Close()
		}
		if whole := cut == len(answer); (err == nil) != whole {
			t.Errorf("after %d of %d bytes: error %v", cut, len(answer), err)
		}
	}
}

// pipe is an Opener that returns one stream.
type pipe struct{ stream net.Conn }

func (p pipe) OpenStream(context.Context, swid.HostID) (net.Conn, error) { return p.stream, nil }

// FuzzReadFrame checks that no input makes readFrame panic or allocate more than a frame may have.
func FuzzReadFrame(f *testing.F) {
	var b bytes.Buffer
	if err := writeFrame(&b, encodeRequest(&Request{Target: "t", Request: testRequest()})); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var request swpb.CarriedRequest
		if err := readFrame(bufio.NewReader(bytes.NewReader(data)), &request); err == nil {
			decodeRequest(&request)
		}
		var reply swpb.CarriedReply
		if err := readFrame(bufio.NewReader(bytes.NewReader(data)), &reply); err == nil && reply.GetEnd() != nil {
			_ = decodeEnd(reply.GetEnd()) // any result is fine
		}
	})
}
