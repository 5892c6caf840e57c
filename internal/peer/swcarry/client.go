package swcarry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swbuffer"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/peer/swcodec"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swpb"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// openTimeout bounds the time to open a stream to a carrier, to which there may be no link yet.
const openTimeout = 500 * swclock.Millis(1)

// cancelTimeout bounds the time in which a carrier says how a request ended that its holder has cancelled.
const cancelTimeout = 200 * swclock.Millis(1)

// Opener opens streams to other hosts. A stream may implement swlink.LinkObserver.
type Opener interface {
	OpenStream(ctx context.Context, host swid.HostID) (net.Conn, error)
}

// Adapter runs requests on a target by way of a carrier. It implements swtarget.Adapter.
type Adapter struct {
	Opener  Opener
	Carrier swid.HostID
	Target  swid.TargetID
	Cell    swid.CellID
}

// errSilent is the error of a request that the holder gave up because there was no output.
var errSilent = errors.New("no output within the time allowed")

// errStatus means that an answer has a status that ends no exchange.
var errStatus = errors.New("the answer has an invalid status")

// Start implements swtarget.Adapter. The carrier does not know whether the request may be given up, so where that is to be asked,
// the holder ends it after its FirstOutputTimeout.
func (a *Adapter) Start(ctx context.Context, r swtarget.Request) (swtarget.Answer, error) {
	openCtx, cancel := context.WithTimeout(ctx, openTimeout.Duration())
	stream, err := a.Opener.OpenStream(openCtx, a.Carrier)
	cancel()
	if err != nil {
		return nil, &swtarget.Error{Failure: swtarget.FailureNotStarted, Unsent: true, CarrierLost: true, Err: errors.Wrap(err, "reach carrier")}
	}
	stop := context.AfterFunc(ctx, func() { abort(stream, time.Now().Add(cancelTimeout.Duration())) })
	c := &carriedAnswer{
		stream: stream, reader: bufio.NewReader(stream), buffer: r.Buffer, stop: stop, timer: &swtarget.OutputTimer{}, closed: make(chan struct{}),
	}
	if observer, ok := stream.(swlink.LinkObserver); ok && r.GiveUp != nil {
		go c.giveUp(observer.LinkLost(), r.GiveUp)
	}
	if r.GiveUp != nil && r.FirstOutputTimeout > 0 {
		c.timer = swtarget.StartOutputTimer(r.FirstOutputTimeout, func() bool {
			if !r.GiveUp() {
				return false
			}
			c.silent.Store(true)
			_ = stream.SetDeadline(time.Unix(1, 0)) // fails only on a closed stream
			return true
		})
		r.FirstOutputTimeout = max(r.FirstOutputTimeout, r.Remaining)
	}
	if err := writeRequest(stream, &Request{Target: a.Target, Cell: a.Cell, Request: r}); err != nil {
		_ = c.Close() // the error of the write is the one to return
		return nil, c.lost(err)
	}
	if err := c.readAnswer(); err != nil {
		_ = c.Close() // the error of the answer is the one to return
		return nil, err
	}
	c.streamed = r.Stream && c.status < http.StatusMultipleChoices
	return c, nil
}

// abort ends a request at the carrier. Reads go on until the carrier has said how the request ended there, or until the deadline.
func abort(stream net.Conn, deadline time.Time) {
	_ = stream.SetReadDeadline(deadline) // fails only on a closed stream
	_ = stream.Close()                   // likewise
}

// Probe asks the carrier whether it reaches the target, until ctx ends. An error says nothing of the target unless the carrier
// looked: one of an earlier build does not.
func (a *Adapter) Probe(ctx context.Context) error {
	stream, err := a.Opener.OpenStream(ctx, a.Carrier)
	if err != nil {
		return errors.Wrap(err, "reach carrier")
	}
	defer func() { _ = stream.Close() }()                                              // the answer is known, or does not matter any more
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) }) // fails only on a closed stream
	defer stop()
	if err := writeFrame(stream, encodeRequest(&Request{Cell: a.Cell, Request: swtarget.Request{Path: string(a.Target)}})); err != nil {
		return errors.Wrap(err, "ask carrier")
	}
	var reply swpb.CarriedReply
	if err := readFrame(bufio.NewReader(stream), &reply); err != nil {
		return errors.Wrap(err, "answer of the carrier")
	}
	end := reply.GetEnd()
	if end == nil {
		return errFrame
	}
	return decodeEnd(end)
}

// carriedAnswer is an answer that a carrier sends on. It implements swtarget.Answer.
type carriedAnswer struct {
	// silent is set if the holder gave the request up because there was no output.
	silent atomic.Bool
	// timer runs until the first output of a stream, or the end of another answer.
	timer    *swtarget.OutputTimer
	streamed bool
	stream   net.Conn
	reader   *bufio.Reader
	stop     func() bool
	// buffer holds the latest message, of held bytes.
	buffer    *swbuffer.Account
	held      int
	status    int
	header    http.Header
	statement swlimit.Statement
	usage     swtarget.Usage
	// begun is set once a part of the answer has arrived, and closed is closed by Close.
	begun     atomic.Bool
	closed    chan struct{}
	closeOnce sync.Once
}

// giveUp ends the request when the link to the carrier is lost, if no part of the answer has arrived and the attempt may be ended.
func (c *carriedAnswer) giveUp(linkLost <-chan struct{}, allowed func() bool) {
	select {
	case <-linkLost:
		if !c.begun.Load() && allowed() {
			abort(c.stream, time.Unix(1, 0))
		}
	case <-c.closed:
	}
}

// read reads the next message in place of the latest one.
func (c *carriedAnswer) read(reply *swpb.CarriedReply) error {
	c.buffer.Release(c.held)
	var err error
	c.held, err = readHeldFrame(c.reader, reply, c.buffer)
	return err
}

// lost returns the error of a request of which nothing more is received because of err.
func (c *carriedAnswer) lost(err error) *swtarget.Error {
	if c.silent.Load() {
		return &swtarget.Error{Failure: swtarget.FailureStalled, Err: errSilent}
	}
	return lost(err)
}

// readAnswer reads the header of the answer.
func (c *carriedAnswer) readAnswer() error {
	var reply swpb.CarriedReply
	if err := c.read(&reply); err != nil {
		return c.lost(err)
	}
	if end := reply.GetEnd(); end != nil {
		if err := decodeEnd(end); err != nil {
			return err
		}
		return lost(errFrame) // an end without an answer
	}
	answer := reply.GetAnswer()
	if answer == nil {
		return lost(errFrame)
	}
	statement, err := swcodec.DecodeStatement(answer.GetRateLimit())
	if err != nil {
		return lost(err)
	}
	if answer.GetStatus() < http.StatusOK { // from a carrier of an earlier build
		return &swtarget.Error{Failure: swtarget.FailureBroken, Statement: statement, Err: errors.Wrapf(errStatus, "%d", answer.GetStatus())}
	}
	c.status, c.header, c.statement = int(answer.GetStatus()), decodeHeader(answer.GetHeader()), statement
	return nil
}

func (c *carriedAnswer) Status() int                  { return c.status }
func (c *carriedAnswer) Header() http.Header          { return c.header }
func (c *carriedAnswer) Statement() swlimit.Statement { return c.statement }
func (c *carriedAnswer) Usage() swtarget.Usage        { return c.usage }

// Next implements swtarget.Answer.
func (c *carriedAnswer) Next() (swtarget.Chunk, error) {
	var reply swpb.CarriedReply
	if err := c.read(&reply); err != nil {
		return swtarget.Chunk{}, c.lost(err)
	}
	if end := reply.GetEnd(); end != nil {
		c.usage = swtarget.Usage{
			PromptTokens: swid.Tokens(end.GetPromptTokens()), OutputTokens: swid.Tokens(end.GetOutputTokens()), CachedTokens: swid.Tokens(end.GetCachedTokens()),
		}
		if err := decodeEnd(end); err != nil {
			return swtarget.Chunk{}, err
		}
		return swtarget.Chunk{}, io.EOF
	}
	chunk := reply.GetChunk()
	if chunk == nil {
		return swtarget.Chunk{}, lost(errFrame)
	}
	c.begun.Store(true)
	if c.streamed {
		c.timer.Stop()
	}
	return swtarget.Chunk{
		Data: chunk.GetData(), Tokens: swid.Tokens(chunk.GetTokens()), Events: int(chunk.GetEvents()), LastEventID: string(chunk.GetLastEventId()),
	}, nil
}

// Close implements swtarget.Answer.
func (c *carriedAnswer) Close() error {
	c.stop()
	c.closeOnce.Do(func() { close(c.closed) })
	c.timer.Stop()
	c.buffer.Release(c.held)
	c.held = 0
	return c.stream.Close()
}
