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

// EngineRun counts an engine's runs of one attempt.
type EngineRun struct {
	RequestID          string `json:"requestId"`
	Attempt            uint32 `json:"attempt"`
	ContentHash        string `json:"contentHash"`
	Runs               int    `json:"runs"`
	Completed          int    `json:"completed"`
	PromptTokens       int64  `json:"promptTokens"`
	WastedPromptTokens int64  `json:"wastedPromptTokens"`
}

// PlainRuns counts the runs of a plain service by request id and by idempotency key.
type PlainRuns struct {
	RequestIDs      []PlainCount `json:"requestIds"`
	IdempotencyKeys []PlainCount `json:"idempotencyKeys"`
}

// PlainCount counts the runs of one request id or idempotency key.
type PlainCount struct {
	Key  string `json:"key"`
	Runs int    `json:"runs"`
}

// EngineRuns reads the run counts of the engine at a base URL.
func (c *Client) EngineRuns(ctx context.Context, base string) ([]EngineRun, error) {
	var runs []EngineRun
	err := c.get(ctx, base+"/admin/runs", &runs)
	return runs, err
}

// PlainRuns reads the run counts of the plain service at a base URL.
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
		return errors.Wrap(err, "read run counts")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s returned status %s", url, response.Status)
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(value), "decode run counts")
}

// InjectFault activates a fault in the stand-in at its URL.
func (c *Client) InjectFault(ctx context.Context, f swscenario.Fault) error {
	body, err := json.Marshal(swfault.FaultBody{
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
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.URL+swfault.AdminPath, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "inject fault")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s returned status %s", f.URL, response.Status)
	}
	return nil
}
