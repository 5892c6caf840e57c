// Package swclient sends one request of a load scenario and checks the whole answer.
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
	// OutcomeAnswered means that the whole and right answer came.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun means that the caller was told that the request did not run.
	OutcomeNotRun
	// OutcomeUnknown means that the caller was told, or must assume, that the request may have run.
	OutcomeUnknown
	// OutcomeTruncated means that an answer ended as if it were whole, and was not.
	OutcomeTruncated
	// OutcomeWrong means that an answer had other content than the request's.
	OutcomeWrong
	// OutcomeRejected means that the request itself was refused as invalid.
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

// Micros is a span in microseconds; times that the milliseconds of the clock are too coarse for.
type Micros int64

// Millis returns the span in milliseconds with its fraction.
func (m Micros) Millis() float64 { return float64(m) / 1000 }

// Result is the end of one request.
type Result struct {
	Request swscenario.Request
	Outcome Outcome
	// Code is the error code that the caller got, or a short word for an error of its own.
	Code string
	// ContentHash identifies the content of a request to a model, Key a keyed call.
	ContentHash string
	Key         string
	// FirstToken and Total count from the moment the request was due; FirstToken is 0 if no token came.
	FirstToken Micros
	Total      Micros
	// Gaps are the spans between the tokens of a stream.
	Gaps []Micros
	// Tokens is the number of prompt and output tokens of the answer, as the
	// engine reported it; Demand is what a whole answer has.
	Tokens int64
	Demand int64
	// Lateness is how long after it was due the request was sent.
	Lateness Micros
}

// Client sends the requests of one scenario.
type Client struct {
	scenario *swscenario.Scenario
	http     *http.Client
	// run makes idempotency keys unique to one run of the load tool.
	run string
}

// maxIdle bounds idle connections to one host.
const maxIdle = 4096

// New returns a client. run makes its idempotency keys unique.
func New(s *swscenario.Scenario, run string) *Client {
	t := &http.Transport{
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{scenario: s, run: run, http: &http.Client{Transport: t}}
}

// Close releases the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// grace is how much longer than its deadline a request is waited for.
const grace = 30 * swclock.Second

// Do sends a request to a base URL and reads its answer. due is when it was to be sent.
func (c *Client) Do(ctx context.Context, r swscenario.Request, base string, due time.Time) Result {
	f := &c.scenario.Flows[r.Flow]
	ctx, cancel := context.WithTimeout(ctx, (f.Deadline + grace).Duration())
	defer cancel()
	e := &exchange{due: due, result: Result{Request: r, Lateness: micros(time.Since(due))}}
	request, err := c.build(ctx, r, base, e)
	if err != nil {
		e.fail(OutcomeRejected, "build")
		return e.result
	}
	response, err := c.http.Do(request)
	if err != nil {
		// Only a connection that was never made proves that nothing ran.
		e.fail(OutcomeUnknown, "connection")
		return e.result
	}
	defer response.Body.Close()
	e.read(f, response)
	e.result.Total = micros(time.Since(due))
	return e.result
}

// build makes the HTTP request. Without GetBody the transport cannot send it twice.
func (c *Client) build(ctx context.Context, r swscenario.Request, base string, e *exchange) (*http.Request, error) {
	f := &c.scenario.Flows[r.Flow]
	method, path, body := http.MethodPost, "", []byte(nil)
	if f.Plain != nil {
		method, path = f.Plain.Method, "/services/"+string(f.Service)+f.Plain.Path
		body = []byte(r.Key("content"))
		e.wantBody = string(body)
	} else {
		encoded, err := c.encode(r, f)
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
		e.result.Key = r.Key(c.run)
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

func (c *Client) encode(r swscenario.Request, f *swscenario.Flow) ([]byte, error) {
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

// drain reads the rest of a small body, so that the connection can be used again.
func drain(body io.Reader) ([]byte, error) { return io.ReadAll(io.LimitReader(body, maxAnswer)) }

// maxAnswer bounds an answer that is not a stream.
const maxAnswer = 16 << 20
