// Package swload sends the requests of a scenario to running processes and
// reports the results.
package swload

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/load/swclient"
	"github.com/sassafraswing/sassafraswing/internal/load/swreport"
	"github.com/sassafraswing/sassafraswing/internal/load/swscenario"
)

// Exit statuses.
const (
	ExitOK = 0
	// ExitFailure means that the run or its report failed.
	ExitFailure = 1
	// ExitUsage means that the arguments or the scenario are invalid.
	ExitUsage = 2
	// ExitViolation means that the run found violations of the scheduler's guarantees
	// (see swreport.Violations).
	ExitViolation = 3
)

// options holds the command-line options.
type options struct {
	scenario string
	json     string
	plots    string
	paired   bool
}

// Run executes the scenario file that the arguments name and returns the exit status.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	o, err := parseOptions(args, stderr)
	if err != nil {
		fmt.Fprintf(stderr, "swload: %v\n", err)
		return ExitUsage
	}
	s, err := swscenario.Load(o.scenario)
	if err != nil {
		fmt.Fprintf(stderr, "swload: %v\n", err)
		return ExitUsage
	}
	if o.paired && s.Paired.Count == 0 {
		fmt.Fprintf(stderr, "swload: %s: -paired needs the key paired\n", o.scenario)
		return ExitUsage
	}
	if o.paired {
		return runPaired(ctx, s, stdout, stderr)
	}
	r, err := o.run(ctx, s, stdout, stderr)
	if err != nil {
		fmt.Fprintf(stderr, "swload: %v\n", err)
		return ExitFailure
	}
	if r.Violations.Total() > 0 {
		return ExitViolation
	}
	return ExitOK
}

func parseOptions(args []string, stderr io.Writer) (options, error) {
	flags := flag.NewFlagSet("swload", flag.ContinueOnError)
	flags.SetOutput(stderr)
	var o options
	flags.StringVar(&o.scenario, "scenario", "", "scenario `file`")
	flags.StringVar(&o.json, "json", "", "write the report as JSON to this `file`")
	flags.StringVar(&o.plots, "plots", "", "write plots into this `directory`")
	flags.BoolVar(&o.paired, "paired", false, "compare a host with the engine behind it instead of running the load")
	if err := flags.Parse(args); err != nil {
		return options{}, err
	}
	if flags.NArg() > 0 {
		return options{}, errors.Errorf("unexpected argument %q", flags.Arg(0))
	}
	if o.scenario == "" {
		return options{}, errors.New("-scenario is missing")
	}
	return o, nil
}

// run sends the scenario's requests and writes the reports.
func (o options) run(ctx context.Context, s *swscenario.Scenario, stdout, stderr io.Writer) (*swreport.Report, error) {
	client := swclient.New(s, uuid.NewString())
	defer client.Close()
	in, err := runScenario(ctx, s, client, stderr)
	if err != nil {
		return nil, err
	}
	r := swreport.New(in)
	if err := r.Write(stdout); err != nil {
		return nil, errors.Wrap(err, "write report")
	}
	if o.json != "" {
		if err := writeJSON(r, o.json); err != nil {
			return nil, err
		}
	}
	if o.plots != "" {
		if err := swreport.Plot(in, o.plots); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func writeJSON(r *swreport.Report, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create JSON report")
	}
	if err := r.WriteJSON(file); err != nil {
		file.Close()
		return errors.Wrap(err, "write JSON report")
	}
	return errors.Wrap(file.Close(), "close JSON report")
}
