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

// waitTimeout fails a test that hangs. It is much longer than any wait takes.
const waitTimeout = 60 * time.Second

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for start := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > waitTimeout {
			t.Fatalf("condition not met after %s: %s", waitTimeout, what)
		}
	}
}

// callerResults has the results of requests as callers observed them.
type callerResults struct {
	mu       sync.Mutex
	answered int
	notRun   []swid.RequestID
	// notRunBodies has the responses to the requests in notRun, for error messages.
	notRunBodies []string
	unknown      int
	lost         int
	unexpected   []string
}

// caller sends one request after another.
type caller struct {
	cluster *cluster
	client  *http.Client
	random  *rand.Rand
	results *callerResults
	number  int
}

// runLoad runs callers that each send the given number of mixed requests, and returns
// their results.
func (c *cluster) runLoad(callers, requests int) *callerResults {
	total := &callerResults{}
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			k := &caller{
				cluster: c, results: total, number: i,
				client: &http.Client{Transport: &http.Transport{}, Timeout: waitTimeout},
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

// send sends a completion request, streamed or not, or a call of the plain service.
func (k *caller) send(number int) {
	name := fmt.Sprintf("%d-%d", k.number, number)
	switch k.random.IntN(3) {
	case 0:
		k.sendRecord(name)
	case 1:
		k.sendCompletion(name, false)
	default:
		k.sendCompletion(name, true)
	}
}

// sendRecord sends a non-idempotent call with an idempotency key, up to five times and
// each time through a random host, until the call is answered.
func (k *caller) sendRecord(name string) {
	for range 5 {
		status, _, body := k.post("/services/records/records", name, []byte(name))
		if status == http.StatusOK {
			if !strings.Contains(body, name) {
				k.unexpected("record " + name + " answered " + body)
			}
			return
		}
	}
}

const loadTokens = 24

func (k *caller) sendCompletion(name string, stream bool) {
	prompt := strings.Repeat("account history ", k.random.IntN(40)) + name
	request := map[string]any{
		"model": "chat", "stream": stream, "max_tokens": loadTokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	}
	body, err := json.Marshal(request)
	if err != nil {
		k.unexpected(err.Error())
		return
	}
	status, _, answer := k.post("/v1/chat/completions", "", body)
	if status != http.StatusOK {
		return
	}
	want := swanswer.Text(swprompt.Render([]swprompt.Message{{Role: "user", Content: prompt}}), loadTokens)
	text, complete := answerText(answer, stream)
	if !complete && !strings.Contains(answer, `"error"`) {
		k.unexpected(fmt.Sprintf("completion %s ended without its terminal marker or an error", name))
	}
	if complete && text != want {
		k.unexpected(fmt.Sprintf("completion %s answered %q, want %q", name, text, want))
	}
}

// answerText returns an answer's text, and whether the answer is complete: a stream is
// complete if it ends with the terminal marker; any other answer counts as complete.
func answerText(answer string, stream bool) (text string, complete bool) {
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

// post sends a request to a random host and counts its outcome. The status is 0 if no
// complete answer arrived.
func (k *caller) post(path, key string, body []byte) (int, swid.RequestID, string) {
	urls := k.cluster.callerURLs()
	r, err := http.NewRequest(http.MethodPost, urls[k.random.IntN(len(urls))]+path, bytes.NewReader(body))
	if err != nil {
		k.unexpected(err.Error())
		return 0, "", ""
	}
	r.GetBody = nil // keeps the HTTP client from resending the request
	r.Header.Set("Authorization", "Bearer "+swexample.APIKey)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := k.client.Do(r)
	if err != nil {
		k.updateResults(func(results *callerResults) { results.lost++ })
		return 0, "", ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		k.updateResults(func(results *callerResults) { results.lost++ })
		return 0, "", ""
	}
	id := swid.RequestID(response.Header.Get("X-Request-Id"))
	k.countOutcome(response.StatusCode, id, string(data))
	return response.StatusCode, id, string(data)
}

func (k *caller) countOutcome(status int, id swid.RequestID, body string) {
	switch {
	case status == http.StatusOK:
		k.updateResults(func(results *callerResults) { results.answered++ })
	case strings.Contains(body, `"outcome":"notRun"`):
		k.updateResults(func(results *callerResults) {
			results.notRun, results.notRunBodies = append(results.notRun, id), append(results.notRunBodies, body)
		})
	case strings.Contains(body, `"outcome":"unknown"`):
		k.updateResults(func(results *callerResults) { results.unknown++ })
	default:
		k.unexpected(fmt.Sprintf("status %d without an outcome: %s", status, body))
	}
}

func (k *caller) updateResults(f func(*callerResults)) {
	k.results.mu.Lock()
	defer k.results.mu.Unlock()
	f(k.results)
}

// unexpected records an answer or error that no request should get.
func (k *caller) unexpected(what string) {
	k.updateResults(func(results *callerResults) { results.unexpected = append(results.unexpected, what) })
}

// checkResults compares the results that callers observed with the runs at the targets.
func (c *cluster) checkResults(results *callerResults) {
	c.t.Helper()
	c.t.Logf("answered %d, not run %d, unknown %d, lost %d", results.answered, len(results.notRun), results.unknown, results.lost)
	for _, w := range results.unexpected {
		c.t.Error(w)
	}
	ran := make(map[swid.RequestID]bool)
	for i, e := range c.engines {
		runsOnEngine := make(map[swid.RequestID]int)
		for _, r := range e.Attempts() {
			ran[r.RequestID] = true
			runsOnEngine[r.RequestID] += r.Runs
		}
		for id, runs := range runsOnEngine {
			if runs > 1 {
				c.t.Errorf("engine %d ran request %s %d times", i, id, runs)
			}
		}
	}
	runs := c.plain.Counts()
	for id := range runs.ByRequest {
		ran[swid.RequestID(id)] = true
	}
	for key, count := range runs.ByKey {
		if count > 1 {
			c.t.Errorf("the call with key %s ran %d times", key, count)
		}
	}
	for _, id := range results.notRun {
		if ran[id] {
			c.t.Errorf("request %s ran although its caller received the outcome notRun", id)
		}
	}
}
