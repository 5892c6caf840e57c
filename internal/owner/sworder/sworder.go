// Package sworder sends orders to engines: to load a model, an adapter or a version, or to change
// role. Orders are sent only while a lease is held.
package sworder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/store/swlease"
)

// Kind is a kind of order.
type Kind uint8

// Kinds of order.
const (
	KindLoadModel Kind = iota + 1
	KindLoadAdapter
	KindSetRole
)

// kindNames holds the names of the kinds in the engines' API.
var kindNames = map[Kind]string{KindLoadModel: "loadModel", KindLoadAdapter: "loadAdapter", KindSetRole: "setRole"}

// String returns the kind's name in the engines' API.
func (k Kind) String() string { return kindNames[k] }

// ParseKind returns the kind that has a name in the engines' API.
func ParseKind(name string) (Kind, bool) {
	for k, n := range kindNames {
		if n == name {
			return k, true
		}
	}
	return 0, false
}

// Order is an order to an engine. It is idempotent.
type Order struct {
	Kind    Kind
	Model   string
	Version string
	Role    string
}

// Target is an engine that takes orders.
type Target struct {
	ID  swid.TargetID
	URL string
	// ChecksCaller reports whether the engine checks Token. The token is never sent to an engine that
	// does not check it.
	ChecksCaller bool
	Token        string
}

// Errors of Send. After any other error the order may have been carried out.
var (
	// ErrNoLease means that the lease is not held. Nothing was sent.
	ErrNoLease = errors.New("lease for orders not held")
	// ErrNoToken means that the engine checks its caller and no token is set. Nothing was sent.
	ErrNoToken = errors.New("no token for a target that checks its caller")
	// ErrNotSent means that the order was not sent, for example because the engine was unreachable or
	// the rate limit of load orders allowed none in time.
	ErrNotSent = errors.New("order not sent")
	// ErrFenced means that the engine has received an order of a later holder of the lease. The order
	// was not carried out.
	ErrFenced = errors.New("order carries an old fencing number")
	// ErrForbidden means that the engine refused the caller. The order was not carried out.
	ErrForbidden = errors.New("target refused the caller")
)

const maxErrorBodyBytes = 64 << 10

// Lease is the lease under which orders are sent.
type Lease interface {
	// Held returns the current tenure of the lease, and reports whether its term has not ended.
	Held() (swlease.Tenure, bool)
}

// Config configures a Sender.
type Config struct {
	// DeliveryTimeout bounds the delivery of an order, as in swlease.Config.
	DeliveryTimeout swclock.Millis
	// AnswerTimeout bounds the time until an engine has carried out an order.
	AnswerTimeout swclock.Millis
	// LoadsPerSecond limits the rate of load orders, which make engines read from the weight store.
	LoadsPerSecond float64
}

// Sender sends orders. It is safe for concurrent use.
type Sender struct {
	config Config
	lease  Lease
	loads  *rate.Limiter
}

// New returns a Sender that sends orders under a lease.
func New(c Config, lease Lease) *Sender {
	return &Sender{config: c, lease: lease, loads: rate.NewLimiter(rate.Limit(c.LoadsPerSecond), 1)}
}

// wireOrder is the JSON form of an order in the engines' API.
type wireOrder struct {
	Order   string `json:"order"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	Fencing uint64 `json:"fencing"`
}

// Send sends an order and waits until the engine has carried it out. It does not retry.
func (s *Sender) Send(ctx context.Context, t Target, o Order) error {
	if t.ChecksCaller && t.Token == "" {
		return ErrNoToken
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.AnswerTimeout.Duration())
	defer cancel()
	if o.Kind != KindSetRole {
		if err := s.loads.Wait(ctx); err != nil {
			return errors.WithMessage(ErrNotSent, err.Error())
		}
	}
	// The lease is read after the wait, and again before each write to the connection.
	tenure, held := s.lease.Held()
	if !held {
		return ErrNoLease
	}
	request, err := newRequest(ctx, t, o, tenure.Fencing)
	if err != nil {
		return errors.WithMessage(ErrNotSent, err.Error())
	}
	return s.exchange(request)
}

func newRequest(ctx context.Context, t Target, o Order, fencing swlease.Fencing) (*http.Request, error) {
	body, err := json.Marshal(wireOrder{Order: o.Kind.String(), Model: o.Model, Version: o.Version, Role: o.Role, Fencing: uint64(fencing)})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimRight(t.URL, "/")+"/orders", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // without GetBody, the transport cannot send the order again
	request.Header.Set("Content-Type", "application/json")
	if t.ChecksCaller {
		request.Header.Set("Authorization", "Bearer "+t.Token)
	}
	return request, nil
}

func (s *Sender) exchange(request *http.Request) error {
	g := &leaseGuard{lease: s.lease, delivery: s.config.DeliveryTimeout}
	transport := &http.Transport{DialContext: g.dial, DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	switch {
	case err == nil:
	case g.blocked.Load() && !g.written.Load():
		return ErrNoLease
	case !g.written.Load():
		return errors.WithMessage(ErrNotSent, err.Error())
	default:
		return errors.Wrap(err, "send order")
	}
	defer func() { _ = response.Body.Close() }() // the body was only read, so a failed close loses nothing
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrFenced
	case http.StatusForbidden, http.StatusUnauthorized:
		return ErrForbidden
	default:
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes)) // used only in the error message
		return errors.Errorf("engine answered an order with status %d: %s", response.StatusCode, text)
	}
}
