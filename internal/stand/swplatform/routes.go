package swplatform

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/time/rate"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
	"github.com/sassafraswing/sassafraswing/internal/stand/swreply"
)

// routes returns the platform's HTTP interface.
func (p *Platform) routes() http.Handler {
	router := httprouter.New()
	router.GET("/objects/*key", p.serveGetOrWatch)
	router.PUT("/objects/*key", func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		p.handleCall(w, r, params, &p.calls.Writes, p.writeLimit, p.servePut)
	})
	router.GET("/hosts", func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		p.handleCall(w, r, params, &p.calls.Hosts, p.readLimit, p.serveHosts)
	})
	router.GET("/weights/*key", func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		p.handleCall(w, r, params, &p.calls.Weights, p.readLimit, p.serveWeights)
	})
	router.GET("/admin/calls", p.serveCalls)
	router.HandlerFunc(http.MethodPost, "/admin/hosts", p.serveSetHosts)
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		router.Handler(method, swfault.AdminPath, p.faults)
	}
	return router
}

func (p *Platform) serveGetOrWatch(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	if r.URL.Query().Get("watch") == "true" {
		p.handleCall(w, r, params, &p.calls.Watches, p.readLimit, p.serveWatch)
	} else {
		p.handleCall(w, r, params, &p.calls.Reads, p.readLimit, p.serveGet)
	}
}

// callHandler serves a call. The key is empty if the route has none.
type callHandler func(ctx context.Context, w http.ResponseWriter, r *http.Request, key string)

// handleCall counts a call, delays it, and serves it unless a fault or the rate limit
// rejects it. A rejected call is also counted as Refused.
func (p *Platform) handleCall(w http.ResponseWriter, r *http.Request, params httprouter.Params,
	count *int64, limit *rate.Limiter, h callHandler) {
	ctx, release := swfault.RequestContext(p.currentCallsContext(), r)
	defer release()
	p.increment(count)
	p.delay(ctx)
	if f, ok := p.faults.Trigger(KindOutage); ok {
		p.increment(&p.calls.Refused)
		if f.Status == statusCloseConnection {
			panic(http.ErrAbortHandler)
		}
		swreply.Error(w, http.StatusServiceUnavailable, "unavailable", "the platform is down")
		return
	}
	if _, ok := p.faults.Trigger(KindRateLimit); ok || !limit.Allow() {
		p.increment(&p.calls.Refused)
		w.Header().Set("Retry-After", "1")
		swreply.Error(w, http.StatusTooManyRequests, "rate_limit", "too many calls")
		return
	}
	h(ctx, w, r, strings.TrimPrefix(params.ByName("key"), "/"))
}

// statusCloseConnection, as the status of an outage fault, closes the connection without a response.
const statusCloseConnection = 1

func (p *Platform) increment(counter *int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*counter++
}

// delay waits for the configured delay and that of the slow fault.
func (p *Platform) delay(ctx context.Context) {
	span := p.config.Delay
	if f, ok := p.faults.Get(swfault.KindSlow); ok {
		span += f.Delay
	}
	sleep(ctx, span)
}

// sleep waits for span. It aborts the connection if ctx ends first.
func sleep(ctx context.Context, span swclock.Millis) {
	if span == 0 {
		return
	}
	t := time.NewTimer(span.Duration())
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

const (
	// defaultWeightBytes is the number of bytes that serveWeights sends if the query
	// parameter bytes is absent or 0.
	defaultWeightBytes = 1 << 20
	// weightChunkBytes is the largest number of bytes in one write of weights.
	weightChunkBytes = 1 << 15
)

// serveWeights stands in for a download of model weights: it sends bytes of value zero
// at the weight store's rate. The query parameter bytes gives their number.
func (p *Platform) serveWeights(ctx context.Context, w http.ResponseWriter, r *http.Request, _ string) {
	size, err := parseCount(r.URL.Query().Get("bytes"))
	if err != nil {
		swreply.Error(w, http.StatusBadRequest, "query", "bytes must be a number")
		return
	}
	if size == 0 {
		size = defaultWeightBytes
	}
	w.Header().Set("Content-Length", strconv.FormatUint(size, 10))
	chunk := make([]byte, min(weightChunkBytes, p.weightLimit.Burst()))
	for left := size; left > 0; {
		n := min(left, uint64(len(chunk)))
		if err := p.weightLimit.WaitN(ctx, int(n)); err != nil {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		left -= n
	}
}

type callsBody struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Hosts   int64 `json:"hosts"`
	Weights int64 `json:"weights"`
	Refused int64 `json:"refused"`
}

func (p *Platform) serveCalls(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	swreply.JSON(w, http.StatusOK, callsBody(p.Calls()))
}
