package swclaim

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/stand/swmemstore"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// slowStore delays each call by two milliseconds, the response time of the platform.
type slowStore struct{ *swmemstore.Store }

func (s slowStore) Put(ctx context.Context, key string, value []byte, expected swobject.Version) (swobject.Version, error) {
	time.Sleep(2 * time.Millisecond)
	return s.Store.Put(ctx, key, value, expected)
}

func (s slowStore) Get(ctx context.Context, key string) (swobject.Object, error) {
	time.Sleep(2 * time.Millisecond)
	return s.Store.Get(ctx, key)
}

// BenchmarkClaim measures recording claims and their outcomes for several numbers of shards, of hosts and of
// claims in progress across all hosts.
func BenchmarkClaim(b *testing.B) {
	tests := []struct{ shards, hosts, concurrency int }{
		{1, 1, 1}, {1, 1, 8}, {1, 1, 64}, {1, 1, 256},
		{1, 4, 64}, {1, 16, 64},
		{4096, 1, 1}, {4096, 1, 64}, {4096, 16, 64}, {4096, 16, 256},
	}
	for _, test := range tests {
		b.Run(fmt.Sprintf("shards=%d/hosts=%d/concurrency=%d", test.shards, test.hosts, test.concurrency), func(b *testing.B) {
			store := slowStore{swmemstore.New(1)}
			var registries []*ObjectRegistry
			for range test.hosts {
				registries = append(registries, startRegistry(b, Config{Environment: "e", Shards: test.shards}, store, swclock.NewSystem()))
			}
			var n, refused atomic.Int64
			var callers conc.WaitGroup
			b.ResetTimer()
			for c := range test.concurrency {
				callers.Go(func() { benchmarkCaller(b, registries[c%test.hosts], &n, &refused) })
			}
			callers.Wait()
			b.StopTimer()
			writes, reads := store.Calls()
			b.ReportMetric(float64(writes)/float64(b.N), "writes/claim")
			b.ReportMetric(float64(reads)/float64(b.N), "reads/claim")
			b.ReportMetric(float64(refused.Load())/float64(b.N), "refused/claim")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
		})
	}
}

// benchmarkCaller records claims and their outcomes one after another until n reaches b.N.
func benchmarkCaller(b *testing.B, r *ObjectRegistry, n, refused *atomic.Int64) {
	for {
		i := n.Add(1)
		if i > int64(b.N) {
			return
		}
		id := fmt.Sprint(i)
		e := Entry{Key: Key{Org: "o", Key: id}, Request: swid.RequestID(id)}
		d, err := r.Claim(context.Background(), e)
		if errors.Is(err, ErrUnavailable) {
			refused.Add(1)
			continue
		}
		if err != nil || !d.Granted {
			b.Errorf("claim %s: %+v, %v", id, d, err)
			return
		}
		r.RecordOutcome(e, Decision{Outcome: OutcomeAnswered, Status: 200})
	}
}

// BenchmarkShard measures the CPU time of decoding and encoding a shard, and the encoded size of a claim
// without an answer.
func BenchmarkShard(b *testing.B) {
	for _, claims := range []int{100, 1500, 7000} {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			s := newShard()
			for i := range claims {
				id := swid.NewRequestID("host-lisbon-a-12", 1<<40, swid.Seq(i))
				e := Entry{Key: Key{Org: "o", Key: fmt.Sprint(i)}, Request: id, Fingerprint: 1 << 60}
				s.claim(hashKey(e.Key), e)
			}
			data, err := encodeShard(s)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				read, err := decodeShard(data)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := encodeShard(read); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data))/float64(claims), "B/claim")
		})
	}
}
