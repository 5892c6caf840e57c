package swyaml

import (
	"math"
	"strconv"
	"strings"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// unit is a suffix and its factor to the base unit.
type unit struct {
	suffix string
	factor int64
}

// spanUnits have milliseconds as the base unit. Since parseUnit uses the first
// suffix that matches, a longer suffix comes before a shorter one that it ends
// with: "ms" before "s".
var spanUnits = []unit{
	{"ms", 1},
	{"s", int64(swclock.Second)},
	{"m", int64(swclock.Minute)},
	{"h", int64(swclock.Hour)},
}

// sizeUnits have bytes as the base unit, ordered by the same rule as spanUnits.
var sizeUnits = []unit{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"B", 1},
}

// parseUnit parses a whole number followed by one of the units.
func parseUnit(text string, units []unit) (int64, bool) {
	for _, u := range units {
		digits, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.factor {
			return 0, false
		}
		return n * u.factor, true
	}
	return 0, false
}

// FormatSpan formats a duration in the largest unit that divides it.
func FormatSpan(span swclock.Millis) string { return formatUnit(int64(span), spanUnits) }

// FormatSize formats a number of bytes in the largest unit that divides it.
func FormatSize(size int) string { return formatUnit(int64(size), sizeUnits) }

func formatUnit(n int64, units []unit) string {
	best := unit{factor: 0}
	for _, u := range units {
		if n%u.factor == 0 && u.factor > best.factor && (n != 0 || u.factor == 1) {
			best = u
		}
	}
	return strconv.FormatInt(n/best.factor, 10) + best.suffix
}
