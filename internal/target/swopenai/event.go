package swopenai

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// event holds the fields that the adapter reads of a stream event or of a complete JSON answer.
type event struct {
	Choices []choice   `json:"choices"`
	Usage   *wireUsage `json:"usage"`
	Error   *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// choice is one entry of an event's choices, with the text that it adds.
type choice struct {
	Text  string `json:"text"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
}

// tokens counts one token for each choice that has text.
func (e *event) tokens() swid.Tokens {
	var n swid.Tokens
	for _, c := range e.Choices {
		if c.Text != "" || c.Delta.Content != "" {
			n++
		}
	}
	return n
}

// Byte patterns with which parseEvent reads most events without decoding them.
// They cannot occur inside a JSON string, where a quotation mark is escaped.
var (
	usageKey      = []byte(`"usage"`)
	nullUsage     = []byte(`"usage":null`)
	errorKey      = []byte(`"error"`)
	contentPrefix = []byte(`"content":"`)
	textPrefix    = []byte(`"text":"`)
)

// parseEvent parses an event and counts its tokens. An event that has text and
// neither usage nor an error, as most events do, is validated but not decoded.
func parseEvent(data []byte) (event, swid.Tokens, error) {
	textOnly := !bytes.Contains(data, errorKey) && bytes.Count(data, usageKey) == bytes.Count(data, nullUsage)
	if n := countTexts(data, contentPrefix) + countTexts(data, textPrefix); textOnly && n > 0 {
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

// countTexts counts the non-empty JSON strings that follow prefix in data.
func countTexts(data, prefix []byte) swid.Tokens {
	var n swid.Tokens
	for {
		_, rest, found := bytes.Cut(data, prefix)
		if !found {
			return n
		}
		if len(rest) > 0 && rest[0] != '"' {
			n++
		}
		data = rest
	}
}

// wireUsage is the token usage that the engine reports for a request.
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
