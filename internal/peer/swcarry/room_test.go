package swcarry

import (
	"bufio"
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/sassafraswing/sassafraswing/internal/core/swroom"
	"github.com/sassafraswing/sassafraswing/internal/peer/swpb"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// TestCarriedBody checks that bodies of all sizes are carried whole while the carrier has room, and count there once, and that a request
// without room is rejected as not sent.
func TestCarriedBody(t *testing.T) {
	const capacity = 16 << 20
	tests := []struct {
		bytes int
		// taken is the room that complete bodies of callers take.
		taken   int
		carried bool
	}{
		{0, 0, true}, {1, 0, true}, {maxWriteBytes, 0, true}, {4 << 20, 0, true}, {4 << 20, 3 << 20, true},
		{4 << 20, 5 << 20, false}, {maxWriteBytes / 2, 6 << 20, true},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt), func(t *testing.T) {
			c := newCarrier(&fakeTarget{chunks: []string{"a"}})
			room := swroom.NewRoom(capacity)
			c.config.Bodies = room
			callers := room.Open(0, "o", func() { t.Error("a complete body gave way") })
			if err := errors.Wrap(callers.Reserve(0, tt.taken), "take room"); err != nil {
				t.Fatal(err)
			}
			if err := callers.Complete(); err != nil {
				t.Fatal(err)
			}
			r := testRequest()
			r.Body = bytes.Repeat([]byte("\x00\xff7"), tt.bytes/3+1)[:tt.bytes]
			answer, err := c.adapter().Start(t.Context(), r)
			if tt.carried {
				if err != nil {
					t.Fatal(err)
				}
				if held := int(room.Held()) - tt.taken; held < tt.bytes || held > tt.bytes+1000 {
					t.Errorf("%d bytes held for the body", held)
				}
				if _, _, _, err := receive(answer); err != nil {
					t.Error(err)
				}
				if got := c.target.requests[0].Body; !bytes.Equal(got, r.Body) {
					t.Errorf("the target got %d bytes", len(got))
				}
				if err := answer.Close(); err != nil {
					t.Error(err)
				}
			} else {
				var failed *swtarget.Error
				if !errors.As(err, &failed) || failed.Failure != swtarget.FailureNotStarted || !failed.Unsent || !failed.CarrierLost {
					t.Errorf("error %+v", err)
				}
			}
			c.tasks.Wait()
			if requests, _ := c.target.counts(); requests != 0 != tt.carried {
				t.Errorf("the target got %d requests", requests)
			}
			if held := int(room.Held()); held != tt.taken {
				t.Errorf("%d bytes held at the end, want %d", held, tt.taken)
			}
		})
	}
}

// TestRequestOfEitherBuild checks that the build before reads what this one writes, and the other way round.
func TestRequestOfEitherBuild(t *testing.T) {
	for _, size := range []int{0, 1, 3 * maxWriteBytes} {
		r := Request{Target: "t", Cell: "cell", Request: testRequest()}
		r.Body = bytes.Repeat([]byte("b"), size)
		want := encodeRequest(&r)
		var written bytes.Buffer
		if err := writeRequest(&written, &r); err != nil {
			t.Fatal(err)
		}
		var got swpb.CarriedRequest
		if err := readFrame(bufio.NewReader(&written), &got); err != nil || !proto.Equal(&got, want) {
			t.Errorf("%d bytes: the build before reads %v, error %v", size, &got, err)
		}
		written.Reset()
		if err := writeFrame(&written, want); err != nil {
			t.Fatal(err)
		}
		got.Reset()
		if err := readRequest(bufio.NewReader(&written), &got, 0, nil); err != nil || !proto.Equal(&got, want) {
			t.Errorf("%d bytes: this build reads %v, error %v", size, &got, err)
		}
	}
}

// TestCarriedBodyHeldOnce checks that the frame of a request is garbage once the request is decoded.
func TestCarriedBodyHeldOnce(t *testing.T) {
	const size = 16 << 20
	held := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	r := Request{Target: "t", Cell: "cell", Request: testRequest()}
	r.Body = make([]byte, size)
	var written bytes.Buffer
	if err := writeRequest(&written, &r); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(bytes.NewReader(written.Bytes()))
	before := held()
	var got swpb.CarriedRequest
	if err := readRequest(reader, &got, 0, nil); err != nil {
		t.Fatal(err)
	}
	decoded := decodeRequest(&got)
	if more := held() - before; more > size+size/2 {
		t.Errorf("%d bytes held of a body of %d", more, size)
	}
	runtime.KeepAlive(&got)
	runtime.KeepAlive(decoded)
	runtime.KeepAlive(reader)
	runtime.KeepAlive(&written)
	runtime.KeepAlive(r)
}

// TestLinesWithoutRoom guards against a line for each request that a carrier without room rejects.
func TestLinesWithoutRoom(t *testing.T) {
	const requests = 300
	var lines bytes.Buffer
	c := newCarrier(&fakeTarget{})
	config := c.config
	config.Bodies, config.Log = swroom.NewRoom(0), zerolog.New(zerolog.SyncWriter(&lines))
	c.Server = NewServer(config)
	for range requests {
		if _, err := c.adapter().Start(t.Context(), testRequest()); err == nil {
			t.Fatal("carried")
		}
	}
	c.tasks.Wait()
	if n := bytes.Count(lines.Bytes(), []byte("carried request not received")); n == 0 || n > requests/2 {
		t.Errorf("%d lines for %d requests", n, requests)
	}
}
