package swclient

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/load/swscenario"
	"github.com/sassafraswing/sassafraswing/internal/stand/swanswer"
)

// exchange holds the state of one request and of the part of its answer that was
// received so far.
type exchange struct {
	due    time.Time
	result Result
	// prompt determines the expected answer of a model, wantBody that of a plain service.
	prompt   string
	wantBody string

	received  strings.Builder
	lastToken time.Time
	// terminated is set when the end marker of a stream, or a complete JSON answer, was received.
	terminated bool
	// reportedError is the error that a stream event or a non-streaming answer reported; nil if none.
	reportedError *errorDetail
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error *errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// answerBody is a non-streaming answer or one event of a stream.
type answerBody struct {
	Choices []struct {
		Text    string       `json:"text"`
		Delta   *messageBody `json:"delta"`
		Message *messageBody `json:"message"`
	} `json:"choices"`
	Usage *struct {
		TotalTokens int64 `json:"total_tokens"`
	} `json:"usage"`
	Error *errorDetail `json:"error"`
}

// echoBody is the answer of a plain service, which repeats the call's path and body.
type echoBody struct {
	RequestID string `json:"requestId"`
	Path      string `json:"path"`
	Body      string `json:"body"`
}

func (e *exchange) fail(o Outcome, code string) {
	e.result.Outcome = o
	e.result.Code = code
	e.result.Total = micros(time.Since(e.due))
}

// read reads a response and sets the outcome.
func (e *exchange) read(f *swscenario.Flow, response *http.Response) {
	if response.StatusCode != http.StatusOK {
		e.readError(response)
		return
	}
	if f.Plain != nil {
		e.readEcho(f, response)
		return
	}
	var err error
	if f.Model.Stream {
		err = e.readStream(response.Body)
	} else {
		err = e.readNonStreaming(response.Body)
	}
	e.classifyCompletion(f, err)
}

// readError maps an error response to an outcome.
func (e *exchange) readError(response *http.Response) {
	var body errorBody
	data, err := readBody(response.Body)
	if err != nil || json.Unmarshal(data, &body) != nil || body.Error == nil {
		e.fail(OutcomeUnknown, "status")
		return
	}
	e.failWithDetail(body.Error, response.StatusCode)
}

func (e *exchange) failWithDetail(d *errorDetail, status int) {
	switch {
	case d.Outcome == "notRun" && isRejection(status):
		e.fail(OutcomeRejected, d.Code)
	case d.Outcome == "notRun":
		e.fail(OutcomeNotRun, d.Code)
	default:
		e.fail(OutcomeUnknown, d.Code)
	}
}

// isRejection reports whether a status means that the request itself is invalid, so
// that it would fail at any other time too.
func isRejection(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusRequestEntityTooLarge:
		return true
	}
	return false
}

func (e *exchange) readEcho(f *swscenario.Flow, response *http.Response) {
	data, err := readBody(response.Body)
	if err != nil {
		e.fail(OutcomeUnknown, "broken")
		return
	}
	var body echoBody
	if err := json.Unmarshal(data, &body); err != nil {
		e.fail(OutcomeTruncated, "body")
		return
	}
	e.recordToken(time.Now())
	if body.Body != e.wantBody || !strings.HasSuffix(body.Path, f.Plain.Path) ||
		body.RequestID != response.Header.Get("X-Request-Id") {
		e.fail(OutcomeWrong, "content")
		return
	}
	e.result.Outcome = OutcomeAnswered
}

// maxLineBytes is the maximum length of a line in a stream.
const maxLineBytes = 1 << 20

func (e *exchange) readStream(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			e.terminated = true
			continue
		}
		if err := e.addContent(data, time.Now()); err != nil {
			return err
		}
	}
	return lines.Err()
}

func (e *exchange) readNonStreaming(body io.Reader) error {
	data, err := readBody(body)
	if err != nil {
		return err
	}
	if json.Unmarshal(data, &answerBody{}) == nil {
		e.terminated = true
		return e.addContent(data, time.Now())
	}
	return nil
}

// addContent adds the content, usage and error of a stream event or of a
// non-streaming answer.
func (e *exchange) addContent(data []byte, now time.Time) error {
	var body answerBody
	if err := json.Unmarshal(data, &body); err != nil {
		return err
	}
	if body.Error != nil {
		e.reportedError = body.Error
	}
	if body.Usage != nil {
		e.result.Tokens = body.Usage.TotalTokens
	}
	for _, c := range body.Choices {
		content := c.Text
		if c.Delta != nil {
			content += c.Delta.Content
		}
		if c.Message != nil {
			content += c.Message.Content
		}
		if content != "" {
			e.received.WriteString(content)
			e.recordToken(now)
		}
	}
	return nil
}

// recordToken records the time at which a token was received.
func (e *exchange) recordToken(now time.Time) {
	if e.lastToken.IsZero() {
		e.result.FirstToken = micros(now.Sub(e.due))
	} else {
		e.result.TokenGaps = append(e.result.TokenGaps, micros(now.Sub(e.lastToken)))
	}
	e.lastToken = now
}

// classifyCompletion sets the outcome by comparing a model's answer with the one
// that the prompt determines. err is the error from reading the answer.
func (e *exchange) classifyCompletion(f *swscenario.Flow, err error) {
	want := swanswer.Text(e.prompt, f.Model.MaxTokens)
	got := e.received.String()
	switch {
	case !strings.HasPrefix(want, got):
		e.fail(OutcomeWrong, "content")
	case e.reportedError != nil:
		e.failWithDetail(e.reportedError, 0)
	case err != nil:
		e.fail(OutcomeUnknown, "broken")
	case !e.terminated || got != want:
		e.fail(OutcomeTruncated, "short")
	default:
		e.result.Outcome = OutcomeAnswered
	}
}
