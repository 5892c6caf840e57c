package swcarry

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swbuffer"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/core/swroom"
	"github.com/sassafraswing/sassafraswing/internal/peer/swcodec"
	"github.com/sassafraswing/sassafraswing/internal/peer/swpb"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

const (
	// requestTimeout bounds the time in which a holder sends its request.
	requestTimeout = 5 * swclock.Second
	// endTimeout bounds the time in which a holder takes the end of its request.
	endTimeout = 500 * swclock.Millis(1)
	// maxCarried bounds the requests that are carried at a time. Owners stay below it.
	maxCarried = 256
	// roomLogBurst is how many lines on requests without room are written in roomLogInterval.
	roomLogBurst    = 5
	roomLogInterval = swclock.Second
	// maxRemaining bounds the time of a request whose holder sets no limit.
	maxRemaining = swclock.Hour
)

// errBusy means that a host carries too many requests.
var errBusy = errors.New("the host carries too many requests")

// errLeaving means that the process of a host is about to stop.
var errLeaving = errors.New("the host is leaving")

// Config holds the settings and dependencies of a Server.
type Config struct {
	// Adapter returns the adapter that sends a request from this host, or the error for which it sends none. It may
	// look first whether the target can be reached.
	Adapter func(ctx context.Context, r *Request) (swtarget.Adapter, error)
	// Probe looks whether this host reaches a target, and returns an error if it does not.
	Probe func(ctx context.Context, target swid.TargetID) error
	// OnStatement is called with what an answer says of the requests that its target takes. sent is when the request
	// was sent.
	OnStatement func(r *Request, s swlimit.Statement, sent swclock.Millis)
	// Bodies is the room for the requests, those of one holder as one group; nil sets no bound.
	Bodies *swroom.Room
	// Answers is the memory for answers that are held; nil sets no bound.
	Answers *swbuffer.Budget
	Clock   swclock.Clock
	Log     zerolog.Logger
}

// Server carries requests of other hosts.
type Server struct {
	config  Config
	carried atomic.Int64
	// wantOfRoom logs the requests that were rejected for want of room, some of them.
	wantOfRoom zerolog.Logger

	mu sync.Mutex
	// serving counts the calls of Serve.
	serving  int
	draining bool
	// idle is closed once draining is set and serving is 0.
	idle chan struct{}
}

// NewServer returns a server that carries nothing.
func NewServer(config Config) *Server {
	return &Server{
		config: config, idle: make(chan struct{}),
		wantOfRoom: config.Log.Sample(&zerolog.BurstSampler{Burst: roomLogBurst, Period: roomLogInterval.Duration()}),
	}
}

// Carried returns the number of requests that are carried now.
func (s *Server) Carried() int { return int(s.carried.Load()) }

// StopAccepting makes the server send no more requests to targets: it rejects them as unsent.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.closeIfIdle()
}

// Drain rejects further requests and waits until those that are carried have ended, or until ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.StopAccepting()
	select {
	case <-s.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// begin counts a call of Serve.
func (s *Server) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving++
}

// end records the end of a call of Serve.
func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving--
	s.closeIfIdle()
}

// closeIfIdle closes s.idle if the server drains and carries nothing. s.mu must be held.
func (s *Server) closeIfIdle() {
	if !s.draining || s.serving > 0 {
		return
	}
	select {
	case <-s.idle:
	default:
		close(s.idle)
	}
}

// isDraining reports whether the server sends no more requests to targets.
func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Serve carries the request that a holder sends on a stream, and closes the stream.
func (s *Server) Serve(holder swid.HostID, stream net.Conn) {
	s.begin()
	defer s.end()
	defer func() { _ = stream.Close() }() // the holder notices the end of the stream in any case
	reader := bufio.NewReader(stream)
	if err := stream.SetReadDeadline(time.Now().Add(requestTimeout.Duration())); err != nil {
		return // the stream has ended
	}
	share := s.config.Bodies.OpenCarried(s.config.Clock.Now(), holder, func() {})
	defer share.Close()
	var wire swpb.CarriedRequest
	if err := readRequest(reader, &wire, s.config.Clock.Now(), share); err != nil {
		if errors.Is(err, swroom.ErrNoRoom) {
			err := &swtarget.Error{Failure: swtarget.FailureNotStarted, Unsent: true, CarrierLost: true, Err: err}
			_ = writeFrame(stream, encodeEnd(err, swtarget.Usage{})) // without an answer, the holder takes the request for lost
			s.wantOfRoom.Info().Str("holder", string(holder)).Err(err).Msg("carried request not received")
			return
		}
		s.config.Log.Info().Str("holder", string(holder)).Err(err).Msg("carried request not received")
		return
	}
	if err := stream.SetReadDeadline(time.Time{}); err != nil {
		return // the stream has ended
	}
	r := decodeRequest(&wire)
	if r.Remaining == 0 {
		r.Remaining = maxRemaining
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.Remaining.Duration())
	defer cancel()
	left := make(chan struct{})
	go func() {
		// The holder sends nothing more: what is read is the end of the stream, which ends the request.
		_, _ = reader.ReadByte()
		cancel()
		close(left)
	}()
	if r.Target == "" {
		s.answerProbe(ctx, swid.TargetID(r.Path), stream)
		return
	}
	began := s.config.Clock.Now()
	usage, err := s.run(ctx, &r, stream)
	s.config.Log.Info().
		Str("requestId", string(r.ID)).Str("holder", string(holder)).Str("cell", string(r.Cell)).Str("target", string(r.Target)).
		Uint32("attempt", uint32(r.Attempt)).Int64("attemptMillis", int64(s.config.Clock.Now()-began)).AnErr("error", err).Msg("request carried")
	if err := writeFrame(stream, encodeEnd(err, usage)); err != nil {
		s.config.Log.Info().Str("requestId", string(r.ID)).Str("holder", string(holder)).Err(err).Msg("end of a carried request not sent")
		return
	}
	// The process may end once nothing is carried: until the holder closes the stream, the end may still be lost with the link.
	timeout := time.NewTimer(endTimeout.Duration())
	defer timeout.Stop()
	select {
	case <-left:
	case <-timeout.C:
	}
}

// answerProbe tells the holder whether this host reaches the target.
func (s *Server) answerProbe(ctx context.Context, target swid.TargetID, stream net.Conn) {
	err := s.config.Probe(ctx, target)
	if err != nil {
		err = &swtarget.Error{Failure: swtarget.FailureNotStarted, Unsent: true, Err: err}
	}
	_ = writeFrame(stream, encodeEnd(err, swtarget.Usage{})) // without an answer, the holder concludes nothing
}

// run sends the request to its target and the answer to the holder.
func (s *Server) run(ctx context.Context, r *Request, stream net.Conn) (swtarget.Usage, error) {
	if s.carried.Add(1) > maxCarried {
		s.carried.Add(-1)
		return swtarget.Usage{}, &swtarget.Error{Failure: swtarget.FailureNotStarted, Unsent: true, CarrierLost: true, Err: errBusy}
	}
	defer s.carried.Add(-1)
	r.Buffer = s.config.Answers.Open()
	defer r.Buffer.Close()
	began := s.config.Clock.Now()
	adapter, err := s.config.Adapter(ctx, r)
	if err != nil {
		return swtarget.Usage{}, err
	}
	if s.isDraining() {
		return swtarget.Usage{}, &swtarget.Error{Failure: swtarget.FailureNotStarted, Unsent: true, Err: errLeaving}
	}
	if err := ctx.Err(); err != nil {
		return swtarget.Usage{}, &swtarget.Error{Failure: swtarget.FailureNotStarted, Unsent: true, Err: err}
	}
	sent := s.config.Clock.Now()
	r.Remaining = max(r.Remaining-(sent-began), 1)
	answer, err := adapter.Start(ctx, r.Request)
	if err != nil {
		var failed *swtarget.Error
		if errors.As(err, &failed) && failed.Statement.Heard {
			s.config.OnStatement(r, failed.Statement, sent)
		}
		return swtarget.Usage{}, err
	}
	defer func() { _ = answer.Close() }() // the result is known
	if answer.Statement().Heard {
		s.config.OnStatement(r, answer.Statement(), sent)
	}
	if err := writeFrame(stream, &swpb.CarriedReply{Kind: &swpb.CarriedReply_Answer{Answer: &swpb.CarriedAnswer{
		Status: uint32(answer.Status()), Header: encodeHeader(answer.Header()), RateLimit: swcodec.EncodeStatement(answer.Statement()),
	}}}); err != nil {
		return swtarget.Usage{}, err
	}
	for {
		chunk, err := answer.Next()
		if err == io.EOF { // an *swtarget.Error may wrap one
			return answer.Usage(), nil
		}
		if err != nil {
			return answer.Usage(), err
		}
		if err := s.writeChunk(r, stream, &chunk); err != nil {
			return answer.Usage(), err
		}
	}
}

// writeChunk sends a chunk of the answer to the holder. The frame holds its bytes a second time.
func (s *Server) writeChunk(r *Request, stream net.Conn, chunk *swtarget.Chunk) error {
	if err := r.Buffer.Reserve(len(chunk.Data)); err != nil {
		return swtarget.Unheld(err)
	}
	defer r.Buffer.Release(len(chunk.Data))
	return writeFrame(stream, &swpb.CarriedReply{Kind: &swpb.CarriedReply_Chunk{Chunk: &swpb.CarriedChunk{
		Data: chunk.Data, Tokens: int64(chunk.Tokens), Events: int64(chunk.Events), LastEventId: []byte(chunk.LastEventID),
	}}})
}
