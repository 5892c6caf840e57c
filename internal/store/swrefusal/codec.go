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
}

type storedContent struct {
	// Content is a fingerprint in hexadecimal.
	Content string `json:"content"`
	// RemainingMillis is the time until it is no longer refused, as of the write.
	RemainingMillis int64 `json:"remainingMillis"`
}

func encode(contents []swsuspect.Content) ([]byte, error) {
	stored := storedContents{Contents: make([]storedContent, 0, len(contents))}
	for _, c := range contents {
		stored.Contents = append(stored.Contents, storedContent{
			Content: c.Fingerprint.String(), RemainingMillis: int64(c.Remaining),
		})
	}
	value, err := json.Marshal(stored)
	return value, errors.Wrap(err, "encode refused contents")
}

func decode(value []byte) ([]swsuspect.Content, error) {
	var stored storedContents
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, errors.Wrap(err, "decode refused contents")
	}
	contents := make([]swsuspect.Content, 0, len(stored.Contents))
	for _, s := range stored.Contents {
		f, err := strconv.ParseUint(s.Content, 16, 64)
		if err != nil {
			return nil, errors.Wrap(err, "decode refused contents")
		}
		contents = append(contents, swsuspect.Content{
			Fingerprint: swid.Fingerprint(f), Remaining: swclock.Millis(s.RemainingMillis),
		})
	}
	return contents, nil
}
