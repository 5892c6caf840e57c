// Package swcarry carries requests of hosts that reach no target themselves. The holder of such a request
// sends it to another host, the carrier, on a further stream of the link between them; the carrier
// sends it to the target and the answer back. The holder keeps the request and decides on its outcome, as if it had sent
// it itself: a carrier sends each request once, ends it when the stream ends, and knows nothing of what
// follows.
package swcarry

import (
	"bufio"
	"encoding/binary"
	"io"
	"net/http"
	"slices"
	"unicode/utf8"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/sassafraswing/sassafraswing/internal/core/swbuffer"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swroom"
	"github.com/sassafraswing/sassafraswing/internal/peer/swcodec"
	"github.com/sassafraswing/sassafraswing/internal/peer/swpb"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

const (
	// maxFrameBytes bounds one frame: the largest answer that is not streamed, and the fields around it.
	maxFrameBytes = 17 << 20
	// maxWriteBytes is the size of the pieces in which frames are written, so that the messages of the link are
	// sent between them.
	maxWriteBytes = 16 << 10
)

// errFrame means that a frame is malformed or too large.
var errFrame = errors.New("malformed frame of a carried request")

// writeFrame writes a message, preceded by its length as a varint.
func writeFrame(w io.Writer, m proto.Message) error {
	size := proto.Size(m)
	if size > maxFrameBytes {
		return errors.Wrapf(errFrame, "%d bytes", size)
	}
	frame := binary.AppendUvarint(make([]byte, 0, size+binary.MaxVarintLen64), uint64(size))
	frame, err := proto.MarshalOptions{}.MarshalAppend(frame, m)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	return writePieces(w, frame)
}

// writePieces writes data in pieces of at most maxWriteBytes.
func writePieces(w io.Writer, data []byte) error {
	for len(data) > 0 {
		n, err := w.Write(data[:min(len(data), maxWriteBytes)])
		if err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// bodyField is the number of the field of swpb.CarriedRequest that has the body.
const bodyField protowire.Number = 11

// writeRequest writes a request as writeFrame does, but without a copy of its body, which is the last field.
func writeRequest(w io.Writer, r *Request) error {
	m := encodeRequest(r)
	m.Body = nil
	var body []byte
	if len(r.Body) > 0 {
		body = protowire.AppendVarint(protowire.AppendTag(nil, bodyField, protowire.BytesType), uint64(len(r.Body)))
	}
	size := proto.Size(m) + len(body) + len(r.Body)
	if size > maxFrameBytes {
		return errors.Wrapf(errFrame, "%d bytes", size)
	}
	frame, err := proto.MarshalOptions{}.MarshalAppend(binary.AppendUvarint(nil, uint64(size)), m)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	if err := writePieces(w, append(frame, body...)); err != nil {
		return err
	}
	return writePieces(w, r.Body)
}

// readRequest reads a request, which takes room as long as the share is open. If there is none, it discards the request and returns
// an error that wraps swroom.ErrNoRoom.
func readRequest(r *bufio.Reader, m *swpb.CarriedRequest, now swclock.Millis, share *swroom.Share) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > maxFrameBytes {
		return errors.Wrapf(errFrame, "%d bytes", size)
	}
	if refused := share.Reserve(now, int(size)); refused != nil {
		// The holder writes the whole request before it reads.
		if _, err := io.CopyN(io.Discard, r, int64(size)); err != nil {
			return err
		}
		return errors.Wrapf(refused, "%d bytes", size)
	}
	if err := share.Complete(); err != nil {
		return err
	}
	frame := make([]byte, size)
	if _, err := io.ReadFull(r, frame); err != nil {
		return errors.Wrap(io.ErrUnexpectedEOF, err.Error())
	}
	if err := proto.Unmarshal(frame, m); err != nil {
		return errors.Wrap(errFrame, err.Error())
	}
	return nil
}

// readFrame reads a message. It returns io.EOF only if the stream ends between two frames.
func readFrame(r *bufio.Reader, m proto.Message) error {
	_, err := readHeldFrame(r, m, nil)
	return err
}

// readHeldFrame is like readFrame. It returns the size of the message, which the account holds unless there is an error.
func readHeldFrame(r *bufio.Reader, m proto.Message, buffer *swbuffer.Account) (held int, err error) {
	announced, err := binary.ReadUvarint(r)
	if err != nil {
		return 0, err
	}
	if announced > maxFrameBytes {
		return 0, errors.Wrapf(errFrame, "%d bytes", announced)
	}
	size := int(announced)
	// The frame and the message are there at the same time.
	if err := buffer.Reserve(2 * size); err != nil {
		return 0, err
	}
	defer buffer.Release(size)
	frame := make([]byte, size)
	if _, err := io.ReadFull(r, frame); err != nil {
		buffer.Release(size)
		return 0, errors.Wrap(io.ErrUnexpectedEOF, err.Error())
	}
	if err := proto.Unmarshal(frame, m); err != nil {
		buffer.Release(size)
		return 0, errors.Wrap(errFrame, err.Error())
	}
	return size, nil
}

// Request is a request that is carried. One without a Target is not sent: it asks whether the carrier reaches the target whose ID
// is in Path. An earlier build refuses it, as no such target is listed, and concludes nothing for any target.
type Request struct {
	Target swid.TargetID
	// Cell is that of the target, for the log.
	Cell swid.CellID
	swtarget.Request
}

func encodeRequest(r *Request) *swpb.CarriedRequest {
	return &swpb.CarriedRequest{
		Target: string(r.Target), Id: []byte(r.ID), Cell: string(r.Cell), Attempt: uint32(r.Attempt), Org: string(r.Org),
		Method: []byte(r.Method), Path: []byte(r.Path), Host: []byte(r.Host), Header: encodeHeader(r.Header), ContentType: []byte(r.ContentType),
		Body: r.Body, Stream: r.Stream, IdempotencyKey: []byte(r.IdempotencyKey), FirstOutputTimeoutMillis: int64(r.FirstOutputTimeout),
		ExpectedFirstMillis: int64(r.ExpectedFirst), RemainingMillis: int64(r.Remaining),
		ReceivedEvents: int64(r.ReceivedEvents), LastEventId: []byte(r.LastEventID), Born: r.Born,
	}
}

func decodeRequest(w *swpb.CarriedRequest) Request {
	return Request{Target: swid.TargetID(w.GetTarget()), Cell: swid.CellID(w.GetCell()), Request: swtarget.Request{
		ID: swid.RequestID(w.GetId()), Attempt: swid.Attempt(w.GetAttempt()), Org: swid.OrgID(w.GetOrg()),
		Method: string(w.GetMethod()), Path: string(w.GetPath()), Host: string(w.GetHost()), Header: decodeHeader(w.GetHeader()),
		ContentType: string(w.GetContentType()), Body: w.GetBody(), Stream: w.GetStream(), IdempotencyKey: string(w.GetIdempotencyKey()),
		FirstOutputTimeout: swclock.Millis(max(w.GetFirstOutputTimeoutMillis(), 0)), ExpectedFirst: swclock.Millis(max(w.GetExpectedFirstMillis(), 0)),
		Remaining: swclock.Millis(max(w.GetRemainingMillis(), 0)), ReceivedEvents: int(w.GetReceivedEvents()), LastEventID: string(w.GetLastEventId()),
		Born: w.GetBorn(),
	}}
}

// encodeHeader encodes a header, whose values may be no UTF-8.
func encodeHeader(h http.Header) []*swpb.HeaderField {
	fields := make([]*swpb.HeaderField, 0, len(h))
	for name, values := range h {
		f := &swpb.HeaderField{Name: name, Values: values}
		if slices.ContainsFunc(values, func(v string) bool { return !utf8.ValidString(v) }) {
			f.Values = make([]string, len(values))
			for i, v := range values {
				f.Values[i] = asUTF8(v)
				f.RawValues = append(f.RawValues, []byte(v))
			}
		}
		fields = append(fields, f)
	}
	return fields
}

// asUTF8 returns a text as it is, or as one in ISO 8859-1 if it is no UTF-8.
func asUTF8(text string) string {
	if utf8.ValidString(text) {
		return text
	}
	runes := make([]rune, len(text))
	for i := range len(text) {
		runes[i] = rune(text[i])
	}
	return string(runes)
}

func decodeHeader(fields []*swpb.HeaderField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		values := f.GetValues()
		if raw := f.GetRawValues(); len(raw) > 0 {
			values = make([]string, len(raw))
			for i, v := range raw {
				values[i] = string(v)
			}
		}
		h[f.GetName()] = values
	}
	return h
}

// encodeEnd encodes the end of an answer, or of a request without one. A nil error stands for a complete
// answer.
func encodeEnd(err error, usage swtarget.Usage) *swpb.CarriedReply {
	end := &swpb.CarriedEnd{
		PromptTokens: int64(usage.PromptTokens), OutputTokens: int64(usage.OutputTokens), CachedTokens: int64(usage.CachedTokens),
	}
	if err != nil {
		failed := &swtarget.Error{Failure: swtarget.FailureBroken, Err: err}
		errors.As(err, &failed)
		end.Failure, end.Unsent, end.Error = uint32(failed.Failure), failed.Unsent, asUTF8(failed.Error())
		end.RateLimit, end.OtherStart = swcodec.EncodeStatement(failed.Statement), failed.OtherStart
		end.NoRoom = failed.CarrierLost
	}
	return &swpb.CarriedReply{Kind: &swpb.CarriedReply_End{End: end}}
}

// decodeEnd returns nil for a complete answer.
func decodeEnd(w *swpb.CarriedEnd) error {
	if w.GetFailure() == 0 {
		return nil
	}
	statement, err := swcodec.DecodeStatement(w.GetRateLimit())
	if err != nil {
		return lost(err)
	}
	failure := swtarget.Failure(w.GetFailure())
	if failure > swtarget.FailureNotContinued {
		failure = swtarget.FailureBroken // of a later build
	}
	return &swtarget.Error{Failure: failure, Unsent: w.GetUnsent(), OtherStart: w.GetOtherStart(), Statement: statement, CarrierLost: w.GetNoRoom(), Err: errors.New(w.GetError())}
}

// lost returns the error of a request whose carrier was lost after it may have got it. It does not wrap err, as
// io.EOF would stand for a complete answer.
func lost(err error) *swtarget.Error {
	if errors.Is(err, swbuffer.ErrExceeded) {
		return swtarget.Unheld(err)
	}
	return &swtarget.Error{Failure: swtarget.FailureStalled, CarrierLost: true, Err: errors.Errorf("carrier lost: %v", err)}
}
