package swcaller

import (
	"maps"
	"net/http"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// sink writes an answer to the caller's connection. A caller that reads too slowly is
// treated as disconnected, so that it does not occupy a target's slot.
type sink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	timeout    swclock.Millis
	// stream is true if a successful answer is streamed.
	stream bool
	// once is set if the request must not run twice.
	once bool
	// bounded is set once the write deadline of an answer that is not streamed is set.
	bounded bool
}

// Begin implements swholder.Sink.
func (s *sink) Begin(status int, header http.Header) error {
	maps.Copy(s.writer.Header(), header)
	if s.once && status >= http.StatusBadRequest {
		s.writer.Header().Set(headerShouldRetry, "false") // client libraries repeat a request by its status
	}
	s.stream = s.stream && status < http.StatusMultipleChoices
	s.writer.WriteHeader(status)
	return nil
}

// Write implements swholder.Sink.
func (s *sink) Write(data []byte) error {
	if s.stream || !s.bounded {
		if err := s.controller.SetWriteDeadline(time.Now().Add(s.timeout.Duration())); err != nil {
			return err
		}
		s.bounded = true
	}
	if _, err := s.writer.Write(data); err != nil {
		return err
	}
	return s.controller.Flush()
}
