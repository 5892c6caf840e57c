package swreport

import (
	"encoding/json"
	"io"

	"github.com/sassafraswing/sassafraswing/internal/load/swclient"
)

type reportBody struct {
	Scenario      string             `json:"scenario"`
	Seed          uint64             `json:"seed"`
	Requests      int                `json:"requests"`
	ElapsedMillis int64              `json:"elapsedMillis"`
	Tiers         []tierBody         `json:"tiers"`
	Organisations []organisationBody `json:"organisations"`
	Prefill       prefillBody        `json:"prefill"`
	Violations    violationsBody     `json:"violations"`
	Codes         []codeBody         `json:"notAnswered"`
	Lateness      quantilesBody      `json:"lateness"`
}

type tierBody struct {
	Name       string        `json:"name"`
	Sent       int           `json:"sent"`
	InTime     int           `json:"inTime"`
	Goodput    float64       `json:"goodputPerSecond"`
	Outcomes   []codeBody    `json:"outcomes"`
	FirstToken quantilesBody `json:"firstToken"`
	TokenGap   quantilesBody `json:"betweenTokens"`
}

type quantilesBody struct {
	Count     int64 `json:"count"`
	P50Micros int64 `json:"p50Micros"`
	P95Micros int64 `json:"p95Micros"`
	P99Micros int64 `json:"p99Micros"`
}

type organisationBody struct {
	Name      string  `json:"name"`
	Tokens    int64   `json:"tokens"`
	Demand    int64   `json:"demand"`
	FairShare float64 `json:"fairShare"`
}

type prefillBody struct {
	Tokens        int64 `json:"tokens"`
	Wasted        int64 `json:"wasted"`
	Attempts      int   `json:"attempts"`
	SecondAnswers int   `json:"secondAnswers"`
}

type violationsBody struct {
	Wrong            int `json:"wrong"`
	Truncated        int `json:"truncated"`
	NotRunButRan     int `json:"notRunButRan"`
	RepeatedOnTarget int `json:"repeatedOnTarget"`
	RepeatedKeys     int `json:"repeatedKeys"`
}

type codeBody struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	body := reportBody{
		Scenario:      r.Scenario,
		Seed:          r.Seed,
		Requests:      r.Requests,
		ElapsedMillis: int64(r.Elapsed),
		Tiers:         []tierBody{},
		Organisations: []organisationBody{},
		Prefill:       prefillBody(r.Prefill),
		Violations:    violationsBody(r.Violations),
		Codes:         []codeBody{},
		Lateness:      r.Lateness.body(),
	}
	for _, t := range r.Tiers {
		body.Tiers = append(body.Tiers, t.body())
	}
	for _, o := range r.Organisations {
		body.Organisations = append(body.Organisations, organisationBody(o))
	}
	for _, c := range r.Codes {
		body.Codes = append(body.Codes, codeBody{Name: c.Code, Count: c.Count})
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(body)
}

func (t Tier) body() tierBody {
	body := tierBody{
		Name:       t.Name,
		Sent:       t.Sent,
		InTime:     t.InTime,
		Goodput:    t.Goodput,
		FirstToken: t.FirstToken.body(),
		TokenGap:   t.TokenGap.body(),
	}
	for i, o := range swclient.Outcomes {
		body.Outcomes = append(body.Outcomes, codeBody{Name: o.String(), Count: t.Outcomes[i]})
	}
	return body
}

func (q Quantiles) body() quantilesBody {
	return quantilesBody{Count: q.Count, P50Micros: int64(q.P50), P95Micros: int64(q.P95), P99Micros: int64(q.P99)}
}
