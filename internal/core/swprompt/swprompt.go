// Package swprompt renders prompts to bytes and hashes their prefixes.
package swprompt

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// BytesPerToken is the size by which a prompt's tokens are estimated.
	BytesPerToken = 4
	// MaxHashes bounds the prefix hashes of one request.
	MaxHashes = 32
)

// Message is one message of a chat.
type Message struct {
	Role    string
	Content string
}

// Render joins the messages of a chat, so that a chat that continues another
// shares its prefix.
func Render(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Tokens estimates the number of tokens of a rendered prompt, rounding up.
func Tokens(prompt string) swid.Tokens {
	return swid.Tokens((len(prompt) + BytesPerToken - 1) / BytesPerToken)
}

// BlockHashes hashes the prompt's prefixes at every multiple of
// swcell.PrefixBlock tokens, shortest first.
func BlockHashes(prompt string) []swid.PrefixHash {
	const blockBytes = int(swcell.PrefixBlock) * BytesPerToken
	hashes := make([]swid.PrefixHash, 0, len(prompt)/blockBytes)
	var d xxhash.Digest
	d.Reset()
	for len(prompt) >= blockBytes {
		_, _ = d.WriteString(prompt[:blockBytes]) // never fails
		hashes = append(hashes, swid.PrefixHash(d.Sum64()))
		prompt = prompt[blockBytes:]
	}
	return hashes
}

// Sample keeps at most MaxHashes of a prompt's hashes, at block counts that
// grow geometrically: all of the short prefixes, fewer of the long ones, and the
// longest. SampleIndex gives the block count of each.
func Sample(hashes []swid.PrefixHash) []swid.PrefixHash {
	if len(hashes) <= MaxHashes {
		return hashes
	}
	sampled := make([]swid.PrefixHash, 0, MaxHashes)
	for i := range MaxHashes {
		sampled = append(sampled, hashes[SampleIndex(i, len(hashes))-1])
	}
	return sampled
}

// SampleIndex returns how many blocks the i-th of the sampled hashes covers, of total blocks.
func SampleIndex(i, total int) int {
	if total <= MaxHashes {
		return i + 1
	}
	// Linear over the prompt: the error of an estimated overlap is at most one step.
	return (i + 1) * total / MaxHashes
}

// Fingerprint identifies a request's content within its service.
func Fingerprint(service swid.ServiceID, body []byte) swid.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(service)) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return swid.Fingerprint(d.Sum64())
}
