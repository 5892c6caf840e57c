package swlink

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/peer/swcodec"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// Causes of a link's end.
var (
	errSilent   = errors.New("a probe stayed unanswered")
	errReplaced = errors.New("replaced by a newer connection")
	errStopped  = errors.New("network stopped")
)

// link is one established connection to a peer.
type link struct {
	network *Network
	remote  *remote
	id      Peer
	// number is that of the peer's Hello.
	number  uint64
	dialled bool
	session *yamux.Session
	stream  net.Conn
	frames  *frameReader
	// nudge wakes the writer to send a probe or an answer without messages.
	nudge chan struct{}
	// retire is closed when the link has to end in order.
	retire chan struct{}
	// done is closed after the handler was told of the link's end.
	done chan struct{}

	mu     sync.Mutex
	prober prober
	// active is when the link last carried a message.
	active swclock.Millis
	// retiring is set before retire is closed; retiredAt is when.
	retiring  bool
	retiredAt swclock.Millis
	// cause is the first error that ended the link.
	cause error
}

// run carries messages until the link ends, and tells the handler of its end.
func (l *link) run() {
	var tasks conc.WaitGroup
	tasks.Go(func() { l.fail(l.write()) })
	quiet := l.read()
	tasks.Wait()
	if quiet && !l.dialled {
		l.awaitClose()
	}
	l.remote.ended(l, quiet)
	close(l.done)
}

// awaitClose lets the side that began to end the link close the connection, so
// that it can tell an end in order from a broken connection.
func (l *link) awaitClose() {
	timer := time.NewTimer(l.network.config.HeartbeatTimeout.Duration())
	defer timer.Stop()
	select {
	case <-l.session.CloseChan():
	case <-timer.C:
	}
}

// read delivers messages until the stream ends. It reports whether both sides
// ended it in order, so that nothing was lost.
func (l *link) read() bool {
	for {
		b, err := l.frames.read()
		if err == io.EOF && !l.session.IsClosed() {
			l.startRetiring()
			return true
		}
		if err != nil {
			if isMalformed(err) {
				l.network.stats.malformed.Add(1)
			}
			l.fail(err)
			return false
		}
		l.receive(b)
	}
}

// receive handles one batch. A probe is answered only after the messages before
// it were handled, so that a peer whose handler is stuck counts as silent.
func (l *link) receive(b swcodec.Batch) {
	now := l.network.clock.Now()
	l.mu.Lock()
	l.prober.answered(b.ProbeReply)
	if len(b.Messages) > 0 {
		l.active = now
	}
	l.mu.Unlock()
	l.network.stats.framesIn.Add(1)
	l.network.stats.messagesIn.Add(uint64(len(b.Messages)))
	for _, m := range b.Messages {
		l.network.handler.Receive(l.id, m)
	}
	if b.Probe != 0 {
		l.mu.Lock()
		l.prober.asked(b.Probe, now)
		l.mu.Unlock()
	}
}

// write sends what is queued until the link ends. After an end in order it
// returns nil and leaves the queue to the next link.
func (l *link) write() error {
	w := writer{link: l}
	for {
		select {
		case <-l.retire:
			return l.stream.Close()
		default:
		}
		select {
		case m := <-l.remote.queue.Items():
			if err := w.writeBatch(m); err != nil {
				return err
			}
		case <-l.nudge:
			if err := w.flush(false); err != nil {
				return err
			}
		case <-l.retire:
		case <-l.session.CloseChan():
			return errors.New("session closed")
		}
	}
}

// fail ends the link for a cause. The first cause is kept.
func (l *link) fail(err error) {
	if err == nil {
		return
	}
	l.mu.Lock()
	first := l.cause == nil
	if first {
		l.cause = err
	}
	l.mu.Unlock()
	if first && err == errSilent {
		l.network.stats.silent.Add(1)
	}
	l.close()
}

// close ends the connection without waiting for the peer.
func (l *link) close() {
	if err := l.session.Close(); err != nil {
		l.network.logger.Debug().Err(err).Msg("close session")
	}
}

// startRetiring ends the link in order: what was sent still arrives.
func (l *link) startRetiring() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retiring {
		return
	}
	l.retiring = true
	l.retiredAt = l.network.clock.Now()
	close(l.retire)
}

// watch is called at every watch interval; stalled tells that this process
// itself was stopped since the last one.
func (l *link) watch(now swclock.Millis, stalled bool) {
	l.mu.Lock()
	if stalled {
		l.prober.excuse(now)
		l.retiredAt = now
	}
	silent := l.prober.silent(now) || l.retiring && now-l.retiredAt > l.prober.timeout
	nudge := l.prober.due(now) || l.prober.replyDue(now, l.network.config.ReplyDelay)
	idle := l.dialled && now-l.active > l.network.config.IdleTimeout
	l.mu.Unlock()
	switch {
	case silent:
		l.fail(errSilent)
	case idle:
		l.startRetiring()
	case nudge:
		l.wake()
	}
}

// wake makes the writer send a frame without messages if one is due.
func (l *link) wake() {
	select {
	case l.nudge <- struct{}{}:
	default:
	}
}

// writer assembles batches; one goroutine uses it.
type writer struct {
	link *link
	// payload is the batch so far, frame is it with its length.
	payload  []byte
	frame    []byte
	messages int
}

// writeBatch writes a message and those that are ready with it.
func (w *writer) writeBatch(first swmsg.Message) error {
	if err := w.add(first); err != nil {
		return err
	}
	if delay := w.link.network.config.BatchDelay; delay > 0 {
		time.Sleep(delay.Duration())
	}
	for w.messages > 0 && w.messages < swcodec.MaxMessages && len(w.payload) < batchBytes {
		select {
		case m := <-w.link.remote.queue.Items():
			if err := w.add(m); err != nil {
				return err
			}
			continue
		default:
		}
		break
	}
	return w.flush(true)
}

// add appends a message to the batch. A message that cannot be encoded is dropped.
func (w *writer) add(m swmsg.Message) error {
	size, err := swcodec.Size(m)
	if err != nil {
		w.drop(err)
		return nil
	}
	if w.messages > 0 && len(w.payload)+size > batchBytes {
		if err := w.flush(true); err != nil {
			return err
		}
	}
	payload, err := swcodec.Append(w.payload, swcodec.Batch{Messages: []swmsg.Message{m}})
	if err != nil {
		w.drop(err)
		return nil
	}
	w.payload = payload
	w.messages++
	return nil
}

// drop counts a message that cannot be sent.
func (w *writer) drop(err error) {
	w.link.network.stats.refused.Add(1)
	w.link.network.logger.Error().Err(err).Msg("message dropped")
}

// flush writes the batch with the probe and the answer that are due. Without
// messages it writes only what the prober needs.
func (w *writer) flush(data bool) error {
	l := w.link
	now := l.network.clock.Now()
	var tail swcodec.Batch
	l.mu.Lock()
	if data && w.messages > 0 {
		tail.Probe = l.prober.sending(now)
		l.active = now
	} else if l.prober.due(now) {
		tail.Probe = l.prober.probe(now)
	}
	tail.ProbeReply = l.prober.takeReply()
	l.mu.Unlock()
	payload, err := swcodec.Append(w.payload, tail)
	if err != nil {
		return err
	}
	if len(payload) == 0 {
		return nil
	}
	w.frame = appendFrame(w.frame[:0], payload)
	if _, err := l.stream.Write(w.frame); err != nil {
		return err
	}
	l.network.stats.framesOut.Add(1)
	l.network.stats.messagesOut.Add(uint64(w.messages))
	w.reset(payload)
	return nil
}

// reset starts a new batch and keeps small buffers.
func (w *writer) reset(payload []byte) {
	w.messages = 0
	w.payload = payload[:0]
	if cap(w.payload) > 2*batchBytes {
		w.payload, w.frame = nil, nil
	}
}
