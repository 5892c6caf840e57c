package swholder

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swbuffer"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// goneSink is a Sink of a caller who has left.
type goneSink struct{ bufferSink }

func (*goneSink) Write([]byte) error { return errors.New("closed") }

// TestHeldAnswers guards against answers that the holder accounts for, or keeps, after their request has ended, and against an answer
// above its share of the memory that reaches the caller, or counts as a crash caused by the request's content.
func TestHeldAnswers(t *testing.T) {
	const capacity = 4 << 20
	piece := strings.Repeat("x", 20<<10)
	pieces := func(n int) []string {
		chunks := make([]string, n)
		for i := range chunks {
			chunks[i] = piece
		}
		return chunks
	}
	tooMuch := len(piece) * (capacity / len(piece) * 3 / 4)
	tests := []struct {
		name string
		// attempts are those of one request, to one target after the other.
		attempts      []script
		nonIdempotent bool
		gone          bool
		outcome       swlife.Outcome
		received      int
		refused       uint64
	}{
		{"empty", []script{{end: io.EOF}}, false, false, swlife.OutcomeAnswered, 0, 0},
		{"whole", []script{{chunks: pieces(50), end: io.EOF}}, false, false, swlife.OutcomeAnswered, 50 * len(piece), 0},
		{"cut", []script{{chunks: pieces(50), end: errBroken}, {chunks: pieces(1), end: io.EOF}}, false, false, swlife.OutcomeAnswered, len(piece), 0},
		{"failures", []script{{chunks: pieces(30), status: 500, end: io.EOF}, {chunks: pieces(40), status: 500, end: io.EOF}}, false, false, swlife.OutcomeAnswered, 40 * len(piece), 0},
		{"too large, then whole", []script{{chunks: pieces(tooMuch / len(piece)), end: io.EOF}, {chunks: pieces(50), end: io.EOF}}, false, false, swlife.OutcomeAnswered, 50 * len(piece), 1},
		{"too large", []script{{chunks: pieces(tooMuch / len(piece)), end: io.EOF}}, true, false, swlife.OutcomeUnknown, 0, 1},
		{"the caller is gone", []script{{chunks: pieces(50), end: io.EOF}}, false, true, swlife.OutcomeUnknown, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			budget := swbuffer.NewBudget(capacity)
			scripts := make(map[swid.TargetID][]script)
			targets := []swid.TargetID{"a", "b"}
			for i, s := range tt.attempts {
				scripts[targets[i]] = []script{s}
			}
			f := newFixtureWithConfig(scripts, func(c *Config) { c.Answers = budget })
			r := f.request(false, tt.nonIdempotent)
			r.RetryFailures, r.Attempts = true, swid.Attempt(len(tt.attempts))
			out := &bufferSink{}
			var sink Sink = out
			if tt.gone {
				sink = &goneSink{}
			}
			reports := make(chan Report, 1)
			go func() { reports <- f.holder.Serve(context.Background(), r, sink) }()
			for i := range tt.attempts {
				m, _ := expect[swmsg.GrantRequest](t, f)
				if tt.refused > 0 && m.Strikes > 0 {
					t.Errorf("%d strikes after an answer above its share", m.Strikes)
				}
				f.grant("owner", m, targets[i])
			}
			if report := <-reports; report.End.Outcome != tt.outcome || len(out.data) != tt.received || strings.Trim(string(out.data), "x") != "" {
				t.Errorf("%v with %d bytes, want %v with %d", report.End, len(out.data), tt.outcome, tt.received)
			}
			if budget.Held() != 0 || budget.Refused() != tt.refused {
				t.Errorf("%d bytes held, %d answers refused, want %d", budget.Held(), budget.Refused(), tt.refused)
			}
		})
	}
}
