package swcaller

import (
	"encoding/json"
	"net/http"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swprompt"
	"github.com/sassafraswing/sassafraswing/internal/holder/swholder"
)

// wireCompletionRequest has the fields of an OpenAI completion request that scheduling
// needs. The target receives the caller's body unchanged.
type wireCompletionRequest struct {
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

// completionRequest is a parsed completion request.
type completionRequest struct {
	model        swid.ServiceID
	stream       bool
	prompt       string
	outputTokens swid.Tokens // 0: the service's default
}

func parseCompletion(body []byte) (*completionRequest, *Error) {
	var w wireCompletionRequest
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, newNotRunError(http.StatusBadRequest, "invalidJson", "the body is not the expected JSON: "+err.Error())
	}
	if w.Model == "" {
		return nil, newNotRunError(http.StatusBadRequest, "missingModel", "the field model is missing")
	}
	if w.MaxTokens < 0 || w.MaxCompletionTokens < 0 {
		return nil, newNotRunError(http.StatusBadRequest, "invalidLimit", "max_tokens must not be negative")
	}
	c := &completionRequest{
		model:        swid.ServiceID(w.Model),
		stream:       w.Stream,
		outputTokens: swid.Tokens(max(w.MaxTokens, w.MaxCompletionTokens)),
	}
	if len(w.Messages) > 0 {
		c.prompt = swprompt.Render(toMessages(w.Messages))
	} else {
		c.prompt = contentText(w.Prompt)
	}
	if c.prompt == "" {
		return nil, newNotRunError(http.StatusBadRequest, "missingPrompt", "the request has neither messages nor a prompt")
	}
	return c, nil
}

func toMessages(wire []wireMessage) []swprompt.Message {
	messages := make([]swprompt.Message, 0, len(wire))
	for _, m := range wire {
		messages = append(messages, swprompt.Message{Role: m.Role, Content: contentText(m.Content)})
	}
	return messages
}

// contentText returns the text of a JSON string or of a list of parts. Any other
// content is returned as its JSON text.
func contentText(raw json.RawMessage) string {
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

// fillRequest sets the fields of r that are specific to completion requests: the call to
// the target, and the token counts and hashes. For calls of plain services, fillCall does this.
func (c *completionRequest) fillRequest(r *swholder.Request, s *swdoc.Service, path string, body []byte) {
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
