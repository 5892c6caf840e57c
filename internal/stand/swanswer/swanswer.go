// Package swanswer computes the answers of the engine stand-in. An answer depends
// only on the prompt and the token limit, so a load tool can compute the expected
// answer to each of its requests.
package swanswer

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultTokens is the token limit of a request that sets none.
const DefaultTokens = 32

// Hash returns a hash that identifies a prompt.
func Hash(prompt string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(prompt)) }

// Length returns the number of tokens of the answer: at least half of the limit
// and at most all of it. A limit of 0 or less means DefaultTokens.
func Length(prompt string, limit int) int {
	if limit <= 0 {
		limit = DefaultTokens
	}
	return limit - int(xxhash.Sum64String(prompt)%uint64(limit/2+1))
}

// Token returns the i-th token of the answer, from 0.
func Token(prompt string, i int) string { return token(xxhash.Sum64String(prompt), i) }

func token(seed uint64, i int) string {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(i))
	return fmt.Sprintf("%05x ", xxhash.Sum64(key[:])&0xfffff)
}

// Text returns the whole answer.
func Text(prompt string, limit int) string {
	seed := xxhash.Sum64String(prompt)
	var b strings.Builder
	for i := range Length(prompt, limit) {
		b.WriteString(token(seed, i))
	}
	return b.String()
}
