// Package swversion lets a stand-in play a software version, which may be bad: a share of its answers fail, are cut off
// or take several times as long.
package swversion

import (
	"strings"
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Kind says what is wrong with an answer.
type Kind uint8

// Kinds of bad answers.
const (
	// KindNone is that of a version that is not bad.
	KindNone Kind = iota
	// KindFails answers with an error instead, after the request ran.
	KindFails
	// KindCuts ends the connection in the middle of the answer.
	KindCuts
	// KindSlow takes several times as long.
	KindSlow
)

// Badness describes which answers of a version are bad. All conditions apply.
type Badness struct {
	Kind Kind
	// Share is the part of the answers that are bad, of those to which the conditions apply; above 0 and at most 1.
	Share float64
	// Factor is how many times as long an answer takes; it applies to KindSlow.
	Factor float64
	// After is the time from the stand-in's start from which answers are bad.
	After swclock.Millis
	// MinLoad is the part of the slots that must be running, with the request itself; 0 if answers are bad under any load.
	MinLoad float64
	// Path begins the paths of the requests whose answers are bad; empty if that is any path.
	Path string
}

// Version is a software version as a stand-in plays it.
type Version struct {
	Name    swid.SoftwareVersion
	Badness Badness
}

// Request is what a Player has to know of a request.
type Request struct {
	Path string
	// Running is the number of requests that run, with this one, and Slots how many can.
	Running, Slots int
}

// Effect is what happens to one answer. The zero value leaves it as it is.
type Effect struct {
	Fails, Cut bool
	// Slowdown is how many times as long the answer takes; 0 for one that is not slow.
	Slowdown float64
}

// Player decides which answers are bad. It is safe for concurrent use.
type Player struct {
	badness Badness
	clock   swclock.Clock
	start   swclock.Millis

	mu sync.Mutex
	// owed is the part of a bad answer that the answers so far have left.
	owed float64
}

// NewPlayer returns the player of a version, which starts now.
func NewPlayer(v Version, clock swclock.Clock) *Player {
	return &Player{badness: v.Badness, clock: clock, start: clock.Now()}
}

// Next returns the effect on the answer to a request. The bad answers are spread evenly, the same at each run.
func (p *Player) Next(r Request) Effect {
	b := p.badness
	if b.Kind == KindNone || p.clock.Now()-p.start < b.After || float64(r.Running) < b.MinLoad*float64(r.Slots) ||
		!strings.HasPrefix(r.Path, b.Path) {
		return Effect{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.owed += b.Share; p.owed < 1 {
		return Effect{}
	}
	p.owed--
	switch b.Kind {
	case KindFails:
		return Effect{Fails: true}
	case KindCuts:
		return Effect{Cut: true}
	default:
		return Effect{Slowdown: b.Factor}
	}
}
