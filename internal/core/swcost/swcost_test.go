package swcost

import (
	"math"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// checkNear checks that a value is within 5% of the wanted one.
func checkNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 0.05*want {
		t.Errorf("%s is %.3f, want about %.3f", what, got, want)
	}
}

// TestRatesAreLearned checks that the estimates follow observations that are half as
// fast as the priors.
func TestRatesAreLearned(t *testing.T) {
	r := NewRates(4000, 100, 0)
	checkNear(t, "the first estimate", r.FirstToken(4000), 1000)
	for range 30 {
		r.ObserveFirst(4000, 2*swclock.Second)
		r.ObserveRest(101, 2*swclock.Second)
	}
	checkNear(t, "the time to the first token", r.FirstToken(2000), 1000)
	checkNear(t, "the rest", r.Rest(50), 1000)
}

func TestOverheadOfShortPrompts(t *testing.T) {
	r := NewRates(4000, 100, 0)
	for range 30 {
		r.ObserveFirst(40, 60)
	}
	checkNear(t, "a short prompt", r.FirstToken(40), 60)
	checkNear(t, "a long prompt", r.FirstToken(4000), 1050)
}

func TestOneOutlierCountsLittle(t *testing.T) {
	a := NewAverage(10)
	for range 20 {
		a.Add(10)
	}
	a.Add(1e6)
	if a.Value() > 25 {
		t.Errorf("the average is %.1f after one outlier", a.Value())
	}
}

func TestExpectedOutput(t *testing.T) {
	var o Output
	if mean, _ := o.Expect(1, 500); mean != 500 {
		t.Errorf("expected output is %.0f before any observation, want the limit", mean)
	}
	for range 30 {
		o.Observe(1, 500, 200)
		o.Observe(1, 500, 300)
	}
	mean, deviation := o.Expect(1, 500)
	// With a gain of a fifth the average alternates between 244.4 and 255.6.
	checkNear(t, "the mean", mean, 255.6)
	checkNear(t, "the deviation", deviation, 55.6)
	if mean, _ := o.Expect(0, 500); mean != 500 {
		t.Errorf("expected output of another tier is %.0f, want its limit", mean)
	}
}
