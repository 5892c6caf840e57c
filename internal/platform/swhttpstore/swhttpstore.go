// Package swhttpstore talks to the platform's object API over HTTP.
package swhttpstore

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/platform/swobject"
)

const (
	// watchTime is the longest wait of one watch call.
	watchTime = 20 * swclock.Second
	// maxAnswerBytes bounds an answer: a value of the largest size in base64, and its frame.
	maxAnswerBytes = swobject.MaxValueBytes*4/3 + 4096
	// idleConnections bounds the connections kept open to the platform.
	idleConnections = 8
	// writeRate and readRate bound this host's calls, in calls a second.
	writeRate = 20
	readRate  = 50
	// burst is how many calls may go out at once.
	burst = 20
)

// Dial opens a connection to the platform.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Store implements swobject.Store.
type Store struct {
	base    string
	timeout swclock.Millis
	client  *http.Client
	writes  *rate.Limiter
	reads   *rate.Limiter
}

// New returns a store for the platform at an address. dial speaks TLS if the address needs it.
func New(base string, timeout swclock.Millis, dial Dial) *Store {
	transport := &http.Transport{DialContext: dial, DialTLSContext: dial, MaxIdleConnsPerHost: idleConnections}
	return &Store{
		base:    strings.TrimSuffix(base, "/"),
		timeout: timeout,
		client:  &http.Client{Transport: transport},
		writes:  rate.NewLimiter(writeRate, burst),
		reads:   rate.NewLimiter(readRate, burst),
	}
}

type wireObject struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   string `json:"value"` // base64
}

type wireVersion struct {
	Version uint64 `json:"version"`
}

type wireHost struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// Get implements swobject.Store.
func (s *Store) Get(ctx context.Context, key string) (swobject.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout.Duration())
	defer cancel()
	return s.object(ctx, "/objects/"+key)
}

// Watch implements swobject.Store.
func (s *Store) Watch(ctx context.Context, key string, after swobject.Version) (swobject.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, (watchTime + s.timeout).Duration())
	defer cancel()
	query := url.Values{
		"watch":      {"true"},
		"after":      {strconv.FormatUint(uint64(after), 10)},
		"waitMillis": {strconv.FormatInt(int64(watchTime), 10)},
	}
	return s.object(ctx, "/objects/"+key+"?"+query.Encode())
}

func (s *Store) object(ctx context.Context, path string) (swobject.Object, error) {
	data, err := s.read(ctx, path)
	if err != nil {
		return swobject.Object{}, err
	}
	var w wireObject
	if err := json.Unmarshal(data, &w); err != nil {
		return swobject.Object{}, errors.Wrap(err, "decode an object")
	}
	value, err := base64.StdEncoding.DecodeString(w.Value)
	if err != nil {
		return swobject.Object{}, errors.Wrap(err, "decode a value")
	}
	return swobject.Object{Key: w.Key, Version: swobject.Version(w.Version), Value: value}, nil
}

// Hosts implements swobject.Store.
func (s *Store) Hosts(ctx context.Context) ([]swobject.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout.Duration())
	defer cancel()
	data, err := s.read(ctx, "/hosts")
	if err != nil {
		return nil, err
	}
	var wire []wireHost
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, errors.Wrap(err, "decode the host list")
	}
	hosts := make([]swobject.Host, 0, len(wire))
	for _, w := range wire {
		state := swobject.HostLive
		if w.State == "leaving" {
			state = swobject.HostLeaving
		}
		hosts = append(hosts, swobject.Host{
			ID: swid.HostID(w.ID), Zone: swid.ZoneID(w.Zone), Region: swid.RegionID(w.Region), Address: w.Address, State: state,
		})
	}
	return hosts, nil
}

// read makes a call that changes nothing.
func (s *Store) read(ctx context.Context, path string) ([]byte, error) {
	if !s.reads.Allow() {
		return nil, swobject.ErrRateLimited
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, s.base+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "platform request")
	}
	status, data, err := s.do(r)
	if err != nil {
		return nil, errors.Wrap(swobject.ErrUnavailable, err.Error())
	}
	switch status {
	case http.StatusOK:
		return data, nil
	case http.StatusNotFound, http.StatusNoContent:
		return nil, swobject.ErrNotFound
	case http.StatusTooManyRequests:
		return nil, swobject.ErrRateLimited
	default:
		return nil, errors.Wrapf(swobject.ErrUnavailable, "status %d", status)
	}
}

// Put implements swobject.Store. A failure counts as not written only if no
// connection was had or the platform said so.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected swobject.Version) (swobject.Version, error) {
	if !s.writes.Allow() {
		return 0, swobject.ErrRateLimited
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout.Duration())
	defer cancel()
	body := &onceBody{Reader: bytes.NewReader(value)}
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, s.base+"/objects/"+key, body)
	if err != nil {
		return 0, errors.Wrap(err, "platform request")
	}
	r.ContentLength = int64(len(value))
	r.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(uint64(expected), 10)))
	status, data, err := s.do(r)
	if err != nil {
		if !body.read.Load() {
			return 0, errors.Wrap(swobject.ErrUnavailable, err.Error())
		}
		return 0, errors.Wrap(swobject.ErrUnknown, err.Error())
	}
	return putResult(status, data)
}

func putResult(status int, data []byte) (swobject.Version, error) {
	switch status {
	case http.StatusOK:
		var w wireVersion
		if err := json.Unmarshal(data, &w); err != nil {
			return 0, errors.Wrap(swobject.ErrUnknown, err.Error())
		}
		return swobject.Version(w.Version), nil
	case http.StatusPreconditionFailed:
		return 0, swobject.ErrConflict
	case http.StatusTooManyRequests:
		return 0, swobject.ErrRateLimited
	case http.StatusServiceUnavailable:
		return 0, swobject.ErrUnavailable
	case http.StatusRequestEntityTooLarge:
		return 0, errors.New("value above the platform's limit")
	default:
		return 0, errors.Wrapf(swobject.ErrUnknown, "status %d", status)
	}
}

// onceBody cannot be rewound, so that the transport never sends a write twice;
// read tells whether any of it may have left this host.
type onceBody struct {
	*bytes.Reader
	read atomic.Bool
}

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.Reader.Read(p)
}

// WriteTo hides bytes.Reader's own, which would bypass Read.
func (b *onceBody) WriteTo(w io.Writer) (int64, error) {
	b.read.Store(true)
	return b.Reader.WriteTo(w)
}

func (s *Store) do(r *http.Request) (int, []byte, error) {
	response, err := s.client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, errors.Wrap(err, "read the platform's answer")
	}
	return response.StatusCode, data, nil
}
