package swreport

import (
	"slices"
	"strings"

	"github.com/sassafraswing/sassafraswing/internal/load/swclient"
)

// organisationShares returns each organisation's tokens and demand, and its fair share
// of all tokens served by weight and demand.
func organisationShares(in Input) []Organisation {
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
	allocateFairShares(list, weights, served)
	return list
}

// allocateFairShares sets the fair shares by weighted max-min fairness, until no tokens
// remain or every demand is met. Each round divides the remaining tokens by weight: an
// organisation whose demand fits its part gets its demand and leaves the next rounds.
// If no demand fits, each organisation gets its part.
func allocateFairShares(list []Organisation, weights []float64, remaining float64) {
	unmet := make([]int, 0, len(list))
	for i := range list {
		unmet = append(unmet, i)
	}
	for len(unmet) > 0 && remaining > 0 {
		total := 0.0
		for _, i := range unmet {
			total += weights[i]
		}
		met := slices.DeleteFunc(slices.Clone(unmet), func(i int) bool {
			return float64(list[i].Demand) > remaining*weights[i]/total
		})
		if len(met) == 0 {
			for _, i := range unmet {
				list[i].FairShare = remaining * weights[i] / total
			}
			return
		}
		for _, i := range met {
			list[i].FairShare = float64(list[i].Demand)
			remaining -= list[i].FairShare
		}
		unmet = slices.DeleteFunc(unmet, func(i int) bool { return slices.Contains(met, i) })
	}
}

// contentRuns holds the sums over all engines for requests with the same content.
type contentRuns struct {
	runs         int
	completed    int
	promptTokens int64
}

func runsByContent(in Input) map[string]contentRuns {
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

func sumPrefill(in Input) Prefill {
	var p Prefill
	for _, engine := range in.Engines {
		for _, run := range engine {
			p.Tokens += run.PromptTokens
			p.Wasted += run.WastedPromptTokens
			p.Attempts += run.Runs
		}
	}
	sums := runsByContent(in)
	for hash, requested := range requestsByContent(in) {
		s := sums[hash]
		if s.completed > requested {
			p.SecondAnswers += s.completed - requested
			p.Wasted += s.promptTokens / int64(s.runs) * int64(s.completed-requested)
		}
	}
	return p
}

// requestsByContent counts the requests with each content hash.
func requestsByContent(in Input) map[string]int {
	counts := make(map[string]int)
	for _, r := range in.Results {
		if r.ContentHash != "" {
			counts[r.ContentHash]++
		}
	}
	return counts
}

func countViolations(in Input) Violations {
	var v Violations
	sums, requested, keys := runsByContent(in), requestsByContent(in), runsByKey(in)
	for _, r := range in.Results {
		switch r.Outcome {
		case swclient.OutcomeWrong:
			v.Wrong++
		case swclient.OutcomeTruncated:
			v.Truncated++
		case swclient.OutcomeNotRun, swclient.OutcomeRejected:
			// A content hash shows which request ran only if no other request has that content.
			ran := requested[r.ContentHash] == 1 && sums[r.ContentHash].runs > 0
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

// runsByKey sums the runs of each idempotency key over all plain services.
func runsByKey(in Input) map[string]int {
	sums := make(map[string]int)
	for _, p := range in.PlainServices {
		for _, k := range p.IdempotencyKeys {
			sums[k.Key] += k.Runs
		}
	}
	return sums
}

// countCodes counts the requests that were not answered by outcome and error code, the
// most frequent first.
func countCodes(results []swclient.Result) []Code {
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
