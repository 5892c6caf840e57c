package swengine

import (
	"context"
	"crypto/subtle"
	"fmt"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/stand/swreply"
)

// Kinds of order.
const (
	orderLoadModel   = "loadModel"
	orderLoadAdapter = "loadAdapter"
	orderSetRole     = "setRole"
)

// orderBody is an order in JSON.
type orderBody struct {
	Order   string `json:"order"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	Fencing uint64 `json:"fencing"`
}

// orderLog checks orders and holds the executed ones.
type orderLog struct {
	enforceFencing bool
	token          string
	// highestFencing is the highest fencing number of an executed order.
	highestFencing uint64
	executed       []orderBody
}

func newOrderLog(c Config) orderLog {
	return orderLog{enforceFencing: c.EnforceFencing, token: c.CallerToken}
}

// execute records an order as executed and returns true. It returns false if
// fencing is enforced and the order's number is below the highest.
func (b *orderLog) execute(o orderBody) bool {
	if b.enforceFencing && o.Fencing < b.highestFencing {
		return false
	}
	b.highestFencing = max(b.highestFencing, o.Fencing)
	b.executed = append(b.executed, o)
	return true
}

// isAuthorized reports whether a request carries the bearer token, if one is configured.
func (b *orderLog) isAuthorized(r *http.Request) bool {
	if b.token == "" {
		return true
	}
	given := []byte(r.Header.Get("Authorization"))
	return subtle.ConstantTimeCompare(given, []byte("Bearer "+b.token)) == 1
}

func (e *Engine) serveOrder(_ context.Context, w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if !e.orders.isAuthorized(r) {
		swreply.Error(w, http.StatusForbidden, "forbidden", "the caller may not give orders")
		return
	}
	var body orderBody
	if err := swreply.Read(w, r, &body); err != nil {
		swreply.Error(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	switch body.Order {
	case orderLoadModel, orderLoadAdapter, orderSetRole:
	default:
		swreply.Error(w, http.StatusBadRequest, "order", "unknown order "+strconv.Quote(body.Order))
		return
	}
	e.mu.Lock()
	executed := e.orders.execute(body)
	e.mu.Unlock()
	if !executed {
		swreply.Error(w, http.StatusConflict, "fencing", "the fencing number is old")
		return
	}
	swreply.JSON(w, http.StatusOK, body)
}

func (e *Engine) serveOrders(_ context.Context, w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	e.mu.Lock()
	bodies := append([]orderBody{}, e.orders.executed...)
	e.mu.Unlock()
	swreply.JSON(w, http.StatusOK, bodies)
}

// kvBody is the exported KV cache of a request: the hashes of its prompt's blocks.
type kvBody struct {
	Blocks []string `json:"blocks"`
}

func (e *Engine) serveExport(_ context.Context, w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	e.mu.Lock()
	r, ok := e.runs[swid.RequestID(p.ByName("id"))]
	ready := ok && r.sequence.remaining == 0 && r.sequence.prefilled > 0
	e.mu.Unlock()
	if !ready {
		swreply.Error(w, http.StatusNotFound, "no_such_request", "the request has no KV cache here")
		return
	}
	body := kvBody{Blocks: []string{}}
	for _, h := range r.sequence.hashes {
		body.Blocks = append(body.Blocks, formatHash(h))
	}
	swreply.JSON(w, http.StatusOK, body)
}

func (e *Engine) serveImport(_ context.Context, w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var body kvBody
	if err := swreply.Read(w, r, &body); err != nil {
		swreply.Error(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	hashes := make([]swid.PrefixHash, 0, len(body.Blocks))
	for _, b := range body.Blocks {
		h, err := strconv.ParseUint(b, 16, 64)
		if err != nil {
			swreply.Error(w, http.StatusBadRequest, "blocks", err.Error())
			return
		}
		hashes = append(hashes, swid.PrefixHash(h))
	}
	e.mu.Lock()
	e.cache.insert(e.clock.Now(), hashes)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func formatHash(h swid.PrefixHash) string { return fmt.Sprintf("%016x", uint64(h)) }
