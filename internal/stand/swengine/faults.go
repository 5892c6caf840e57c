package swengine

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
)

// Fault kinds of an engine, in addition to those of swfault.
const (
	// kindCutAfter cuts the connection after Fault.After events, or before an answer that is
	// not streamed; the run continues and can be resumed.
	kindCutAfter swfault.Kind = "cutAfter"
	// kindTruncate ends a stream cleanly after Fault.After events, without its terminal
	// marker, and an answer that is not streamed after half of its bytes.
	kindTruncate swfault.Kind = "truncate"
	// kindCrossAnswers answers with the request id and the content of another request.
	kindCrossAnswers swfault.Kind = "crossAnswers"
	// kindCrashOn crashes the engine when a sequence whose prompt matches Fault.Hash or
	// Fault.Contains produces tokens; the engine restarts after Fault.Delay.
	kindCrashOn swfault.Kind = "crashOn"
	// kindLateAnswers delays each response by Fault.Delay.
	kindLateAnswers swfault.Kind = "lateAnswers"
)

var faultKinds = []swfault.Kind{
	swfault.KindFreeze, swfault.KindCrash, swfault.KindSlow, swfault.KindSilence, swfault.KindRefuse,
	kindCutAfter, kindTruncate, kindCrossAnswers, kindCrashOn, kindLateAnswers,
}

// defaultRestartDelay is how long the engine stays down after a crashOn fault without a delay.
const defaultRestartDelay = swclock.Second

func (e *Engine) onFaultAdded(f swfault.Fault) {
	e.log.Info().Str("kind", string(f.Kind)).Msg("fault")
	if f.Kind == swfault.KindCrash {
		e.crash()
	}
}

// addCrash adds the crash fault that a prompt matching the crashOn fault causes.
func (e *Engine) addCrash(crashOn swfault.Fault) {
	restart := crashOn.Delay
	if restart == 0 {
		restart = defaultRestartDelay
	}
	crash := swfault.Fault{Kind: swfault.KindCrash, Duration: restart, Status: crashOn.Status}
	if err := e.faults.Add(crash); err != nil {
		e.log.Error().Err(err).Msg("crash")
	}
}
