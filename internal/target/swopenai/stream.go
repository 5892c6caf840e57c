package swopenai

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/target/swhttp"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// streamBufferBytes is the size of a stream's read buffer.
const streamBufferBytes = 4 << 10

var (
	dataField  = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// stream is a streamed answer. Each of its chunks is one server-sent event.
type stream struct {
	response *swhttp.Response
	limits   Limits
	reader   *bufio.Reader
	usage    swtarget.Usage
	// buffer holds the bytes of the event that Next returned last.
	buffer []byte
	// err is the result of every further call to Next once the stream has ended.
	err error
}

func newStream(response *swhttp.Response, limits Limits) *stream {
	return &stream{response: response, limits: limits, reader: bufio.NewReaderSize(response, streamBufferBytes)}
}

// Status implements swtarget.Answer.
func (s *stream) Status() int { return s.response.Status }

// Header implements swtarget.Answer.
func (s *stream) Header() http.Header {
	return swtarget.MediaType(s.response.Header.Get("Content-Type"))
}

// Statement implements swtarget.Answer. These targets say nothing of it.
func (*stream) Statement() swlimit.Statement { return swlimit.Statement{} }

// Usage implements swtarget.Answer.
func (s *stream) Usage() swtarget.Usage { return s.usage }

// Close implements swtarget.Answer.
func (s *stream) Close() error { return s.response.Close() }

// Next implements swtarget.Answer. The terminal marker is the last chunk.
func (s *stream) Next() (swtarget.Chunk, error) {
	if s.err != nil {
		return swtarget.Chunk{}, s.err
	}
	data, err := s.readEvent()
	if err != nil {
		s.err = s.response.AttemptError(err)
		return swtarget.Chunk{}, s.err
	}
	if bytes.Equal(data, doneMarker) {
		s.err = io.EOF
		return swtarget.Chunk{Data: s.buffer}, nil
	}
	e, tokens, err := parseEvent(data)
	if err != nil {
		s.err = s.response.AttemptError(errors.Wrap(err, "event is not JSON"))
		return swtarget.Chunk{}, s.err
	}
	if e.Error != nil {
		s.err = s.response.AttemptError(errors.Errorf("engine ended the stream: %s", e.Error.Message))
		return swtarget.Chunk{}, s.err
	}
	if e.Usage != nil {
		s.usage = e.Usage.usage()
	}
	s.response.RestartTimeout(s.limits.Event)
	return swtarget.Chunk{Data: s.buffer, Tokens: tokens, Events: 1}, nil
}

// readEvent reads an event into s.buffer, up to and including the empty line
// that ends it, and returns its data. It skips events without data, such as
// keep-alive comments, and does not count them as progress.
func (s *stream) readEvent() ([]byte, error) {
	s.buffer = s.buffer[:0]
	var data []byte
	for {
		line, err := s.readLine()
		if err != nil {
			return nil, err
		}
		switch {
		case len(line) > 0:
			if field, ok := bytes.CutPrefix(line, dataField); ok {
				if data != nil {
					data = append(data, '\n')
				}
				data = append(data, bytes.TrimSpace(field)...)
			}
		case data != nil:
			return data, nil
		default:
			s.buffer = s.buffer[:0]
		}
	}
}

// readLine appends a line to s.buffer and returns it without its line ending.
func (s *stream) readLine() ([]byte, error) {
	start := len(s.buffer)
	for {
		part, err := s.reader.ReadSlice('\n')
		if len(s.buffer)+len(part) > s.limits.EventBytes {
			return nil, swhttp.ErrTooLarge
		}
		s.buffer = append(s.buffer, part...)
		if err == nil {
			return bytes.TrimRight(s.buffer[start:], "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}
