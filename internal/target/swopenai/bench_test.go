package swopenai

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// BenchmarkStream measures the time to read one event of a stream.
func BenchmarkStream(b *testing.B) {
	const events = 1000
	eventText := `data: {"id":"cmpl-1","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}` + "\n\n"
	body := strings.Repeat(eventText, events) + doneEvent
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		_, _ = io.WriteString(w, body)
	}))
	defer server.Close()
	adapter := New(server.URL, swclock.NewSystem())
	b.ReportAllocs()
	for b.Loop() {
		answer, err := adapter.Start(context.Background(), swtarget.Request{ID: "a", Method: "POST", Path: "/", Stream: true})
		if err != nil {
			b.Fatal(err)
		}
		for err == nil {
			_, err = answer.Next()
		}
		if !errors.Is(err, io.EOF) {
			b.Fatal(err)
		}
		_ = answer.Close()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/events, "ns/event")
}
