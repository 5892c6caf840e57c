package swadmin

import (
	"io"
	"net/http"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/config/swstore"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// VersionHeader is the response header with the version of the document in the body.
	VersionHeader = "X-Document-Version"
	// BaseParameter and ChangeParameter are the query parameters with a change's base version and id.
	BaseParameter   = "base"
	ChangeParameter = "change"

	maxChangeIDBytes = 128
	jsonType         = "application/json"
	yamlType         = "application/yaml"
)

// Handler is the HTTP handler of the operator API.
type Handler struct {
	node           Node
	documentEditor DocumentEditor
	broadcaster    *EventBroadcaster
	log            zerolog.Logger
	router         *httprouter.Router
}

// NewHandler returns the operator API of one daemon.
func NewHandler(node Node, documentEditor DocumentEditor, broadcaster *EventBroadcaster, gatherer prometheus.Gatherer, log zerolog.Logger) *Handler {
	h := &Handler{node: node, documentEditor: documentEditor, broadcaster: broadcaster, log: log, router: httprouter.New()}
	h.router.GET("/livez", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { w.WriteHeader(http.StatusOK) })
	h.router.GET("/readyz", h.ready)
	h.router.GET("/status", h.status)
	h.router.GET("/follow", h.follow)
	h.router.GET("/document", h.getDocument)
	h.router.PUT("/document", h.putDocument)
	h.router.POST("/validate", h.validate)
	h.router.POST("/targets/:id/drain", h.drainTarget(true))
	h.router.POST("/targets/:id/undrain", h.drainTarget(false))
	h.router.POST("/hosts/:id/drain", h.drainHost(true))
	h.router.POST("/hosts/:id/undrain", h.drainHost(false))
	h.router.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{}))
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if err := h.node.Ready(); err != nil {
		h.writeFailure(w, http.StatusServiceUnavailable, Failure{Code: CodeUnavailable, Message: err.Error()})
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	data, err := EncodeStatus(h.node.Status())
	h.writeJSON(w, http.StatusOK, data, err)
}

// follow streams events as JSON lines until the client disconnects.
func (h *Handler) follow(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	f := h.broadcaster.follow()
	defer h.broadcaster.unfollow(f)
	w.Header().Set("Content-Type", "application/jsonl")
	control := http.NewResponseController(w)
	if err := control.Flush(); err != nil {
		return
	}
	for {
		select {
		case e := <-f.events.Items():
			line, err := EncodeEvent(e)
			if err != nil {
				h.log.Error().Err(err).Msg("failed to encode an event for a follower")
				return
			}
			if _, err := w.Write(line); err != nil {
				return
			}
			if err := control.Flush(); err != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

func (h *Handler) drainHost(draining bool) httprouter.Handle {
	return func(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
		if own := h.node.Status().Host; p.ByName("id") != string(own) {
			h.writeFailure(w, http.StatusNotFound, Failure{Code: CodeNotFound, Message: "this is host " + string(own) + "; ask the host that is to drain"})
			return
		}
		h.node.SetDraining(draining)
		h.log.Info().Bool("draining", draining).Msg("host draining changed by an operator")
		w.WriteHeader(http.StatusNoContent)
	}
}

func (h *Handler) writeJSON(w http.ResponseWriter, status int, data []byte, err error) {
	if err != nil {
		h.log.Error().Err(err).Msg("failed to encode a response to an operator")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", jsonType)
	w.WriteHeader(status)
	if _, err := w.Write(append(data, '\n')); err != nil {
		h.log.Debug().Err(err).Msg("failed to send a response to an operator")
	}
}

func (h *Handler) writeFailure(w http.ResponseWriter, status int, f Failure) {
	data, err := EncodeFailure(f)
	h.writeJSON(w, status, data, err)
}

// writeChangeFailure sends the error response for a change of the document that failed.
func (h *Handler) writeChangeFailure(w http.ResponseWriter, err error) {
	f := Failure{Code: CodeUnavailable, Message: err.Error()}
	status := http.StatusServiceUnavailable
	var conflict *swstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		f.Code, f.Current, status = CodeConflict, conflict.Current, http.StatusConflict
	case errors.Is(err, swstore.ErrChangeReused):
		f.Code, status = CodeChangeIDUsed, http.StatusUnprocessableEntity
	case errors.Is(err, swstore.ErrTooLarge):
		f.Code, status = CodeTooLarge, http.StatusRequestEntityTooLarge
	case errors.Is(err, swstore.ErrOutcomeUnknown):
		f.Code, status = CodeUnknown, http.StatusGatewayTimeout
	case errors.Is(err, swstore.ErrNotApplied):
		f.Code = CodeNotApplied
	case errors.Is(err, swdoc.ErrNoTarget):
		f.Code, status = CodeNotFound, http.StatusNotFound
	}
	h.writeFailure(w, status, f)
}

// changeID returns the change id in the query, or a new one if the query has none.
func changeID(r *http.Request) (swstore.ChangeID, error) {
	id := r.URL.Query().Get(ChangeParameter)
	if id == "" {
		return swstore.ChangeID(uuid.NewString()), nil
	}
	if len(id) > maxChangeIDBytes {
		return "", errors.Errorf("%s has more than %d bytes", ChangeParameter, maxChangeIDBytes)
	}
	return swstore.ChangeID(id), nil
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, swstore.MaxDocumentBytes))
}

func (h *Handler) writeApplied(w http.ResponseWriter, v swid.ConfigVersion, id swstore.ChangeID) {
	h.log.Info().Uint64("version", uint64(v)).Str("change", string(id)).Msg("change of the environment document applied")
	data, err := EncodeApplied(Applied{Version: v, Change: string(id)})
	h.writeJSON(w, http.StatusOK, data, err)
}
