package swlink

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// echoStream sends back what arrives on a stream until it ends.
func echoStream(_ Peer, stream net.Conn) {
	_, _ = io.Copy(stream, stream) // ends with the stream
	_ = stream.Close()             // may be closed already
}

// streamConfig returns settings of a host that accepts streams, and closes idle links soon.
func streamConfig() Config {
	return Config{ProbeInterval: 50, ProbeTimeout: 5 * swclock.Second, IdleTimeout: 400, ServeStream: echoStream}
}

// exchange sends a message on a stream and reads it back.
func exchange(stream net.Conn, message string) error {
	if err := stream.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(stream, message); err != nil {
		return err
	}
	got := make([]byte, len(message))
	if _, err := io.ReadFull(stream, got); err != nil {
		return err
	}
	if string(got) != message {
		return errors.Errorf("received %q, want %q", got, message)
	}
	return nil
}

// TestOpenStream checks that streams are opened over a link that is up, or that comes up for them, in both directions.
func TestOpenStream(t *testing.T) {
	d := &directory{}
	a, b := start(t, d, "a", streamConfig()), start(t, d, "b", streamConfig())
	if a.AcceptsStreams("b") {
		t.Error("a host is known to accept streams before there was a link")
	}
	for _, e := range []struct{ from, to *node }{{a, b}, {b, a}, {a, b}} {
		stream, err := e.from.OpenStream(t.Context(), e.to.id.Host)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = stream.Close() }() // not checked
		if err := exchange(stream, "hello"); err != nil {
			t.Error(err)
		}
	}
	if a.linkCount() != 1 || !a.AcceptsStreams("b") || !b.AcceptsStreams("a") {
		t.Errorf("%d links, accepts streams %t and %t", a.linkCount(), a.AcceptsStreams("b"), b.AcceptsStreams("a"))
	}
	if !a.send(b, 1) {
		t.Error("no message can be sent beside streams")
	}
	eventually(t, "a message beside streams", func() bool { return b.receivedCount() == 1 })
}

// TestOpenStreamKeepsLink checks that a link is not closed as idle while a stream is open, and is once it is closed.
func TestOpenStreamKeepsLink(t *testing.T) {
	d := &directory{}
	config := streamConfig()
	a, _ := start(t, d, "a", config), start(t, d, "b", config)
	stream, err := a.OpenStream(t.Context(), "b")
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep((2 * config.IdleTimeout).Duration())
	if err := exchange(stream, "late"); err != nil {
		t.Errorf("after the idle timeout: %v", err)
	}
	if err := stream.Close(); err != nil {
		t.Error(err)
	}
	eventually(t, "the end of the idle link", func() bool { return a.linkCount() == 0 })
}

// TestStreamEndsWithSilentPeer checks that a stream on which nobody sends ends soon after the peer stops to answer.
func TestStreamEndsWithSilentPeer(t *testing.T) {
	d := &directory{}
	config := streamConfig()
	config.IdleTimeout, config.ProbeTimeout, config.StreamTimeout = swclock.Minute, 150, 300
	a, b := start(t, d, "a", config), start(t, d, "b", config)
	stream, err := a.OpenStream(t.Context(), "b")
	if err != nil {
		t.Fatal(err)
	}
	if err := exchange(stream, "first"); err != nil {
		t.Fatal(err)
	}
	b.dropTraffic(true, true)
	if err := stream.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	_, err = stream.Read(make([]byte, 1))
	if timeout, ok := err.(net.Error); err == nil || ok && timeout.Timeout() {
		t.Errorf("the stream was not ended: %v", err)
	}
}

// TestStreamOutlastsLink guards against streams that end because their peer was silent for a moment: the link is replaced, and a stream goes on
// once the peer does.
func TestStreamOutlastsLink(t *testing.T) {
	tests := []struct {
		name string
		// silent returns the hosts that receive nothing for a while.
		silent func(a, b *node) []*node
	}{
		{"both hosts", func(a, b *node) []*node { return []*node{a, b} }},
		{"the host that opened it", func(a, _ *node) []*node { return []*node{a} }},
		{"the host that accepted it", func(_, b *node) []*node { return []*node{b} }},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			d := &directory{}
			config := streamConfig()
			config.IdleTimeout, config.ProbeTimeout, config.StreamTimeout = swclock.Minute, 150, swclock.Minute
			a, b := start(t, d, "a", config), start(t, d, "b", config)
			stream, err := a.OpenStream(t.Context(), "b")
			if err != nil {
				t.Fatal(err)
			}
			if err := exchange(stream, "before"); err != nil {
				t.Fatal(err)
			}
			var releases []func()
			for _, n := range e.silent(a, b) {
				releases = append(releases, n.holdTraffic())
			}
			eventually(t, "the loss of the link", func() bool { return len(a.lostPeers()) > 0 && len(b.lostPeers()) > 0 })
			eventually(t, "a message on a new link", func() bool { return a.send(b, 1) && b.receivedCount() > 0 })
			for _, release := range releases {
				release()
			}
			if err := exchange(stream, "after"); err != nil {
				t.Errorf("after the silence: %v", err)
			}
			select {
			case <-stream.(LinkObserver).LinkLost():
			default:
				t.Error("the loss of the link was not reported to the stream")
			}
			if err := stream.Close(); err != nil {
				t.Error(err)
			}
			eventually(t, "the end of the former connection", func() bool { return a.openConns() == 1 && b.openConns() == 1 })
		})
	}
}

// TestStreamEndsWithProcess checks that a stream does not outlast the process of its peer, of which a later one has linked.
func TestStreamEndsWithProcess(t *testing.T) {
	d := &directory{}
	config := streamConfig()
	config.IdleTimeout, config.StreamTimeout = swclock.Minute, swclock.Minute
	a, b := start(t, d, "a", config), start(t, d, "b", config)
	stream, err := a.OpenStream(t.Context(), "b")
	if err != nil {
		t.Fatal(err)
	}
	if err := exchange(stream, "before"); err != nil {
		t.Fatal(err)
	}
	a.dropTraffic(true, true) // a does not notice the end of b's process
	b.stop()
	config.Self.Incarnation = 2
	later := start(t, d, "b", config)
	eventually(t, "a link of the later process", func() bool { return later.send(a, 1) && a.receivedCount() > 0 })
	if err := stream.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	_, err = stream.Read(make([]byte, 1))
	if timeout, ok := err.(net.Error); err == nil || ok && timeout.Timeout() {
		t.Errorf("the stream was not ended: %v", err)
	}
}

// TestOpenStreamErrors checks the errors of hosts to which no stream can be opened.
func TestOpenStreamErrors(t *testing.T) {
	d := &directory{}
	a := start(t, d, "a", streamConfig())
	earlier := streamConfig()
	earlier.ServeStream = nil
	start(t, d, "earlier", earlier)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }() // not checked
	d.addresses.Store(swid.HostID("silent"), silent.Addr().String())
	d.addresses.Store(swid.HostID("closed"), "127.0.0.1:1")
	tests := []struct {
		name string
		host swid.HostID
		want error
	}{
		{"an earlier build", "earlier", ErrNoStreams},
		{"a host that is not listed", "unknown", ErrNoLink},
		{"a host that does not answer", "silent", ErrNoLink},
		{"a host that refuses", "closed", ErrNoLink},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			if _, err := a.OpenStream(ctx, e.host); errors.Cause(err) != e.want {
				t.Errorf("error %v, want %v", err, e.want)
			}
		})
	}
	if a.AcceptsStreams("earlier") {
		t.Error("an earlier build is taken to accept streams")
	}
}
