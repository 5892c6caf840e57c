package swstore

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxPartBytes is the maximum size of a part. It is far below
	// swobject.MaxValueBytes so that several parts fit into one message between hosts.
	MaxPartBytes = 128 << 10
	// minPartBytes is the minimum size of a part that ends at a selected line.
	minPartBytes = 16 << 10
	// meanLinesPerCut is the mean number of lines from one possible end of a part to the next.
	meanLinesPerCut = 128
)

// PartHash is the SHA-256 of a part; the key of the part's object contains it.
type PartHash [sha256.Size]byte

// HashPart returns the hash of a part.
func HashPart(data []byte) PartHash { return sha256.Sum256(data) }

// String returns the hash in hexadecimal.
func (h PartHash) String() string { return hex.EncodeToString(h[:]) }

// Part is the entry of one part in a Head.
type Part struct {
	Hash PartHash
	Size int
}

// Split divides a document into parts (content-defined chunking). Unless it reaches
// MaxPartBytes first, a part ends after a line that is selected by its hash, so a
// change of a few lines changes only a few parts.
func Split(document []byte) [][]byte {
	var parts [][]byte
	for len(document) > 0 {
		n := firstPartLength(document)
		parts = append(parts, document[:n])
		document = document[n:]
	}
	return parts
}

// firstPartLength returns the length of the first part of a document.
func firstPartLength(document []byte) int {
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
		if n >= minPartBytes && xxhash.Sum64(line)%meanLinesPerCut == 0 {
			return n
		}
	}
	if n == 0 { // one line longer than a part
		return min(len(document), MaxPartBytes)
	}
	return n
}
