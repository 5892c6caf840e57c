package swmember

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/stand/swmemstore"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// measureDuration is how long a fleet at rest is measured.
const measureDuration = 10 * time.Second

// BenchmarkIdleFleet reports the traffic, CPU time, memory and goroutines of an idle host,
// for fleets of several sizes in one process.
func BenchmarkIdleFleet(b *testing.B) {
	for _, hosts := range []int{3, 10, 20, 40} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for range b.N {
				measureIdleFleet(b, hosts)
			}
		})
	}
}

func measureIdleFleet(b *testing.B, hosts int) {
	store := swmemstore.New(1)
	heap := liveHeap()
	var fleet []*testHost
	var listed []swobject.Host
	for i := range hosts {
		id := swid.HostID(fmt.Sprintf("host-%03d", i))
		p := startHost(b, store, Member{Host: id, Incarnation: 1, Region: "eu-lisbon", Zone: "eu-lisbon-1", Address: "127.0.0.1:0"})
		fleet = append(fleet, p)
		listed = append(listed, swobject.Host{ID: id, Region: "eu-lisbon", Address: p.network.Address(), State: swobject.HostLive})
	}
	store.SetHosts(listed)
	time.Sleep(15 * time.Second)
	before, cpu := counterTotals(fleet), cpuTime()
	time.Sleep(measureDuration)
	after := counterTotals(fleet)
	hostSeconds := float64(hosts) * measureDuration.Seconds()
	b.ReportMetric((after["bytes_sent_total"]-before["bytes_sent_total"])/hostSeconds, "payloadB/s/host")
	b.ReportMetric((after["writes_total"]-before["writes_total"])/hostSeconds, "writes/s/host")
	b.ReportMetric((after["links_down_total"] - before["links_down_total"]), "linksLost")
	b.ReportMetric(100*(cpuTime()-cpu).Seconds()/hostSeconds, "%core/host")
	b.ReportMetric(float64(liveHeap()-heap)/1024/float64(hosts), "heapKB/host")
	b.ReportMetric(float64(runtime.NumGoroutine())/float64(hosts), "goroutines/host")
	for _, p := range fleet {
		p.stop()
	}
}

// counterTotals sums the link counters of a fleet.
func counterTotals(fleet []*testHost) map[string]float64 {
	sums := make(map[string]float64)
	for _, p := range fleet {
		registry := prometheus.NewPedanticRegistry()
		registry.MustRegister(p.network)
		families, err := registry.Gather()
		if err != nil {
			panic(err)
		}
		for _, f := range families {
			sums[f.GetName()[len("sassafraswing_peer_"):]] += counterValue(f)
		}
	}
	return sums
}

func counterValue(f *dto.MetricFamily) float64 { return f.GetMetric()[0].GetCounter().GetValue() }

func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc + s.StackInuse)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
