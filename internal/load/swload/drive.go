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

// runScenario sends each request at its due time, whether or not earlier requests
// have ended, and waits until all requests have ended. It reads the run counts of
// the stand-ins before and after the run, and returns only the engine attempts that
// the run added. The counts of plain services are returned as read, with those of
// earlier runs; the idempotency keys of two runs never coincide.
func runScenario(ctx context.Context, s *swscenario.Scenario, client *swclient.Client, stderr io.Writer) (swreport.Input, error) {
	before, err := readRunCounts(ctx, s, client)
	if err != nil {
		return swreport.Input{}, err
	}
	requests := s.Generate()
	results := make([]swclient.Result, len(requests))
	start := time.Now()
	var workers conc.WaitGroup
	workers.Go(func() { injectFaults(ctx, s, client, start, stderr) })
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
	after, err := readRunCounts(ctx, s, client)
	if err != nil {
		return swreport.Input{}, err
	}
	in := swreport.Input{Scenario: s, Results: results, Elapsed: elapsed, PlainServices: after.plainServices}
	in.Engines = after.attemptsSince(before)
	return in, nil
}

func injectFaults(ctx context.Context, s *swscenario.Scenario, client *swclient.Client, start time.Time, stderr io.Writer) {
	for _, f := range s.Faults {
		if err := sleepUntil(ctx, start.Add(f.At.Duration())); err != nil {
			return
		}
		if err := client.InjectFault(ctx, f); err != nil {
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

// runCounts holds the run counts of all engines and plain services, read one
// after the other.
type runCounts struct {
	engines       [][]swclient.EngineRun
	plainServices []swclient.PlainRuns
}

func readRunCounts(ctx context.Context, s *swscenario.Scenario, client *swclient.Client) (runCounts, error) {
	var c runCounts
	for _, url := range s.Engines {
		runs, err := client.EngineRuns(ctx, url)
		if err != nil {
			return runCounts{}, errors.Wrap(err, "engine "+url)
		}
		c.engines = append(c.engines, runs)
	}
	for _, url := range s.PlainServices {
		runs, err := client.PlainRuns(ctx, url)
		if err != nil {
			return runCounts{}, errors.Wrap(err, "plain service "+url)
		}
		c.plainServices = append(c.plainServices, runs)
	}
	return c, nil
}

// attemptKey identifies an attempt within the counts of one engine.
type attemptKey struct {
	requestID string
	attempt   uint32
	hash      string
}

// attemptsSince returns the engines' counts without the attempts that before already
// holds. Request ids are never reused, so an attempt belongs to one run of the tool.
func (c runCounts) attemptsSince(before runCounts) [][]swclient.EngineRun {
	engines := make([][]swclient.EngineRun, 0, len(c.engines))
	for i, runs := range c.engines {
		earlier := make(map[attemptKey]struct{})
		for _, r := range before.engines[i] {
			earlier[attemptKey{r.RequestID, r.Attempt, r.ContentHash}] = struct{}{}
		}
		var added []swclient.EngineRun
		for _, r := range runs {
			if _, seen := earlier[attemptKey{r.RequestID, r.Attempt, r.ContentHash}]; !seen {
				added = append(added, r)
			}
		}
		engines = append(engines, added)
	}
	return engines
}
