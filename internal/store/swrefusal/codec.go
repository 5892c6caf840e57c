package swrefusal

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
)

// storedContents is the value of the object.
type storedContents struct {
	Contents []storedContent `json:"contents"`
	Parts    []storedParts   `json:"parts,omitempty"`
}

type storedContent struct {
	// Content is a fingerprint in hexadecimal.
	Content string `json:"content"`
	// RemainingMillis is the time until it is no longer refused, as of the write.
	RemainingMillis int64 `json:"remainingMillis"`
}

// storedParts are crashes that are blamed on parts of prompts.
type storedParts struct {
	// Parts has the parts' ids and Scope the scope, in hexadecimal.
	Parts  []string `json:"parts"`
	Scope  string   `json:"scope"`
	Apart  bool     `json:"apart,omitempty"`
	Count  int      `json:"count"`
	Needed int      `json:"needed"`
	// RemainingMillis is the time until they expire, as of the write.
	RemainingMillis int64 `json:"remainingMillis"`
}

func encode(r *refusals) ([]byte, error) {
	stored := storedContents{Contents: make([]storedContent, 0, len(r.contents))}
	for _, c := range r.contents {
		stored.Contents = append(stored.Contents, storedContent{
			Content: c.Fingerprint.String(), RemainingMillis: int64(c.Remaining),
		})
	}
	for i := range r.parts {
		stored.Parts = append(stored.Parts, encodeParts(&r.parts[i]))
	}
	value, err := json.Marshal(stored)
	return value, errors.Wrap(err, "encode refused contents")
}

func encodeParts(c *swsuspect.PartCrashes) storedParts {
	s := storedParts{
		Scope: strconv.FormatUint(uint64(c.Scope), 16), Apart: c.Apart, Count: c.Count, Needed: c.Needed, RemainingMillis: int64(c.Remaining),
	}
	for _, id := range c.Parts {
		s.Parts = append(s.Parts, id.String())
	}
	return s
}

func decode(value []byte) (refusals, error) {
	var stored storedContents
	if err := json.Unmarshal(value, &stored); err != nil {
		return refusals{}, errors.Wrap(err, "decode refused contents")
	}
	var r refusals
	for _, s := range stored.Contents {
		f, err := strconv.ParseUint(s.Content, 16, 64)
		if err != nil {
			return refusals{}, errors.Wrap(err, "decode refused contents")
		}
		r.contents = append(r.contents, swsuspect.Content{
			Fingerprint: swid.Fingerprint(f), Remaining: swclock.Millis(s.RemainingMillis),
		})
	}
	for i := range stored.Parts {
		parts, err := decodeParts(&stored.Parts[i])
		if err != nil {
			return refusals{}, errors.Wrap(err, "decode refused parts")
		}
		r.parts = append(r.parts, parts)
	}
	return r, nil
}

func decodeParts(s *storedParts) (swsuspect.PartCrashes, error) {
	scope, err := strconv.ParseUint(s.Scope, 16, 32)
	if err != nil {
		return swsuspect.PartCrashes{}, err
	}
	c := swsuspect.PartCrashes{
		Scope: swid.PromptScope(scope), Apart: s.Apart, Count: s.Count, Needed: s.Needed, Remaining: swclock.Millis(s.RemainingMillis),
	}
	for _, text := range s.Parts {
		id, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return c, err
		}
		c.Parts = append(c.Parts, swid.PrefixHash(id))
	}
	return c, nil
}
