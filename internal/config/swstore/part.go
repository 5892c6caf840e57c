package swstore

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxPartBytes is the maximum size of a part. It is far below
	// swobject.MaxValueBytes, the limit of a stored object, and swcodec.MaxFrameBytes,
	// so that several parts fit into one message between hosts.
	MaxPartBytes = 128 << 10
	// minPartBytes is the size below which a part does not end at a line that is
	// selected by its hash (see Split).
	minPartBytes = 16 << 10
	// meanLinesBetweenEnds is the mean number of lines from one possible end of a part to the next.
	meanLinesBetweenEnds = 128
)

// PartHash is the SHA-256 of a part, of a page of earlier changes, or of a whole
// document. The key of the object that stores a part or a page contains it.
type PartHash [sha256.Size]byte

// HashPart returns the hash of a part, a page or a document.
func HashPart(data []byte) PartHash { return sha256.Sum256(data) }

// String returns the hash in hexadecimal.
func (h PartHash) String() string { return hex.EncodeToString(h[:]) }

// Part is the entry of one part in a Head.
type Part struct {
	Hash PartHash
	Size int
}

// Split divides a document into parts (content-defined chunking). A part ends after
// a line that is selected by the line's own hash, or before the line that would make
// the part larger than MaxPartBytes. A change of a few lines therefore changes only a
// few parts. A single line longer than MaxPartBytes is split.
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
		if n >= minPartBytes && xxhash.Sum64(line)%meanLinesBetweenEnds == 0 {
			return n
		}
	}
	if n == 0 { // one line longer than a part
		return min(len(document), MaxPartBytes)
	}
	return n
}
