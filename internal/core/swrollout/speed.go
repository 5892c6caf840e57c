package swrollout

import (
	"math"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

const (
	// slowFactor is the factor by which a slow answer takes longer than expected.
	slowFactor = 2.3
	// overdueSlack is added to the time that a run may take, as runs of short routes wait for the network too.
	overdueSlack = 300 * swclock.Millis(1)
	// usualQuantile is the quantile of the durations that nearly all runs take.
	usualQuantile = 0.95
	// speedRange is the factor by which sound targets differ in speed.
	speedRange = 5
	// speedQuantile is the quantile of a target's answers that is taken as its speed: lower than the share of fast answers of a
	// version that is slow at times.
	speedQuantile = 0.2
	// fastQuantile is the quantile of the targets' speeds that the slowest sound ones are compared with.
	fastQuantile = 0.1
	// minCurve is the number of answers of old versions from which an expected time is taken.
	minCurve = 8
	// fitRounds is the number of times that expected times and speeds are fitted to each other.
	fitRounds = 3
)

// curve has the expected times of a series at an average target of the old versions, by load.
type curve struct {
	expected [levels]float64
	// exact is set for the levels at which old versions answered.
	exact [levels]bool
}

// speeds are the logarithms of the factors by which targets are slower than an average one, by index; NaN if not known.
type speeds [][timeKinds]float64

func (s speeds) of(target, kind int) float64 {
	if target >= len(s) {
		return math.NaN()
	}
	return s[target][kind]
}

// slowest returns the largest speed of a target that is known, NaN if none is.
func (s speeds) slowest(target int) float64 {
	slowest := math.NaN()
	for kind := range timeKinds {
		if speed := s.of(target, kind); !math.IsNaN(speed) && !(speed <= slowest) {
			slowest = speed
		}
	}
	return slowest
}

// pace is what is known of the speed of the old versions.
type pace struct {
	// curves are in the order of the series' indices.
	curves []curve
	// slowest are the speeds of the slowest targets that may be sound.
	slowest [timeKinds]float64
	// usual are the durations that nearly all runs of a route take at an average target, in milliseconds, by index; 0 if not known.
	usual []float64
}

// newPace fits expected times and the speeds of targets to answers of the old versions, in turn, as each depends on the other.
func newPace(n *names, old []*sample) (pace, speeds) {
	p := pace{}
	var byTarget speeds
	for range fitRounds {
		p.curves = newCurves(n, old, byTarget)
		byTarget = p.speeds(n, old)
	}
	for kind := range timeKinds {
		var known []float64
		for _, s := range byTarget {
			if !math.IsNaN(s[kind]) {
				known = append(known, s[kind])
			}
		}
		p.slowest[kind] = math.Log(speedRange)
		if len(known) > 0 {
			p.slowest[kind] += min(0, quantile(known, fastQuantile))
		}
	}
	totals := make([][]float64, len(n.routes))
	for _, s := range old {
		if speed := byTarget.slowest(s.target); !s.bad && !math.IsNaN(speed) {
			totals[s.route] = append(totals[s.route], float64(s.total)/math.Exp(speed))
		}
	}
	p.usual = make([]float64, len(totals))
	for route, t := range totals {
		if len(t) >= minCurve {
			p.usual[route] = quantile(t, usualQuantile)
		}
	}
	return p, byTarget
}

func newCurves(n *names, old []*sample, byTarget speeds) []curve {
	values := make([][levels][]float64, len(n.series))
	for _, s := range old {
		if s.warming {
			continue
		}
		for kind, t := range s.times {
			if math.IsNaN(t) {
				continue
			}
			if speed := byTarget.of(s.target, kind); !math.IsNaN(speed) {
				t -= speed
			}
			v := &values[s.series[kind]][s.level]
			*v = append(*v, t)
		}
	}
	curves := make([]curve, len(values))
	for i := range values {
		higher := math.NaN()
		// A level without answers takes the time of the next higher one, at which targets are no faster.
		for level := levels - 1; level >= 0; level-- {
			if v := values[i][level]; len(v) >= minCurve {
				higher = quantile(v, 0.5)
				curves[i].exact[level] = true
			}
			curves[i].expected[level] = higher
		}
		// Targets that run little are about as fast at either of the two lowest levels.
		curves[i].exact[0] = curves[i].exact[0] || curves[i].exact[1]
	}
	return curves
}

// excess returns the logarithm of the factor by which an answer took longer than expected, NaN if nothing is expected. It is exact
// if old versions answered under like load.
func (p *pace) excess(s *sample, kind int) (factor float64, exact bool) {
	if math.IsNaN(s.times[kind]) || s.series[kind] >= len(p.curves) {
		return math.NaN(), false
	}
	c := &p.curves[s.series[kind]]
	return s.times[kind] - c.expected[s.level], c.exact[s.level]
}

// speeds returns the speeds of the targets that answered.
func (p *pace) speeds(n *names, all []*sample) speeds {
	values := make([][timeKinds][]float64, len(n.targets))
	for _, s := range all {
		if s.warming {
			continue
		}
		for kind := range timeKinds {
			if e, exact := p.excess(s, kind); exact && !math.IsNaN(e) {
				v := &values[s.target][kind]
				*v = append(*v, e)
			}
		}
	}
	byTarget := make(speeds, len(values))
	for target := range values {
		for kind, v := range values[target] {
			byTarget[target][kind] = math.NaN()
			if len(v) > 1 {
				byTarget[target][kind] = quantile(v, speedQuantile)
			}
		}
	}
	return byTarget
}

// slow returns which answers took several times longer than usual at their targets.
func (p *pace) slow(all []*sample, byTarget speeds) []bool {
	limit := math.Log(slowFactor)
	slow := make([]bool, len(all))
	for i, s := range all {
		if s.warming {
			continue
		}
		for kind := range timeKinds {
			e, _ := p.excess(s, kind)
			if math.IsNaN(e) {
				continue
			}
			speed := p.slowest[kind]
			if known := byTarget.of(s.target, kind); !math.IsNaN(known) {
				speed = min(known, speed)
			}
			slow[i] = slow[i] || e-speed > limit
		}
	}
	return slow
}

// overdue returns the runs at the new version that are older than nearly all runs of their route at a target as fast. They are late, or
// several times older. Their time is that at which they should have ended, so that they do not all come last.
func (p *pace) overdue(n *names, runs []Running, byTarget speeds, now swclock.Millis) []*sample {
	// Targets differ by speedRange, so that one that is not known is at most about its square root slower than most.
	unknown := math.Log(speedRange)
	var known []float64
	for target := range byTarget {
		if speed := byTarget.slowest(target); !math.IsNaN(speed) {
			known = append(known, speed)
		}
	}
	if len(known) > 1 {
		unknown = quantile(known, 0.5) + unknown/2
	}
	var overdue []*sample
	for _, run := range runs {
		route := n.route(run.Route)
		if run.Warming || route >= len(p.usual) || p.usual[route] == 0 {
			continue
		}
		target := n.target(run.Target)
		speed := byTarget.slowest(target)
		if math.IsNaN(speed) {
			speed = unknown
		}
		usual := math.Exp(speed) * p.usual[route]
		if float64(run.Since) < usual+float64(overdueSlack) {
			continue
		}
		level, loaded := loadLevel(run.Running, run.Slots)
		none := math.NaN()
		overdue = append(overdue, &sample{at: now - run.Since + swclock.Millis(usual), total: run.Since, target: target, route: route, level: level, loaded: loaded,
			late: float64(run.Since) < slowFactor*usual+float64(overdueSlack), times: [timeKinds]float64{none, none, none}})
	}
	return overdue
}

// quantile sorts values and returns one of them.
func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}
