package swmember

import (
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swcodec"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// frameBytes is what a heartbeat's frame adds to its message: IPv4 and TCP
// header, yamux header, length and probe; answerBytes is the link's answer to
// the probe and two acknowledgements, which the receiver and the sender share.
const (
	frameBytes  = 52 + 12 + 4
	answerBytes = 52 + 12 + 4 + 2*52
)

// BenchmarkTarget runs the cores of 420 hosts in 6 regions in virtual time and
// prints the computed bytes that a host sends a second, for a fleet at rest,
// after a death, while two regions lose each other, and after they meet again.
func BenchmarkTarget(b *testing.B) {
	for range b.N {
		f := newFleet(6, 70)
		f.run(30 * swclock.Second)
		b.ReportMetric(f.bytesPerSecond(30*swclock.Second), "restB/s")

		f.alive["h3-33"] = false
		begin := f.now
		b.ReportMetric(f.bytesPerSecond(5*swclock.Second), "deathB/s")
		for f.wrongCount() > 0 && f.now-begin < swclock.Minute {
			f.run(swclock.Second)
		}
		b.ReportMetric(float64(f.now-begin), "ms/deathKnown")

		f.cut = func(x, y swid.HostID) bool { return x[1] == '0' && y[1] == '1' || x[1] == '1' && y[1] == '0' }
		b.ReportMetric(f.bytesPerSecond(30*swclock.Second), "apart30sB/s")
		f.run(5 * swclock.Minute)
		b.ReportMetric(f.bytesPerSecond(swclock.Minute), "apart6minB/s")
		f.cut = func(_, _ swid.HostID) bool { return false }
		begin = f.now
		b.ReportMetric(f.bytesPerSecond(30*swclock.Second), "metB/s")
		for f.wrongCount() > 0 && f.now-begin < 10*swclock.Minute {
			f.run(5 * swclock.Second)
		}
		b.ReportMetric(float64(f.now-begin), "ms/metKnown")
	}
}

// bytesPerSecond lets time pass and returns the mean bytes that a host sent a second.
func (f *fleet) bytesPerSecond(span swclock.Millis) float64 {
	f.bytes, f.counting = 0, true
	f.run(span)
	f.counting = false
	return float64(f.bytes) / float64(len(f.hosts)) / (float64(span) / float64(swclock.Second))
}

// wrongCount is the number of wrong views.
func (f *fleet) wrongCount() int { return len(f.wrong()) }

// heartbeatBytes computes what a heartbeat costs on the wire.
func heartbeatBytes(m swmsg.Heartbeat) int {
	size, err := swcodec.Size(m)
	if err != nil {
		panic(err)
	}
	return size + frameBytes + answerBytes
}
