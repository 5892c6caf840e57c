package swcall

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

func TestAdapterPassesCallOn(t *testing.T) {
	tests := []struct {
		name   string
		method string
		status int
		body   string
	}{
		{"get", "GET", 200, `{"n":1}`},
		{"empty", "DELETE", 204, ""},
		{"service error", "POST", 503, "later"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != test.method || r.URL.String() != "/bookings/7?full=1" || r.Header.Get("Idempotency-Key") != "k" {
					t.Errorf("got %s %s with key %q", r.Method, r.URL, r.Header.Get("Idempotency-Key"))
				}
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			defer server.Close()
			answer, err := New(server.URL+"/", swclock.NewSystem()).Start(context.Background(), swtarget.Request{ID: "a", Method: test.method, Path: "/bookings/7?full=1", IdempotencyKey: "k"})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = answer.Close() }()
			var body []byte
			for {
				chunk, err := answer.Next()
				if errors.Is(err, io.EOF) {
					break
				}
				if err != nil {
					t.Fatal(err)
				}
				body = append(body, chunk.Data...)
			}
			if answer.Status() != test.status || string(body) != test.body {
				t.Errorf("got %d %q", answer.Status(), body)
			}
		})
	}
}
