package swnode

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/holder/swholder"
	"github.com/sassafraswing/sassafraswing/internal/peer/swexchange"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// instantTarget is the adapter of a target that answers at once with a number of chunks.
// It implements swtarget.Adapter.
type instantTarget struct{ chunks int }

func (a instantTarget) Start(context.Context, swtarget.Request) (swtarget.Answer, error) {
	return &instantAnswer{remaining: a.chunks}, nil
}

// instantAnswer is a stream of equal chunks. It implements swtarget.Answer.
type instantAnswer struct{ remaining int }

var chunk = swtarget.Chunk{Data: []byte("data: {}\n\n"), Tokens: 1, Events: 1}

func (a *instantAnswer) Status() int                { return 200 }
func (a *instantAnswer) Header() http.Header        { return swtarget.MediaType("text/event-stream") }
func (*instantAnswer) Statement() swlimit.Statement { return swlimit.Statement{} }

func (a *instantAnswer) Usage() swtarget.Usage { return swtarget.Usage{} }
func (a *instantAnswer) Close() error          { return nil }
func (a *instantAnswer) Next() (swtarget.Chunk, error) {
	if a.remaining == 0 {
		return swtarget.Chunk{}, io.EOF
	}
	a.remaining--
	return chunk, nil
}

// discardSink drops the answer. It implements swholder.Sink.
type discardSink struct{}

func (discardSink) Begin(int, http.Header) error { return nil }
func (discardSink) Write([]byte) error           { return nil }

// benchmarkServe measures requests that go from the holder through the owner to a
// target and back, in one process and without sockets.
func benchmarkServe(b *testing.B, chunks int) {
	document := &swdoc.Document{
		Regions:       []swdoc.Region{{ID: "r", Zones: []swid.ZoneID{"z"}}},
		Tiers:         []swdoc.Tier{{Name: "t", Deadline: swclock.Hour}},
		Organisations: []swdoc.Organisation{{ID: "o", Weight: 1}},
		Services:      []swdoc.Service{{ID: "s", Kind: swdoc.KindModel}},
		Generations:   []swdoc.Generation{{ID: "g", PrefillRate: 1e6, DecodeRate: 1e4}},
		Targets:       []swdoc.Target{{ID: "a", Service: "s", Zone: "z", Generation: "g", Slots: 64}},
	}
	h := singleHost{host: "h", document: document}
	self := swlink.Peer{Host: "h", Incarnation: 1}
	exchange := swexchange.New(self)
	clock := swclock.NewSystem()
	node := New(&swsettings.Settings{Caller: swsettings.Caller{MaxHeld: 1000}}, Dependencies{
		Self: self, Clock: clock, Log: zerolog.Nop(), Sender: exchange, Router: h,
		Members: singleHostMembers{h}, Config: singleHostConfig{h}, Watcher: h, Registry: prometheus.NewRegistry(),
		Adapters: func(swdoc.Target, swdoc.ServiceKind) swtarget.Adapter { return instantTarget{chunks} },
	})
	exchange.Connect(nil, func(swlink.Peer) {}, node.Holder(), node.Owner())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go node.owner.Run(ctx)
	node.subscribe()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		seq, id := node.holder.NextID()
		r := &swholder.Request{
			ID: id, Seq: seq, Service: "s", Cell: "s@r", Org: "o", Deadline: clock.Now() + swclock.Minute,
			PromptTokens: 100, OutputTokens: 100, Call: swtarget.Request{Stream: true},
		}
		if report := node.holder.Serve(ctx, r, discardSink{}); !report.InTime {
			b.Fatalf("request ended as %+v", report.End)
		}
	}
}

func BenchmarkServe(b *testing.B) { benchmarkServe(b, 1) }

// BenchmarkServeChunks has 1,000 more chunks in each answer than BenchmarkServe, so that
// the difference between the two is the cost of 1,000 chunks.
func BenchmarkServeChunks(b *testing.B) { benchmarkServe(b, 1001) }
