package swwatch

import (
	"context"
	"reflect"
	"testing"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// slowSource answers calls of Watch when it is told to.
type slowSource struct {
	listings chan Listing[string]
	// watched has the revision of each call of Watch, which returns the next of changes.
	watched chan Revision
	changes chan Changes[string]
	err     error
}

func (s *slowSource) List(context.Context) (Listing[string], error) {
	if s.err != nil {
		return Listing[string]{}, s.err
	}
	return <-s.listings, nil
}

func (s *slowSource) Watch(ctx context.Context, after Revision, _ swclock.Millis) (Changes[string], error) {
	s.watched <- after
	select {
	case c := <-s.changes:
		return c, nil
	case <-ctx.Done():
		return Changes[string]{}, ctx.Err()
	}
}

// TestRefresh checks that a refreshed copy is that of the listing, and guards against the changes of a watch that began
// before replacing what the listing has.
func TestRefresh(t *testing.T) {
	clock := &swclock.Manual{}
	s := &slowSource{listings: make(chan Listing[string], 1), watched: make(chan Revision), changes: make(chan Changes[string])}
	var seen [][]string
	f := NewFollower(Config{
		Kind: "things", Wait: swclock.Minute, Clock: clock, Boot: clock, Health: NewHealth(clock, zerolog.Nop()), Log: zerolog.Nop(),
	}, s, func(items []Item[string]) {
		var names []string
		for _, item := range items {
			names = append(names, item.Name)
		}
		seen = append(seen, names)
	})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.Run(ctx)
	}()
	s.listings <- Listing[string]{Items: []Item[string]{{Name: "a", Revision: 1}}, AsOf: 1}
	<-s.watched
	s.listings <- Listing[string]{Items: []Item[string]{{Name: "b", Revision: 4}}, AsOf: 4}
	if err := f.Refresh(ctx); err != nil {
		t.Fatal(err)
	}
	// c was written and removed before the listing.
	s.changes <- Changes[string]{Changes: []Change[string]{{Item: Item[string]{Name: "c", Revision: 2}}}, AsOf: 2}
	if after := <-s.watched; after != 4 {
		t.Errorf("watches after revision %d, want 4", after)
	}
	s.err = errors.New("store away")
	if err := f.Refresh(ctx); err == nil || !f.config.Health.Unreachable() {
		t.Errorf("a failed refresh returns %v, the store is unreachable: %t", err, f.config.Health.Unreachable())
	}
	stop()
	<-ended
	if want := [][]string{{"a"}, {"b"}}; !reflect.DeepEqual(seen, want) {
		t.Errorf("saw %v, want %v", seen, want)
	}
}
