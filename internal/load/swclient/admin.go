package swclient

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/load/swscenario"
	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
)

// EngineRun is an engine's count of one attempt.
type EngineRun struct {
	RequestID          string `json:"requestId"`
	Attempt            uint32 `json:"attempt"`
	ContentHash        string `json:"contentHash"`
	Runs               int    `json:"runs"`
	Completed          int    `json:"completed"`
	PromptTokens       int64  `json:"promptTokens"`
	WastedPromptTokens int64  `json:"wastedPromptTokens"`
}

// PlainRuns are a plain service's counts.
type PlainRuns struct {
	RequestIDs      []PlainCount `json:"requestIds"`
	IdempotencyKeys []PlainCount `json:"idempotencyKeys"`
}

// PlainCount counts the runs of one request id or idempotency key.
type PlainCount struct {
	Key  string `json:"key"`
	Runs int    `json:"runs"`
}

// EngineRuns reads an engine's counts.
func (c *Client) EngineRuns(ctx context.Context, base string) ([]EngineRun, error) {
	var runs []EngineRun
	err := c.get(ctx, base+"/admin/runs", &runs)
	return runs, err
}

// PlainRuns reads a plain service's counts.
func (c *Client) PlainRuns(ctx context.Context, base string) (PlainRuns, error) {
	var runs PlainRuns
	err := c.get(ctx, base+"/admin/runs", &runs)
	return runs, err
}

func (c *Client) get(ctx context.Context, url string, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "read counts")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered %s", url, response.Status)
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(value), "decode counts")
}

// SetFault switches a fault on.
func (c *Client) SetFault(ctx context.Context, f swscenario.Fault) error {
	body, err := json.Marshal(swfault.Wire{
		Kind:           f.Kind,
		Factor:         f.Factor,
		After:          f.After,
		Count:          f.Count,
		DelayMillis:    int64(f.Delay),
		DurationMillis: int64(f.Duration),
		Contains:       f.Contains,
		Existing:       f.Existing,
		Status:         f.Status,
	})
	if err != nil {
		return errors.Wrap(err, "encode fault")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.URL+swfault.Path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "set fault")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered %s", f.URL, response.Status)
	}
	return nil
}
