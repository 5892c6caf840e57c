package swstore

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxPartBytes is the largest part; it is far below swobject.MaxValueBytes
	// so that several parts fit into one message between hosts.
	MaxPartBytes = 128 << 10
	// minPartBytes is the smallest part, but for the last.
	minPartBytes = 16 << 10
	// cutEvery is the mean number of lines between two places to cut.
	cutEvery = 128
)

// PartHash is the SHA-256 of a part, which names it.
type PartHash [sha256.Size]byte

// HashPart returns a part's name.
func HashPart(data []byte) PartHash { return sha256.Sum256(data) }

// String returns the hash in hexadecimal.
func (h PartHash) String() string { return hex.EncodeToString(h[:]) }

// Part names one part of a document.
type Part struct {
	Hash PartHash
	Size int
}

// Cut splits a document into parts at ends of lines that the lines' content
// selects. A change of a few lines therefore changes a few parts only.
func Cut(document []byte) [][]byte {
	var parts [][]byte
	for len(document) > 0 {
		n := cutLength(document)
		parts = append(parts, document[:n])
		document = document[n:]
	}
	return parts
}

// cutLength returns the length of a document's first part.
func cutLength(document []byte) int {
	n := 0
	for n < len(document) {
		length := bytes.IndexByte(document[n:], '\n') + 1
		if length == 0 {
			length = len(document) - n
		}
		if n+length > MaxPartBytes {
			break
		}
		line := document[n : n+length]
		n += length
		if n >= minPartBytes && xxhash.Sum64(line)%cutEvery == 0 {
			return n
		}
	}
	if n == 0 { // one line longer than a part
		return min(len(document), MaxPartBytes)
	}
	return n
}
