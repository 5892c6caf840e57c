package swcaller

import (
	"encoding/json"
	"net/http"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swprompt"
	"github.com/sassafraswing/sassafraswing/internal/holder/swholder"
)

// wireCompletion has the fields of an OpenAI request that scheduling needs; the
// target is given the caller's own bytes.
type wireCompletion struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []wireMessage   `json:"messages"`
	MaxTokens           int64           `json:"max_tokens"`
	MaxCompletionTokens int64           `json:"max_completion_tokens"`
}

type wireMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type wirePart struct {
	Text string `json:"text"`
}

// completion is a parsed request to a model.
type completion struct {
	model        swid.ServiceID
	stream       bool
	prompt       string
	outputTokens swid.Tokens // 0: the service's default
}

func parseCompletion(body []byte) (*completion, *Error) {
	var w wireCompletion
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, invalid(http.StatusBadRequest, "invalidJson", "the body is not the expected JSON: "+err.Error())
	}
	if w.Model == "" {
		return nil, invalid(http.StatusBadRequest, "missingModel", "the field model is missing")
	}
	if w.MaxTokens < 0 || w.MaxCompletionTokens < 0 {
		return nil, invalid(http.StatusBadRequest, "invalidLimit", "max_tokens must not be negative")
	}
	c := &completion{
		model:        swid.ServiceID(w.Model),
		stream:       w.Stream,
		outputTokens: swid.Tokens(max(w.MaxTokens, w.MaxCompletionTokens)),
	}
	if len(w.Messages) > 0 {
		c.prompt = swprompt.Render(messagesOf(w.Messages))
	} else {
		c.prompt = textOf(w.Prompt)
	}
	if c.prompt == "" {
		return nil, invalid(http.StatusBadRequest, "missingPrompt", "the request has neither messages nor a prompt")
	}
	return c, nil
}

func messagesOf(wire []wireMessage) []swprompt.Message {
	messages := make([]swprompt.Message, 0, len(wire))
	for _, m := range wire {
		messages = append(messages, swprompt.Message{Role: m.Role, Content: textOf(m.Content)})
	}
	return messages
}

// textOf reads a string or a list of parts; content of any other kind counts by its JSON form.
func textOf(raw json.RawMessage) string {
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return text
	}
	var parts []wirePart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return string(raw)
	}
	for _, p := range parts {
		text += p.Text
	}
	return text
}

// fill completes a request to a model.
func (c *completion) fill(r *swholder.Request, s *swdoc.Service, path string, body []byte) {
	r.PromptTokens = swprompt.Tokens(c.prompt)
	r.OutputTokens = c.outputTokens
	if r.OutputTokens == 0 {
		r.OutputTokens = s.OutputTokens
	}
	r.Prefix = swprompt.Sample(swprompt.BlockHashes(c.prompt))
	r.Fingerprint = swprompt.Fingerprint(s.ID, body)
	r.Call.Method = http.MethodPost
	r.Call.Path = path
	r.Call.ContentType = "application/json"
	r.Call.Body = body
	r.Call.Stream = c.stream
}
