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

// Bounds of the exponential backoff between attempts of a platform call.
const (
	initialBackoff swclock.Millis = 20
	maxBackoff                    = swclock.Second
)

// Errors of Apply.
var (
	// ErrNotApplied means that this call changed nothing. It says nothing about
	// earlier calls with the same id.
	ErrNotApplied = errors.New("change not applied")
	// ErrOutcomeUnknown means that the change may have taken effect. Calling Apply
	// again with the same id and base determines the outcome.
	ErrOutcomeUnknown = errors.New("outcome of the change unknown")
	// ErrChangeReused means that a change with the same id but another document was already applied.
	ErrChangeReused = errors.New("change id used for another document")
	// ErrTooLarge means that the document exceeds MaxDocumentBytes.
	ErrTooLarge = errors.New("document too large")
)

// ConflictError means that another change took effect on the same base. The change was not applied.
type ConflictError struct {
	Base    swid.ConfigVersion
	Current swid.ConfigVersion
	// CurrentID is the id of the change that wrote Current.
	CurrentID ChangeID
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("based on version %d, but version %d of change %s is newer", e.Base, e.Current, e.CurrentID)
}

// Change replaces version Base of the document with a new document.
type Change struct {
	ID   ChangeID
	Base swid.ConfigVersion
	// Document must be valid; the store does not parse it.
	Document []byte
}

// waitFunc sleeps for at most limit. If ctx ends first, it returns ctx's error.
type waitFunc func(ctx context.Context, limit swclock.Millis) error

// Apply makes a change. It returns the head that the change wrote, even if an
// earlier call with the same id wrote it. If newer changes have followed, only
// Version and Last are set. The error wraps a ConflictError or one of the Err values.
func (s *Store) Apply(ctx context.Context, c Change) (Head, error) {
	if len(c.Document) > MaxDocumentBytes {
		return Head{}, errors.Wrapf(ErrTooLarge, "%d bytes, at most %d", len(c.Document), MaxDocumentBytes)
	}
	head, err := s.headSince(ctx, c.Base)
	if err != nil {
		return Head{}, s.wrapNotApplied(err)
	}
	if done, err, ok := findOutcome(head, c); ok {
		return done, err
	}
	if err := s.writeParts(ctx, head, c.Document); err != nil {
		return Head{}, s.wrapNotApplied(err)
	}
	next := head.next(c.ID, c.Document)
	page, err := next.moveToPage()
	if err != nil {
		return Head{}, s.wrapNotApplied(err)
	}
	if page != nil {
		if err := s.writePart(ctx, next.Earlier, page); err != nil {
			return Head{}, s.wrapNotApplied(err)
		}
	}
	return s.writeHead(ctx, next, c)
}

// headSince returns the newest head, with Recent extended back to base as far as maxPages allows.
func (s *Store) headSince(ctx context.Context, base swid.ConfigVersion) (Head, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return Head{}, err
	}
	return s.loadHistory(ctx, head, base)
}

// wrapNotApplied wraps an error that occurred before the first attempt to write the head.
func (s *Store) wrapNotApplied(err error) error { return errors.Wrap(ErrNotApplied, err.Error()) }

// findOutcome looks up the outcome of a change in a head: applied, in conflict with
// another change, refused because its id was used for another document, or unknown
// because the head's history begins too late. It returns false if head is still the base
// of the change and does not contain the change.
func findOutcome(head Head, c Change) (Head, error, bool) {
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
	conflict := &ConflictError{Base: c.Base, Current: head.Version, CurrentID: head.Last.ID}
	if head.Version < c.Base { // the base was never written
		return Head{}, conflict, true
	}
	if _, ok := head.find(func(a AppliedChange) bool { return a.Base == c.Base }); !ok {
		// The history that was read does not include the change that replaced the base, which may be this one.
		return Head{}, errors.Wrapf(ErrOutcomeUnknown, "version %d is too long ago: %v", c.Base, conflict), true
	}
	return Head{}, conflict, true
}

// writeParts writes the parts of a document that head does not list.
func (s *Store) writeParts(ctx context.Context, head Head, document []byte) error {
	have := make(map[PartHash]struct{}, len(head.Parts))
	for _, p := range head.Parts {
		have[p.Hash] = struct{}{}
	}
	for _, data := range Split(document) {
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

// writePart writes one part and retries until ctx ends. The key is the content's
// hash, so a conflict means that the same part is already stored.
func (s *Store) writePart(ctx context.Context, hash PartHash, data []byte) error {
	for pause := initialBackoff; ; pause = min(2*pause, maxBackoff) {
		_, err := s.objects.Put(ctx, s.partKey(hash), data, 0)
		if err == nil || errors.Is(err, swobject.ErrConflict) {
			return nil
		}
		if waitErr := s.wait(ctx, pause); waitErr != nil {
			return errors.Wrapf(err, "write part %s", hash)
		}
	}
}

// writeHead writes the head and retries until the outcome is known or ctx ends.
// Retrying is safe because the write is conditional on the base version: at most
// one attempt can succeed.
func (s *Store) writeHead(ctx context.Context, head Head, c Change) (Head, error) {
	value, err := EncodeHead(head)
	if err != nil {
		return Head{}, s.wrapNotApplied(err)
	}
	maybeWritten := false
	for pause := initialBackoff; ; pause = min(2*pause, maxBackoff) {
		version, err := s.objects.Put(ctx, s.headKey(), value, swobject.Version(c.Base))
		if err == nil {
			head.Version = swid.ConfigVersion(version)
			head.Value = value
			return head, nil
		}
		if errors.Is(err, swobject.ErrConflict) {
			return s.readOutcome(ctx, c, maybeWritten)
		}
		maybeWritten = maybeWritten || !nothingWritten(err)
		if waitErr := s.wait(ctx, pause); waitErr != nil {
			return Head{}, outcomeError(maybeWritten, err)
		}
	}
}

// nothingWritten reports whether an error of Put guarantees that nothing was written.
func nothingWritten(err error) bool {
	return errors.Is(err, swobject.ErrRateLimited) || errors.Is(err, swobject.ErrUnavailable)
}

func outcomeError(maybeWritten bool, err error) error {
	if maybeWritten {
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return errors.Wrap(ErrNotApplied, err.Error())
}

// readOutcome reads the head after a conflict, to find out whether an earlier
// attempt to write the same change succeeded. It retries until ctx ends.
func (s *Store) readOutcome(ctx context.Context, c Change, maybeWritten bool) (Head, error) {
	for pause := initialBackoff; ; pause = min(2*pause, maxBackoff) {
		head, err := s.headSince(ctx, c.Base)
		if err == nil {
			if done, err, ok := findOutcome(head, c); ok {
				return done, err
			}
			err = errors.New("the platform's answers contradict each other")
		}
		if waitErr := s.wait(ctx, pause); waitErr != nil {
			return Head{}, outcomeError(maybeWritten, err)
		}
	}
}

// wait sleeps for a random time between half of limit and limit.
func wait(ctx context.Context, limit swclock.Millis) error {
	half := limit.Duration() / 2
	timer := time.NewTimer(half + rand.N(half+1))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
