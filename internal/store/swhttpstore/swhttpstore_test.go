package swhttpstore

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/stand/swplatform"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

func newStore(url string, clock swclock.Clock) *Store {
	return New(Config{URL: url, Timeout: 5 * swclock.Second, ReadsPerSecond: 1000, WritesPerSecond: 1000}, clock)
}

func TestStoreWithPlatform(t *testing.T) {
	platform := swplatform.New(swplatform.Config{})
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	defer platform.Close()
	s, ctx := newStore(server.URL, swclock.NewSystem()), context.Background()
	if _, err := s.Get(ctx, "a/b"); !errors.Is(err, swobject.ErrNotFound) {
		t.Errorf("get of nothing: %v", err)
	}
	version, err := s.Put(ctx, "a/b", []byte{0, 1}, 0)
	if err != nil || version != 1 {
		t.Fatalf("put: version %d, %v", version, err)
	}
	if _, err := s.Put(ctx, "a/b", nil, 0); !errors.Is(err, swobject.ErrConflict) {
		t.Errorf("put over: %v", err)
	}
	if _, err := s.Put(ctx, "a/b", make([]byte, swobject.MaxValueBytes+1), 1); !errors.Is(err, swobject.ErrTooLarge) {
		t.Errorf("large put: %v", err)
	}
	o, err := s.Watch(ctx, "a/b", 0)
	if err != nil || o.Version != 1 || string(o.Value) != "\x00\x01" {
		t.Errorf("watch: %+v, %v", o, err)
	}
	if _, err := s.Hosts(ctx); err != nil {
		t.Errorf("hosts: %v", err)
	}
}

// TestPutFailures checks that the error of each failed write shows whether the write
// may have taken effect, and that no write is sent twice.
func TestPutFailures(t *testing.T) {
	status := func(code int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(code)
			_, _ = io.WriteString(w, body)
		}
	}
	tests := []struct {
		name    string
		handler http.HandlerFunc // nil: nothing listens
		want    error
	}{
		{"refused", nil, swobject.ErrUnavailable},
		{"outage", status(503, ""), swobject.ErrUnavailable},
		{"rate", status(429, ""), swobject.ErrRateLimited},
		{"conflict", status(412, ""), swobject.ErrConflict},
		{"too large", status(413, ""), swobject.ErrTooLarge},
		{"server error", status(500, ""), swobject.ErrUnknown},
		{"gateway timeout", status(504, ""), swobject.ErrUnknown},
		{"no version", status(200, "{}"), swobject.ErrUnknown},
		{"answer lost", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, swobject.ErrUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var calls atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				test.handler(w, r)
			}))
			defer server.Close()
			if test.handler == nil {
				server.Close()
			}
			_, err := newStore(server.URL, swclock.NewSystem()).Put(context.Background(), "k", nil, 0)
			if !errors.Is(err, test.want) || calls.Load() > 1 {
				t.Errorf("got %v after %d calls, want %v", err, calls.Load(), test.want)
			}
		})
	}
}

func TestCircuitSparesCalls(t *testing.T) {
	var calls atomic.Int64
	var up atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		if !up.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, `{"version":1}`)
	}))
	defer server.Close()
	var clock swclock.Manual
	s, ctx := newStore(server.URL, &clock), context.Background()
	for range 10 {
		if _, err := s.Put(ctx, "k", nil, 0); !errors.Is(err, swobject.ErrUnavailable) {
			t.Fatal(err)
		}
	}
	if calls.Load() != failuresUntilOpen {
		t.Errorf("%d calls reached the platform, want %d", calls.Load(), failuresUntilOpen)
	}
	up.Store(true)
	clock.Advance(maxPause)
	for range 2 {
		if _, err := s.Put(ctx, "k", nil, 0); err != nil {
			t.Errorf("after the outage: %v", err)
		}
	}
}
