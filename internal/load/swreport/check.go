package swreport

import (
	"slices"
	"strings"

	"github.com/sassafraswing/sassafraswing/internal/load/swclient"
)

// organisations divides the tokens served by weight and demand.
func organisations(in Input) []Organisation {
	list := make([]Organisation, len(in.Scenario.Organisations))
	served := 0.0
	for i, o := range in.Scenario.Organisations {
		list[i].Name = string(o.ID)
	}
	for _, r := range in.Results {
		o := &list[in.Scenario.Flows[r.Request.Flow].Organisation]
		o.Demand += r.Demand
		if r.Outcome == swclient.OutcomeAnswered {
			o.Tokens += r.Tokens
			served += float64(r.Tokens)
		}
	}
	weights := make([]float64, len(list))
	for i, o := range in.Scenario.Organisations {
		weights[i] = o.Weight
	}
	divide(list, weights, served)
	return list
}

// divide gives each organisation its share by weight of what is left, never
// more than its demand, until nothing is left or every demand is met.
func divide(list []Organisation, weights []float64, left float64) {
	open := make([]int, 0, len(list))
	for i := range list {
		open = append(open, i)
	}
	for len(open) > 0 && left > 0 {
		total := 0.0
		for _, i := range open {
			total += weights[i]
		}
		met := slices.DeleteFunc(slices.Clone(open), func(i int) bool {
			return float64(list[i].Demand) > left*weights[i]/total
		})
		if len(met) == 0 {
			for _, i := range open {
				list[i].Fair = left * weights[i] / total
			}
			return
		}
		for _, i := range met {
			list[i].Fair = float64(list[i].Demand)
			left -= list[i].Fair
		}
		open = slices.DeleteFunc(open, func(i int) bool { return slices.Contains(met, i) })
	}
}

// contentRuns sums the runs of one content over all engines.
type contentRuns struct {
	runs         int
	completed    int
	promptTokens int64
}

func byContent(in Input) map[string]contentRuns {
	sums := make(map[string]contentRuns)
	for _, engine := range in.Engines {
		for _, run := range engine {
			s := sums[run.ContentHash]
			s.runs += run.Runs
			s.completed += run.Completed
			s.promptTokens += run.PromptTokens
			sums[run.ContentHash] = s
		}
	}
	return sums
}

func prefill(in Input) Prefill {
	var p Prefill
	for _, engine := range in.Engines {
		for _, run := range engine {
			p.Tokens += run.PromptTokens
			p.Wasted += run.WastedPromptTokens
			p.Attempts += run.Runs
		}
	}
	sums := byContent(in)
	for hash, asked := range asks(in) {
		s := sums[hash]
		if s.completed > asked {
			p.SecondAnswers += s.completed - asked
			p.Wasted += s.promptTokens / int64(s.runs) * int64(s.completed-asked)
		}
	}
	return p
}

// asks counts the requests of each content.
func asks(in Input) map[string]int {
	counts := make(map[string]int)
	for _, r := range in.Results {
		if r.ContentHash != "" {
			counts[r.ContentHash]++
		}
	}
	return counts
}

func violations(in Input) Violations {
	var v Violations
	sums, asked, keys := byContent(in), asks(in), keyRuns(in)
	for _, r := range in.Results {
		switch r.Outcome {
		case swclient.OutcomeWrong:
			v.Wrong++
		case swclient.OutcomeTruncated:
			v.Truncated++
		case swclient.OutcomeNotRun, swclient.OutcomeRejected:
			ran := asked[r.ContentHash] == 1 && sums[r.ContentHash].runs > 0
			if ran || r.Key != "" && keys[r.Key] > 0 {
				v.NotRunButRan++
			}
		}
	}
	for _, engine := range in.Engines {
		for _, run := range engine {
			if run.Runs > 1 {
				v.RepeatedOnTarget++
			}
		}
	}
	for _, runs := range keys {
		if runs > 1 {
			v.RepeatedKeys++
		}
	}
	return v
}

// keyRuns sums the runs of each idempotency key over all plain services.
func keyRuns(in Input) map[string]int {
	sums := make(map[string]int)
	for _, p := range in.Plain {
		for _, k := range p.IdempotencyKeys {
			sums[k.Key] += k.Runs
		}
	}
	return sums
}

// codes counts error codes, the most frequent first.
func codes(results []swclient.Result) []Code {
	var list []Code
	for _, r := range results {
		if r.Outcome == swclient.OutcomeAnswered {
			continue
		}
		name := r.Outcome.String() + ": " + r.Code
		i := slices.IndexFunc(list, func(c Code) bool { return c.Code == name })
		if i < 0 {
			list = append(list, Code{Code: name})
			i = len(list) - 1
		}
		list[i].Count++
	}
	slices.SortFunc(list, func(a, b Code) int {
		if a.Count != b.Count {
			return b.Count - a.Count
		}
		return strings.Compare(a.Code, b.Code)
	})
	return list
}
