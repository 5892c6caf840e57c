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

// segmentHeaderBytes is IPv4 and TCP with timestamps, without the link layer.
const segmentHeaderBytes = 52

// party plays a holder or an owner; the owner grants each ask at once.
type party struct {
	*Network
	granted func(swmsg.Grant)
	mu      sync.Mutex
	conns   []*net.TCPConn
}

func (p *party) Receive(from Peer, m swmsg.Message) {
	switch m := m.(type) {
	case swmsg.Ask:
		p.Send(from.Host, swmsg.Grant{Cell: m.Cell, Seq: m.Seq, Attempt: m.Attempt, Target: "engine-0123"})
	case swmsg.Grant:
		p.granted(m)
	}
}

func (p *party) LinkUp(Peer)   {}
func (p *party) LinkDown(Peer) {}

// segments returns the TCP segments that a party sent, acknowledgements included, as the kernel counts them.
func (p *party) segments(b *testing.B) uint64 {
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

func startParty(b *testing.B, d *directory, host swid.HostID, batch swclock.Millis) *party {
	p := &party{}
	capture := WithConn(func(c net.Conn) net.Conn {
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

// BenchmarkRequest carries one ask, grant and done per operation, a number of
// requests at a time and a pause between two rounds. It prints the bytes of
// both directions with TCP and IP headers per request.
func BenchmarkRequest(b *testing.B) {
	tests := []struct {
		together int
		pause    time.Duration
		batch    swclock.Millis
	}{
		{1, 0, 0}, {4, 0, 0}, {16, 0, 0}, {64, 0, 0},
		{1, 20 * time.Millisecond, 0}, {1, 200 * time.Millisecond, 0}, {1, time.Second, 0},
		{4, 20 * time.Millisecond, 0}, {4, 20 * time.Millisecond, 5},
	}
	for _, tt := range tests {
		b.Run(fmt.Sprintf("together=%d,pause=%s,batch=%d", tt.together, tt.pause, tt.batch), func(b *testing.B) {
			benchmarkRequest(b, tt.together, tt.pause, tt.batch)
		})
	}
}

func benchmarkRequest(b *testing.B, together int, pause time.Duration, batch swclock.Millis) {
	var d directory
	holder, owner := startParty(b, &d, "holder-01", batch), startParty(b, &d, "owner-01", batch)
	grants := make(chan swmsg.Grant, together)
	holder.granted = func(m swmsg.Grant) { grants <- m }
	round := func(seq int) {
		for i := range together {
			holder.Send("owner-01", typicalAsk(swid.Seq(seq+i)))
		}
		for range together {
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
	for i := 0; i < b.N; i += together {
		round(2000 + i)
		time.Sleep(pause)
	}
	b.StopTimer()
	time.Sleep(200 * time.Millisecond)
	requests := float64((b.N + together - 1) / together * together)
	bytes = holder.stats.bytesOut.Load() + owner.stats.bytesOut.Load() - bytes
	segments = holder.segments(b) + owner.segments(b) - segments
	b.ReportMetric(float64(bytes)/requests, "payloadB/req")
	b.ReportMetric(float64(segments)/requests, "segments/req")
	b.ReportMetric(float64(bytes+segments*segmentHeaderBytes)/requests, "wireB/req")
}

// typicalAsk is an ask with names of customary length and four prefix hashes.
func typicalAsk(seq swid.Seq) swmsg.Ask {
	return swmsg.Ask{
		Cell: "letters-large@eu-lisbon", Seq: seq, Attempt: 1, Tier: 1, Org: "org-01234", Remaining: 20 * swclock.Second,
		PromptTokens: 2400, OutputTokens: 600, Prefix: []swid.PrefixHash{1 << 60, 1 << 61, 1 << 62, 1 << 63}, Fingerprint: 1 << 59,
	}
}

// BenchmarkSilence gives the time from a link's silence to word of it, for a
// link that carries a message every 20 ms. It begins at a random moment of a probe's period.
func BenchmarkSilence(b *testing.B) {
	var total, longest time.Duration
	for i := range b.N {
		var d directory
		holder, owner := start(b, &d, "a", Config{}), start(b, &d, "b", Config{})
		for j := range 20 + i%20 {
			holder.send(owner, j)
			time.Sleep(20 * time.Millisecond)
		}
		holder.mute(true, true)
		begin := time.Now()
		for len(holder.lost()) == 0 {
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
