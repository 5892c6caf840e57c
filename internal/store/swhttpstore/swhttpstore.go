// Package swhttpstore implements the object store on the platform's HTTP API.
package swhttpstore

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// Config configures a Store.
type Config struct {
	URL string
	// Timeout bounds one call. The wait of a watch is added to it.
	Timeout swclock.Millis
	// ReadsPerSecond and WritesPerSecond are this host's share of the platform's
	// rate limits.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// DialTLS opens TLS connections. If it is nil, net/http opens them and verifies
	// the platform with the system's certificates.
	DialTLS func(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	// maxResponseBytes bounds a response body: the largest value in base64 and the
	// JSON around it.
	maxResponseBytes = 2 * swobject.MaxValueBytes
	// maxWatch is the wait that one watch call requests from the platform.
	maxWatch = 30 * swclock.Second
	// burstSeconds is how many seconds' worth of calls may be made in one burst.
	burstSeconds = 2
)

// Store implements swobject.Store. It is safe for concurrent use.
type Store struct {
	url     string
	timeout swclock.Millis
	reads   *rate.Limiter
	writes  *rate.Limiter
	breaker circuitBreaker
	// reader reuses connections. net/http may repeat a read on a new connection.
	reader *http.Transport
	// writer opens a connection for each write. net/http then never repeats a
	// write, and a write that was certainly not sent can be distinguished from
	// one that may have been.
	writer *http.Transport
}

// New returns a store on the platform at c.URL.
func New(c Config, clock swclock.Clock) *Store {
	return &Store{
		url:     strings.TrimRight(c.URL, "/"),
		timeout: c.Timeout,
		reads:   newLimiter(c.ReadsPerSecond),
		writes:  newLimiter(c.WritesPerSecond),
		breaker: circuitBreaker{clock: clock},
		reader:  newTransport(c, false),
		writer:  newTransport(c, true),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(burstSeconds*perSecond)))
}

func newTransport(c Config, newConnPerCall bool) *http.Transport {
	var http1 http.Protocols
	http1.SetHTTP1(true)
	dialer := &net.Dialer{Timeout: c.Timeout.Duration()}
	return &http.Transport{
		DialContext:       dialer.DialContext,
		DialTLSContext:    c.DialTLS,
		DisableKeepAlives: newConnPerCall,
		Protocols:         &http1,
	}
}

// call is one HTTP request to the platform.
type call struct {
	method  string
	path    string
	body    []byte
	ifMatch string
	// wait is added to Config.Timeout.
	wait swclock.Millis
}

// response is the complete response of the platform.
type response struct {
	status int
	body   []byte
}

// send makes one call if the circuit breaker and the rate limit allow it. Its error is
// swobject.ErrUnavailable, ErrRateLimited or ErrUnknown; the last only if the call
// got a connection, so that the platform may have received it.
func (s *Store) send(ctx context.Context, c call) (response, error) {
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, (s.timeout + c.wait).Duration())
	defer cancel()
	transport, limiter := s.reader, s.reads
	if c.method == http.MethodPut {
		transport, limiter = s.writer, s.writes
	}
	if !s.breaker.allow() {
		return response{}, errors.WithMessage(swobject.ErrUnavailable, "circuit open")
	}
	if err := limiter.Wait(ctx); err != nil {
		s.breaker.discard()
		return response{}, errors.WithMessage(swobject.ErrRateLimited, "rate limit of this host")
	}
	r, err := s.exchange(ctx, transport, c)
	if caller.Err() != nil {
		s.breaker.discard()
	} else {
		s.breaker.done(err == nil && r.status < http.StatusInternalServerError)
	}
	if err != nil {
		return response{}, err
	}
	switch r.status {
	case http.StatusTooManyRequests:
		return response{}, swobject.ErrRateLimited
	case http.StatusServiceUnavailable:
		return response{}, errors.WithMessage(swobject.ErrUnavailable, "platform returned status 503")
	default:
		return r, nil
	}
}

// exchange sends one HTTP request and reads the whole response.
func (s *Store) exchange(ctx context.Context, transport *http.Transport, c call) (response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	var body io.Reader
	if c.method == http.MethodPut {
		body = onceReader{bytes.NewReader(c.body)}
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), c.method, s.url+c.path, body)
	if err != nil {
		return response{}, errors.WithMessage(swobject.ErrUnavailable, err.Error())
	}
	request.ContentLength = int64(len(c.body))
	if c.ifMatch != "" {
		request.Header.Set("If-Match", c.ifMatch)
	}
	httpResponse, err := transport.RoundTrip(request)
	if err != nil {
		if connected.Load() {
			return response{}, errors.WithMessage(swobject.ErrUnknown, err.Error())
		}
		return response{}, errors.WithMessage(swobject.ErrUnavailable, err.Error())
	}
	defer func() { _ = httpResponse.Body.Close() }() // the body was only read
	data, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes+1))
	if err != nil || len(data) > maxResponseBytes {
		return response{}, errors.WithMessage(swobject.ErrUnknown, "response incomplete or too large")
	}
	return response{status: httpResponse.StatusCode, body: data}, nil
}

// onceReader hides the type of a request body from net/http, so that net/http cannot
// rewind the body and repeat the request.
type onceReader struct{ io.Reader }

// Put implements swobject.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected swobject.Version) (swobject.Version, error) {
	if len(value) > swobject.MaxValueBytes {
		return 0, swobject.ErrTooLarge
	}
	r, err := s.send(ctx, call{
		method:  http.MethodPut,
		path:    objectPath(key),
		body:    value,
		ifMatch: strconv.Quote(strconv.FormatUint(uint64(expected), 10)),
	})
	if err != nil {
		return 0, err
	}
	switch r.status {
	case http.StatusOK:
		return decodeVersion(r.body, expected)
	case http.StatusPreconditionFailed:
		return 0, swobject.ErrConflict
	case http.StatusRequestEntityTooLarge:
		return 0, swobject.ErrTooLarge
	default:
		return 0, errors.WithMessagef(swobject.ErrUnknown, "status %d", r.status)
	}
}

// Get implements swobject.Store.
func (s *Store) Get(ctx context.Context, key string) (swobject.Object, error) {
	return s.get(ctx, key, call{method: http.MethodGet, path: objectPath(key)})
}

// Watch implements swobject.Store. While the circuit is open it does not wait, so
// that the trial call that detects the end of an outage is short.
func (s *Store) Watch(ctx context.Context, key string, after swobject.Version) (swobject.Object, error) {
	if s.breaker.open() {
		o, err := s.Get(ctx, key)
		if err == nil && o.Version <= after {
			return swobject.Object{}, swobject.ErrNotFound
		}
		return o, err
	}
	wait := strconv.FormatInt(int64(maxWatch), 10)
	path := objectPath(key) + "?watch=true&after=" + strconv.FormatUint(uint64(after), 10) + "&waitMillis=" + wait
	o, err := s.get(ctx, key, call{method: http.MethodGet, path: path, wait: maxWatch})
	if err != nil && ctx.Err() != nil {
		return swobject.Object{}, swobject.ErrNotFound
	}
	return o, err
}

func (s *Store) get(ctx context.Context, key string, c call) (swobject.Object, error) {
	r, err := s.send(ctx, c)
	if err != nil {
		return swobject.Object{}, err
	}
	switch r.status {
	case http.StatusOK:
		return decodeObject(r.body, key)
	case http.StatusNotFound, http.StatusNoContent:
		return swobject.Object{}, swobject.ErrNotFound
	default:
		return swobject.Object{}, errors.WithMessagef(swobject.ErrUnavailable, "status %d", r.status)
	}
}

// Hosts implements swobject.Store.
func (s *Store) Hosts(ctx context.Context) ([]swobject.Host, error) {
	r, err := s.send(ctx, call{method: http.MethodGet, path: "/hosts"})
	if err != nil {
		return nil, err
	}
	if r.status != http.StatusOK {
		return nil, errors.WithMessagef(swobject.ErrUnavailable, "status %d", r.status)
	}
	return decodeHosts(r.body)
}
