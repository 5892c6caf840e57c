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

// serveCompletion serves a chat completion if chat is set, and a text completion otherwise.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
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
	from, err := parseCountHeader(r, headerResumeFrom)
	if err != nil {
		swreply.Error(w, http.StatusBadRequest, "header", err.Error())
		return
	}
	if from > 0 {
		e.resume(ctx, w, r, c, id, from)
		return
	}
	attempt, err := parseCountHeader(r, headerAttempt)
	if err != nil {
		swreply.Error(w, http.StatusBadRequest, "header", err.Error())
		return
	}
	started, ok := e.startRun(c, r.URL.Path, id, swid.Attempt(attempt))
	if !ok {
		w.Header().Set("Retry-After", "1")
		swreply.Error(w, http.StatusTooManyRequests, "queue_full", "not run: the queue is full")
		return
	}
	e.respond(ctx, w, r, started, 0)
}

func parseCountHeader(r *http.Request, name string) (int, error) {
	value := r.Header.Get(name)
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(value, 10, 31)
	return int(n), err
}

// resume continues the stream of an earlier response at event number from.
func (e *Engine) resume(ctx context.Context, w http.ResponseWriter, r *http.Request, c call, id swid.RequestID, from int) {
	e.mu.Lock()
	found, ok := e.runs[id]
	e.mu.Unlock()
	if !ok || found.call != c || !c.stream || from > c.eventCount() {
		swreply.Error(w, http.StatusConflict, "no_such_stream", "the stream cannot be resumed")
		return
	}
	e.respond(ctx, w, r, found, from)
}

// respond sends a run's answer, starting at event number from.
func (e *Engine) respond(ctx context.Context, w http.ResponseWriter, r *http.Request, run *run, from int) {
	o := &response{engine: e, ctx: ctx, w: w, r: r, run: run, sent: from}
	o.responseNumber = e.nextResponse(run)
	defer o.release()
	o.source = e.source(run)
	o.delay(kindLateAnswers)
	if run.effect.Fails {
		o.fail()
		return
	}
	w.Header().Set(headerRequestID, string(o.source.id))
	if run.call.stream {
		o.stream()
	} else {
		o.answer()
	}
}

// nextResponse records that a new response sends the run's answer, and returns that
// response's number.
func (e *Engine) nextResponse(r *run) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.responseNumber++
	r.isDetached = false
	return r.responseNumber
}

// source returns the run's own id and prompt, or those of another request if the
// crossAnswers fault is active.
func (e *Engine) source(r *run) source {
	own := source{id: r.id, prompt: r.call.prompt}
	if _, crossed := e.faults.Trigger(kindCrossAnswers); !crossed {
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
	engine         *Engine
	ctx            context.Context
	w              http.ResponseWriter
	r              *http.Request
	run            *run
	responseNumber int
	source         source
	// sent is the number of the next data event to send: it starts at the event from which
	// the client resumes and grows with each event written.
	sent int
	// endedByEngine is set if a cutAfter or truncate fault ended the response early.
	endedByEngine bool
}

// release cancels the run when the response ends, unless the answer was delivered or a
// later response sends it. If a fault ended the response early, or the silence fault
// applies to the response's connection, the run is not cancelled and stays resumable.
func (o *response) release() {
	e := o.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.run.delivered || o.run.state == runCancelled || o.run.responseNumber != o.responseNumber {
		return
	}
	if o.endedByEngine || e.faults.Unresponsive(o.r.RemoteAddr) {
		o.run.isDetached = true
		o.run.detachedAt = e.clock.Now()
		o.run.countWaste()
		return
	}
	e.cancel(o.run)
}

// delay waits for Fault.Delay if a fault of the kind is active, and aborts the
// connection if the request ends during the wait.
func (o *response) delay(kind swfault.Kind) {
	f, ok := o.engine.faults.Trigger(kind)
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

// progress is a snapshot of a run: how many of its data events may be sent now,
// and a channel that is closed at its next change.
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
		total:     r.call.eventCount(),
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

// wait blocks until the run changes. It aborts the connection if the run was
// cancelled or the request ends.
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
	o.engine.faults.BlockResponse(o.ctx, o.r)
	if _, ok := o.engine.faults.Trigger(kindCutAfter); ok || o.run.effect.Cut {
		o.endedByEngine = true
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(o.run.call.wholeBody(o.source, p.usage))
	if err != nil {
		swreply.Error(o.w, http.StatusInternalServerError, "encode", err.Error())
		return
	}
	o.w.Header().Set("Content-Type", "application/json")
	if _, ok := o.engine.faults.Trigger(kindTruncate); ok {
		o.endedByEngine = true
		_, _ = o.w.Write(body[:len(body)/2]) // the client may have disconnected
		return
	}
	o.finish(body)
}

// fail answers with an error once the request has run.
func (o *response) fail() {
	for p := o.progress(); p.state != runEnded; p = o.progress() {
		o.wait(p)
	}
	o.endedByEngine = true
	swreply.Error(o.w, http.StatusInternalServerError, "failed", "the request ran and failed")
}

// finish sends the last bytes of an answer and records its delivery once they are flushed.
func (o *response) finish(last []byte) {
	if _, err := o.w.Write(last); err != nil {
		return
	}
	if err := http.NewResponseController(o.w).Flush(); err != nil {
		return
	}
	o.engine.mu.Lock()
	defer o.engine.mu.Unlock()
	o.run.markDelivered()
	o.engine.retain(o.run)
}
