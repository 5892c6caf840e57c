package swstore

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/stand/swmemstore"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// lossyStore loses the response to the first write of the head.
type lossyStore struct {
	*swmemstore.Store
	// written is whether that write takes effect.
	written bool
	lost    bool
}

// Put implements swobject.Store.
func (l *lossyStore) Put(ctx context.Context, key string, value []byte, expected swobject.Version) (swobject.Version, error) {
	if l.lost || !strings.HasSuffix(key, "/document") {
		return l.Store.Put(ctx, key, value, expected)
	}
	l.lost = true
	if l.written {
		if _, err := l.Store.Put(ctx, key, value, expected); err != nil {
			return 0, err
		}
	}
	return 0, swobject.ErrUnknown
}

// TestOthersDuringPause applies more changes than a head lists while a writer
// whose response was lost waits to retry. The writer must still determine its outcome.
func TestOthersDuringPause(t *testing.T) {
	for _, written := range []bool{true, false} {
		t.Run(fmt.Sprint("written=", written), func(t *testing.T) {
			objects := swmemstore.New(1)
			others := New(objects, "trial")
			s := New(&lossyStore{Store: objects, written: written}, "trial")
			s.wait = func(ctx context.Context, _ swclock.Millis) error {
				for i := range maxRecent + 10 {
					head, err := others.Head(ctx)
					if err != nil {
						return err
					}
					c := Change{ID: ChangeID(fmt.Sprint("other-", i)), Base: head.Version, Document: fmt.Append(nil, i)}
					if _, err := others.Apply(ctx, c); err != nil {
						return err
					}
				}
				return nil
			}
			head, err := s.Apply(t.Context(), Change{ID: "paused", Document: []byte("paused")})
			var conflict *ConflictError
			if written && (err != nil || head.Version != 1) {
				t.Errorf("version %d, %v; the write took effect", head.Version, err)
			}
			if !written && !errors.As(err, &conflict) {
				t.Errorf("version %d, %v; the write did not take effect", head.Version, err)
			}
		})
	}
}
