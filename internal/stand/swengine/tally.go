package swengine

import "github.com/sassafraswing/sassafraswing/internal/core/swid"

// AttemptStats holds the counters of one attempt of a request. A crash fault does not reset them.
type AttemptStats struct {
	RequestID   swid.RequestID
	Attempt     swid.Attempt
	ContentHash string
	// Runs counts how often the attempt was accepted, Completed how often its whole answer was sent.
	Runs      int
	Completed int
	// PromptTokens counts the prefilled tokens, WastedPromptTokens those of them that
	// were prefilled for answers that were not sent whole.
	PromptTokens       swid.Tokens
	WastedPromptTokens swid.Tokens
}

// recordKey identifies a record.
type recordKey struct {
	id      swid.RequestID
	attempt swid.Attempt
	hash    string
}

// record accumulates the counters of one attempt over its runs.
type record struct {
	key       recordKey
	runs      int
	completed int
	prefilled float64
	wasted    float64
}

// tally holds the records in the order of their first run.
type tally struct {
	records []*record
	index   map[recordKey]*record
}

func newTally() *tally { return &tally{index: make(map[recordKey]*record)} }

// startRun counts a started run and returns its record.
func (t *tally) startRun(key recordKey) *record {
	r, ok := t.index[key]
	if !ok {
		r = &record{key: key}
		t.index[key] = r
		t.records = append(t.records, r)
	}
	r.runs++
	return r
}

func (t *tally) runs() []AttemptStats {
	runs := make([]AttemptStats, 0, len(t.records))
	for _, r := range t.records {
		runs = append(runs, AttemptStats{
			RequestID:          r.key.id,
			Attempt:            r.key.attempt,
			ContentHash:        r.key.hash,
			Runs:               r.runs,
			Completed:          r.completed,
			PromptTokens:       swid.Tokens(r.prefilled + 0.5),
			WastedPromptTokens: swid.Tokens(r.wasted + 0.5),
		})
	}
	return runs
}
