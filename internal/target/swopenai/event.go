package swopenai

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// event is the part of an engine's JSON that the adapter reads.
type event struct {
	Choices []choice   `json:"choices"`
	Usage   *wireUsage `json:"usage"`
	Error   *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// choice is one of the continuations of an event.
type choice struct {
	Text  string `json:"text"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
}

// tokens counts one token for each continuation that has text.
func (e *event) tokens() swid.Tokens {
	var n swid.Tokens
	for _, c := range e.Choices {
		if c.Text != "" || c.Delta.Content != "" {
			n++
		}
	}
	return n
}

// Parts of an event by which most events are read without decoding them. A
// quotation mark within a JSON string is escaped, so that none of them occurs in one.
var (
	usageName    = []byte(`"usage"`)
	noUsage      = []byte(`"usage":null`)
	errorName    = []byte(`"error"`)
	contentStart = []byte(`"content":"`)
	textStart    = []byte(`"text":"`)
)

// parseEvent reads an event and counts its tokens. An event that carries
// nothing but text, as most do, is only checked and not decoded.
func parseEvent(data []byte) (event, swid.Tokens, error) {
	plain := !bytes.Contains(data, errorName) && bytes.Count(data, usageName) == bytes.Count(data, noUsage)
	if n := countTexts(data, contentStart) + countTexts(data, textStart); plain && n > 0 {
		if !json.Valid(data) {
			return event{}, 0, errors.New("invalid JSON")
		}
		return event{}, n, nil
	}
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return event{}, 0, err
	}
	return e, e.tokens(), nil
}

// countTexts counts the strings after start that are not empty.
func countTexts(data, start []byte) swid.Tokens {
	var n swid.Tokens
	for {
		_, rest, found := bytes.Cut(data, start)
		if !found {
			return n
		}
		if len(rest) > 0 && rest[0] != '"' {
			n++
		}
		data = rest
	}
}

// wireUsage is the engine's own account of a request.
type wireUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	Details          struct {
		CachedTokens int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (u *wireUsage) usage() swtarget.Usage {
	return swtarget.Usage{
		PromptTokens: swid.Tokens(u.PromptTokens),
		OutputTokens: swid.Tokens(u.CompletionTokens),
		CachedTokens: swid.Tokens(u.Details.CachedTokens),
	}
}
