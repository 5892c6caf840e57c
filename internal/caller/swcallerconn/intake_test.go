package swcallerconn

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swroom"
)

const largestBody = 4 << 20

// startReceiving starts a server that answers requests with the hash of their bodies, or refuses them with 413, 503 or 408.
// The path is the group of the request.
func startReceiving(t *testing.T, in *Intake, o Observation) string {
	t.Helper()
	log := zerolog.Nop()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := NewBody(w, r, Bounds{ReadTimeout: swclock.Hour, WriteTimeout: swclock.Second})
		defer body.Close()
		data, err := body.ReadAll(largestBody, swroom.Group(r.URL.Path))
		var tooLarge *http.MaxBytesError
		switch {
		case err == nil:
			_, _ = fmt.Fprintf(w, "%x", sha256.Sum256(data))
			return
		case errors.Is(err, swroom.ErrNoRoom):
			w.Header().Set("Retry-After", "1")
			body.Refuse(&log, "r", largestBody, func() { refuseWith(w, http.StatusServiceUnavailable) })
		case errors.As(err, &tooLarge):
			body.Refuse(&log, "r", largestBody, func() { refuseWith(w, http.StatusRequestEntityTooLarge) })
		default:
			body.Refuse(&log, "r", largestBody, func() { refuseWith(w, http.StatusRequestTimeout) })
		}
	}))
	o.Intake, o.Log = in, log
	server.Listener = Observe(server.Listener, o)
	server.Config.ConnContext, server.Config.ConnState = ConnContext, ConnState
	server.Config.IdleTimeout, server.Config.ReadHeaderTimeout = time.Minute, time.Minute
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func refuseWith(w http.ResponseWriter, status int) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// encodeBody returns the fields and the text of a body.
func encodeBody(data []byte, chunk int) (fields, text string) {
	if chunk == 0 {
		return fmt.Sprintf("Content-Length: %d\r\n", len(data)), string(data)
	}
	var b strings.Builder
	for len(data) > 0 {
		n := min(chunk, len(data))
		_, _ = fmt.Fprintf(&b, "%x\r\n%s\r\n", n, data[:n])
		data = data[n:]
	}
	return "Transfer-Encoding: chunked\r\n", b.String() + "0\r\n\r\n"
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.SetDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// waitFor waits until reached returns true.
func waitFor(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for start := time.Now(); !reached(); time.Sleep(time.Millisecond) {
		if time.Since(start) > time.Minute {
			t.Fatal("not reached:", what)
		}
	}
}

// TestLargestBody checks that the largest body is received whole in processes of several sizes, alone and beside bodies that have stalled.
func TestLargestBody(t *testing.T) {
	data := bytes.Repeat([]byte("0123456789abcde"), largestBody/15+1)[:largestBody]
	for _, tt := range []struct {
		megabytes int64
		chunk     int
		// stalled bodies of the group have stopped one byte short before.
		stalled int
		group   string
	}{
		{120, 0, 0, "/a"}, {136, 0, 0, "/a"}, {536, 0, 0, "/a"}, {120, 100_000, 0, "/a"}, {120, 7, 0, "/a"},
		{120, 0, 10, "/a"}, {120, 0, 10, "/b"}, {120, 100_000, 10, "/b"}, {536, 0, 40, "/a"},
	} {
		t.Run(fmt.Sprint(tt), func(t *testing.T) {
			clock := &swclock.Manual{}
			in := NewIntake(1000, swroom.CapacityOf(tt.megabytes*1e6, largestBody), clock)
			address := startReceiving(t, in, Observation{})
			for range tt.stalled {
				c := dial(t, address)
				fields, text := encodeBody(data, 0)
				_, _ = io.WriteString(c, "POST "+tt.group+" HTTP/1.1\r\nHost: h\r\n"+fields+"\r\n"+text[:len(text)-1]) // it may be refused
			}
			clock.Advance(2 * swclock.Second)
			c := dial(t, address)
			fields, text := encodeBody(data, tt.chunk)
			if _, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\n"+fields+"\r\n"+text); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			hash, err := io.ReadAll(response.Body)
			if want := fmt.Sprintf("%x", sha256.Sum256(data)); err != nil || response.StatusCode != http.StatusOK || string(hash) != want {
				t.Errorf("status %d, hash %s, want %s, error %v", response.StatusCode, hash, want, err)
			}
		})
	}
}

// TestRefusalOfEvictedBodyRead guards against refusals that are lost because the connection is closed while its caller sends, for bodies that give way.
func TestRefusalOfEvictedBodyRead(t *testing.T) {
	for i := range 20 {
		chunk := i % 2 * 1000
		clock := &swclock.Manual{}
		in := NewIntake(1000, 3*largestBody, clock) // not for two such bodies at a time
		address := startReceiving(t, in, Observation{})
		fields, text := encodeBody(bytes.Repeat([]byte("x"), largestBody), chunk)
		slow := dial(t, address)
		// At the end of a segment, so that the next one tells that all of it has arrived: what arrives later is progress.
		const sent = largestBody - 4*maxSegmentBytes
		end := sent
		if chunk > 0 {
			const framing = len("3e8\r\n") + len("\r\n")
			end = sent/chunk*(chunk+framing) + len("3e8\r\n") + sent%chunk
		}
		if _, err := io.WriteString(slow, "POST /a HTTP/1.1\r\nHost: h\r\n"+fields+"\r\n"+text[:end]); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "all that was sent has arrived", func() bool { return in.Bodies.Held() == sent+maxSegmentBytes-swroom.FreeBytes })
		clock.Advance(2 * swclock.Second)
		fast := dial(t, address)
		if _, err := io.WriteString(fast, "POST /b HTTP/1.1\r\nHost: h\r\n"+fields+"\r\n"+text); err != nil {
			t.Fatal(err)
		}
		if response, err := http.ReadResponse(bufio.NewReader(fast), nil); err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("body of another: %+v, error %v", response, err)
		}
		reader := bufio.NewReader(slow)
		if _, err := io.WriteString(slow, text[end:len(text)-1]); err != nil {
			t.Fatalf("write after the refusal: %v", err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") != "1" || !response.Close {
			t.Fatalf("refusal %+v, error %v", response, err)
		}
		if _, err := reader.ReadByte(); err != io.EOF {
			t.Errorf("after the refusal: %v", err)
		}
		_ = slow.Close()
		_ = fast.Close()
		waitFor(t, "no room is held", func() bool { return in.Bodies.Held() == 0 })
	}
}

// TestAnnouncedBodyTakesNoRoom checks that only what has arrived takes room.
func TestAnnouncedBodyTakesNoRoom(t *testing.T) {
	in := NewIntake(1000, swroom.DefaultCapacity, &swclock.Manual{})
	address := startReceiving(t, in, Observation{})
	for range 50 {
		c := dial(t, address)
		if _, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\nsome"); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "all bodies have begun to arrive", func() bool { return in.Connections.Count(swroom.StateReceiving) == 50 })
	if held := in.Bodies.Held(); held != 0 {
		t.Errorf("%d bytes held", held)
	}
}

// TestRefusedBodyTakesNoRoom checks that a refused body takes no room while the rest of it is discarded.
func TestRefusedBodyTakesNoRoom(t *testing.T) {
	in := NewIntake(1000, swroom.DefaultCapacity, &swclock.Manual{})
	address := startReceiving(t, in, Observation{})
	c := dial(t, address)
	_, text := encodeBody(bytes.Repeat([]byte("x"), largestBody+100_000), 100_000)
	if _, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.TrimSuffix(text, "0\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if response, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Fatalf("refusal %+v, error %v", response, err)
	}
	waitFor(t, "no room is held", func() bool { return in.Bodies.Held() == 0 })
}

// TestConnectionsGiveWay checks that a request on a new connection is answered whatever other connections are used for, and that
// no more are open than allowed.
func TestConnectionsGiveWay(t *testing.T) {
	const limit = 20
	tests := []struct {
		name, text string
		state      swroom.State
	}{
		{"nothing sent", "", swroom.StateWaiting},
		{"part of a header", "POST /a HTTP/1.1\r\nHost: h\r\n", swroom.StateWaiting},
		{"idle", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", swroom.StateIdle},
		{"body asked for", "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1000\r\n\r\n", swroom.StateReceiving},
		{"refused", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", swroom.StateRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := &swclock.Manual{}
			in := NewIntake(limit, swroom.DefaultCapacity, clock)
			address := startReceiving(t, in, Observation{})
			var connections []net.Conn
			for i := range limit {
				connections = append(connections, dial(t, address))
				if _, err := io.WriteString(connections[i], tt.text); err != nil {
					t.Fatal(err)
				}
				if tt.state != swroom.StateRefused { // these are closed by themselves
					waitFor(t, "the connection is in its state", func() bool { return in.Connections.Count(tt.state) == i+1 })
				}
			}
			clock.Advance(2 * swclock.Second)
			c := dial(t, address)
			if _, err := io.WriteString(c, "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"); err != nil {
				t.Fatal(err)
			}
			if response, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("response %+v, error %v", response, err)
			}
			open := 0
			for _, state := range swroom.States() {
				open += in.Connections.Count(state)
			}
			if open > limit+limit/8 {
				t.Errorf("%d connections open", open)
			}
			for _, c := range append(connections, c) {
				_ = c.Close()
			}
			waitFor(t, "no connection is counted", func() bool {
				for _, state := range swroom.States() {
					if in.Connections.Count(state) > 0 {
						return false
					}
				}
				return true
			})
		})
	}
}

// TestHeaderTimeout guards against headers for which the host waits longer than configured, and against connections that the time for headers ends
// while they are idle or while a body arrives.
func TestHeaderTimeout(t *testing.T) {
	const timeout = 300 * swclock.Millis(1)
	address := startReceiving(t, NewIntake(100, swroom.DefaultCapacity, swclock.NewSystem()), Observation{HeaderTimeout: func() swclock.Millis { return timeout }})
	for _, text := range []string{"", "GET /a HTTP/1.1\r\nHost: h\r\n"} {
		c := dial(t, address)
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		if _, err := bufio.NewReader(c).ReadByte(); err != io.EOF {
			t.Errorf("%q: %v", text, err)
		}
	}
	c := dial(t, address)
	reader := bufio.NewReader(c)
	for range 2 {
		if _, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * timeout.Duration())
		if _, err := io.WriteString(c, "body"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("response %+v, error %v", response, err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * timeout.Duration())
	}
}

// TestProgress guards against slow senders inside the limits that count as stalled, and against callers that keep a body open with a few bytes.
func TestProgress(t *testing.T) {
	tests := []struct {
		name      string
		announced int
		// first arrives at once, then each bytes every interval.
		first, each int
		interval    swclock.Millis
		givesWay    bool
	}{
		{"steady and slow", 300_000, 0, 8_000, 400, false},
		{"steady and slow, of unknown length", 0, 0, 8_000, 400, false},
		{"steady after what was under way", 300_000, 60_000, 8_000, 400, false},
		{"one byte at a time of the rest", 300_000, 299_900, 1, 400, true},
		{"one byte at a time of the rest, of unknown length", 0, 299_900, 1, 400, true},
		{"too slow to be complete in time", largestBody, 10_000, 1_000, 400, true},
		{"stopped", 300_000, 60_000, 0, 400, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := &swclock.Manual{}
			const connections = 8
			in := NewIntake(connections, 3*largestBody, clock)
			for range connections - 1 {
				in.Connections.Open(0, func() { t.Error("a connection whose request is served was closed") }).SetState(0, swroom.StateServing)
			}
			connection := &conn{Observation: Observation{Intake: in}, room: in.Connections.Open(0, func() {})}
			recorder := httptest.NewRecorder()
			request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("x"))
			request.ContentLength = -1
			if tt.announced > 0 {
				request.ContentLength = int64(tt.announced)
			}
			body := &Body{
				writer: recorder, request: request, controller: http.NewResponseController(recorder), connection: connection,
				bounds: Bounds{ReadTimeout: 15 * swclock.Second},
			}
			r := &body.reception
			r.body, r.group, r.receiving = body, "slow", true
			refused := false
			connection.room.Receive(0, func() { refused = true })
			source := &pacedReader{clock: clock, first: tt.first, each: tt.each, interval: tt.interval, steps: 20, end: func() {
				other := in.Bodies.Open(clock.Now(), "other", func() {})
				defer other.Close()
				// So much only fits if nothing else is held, and it holds more than the first, which gives way only if it has stalled.
				_ = other.Reserve(clock.Now(), 3*largestBody*3/8)
				in.Connections.Open(clock.Now(), func() {}).Remove()
			}}
			if _, err := r.read(source); err != nil {
				t.Fatal(err)
			}
			gaveWay := r.stop()
			if gaveWay != tt.givesWay {
				t.Errorf("gave way: %v", gaveWay)
			}
			if refused != tt.givesWay {
				t.Errorf("gave way to another connection: %v", refused)
			}
		})
	}
}

// pacedReader reads first bytes at once and then each bytes every interval, and calls end after so many steps.
type pacedReader struct {
	clock       *swclock.Manual
	first, each int
	interval    swclock.Millis
	steps       int
	// left is what can be read at this time.
	left    int
	started bool
	end     func()
}

// Read implements io.Reader.
func (r *pacedReader) Read(p []byte) (int, error) {
	if !r.started {
		r.started, r.left = true, r.first
	}
	for r.left == 0 {
		if r.steps == 0 {
			r.end()
			return 0, io.EOF
		}
		r.steps--
		r.clock.Advance(r.interval)
		r.left = r.each
	}
	n := min(r.left, len(p))
	r.left -= n
	return n, nil
}

// TestHeaderWithoutRoom guards against a final answer to a request whose header finds no room: its caller could not come back.
func TestHeaderWithoutRoom(t *testing.T) {
	in := NewIntake(100, swroom.DefaultCapacity, swclock.NewSystem())
	address := startReceiving(t, in, Observation{})
	for long := bytes.Repeat([]byte("n: v\r\n"), 100); in.Headers.Open().Grow(long); { // until a crowd holds all room
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	large := "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nName: " + strings.Repeat("x", 16<<10) + "\r\n\r\nbody"
	if _, err := io.WriteString(c, large); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if answer, err := io.ReadAll(c); len(answer) > 0 || errors.Is(err, os.ErrDeadlineExceeded) { // the connection may end with a reset
		t.Errorf("answer %q, error %v", answer, err)
	}
	body := strings.Repeat("1\r\nx\r\n", 600) + "0\r\n\r\n"
	small, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = small.Close() }()
	if _, err := io.WriteString(small, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+body); err != nil {
		t.Fatal(err)
	}
	if answer, err := http.ReadResponse(bufio.NewReader(small), nil); err != nil || answer.StatusCode != http.StatusOK {
		t.Errorf("a request whose body comes with its header: %+v, error %v", answer, err)
	}
}
