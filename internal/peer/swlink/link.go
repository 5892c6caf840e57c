package swlink

import (
	"context"
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

// Reasons for which a link ends.
var (
	errPeerTimeout = errors.New("peer did not answer a probe or a shutdown in time")
	errReplaced    = errors.New("replaced by a newer connection")
	errStopped     = errors.New("network stopped")
	errLinkLost    = errors.New("link was lost")
)

// link is one established connection to a peer.
type link struct {
	network *Network
	remote  *remote
	id      Peer
	// helloNumber is the number of the peer's Hello.
	helloNumber uint64
	// carries is set if the peer accepts further streams.
	carries bool
	dialled bool
	// startedAt is when the stream of the handshake was opened.
	startedAt swclock.Millis
	session   *yamux.Session
	stream    net.Conn
	frames    *frameReader
	// flushSignal wakes the writer to send a due probe or reply without messages.
	flushSignal chan struct{}
	// shutdown is closed to end the link gracefully.
	shutdown chan struct{}
	// lost is closed when the link is lost while its further streams go on.
	lost chan struct{}
	// done is closed after the link's end was handled, including the call of LinkDown if it was lost.
	done chan struct{}

	mu     sync.Mutex
	prober prober
	// lastMessageAt is when the link last sent or received a message.
	lastMessageAt swclock.Millis
	// upAt is when the link came up.
	upAt swclock.Millis
	// heardAt is when the link last received anything, the Hello included.
	heardAt swclock.Millis
	// shuttingDown is set when shutdown is closed. The time that the peer has to
	// close its side starts at shutdownAt.
	shuttingDown bool
	shutdownAt   swclock.Millis
	// cause is the first error that ended the link.
	cause error
	// outlasted is set if the further streams go on after the end of the link.
	outlasted bool
}

// run carries messages until the link ends, then detaches it from its host's state,
// which notifies the handler if the link was lost. Further streams may go on until they end, or ctx does.
func (l *link) run(ctx context.Context) {
	var tasks conc.WaitGroup
	tasks.Go(func() { l.fail(l.write()) })
	if l.carries && l.network.config.ServeStream != nil {
		l.network.tasks.Go(l.acceptStreams)
	}
	graceful := l.read()
	// A write that is blocked by the peer must not delay the report that messages were lost.
	unblock := time.AfterFunc(watchInterval.Duration(), func() {
		if l.isOutlasted() {
			l.close()
		}
	})
	tasks.Wait()
	unblock.Stop()
	if graceful && !l.dialled {
		l.awaitClose()
	}
	l.remote.linkEnded(l, graceful)
	close(l.done)
	if l.isOutlasted() {
		l.network.tasks.Go(func() { l.finishStreams(ctx) })
	}
}

// finishStreams closes the connection of a lost link once its further streams have ended, the peer answers no ping
// within StreamTimeout, or ctx ends.
func (l *link) finishStreams(ctx context.Context) {
	defer l.close()
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	began := l.network.clock.Now()
	ticker := time.NewTicker(watchInterval.Duration())
	defer ticker.Stop()
	for pingedAt := swclock.Millis(0); l.hasFurtherStreams(); {
		if now := l.network.clock.Now(); now-pingedAt >= l.network.config.ProbeInterval || l.session.IsClosed() {
			pingedAt = now
			if _, err := l.session.Ping(); err != nil {
				l.network.logger.Info().Str("peer", string(l.id.Host)).Int("streams", l.session.NumStreams()-1).
					Int64("sinceLostMillis", int64(l.network.clock.Now()-began)).Err(err).Msg("streams of a lost peer link ended")
				return
			}
		}
		<-ticker.C
	}
}

// hasFurtherStreams reports whether there are streams beside the one of the messages.
func (l *link) hasFurtherStreams() bool { return l.session.NumStreams() > 1 }

// isOutlasted reports whether the further streams go on after the end of the link.
func (l *link) isOutlasted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outlasted
}

// acceptStreams serves the further streams that the peer opens until the link ends.
func (l *link) acceptStreams() {
	for {
		stream, err := l.session.AcceptStream()
		if err != nil {
			return // the session is closed
		}
		l.network.stats.streamsIn.Add(1)
		l.network.tasks.Go(func() { l.network.config.ServeStream(l.id, stream) })
	}
}

// awaitClose waits for the dialling side, which started the graceful shutdown, to
// close the connection. If this side closed it first, the dialling side could not
// distinguish the graceful end from a broken connection.
func (l *link) awaitClose() {
	timer := time.NewTimer(l.network.config.ProbeTimeout.Duration())
	defer timer.Stop()
	select {
	case <-l.session.CloseChan():
	case <-timer.C:
	}
}

// read delivers messages until the stream ends. It reports whether both sides
// shut it down gracefully, so that no message was lost.
func (l *link) read() bool {
	for {
		b, err := l.frames.read()
		if err == io.EOF && !l.session.IsClosed() {
			l.startShutdown()
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

// receive handles one batch. It registers a probe for reply only after the handler
// has processed the messages before it. A host whose handler is blocked therefore
// does not answer, and the link times out at the peer.
func (l *link) receive(b swcodec.Batch) {
	now := l.network.clock.Now()
	l.mu.Lock()
	l.heardAt = now
	l.prober.replyReceived(b.ProbeReply)
	if len(b.Messages) > 0 {
		l.lastMessageAt = now
	}
	l.mu.Unlock()
	l.network.stats.framesIn.Add(1)
	l.network.stats.messagesIn.Add(uint64(len(b.Messages)))
	for _, m := range b.Messages {
		l.network.handler.Receive(l.id, m)
	}
	if b.Probe != 0 {
		l.mu.Lock()
		l.prober.probeReceived(b.Probe, now)
		l.mu.Unlock()
	}
}

// write sends queued messages until the link ends. After a graceful shutdown it
// returns nil and leaves the queue to the next link.
func (l *link) write() error {
	w := writer{link: l}
	for {
		select {
		case <-l.shutdown:
			return l.stream.Close()
		case <-l.lost:
			return errLinkLost
		default:
		}
		select {
		case m := <-l.remote.queue.Items():
			if err := w.writeBatch(m); err != nil {
				return err
			}
		case <-l.flushSignal:
			if err := w.flush(false); err != nil {
				return err
			}
		case <-l.shutdown:
		case <-l.lost:
		case <-l.session.CloseChan():
			return errors.New("session closed")
		}
	}
}

// fail ends the link with an error. Only the first error is kept as the cause.
func (l *link) fail(err error) { l.end(err, err == errPeerTimeout) }

// end is like fail. If keepStreams is set, further streams that are open go on without the link.
func (l *link) end(err error, keepStreams bool) {
	if err == nil {
		return
	}
	l.mu.Lock()
	first := l.cause == nil
	if first {
		l.cause = err
		l.outlasted = keepStreams && l.hasFurtherStreams()
	}
	outlasted := l.outlasted && err != errStopped
	l.mu.Unlock()
	if first && err == errPeerTimeout {
		l.network.stats.peerTimeouts.Add(1)
	}
	switch {
	case !outlasted:
		l.close()
	case first:
		close(l.lost)
		_ = l.stream.SetDeadline(time.Unix(1, 0)) // fails only on a closed stream
	}
}

// close ends the connection without waiting for the peer.
func (l *link) close() {
	if err := l.session.Close(); err != nil {
		l.network.logger.Debug().Err(err).Msg("failed to close peer session")
	}
}

// startShutdown begins a graceful shutdown: the messages already written still arrive.
func (l *link) startShutdown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shuttingDown {
		return
	}
	l.shuttingDown = true
	l.shutdownAt = l.network.clock.Now()
	close(l.shutdown)
}

// watch applies the timeouts and requests a flush for probes and replies that
// are due. It is called at every watchInterval. If suspended is set, this process
// itself was suspended since the last call, and the timeouts start again.
func (l *link) watch(now swclock.Millis, suspended bool) {
	l.mu.Lock()
	if suspended {
		l.prober.restartTimeout(now)
		l.shutdownAt = now
	}
	if l.carries && l.hasFurtherStreams() {
		// Nobody else would notice that the peer of the further streams does not answer.
		l.lastMessageAt = now
		l.prober.requested = l.prober.requested || now-l.prober.sentAt >= l.prober.interval
	}
	timedOut := l.prober.timedOut(now, l.heardAt) || l.shuttingDown && now-l.shutdownAt > l.prober.timeout
	flushDue := l.prober.probeDue(now) || l.prober.replyDue(now, l.network.config.ReplyDelay)
	idle := l.dialled && now-l.lastMessageAt > l.network.config.IdleTimeout
	l.mu.Unlock()
	switch {
	case timedOut:
		l.fail(errPeerTimeout)
	case idle:
		l.startShutdown()
	case flushDue:
		l.requestFlush()
	}
}

// requestFlush makes the writer send a frame without messages if a probe or reply is due.
func (l *link) requestFlush() {
	select {
	case l.flushSignal <- struct{}{}:
	default:
	}
}

// writer assembles batches and writes them as frames. Only one goroutine uses it.
type writer struct {
	link *link
	// payload is the encoded batch so far; frame is the payload with its length prefix.
	payload  []byte
	frame    []byte
	messages int
}

// writeBatch writes a batch of the given message and the queued ones that fit.
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

// add appends a message to the batch. If the message does not fit, it first writes
// the batch and starts a new one. A message that cannot be encoded is dropped.
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

// drop logs and counts a message that cannot be encoded.
func (w *writer) drop(err error) {
	w.link.network.stats.refused.Add(1)
	w.link.network.logger.Error().Err(err).Msg("failed to encode message, dropped it")
}

// flush writes the batch, and with it the probe and the reply that are due. If there
// is neither a message nor a due probe or reply, it writes nothing.
func (w *writer) flush(withMessages bool) error {
	l := w.link
	now := l.network.clock.Now()
	var probes swcodec.Batch
	l.mu.Lock()
	if withMessages && w.messages > 0 {
		probes.Probe = l.prober.probeWithData(now)
		l.lastMessageAt = now
	} else if l.prober.probeDue(now) {
		probes.Probe = l.prober.startProbe(now)
	}
	probes.ProbeReply = l.prober.takeReply()
	l.mu.Unlock()
	payload, err := swcodec.Append(w.payload, probes)
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

// reset starts a new batch. It reuses the buffers unless they have grown large.
func (w *writer) reset(payload []byte) {
	w.messages = 0
	w.payload = payload[:0]
	if cap(w.payload) > 2*batchBytes {
		w.payload, w.frame = nil, nil
	}
}
