package swadmin

import (
	"context"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/config/swstore"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// applyTimeout bounds a change; what is not settled then is answered as not applied or unknown.
	applyTimeout = 10 * swclock.Second
	// maxDrainTries bounds the tries of a drain among other operators' changes.
	maxDrainTries = 50
	// documentName names a received document in problems.
	documentName = "document"
)

// getDocument answers with the newest document in the platform, byte for byte.
func (h *Handler) getDocument(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout.Duration())
	defer cancel()
	v, data, err := h.configurer.Document(ctx)
	if err != nil {
		h.fail(w, http.StatusServiceUnavailable, Failure{Code: CodeUnavailable, Message: err.Error()})
		return
	}
	w.Header().Set("Content-Type", yamlType)
	w.Header().Set(VersionHeader, strconv.FormatUint(uint64(v), 10))
	if _, err := w.Write(data); err != nil {
		h.log.Debug().Err(err).Msg("document not sent")
	}
}

func (h *Handler) validate(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if _, ok := h.readDocument(w, r); ok {
		w.WriteHeader(http.StatusNoContent)
	}
}

// readDocument returns a valid document of the request's body, or answers with its problems.
func (h *Handler) readDocument(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := readBody(w, r)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		h.fail(w, http.StatusRequestEntityTooLarge, Failure{Code: CodeTooLarge, Message: "the document is larger than 16MiB"})
		return nil, false
	}
	if err == nil {
		_, err = swdoc.Parse(documentName, data)
	}
	if err != nil {
		h.fail(w, http.StatusBadRequest, Failure{Code: CodeInvalid, Message: err.Error()})
		return nil, false
	}
	return data, true
}

func (h *Handler) putDocument(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	base, err := strconv.ParseUint(r.URL.Query().Get(BaseParameter), 10, 64)
	if err != nil {
		h.fail(w, http.StatusBadRequest, Failure{Code: CodeInvalid, Message: "the query names no base version"})
		return
	}
	id, err := changeID(r)
	if err != nil {
		h.fail(w, http.StatusBadRequest, Failure{Code: CodeInvalid, Message: err.Error()})
		return
	}
	data, ok := h.readDocument(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout.Duration())
	defer cancel()
	v, err := h.configurer.Apply(ctx, swstore.Change{ID: id, Base: swid.ConfigVersion(base), Document: data})
	if err != nil {
		h.failChange(w, err)
		return
	}
	h.applied(w, v, id)
}

func (h *Handler) drainTarget(draining bool) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		id, err := changeID(r)
		if err != nil {
			h.fail(w, http.StatusBadRequest, Failure{Code: CodeInvalid, Message: err.Error()})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), applyTimeout.Duration())
		defer cancel()
		v, err := h.setDraining(ctx, id, swid.TargetID(p.ByName("id")), draining)
		if err != nil {
			h.failChange(w, err)
			return
		}
		h.applied(w, v, id)
	}
}

// setDraining changes a target's flag in the newest document, again after each
// conflict with another operator's change, which it keeps.
func (h *Handler) setDraining(ctx context.Context, id swstore.ChangeID, target swid.TargetID, draining bool) (swid.ConfigVersion, error) {
	var conflict *swstore.ConflictError
	for range maxDrainTries {
		base, data, err := h.configurer.Document(ctx)
		if err != nil {
			return 0, errors.Wrap(swstore.ErrNotApplied, err.Error())
		}
		if base == 0 {
			return 0, errors.Wrap(swdoc.ErrNoTarget, "there is no document yet")
		}
		edited, err := swdoc.SetDraining(data, target, draining)
		if err != nil {
			return 0, err
		}
		if string(edited) == string(data) { // the flag is already so
			return base, nil
		}
		v, err := h.configurer.Apply(ctx, swstore.Change{ID: id, Base: base, Document: edited})
		if !errors.As(err, &conflict) {
			return v, err
		}
	}
	return 0, conflict
}
