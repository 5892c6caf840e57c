package swengine

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swprompt"
	"github.com/sassafraswing/sassafraswing/internal/stand/swanswer"
	"github.com/sassafraswing/sassafraswing/internal/stand/swreply"
)

// requestBody holds the fields of the OpenAI API that the engine reads.
type requestBody struct {
	Model               string          `json:"model"`
	Messages            []messageBody   `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type messageBody struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type partBody struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// answerBody is a whole answer, or one event of a stream.
type answerBody struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceBody `json:"choices"`
	Usage   *usageBody   `json:"usage,omitempty"`
}

type choiceBody struct {
	Index        int          `json:"index"`
	Delta        *contentBody `json:"delta,omitempty"`
	Message      *contentBody `json:"message,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type contentBody struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type usageBody struct {
	PromptTokens     int64             `json:"prompt_tokens"`
	CompletionTokens int64             `json:"completion_tokens"`
	TotalTokens      int64             `json:"total_tokens"`
	PromptDetails    promptDetailsBody `json:"prompt_tokens_details"`
}

type promptDetailsBody struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// parseCall reads a request. Every error means that the request is invalid.
func parseCall(w http.ResponseWriter, r *http.Request, chat bool) (call, error) {
	var body requestBody
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, swreply.MaxRequestBytes))
	if err := d.Decode(&body); err != nil {
		return call{}, errors.Wrap(err, "decode request body")
	}
	prompt, err := body.render(chat)
	if err != nil {
		return call{}, err
	}
	if body.MaxTokens < 0 || body.MaxCompletionTokens < 0 {
		return call{}, errors.New("the token limit is negative")
	}
	return call{
		chat:   chat,
		stream: body.Stream,
		usage:  body.StreamOptions.IncludeUsage,
		model:  body.Model,
		prompt: prompt,
		output: swanswer.Length(prompt, max(body.MaxTokens, body.MaxCompletionTokens)),
	}, nil
}

func (b *requestBody) render(chat bool) (string, error) {
	if !chat {
		var prompt string
		if err := json.Unmarshal(b.Prompt, &prompt); err != nil {
			return "", errors.Wrap(err, "decode prompt")
		}
		return prompt, nil
	}
	if len(b.Messages) == 0 {
		return "", errors.New("there are no messages")
	}
	messages := make([]swprompt.Message, 0, len(b.Messages))
	for _, m := range b.Messages {
		content, err := m.text()
		if err != nil {
			return "", err
		}
		messages = append(messages, swprompt.Message{Role: m.Role, Content: content})
	}
	return swprompt.Render(messages), nil
}

// text returns the content, which is a string or a list of parts.
func (m *messageBody) text() (string, error) {
	var text string
	if err := json.Unmarshal(m.Content, &text); err == nil {
		return text, nil
	}
	var parts []partBody
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", errors.Wrap(err, "decode message content")
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

// source holds the id and the prompt from which an answer is generated: the call's
// own or, under the crossAnswers fault, those of another call.
type source struct {
	id     swid.RequestID
	prompt string
}

const finishReasonStop = "stop"

// eventBody returns the i-th data event of a call's stream.
func (c call) eventBody(s source, u usageBody, i int) answerBody {
	switch {
	case i < c.output:
		return c.newAnswerBody(s, c.deltaChoice(swanswer.Token(s.prompt, i), i == 0))
	case i == c.output:
		reason := finishReasonStop
		choice := choiceBody{FinishReason: &reason}
		if c.chat {
			choice.Delta = &contentBody{}
		} else {
			choice.Text = new(string)
		}
		return c.newAnswerBody(s, choice)
	default:
		a := c.newAnswerBody(s)
		a.Usage = &u
		return a
	}
}

func (c call) deltaChoice(token string, first bool) choiceBody {
	if !c.chat {
		return choiceBody{Text: &token}
	}
	delta := &contentBody{Content: &token}
	if first {
		delta.Role = "assistant"
	}
	return choiceBody{Delta: delta}
}

// wholeBody returns the answer of a call that is not streamed.
func (c call) wholeBody(s source, u usageBody) answerBody {
	var b strings.Builder
	for i := range c.output {
		b.WriteString(swanswer.Token(s.prompt, i))
	}
	text, reason := b.String(), finishReasonStop
	choice := choiceBody{FinishReason: &reason}
	if c.chat {
		choice.Message = &contentBody{Role: "assistant", Content: &text}
	} else {
		choice.Text = &text
	}
	a := c.newAnswerBody(s, choice)
	a.Usage = &u
	if c.chat {
		a.Object = "chat.completion"
	}
	return a
}

func (c call) newAnswerBody(s source, choices ...choiceBody) answerBody {
	a := answerBody{ID: "cmpl-" + string(s.id), Object: "text_completion", Model: c.model, Choices: choices}
	if c.chat {
		a.ID, a.Object = "chatcmpl-"+string(s.id), "chat.completion.chunk"
	}
	if a.Choices == nil {
		a.Choices = []choiceBody{}
	}
	return a
}
