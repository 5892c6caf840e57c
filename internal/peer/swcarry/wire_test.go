package swcarry

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"net/http"
	"reflect"
	"testing"
	"unicode/utf8"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swpb"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// TestCarryOctets guards against requests and answers that are lost because a text of their caller or target is no UTF-8.
func TestCarryOctets(t *testing.T) {
	const octets = "Jos\xe9"
	tests := []struct {
		name   string
		change func(r *swtarget.Request)
		header http.Header
	}{
		{"header of the answer", func(*swtarget.Request) {}, http.Header{"X-A": {"1", octets, "\xff\xfe", "José"}, "X-B": {""}}},
		{"header", func(r *swtarget.Request) { r.Header = http.Header{"X-C": {octets, "3"}} }, nil},
		{"id", func(r *swtarget.Request) { r.ID = octets }, nil},
		{"path", func(r *swtarget.Request) { r.Path = "/" + octets }, nil},
		{"query", func(r *swtarget.Request) { r.Path = "/p?q=" + octets }, nil},
		{"host", func(r *swtarget.Request) { r.Host = octets }, nil},
		{"method", func(r *swtarget.Request) { r.Method = octets }, nil},
		{"content type", func(r *swtarget.Request) { r.ContentType = octets }, nil},
		{"key of a call", func(r *swtarget.Request) { r.IdempotencyKey = octets }, nil},
		{"event to go on after", func(r *swtarget.Request) { r.LastEventID = octets }, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCarrier(&fakeTarget{chunks: []string{octets}, header: tt.header})
			sent := testRequest()
			tt.change(&sent)
			answer, err := c.adapter().Start(t.Context(), sent)
			if err != nil {
				t.Fatal(err)
			}
			if want := (&fakeAnswer{target: c.target}).Header(); !reflect.DeepEqual(answer.Header(), want) {
				t.Errorf("header %q, want %q", answer.Header(), want)
			}
			if body, _, lastEventID, err := receive(answer); err != nil || body != octets || lastEventID != "e"+octets {
				t.Errorf("received %q, last event %q, error %v", body, lastEventID, err)
			}
			if err := answer.Close(); err != nil {
				t.Error(err)
			}
			c.tasks.Wait()
			got := c.target.requests[0]
			got.Remaining = sent.Remaining
			if !reflect.DeepEqual(got, sent) {
				t.Errorf("the target got %+v, want %+v", got, sent)
			}
		})
	}
}

// TestErrorOctets guards against an end that is lost because the target's part of its error is no UTF-8.
func TestErrorOctets(t *testing.T) {
	c := newCarrier(&fakeTarget{startErr: notStarted("Jos\xe9")})
	_, err := c.adapter().Start(t.Context(), testRequest())
	failure, ok := err.(*swtarget.Error)
	if !ok || failure.CarrierLost || !failure.Unsent {
		t.Errorf("error %#v, want the target's", err)
	}
}

// TestOtherStart guards against a holder that does not get to know that its carrier met another start of the target.
func TestOtherStart(t *testing.T) {
	for _, other := range []bool{false, true} {
		failed := notStarted("started anew").(*swtarget.Error)
		failed.OtherStart = other
		_, err := newCarrier(&fakeTarget{startErr: failed}).adapter().Start(t.Context(), testRequest())
		if failure, ok := err.(*swtarget.Error); !ok || failure.OtherStart != other || !failure.Unsent {
			t.Errorf("error %#v, want the target's", err)
		}
	}
}

func notStarted(text string) error {
	return &swtarget.Error{Failure: swtarget.FailureNotStarted, Unsent: true, Err: errors.New(text)}
}

// Frames of the build before raw values of header fields, as it encoded them.
const (
	earlierRequest = "5f0a01741201721a0463656c6c20022a016f3204504f53543a0a2f636166c3a93f713d314201684a0f0a03582d4312013312054a6f73c3a9" +
		"5206746578742f785a0600626f6479ff60016a016b70bc05785a8001a8468801039201016c980104"
	earlierAnswer = "180a1608cb0112110a03582d4112013112054a6f73c3a91200"
	earlierChunk  = "11120f0a05ff646174611002180122026537"
)

// TestEarlierFrames checks that frames are read as the build before wrote them, and written as that one reads them.
func TestEarlierFrames(t *testing.T) {
	r := testRequest()
	r.Header, r.Path = http.Header{"X-C": {"3", "José"}}, "/café?q=1"
	request := Request{Target: "t", Cell: "cell", Request: r}
	header := http.Header{"X-A": {"1", "José", ""}}
	chunk := &swpb.CarriedChunk{Data: []byte("\xffdata"), Tokens: 2, Events: 1, LastEventId: []byte("e7")}
	var gotRequest swpb.CarriedRequest
	var gotAnswer, gotChunk swpb.CarriedReply
	tests := []struct {
		name      string
		frame     string
		got, want proto.Message
	}{
		{"request", earlierRequest, &gotRequest, encodeRequest(&request)},
		{"answer", earlierAnswer, &gotAnswer, answerOf(203, header)},
		{"chunk", earlierChunk, &gotChunk, &swpb.CarriedReply{Kind: &swpb.CarriedReply_Chunk{Chunk: chunk}}},
	}
	for _, tt := range tests {
		frame, err := hex.DecodeString(tt.frame)
		if err != nil {
			t.Fatal(err)
		}
		if err := readFrame(bufio.NewReader(bytes.NewReader(frame)), tt.got); err != nil {
			t.Fatalf("%s: %v", tt.name, err)
		}
		var written bytes.Buffer
		if err := writeFrame(&written, tt.want); err != nil || !bytes.Equal(written.Bytes(), frame) {
			t.Errorf("%s: wrote %x, %v", tt.name, written.Bytes(), err)
		}
	}
	if got := decodeRequest(&gotRequest); !reflect.DeepEqual(got, request) {
		t.Errorf("request %+v", got)
	}
	if got := decodeHeader(gotAnswer.GetAnswer().GetHeader()); !reflect.DeepEqual(got, header) {
		t.Errorf("header %q", got)
	}
	if got := string(gotChunk.GetChunk().GetLastEventId()); got != "e7" {
		t.Errorf("last event %q", got)
	}
}

func answerOf(status uint32, header http.Header) *swpb.CarriedReply {
	return &swpb.CarriedReply{Kind: &swpb.CarriedReply_Answer{Answer: &swpb.CarriedAnswer{Status: status, Header: encodeHeader(header)}}}
}

// TestValuesForEarlierBuild guards against header fields that a build without raw values cannot read, or reads without their values.
func TestValuesForEarlierBuild(t *testing.T) {
	tests := []struct {
		values, earlier []string
		raw             int
	}{
		{[]string{"a", "José"}, []string{"a", "José"}, 0},
		{[]string{"Jos\xe9"}, []string{"José"}, 1},
		{[]string{"", "Jos\xe9", "José"}, []string{"", "José", "José"}, 3},
		{[]string{"\xff\x80"}, []string{"ÿ\u0080"}, 1},
	}
	for _, tt := range tests {
		f := encodeHeader(http.Header{"X-A": tt.values})[0]
		if !reflect.DeepEqual(f.GetValues(), tt.earlier) || len(f.GetRawValues()) != tt.raw {
			t.Errorf("%q: values %q, %d raw, want %q", tt.values, f.GetValues(), len(f.GetRawValues()), tt.earlier)
		}
		for _, v := range f.GetValues() {
			if !utf8.ValidString(v) {
				t.Errorf("%q: %q is no UTF-8", tt.values, v)
			}
		}
	}
}

// FuzzCarriedText checks that any text of a caller or target passes a link unchanged.
func FuzzCarriedText(f *testing.F) {
	for _, text := range []string{"", "a", "José", "Jos\xe9", "\xff\xfe", "\xc3\x28", "\x00", "\xed\xa0\x80"} {
		f.Add(text, text)
	}
	f.Fuzz(func(t *testing.T, a, b string) {
		sent := Request{Target: "t", Cell: "c", Request: swtarget.Request{
			ID: swid.RequestID(a), Method: b, Path: a, Host: b, Header: http.Header{"X-A": {a, b}, "X-B": {b}}, ContentType: a, Body: []byte(b),
			IdempotencyKey: a, LastEventID: b, Remaining: 1,
		}}
		var frame bytes.Buffer
		if err := writeFrame(&frame, encodeRequest(&sent)); err != nil {
			t.Fatal(err)
		}
		var wire swpb.CarriedRequest
		if err := readFrame(bufio.NewReader(&frame), &wire); err != nil {
			t.Fatal(err)
		}
		got := decodeRequest(&wire)
		got.Body = append([]byte{}, got.Body...)
		sent.Body = append([]byte{}, sent.Body...)
		if !reflect.DeepEqual(got, sent) {
			t.Errorf("got %+v, want %+v", got, sent)
		}
		frame.Reset()
		if err := writeFrame(&frame, encodeEnd(notStarted(a), swtarget.Usage{})); err != nil {
			t.Error(err)
		}
	})
}
