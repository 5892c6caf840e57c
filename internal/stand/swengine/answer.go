package swengine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
	"github.com/sassafraswing/sassafraswing/internal/stand/swreply"
)

// Headers of the engine's API.
const (
	headerRequestID  = "X-Request-Id"
	headerAttempt    = "X-Attempt"
	headerResumeFrom = "X-Resume-From"
)

// complete serves a completion.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	ctx, release := swfault.RequestContext(e.currentProcess(), r)
	defer release()
	if !e.faults.Gate(ctx, w, r) {
		return
	}
	c, err := parseCall(w, r, chat)
	if err != nil {
		swreply.Error(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	if e.config.Model != "" && c.model != e.config.Model {
		swreply.Error(w, http.StatusNotFound, "model_not_found", "the model is not loaded")
		return
	}
	id := swid.RequestID(r.Header.Get(headerRequestID))
	if id == "" {
		id = swid.RequestID(uuid.NewString())
	}
	from, err := countHeader(r, headerResumeFrom)
	if err != nil {
		swreply.Error(w, http.StatusBadRequest, "header", err.Error())
		return
	}
	if from > 0 {
		e.resume(ctx, w, r, c, id, from)
		return
	}
	attempt, err := countHeader(r, headerAttempt)
	if err != nil {
		swreply.Error(w, http.StatusBadRequest, "header", err.Error())
		return
	}
	started, ok := e.start(c, id, swid.Attempt(attempt))
	if !ok {
		w.Header().Set("Retry-After", "1")
		swreply.Error(w, http.StatusTooManyRequests, "queue_full", "not run: the queue is full")
		return
	}
	e.respond(ctx, w, r, started, 0)
}

func countHeader(r *http.Request, name string) (int, error) {
	value := r.Header.Get(name)
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(value, 10, 31)
	return int(n), err
}

// resume continues the stream of an earlier response.
func (e *Engine) resume(ctx context.Context, w http.ResponseWriter, r *http.Request, c call, id swid.RequestID, from int) {
	e.mu.Lock()
	found, ok := e.runs[id]
	e.mu.Unlock()
	if !ok || found.call != c || !c.stream || from > c.events() {
		swreply.Error(w, http.StatusConflict, "no_such_stream", "the stream cannot be resumed")
		return
	}
	e.respond(ctx, w, r, found, from)
}

// respond sends a run's answer from an event on.
func (e *Engine) respond(ctx context.Context, w http.ResponseWriter, r *http.Request, run *run, from int) {
	o := &response{engine: e, ctx: ctx, w: w, r: r, run: run, sent: from}
	o.reader = e.attach(run)
	defer o.release()
	o.source = e.source(run)
	o.hold(kindLateAnswers)
	w.Header().Set(headerRequestID, string(o.source.id))
	if run.call.stream {
		o.stream()
	} else {
		o.answer()
	}
}

func (e *Engine) attach(r *run) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.reader++
	r.isDetached = false
	return r.reader
}

// source returns the run's own source, or another run's where answers are crossed.
func (e *Engine) source(r *run) source {
	own := source{id: r.id, prompt: r.call.prompt}
	if _, crossed := e.faults.Take(kindCrossAnswers); !crossed {
		return own
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, other := range []*run{e.previous, e.latest} {
		if other != nil && other.id != r.id {
			return source{id: other.id, prompt: other.call.prompt}
		}
	}
	return source{id: "other-" + r.id, prompt: "other " + r.call.prompt}
}

// response is one HTTP response that carries a run's answer, or a part of it.
type response struct {
	engine *Engine
	ctx    context.Context
	w      http.ResponseWriter
	r      *http.Request
	run    *run
	reader int
	source source
	// sent counts the data events that the client has, those of earlier responses included.
	sent int
	// cut tells that the engine, not the client, broke the response off.
	cut bool
}

// release gives the run up, unless its answer was delivered or another response
// carries it on. What the engine broke off stays resumable.
func (o *response) release() {
	e := o.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.run.delivered || o.run.state == runCancelled || o.run.reader != o.reader {
		return
	}
	if o.cut || e.faults.Silent(o.r.RemoteAddr) {
		o.run.isDetached = true
		o.run.detached = e.clock.Now()
		o.run.waste()
		return
	}
	e.cancel(o.run)
}

// hold waits for the delay of a fault, if it is active.
func (o *response) hold(kind swfault.Kind) {
	f, ok := o.engine.faults.Take(kind)
	if !ok {
		return
	}
	t := time.NewTimer(f.Delay.Duration())
	defer t.Stop()
	select {
	case <-t.C:
	case <-o.ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// progress is what a response may send.
type progress struct {
	available int
	total     int
	usage     usageBody
	state     runState
	changed   <-chan struct{}
}

func (o *response) progress() progress {
	e := o.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	r := o.run
	return progress{
		available: r.available(),
		total:     r.call.events(),
		usage:     r.usage(),
		state:     r.state,
		changed:   r.changed,
	}
}

func (r *run) usage() usageBody {
	prompt, output := int64(r.sequence.prompt), int64(r.call.output)
	return usageBody{
		PromptTokens:     prompt,
		CompletionTokens: output,
		TotalTokens:      prompt + output,
		PromptDetails:    promptDetailsBody{CachedTokens: int64(r.sequence.cached)},
	}
}

// wait blocks until the run changes.
func (o *response) wait(p progress) {
	if p.state == runCancelled {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-p.changed:
	case <-o.ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// answer sends the whole answer as one JSON value.
func (o *response) answer() {
	p := o.progress()
	for p.state != runEnded {
		o.wait(p)
		p = o.progress()
	}
	o.engine.faults.Hold(o.ctx, o.r)
	if _, ok := o.engine.faults.Take(kindCutAfter); ok {
		o.cut = true
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(o.run.call.whole(o.source, p.usage))
	if err != nil {
		swreply.Error(o.w, http.StatusInternalServerError, "encode", err.Error())
		return
	}
	o.w.Header().Set("Content-Type", "application/json")
	if _, ok := o.engine.faults.Take(kindTruncate); ok {
		o.cut = true
		_, _ = o.w.Write(body[:len(body)/2]) // the client may have left
		return
	}
	o.finish(body)
}

// finish sends the last bytes of an answer.
func (o *response) finish(last []byte) {
	if _, err := o.w.Write(last); err != nil {
		return
	}
	if err := http.NewResponseController(o.w).Flush(); err != nil {
		return
	}
	o.engine.mu.Lock()
	defer o.engine.mu.Unlock()
	o.run.deliver()
	o.engine.retain(o.run)
}
