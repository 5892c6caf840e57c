package swlink

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/peer/swcodec"
)

// maxRetainedBytes is the size in bytes of the largest read buffer that a link reuses for its next frame.
const maxRetainedBytes = 16 << 10

// appendFrame appends payload to buffer, preceded by its length as a varint.
func appendFrame(buffer, payload []byte) []byte {
	buffer = binary.AppendUvarint(buffer, uint64(len(payload)))
	return append(buffer, payload...)
}

// frameReader reads frames from a stream.
type frameReader struct {
	stream *bufio.Reader
	buffer []byte
}

// newFrameReader returns a reader with a small buffer, because a host has many links and most are idle.
func newFrameReader(stream io.Reader) *frameReader {
	return &frameReader{stream: bufio.NewReaderSize(stream, 1<<10)}
}

// read returns the next batch. It returns io.EOF only if the stream ends between two frames.
func (r *frameReader) read() (swcodec.Batch, error) {
	size, err := binary.ReadUvarint(r.stream)
	if err != nil {
		return swcodec.Batch{}, err
	}
	if size > swcodec.MaxFrameBytes {
		return swcodec.Batch{}, errors.Wrapf(swcodec.ErrTooLarge, "%d bytes", size)
	}
	frame := r.buffer
	if uint64(cap(frame)) < size {
		frame = make([]byte, size)
	}
	frame = frame[:size]
	if size <= maxRetainedBytes {
		r.buffer = frame
	}
	if _, err := io.ReadFull(r.stream, frame); err != nil {
		return swcodec.Batch{}, errors.Wrap(err, "read frame")
	}
	return swcodec.Decode(frame)
}

// isMalformed reports whether err means that a frame is invalid, as opposed to
// the connection being broken.
func isMalformed(err error) bool {
	var field *swcodec.FieldError
	return errors.As(err, &field) || errors.Is(err, swcodec.ErrMalformed) ||
		errors.Is(err, swcodec.ErrTooLarge) || errors.Is(err, swcodec.ErrUnknownMessage)
}
