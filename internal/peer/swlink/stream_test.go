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
	config.IdleTimeout, config.ProbeTimeout = swclock.Minute, 150
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
