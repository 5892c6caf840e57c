// Package swcodec converts the typed messages between entry hosts to their protobuf
// form and back, and rejects malformed input.
package swcodec

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/peer/swpb"
)

// Limits of one frame. They bound what a receiver allocates for a sender.
const (
	// MaxFrameBytes leaves room for the largest value that the platform stores, which is
	// 1 MiB, and for the fields around it.
	MaxFrameBytes = 1<<20 + 256
	// MaxMessages bounds the number of messages in one frame.
	MaxMessages = 1024
	// MaxTextBytes bounds the length of a name or an address.
	MaxTextBytes = 512
	// MaxPrefixes bounds the prefix hashes of one grant request.
	MaxPrefixes = 4096
	// MaxPromptParts bounds the prompt parts of one grant request.
	MaxPromptParts = 1024
	// MaxAmounts bounds the amounts of one registration.
	MaxAmounts = 16384
	// MaxStrikes bounds the strikes of one registration.
	MaxStrikes = 256
	// MaxRateLimits bounds the rate limits of one registration.
	MaxRateLimits = 4096
	// MaxBegunStreams bounds the streams of one registration.
	MaxBegunStreams = 1024
	// MaxOutcomes bounds the ends of attempts of one registration.
	MaxOutcomes = 256
	// MaxServices bounds the services in a list of one message.
	MaxServices = 4096
	// MaxReached bounds the targets of one registration that the sender can reach again.
	MaxReached = 256
	// MaxStoreKinds bounds the kinds of objects in one state of the store.
	MaxStoreKinds = 16
	// MaxListedTargets bounds the targets in a list.
	MaxListedTargets = 4096
	// MaxExclude bounds the excluded targets of one grant request.
	MaxExclude = 256
	// MaxMemberUpdates bounds the membership updates of one heartbeat.
	MaxMemberUpdates = 512
	// MaxDocumentParts bounds the parts of an environment document in one message.
	MaxDocumentParts = 4096
)

// Batch is the content of one frame: messages in order, and the link's round-trip probes.
type Batch struct {
	Messages []swmsg.Message
	// Probe requests a batch whose ProbeReply has the same number; 0 requests nothing.
	Probe uint64
	// ProbeReply answers the probe with that number; 0 answers none.
	ProbeReply uint64
}

var (
	// ErrTooLarge means that a frame exceeds its limit of bytes or of messages.
	ErrTooLarge = errors.New("frame limit exceeded")
	// ErrMalformed means that a frame is not a protobuf batch.
	ErrMalformed = errors.New("malformed frame")
	// ErrUnknownMessage means that a message has no kind, or one that this version does not support.
	ErrUnknownMessage = errors.New("unknown kind of message")
)

// FieldError reports a field whose value is out of range.
type FieldError struct {
	// Message is the name of the protobuf oneof field that holds the message. Field is the
	// name of a protobuf field of that message or of one nested in it.
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

// Size returns the encoded size of a message within a batch. It does not check the fields.
func Size(m swmsg.Message) (int, error) {
	w, err := encode(m)
	if err != nil {
		return 0, err
	}
	return proto.Size(&swpb.Batch{Messages: []*swpb.Message{w}}), nil
}

// Decode decodes a batch and checks its limits and the fields of its messages.
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

// DecodeStatement decodes what an answer says of the requests that its target takes; nil stands for no answer.
func DecodeStatement(w *swpb.RateLimit) (swlimit.Statement, error) {
	c := &checker{message: "rateLimit"}
	s := statement(c, w)
	return s, c.err
}
