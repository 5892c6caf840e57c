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
	// applyTimeout bounds reading and changing the document. A change that is not
	// complete by then is reported as not applied, or its outcome as unknown.
	applyTimeout = 10 * swclock.Second
	// maxDrainTries bounds how often a drain or undrain is tried when other operators' changes conflict with it.
	maxDrainTries = 50
	// documentName stands for the file name in the problems reported for a received document.
	documentName = "document"
)

// getDocument sends the newest document in the platform, byte for byte.
func (h *Handler) getDocument(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout.Duration())
	defer cancel()
	v, data, err := h.documentEditor.Document(ctx)
	if err != nil {
		h.writeFailure(w, http.StatusServiceUnavailable, Failure{Code: CodeUnavailable, Message: err.Error()})
		return
	}
	w.Header().Set("Content-Type", yamlType)
	w.Header().Set(VersionHeader, strconv.FormatUint(uint64(v), 10))
	if _, err := w.Write(data); err != nil {
		h.log.Debug().Err(err).Msg("failed to send the document to an operator")
	}
}

func (h *Handler) validate(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if _, ok := h.readDocument(w, r); ok {
		w.WriteHeader(http.StatusNoContent)
	}
}

// readDocument reads and validates the document in the request's body. If that
// fails, it sends an error response and returns false.
func (h *Handler) readDocument(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := readBody(w, r)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		h.writeFailure(w, http.StatusRequestEntityTooLarge, Failure{Code: CodeTooLarge, Message: "the document is larger than 16MiB"})
		return nil, false
	}
	if err == nil {
		_, err = swdoc.Parse(documentName, data)
	}
	if err != nil {
		h.writeFailure(w, http.StatusBadRequest, Failure{Code: CodeInvalid, Message: err.Error()})
		return nil, false
	}
	return data, true
}

func (h *Handler) putDocument(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	base, err := strconv.ParseUint(r.URL.Query().Get(BaseParameter), 10, 64)
	if err != nil {
		h.writeFailure(w, http.StatusBadRequest, Failure{Code: CodeInvalid, Message: "the query names no base version"})
		return
	}
	id, err := changeID(r)
	if err != nil {
		h.writeFailure(w, http.StatusBadRequest, Failure{Code: CodeInvalid, Message: err.Error()})
		return
	}
	data, ok := h.readDocument(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout.Duration())
	defer cancel()
	v, err := h.documentEditor.Apply(ctx, swstore.Change{ID: id, Base: swid.ConfigVersion(base), Document: data})
	if err != nil {
		h.writeChangeFailure(w, err)
		return
	}
	h.writeApplied(w, v, id)
}

func (h *Handler) drainTarget(draining bool) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		id, err := changeID(r)
		if err != nil {
			h.writeFailure(w, http.StatusBadRequest, Failure{Code: CodeInvalid, Message: err.Error()})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), applyTimeout.Duration())
		defer cancel()
		v, err := h.setDraining(ctx, id, swid.TargetID(p.ByName("id")), draining)
		if err != nil {
			h.writeChangeFailure(w, err)
			return
		}
		h.writeApplied(w, v, id)
	}
}

// setDraining sets a target's draining flag in the newest document. After each
// conflict with another operator's change, setDraining reads the document again and
// repeats the edit, so that the other operator's change is kept.
func (h *Handler) setDraining(ctx context.Context, id swstore.ChangeID, target swid.TargetID, draining bool) (swid.ConfigVersion, error) {
	var conflict *swstore.ConflictError
	for range maxDrainTries {
		base, data, err := h.documentEditor.Document(ctx)
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
		if string(edited) == string(data) { // the flag already has this value
			return base, nil
		}
		v, err := h.documentEditor.Apply(ctx, swstore.Change{ID: id, Base: base, Document: edited})
		if !errors.As(err, &conflict) {
			return v, err
		}
	}
	return 0, conflict
}
