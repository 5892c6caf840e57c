package swopenai

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/stand/swengine"
	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// TestWithEngine runs streams against the simulated engine, without and with injected faults.
func TestWithEngine(t *testing.T) {
	tests := []struct {
		name    string
		fault   swfault.Fault
		failure swtarget.Failure // 0: the stream is complete
		resumed bool             // the stream is complete after it is resumed
	}{
		{"whole", swfault.Fault{}, 0, false},
		{"refused", swfault.Fault{Kind: swfault.KindRefuse, Count: 1}, swtarget.FailureNotStarted, false},
		{"crashed", swfault.Fault{Kind: swfault.KindCrash}, swtarget.FailureBroken, false},
		{"cut", swfault.Fault{Kind: "cutAfter", After: 3, Count: 1}, swtarget.FailureBroken, true},
		{"truncated", swfault.Fault{Kind: "truncate", After: 3, Count: 1}, swtarget.FailureBroken, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engine := swengine.New(swengine.Config{TimeScale: 50})
			defer engine.Close()
			server := httptest.NewServer(engine.Handler())
			defer server.Close()
			if test.fault.Kind != "" {
				if err := engine.Faults().Add(test.fault); err != nil {
					t.Fatal(err)
				}
			}
			r := swtarget.Request{ID: "a", Attempt: 1, Method: "POST", Path: "/v1/completions", ContentType: "application/json", Stream: true,
				Body: []byte(`{"model":"m","prompt":"hello","max_tokens":8,"stream":true,"stream_options":{"include_usage":true}}`)}
			data, sum, usage, err := runAttempt(t, server.URL, r)
			var failure *swtarget.Error
			if test.failure != 0 && (!errors.As(err, &failure) || failure.Failure != test.failure) {
				t.Fatalf("got %v, want failure %d", err, test.failure)
			}
			if test.resumed {
				r.ReceivedEvents = sum.Events
				var rest string
				var more swtarget.Chunk
				rest, more, usage, err = runAttempt(t, server.URL, r)
				data, sum.Tokens = data+rest, sum.Tokens+more.Tokens
			}
			if test.failure != 0 && !test.resumed {
				return
			}
			if !errors.Is(err, io.EOF) || sum.Tokens == 0 || usage.OutputTokens != sum.Tokens || strings.Count(data, doneEvent) != 1 {
				t.Errorf("got %d tokens, usage %+v, error %v", sum.Tokens, usage, err)
			}
		})
	}
}
