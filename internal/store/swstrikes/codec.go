package swstrikes

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
)

// storedStrikes is the value of the object.
type storedStrikes struct {
	Contents []storedContent `json:"contents"`
}

type storedContent struct {
	// Content is a fingerprint in hexadecimal.
	Content string `json:"content"`
	Strikes int    `json:"strikes"`
	// RemainingMillis is the time until the strikes expire, as of the write.
	RemainingMillis int64 `json:"remainingMillis"`
}

func encode(contents []swsuspect.Content) ([]byte, error) {
	stored := storedStrikes{Contents: make([]storedContent, 0, len(contents))}
	for _, c := range contents {
		stored.Contents = append(stored.Contents, storedContent{
			Content: c.Fingerprint.String(), Strikes: c.Strikes, RemainingMillis: int64(c.Remaining),
		})
	}
	value, err := json.Marshal(stored)
	return value, errors.Wrap(err, "encode strikes")
}

func decode(value []byte) ([]swsuspect.Content, error) {
	var stored storedStrikes
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, errors.Wrap(err, "decode strikes")
	}
	contents := make([]swsuspect.Content, 0, len(stored.Contents))
	for _, s := range stored.Contents {
		f, err := strconv.ParseUint(s.Content, 16, 64)
		if err != nil {
			return nil, errors.Wrap(err, "decode strikes")
		}
		contents = append(contents, swsuspect.Content{
			Fingerprint: swid.Fingerprint(f), Strikes: s.Strikes, Remaining: swclock.Millis(s.RemainingMillis),
		})
	}
	return contents, nil
}
