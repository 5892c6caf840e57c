package swload

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/load/swclient"
	"github.com/sassafraswing/sassafraswing/internal/load/swreport"
	"github.com/sassafraswing/sassafraswing/internal/load/swscenario"
)

// drive sends the requests when they are due, whatever became of earlier ones,
// and waits for all of them.
func drive(ctx context.Context, s *swscenario.Scenario, client *swclient.Client, stderr io.Writer) (swreport.Input, error) {
	before, err := readCounts(ctx, s, client)
	if err != nil {
		return swreport.Input{}, err
	}
	requests := s.Generate()
	results := make([]swclient.Result, len(requests))
	start := time.Now()
	var workers conc.WaitGroup
	workers.Go(func() { setFaults(ctx, s, client, start, stderr) })
	for i, r := range requests {
		due := start.Add(r.At.Duration())
		if err := sleepUntil(ctx, due); err != nil {
			break
		}
		workers.Go(func() { results[i] = client.Do(ctx, r, s.Hosts[r.Host], due) })
	}
	workers.Wait()
	if err := ctx.Err(); err != nil {
		return swreport.Input{}, errors.Wrap(err, "stopped")
	}
	elapsed := swclock.FromDuration(time.Since(start))
	after, err := readCounts(ctx, s, client)
	if err != nil {
		return swreport.Input{}, err
	}
	in := swreport.Input{Scenario: s, Results: results, Elapsed: elapsed, Plain: after.plain}
	in.Engines = after.since(before)
	return in, nil
}

func setFaults(ctx context.Context, s *swscenario.Scenario, client *swclient.Client, start time.Time, stderr io.Writer) {
	for _, f := range s.Faults {
		if err := sleepUntil(ctx, start.Add(f.At.Duration())); err != nil {
			return
		}
		if err := client.SetFault(ctx, f); err != nil {
			fmt.Fprintf(stderr, "swload: fault %s at %d ms: %v\n", f.Kind, f.At, err)
		}
	}
}

func sleepUntil(ctx context.Context, due time.Time) error {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// standCounts are the counts of all stand-ins at one moment.
type standCounts struct {
	engines [][]swclient.EngineRun
	plain   []swclient.PlainRuns
}

func readCounts(ctx context.Context, s *swscenario.Scenario, client *swclient.Client) (standCounts, error) {
	var c standCounts
	for _, url := range s.Engines {
		runs, err := client.EngineRuns(ctx, url)
		if err != nil {
			return standCounts{}, errors.Wrap(err, "engine "+url)
		}
		c.engines = append(c.engines, runs)
	}
	for _, url := range s.Plain {
		runs, err := client.PlainRuns(ctx, url)
		if err != nil {
			return standCounts{}, errors.Wrap(err, "plain service "+url)
		}
		c.plain = append(c.plain, runs)
	}
	return c, nil
}

// attemptKey identifies an attempt on one engine.
type attemptKey struct {
	requestID string
	attempt   uint32
	hash      string
}

// since returns the engines' counts without the attempts that earlier counts
// hold. Request ids are never used again, so an attempt belongs to one run of the tool.
func (c standCounts) since(before standCounts) [][]swclient.EngineRun {
	engines := make([][]swclient.EngineRun, 0, len(c.engines))
	for i, runs := range c.engines {
		known := make(map[attemptKey]struct{})
		for _, r := range before.engines[i] {
			known[attemptKey{r.RequestID, r.Attempt, r.ContentHash}] = struct{}{}
		}
		var fresh []swclient.EngineRun
		for _, r := range runs {
			if _, old := known[attemptKey{r.RequestID, r.Attempt, r.ContentHash}]; !old {
				fresh = append(fresh, r)
			}
		}
		engines = append(engines, fresh)
	}
	return engines
}
