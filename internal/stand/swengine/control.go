package swengine

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
	"github.com/sassafraswing/sassafraswing/internal/stand/swreply"
)

// routes returns the engine's HTTP interface.
func (e *Engine) routes() http.Handler {
	router := httprouter.New()
	router.POST("/v1/chat/completions", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		e.serveCompletion(w, r, true)
	})
	router.POST("/v1/completions", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		e.serveCompletion(w, r, false)
	})
	router.DELETE("/requests/:id", e.gated(e.serveCancel))
	router.GET("/load", e.gated(e.serveLoad))
	router.GET("/cache/events", e.gated(e.serveCacheEvents))
	router.POST("/orders", e.gated(e.serveOrder))
	router.GET("/orders", e.gated(e.serveOrders))
	router.GET("/kv/:id", e.gated(e.serveExport))
	router.POST("/kv/:id", e.gated(e.serveImport))
	router.GET("/admin/runs", e.serveRuns)
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		router.Handler(method, swfault.AdminPath, e.faults)
	}
	return router
}

// gatedHandler handles a request that no fault stopped. Its context ends with the
// request or with the engine's process.
type gatedHandler func(ctx context.Context, w http.ResponseWriter, r *http.Request, p httprouter.Params)

func (e *Engine) gated(h gatedHandler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		ctx, release := swfault.RequestContext(e.currentProcess(), r)
		defer release()
		if e.faults.Gate(ctx, w, r) {
			h(ctx, w, r, p)
		}
	}
}

func (e *Engine) currentProcess() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process
}

func (e *Engine) serveCancel(_ context.Context, w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	e.mu.Lock()
	r, ok := e.runs[swid.RequestID(p.ByName("id"))]
	if ok {
		e.cancel(r)
	}
	e.mu.Unlock()
	if !ok {
		swreply.Error(w, http.StatusNotFound, "no_such_request", "the request is not known")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// loadSample is the load since a change.
type loadSample struct {
	at      swclock.Millis
	running int
	waiting int
}

// loadHistory holds the load changes that are not yet old enough to be reported,
// and the latest one that is.
type loadHistory []loadSample

// recordLoad records the load if it changed. The caller holds the engine's mutex.
func (e *Engine) recordLoad(now swclock.Millis) {
	s := loadSample{at: now, running: len(e.batch.running), waiting: len(e.batch.waiting)}
	if n := len(e.loads); n > 0 && e.loads[n-1].running == s.running && e.loads[n-1].waiting == s.waiting {
		return
	}
	e.loads = append(e.loads, s)
	e.loads.prune(now - e.config.LoadLag)
}

// prune drops the samples older than the latest one that may be reported.
func (h *loadHistory) prune(until swclock.Millis) {
	for len(*h) > 1 && (*h)[1].at <= until {
		*h = (*h)[1:]
	}
}

type loadBody struct {
	Running   int   `json:"running"`
	Waiting   int   `json:"waiting"`
	AgeMillis int64 `json:"ageMillis"`
}

func (e *Engine) serveLoad(_ context.Context, w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	e.mu.Lock()
	until := e.clock.Now() - e.config.LoadLag
	e.loads.prune(until)
	body := loadBody{AgeMillis: int64(e.config.LoadLag)}
	if len(e.loads) > 0 && e.loads[0].at <= until {
		body.Running, body.Waiting = e.loads[0].running, e.loads[0].waiting
	}
	e.mu.Unlock()
	swreply.JSON(w, http.StatusOK, body)
}

type cacheEventsBody struct {
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
	Added   []string `json:"added"`
	Removed []string `json:"removed"`
}

// pollInterval is the time between two checks of a long poll.
const pollInterval = 5 * swclock.Millis(1)

func (e *Engine) serveCacheEvents(ctx context.Context, w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	after, errAfter := parseCountQuery(r, "after")
	wait, errWait := parseCountQuery(r, "waitMillis")
	if errAfter != nil || errWait != nil {
		swreply.Error(w, http.StatusBadRequest, "query", "after and waitMillis must be numbers")
		return
	}
	deadline := e.clock.Now() + swclock.Millis(wait)
	ticker := time.NewTicker(pollInterval.Duration())
	defer ticker.Stop()
	for {
		body := e.cacheEvents(after)
		if body.Next != after || body.First != after || e.clock.Now() >= deadline {
			e.faults.BlockResponse(ctx, r)
			swreply.JSON(w, http.StatusOK, body)
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func parseCountQuery(r *http.Request, name string) (uint64, error) {
	value := r.URL.Query().Get(name)
	if value == "" {
		return 0, nil
	}
	return strconv.ParseUint(value, 10, 62)
}

// cacheEvents returns the published events from number after on. A block with
// several events is listed by its latest one only.
func (e *Engine) cacheEvents(after uint64) cacheEventsBody {
	e.mu.Lock()
	defer e.mu.Unlock()
	first, events := e.cache.eventsAfter(after, e.clock.Now()-e.config.EventLag)
	body := cacheEventsBody{First: first, Next: first + uint64(len(events)), Added: []string{}, Removed: []string{}}
	seen := make(map[swid.PrefixHash]struct{}, len(events))
	for _, event := range slices.Backward(events) {
		if _, ok := seen[event.hash]; ok {
			continue
		}
		seen[event.hash] = struct{}{}
		if event.added {
			body.Added = append(body.Added, formatHash(event.hash))
		} else {
			body.Removed = append(body.Removed, formatHash(event.hash))
		}
	}
	return body
}

type runBody struct {
	RequestID          string `json:"requestId"`
	Attempt            uint32 `json:"attempt"`
	ContentHash        string `json:"contentHash"`
	Runs               int    `json:"runs"`
	Completed          int    `json:"completed"`
	PromptTokens       int64  `json:"promptTokens"`
	WastedPromptTokens int64  `json:"wastedPromptTokens"`
}

func (e *Engine) serveRuns(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	bodies := []runBody{}
	for _, r := range e.Attempts() {
		bodies = append(bodies, runBody{
			RequestID:          string(r.RequestID),
			Attempt:            uint32(r.Attempt),
			ContentHash:        r.ContentHash,
			Runs:               r.Runs,
			Completed:          r.Completed,
			PromptTokens:       int64(r.PromptTokens),
			WastedPromptTokens: int64(r.WastedPromptTokens),
		})
	}
	swreply.JSON(w, http.StatusOK, bodies)
}
