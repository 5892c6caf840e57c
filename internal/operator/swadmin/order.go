package swadmin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/owner/sworder"
)

const (
	maxOrderBytes      = 4 << 10
	maxOrderFieldBytes = 256
)

// OrderSender sends orders to engines: to load a model or an adapter, or to change role.
type OrderSender interface {
	// Order sends an order to a target and waits until the target has carried it out. Order
	// returns a *Failure or the errors of sworder.Issuer.Issue.
	Order(ctx context.Context, target swid.TargetID, o sworder.Order) error
}

// ServeOrders adds POST /orders/{target} to the API. It must be called before the first request is served.
func (h *Handler) ServeOrders(o OrderSender) {
	h.router.POST("/orders/:target", func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrderBytes))
		if err != nil {
			h.writeFailure(w, http.StatusBadRequest, Failure{Code: CodeInvalid, Message: err.Error()})
			return
		}
		order, err := DecodeOrder(data)
		if err != nil {
			h.writeFailure(w, http.StatusBadRequest, Failure{Code: CodeInvalid, Message: err.Error()})
			return
		}
		target := swid.TargetID(p.ByName("target"))
		err = o.Order(r.Context(), target, order)
		h.log.Info().Err(err).Str("target", string(target)).Stringer("order", order.Kind).Msg("handled an operator's order to a target")
		if err != nil {
			h.writeOrderFailure(w, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

// orderFailure maps an error of an order to the code and HTTP status that report it.
type orderFailure struct {
	err    error
	code   Code
	status int
}

// orderFailures lists the errors after which an order was certainly not carried out.
var orderFailures = []orderFailure{
	{sworder.ErrLeaseElsewhere, CodeConflict, http.StatusConflict},
	{sworder.ErrFenced, CodeConflict, http.StatusConflict},
	{sworder.ErrPlatformUnavailable, CodeUnavailable, http.StatusServiceUnavailable},
	{sworder.ErrNoLease, CodeNotApplied, http.StatusServiceUnavailable},
	{sworder.ErrNotSent, CodeNotApplied, http.StatusServiceUnavailable},
	{sworder.ErrNoToken, CodeForbidden, http.StatusForbidden},
	{sworder.ErrForbidden, CodeForbidden, http.StatusForbidden},
}

// writeOrderFailure sends the error response for an order that failed. A
// *Failure is sent as it is. After any other error that orderFailures does not
// list, the order may have been carried out, and the outcome is reported as unknown.
func (h *Handler) writeOrderFailure(w http.ResponseWriter, err error) {
	var failure *Failure
	if errors.As(err, &failure) {
		h.writeFailure(w, http.StatusNotFound, *failure)
		return
	}
	var lease *sworder.LeaseError
	if errors.As(err, &lease) {
		w.Header().Set("Retry-After", strconv.FormatInt(int64((lease.RetryAfter+swclock.Second-1)/swclock.Second), 10))
	}
	for _, f := range orderFailures {
		if errors.Is(err, f.err) {
			h.writeFailure(w, f.status, Failure{Code: f.code, Message: "the order was not carried out: " + err.Error()})
			return
		}
	}
	message := "the order may have been carried out: " + err.Error() + "; giving it again is safe"
	h.writeFailure(w, http.StatusGatewayTimeout, Failure{Code: CodeUnknown, Message: message})
}

type wireOrder struct {
	Order   string `json:"order"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// EncodeOrder returns an order as JSON.
func EncodeOrder(o sworder.Order) ([]byte, error) {
	data, err := json.Marshal(wireOrder{Order: o.Kind.String(), Model: o.Model, Version: o.Version, Role: o.Role})
	return data, errors.Wrap(err, "encode order")
}

// DecodeOrder parses and validates the JSON of an order.
func DecodeOrder(data []byte) (sworder.Order, error) {
	var w wireOrder
	if err := json.Unmarshal(data, &w); err != nil {
		return sworder.Order{}, errors.Wrap(err, "decode order")
	}
	kind, ok := sworder.ParseKind(w.Order)
	if !ok {
		return sworder.Order{}, errors.Errorf("unknown order %q; it is loadModel, loadAdapter or setRole", w.Order)
	}
	if max(len(w.Model), len(w.Version), len(w.Role)) > maxOrderFieldBytes {
		return sworder.Order{}, errors.Errorf("a text of the order has more than %d bytes", maxOrderFieldBytes)
	}
	o := sworder.Order{Kind: kind, Model: w.Model, Version: w.Version, Role: w.Role}
	if loads := kind != sworder.KindSetRole; loads != (o.Model != "") || loads == (o.Role != "") || !loads && o.Version != "" {
		return sworder.Order{}, errors.New("a load has a model and no role; a change of role has only a role")
	}
	return o, nil
}
