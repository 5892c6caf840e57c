package swprobe

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// maxReportBytes bounds the body of an answer to a poll.
const maxReportBytes = 4 << 20

// wireLoad is the JSON form of an engine's load.
type wireLoad struct {
	Running   int   `json:"running"`
	Waiting   int   `json:"waiting"`
	AgeMillis int64 `json:"ageMillis"`
}

// wireEvents is the JSON form of an engine's cache events. Events are numbered: an answer
// covers those from First up to, but not including, Next. Hashes are hexadecimal.
type wireEvents struct {
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
	Added   []string `json:"added"`
	Removed []string `json:"removed"`
}

func eventsPath(after uint64) string {
	return "/cache/events?after=" + strconv.FormatUint(after, 10) + "&waitMillis=" + strconv.FormatInt(int64(longPollWait), 10)
}

func (w wireEvents) report(target swid.TargetID) (swcell.CacheReport, error) {
	added, err := parseHashes(w.Added)
	if err != nil {
		return swcell.CacheReport{}, err
	}
	removed, err := parseHashes(w.Removed)
	if err != nil {
		return swcell.CacheReport{}, err
	}
	return swcell.CacheReport{Target: target, Added: added, Removed: removed}, nil
}

func parseHashes(texts []string) ([]swid.PrefixHash, error) {
	hashes := make([]swid.PrefixHash, 0, len(texts))
	for _, t := range texts {
		h, err := strconv.ParseUint(t, 16, 64)
		if err != nil {
			return nil, errors.Wrap(err, "parse prefix hash")
		}
		hashes = append(hashes, swid.PrefixHash(h))
	}
	return hashes, nil
}

// get polls path and decodes the answer into out. The connection is closed if the
// poll times out or the answer cannot be read to its end.
func (p *Poller) get(ctx context.Context, path string, timeout swclock.Millis, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.config.URL+path, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	answer, err := p.transport.RoundTrip(request)
	if err != nil {
		return errors.Wrap(err, "poll target")
	}
	defer func() { _ = answer.Body.Close() }() // only read from
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxReportBytes+1))
	if err != nil {
		return errors.Wrap(err, "read report")
	}
	if answer.StatusCode != http.StatusOK || len(data) > maxReportBytes {
		return errors.Errorf("target answered a poll with status %d and %d bytes", answer.StatusCode, len(data))
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode report")
}
