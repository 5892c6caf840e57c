// Package swobject defines the platform's object API.
package swobject

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Version is the version of an object. The platform increases it with each write. 0
// stands for an object that does not exist.
type Version uint64

// Era counts how often the platform's store was set back to an earlier copy of itself. What was
// written between the copy and the beginning of an era is gone, and its versions are given out
// again.
type Era uint64

// Object is a value stored under a key.
type Object struct {
	Key     string
	Version Version
	// Value has at most MaxValueBytes.
	Value []byte
}

// MaxValueBytes is the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// Errors of a Store. After any other error, a Put may or may not have taken effect.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object's version was not the expected one; nothing was written.
	ErrConflict = errors.New("object version conflict")
	// ErrRateLimited means that the platform or this host refused the call because of a rate limit; nothing was written.
	ErrRateLimited = errors.New("platform rate limit")
	// ErrUnavailable means that the call did not reach the platform or was refused; nothing was written.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrTooLarge means that the value is larger than MaxValueBytes; nothing was written.
	ErrTooLarge = errors.New("object value too large")
	// ErrUnknown means that the answer was lost; a write may have taken effect.
	ErrUnknown = errors.New("platform answer lost")
)

// HostState is the state of a host in the platform's host list.
type HostState uint8

// States of a host.
const (
	HostLive HostState = iota + 1
	HostLeaving
)

// Host is one entry of the platform's host list, which may be out of date.
type Host struct {
	ID      swid.HostID
	Zone    swid.ZoneID
	Region  swid.RegionID
	Address string // peer address, IP:port
	State   HostState
}

// Objects is the part of the platform's object API that keepers of what has to outlast processes use.
// Implementations are safe for concurrent use.
type Objects interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes a value, which must be JSON, if the object still has the expected version, and returns the new
	// version, or 0 if the answer does not tell it. If expected is 0, the object must not exist.
	Put(ctx context.Context, key string, value []byte, expected Version) (Version, error)
	// List returns all objects.
	List(ctx context.Context) ([]Object, error)
	// Era returns the era of the store's latest answer.
	Era() Era
}

// Store is the platform's object API. Implementations are safe for concurrent use.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes a value if the object still has the expected version, and returns
	// the new version. If expected is 0, the object must not exist.
	Put(ctx context.Context, key string, value []byte, expected Version) (Version, error)
	// Watch waits until the object has a version greater than after, and returns
	// the object. It returns ErrNotFound if ctx or the platform's own limit ends the
	// wait first.
	Watch(ctx context.Context, key string, after Version) (Object, error)
	// Hosts returns the list of live and leaving hosts.
	Hosts(ctx context.Context) ([]Host, error)
}
