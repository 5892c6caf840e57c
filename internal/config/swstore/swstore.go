// Package swstore stores the environment document in the platform's object API.
//
// The platform limits the size of a value, so a document is stored as immutable,
// content-addressed parts and one head that lists the parts. A change writes the
// missing parts first and then replaces the head with one conditional update; the
// change takes effect with that update. The version of the head's object is the
// version of the document.
package swstore

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// Store reads and changes the document of one environment. It is safe for concurrent use.
type Store struct {
	objects     swobject.Store
	environment string
	// wait sleeps before a retry; tests replace it.
	wait waitFunc
	// maxPages bounds the pages that loadHistory reads. It is the constant maxPages except in tests.
	maxPages int
}

// New returns a store for the document of an environment.
func New(objects swobject.Store, environment string) *Store {
	return &Store{objects: objects, environment: environment, wait: wait, maxPages: maxPages}
}

// headKey is the key of the head's object.
func (s *Store) headKey() string { return "environments/" + s.environment + "/document" }

// partKey is the key of a part's object.
func (s *Store) partKey(hash PartHash) string {
	return "environments/" + s.environment + "/parts/" + hash.String()
}

// Head returns the newest head; its version is 0 if there is no document yet.
func (s *Store) Head(ctx context.Context) (Head, error) {
	o, err := s.objects.Get(ctx, s.headKey())
	if errors.Is(err, swobject.ErrNotFound) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, errors.Wrap(err, "read head")
	}
	return DecodeHead(swid.ConfigVersion(o.Version), o.Value)
}

// Watch waits for a head with a version above after. It returns swobject.ErrNotFound
// if ctx or the platform's own limit ends the wait first.
func (s *Store) Watch(ctx context.Context, after swid.ConfigVersion) (Head, error) {
	o, err := s.objects.Watch(ctx, s.headKey(), swobject.Version(after))
	if err != nil {
		return Head{}, errors.Wrap(err, "watch head")
	}
	return DecodeHead(swid.ConfigVersion(o.Version), o.Value)
}

// Part reads a part and verifies that its content has the given hash.
func (s *Store) Part(ctx context.Context, hash PartHash) ([]byte, error) {
	o, err := s.objects.Get(ctx, s.partKey(hash))
	if err != nil {
		return nil, errors.Wrapf(err, "read part %s", hash)
	}
	if HashPart(o.Value) != hash {
		return nil, errors.Errorf("part %s has other content", hash)
	}
	return o.Value, nil
}

// Load returns the newest head and its document; the document is nil if none has been written yet.
func (s *Store) Load(ctx context.Context) (Head, []byte, error) {
	h, err := s.Head(ctx)
	if err != nil || h.Version == 0 {
		return h, nil, err
	}
	parts := make(map[PartHash][]byte, len(h.Parts))
	for _, p := range h.Parts {
		if parts[p.Hash], err = s.Part(ctx, p.Hash); err != nil {
			return Head{}, nil, err
		}
	}
	document, err := Assemble(h, func(hash PartHash) ([]byte, bool) {
		data, ok := parts[hash]
		return data, ok
	})
	return h, document, err
}
