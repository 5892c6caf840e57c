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

const (
	event1         = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	event2         = `data: {"choices":[{"text":"b"}]}` + "\r\n\r\n"
	usageEvent     = `data: {"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":3}}}` + "\n\n"
	doneEvent      = "data: [DONE]\n\n"
	commentLine    = ": still here\n\n"
	overloadedBody = `{"error":{"message":"full","type":"overloaded","code":"overloaded"}}`
)

// runAttempt runs r to its end. It returns the data, the sums of events and tokens, the usage and
// the error that ended the answer.
func runAttempt(t *testing.T, url string, r swtarget.Request) (string, swtarget.Chunk, swtarget.Usage, error) {
	t.Helper()
	limits := WithLimits(Limits{Dial: swclock.Second, FirstEvent: swclock.Minute, Event: swclock.Minute, Answer: swclock.Minute, AnswerBytes: 1000, EventBytes: 200})
	answer, err := New(url, swclock.NewSystem(), limits).Start(context.Background(), r)
	if err != nil {
		return "", swtarget.Chunk{}, swtarget.Usage{}, err
	}
	defer func() { _ = answer.Close() }()
	var data strings.Builder
	var sum swtarget.Chunk
	for {
		c, err := answer.Next()
		if err != nil {
			return data.String(), sum, answer.Usage(), err
		}
		data.Write(c.Data)
		sum.Events += c.Events
		sum.Tokens += c.Tokens
	}
}

func TestAdapter(t *testing.T) {
	whole := `{"choices":[{"text":"b"}],"usage":{"prompt_tokens":7,"completion_tokens":2}}`
	tests := []struct {
		name    string
		status  int
		stream  bool
		resume  int
		body    string
		data    string
		tokens  int
		events  int
		failure swtarget.Failure // 0: the answer is complete
	}{
		{"stream", 200, true, 0, event1 + commentLine + event2 + usageEvent + doneEvent, event1 + event2 + usageEvent + doneEvent, 2, 3, 0},
		{"event with spaces", 200, true, 0, `data: {"choices": [{"text": "b"}]}` + "\n\n" + doneEvent, `data: {"choices": [{"text": "b"}]}` + "\n\n" + doneEvent, 1, 1, 0},
		{"event that is not JSON", 200, true, 0, `data: {"text":"b"` + "\n\n" + doneEvent, "", 0, 0, swtarget.FailureBroken},
		{"resumed stream", 200, true, 1, event2 + doneEvent, event2 + doneEvent, 1, 1, 0},
		{"stream without marker", 200, true, 0, event1 + event2, event1 + event2, 2, 2, swtarget.FailureBroken},
		{"stream cut within the marker", 200, true, 0, event1 + "data: [DONE]", event1, 1, 1, swtarget.FailureBroken},
		{"stream cut within an event", 200, true, 0, event1 + event2[:20], event1, 1, 1, swtarget.FailureBroken},
		{"stream with an error", 200, true, 0, event1 + `data: {"error":{"message":"m"}}` + "\n\n" + doneEvent, event1, 1, 1, swtarget.FailureBroken},
		{"stream with a long event", 200, true, 0, "data: " + strings.Repeat("x", 300) + "\n\n" + doneEvent, "", 0, 0, swtarget.FailureBroken},
		{"no stream to resume", 409, true, 1, overloadedBody, "", 0, 0, swtarget.FailureBroken},
		{"whole", 200, false, 0, whole, whole, 2, 0, 0},
		{"whole that is cut", 200, false, 0, whole[:30], "", 0, 0, swtarget.FailureBroken},
		{"fault of the request", 400, true, 0, overloadedBody, overloadedBody, 0, 0, 0},
		{"engine refuses", 503, true, 0, overloadedBody, "", 0, 0, swtarget.FailureNotStarted},
		{"engine is full", 429, false, 0, overloadedBody, "", 0, 0, swtarget.FailureNotStarted},
		{"something else refuses", 503, true, 0, "<html>", "", 0, 0, swtarget.FailureBroken},
		{"engine refuses to resume", 503, true, 1, overloadedBody, "", 0, 0, swtarget.FailureBroken},
		{"engine fails", 500, false, 0, overloadedBody, "", 0, 0, swtarget.FailureBroken},
		{"redirect", 307, true, 0, "", "", 0, 0, swtarget.FailureBroken},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			defer server.Close()
			data, sum, _, err := runAttempt(t, server.URL, swtarget.Request{ID: "a", Attempt: 1, Method: "POST", Path: "/v1/completions", Body: []byte("{}"), Stream: test.stream, ReceivedEvents: test.resume})
			if data != test.data || int(sum.Tokens) != test.tokens || sum.Events != test.events {
				t.Errorf("got %q, %d tokens, %d events", data, sum.Tokens, sum.Events)
			}
			var failure *swtarget.Error
			switch {
			case test.failure == 0 && !errors.Is(err, io.EOF):
				t.Errorf("got %v, want io.EOF", err)
			case test.failure != 0 && (!errors.As(err, &failure) || failure.Failure != test.failure):
				t.Errorf("got %v, want failure %d", err, test.failure)
			}
		})
	}
}

func TestUsage(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		_, _ = io.WriteString(w, event1+usageEvent+doneEvent)
	}))
	defer server.Close()
	_, _, got, err := runAttempt(t, server.URL, swtarget.Request{ID: "a", Method: "POST", Path: "/", Stream: true})
	want := swtarget.Usage{PromptTokens: 7, OutputTokens: 2, CachedTokens: 3}
	if got != want || !errors.Is(err, io.EOF) {
		t.Errorf("got %+v (%v), want %+v", got, err, want)
	}
}
