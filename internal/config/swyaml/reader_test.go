package swyaml

import (
	"strings"
	"testing"
)

// TestDeepNesting checks that Read refuses files whose nesting would keep the parser busy for hours.
func TestDeepNesting(t *testing.T) {
	const n = 4 << 20
	tests := []struct{ name, text string }{
		{"brackets", strings.Repeat("[", n)},
		{"braces", "a: " + strings.Repeat("{a: ", n/4)},
		{"dashes", strings.Repeat("- ", n/2)},
		{"question marks", strings.Repeat("? ", n/2)},
		{"indentation", "a:\n" + strings.Repeat(" ", n) + "b: 1\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := Read("deep.yaml", []byte(tt.text), func(*Object) { t.Error("mapped") })
			if err == nil || !strings.Contains(err.Error(), "nested too deeply") {
				t.Errorf("got %v", err)
			}
		})
	}
}

func TestUnits(t *testing.T) {
	spans := []struct {
		text string
		want int64
		ok   bool
	}{
		{"500ms", 500, true}, {"2s", 2000, true}, {"3m", 180_000, true}, {"1h", 3_600_000, true},
		{"5", 0, false}, {"1.5s", 0, false}, {"-1s", 0, false}, {"s", 0, false}, {"9223372036854775807h", 0, false},
	}
	for _, tt := range spans {
		if got, ok := parseUnit(tt.text, spanUnits); got != tt.want || ok != tt.ok {
			t.Errorf("%s: %d, %v", tt.text, got, ok)
		}
	}
	for _, tt := range []struct {
		size int
		want string
	}{{0, "0B"}, {1000, "1000B"}, {1 << 10, "1KiB"}, {4 << 20, "4MiB"}, {3 << 30, "3GiB"}} {
		if got := FormatSize(tt.size); got != tt.want {
			t.Errorf("%d: %s", tt.size, got)
		}
	}
	if got := FormatSpan(90_000); got != "90s" {
		t.Error(got)
	}
}
