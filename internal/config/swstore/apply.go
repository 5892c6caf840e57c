package swstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// Pauses between two tries of a call to the platform.
const (
	firstPause   swclock.Millis = 20
	longestPause                = swclock.Second
)

// Errors of Apply.
var (
	// ErrNotApplied means that this call changed nothing. An earlier call with
	// the same id had its own outcome.
	ErrNotApplied = errors.New("change not applied")
	// ErrOutcomeUnknown means that the change may have taken effect; sending it
	// again with the same id and base settles it.
	ErrOutcomeUnknown = errors.New("outcome of the change unknown")
	// ErrChangeReused means that the id belongs to an applied change of other content.
	ErrChangeReused = errors.New("change id used for another document")
	// ErrTooLarge means that the document exceeds MaxDocumentBytes.
	ErrTooLarge = errors.New("document too large")
)

// ConflictError means that another change took effect on the same base. The change was not applied.
type ConflictError struct {
	Base    swid.ConfigVersion
	Current swid.ConfigVersion
	// Winner is the newest change.
	Winner ChangeID
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("based on version %d, but version %d of change %s is newer", e.Base, e.Current, e.Winner)
}

// Change is a new document on top of a known version.
type Change struct {
	ID   ChangeID
	Base swid.ConfigVersion
	// Document is valid; the store does not parse it.
	Document []byte
}

// waitFunc pauses; it returns early with ctx's error.
type waitFunc func(ctx context.Context, span swclock.Millis) error

// Apply makes a change. It returns the head that the change wrote, also where
// an earlier call with the same id wrote it; Version alone is set if newer
// changes followed. The error wraps a ConflictError or one of the Err values.
func (s *Store) Apply(ctx context.Context, c Change) (Head, error) {
	if len(c.Document) > MaxDocumentBytes {
		return Head{}, errors.Wrapf(ErrTooLarge, "%d bytes, at most %d", len(c.Document), MaxDocumentBytes)
	}
	head, err := s.headSince(ctx, c.Base)
	if err != nil {
		return Head{}, s.beforeWrite(err)
	}
	if done, err, ok := settle(head, c); ok {
		return done, err
	}
	if err := s.writeParts(ctx, head, c.Document); err != nil {
		return Head{}, s.beforeWrite(err)
	}
	next := head.next(c.ID, c.Document)
	page, err := next.spill()
	if err != nil {
		return Head{}, s.beforeWrite(err)
	}
	if page != nil {
		if err := s.writePart(ctx, next.Earlier, page); err != nil {
			return Head{}, s.beforeWrite(err)
		}
	}
	return s.writeHead(ctx, next, c)
}

// headSince returns the newest head with the changes since a base, as far as they are kept.
func (s *Store) headSince(ctx context.Context, base swid.ConfigVersion) (Head, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return Head{}, err
	}
	return s.remember(ctx, head, base)
}

// beforeWrite marks an error that occurred before this call first wrote the head.
func (s *Store) beforeWrite(err error) error { return errors.Wrap(ErrNotApplied, err.Error()) }

// settle tells what a head says of a change: applied, lost to another, or open.
func settle(head Head, c Change) (Head, error, bool) {
	if a, ok := head.find(func(a AppliedChange) bool { return a.ID == c.ID }); ok {
		if a.Document != HashPart(c.Document) {
			return Head{}, errors.Wrapf(ErrChangeReused, "change %s", c.ID), true
		}
		if a.Version == head.Version {
			return head, nil, true
		}
		return Head{Version: a.Version, Last: a}, nil, true
	}
	if head.Version == c.Base {
		return Head{}, nil, false
	}
	conflict := &ConflictError{Base: c.Base, Current: head.Version, Winner: head.Last.ID}
	if head.Version < c.Base { // the base was never written
		return Head{}, conflict, true
	}
	if _, ok := head.find(func(a AppliedChange) bool { return a.Base == c.Base }); !ok {
		// The pages read do not reach back to who changed the base: it may have been this change.
		return Head{}, errors.Wrapf(ErrOutcomeUnknown, "version %d is too long ago: %v", c.Base, conflict), true
	}
	return Head{}, conflict, true
}

// writeParts writes the parts that the present document does not have.
func (s *Store) writeParts(ctx context.Context, head Head, document []byte) error {
	have := make(map[PartHash]struct{}, len(head.Parts))
	for _, p := range head.Parts {
		have[p.Hash] = struct{}{}
	}
	for _, data := range Cut(document) {
		hash := HashPart(data)
		if _, ok := have[hash]; ok {
			continue
		}
		if err := s.writePart(ctx, hash, data); err != nil {
			return err
		}
		have[hash] = struct{}{}
	}
	return nil
}

// writePart writes one part. A part that exists has the same content, so a conflict is success.
func (s *Store) writePart(ctx context.Context, hash PartHash, data []byte) error {
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		_, err := s.objects.Put(ctx, s.partKey(hash), data, 0)
		if err == nil || errors.Is(err, swobject.ErrConflict) {
			return nil
		}
		if waitErr := s.wait(ctx, pause); waitErr != nil {
			return errors.Wrapf(err, "write part %s", hash)
		}
	}
}

// writeHead writes the head until its outcome is known. Repeating the write is
// safe because it is conditional on the base: at most one of the tries can succeed.
func (s *Store) writeHead(ctx context.Context, head Head, c Change) (Head, error) {
	value, err := EncodeHead(head)
	if err != nil {
		return Head{}, s.beforeWrite(err)
	}
	ambiguous := false
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		version, err := s.objects.Put(ctx, s.headKey(), value, swobject.Version(c.Base))
		if err == nil {
			head.Version = swid.ConfigVersion(version)
			head.Value = value
			return head, nil
		}
		if errors.Is(err, swobject.ErrConflict) {
			return s.readOutcome(ctx, c, ambiguous)
		}
		ambiguous = ambiguous || !nothingWritten(err)
		if waitErr := s.wait(ctx, pause); waitErr != nil {
			return Head{}, outcome(ambiguous, err)
		}
	}
}

// nothingWritten reports whether an error of Put excludes that the write takes effect.
func nothingWritten(err error) bool {
	return errors.Is(err, swobject.ErrRateLimited) || errors.Is(err, swobject.ErrUnavailable)
}

func outcome(ambiguous bool, err error) error {
	if ambiguous {
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return errors.Wrap(ErrNotApplied, err.Error())
}

// readOutcome reads the head after a conflict, to learn whether an earlier try of the same change won.
func (s *Store) readOutcome(ctx context.Context, c Change, ambiguous bool) (Head, error) {
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		head, err := s.headSince(ctx, c.Base)
		if err == nil {
			if done, err, ok := settle(head, c); ok {
				return done, err
			}
			err = errors.New("the platform's answers contradict each other")
		}
		if waitErr := s.wait(ctx, pause); waitErr != nil {
			return Head{}, outcome(ambiguous, err)
		}
	}
}

// wait pauses for between half of a span and the whole of it.
func wait(ctx context.Context, span swclock.Millis) error {
	half := span.Duration() / 2
	timer := time.NewTimer(half + rand.N(half+1))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
