package swroom

import (
	"bytes"
	"sync/atomic"
)

const (
	// freeHeaderBytes is what the header of a request may cost without room: it is part of connectionBytes.
	freeHeaderBytes = 8 << 10
	// headerByteCost and headerLineCost are what a byte and a line of a header take in memory, at most, once the header is parsed and copied
	// for the request: short fields take many times their length.
	headerByteCost = 2
	headerLineCost = 200
)

// Headers bounds what the headers of all requests take, from when they arrive until their requests end. Its methods are safe for concurrent
// use, and take no lock.
type Headers struct {
	capacity int64
	held     atomic.Int64
	refused  atomic.Uint64
}

// NewHeaders returns a room of which nothing is held.
func NewHeaders(capacity int64) *Headers { return &Headers{capacity: capacity} }

// Held returns the bytes that all headers hold.
func (h *Headers) Held() int64 { return h.held.Load() }

// Refused returns the number of headers that found no room.
func (h *Headers) Refused() uint64 { return h.refused.Load() }

// Header is what the header of one connection's request holds. Grow must not be called by several goroutines at once.
type Header struct {
	room *Headers
	// cost is what has arrived, and reserved what of it holds room.
	cost     int64
	reserved atomic.Int64
	closed   atomic.Bool
	// emptyLine is set while the current line has no text after another line, and ended once such a line has ended the header.
	emptyLine, ended bool
}

// Open returns a header of which nothing has arrived. A nil room sets no bound, and returns nil.
func (h *Headers) Open() *Header {
	if h == nil {
		return nil
	}
	return &Header{room: h}
}

// Grow takes room for more bytes of the header, and reports whether there is any. What follows the end of the header takes none.
func (h *Header) Grow(data []byte) bool {
	if h == nil {
		return true
	}
	data = h.untilEnd(data)
	h.cost += headerByteCost*int64(len(data)) + headerLineCost*int64(bytes.Count(data, []byte{'\n'}))
	more := max(h.cost-freeHeaderBytes, 0) - h.reserved.Load()
	if more <= 0 {
		return true
	}
	if h.room.held.Add(more) > h.room.capacity {
		h.room.held.Add(-more)
		h.room.refused.Add(1)
		return false
	}
	h.reserved.Add(more)
	if h.closed.Load() {
		h.release()
	}
	return true
}

// untilEnd returns the leading bytes that belong to the header, which ends with an empty line.
func (h *Header) untilEnd(data []byte) []byte {
	if h.ended {
		return nil
	}
	for i, b := range data {
		switch {
		case b == '\n' && h.emptyLine:
			h.ended = true
			return data[:i+1]
		case b == '\n':
			h.emptyLine = true
		case b != '\r':
			h.emptyLine = false
		}
	}
	return data
}

// Reset gives the room back when the request has ended. The next header begins.
func (h *Header) Reset() {
	if h == nil {
		return
	}
	h.cost, h.emptyLine, h.ended = 0, false, false
	h.release()
}

// Close gives the room back when the connection ends.
func (h *Header) Close() {
	if h == nil {
		return
	}
	h.closed.Store(true)
	h.release()
}

func (h *Header) release() { h.room.held.Add(-h.reserved.Swap(0)) }
