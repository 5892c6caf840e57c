// Package swclient sends the requests of a load scenario and checks every answer in full.
package swclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swprompt"
	"github.com/sassafraswing/sassafraswing/internal/load/swscenario"
	"github.com/sassafraswing/sassafraswing/internal/stand/swanswer"
)

// Outcome says how a request ended.
type Outcome uint8

// Outcomes.
const (
	// OutcomeAnswered means that the complete and correct answer was received.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun means that the response reported that the request did not run.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have run: the response reported so, or
	// nothing that was received rules it out.
	OutcomeUnknown
	// OutcomeTruncated means that an answer ended without an error but was incomplete.
	OutcomeTruncated
	// OutcomeWrong means that the content of an answer did not belong to the request.
	OutcomeWrong
	// OutcomeRejected means that the request was rejected as invalid.
	OutcomeRejected
)

// Outcomes lists every outcome.
var Outcomes = []Outcome{
	OutcomeAnswered, OutcomeNotRun, OutcomeUnknown, OutcomeTruncated, OutcomeWrong, OutcomeRejected,
}

// String returns the outcome's name in reports.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "notRun"
	case OutcomeUnknown:
		return "unknown"
	case OutcomeTruncated:
		return "truncated"
	case OutcomeWrong:
		return "wrong"
	case OutcomeRejected:
		return "rejected"
	}
	return "none"
}

// Micros is a duration in microseconds, for times that need a finer resolution than
// swclock.Millis.
type Micros int64

// Millis returns the duration in milliseconds, including the fraction.
func (m Micros) Millis() float64 { return float64(m) / 1000 }

// Result describes how one request ended.
type Result struct {
	Request swscenario.Request
	Outcome Outcome
	// Code is the error code of the response, or a short name for an error that the
	// client detected itself.
	Code string
	// ContentHash identifies the content of a request to a model; it is empty for a call to
	// a plain service. Key is the idempotency key of such a call; it is empty if the call
	// has none.
	ContentHash string
	Key         string
	// FirstToken and Total are measured from the time the request was due; FirstToken is
	// 0 if no token was received.
	FirstToken Micros
	Total      Micros
	// TokenGaps holds the times between consecutive tokens of a stream.
	TokenGaps []Micros
	// Tokens is the number of prompt and output tokens of the answer, as the
	// engine reported it; Demand is the number for a complete answer.
	Tokens int64
	Demand int64
	// Lateness is the time from when the request was due until it was sent.
	Lateness Micros
}

// Client sends the requests of one scenario.
type Client struct {
	scenario *swscenario.Scenario
	http     *http.Client
	// runID makes idempotency keys unique to one run of the load tool.
	runID string
}

// maxIdleConnections limits idle connections, to one host and in total.
const maxIdleConnections = 4096

// New returns a client for a scenario. runID makes its idempotency keys unique.
func New(s *swscenario.Scenario, runID string) *Client {
	t := &http.Transport{
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{scenario: s, runID: runID, http: &http.Client{Transport: t}}
}

// Close releases the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// deadlineGrace is how long after a request's deadline the client stops waiting for the answer.
const deadlineGrace = 30 * swclock.Second

// Do sends a request to a base URL and reads its answer. due is the time at which the
// request should have been sent.
func (c *Client) Do(ctx context.Context, r swscenario.Request, base string, due time.Time) Result {
	f := &c.scenario.Flows[r.Flow]
	ctx, cancel := context.WithTimeout(ctx, (f.Deadline + deadlineGrace).Duration())
	defer cancel()
	e := &exchange{due: due, result: Result{Request: r, Lateness: micros(time.Since(due))}}
	request, err := c.buildRequest(ctx, r, base, e)
	if err != nil {
		e.fail(OutcomeRejected, "build")
		return e.result
	}
	response, err := c.http.Do(request)
	if err != nil {
		// The request may have run: only a connection that was never established would
		// prove that it did not.
		e.fail(OutcomeUnknown, "connection")
		return e.result
	}
	defer response.Body.Close()
	e.read(f, response)
	e.result.Total = micros(time.Since(due))
	return e.result
}

// buildRequest builds the HTTP request and records what its answer must be. It clears
// GetBody, so that the transport cannot resend the request.
func (c *Client) buildRequest(ctx context.Context, r swscenario.Request, base string, e *exchange) (*http.Request, error) {
	f := &c.scenario.Flows[r.Flow]
	method, path, body := http.MethodPost, "", []byte(nil)
	if f.Plain != nil {
		method, path = f.Plain.Method, "/services/"+string(f.Service)+f.Plain.Path
		body = []byte(r.Key("content"))
		e.wantBody = string(body)
	} else {
		encoded, err := c.encodeCompletion(r, f)
		if err != nil {
			return nil, err
		}
		body, path = encoded, completionPath(f.Model)
		e.prompt = c.scenario.Prompt(r)
		e.result.ContentHash = swanswer.Hash(e.prompt)
		e.result.Demand = int64(swprompt.Tokens(e.prompt)) + int64(swanswer.Length(e.prompt, f.Model.MaxTokens))
	}
	request, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.scenario.Organisations[f.Organisation].Key)
	request.Header.Set("X-Tier", c.scenario.Tiers[f.Tier])
	request.Header.Set("X-Deadline-Millis", strconv.FormatInt(int64(f.Deadline), 10))
	if f.Plain != nil && f.Plain.Keyed {
		e.result.Key = r.Key(c.runID)
		request.Header.Set("Idempotency-Key", e.result.Key)
	}
	return request, nil
}

func completionPath(m *swscenario.Model) string {
	if m.Chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

type requestBody struct {
	Model         string             `json:"model"`
	Messages      []messageBody      `json:"messages,omitempty"`
	Prompt        string             `json:"prompt,omitempty"`
	MaxTokens     int                `json:"max_tokens"`
	Stream        bool               `json:"stream"`
	StreamOptions *streamOptionsBody `json:"stream_options,omitempty"`
}

type messageBody struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptionsBody struct {
	IncludeUsage bool `json:"include_usage"`
}

func (c *Client) encodeCompletion(r swscenario.Request, f *swscenario.Flow) ([]byte, error) {
	body := requestBody{Model: string(f.Service), MaxTokens: f.Model.MaxTokens, Stream: f.Model.Stream}
	if f.Model.Stream {
		body.StreamOptions = &streamOptionsBody{IncludeUsage: true}
	}
	if f.Model.Chat {
		for _, m := range c.scenario.Messages(r) {
			body.Messages = append(body.Messages, messageBody(m))
		}
	} else {
		body.Prompt = c.scenario.Prompt(r)
	}
	data, err := json.Marshal(body)
	return data, errors.Wrap(err, "encode request")
}

func micros(d time.Duration) Micros { return Micros(d / time.Microsecond) }

// readBody reads at most maxAnswerBytes of a body. Reading a body to its end allows the
// transport to reuse the connection.
func readBody(body io.Reader) ([]byte, error) {
	return io.ReadAll(io.LimitReader(body, maxAnswerBytes))
}

// maxAnswerBytes is the maximum size of an answer that is not a stream.
const maxAnswerBytes = 16 << 20
