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

// exchange is a request and the answer so far.
type exchange struct {
	due    time.Time
	result Result
	// prompt decides the answer of a model, wantBody that of a plain service.
	prompt   string
	wantBody string

	text strings.Builder
	last time.Time
	// ended tells that the answer's terminal marker came.
	ended bool
	// broken holds the error event that ended a stream, nil if none came.
	broken *errorDetail
}

// errorBody is the error form of the callers' interface.
type errorBody struct {
	Error *errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// answerBody is a whole answer, or an event of a stream.
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

// echoBody is the answer of a plain service.
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

// read reads and judges a response.
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
		err = e.readWhole(response.Body)
	}
	e.judge(f, err)
}

// readError maps an error answer to an outcome.
func (e *exchange) readError(response *http.Response) {
	var body errorBody
	data, err := drain(response.Body)
	if err != nil || json.Unmarshal(data, &body) != nil || body.Error == nil {
		e.fail(OutcomeUnknown, "status")
		return
	}
	e.failWith(body.Error, response.StatusCode)
}

func (e *exchange) failWith(d *errorDetail, status int) {
	switch {
	case d.Outcome == "notRun" && isRejection(status):
		e.fail(OutcomeRejected, d.Code)
	case d.Outcome == "notRun":
		e.fail(OutcomeNotRun, d.Code)
	default:
		e.fail(OutcomeUnknown, d.Code)
	}
}

// isRejection tells errors of the request itself from those of the moment.
func isRejection(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusRequestEntityTooLarge:
		return true
	}
	return false
}

func (e *exchange) readEcho(f *swscenario.Flow, response *http.Response) {
	data, err := drain(response.Body)
	if err != nil {
		e.fail(OutcomeUnknown, "broken")
		return
	}
	var body echoBody
	if err := json.Unmarshal(data, &body); err != nil {
		e.fail(OutcomeTruncated, "body")
		return
	}
	e.token(time.Now())
	if body.Body != e.wantBody || !strings.HasSuffix(body.Path, f.Plain.Path) ||
		body.RequestID != response.Header.Get("X-Request-Id") {
		e.fail(OutcomeWrong, "content")
		return
	}
	e.result.Outcome = OutcomeAnswered
}

// maxLine bounds a line of a stream.
const maxLine = 1 << 20

func (e *exchange) readStream(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			e.ended = true
			continue
		}
		if err := e.add(data, time.Now()); err != nil {
			return err
		}
	}
	return lines.Err()
}

func (e *exchange) readWhole(body io.Reader) error {
	data, err := drain(body)
	if err != nil {
		return err
	}
	if json.Unmarshal(data, &answerBody{}) == nil {
		e.ended = true
		return e.add(data, time.Now())
	}
	return nil
}

// add takes the tokens of an event or of a whole answer.
func (e *exchange) add(data []byte, now time.Time) error {
	var body answerBody
	if err := json.Unmarshal(data, &body); err != nil {
		return err
	}
	if body.Error != nil {
		e.broken = body.Error
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
			e.text.WriteString(content)
			e.token(now)
		}
	}
	return nil
}

// token records the time of a token.
func (e *exchange) token(now time.Time) {
	if e.last.IsZero() {
		e.result.FirstToken = micros(now.Sub(e.due))
	} else {
		e.result.Gaps = append(e.result.Gaps, micros(now.Sub(e.last)))
	}
	e.last = now
}

// judge compares the answer of a model with the one that the prompt must get.
func (e *exchange) judge(f *swscenario.Flow, err error) {
	want := swanswer.Text(e.prompt, f.Model.MaxTokens)
	got := e.text.String()
	switch {
	case !strings.HasPrefix(want, got):
		e.fail(OutcomeWrong, "content")
	case e.broken != nil:
		e.failWith(e.broken, 0)
	case err != nil:
		e.fail(OutcomeUnknown, "broken")
	case !e.ended || got != want:
		e.fail(OutcomeTruncated, "short")
	default:
		e.result.Outcome = OutcomeAnswered
	}
}
