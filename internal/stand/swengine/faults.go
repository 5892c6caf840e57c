package swengine

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
)

// Faults of an engine besides those that every stand-in has.
const (
	// kindCutAfter cuts the connection after Fault.After events; the run goes on and can be resumed.
	kindCutAfter swfault.Kind = "cutAfter"
	// kindTruncate ends a response cleanly after Fault.After events, without its terminal marker.
	kindTruncate swfault.Kind = "truncate"
	// kindCrossAnswers answers with the request id and the content of another request.
	kindCrossAnswers swfault.Kind = "crossAnswers"
	// kindCrashOn crashes the engine once a prompt that matches gives its first
	// token; it restarts after Fault.Delay.
	kindCrashOn swfault.Kind = "crashOn"
	// kindLateAnswers holds each response back by Fault.Delay.
	kindLateAnswers swfault.Kind = "lateAnswers"
)

var faultKinds = []swfault.Kind{
	swfault.KindFreeze, swfault.KindCrash, swfault.KindSlow, swfault.KindSilence, swfault.KindRefuse,
	kindCutAfter, kindTruncate, kindCrossAnswers, kindCrashOn, kindLateAnswers,
}

// defaultRestart is how long a prompt that crashes the engine keeps it down.
const defaultRestart = swclock.Second

func (e *Engine) faultAdded(f swfault.Fault) {
	e.log.Info().Str("kind", string(f.Kind)).Msg("fault")
	if f.Kind == swfault.KindCrash {
		e.crash()
	}
}

// addCrash crashes the engine because of a prompt.
func (e *Engine) addCrash(poison swfault.Fault) {
	restart := poison.Delay
	if restart == 0 {
		restart = defaultRestart
	}
	crash := swfault.Fault{Kind: swfault.KindCrash, Duration: restart, Status: poison.Status}
	if err := e.faults.Add(crash); err != nil {
		e.log.Error().Err(err).Msg("crash")
	}
}
