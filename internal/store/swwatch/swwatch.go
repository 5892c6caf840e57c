// Package swwatch keeps copies of objects in the platform's store. One Follower
// handles the objects of one kind: it lists them once, watches for changes, and
// lists them again if it may have missed changes.
package swwatch

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// Revision is the sequence number of a change in the store.
type Revision uint64

// Item is an object together with the revision of its last change.
type Item[T any] struct {
	Name     string
	Revision Revision
	Value    T
}

// Listing holds all objects of a kind as of a revision.
type Listing[T any] struct {
	Items []Item[T]
	AsOf  Revision
	// Era is that of the store. Revisions of different eras cannot be compared.
	Era swobject.Era
}

// Change is a change or the removal of one object. Value is meaningless
// if Removed is set.
type Change[T any] struct {
	Item[T]
	Removed bool
}

// Changes holds the changes after a revision, in order, up to AsOf.
type Changes[T any] struct {
	Changes []Change[T]
	AsOf    Revision
	Era     swobject.Era
}

// ErrHistoryGone means that the store no longer has all changes after the
// requested revision.
var ErrHistoryGone = errors.New("the store's history does not reach back so far")

// Source reads the objects of one kind. An object that cannot be decoded as a T
// is treated as removed. Implementations are safe for concurrent use.
type Source[T any] interface {
	// List returns all objects as of the call or later, never from a stale copy.
	List(ctx context.Context) (Listing[T], error)
	// Watch waits for changes after a revision. It returns none if there are none
	// by the end of the wait.
	Watch(ctx context.Context, after Revision, wait swclock.Millis) (Changes[T], error)
}
