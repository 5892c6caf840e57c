package swengine

import (
	"encoding/json"
	"net/http"

	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
)

// streamEnd is the terminal marker of a stream.
const streamEnd = "data: [DONE]\n\n"

// stream sends the answer as server-sent events.
func (o *response) stream() {
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(o.w)
	if err := control.Flush(); err != nil {
		return
	}
	limit, cut := o.eventLimit(kindCutAfter)
	if o.run.effect.Cut && o.sent == 0 {
		limit, cut = o.run.call.eventCount()/2, true
	}
	truncated := false
	if !cut {
		limit, truncated = o.eventLimit(kindTruncate)
	}
	for {
		p := o.progress()
		if p.state == runCancelled {
			panic(http.ErrAbortHandler)
		}
		end := p.available
		if cut || truncated {
			end = min(end, limit)
		}
		if !o.send(p, end, control) {
			return
		}
		if (cut || truncated) && o.sent >= limit {
			o.endedByEngine = true
			if cut {
				panic(http.ErrAbortHandler)
			}
			return
		}
		if o.sent >= p.total {
			o.finish([]byte(streamEnd))
			return
		}
		o.wait(p)
	}
}

// eventLimit returns the number of events after which the fault of the kind ends the
// response, including the events of earlier responses, and reports whether that fault
// is active. It counts the request against the fault.
func (o *response) eventLimit(kind swfault.Kind) (int, bool) {
	f, ok := o.engine.faults.Trigger(kind)
	if !ok {
		return 0, false
	}
	return min(o.sent+f.After, o.run.call.eventCount()), true
}

// send writes the events up to but not including number end, and reports whether it
// could write them to the connection.
func (o *response) send(p progress, end int, control *http.ResponseController) bool {
	if o.sent >= end {
		return true
	}
	o.engine.faults.BlockResponse(o.ctx, o.r)
	for ; o.sent < end; o.sent++ {
		body, err := json.Marshal(o.run.call.eventBody(o.source, p.usage, o.sent))
		if err != nil {
			return false
		}
		event := append(append([]byte("data: "), body...), "\n\n"...)
		if _, err := o.w.Write(event); err != nil {
			return false
		}
	}
	return control.Flush() == nil
}
