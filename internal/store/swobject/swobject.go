// Package swobject defines the platform's object API as the rest of the system uses it.
package swobject

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Version is an object's version; the platform raises it with each write. 0
// stands for an object that does not exist.
type Version uint64

// Object is one value that the platform keeps.
type Object struct {
	Key     string
	Version Version
	// Value has at most MaxValueBytes.
	Value []byte
}

// MaxValueBytes is the largest value that the platform holds.
const MaxValueBytes = 1 << 20

// Errors of a Store. Any other error of Put means that the write may or may not have taken effect.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object's version was not the expected one; nothing was written.
	ErrConflict = errors.New("object version conflict")
	// ErrRateLimited means that the platform refused the call for its rate; nothing was written.
	ErrRateLimited = errors.New("platform rate limit")
	// ErrUnavailable means that the call did not reach the platform; nothing was written.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrTooLarge means that the value has more than MaxValueBytes; nothing was written.
	ErrTooLarge = errors.New("object value too large")
	// ErrUnknown means that the answer was lost; a write may have taken effect.
	ErrUnknown = errors.New("platform answer lost")
)

// HostState is a host's state in the platform's list.
type HostState uint8

// States of a host.
const (
	HostLive HostState = iota + 1
	HostLeaving
)

// Host is one entry of the platform's list of hosts. The list lags.
type Host struct {
	ID      swid.HostID
	Zone    swid.ZoneID
	Region  swid.RegionID
	Address string // peer address, IP:port
	State   HostState
}

// Store is the platform's object API. Implementations are safe for concurrent use.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes a value if the object's version is still expected (0: it must
	// not exist) and returns the new version.
	Put(ctx context.Context, key string, value []byte, expected Version) (Version, error)
	// Watch waits until the object's version is above after, and returns it. It
	// returns ErrNotFound if ctx or the platform's own limit ends the wait first.
	Watch(ctx context.Context, key string, after Version) (Object, error)
	// Hosts returns the list of live and leaving hosts.
	Hosts(ctx context.Context) ([]Host, error)
}
