package swcallerconn

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swroom"
)

// Intake bounds what a process holds of its callers: their connections, and the bodies of their requests.
type Intake struct {
	Connections *swroom.Connections
	Bodies      *swroom.Room
	// Headers bounds the headers of requests; nil sets no bound.
	Headers *swroom.Headers
	Clock   swclock.Clock
	// joining serialises the copies of large bodies, so that there is one at a time.
	joining sync.Mutex
}

// headersFraction is the part of the room for bodies that headers may take beside it is one in headersFraction.
const headersFraction = 2

// NewIntake returns an intake for so many connections and so many bytes of bodies.
func NewIntake(connections int, capacity int64, clock swclock.Clock) *Intake {
	return &Intake{Connections: swroom.NewConnections(connections), Bodies: swroom.NewRoom(capacity), Headers: swroom.NewHeaders(capacity / headersFraction), Clock: clock}
}

// Sizes of the segments in which bodies are read. A segment is at most as long as what has arrived before it.
const (
	minSegmentBytes = 512
	maxSegmentBytes = 32 << 10
	// soleJoinBytes is the size from which bodies are copied one at a time.
	soleJoinBytes = 64 << 10
)

// reception is the arrival of one body.
type reception struct {
	body  *Body
	group swroom.Group
	// share is nil until the body has more than swroom.FreeBytes.
	share    *swroom.Share
	reserved int
	segments [][]byte
	length   int
	// startedAt is when the body began to arrive; segmentAt is when the last segment was added, and lengthBefore the length without that segment.
	startedAt, segmentAt swclock.Millis
	lengthBefore         int

	mu sync.Mutex
	// receiving is false before the body begins to arrive and once it is complete or has failed; evicted is true if it had to give way before.
	receiving, evicted bool
}

// giveWay ends the reception.
func (r *reception) giveWay() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.receiving {
		return
	}
	r.evicted = true
	_ = r.body.controller.SetReadDeadline(time.Now()) // fails only if the connection is closed
}

// stop ends the time in which the body may have to give way, and reports whether it had to.
func (r *reception) stop() (evicted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.receiving = false
	return r.evicted
}

// read reads the whole body.
func (r *reception) read(source io.Reader) ([]byte, error) {
	for {
		segment, err := r.grow()
		if err != nil {
			return nil, err
		}
		for len(segment) < cap(segment) && err == nil {
			var n int
			n, err = source.Read(segment[len(segment):cap(segment)])
			segment = segment[:len(segment)+n]
			r.length += n
			r.body.received += int64(n)
			if n > 0 {
				r.noteProgress()
			}
		}
		r.segments[len(r.segments)-1] = segment
		if err == io.EOF {
			return r.join(), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// Rates from which a body that arrives makes progress.
const (
	// paceFraction is the part of the rate at which a body of a known length arrives in time, and fadeFraction that of the body's own rate so far:
	// one in so many.
	paceFraction = 2
	fadeFraction = 8
	// minPace is the rate, in bytes a second, for bodies of unknown length.
	minPace = 512
	// paceInterval is the time over which a rate is measured at least.
	paceInterval = swclock.Second
)

// noteProgress records that a part of the body has arrived, unless it arrives at such a rate that the caller only keeps it open.
func (r *reception) noteProgress() {
	in := r.body.intake()
	if in == nil {
		return
	}
	if now := in.Clock.Now(); r.inTime(now) && !r.fades(now) {
		r.body.connection.room.Grow(now)
		r.share.Progress(now)
	}
}

// inTime reports whether the body has arrived at a rate at which it can be complete in time.
func (r *reception) inTime(now swclock.Millis) bool {
	elapsed := int64(now - r.startedAt)
	if elapsed < int64(paceInterval) {
		return true
	}
	if announced := r.body.Announced(); announced > 0 {
		return paceFraction*int64(r.length)*int64(r.body.bounds.ReadTimeout) >= announced*elapsed
	}
	return int64(r.length)*int64(swclock.Second) >= minPace*elapsed
}

// fades reports whether the last segment arrives far more slowly than what was before it.
func (r *reception) fades(now swclock.Millis) bool {
	elapsed := int64(now - r.segmentAt)
	if elapsed < int64(paceInterval) {
		return false
	}
	before := max(int64(r.segmentAt-r.startedAt), int64(paceInterval))
	return fadeFraction*int64(r.length-r.lengthBefore)*before < int64(r.lengthBefore)*elapsed
}

// grow adds a segment, for which there has to be room.
func (r *reception) grow() ([]byte, error) {
	size := min(max(r.length, minSegmentBytes), maxSegmentBytes)
	if in := r.body.intake(); in != nil {
		now := in.Clock.Now()
		r.segmentAt, r.lengthBefore = now, r.length
		if r.reserved+size > swroom.FreeBytes {
			if r.share == nil {
				r.share = in.Bodies.Open(now, r.group, r.giveWay)
			}
			if err := r.share.Reserve(now, size); err != nil {
				return nil, err
			}
		}
	}
	r.reserved += size
	r.segments = append(r.segments, make([]byte, 0, size))
	return r.segments[len(r.segments)-1], nil
}

// join returns the body in one piece.
func (r *reception) join() []byte {
	if len(r.segments) == 1 {
		return r.segments[0]
	}
	if in := r.body.intake(); in != nil && r.length >= soleJoinBytes {
		in.joining.Lock()
		defer in.joining.Unlock()
	}
	data := make([]byte, 0, r.length)
	for i, segment := range r.segments {
		data = append(data, segment...)
		r.segments[i] = nil
	}
	r.segments = nil
	return data
}

// Close releases the room that the body holds. It must be called when the request has ended, and may be called again.
func (b *Body) Close() { b.reception.share.Close() }

// intake returns nil if the connection has none.
func (b *Body) intake() *Intake {
	if b.connection == nil {
		return nil
	}
	return b.connection.Intake
}

// setState records what the connection is used for from now on.
func (b *Body) setState(state swroom.State) {
	if in := b.intake(); in != nil {
		b.connection.room.SetState(in.Clock.Now(), state)
	}
}

// ReadAll reads the body, which may have up to limit bytes; 0 sets no limit. Its bytes are counted with those of the group until Close. The error wraps an
// *http.MaxBytesError if there are more, and swroom.ErrNoRoom if the body had to give way to others. The read fails when Bounds.Draining ends.
func (b *Body) ReadAll(limit int64, group swroom.Group) ([]byte, error) {
	if b.whole {
		return nil, nil
	}
	b.started = true
	r := &b.reception
	r.body, r.group, r.receiving = b, group, true
	if err := b.controller.SetReadDeadline(time.Now().Add(b.bounds.ReadTimeout.Duration())); err != nil {
		return nil, errors.Wrap(err, "set the read deadline of the body")
	}
	if in := b.intake(); in != nil {
		r.startedAt = in.Clock.Now()
		b.connection.room.Receive(r.startedAt, r.giveWay)
	}
	stop := b.interruptWhenDraining()
	source := b.request.Body
	if limit > 0 {
		source = http.MaxBytesReader(b.writer, source, limit)
	}
	data, err := r.read(source)
	stop()
	if err == nil {
		err = r.share.Complete()
	}
	if evicted := r.stop(); evicted && err != nil {
		err = swroom.ErrNoRoom
	}
	if err != nil {
		b.failed, b.gaveWay = true, errors.Is(err, swroom.ErrNoRoom)
		r.segments = nil
		r.share.Close()
		return nil, errors.Wrap(err, "read body")
	}
	b.whole = true
	b.setState(swroom.StateServing)
	return data, errors.Wrap(b.controller.SetReadDeadline(time.Time{}), "clear the read deadline of the body")
}

// interruptWhenDraining lets the read deadline pass when Bounds.Draining ends. The function that it returns ends that.
func (b *Body) interruptWhenDraining() (stop func()) {
	if b.bounds.Draining == nil {
		return func() {}
	}
	interrupted := make(chan struct{})
	cancel := context.AfterFunc(b.bounds.Draining, func() {
		defer close(interrupted)
		_ = b.controller.SetReadDeadline(time.Now()) // fails only if the connection is closed
	})
	return func() {
		if !cancel() {
			<-interrupted // it must not change a later deadline
		}
	}
}
