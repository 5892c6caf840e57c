package swdaemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/config/swexample"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swprompt"
	"github.com/sassafraswing/sassafraswing/internal/stand/swanswer"
)

// waitBound ends a test that hangs; it is far above what any wait takes.
const waitBound = 60 * time.Second

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for start := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > waitBound {
			t.Fatalf("not so after %s: %s", waitBound, what)
		}
	}
}

// tally is what callers saw.
type tally struct {
	mu       sync.Mutex
	answered int
	notRun   []swid.RequestID
	// refusals has the answers to those that were not run, for the trace of a failure.
	refusals []string
	unknown  int
	lost     int
	wrong    []string
}

// caller sends one request after another.
type caller struct {
	cluster *cluster
	client  *http.Client
	random  *rand.Rand
	tally   *tally
	number  int
}

// load runs callers that send a number of mixed requests each, and returns what they saw.
func (c *cluster) load(callers, requests int) *tally {
	total := &tally{}
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			k := &caller{
				cluster: c, tally: total, number: i,
				client: &http.Client{Transport: &http.Transport{}, Timeout: waitBound},
				random: rand.New(rand.NewPCG(1, uint64(i))),
			}
			for r := range requests {
				k.send(r)
			}
			k.client.CloseIdleConnections()
		})
	}
	wg.Wait()
	return total
}

// send sends a completion, streamed or not, or a call that is not idempotent.
func (k *caller) send(number int) {
	name := fmt.Sprintf("%d-%d", k.number, number)
	switch k.random.IntN(3) {
	case 0:
		k.record(name)
	case 1:
		k.complete(name, false)
	default:
		k.complete(name, true)
	}
}

// record sends a call with an idempotency key, again and through any host until it is answered.
func (k *caller) record(name string) {
	for range 5 {
		status, _, body := k.post("/services/records/records", name, []byte(name))
		if status == http.StatusOK {
			if !strings.Contains(body, name) {
				k.wrong("record " + name + " answered " + body)
			}
			return
		}
	}
}

const loadTokens = 24

func (k *caller) complete(name string, stream bool) {
	prompt := strings.Repeat("account history ", k.random.IntN(40)) + name
	request := map[string]any{
		"model": "chat", "stream": stream, "max_tokens": loadTokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	}
	body, err := json.Marshal(request)
	if err != nil {
		k.wrong(err.Error())
		return
	}
	status, _, answer := k.post("/v1/chat/completions", "", body)
	if status != http.StatusOK {
		return
	}
	want := swanswer.Text(swprompt.Render([]swprompt.Message{{Role: "user", Content: prompt}}), loadTokens)
	text, whole := textOf(answer, stream)
	if !whole && !strings.Contains(answer, `"error"`) {
		k.wrong(fmt.Sprintf("completion %s ended without its terminal marker or an error", name))
	}
	if whole && text != want {
		k.wrong(fmt.Sprintf("completion %s answered %q, want %q", name, text, want))
	}
}

// textOf returns an answer's text, and whether the answer says that it is whole.
func textOf(answer string, stream bool) (text string, whole bool) {
	type part struct{ Content string }
	type completion struct {
		Choices []struct{ Delta, Message part }
	}
	if !stream {
		var c completion
		if err := json.Unmarshal([]byte(answer), &c); err != nil || len(c.Choices) == 0 {
			return answer, true
		}
		return c.Choices[0].Message.Content, true
	}
	var b strings.Builder
	for line := range strings.Lines(answer) {
		data, isData := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if data == "[DONE]" {
			return b.String(), true
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); isData && err == nil && len(c.Choices) > 0 {
			b.WriteString(c.Choices[0].Delta.Content)
		}
	}
	return b.String(), false
}

// post sends a request to any host and counts its outcome. The status is 0 if no whole answer came.
func (k *caller) post(path, key string, body []byte) (int, swid.RequestID, string) {
	urls := k.cluster.urls()
	r, err := http.NewRequest(http.MethodPost, urls[k.random.IntN(len(urls))]+path, bytes.NewReader(body))
	if err != nil {
		k.wrong(err.Error())
		return 0, "", ""
	}
	r.GetBody = nil // this caller itself never sends twice
	r.Header.Set("Authorization", "Bearer "+swexample.APIKey)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := k.client.Do(r)
	if err != nil {
		k.count(func(t *tally) { t.lost++ })
		return 0, "", ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		k.count(func(t *tally) { t.lost++ })
		return 0, "", ""
	}
	id := swid.RequestID(response.Header.Get("X-Request-Id"))
	k.outcome(response.StatusCode, id, string(data))
	return response.StatusCode, id, string(data)
}

func (k *caller) outcome(status int, id swid.RequestID, body string) {
	switch {
	case status == http.StatusOK:
		k.count(func(t *tally) { t.answered++ })
	case strings.Contains(body, `"outcome":"notRun"`):
		k.count(func(t *tally) { t.notRun, t.refusals = append(t.notRun, id), append(t.refusals, body) })
	case strings.Contains(body, `"outcome":"unknown"`):
		k.count(func(t *tally) { t.unknown++ })
	default:
		k.wrong(fmt.Sprintf("status %d without an outcome: %s", status, body))
	}
}

func (k *caller) count(f func(*tally)) {
	k.tally.mu.Lock()
	defer k.tally.mu.Unlock()
	f(k.tally)
}

func (k *caller) wrong(what string) { k.count(func(t *tally) { t.wrong = append(t.wrong, what) }) }

// check holds what callers saw against what the targets ran.
func (c *cluster) check(seen *tally) {
	c.t.Helper()
	c.t.Logf("answered %d, not run %d, unknown %d, lost %d", seen.answered, len(seen.notRun), seen.unknown, seen.lost)
	for _, w := range seen.wrong {
		c.t.Error(w)
	}
	ran := make(map[swid.RequestID]bool)
	for i, e := range c.engines {
		here := make(map[swid.RequestID]int)
		for _, r := range e.Runs() {
			ran[r.RequestID] = true
			here[r.RequestID] += r.Runs
		}
		for id, runs := range here {
			if runs > 1 {
				c.t.Errorf("engine %d ran request %s %d times", i, id, runs)
			}
		}
	}
	runs := c.plain.Runs()
	for id := range runs.ByRequest {
		ran[swid.RequestID(id)] = true
	}
	for key, count := range runs.ByKey {
		if count > 1 {
			c.t.Errorf("the call with key %s ran %d times", key, count)
		}
	}
	for _, id := range seen.notRun {
		if ran[id] {
			c.t.Errorf("request %s ran although its caller was told not run", id)
		}
	}
}
