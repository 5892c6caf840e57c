// Package swprompt renders prompts to text and hashes their prefixes.
package swprompt

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swprefix"
)

// BytesPerToken is the assumed size of a token in bytes, by which the tokens of a
// prompt are estimated.
const BytesPerToken = 4

// Message is one message of a chat.
type Message struct {
	Role    string
	Content string
}

// Render joins the messages of a chat in such a way that the text of a chat is a
// prefix of the text of every chat that continues it.
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

// BlockHashes returns the hashes of the prompt's prefixes at every multiple of
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

// Sample returns the hashes of a prompt's prefixes at the depths of package
// swprefix, so that prompts of different lengths that share a prefix share its hashes.
func Sample(hashes []swid.PrefixHash) []swid.PrefixHash {
	sampled := make([]swid.PrefixHash, 0, swprefix.MaxHashes)
	for i := range swprefix.MaxHashes {
		depth := swprefix.Depth(i)
		if depth > len(hashes) {
			break
		}
		sampled = append(sampled, hashes[depth-1])
	}
	return sampled
}

// Fingerprint returns the hash that identifies a request's content within a service, or within all
// services if service is empty. The content is the parts one after the other.
func Fingerprint(service swid.ServiceID, parts ...[]byte) swid.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(service)) // never fails
	_, _ = d.Write([]byte{0})
	for _, p := range parts {
		_, _ = d.Write(p)
	}
	return swid.Fingerprint(d.Sum64())
}
