package swcodec

import (
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/peer/swpb"
)

// samples holds one message of each kind. Tests that need random messages fill in the fields.
var samples = []swmsg.Message{
	swmsg.Hello{}, swmsg.Heartbeat{}, swmsg.GrantRequest{}, swmsg.InFlight{}, swmsg.Progress{}, swmsg.Withdraw{}, swmsg.Done{},
	swmsg.Grant{}, swmsg.Reject{}, swmsg.Preempt{}, swmsg.Redirect{}, swmsg.Registration{}, swmsg.SharedCells{}, swmsg.StoreState{}, swmsg.TargetList{}, swmsg.Leaving{}, swmsg.Queued{}, swmsg.Recover{}, swmsg.ConfigRequest{}, swmsg.ConfigDocument{},
}

// fill sets every field of a value at random by reflection, so that fields added later are covered.
func fill(t *rapid.T, v reflect.Value) {
	switch v.Interface().(type) {
	case swmsg.MemberState:
		v.SetUint(rapid.Uint64Range(uint64(swmsg.MemberAlive), uint64(swmsg.MemberDead)).Draw(t, "state"))
		return
	case swcell.Result:
		v.SetUint(rapid.Uint64Range(1, uint64(swcell.ResultRejected)).Draw(t, "result"))
		return
	case swcell.RejectReason:
		v.SetUint(rapid.Uint64Range(1, uint64(swcell.ReasonRetryBudget)).Draw(t, "reason"))
		return
	case swmsg.Scheduling:
		v.SetUint(rapid.Uint64Range(0, uint64(swmsg.SchedulingShared)).Draw(t, "scheduling"))
		return
	case swlimit.Statement:
		if rapid.Bool().Draw(t, "heard") {
			v.Set(reflect.ValueOf(swlimit.Statement{Heard: true, PerSecond: swid.RequestRate(rapid.Float64Range(0, 1e6).Draw(t, "rate")), Leaving: rapid.Bool().Draw(t, "leaving"),
				Pause:   swclock.Millis(rapid.Int64Range(0, 1e6).Draw(t, "pause")),
				Brittle: rapid.Bool().Draw(t, "brittle"), MaxRejections: rapid.IntRange(0, 1e6).Draw(t, "maxRejections")}))
		}
		return
	case sworigin.Continuation:
		if rapid.Bool().Draw(t, "continues") {
			v.Set(reflect.ValueOf(sworigin.Continuation{Continues: true, Stream: sworigin.Stream(rapid.Uint64().Draw(t, "stream")), Origin: drawOrigin(t)}))
		}
		return
	case sworigin.Origin:
		if rapid.Bool().Draw(t, "known") {
			v.Set(reflect.ValueOf(drawOrigin(t)))
		}
		return
	case sworigin.Begun:
		if rapid.Bool().Draw(t, "begun") {
			v.Set(reflect.ValueOf(drawBegun(t)))
		}
		return
	case []sworigin.Begun:
		// Streams of one origin are sent together, with one time.
		begun := drawBegun(t)
		var streams []sworigin.Begun
		for range rapid.IntRange(0, 4).Draw(t, "streams") {
			begun.Stream = sworigin.Stream(rapid.Uint64Min(1).Draw(t, "stream"))
			streams = append(streams, begun)
		}
		v.Set(reflect.ValueOf(streams))
		return
	case swid.RequestRate:
		v.SetFloat(rapid.Float64Range(0, 1e6).Draw(t, "rate"))
		return
	case swid.Tier:
		v.SetUint(rapid.Uint64Range(0, swid.MaxTiers-1).Draw(t, "tier"))
		return
	case []byte:
		v.SetBytes(rapid.SliceOfN(rapid.Byte(), 1, 64).Draw(t, "bytes"))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(t, v.Field(i))
		}
	case reflect.Slice:
		if n := rapid.IntRange(0, 4).Draw(t, "length"); n > 0 {
			v.Set(reflect.MakeSlice(v.Type(), n, n))
			for i := range n {
				fill(t, v.Index(i))
			}
		}
	case reflect.String:
		v.SetString(rapid.StringN(1, 20, -1).Draw(t, "text"))
	case reflect.Bool:
		v.SetBool(rapid.Bool().Draw(t, "flag"))
	case reflect.Int, reflect.Int64:
		v.SetInt(rapid.Int64Min(0).Draw(t, "number"))
	case reflect.Uint8:
		v.SetUint(uint64(rapid.Uint8().Draw(t, "number")))
	case reflect.Uint32:
		v.SetUint(uint64(rapid.Uint32().Draw(t, "number")))
	case reflect.Uint64:
		v.SetUint(rapid.Uint64().Draw(t, "number"))
	default:
		t.Fatalf("no generator for %s", v.Type())
	}
}

func drawOrigin(t *rapid.T) sworigin.Origin {
	return sworigin.Origin{
		Service: swid.ServiceID(rapid.StringN(1, 20, -1).Draw(t, "service")), Version: swid.SoftwareVersion(rapid.StringN(0, 20, -1).Draw(t, "version")),
	}
}

func drawBegun(t *rapid.T) sworigin.Begun {
	return sworigin.Begun{
		Stream: sworigin.Stream(rapid.Uint64Min(1).Draw(t, "stream")), Origin: drawOrigin(t), Retention: swclock.Millis(rapid.Int64Range(0, 1e6).Draw(t, "retention")),
	}
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Batch
		for range rapid.IntRange(0, 8).Draw(t, "messages") {
			sample := rapid.SampledFrom(samples).Draw(t, "kind")
			v := reflect.New(reflect.TypeOf(sample)).Elem()
			fill(t, v)
			b.Messages = append(b.Messages, v.Interface().(swmsg.Message))
		}
		b.Probe = rapid.Uint64().Draw(t, "probe")
		b.ProbeReply = rapid.Uint64().Draw(t, "probeReply")
		frame, err := Append(nil, b)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(frame)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, b) {
			t.Fatalf("got %+v, want %+v", got, b)
		}
	})
}

func TestMalformed(t *testing.T) {
	grant := swmsg.Grant{Cell: "chat@lis", Target: "e1"}
	long := strings.Repeat("x", MaxTextBytes+1)
	tests := []struct {
		name    string
		message swmsg.Message
		field   string
	}{
		{"no cell", swmsg.GrantRequest{}, "cell"},
		{"long cell", swmsg.GrantRequest{Cell: swid.CellID(long)}, "cell"},
		{"tier", swmsg.GrantRequest{Cell: "c", Tier: swid.MaxTiers}, "tier"},
		{"negative span", swmsg.GrantRequest{Cell: "c", Remaining: -1}, "remainingMillis"},
		{"negative tokens", swmsg.Progress{Cell: "c", Produced: -1}, "produced"},
		{"empty exclude", swmsg.GrantRequest{Cell: "c", Exclude: []swid.TargetID{""}}, "exclude"},
		{"many prefixes", swmsg.GrantRequest{Cell: "c", Prefix: make([]swid.PrefixHash, MaxPrefixes+1)}, "prefix"},
		{"no result", swmsg.Done{Cell: "c", Target: "e"}, "result"},
		{"no reason", swmsg.Reject{Cell: "c"}, "reason"},
		{"no target", swmsg.Grant{Cell: "c"}, "target"},
		{"bad inner ask", swmsg.InFlight{Target: "e"}, "cell"},
		{"many strikes", swmsg.Registration{Strikes: make([]swmsg.Strike, MaxStrikes+1)}, "strikes"},
		{"strike without target", swmsg.Registration{Strikes: []swmsg.Strike{{Content: 1}}}, "target"},
		{"many kinds of the store", swmsg.StoreState{Kinds: make([]swmsg.StoreKind, MaxStoreKinds+1)}, "kinds"},
		{"kind of the store without a name", swmsg.StoreState{Kinds: make([]swmsg.StoreKind, 1)}, "kind"},
		{"many targets", swmsg.TargetList{Targets: make([]swmsg.ListedTarget, MaxListedTargets+1)}, "targets"},
		{"listed target without a service", swmsg.TargetList{Targets: []swmsg.ListedTarget{{Target: swcatalog.Target{ID: "e", Address: "a", Slots: 1}}}}, "service"},
		{"listed target with negative slots", swmsg.TargetList{Targets: []swmsg.ListedTarget{{Target: swcatalog.Target{ID: "e", Service: "s", Address: "a", Slots: -1}}}}, "slots"},
		{"unknown scheduling", swmsg.SharedCells{Scheduling: swmsg.SchedulingShared + 1}, "scheduling"},
		{"negative rate", swmsg.Progress{Cell: "c", Statement: swlimit.Statement{Heard: true, PerSecond: -1}}, "perSecond"},
		{"rate that is no number", swmsg.Progress{Cell: "c", Statement: swlimit.Statement{Heard: true, PerSecond: swid.RequestRate(math.NaN())}}, "perSecond"},
		{"negative rejections", swmsg.Progress{Cell: "c", Statement: swlimit.Statement{Heard: true, MaxRejections: -1}}, "maxRejections"},
		{"limit without target", swmsg.Registration{RateLimits: []swmsg.RateLimit{{PerSecond: 1}}}, "target"},
		{"many limits", swmsg.Registration{RateLimits: make([]swmsg.RateLimit, MaxRateLimits+1)}, "rateLimits"},
		{"many streams", swmsg.Registration{Streams: slices.Repeat([]sworigin.Begun{{Stream: 1, Origin: sworigin.Origin{Service: "s"}}}, MaxBegunStreams+1)}, "begun"},
		{"many outcomes", swmsg.Registration{Outcomes: make([]swmsg.Outcome, MaxOutcomes+1)}, "outcomes"},
		{"outcome without service", swmsg.Registration{Outcomes: []swmsg.Outcome{{Target: "e"}}}, "service"},
		{"outcome of the future", swmsg.Registration{Outcomes: []swmsg.Outcome{{Service: "s", Target: "e", Age: -1}}}, "ageMillis"},
		{"no host", swmsg.Hello{}, "host"},
		{"no state", swmsg.Heartbeat{Updates: []swmsg.MemberUpdate{{Host: "h"}}}, "state"},
		{"many parts", swmsg.ConfigRequest{Parts: make([][]byte, MaxDocumentParts+1)}, "parts"},
		{"many rumors", swmsg.Heartbeat{Updates: make([]swmsg.MemberUpdate, MaxMemberUpdates+1)}, "rumors"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			frame, err := Append(nil, Batch{Messages: []swmsg.Message{grant, tt.message}})
			if err != nil {
				t.Fatal(err)
			}
			_, err = Decode(frame)
			var field *FieldError
			if !errors.As(err, &field) || field.Field != tt.field {
				t.Fatalf("got %v, want a bad field %s", err, tt.field)
			}
		})
	}
}

func TestLimits(t *testing.T) {
	document := swmsg.ConfigDocument{Version: 1 << 40, Document: make([]byte, 1<<20)}
	if _, err := Append(nil, Batch{Messages: []swmsg.Message{document}, Probe: 1 << 63}); err != nil {
		t.Errorf("the largest document does not fit into a frame: %v", err)
	}
	document.Document = make([]byte, MaxFrameBytes)
	if _, err := Append(nil, Batch{Messages: []swmsg.Message{document}}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("got %v", err)
	}
	if _, err := Decode(make([]byte, MaxFrameBytes+1)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("got %v", err)
	}
	if _, err := Decode([]byte{0xff}); !errors.Is(err, ErrMalformed) {
		t.Errorf("got %v", err)
	}
	empty, err := proto.Marshal(&swpb.Batch{Messages: []*swpb.Message{{}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(empty); !errors.Is(err, ErrUnknownMessage) {
		t.Errorf("got %v", err)
	}
	if _, err := Append(nil, Batch{Messages: []swmsg.Message{nil}}); !errors.Is(err, ErrUnknownMessage) {
		t.Errorf("got %v", err)
	}
}

// FuzzDecode checks that a frame that Decode accepts can be encoded again, and that decoding
// the result yields the same batch.
func FuzzDecode(f *testing.F) {
	for _, m := range samples {
		frame, err := Append(nil, Batch{Messages: []swmsg.Message{m}, Probe: 1})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		b, err := Decode(frame)
		if err != nil {
			return
		}
		again, err := Append(nil, b)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(again)
		if err != nil || !reflect.DeepEqual(got, b) {
			t.Fatalf("got %+v, %v, want %+v", got, err, b)
		}
	})
}

// typicalGrantRequest returns a grant request with names of usual length and four prefix hashes.
func typicalGrantRequest(seq swid.Seq) swmsg.GrantRequest {
	return swmsg.GrantRequest{
		Cell: "letters-large@eu-lisbon", Seq: seq, Attempt: 1, Tier: 1, Org: "org-01234", Remaining: 20 * swclock.Second,
		PromptTokens: 2400, OutputTokens: 600, Prefix: []swid.PrefixHash{1 << 60, 1 << 61, 1 << 62, 1 << 63}, Fingerprint: 1 << 59,
	}
}

// BenchmarkAppend reports the encoded size of each message of a request, with full names and
// with two-byte ids, which a dictionary for each link could assign.
func BenchmarkAppend(b *testing.B) {
	tests := []struct {
		name    string
		message swmsg.Message
	}{
		{"ask", typicalGrantRequest(1000)},
		{"grant", swmsg.Grant{Cell: "letters-large@eu-lisbon", Seq: 1000, Attempt: 1, Target: "engine-0123", Epoch: 7}},
		{"done", swmsg.Done{
			Cell: "letters-large@eu-lisbon", Seq: 1000, Attempt: 1, Target: "engine-0123", Result: swcell.ResultAnswered,
			PromptTokens: 2400, OutputTokens: 480, CachedTokens: 1024, FirstToken: 310, Total: 19000,
		}},
	}
	for _, tt := range tests {
		b.Run(tt.name+",names", func(b *testing.B) { benchmarkAppend(b, tt.message) })
		b.Run(tt.name+",ids", func(b *testing.B) { benchmarkAppend(b, withIDs(tt.message)) })
	}
}

// withIDs replaces the names in a message by two-byte ids.
func withIDs(m swmsg.Message) swmsg.Message {
	switch m := m.(type) {
	case swmsg.GrantRequest:
		m.Cell, m.Org = "c1", "o1"
		return m
	case swmsg.Grant:
		m.Cell, m.Target = "c1", "t1"
		return m
	case swmsg.Done:
		m.Cell, m.Target = "c1", "t1"
		return m
	}
	return m
}

func benchmarkAppend(b *testing.B, m swmsg.Message) {
	b.ReportAllocs()
	var buffer []byte
	for range b.N {
		var err error
		if buffer, err = Append(buffer[:0], Batch{Messages: []swmsg.Message{m}}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(buffer)), "bytes/msg")
}

func BenchmarkDecodeAsk(b *testing.B) {
	frame, err := Append(nil, Batch{Messages: []swmsg.Message{typicalGrantRequest(1000)}})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := Decode(frame); err != nil {
			b.Fatal(err)
		}
	}
}
