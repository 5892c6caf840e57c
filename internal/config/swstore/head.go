package swstore

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// headFormat is the version of the head's encoding.
	headFormat = 1
	// MaxDocumentBytes is the maximum size of a document. It keeps the head, which
	// lists all parts, far below swobject.MaxValueBytes.
	MaxDocumentBytes = 16 << 20
)

// ChangeID identifies a change. The operator chooses it and uses the same id to
// send the change again after a lost response.
type ChangeID string

// Head lists the parts of one version of a document, and the latest changes.
type Head struct {
	// Version is the version of the head's object; the encoded head does not contain it.
	Version swid.ConfigVersion
	// Last is the change that wrote this version; its Version is 0 in the encoded head.
	Last AppliedChange
	// Recent holds the changes before Last, oldest first. The Base of each is the Version of the previous one.
	// A stored head has at most maxRecent; loadHistory prepends older ones from pages.
	Recent []AppliedChange
	// Earlier is the hash of the page with the changes before Recent; zero if there is none.
	Earlier PartHash
	// Parts lists the parts in document order.
	Parts []Part
	// Size is the sum of the parts' sizes.
	Size int
	// Value is the encoded head, byte for byte as stored.
	Value []byte
}

// AppliedChange is a change that took effect.
type AppliedChange struct {
	ID      ChangeID
	Base    swid.ConfigVersion
	Version swid.ConfigVersion
	// Document is the SHA-256 of the whole document.
	Document PartHash
}

// find returns the newest change that match selects, and reports whether there is one.
func (h Head) find(match func(AppliedChange) bool) (AppliedChange, bool) {
	if h.Version == 0 {
		return AppliedChange{}, false
	}
	last := h.Last
	last.Version = h.Version
	if match(last) {
		return last, true
	}
	for i := len(h.Recent) - 1; i >= 0; i-- {
		if match(h.Recent[i]) {
			return h.Recent[i], true
		}
	}
	return AppliedChange{}, false
}

// next returns the head that a change on top of h writes. Its Recent may have one
// change more than maxRecent; moveToPage removes the excess.
func (h Head) next(id ChangeID, document []byte) Head {
	n := Head{
		Last:    AppliedChange{ID: id, Base: h.Version, Document: HashPart(document)},
		Earlier: h.Earlier,
		Size:    len(document),
	}
	if h.Version != 0 {
		last := h.Last
		last.Version = h.Version
		n.Recent = append(append(n.Recent, h.Recent...), last)
	}
	for _, p := range Split(document) {
		n.Parts = append(n.Parts, Part{Hash: HashPart(p), Size: len(p)})
	}
	return n
}

// wireHead is the JSON encoding of a Head.
type wireHead struct {
	Format  int          `json:"format"`
	Last    wireChange   `json:"last"`
	Recent  []wireChange `json:"recent,omitempty"`
	Earlier string       `json:"earlier,omitempty"`
	Parts   []wirePart   `json:"parts"`
}

type wireChange struct {
	ID       string `json:"id"`
	Base     uint64 `json:"base"`
	Version  uint64 `json:"version,omitempty"`
	Document string `json:"document"`
}

type wirePart struct {
	Hash string `json:"hash"`
	Size int    `json:"size"`
}

// EncodeHead returns the encoding of a head.
func EncodeHead(h Head) ([]byte, error) {
	w := wireHead{Format: headFormat, Last: toWire(h.Last), Earlier: formatOptionalHash(h.Earlier)}
	for _, c := range h.Recent {
		w.Recent = append(w.Recent, toWire(c))
	}
	for _, p := range h.Parts {
		w.Parts = append(w.Parts, wirePart{Hash: p.Hash.String(), Size: p.Size})
	}
	data, err := json.Marshal(w)
	return data, errors.Wrap(err, "encode head")
}

func toWire(c AppliedChange) wireChange {
	return wireChange{ID: string(c.ID), Base: uint64(c.Base), Version: uint64(c.Version), Document: c.Document.String()}
}

// DecodeHead decodes and validates a head; version is the version of its object.
func DecodeHead(version swid.ConfigVersion, data []byte) (Head, error) {
	var w wireHead
	if err := json.Unmarshal(data, &w); err != nil {
		return Head{}, errors.Wrap(err, "decode head")
	}
	if w.Format != headFormat {
		return Head{}, errors.Errorf("head format %d is not known, only %d", w.Format, headFormat)
	}
	h := Head{Version: version, Value: data}
	if err := h.fromWire(w); err != nil {
		return Head{}, err
	}
	return h, nil
}

func (h *Head) fromWire(w wireHead) error {
	var err error
	if h.Last, err = fromWire(w.Last); err != nil {
		return err
	}
	if h.Earlier, err = parseOptionalHash(w.Earlier); err != nil {
		return err
	}
	for _, c := range w.Recent {
		change, err := fromWire(c)
		if err != nil {
			return err
		}
		h.Recent = append(h.Recent, change)
	}
	for _, p := range w.Parts {
		hash, err := ParseHash(p.Hash)
		if err != nil {
			return err
		}
		if p.Size < 1 || p.Size > MaxPartBytes {
			return errors.Errorf("part %s has a size of %d", p.Hash, p.Size)
		}
		h.Parts = append(h.Parts, Part{Hash: hash, Size: p.Size})
		h.Size += p.Size
	}
	if h.Size > MaxDocumentBytes {
		return errors.Errorf("the document has %d bytes, at most %d are allowed", h.Size, MaxDocumentBytes)
	}
	return nil
}

func fromWire(c wireChange) (AppliedChange, error) {
	hash, err := ParseHash(c.Document)
	return AppliedChange{
		ID:       ChangeID(c.ID),
		Base:     swid.ConfigVersion(c.Base),
		Version:  swid.ConfigVersion(c.Version),
		Document: hash,
	}, err
}

// ParseHash parses a hash in hexadecimal.
func ParseHash(text string) (PartHash, error) {
	var h PartHash
	if len(text) != 2*sha256.Size {
		return h, errors.Errorf("%q is not a hash", text)
	}
	if _, err := hex.Decode(h[:], []byte(text)); err != nil {
		return h, errors.Wrap(err, "decode hash")
	}
	return h, nil
}

// Assemble concatenates the parts of a head and verifies the hash of the whole document.
func Assemble(h Head, part func(PartHash) ([]byte, bool)) ([]byte, error) {
	document := make([]byte, 0, h.Size)
	for _, p := range h.Parts {
		data, ok := part(p.Hash)
		if !ok {
			return nil, errors.Errorf("part %s is missing", p.Hash)
		}
		document = append(document, data...)
	}
	if HashPart(document) != h.Last.Document {
		return nil, errors.Errorf("the parts of version %d do not form its document", h.Version)
	}
	return document, nil
}
