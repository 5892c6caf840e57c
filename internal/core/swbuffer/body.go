package swbuffer

import "bytes"

// Sizes of the segments of a body.
const (
	minSegmentBytes = 512
	maxSegmentBytes = 16 << 10
)

// Body is the body of an answer. It grows by segments rather than by copying, so that it never takes much more memory than
// it has bytes. The zero value is an empty body without an account.
type Body struct {
	account  *Account
	segments [][]byte
	// length is the number of bytes, reserved the capacity of all segments, which the account holds.
	length, reserved int
}

// NewBody returns an empty body whose bytes the account holds.
func NewBody(a *Account) *Body { return &Body{account: a} }

// Len returns the number of bytes.
func (b *Body) Len() int { return b.length }

// Append copies data to the end of the body. After an error the body has part of it.
func (b *Body) Append(data []byte) error {
	for len(data) > 0 {
		last := len(b.segments) - 1
		if last < 0 || len(b.segments[last]) == cap(b.segments[last]) {
			size := min(max(len(data), b.length, minSegmentBytes), maxSegmentBytes)
			if err := b.account.Reserve(size); err != nil {
				return err
			}
			b.reserved += size
			b.segments = append(b.segments, make([]byte, 0, size))
			continue
		}
		segment := b.segments[last]
		n := min(len(data), cap(segment)-len(segment))
		b.segments[last] = append(segment, data[:n]...)
		b.length += n
		data = data[n:]
	}
	return nil
}

// Segments returns the bytes in order. They must not be modified.
func (b *Body) Segments() [][]byte { return b.segments }

// Bytes returns a copy of the bytes, which the account does not hold.
func (b *Body) Bytes() []byte { return bytes.Join(b.segments, nil) }

// Release empties the body.
func (b *Body) Release() {
	b.account.Release(b.reserved)
	*b = Body{account: b.account}
}
