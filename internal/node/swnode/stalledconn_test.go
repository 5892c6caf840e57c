package swnode

import (
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/sassafraswing/sassafraswing/internal/config/swexample"
	"github.com/sassafraswing/sassafraswing/internal/core/swprompt"
	"github.com/sassafraswing/sassafraswing/internal/stand/swanswer"
	"github.com/sassafraswing/sassafraswing/internal/stand/swengine"
	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
)

// stallConnections stops the data on every open connection to an engine without closing
// the connection. Later connections are not affected.
func (s *system) stallConnections(t *testing.T) {
	t.Helper()
	for _, e := range s.engines {
		if err := e.Faults().Add(swfault.Fault{Kind: swfault.KindSilence, Existing: true}); err != nil {
			t.Fatal(err)
		}
	}
}

// TestSilentConnection stops the data on the engines' connections without closing
// them, before or after the first event. The caller must still get the whole answer,
// over a new connection.
func TestSilentConnection(t *testing.T) {
	const outputTokens = 40
	want := swanswer.Text(swprompt.Render([]swprompt.Message{{Role: "user", Content: "Hello"}}), outputTokens)
	tests := []struct {
		name        string
		prefillRate float64
		// afterEvents is the number of events after which connections stall, or 0
		// if afterStarts applies.
		afterEvents int
		// afterStarts is the number of started requests after which connections
		// stall, or 0 if afterEvents applies.
		afterStarts int
	}{
		{"after events", 8000, 3, 0},
		{"before the first event", 2, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startSystem(t, swengine.Config{DecodeRate: 100, PrefillRate: tt.prefillRate})
			client := openai.NewClient(option.WithBaseURL(s.url+"/v1"), option.WithAPIKey(swexample.APIKey),
				option.WithMaxRetries(0), option.WithHeader(headerDeadline, "8000"))
			if tt.afterStarts > 0 {
				go func() {
					for s.started() < tt.afterStarts {
						time.Sleep(time.Millisecond)
					}
					s.stallConnections(t)
				}()
			}
			stream := client.Chat.Completions.NewStreaming(t.Context(), openai.ChatCompletionNewParams{
				Model:     "chat",
				Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Hello")},
				MaxTokens: openai.Int(outputTokens),
			})
			var text strings.Builder
			for events := 1; stream.Next(); events++ {
				for _, c := range stream.Current().Choices {
					text.WriteString(c.Delta.Content)
				}
				if events == tt.afterEvents {
					s.stallConnections(t)
				}
			}
			if err := stream.Err(); err != nil {
				t.Fatal(err)
			}
			if text.String() != want {
				t.Errorf("got %q, want %q", text.String(), want)
			}
		})
	}
}

const headerDeadline = "X-Deadline-Millis"

// started returns the number of attempts that the engines have started.
func (s *system) started() int {
	started := 0
	for _, e := range s.engines {
		started += len(e.Attempts())
	}
	return started
}
