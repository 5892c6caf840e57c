// Package swwatch follows the objects of one kind in the platform's store: it
// lists them once, watches what changes, and lists them again after a gap.
package swwatch

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// Revision is the store's counter of changes.
type Revision uint64

// Item is one object.
type Item[T any] struct {
	Name     string
	Revision Revision
	Value    T
}

// Listing is all objects of a kind as of a revision.
type Listing[T any] struct {
	Items []Item[T]
	AsOf  Revision
}

// Change is one change of an object. Value has no meaning if it was removed.
type Change[T any] struct {
	Item[T]
	Removed bool
}

// Changes are those after a revision, in order, up to AsOf.
type Changes[T any] struct {
	Changes []Change[T]
	AsOf    Revision
}

// ErrHistoryGone means that the store no longer has the changes after a revision.
var ErrHistoryGone = errors.New("the store's history does not reach back so far")

// Source reads the objects of one kind. An object that cannot be read as a T
// counts as removed. Implementations are safe for concurrent use.
type Source[T any] interface {
	// List returns all objects; its answer is not stale.
	List(ctx context.Context) (Listing[T], error)
	// Watch waits for changes after a revision, and returns none after the wait.
	Watch(ctx context.Context, after Revision, wait swclock.Millis) (Changes[T], error)
}
