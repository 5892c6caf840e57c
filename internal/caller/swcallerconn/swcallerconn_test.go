package swcallerconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

const testBodyLimit = 1 << 20

// startRefusing starts a server that refuses all requests: those to /read after it has read their bodies, with 408 if one
// is incomplete, those to other paths at once with 404. It counts the requests.
func startRefusing(t *testing.T, bounds Bounds) (*httptest.Server, *atomic.Int64) {
	t.Helper()
	var requests atomic.Int64
	log := zerolog.Nop()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler) // as for a request whose caller is gone
		}
		body, status := NewBody(w, r, bounds), http.StatusNotFound
		defer body.Close()
		if r.URL.Path == "/read" {
			if _, err := body.ReadAll(testBodyLimit, "o"); err != nil {
				status = http.StatusRequestTimeout
			}
		}
		body.Refuse(&log, "r1", testBodyLimit, func() {
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(status)
		})
	}))
	server.Listener = Observe(server.Listener, Observation{Log: log})
	server.Config.ConnContext = ConnContext
	server.Start()
	t.Cleanup(server.Close)
	return server, &requests
}

// TestRefusalReadAfterLastWrite guards against refusals that are destroyed by a reset, for each way in which a body may be sent.
func TestRefusalReadAfterLastWrite(t *testing.T) {
	long, chunk := strings.Repeat("x", 900_000), fmt.Sprintf("%x\r\n%s\r\n", 30_000, strings.Repeat("x", 30_000))
	length := fmt.Sprintf("Content-Length: %d\r\n", len(long))
	tests := []struct {
		name, header string
		// pieces are written with pauses between them.
		pieces int
		body   string
		status int
		// closes is true if the connection ends after the refusal.
		closes bool
	}{
		{"whole", "POST / HTTP/1.1\r\nHost: h\r\n" + length, 30, long, 404, false},
		{"closing", "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + length, 30, long, 404, true},
		{"HTTP/1.0", "POST / HTTP/1.0\r\n" + length, 30, long, 404, true},
		{"HEAD", "HEAD / HTTP/1.1\r\nHost: h\r\n" + length, 30, long, 404, false},
		{"without a body", "GET / HTTP/1.1\r\nHost: h\r\n", 1, "", 404, false},
		{"stalled", "POST / HTTP/1.1\r\nHost: h\r\n" + length, 1, "half", 404, true},
		{"stalled, chunked", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n", 1, chunk, 404, true},
		{"waits to be asked for the body", "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n" + length, 1, "", 404, true},
		{"sends the body unasked", "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n" + length, 30, long, 404, true},
		{"malformed chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n", 1, "zz\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", 404, true},
		{"larger than what is discarded", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000000\r\n", 30, strings.Repeat("x", 5_000_000), 404, true},
		{"late", "POST /read HTTP/1.1\r\nHost: h\r\n" + length, 100, long, 408, true},
		{"late, chunked", "POST /read HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n", 100, strings.Repeat(chunk, 30) + "0\r\n\r\n", 408, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			bounds := Bounds{ReadTimeout: 4 * swclock.Second, WriteTimeout: swclock.Second}
			if tt.status == http.StatusRequestTimeout {
				bounds.ReadTimeout = 2900
			}
			server, requests := startRefusing(t, bounds)
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := io.WriteString(c, tt.header+"\r\n"); err != nil {
				t.Fatal(err)
			}
			for i := range tt.pieces {
				if _, err := io.WriteString(c, tt.body[i*len(tt.body)/tt.pieces:(i+1)*len(tt.body)/tt.pieces]); err != nil {
					t.Fatalf("write: %v", err)
				}
				time.Sleep(30 * time.Millisecond)
			}
			if err := c.SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil {
				t.Fatal(err)
			}
			reader := bufio.NewReader(c)
			if response, err := http.ReadResponse(reader, &http.Request{Method: strings.Fields(tt.header)[0]}); err != nil || response.StatusCode != tt.status {
				t.Fatalf("refusal %+v, error %v", response, err)
			}
			if tt.closes {
				if _, err := reader.ReadByte(); err != io.EOF {
					t.Errorf("after the refusal: %v", err)
				}
			} else if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Error(err)
			} else if _, err := http.ReadResponse(reader, nil); err != nil {
				t.Errorf("the connection was not kept: %v", err)
			}
			if n := requests.Load(); tt.closes && n != 1 {
				t.Errorf("%d requests on a connection that closes", n)
			}
		})
	}
}

// TestShutdownDuringRefusal guards against a shutdown that waits for the rest of refused bodies.
func TestShutdownDuringRefusal(t *testing.T) {
	tests := []struct {
		name string
		// looks is how often the server asks whether the host leaves before it does.
		looks int64
	}{
		{"before the rest is read", 0},
		{"when the rest begins to be read", 1},
		{"while the rest is read", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var looks atomic.Int64
			leaving := func() bool { return looks.Add(1) > tt.looks }
			server, _ := startRefusing(t, Bounds{ReadTimeout: swclock.Hour, WriteTimeout: swclock.Second, Leaving: leaving})
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nhalf"); err != nil {
				t.Fatal(err)
			}
			if response, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || response.StatusCode != http.StatusNotFound {
				t.Fatalf("refusal %+v, error %v", response, err)
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			if err := server.Config.Shutdown(ctx); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestIdleTimeout guards against connections that are closed within the time for which the configuration lets callers reuse them.
func TestIdleTimeout(t *testing.T) {
	tests := []struct {
		name       string
		configured swclock.Millis
		// later is the configured time from when the connection is idle.
		later swclock.Millis
		kept  bool
	}{
		{"no configured time", 0, 0, false},
		{"a shorter configured time", 1, 1, false},
		{"a longer configured time", swclock.Hour, swclock.Hour, true},
		{"a time that becomes longer", 1, swclock.Hour, true},
		{"a time that becomes shorter", swclock.Hour, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			var calls atomic.Int64
			server.Listener = Observe(server.Listener, Observation{IdleTimeout: func() swclock.Millis {
				if calls.Add(1) == 1 {
					return tt.configured
				}
				return tt.later
			}, Log: zerolog.Nop()})
			server.Config.ConnState, server.Config.IdleTimeout = ConnState, 200*time.Millisecond
			server.Start()
			defer server.Close()
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			reader := bufio.NewReader(c)
			request := func() {
				if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				if _, err := http.ReadResponse(reader, nil); err != nil {
					t.Fatal(err)
				}
			}
			request()
			if tt.kept {
				time.Sleep(time.Second)
				request()
				return
			}
			if err := c.SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil {
				t.Fatal(err)
			}
			if _, err := reader.ReadByte(); err != io.EOF {
				t.Errorf("read of an idle connection: %v", err)
			}
		})
	}
}
