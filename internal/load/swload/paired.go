package swload

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"

	"github.com/sassafraswing/sassafraswing/internal/load/swclient"
	"github.com/sassafraswing/sassafraswing/internal/load/swreport"
	"github.com/sassafraswing/sassafraswing/internal/load/swscenario"
)

// pair holds the times to the first token of two similar requests: one sent
// through a host, one sent directly to the engine.
type pair struct {
	host   swclient.Micros
	direct swclient.Micros
}

// runPaired sends similar requests alternately to a host and directly to the
// engine, one at a time, and prints how much the host adds to the time to the
// first token. It leaves the warm-up pairs out of the result.
func runPaired(ctx context.Context, s *swscenario.Scenario, stdout, stderr io.Writer) int {
	client := swclient.New(s, uuid.NewString())
	defer client.Close()
	var host, direct, added []swclient.Micros
	for i := range s.Paired.Warmup + s.Paired.Count {
		p, err := measurePair(ctx, s, client, i)
		if err != nil {
			fmt.Fprintf(stderr, "swload: pair %d: %v\n", i, err)
			return ExitFailure
		}
		if i < s.Paired.Warmup {
			continue
		}
		host, direct = append(host, p.host), append(direct, p.direct)
		added = append(added, max(0, p.host-p.direct))
	}
	fmt.Fprintf(stdout, "%d pairs, time to the first token in ms\n", s.Paired.Count)
	for _, row := range []struct {
		name   string
		values []swclient.Micros
	}{{"through the host", host}, {"straight to the engine", direct}, {"added in each pair", added}} {
		q := swreport.QuantilesOf(row.values)
		fmt.Fprintf(stdout, "%-24s p50 %.3f  p95 %.3f  p99 %.3f\n", row.name, q.P50.Millis(), q.P95.Millis(), q.P99.Millis())
	}
	return ExitOK
}

// measurePair sends both requests of a pair. Even pairs start with the host, odd
// ones with the engine.
func measurePair(ctx context.Context, s *swscenario.Scenario, client *swclient.Client, i int) (pair, error) {
	var p pair
	r := swscenario.Request{Flow: s.Paired.Flow}
	throughHost := func() error { return measureFirstToken(ctx, client, r.Variant(2*i), s.Hosts[0], &p.host) }
	toEngine := func() error { return measureFirstToken(ctx, client, r.Variant(2*i+1), s.Paired.Engine, &p.direct) }
	first, second := throughHost, toEngine
	if i%2 == 1 {
		first, second = toEngine, throughHost
	}
	if err := first(); err != nil {
		return pair{}, err
	}
	return p, second()
}

// notAnsweredError reports that a request of a pair got no complete and correct answer.
type notAnsweredError struct {
	url    string
	result swclient.Result
}

// Error implements error.
func (e *notAnsweredError) Error() string {
	return fmt.Sprintf("%s: %s (%s)", e.url, e.result.Outcome, e.result.Code)
}

func measureFirstToken(ctx context.Context, client *swclient.Client, r swscenario.Request, url string, firstToken *swclient.Micros) error {
	result := client.Do(ctx, r, url, time.Now())
	if result.Outcome != swclient.OutcomeAnswered {
		return &notAnsweredError{url: url, result: result}
	}
	*firstToken = result.FirstToken
	return nil
}
