package swstore

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// maxRecent is the maximum number of changes in Recent of a stored head.
	maxRecent = 128
	// changesPerPage is the number of changes that moveToPage moves from a head to a page.
	changesPerPage = maxRecent / 2
	// maxPages is the maximum number of pages read to determine the outcome of a change.
	maxPages = 64
)

// page holds older changes that a head no longer lists. It is stored like a part
// and links to the page before it.
type page struct {
	// changes are ordered from oldest to newest.
	changes []AppliedChange
	// earlier is the hash of the previous page; zero in the first page.
	earlier PartHash
}

type wirePage struct {
	Changes []wireChange `json:"changes"`
	Earlier string       `json:"earlier,omitempty"`
}

// moveToPage moves the oldest changes of a head to a page if Recent exceeds
// maxRecent. It returns the encoded page, or nil if nothing was moved.
func (h *Head) moveToPage() ([]byte, error) {
	if len(h.Recent) <= maxRecent {
		return nil, nil
	}
	w := wirePage{Earlier: formatOptionalHash(h.Earlier)}
	for _, c := range h.Recent[:changesPerPage] {
		w.Changes = append(w.Changes, toWire(c))
	}
	value, err := json.Marshal(w)
	if err != nil {
		return nil, errors.Wrap(err, "encode page of changes")
	}
	h.Recent = h.Recent[changesPerPage:]
	h.Earlier = HashPart(value)
	return value, nil
}

// formatOptionalHash returns a hash in hexadecimal, or an empty string for the zero hash.
func formatOptionalHash(h PartHash) string {
	if h == (PartHash{}) {
		return ""
	}
	return h.String()
}

func parseOptionalHash(text string) (PartHash, error) {
	if text == "" {
		return PartHash{}, nil
	}
	return ParseHash(text)
}

func decodePage(data []byte) (page, error) {
	var w wirePage
	if err := json.Unmarshal(data, &w); err != nil {
		return page{}, errors.Wrap(err, "decode page of changes")
	}
	var p page
	var err error
	if p.earlier, err = parseOptionalHash(w.Earlier); err != nil {
		return page{}, err
	}
	for _, c := range w.Changes {
		change, err := fromWire(c)
		if err != nil {
			return page{}, err
		}
		p.changes = append(p.changes, change)
	}
	return p, nil
}

// loadHistory prepends the changes of earlier pages to head.Recent until the head covers
// base. It reads at most s.maxPages pages.
func (s *Store) loadHistory(ctx context.Context, head Head, base swid.ConfigVersion) (Head, error) {
	for range s.maxPages {
		if head.covers(base) || head.Earlier == (PartHash{}) {
			break
		}
		data, err := s.Part(ctx, head.Earlier)
		if err != nil {
			return Head{}, err
		}
		p, err := decodePage(data)
		if err != nil {
			return Head{}, err
		}
		head.Recent = append(p.changes, head.Recent...)
		head.Earlier = p.earlier
	}
	return head, nil
}

// covers reports whether the changes in the head reach back to base or further.
func (h Head) covers(base swid.ConfigVersion) bool {
	if len(h.Recent) == 0 {
		return h.Last.Base <= base
	}
	return h.Recent[0].Base <= base
}
