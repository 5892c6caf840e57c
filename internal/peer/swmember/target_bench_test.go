package swmember

import (
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swcodec"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// frameOverheadBytes is what a frame adds to a heartbeat: IPv4 and TCP headers, yamux
// header, length and probe. probeReplyBytes is the size of the link's reply to the probe
// and of two acknowledgements, which the receiver and the sender share.
const (
	frameOverheadBytes = 52 + 12 + 4
	probeReplyBytes    = 52 + 12 + 4 + 2*52
)

// BenchmarkTarget runs the cores of 420 hosts in 6 regions in virtual time and reports the
// computed bytes per second that a host sends: in a fleet at rest, after a host's death,
// during a partition of two regions, and after the partition heals.
func BenchmarkTarget(b *testing.B) {
	for range b.N {
		f := newFleet(6, 70)
		f.run(30 * swclock.Second)
		b.ReportMetric(f.bytesPerSecond(30*swclock.Second), "restB/s")

		f.alive["h3-33"] = false
		begin := f.now
		b.ReportMetric(f.bytesPerSecond(5*swclock.Second), "deathB/s")
		for f.wrongViewCount() > 0 && f.now-begin < swclock.Minute {
			f.run(swclock.Second)
		}
		b.ReportMetric(float64(f.now-begin), "ms/deathKnown")

		f.partitioned = func(x, y swid.HostID) bool { return x[1] == '0' && y[1] == '1' || x[1] == '1' && y[1] == '0' }
		b.ReportMetric(f.bytesPerSecond(30*swclock.Second), "apart30sB/s")
		f.run(5 * swclock.Minute)
		b.ReportMetric(f.bytesPerSecond(swclock.Minute), "apart6minB/s")
		f.partitioned = func(_, _ swid.HostID) bool { return false }
		begin = f.now
		b.ReportMetric(f.bytesPerSecond(30*swclock.Second), "metB/s")
		for f.wrongViewCount() > 0 && f.now-begin < 10*swclock.Minute {
			f.run(5 * swclock.Second)
		}
		b.ReportMetric(float64(f.now-begin), "ms/metKnown")
	}
}

// bytesPerSecond runs the fleet for a span of time and returns the mean bytes per second that a host sent.
func (f *fleet) bytesPerSecond(span swclock.Millis) float64 {
	f.bytes, f.counting = 0, true
	f.run(span)
	f.counting = false
	return float64(f.bytes) / float64(len(f.hosts)) / (float64(span) / float64(swclock.Second))
}

func (f *fleet) wrongViewCount() int { return len(f.wrongViews()) }

// heartbeatBytes computes the bytes that a heartbeat takes on the wire.
func heartbeatBytes(m swmsg.Heartbeat) int {
	size, err := swcodec.Size(m)
	if err != nil {
		panic(err)
	}
	return size + frameOverheadBytes + probeReplyBytes
}
