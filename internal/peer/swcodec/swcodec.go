// Package swcodec maps the typed messages between entry hosts to their protobuf
// form and back, and rejects malformed input.
package swcodec

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/peer/swpb"
)

// Limits of one frame. They bound what a receiver allocates for a sender.
const (
	// MaxFrameBytes holds the largest value of the platform and the fields round it.
	MaxFrameBytes = 1<<20 + 256
	// MaxMessages bounds the messages of one frame.
	MaxMessages = 1024
	// MaxTextBytes bounds a name or an address.
	MaxTextBytes = 512
	// MaxPrefixes bounds the prefix hashes of one ask.
	MaxPrefixes = 4096
	// MaxPromptParts bounds the prompt parts of one ask.
	MaxPromptParts = 1024
	// MaxAmounts bounds the amounts of one message of an attached host.
	MaxAmounts = 16384
	// MaxExclude bounds the excluded targets of one ask.
	MaxExclude = 256
	// MaxRumors bounds the rumors of one heartbeat.
	MaxRumors = 512
	// MaxParts bounds the parts of an environment document in one message.
	MaxParts = 4096
)

// Batch is one frame: messages in order, and the link's own round-trip probes.
type Batch struct {
	Messages []swmsg.Message
	// Probe asks for a batch whose ProbeReply has the same number; 0 asks for nothing.
	Probe uint64
	// ProbeReply answers the probe of that number; 0 answers none.
	ProbeReply uint64
}

var (
	// ErrTooLarge means that a frame or one of its parts is over its limit.
	ErrTooLarge = errors.New("over the limit of a frame")
	// ErrMalformed means that a frame is not a protobuf batch.
	ErrMalformed = errors.New("malformed frame")
	// ErrUnknownMessage means that a message has no kind, or one that this version does not know.
	ErrUnknownMessage = errors.New("unknown kind of message")
)

// FieldError tells that a field has a value outside its range.
type FieldError struct {
	// Message and Field name the field as in the protobuf source.
	Message string
	Field   string
}

// Error implements error.
func (e *FieldError) Error() string {
	return "message " + e.Message + ": field " + e.Field + " is out of range"
}

// Append appends the encoded batch to a buffer.
func Append(buffer []byte, b Batch) ([]byte, error) {
	wire := &swpb.Batch{Probe: b.Probe, ProbeReply: b.ProbeReply}
	for _, m := range b.Messages {
		w, err := encode(m)
		if err != nil {
			return buffer, err
		}
		wire.Messages = append(wire.Messages, w)
	}
	if size := proto.Size(wire); size > MaxFrameBytes {
		return buffer, errors.Wrapf(ErrTooLarge, "%d bytes", size)
	}
	out, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(buffer, wire)
	return out, errors.Wrap(err, "encode batch")
}

// Size returns the encoded size of a message within a batch, without checking its fields.
func Size(m swmsg.Message) (int, error) {
	w, err := encode(m)
	if err != nil {
		return 0, err
	}
	return proto.Size(&swpb.Batch{Messages: []*swpb.Message{w}}), nil
}

// Decode reads a batch and checks every field of it.
func Decode(frame []byte) (Batch, error) {
	if len(frame) > MaxFrameBytes {
		return Batch{}, errors.Wrapf(ErrTooLarge, "%d bytes", len(frame))
	}
	var wire swpb.Batch
	if err := proto.Unmarshal(frame, &wire); err != nil {
		return Batch{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if n := len(wire.Messages); n > MaxMessages {
		return Batch{}, errors.Wrapf(ErrTooLarge, "%d messages", n)
	}
	b := Batch{Probe: wire.Probe, ProbeReply: wire.ProbeReply}
	for _, w := range wire.Messages {
		m, err := decode(w)
		if err != nil {
			return Batch{}, err
		}
		b.Messages = append(b.Messages, m)
	}
	return b, nil
}
