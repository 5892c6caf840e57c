package swstore

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// maxRecent bounds the changes that a head itself remembers.
	maxRecent = 128
	// pageChanges is the number of changes that move from a full head to a page.
	pageChanges = maxRecent / 2
	// maxPages bounds the pages that are read to learn the outcome of a change.
	maxPages = 64
)

// page holds changes that a head no longer holds. It is kept as a part, and
// names the page before it.
type page struct {
	// changes are in order, oldest first.
	changes []AppliedChange
	// earlier is zero in the first page.
	earlier PartHash
}

type wirePage struct {
	Changes []wireChange `json:"changes"`
	Earlier string       `json:"earlier,omitempty"`
}

// spill moves the oldest changes of a full head to a page, and returns the
// page's value, or nil if the head has room.
func (h *Head) spill() ([]byte, error) {
	if len(h.Recent) <= maxRecent {
		return nil, nil
	}
	w := wirePage{Earlier: optionalHash(h.Earlier)}
	for _, c := range h.Recent[:pageChanges] {
		w.Changes = append(w.Changes, toWire(c))
	}
	value, err := json.Marshal(w)
	if err != nil {
		return nil, errors.Wrap(err, "encode page of changes")
	}
	h.Recent = h.Recent[pageChanges:]
	h.Earlier = HashPart(value)
	return value, nil
}

// optionalHash returns a hash in hexadecimal, or nothing for the zero hash.
func optionalHash(h PartHash) string {
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

// remember adds pages to a head's changes until they reach back to a base.
func (s *Store) remember(ctx context.Context, head Head, base swid.ConfigVersion) (Head, error) {
	for range s.maxPages {
		if head.reaches(base) || head.Earlier == (PartHash{}) {
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

// reaches reports whether the head's changes begin at a base or before it.
func (h Head) reaches(base swid.ConfigVersion) bool {
	if len(h.Recent) == 0 {
		return h.Last.Base <= base
	}
	return h.Recent[0].Base <= base
}
