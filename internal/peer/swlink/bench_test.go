package swlink

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// segmentHeaderBytes is the size of the IPv4 and TCP headers with timestamps, without the link layer.
const segmentHeaderBytes = 52

// endpoint acts as a holder or an owner. As an owner it answers each grant request with a grant at once.
type endpoint struct {
	*Network
	onGrant func(swmsg.Grant)
	mu      sync.Mutex
	conns   []*net.TCPConn
}

func (p *endpoint) Receive(from Peer, m swmsg.Message) {
	switch m := m.(type) {
	case swmsg.GrantRequest:
		p.Send(from.Host, swmsg.Grant{Cell: m.Cell, Seq: m.Seq, Attempt: m.Attempt, Target: "engine-0123"})
	case swmsg.Grant:
		p.onGrant(m)
	}
}

func (p *endpoint) LinkUp(Peer)   {}
func (p *endpoint) LinkDown(Peer) {}

// segments returns the number of TCP segments that an endpoint sent, acknowledgements included, as counted by the kernel.
func (p *endpoint) segments(b *testing.B) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var total uint64
	for _, c := range p.conns {
		raw, err := c.SyscallConn()
		if err != nil {
			b.Fatal(err)
		}
		err = raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			if err != nil {
				b.Error(err)
				return
			}
			total += uint64(info.Segs_out)
		})
		if err != nil {
			b.Fatal(err)
		}
	}
	return total
}

func startEndpoint(b *testing.B, d *directory, host swid.HostID, batch swclock.Millis) *endpoint {
	p := &endpoint{}
	capture := WithConnWrapper(func(c net.Conn) net.Conn {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.conns = append(p.conns, c.(*net.TCPConn))
		return c
	})
	n := start(b, d, host, Config{BatchDelay: batch}, capture)
	p.Network = n.Network
	p.handler = p
	return p
}

// BenchmarkRequest sends one grant request, one grant and one done message per
// operation, with several requests at a time and a pause between two rounds. It
// reports the bytes of both directions per request, TCP and IP headers included.
func BenchmarkRequest(b *testing.B) {
	tests := []struct {
		concurrency int
		pause       time.Duration
		batch       swclock.Millis
	}{
		{1, 0, 0}, {4, 0, 0}, {16, 0, 0}, {64, 0, 0},
		{1, 20 * time.Millisecond, 0}, {1, 200 * time.Millisecond, 0}, {1, time.Second, 0},
		{4, 20 * time.Millisecond, 0}, {4, 20 * time.Millisecond, 5},
	}
	for _, tt := range tests {
		b.Run(fmt.Sprintf("together=%d,pause=%s,batch=%d", tt.concurrency, tt.pause, tt.batch), func(b *testing.B) {
			benchmarkRequest(b, tt.concurrency, tt.pause, tt.batch)
		})
	}
}

func benchmarkRequest(b *testing.B, concurrency int, pause time.Duration, batch swclock.Millis) {
	var d directory
	holder, owner := startEndpoint(b, &d, "holder-01", batch), startEndpoint(b, &d, "owner-01", batch)
	grants := make(chan swmsg.Grant, concurrency)
	holder.onGrant = func(m swmsg.Grant) { grants <- m }
	round := func(seq int) {
		for i := range concurrency {
			holder.Send("owner-01", typicalGrantRequest(swid.Seq(seq+i)))
		}
		for range concurrency {
			g := <-grants
			holder.Send("owner-01", swmsg.Done{
				Cell: g.Cell, Seq: g.Seq, Attempt: g.Attempt, Target: g.Target, Result: swcell.ResultAnswered,
				PromptTokens: 2400, OutputTokens: 480, CachedTokens: 1024, FirstToken: 310, Total: 19000,
			})
		}
	}
	round(1000)
	bytes := holder.stats.bytesOut.Load() + owner.stats.bytesOut.Load()
	segments := holder.segments(b) + owner.segments(b)
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; i < b.N; i += concurrency {
		round(2000 + i)
		time.Sleep(pause)
	}
	b.StopTimer()
	time.Sleep(200 * time.Millisecond)
	requests := float64((b.N + concurrency - 1) / concurrency * concurrency)
	bytes = holder.stats.bytesOut.Load() + owner.stats.bytesOut.Load() - bytes
	segments = holder.segments(b) + owner.segments(b) - segments
	b.ReportMetric(float64(bytes)/requests, "payloadB/req")
	b.ReportMetric(float64(segments)/requests, "segments/req")
	b.ReportMetric(float64(bytes+segments*segmentHeaderBytes)/requests, "wireB/req")
}

// typicalGrantRequest returns a grant request with names of usual length and four prefix hashes.
func typicalGrantRequest(seq swid.Seq) swmsg.GrantRequest {
	return swmsg.GrantRequest{
		Cell: "letters-large@eu-lisbon", Seq: seq, Attempt: 1, Tier: 1, Org: "org-01234", Remaining: 20 * swclock.Second,
		PromptTokens: 2400, OutputTokens: 600, Prefix: []swid.PrefixHash{1 << 60, 1 << 61, 1 << 62, 1 << 63}, Fingerprint: 1 << 59,
	}
}

// BenchmarkSilence measures the time from the moment when a link stops carrying
// data to the call of LinkDown, for a link that carries a message every 20 ms. The
// number of messages before that varies, so that the link fails at different points
// of a probe's period.
func BenchmarkSilence(b *testing.B) {
	var total, longest time.Duration
	for i := range b.N {
		var d directory
		holder, owner := start(b, &d, "a", Config{}), start(b, &d, "b", Config{})
		for j := range 20 + i%20 {
			holder.send(owner, j)
			time.Sleep(20 * time.Millisecond)
		}
		holder.dropTraffic(true, true)
		begin := time.Now()
		for len(holder.lostPeers()) == 0 {
			holder.send(owner, 0)
			time.Sleep(time.Millisecond)
		}
		took := time.Since(begin)
		total, longest = total+took, max(longest, took)
		holder.stop()
		owner.stop()
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms/found")
	b.ReportMetric(float64(longest.Milliseconds()), "ms/longest")
}
