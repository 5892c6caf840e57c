package swcell

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// benchCell returns a cell of 64 targets without a free slot and with waiting
// requests, the running requests with their grants, and a function that returns new
// requests.
func benchCell(b *testing.B, waiting, organisations int) (c *Cell, running []GrantRequest, grants []Grant, next func() GrantRequest) {
	const targets, slots = 64, 16
	c = New(Config{Tiers: 3})
	var conf Configure
	for i := range targets {
		t := engineTarget(swid.TargetID(fmt.Sprintf("t%02d", i)), slots)
		conf.Targets = append(conf.Targets, t)
	}
	c.Step(0, conf, nil)
	seq := 0
	next = func() GrantRequest {
		seq++
		a := longRequest(seq, swid.Tier(seq%3), swclock.Hour)
		a.Org = swid.OrgID(fmt.Sprint("org", seq%organisations))
		a.Prefix = []swid.PrefixHash{1, 2, swid.PrefixHash(seq)}
		return a
	}
	requests := make(map[Key]GrantRequest)
	for range waiting + targets*slots {
		a := next()
		requests[a.Key] = a
		for _, action := range c.Step(1, a, nil) {
			g, ok := action.(Grant)
			if !ok {
				b.Fatalf("got %+v", action)
			}
			running = append(running, requests[g.Key])
			grants = append(grants, g)
		}
	}
	return c, running, grants, next
}

var benchSizes = []struct{ waiting, organisations int }{{1_000, 260}, {10_000, 2_600}, {100_000, 26_000}}

// BenchmarkStep queues a request and ends a running one, whose slot is then granted to a
// waiting request.
func BenchmarkStep(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size.waiting), func(b *testing.B) {
			c, running, grants, next := benchCell(b, size.waiting, size.organisations)
			open := make(map[Key]GrantRequest)
			var actions []Action
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				a := next()
				open[a.Key] = a
				actions = c.Step(2, a, actions[:0])
				at := i % len(running)
				actions = c.Step(2, newDone(running[at], grants[at].Target, ResultAnswered), actions[:0])
				for _, action := range actions {
					if g, ok := action.(Grant); ok {
						grants[at] = g
						running[at] = GrantRequest{Key: g.Key, Attempt: g.Attempt, PromptTokens: 400, OutputTokens: 1000}
						delete(open, g.Key)
					}
				}
			}
		})
	}
}

// BenchmarkTick sends ticks to a cell without a free slot.
func BenchmarkTick(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size.waiting), func(b *testing.B) {
			c, _, _, _ := benchCell(b, size.waiting, size.organisations)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				c.Step(2+swclock.Millis(i)/100, Tick{}, nil)
			}
		})
	}
}

// BenchmarkMemory reports the live heap bytes for each waiting request, including
// those of the targets and the running requests.
func BenchmarkMemory(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size.waiting), func(b *testing.B) {
			for range b.N {
				before := liveBytes()
				c, running, _, _ := benchCell(b, size.waiting, size.organisations)
				b.ReportMetric(float64(liveBytes()-before)/float64(size.waiting), "liveB/request")
				runtime.KeepAlive(c)
				runtime.KeepAlive(running)
			}
		})
	}
}

func liveBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
