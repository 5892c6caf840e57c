package swengine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/stand/swanswer"
	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
	"github.com/sassafraswing/sassafraswing/internal/stand/swversion"
)

// waitTimeout bounds each wait in these tests.
const waitTimeout = 20 * time.Second

var fastConfig = Config{TimeScale: 100, Slots: 2, CacheTokens: 1 << 12, StepInterval: 1}

func startEngine(t *testing.T, c Config) (*Engine, string) {
	t.Helper()
	e := New(c)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		e.Close()
		server.Close()
	})
	return e, server.URL
}

// reply is the response that a client received.
type reply struct {
	status   int
	id       string
	text     string
	events   int
	usage    *usageBody
	terminal bool
	err      error
}

// postCompletion posts a completion and reads the whole answer.
func postCompletion(t *testing.T, url, id, body, resumeFrom string) reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(headerRequestID, id)
	if resumeFrom != "" {
		request.Header.Set(headerResumeFrom, resumeFrom)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	got := reply{status: response.StatusCode, id: response.Header.Get(headerRequestID)}
	if response.Header.Get("Content-Type") == "text/event-stream" {
		got.readEvents(response.Body)
	} else {
		got.readWhole(response.Body)
	}
	return got
}

func (r *reply) readEvents(body io.Reader) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.terminal = true
			continue
		}
		r.events++
		r.addData([]byte(data))
	}
	r.err = lines.Err()
}

func (r *reply) readWhole(body io.Reader) {
	data, err := io.ReadAll(body)
	if r.err = err; err == nil {
		r.addData(data)
		r.terminal = r.err == nil
	}
}

func (r *reply) addData(data []byte) {
	var a answerBody
	if r.err = json.Unmarshal(data, &a); r.err != nil {
		return
	}
	if a.Usage != nil {
		r.usage = a.Usage
	}
	for _, c := range a.Choices {
		if c.Text != nil {
			r.text += *c.Text
		}
	}
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}

const (
	streamedRequest = `{"prompt":"hello","max_tokens":8,"stream":true,"stream_options":{"include_usage":true}}`
	wholeRequest    = `{"prompt":"hello","max_tokens":8}`
)

func TestAnswers(t *testing.T) {
	e, url := startEngine(t, fastConfig)
	want := swanswer.Text("hello", 8)
	for _, body := range []string{streamedRequest, wholeRequest} {
		got := postCompletion(t, url, "r1", body, "")
		if got.status != http.StatusOK || got.id != "r1" || got.text != want || !got.terminal || got.usage == nil {
			t.Errorf("%s: got %+v, want text %q", body, got, want)
		}
	}
	if runs := e.Attempts(); len(runs) != 1 || runs[0].Runs != 2 || runs[0].Completed != 2 || runs[0].WastedPromptTokens != 0 {
		t.Errorf("runs = %+v", runs)
	}
}

func TestCutStreamResumes(t *testing.T) {
	e, url := startEngine(t, fastConfig)
	addFault(t, e, swfault.Fault{Kind: kindCutAfter, After: 3, Count: 1})
	first := postCompletion(t, url, "r1", streamedRequest, "")
	if first.terminal || first.events != 3 {
		t.Fatalf("cut answer = %+v", first)
	}
	waitFor(t, "the broken stream counts as wasted", func() bool { return e.Attempts()[0].WastedPromptTokens == 2 })
	second := postCompletion(t, url, "r1", streamedRequest, "3")
	if !second.terminal || first.text+second.text != swanswer.Text("hello", 8) {
		t.Errorf("resumed answer = %+v after %+v", second, first)
	}
	waitFor(t, "the answer was sent", func() bool { return e.Attempts()[0].Completed == 1 })
	if got := e.Attempts()[0]; got.Runs != 1 || got.WastedPromptTokens != 0 {
		t.Errorf("run = %+v", got)
	}
	if unknown := postCompletion(t, url, "r2", streamedRequest, "3"); unknown.status != http.StatusConflict {
		t.Errorf("resume of an unknown stream = %+v", unknown)
	}
}

// TestVersions plays software versions of which each answer is bad, and one of which none is.
func TestVersions(t *testing.T) {
	bad := func(kind swversion.Kind) swversion.Version {
		return swversion.Version{Name: "v2", Badness: swversion.Badness{Kind: kind, Share: 1, Factor: 3}}
	}
	tests := []struct {
		name    string
		version swversion.Version
		// status is that of each answer, and whole is set if the stream is.
		status int
		whole  bool
	}{
		{"sound", swversion.Version{Name: "v2"}, http.StatusOK, true},
		{"fails", bad(swversion.KindFails), http.StatusInternalServerError, false},
		{"cuts", bad(swversion.KindCuts), http.StatusOK, false},
		{"slow", bad(swversion.KindSlow), http.StatusOK, true},
		{"fails at another path", swversion.Version{Badness: swversion.Badness{Kind: swversion.KindFails, Share: 1, Path: "/v1/chat"}}, http.StatusOK, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			config := fastConfig
			config.Version = tt.version
			_, url := startEngine(t, config)
			got := postCompletion(t, url, "r1", streamedRequest, "")
			whole := got.terminal && got.text == swanswer.Text("hello", 8)
			if got.status != tt.status || whole != tt.whole {
				t.Errorf("streamed answer %+v", got)
			}
			if tt.version.Badness.Kind == swversion.KindCuts {
				rest := postCompletion(t, url, "r1", streamedRequest, strconv.Itoa(got.events))
				if got.events == 0 || !rest.terminal || got.text+rest.text != swanswer.Text("hello", 8) {
					t.Errorf("continued answer %+v after %+v", rest, got)
				}
			}
			got = postCompletion(t, url, "r2", wholeRequest, "")
			if cut := got.err != nil && got.status == 0; cut != (tt.version.Badness.Kind == swversion.KindCuts) || !cut && got.status != tt.status {
				t.Errorf("whole answer %+v", got)
			}
		})
	}
}

// TestSlowSequence checks that a slow sequence takes its factor of steps, and another one beside it as many as alone.
func TestSlowSequence(t *testing.T) {
	b := &batch{config: Config{Slots: 2, PrefillRate: 1000, DecodeRate: 100, TimeScale: 1}.withDefaults(), cache: newPrefixCache(Config{}.withDefaults())}
	sound, slow := &sequence{prompt: 1, output: 11, slowdown: 1}, &sequence{prompt: 1, output: 11, slowdown: 4}
	b.submit(sound)
	b.submit(slow)
	ends := make(map[*sequence]swclock.Millis)
	for now := swclock.Millis(10); now < 10*swclock.Second && !b.idle(); now += 10 {
		b.step(now, 1)
		for _, s := range []*sequence{sound, slow} {
			if _, ended := ends[s]; s.finished() && s.produced > 0 && !ended {
				ends[s] = now
			}
		}
	}
	if ends[sound] == 0 || ends[slow] < 3*ends[sound] || ends[slow] > 5*ends[sound] {
		t.Errorf("the sound sequence ended at %d ms, the slow one at %d ms", ends[sound], ends[slow])
	}
}

func addFault(t *testing.T, e *Engine, f swfault.Fault) {
	t.Helper()
	if err := e.Faults().Add(f); err != nil {
		t.Fatal(err)
	}
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault swfault.Fault
		check func(reply) bool
	}{
		{"truncate", swfault.Fault{Kind: kindTruncate, After: 2}, func(r reply) bool {
			return r.err == nil && !r.terminal && r.events == 2
		}},
		{"cross", swfault.Fault{Kind: kindCrossAnswers}, func(r reply) bool {
			return r.id == "r0" && r.terminal && r.text != swanswer.Text("hello", 8)
		}},
		{"refuse", swfault.Fault{Kind: swfault.KindRefuse}, func(r reply) bool {
			return r.status == http.StatusServiceUnavailable
		}},
		{"crash", swfault.Fault{Kind: swfault.KindCrash}, func(r reply) bool { return r.err != nil }},
		{"crash with status", swfault.Fault{Kind: swfault.KindCrash, Status: 503}, func(r reply) bool { return r.status == 503 }},
		{"poison", swfault.Fault{Kind: kindCrashOn, Contains: "hel"}, func(r reply) bool { return r.err != nil || !r.terminal }},
		{"late", swfault.Fault{Kind: kindLateAnswers, Delay: 1}, func(r reply) bool { return r.terminal }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e, url := startEngine(t, fastConfig)
			postCompletion(t, url, "r0", `{"prompt":"another","max_tokens":8}`, "")
			addFault(t, e, test.fault)
			if got := postCompletion(t, url, "r1", streamedRequest, ""); !test.check(got) {
				t.Errorf("got %+v", got)
			}
			e.Faults().ClearAll()
			if got := postCompletion(t, url, "r2", streamedRequest, ""); got.text != swanswer.Text("hello", 8) {
				t.Errorf("after the fault: %+v", got)
			}
		})
	}
}

func TestFreezeAndSilence(t *testing.T) {
	for _, kind := range []swfault.Kind{swfault.KindFreeze, swfault.KindSilence} {
		t.Run(string(kind), func(t *testing.T) {
			e, url := startEngine(t, fastConfig)
			addFault(t, e, swfault.Fault{Kind: kind})
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/load", nil)
			if err != nil {
				t.Fatal(err)
			}
			if response, err := http.DefaultClient.Do(request); err == nil {
				response.Body.Close()
				t.Errorf("answered %d", response.StatusCode)
			}
			e.Faults().Clear(kind)
			if got := postCompletion(t, url, "r1", wholeRequest, ""); got.status != http.StatusOK {
				t.Errorf("after the fault: %+v", got)
			}
		})
	}
}

func TestCancelFreesTheSlotAndCountsWaste(t *testing.T) {
	c := fastConfig
	c.Slots, c.TimeScale, c.DecodeRate = 1, 1, 1
	e, url := startEngine(t, c)
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", strings.NewReader(streamedRequest))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := response.Body.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	cancel()
	waitFor(t, "the slot is free", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.batch.idle()
	})
	if got := e.Attempts()[0]; got.Completed != 0 || got.WastedPromptTokens != got.PromptTokens || got.PromptTokens != 2 {
		t.Errorf("run = %+v", got)
	}
}

func TestOrders(t *testing.T) {
	tests := []struct {
		name     string
		enforces bool
		token    string
		given    string
		statuses []int // for fencing numbers 2, then 1
	}{
		{"honoured", true, "", "", []int{200, 409}},
		{"ignored", false, "", "", []int{200, 200}},
		{"right token", true, "secret", "Bearer secret", []int{200, 409}},
		{"wrong token", false, "secret", "Bearer other", []int{403, 403}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, url := startEngine(t, Config{EnforceFencing: test.enforces, CallerToken: test.token})
			for i, order := range []string{`{"order":"setRole","role":"prefill","fencing":2}`, `{"order":"loadModel","model":"m","fencing":1}`} {
				request, err := http.NewRequest(http.MethodPost, url+"/orders", strings.NewReader(order))
				if err != nil {
					t.Fatal(err)
				}
				request.Header.Set("Authorization", test.given)
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					t.Fatal(err)
				}
				response.Body.Close()
				if response.StatusCode != test.statuses[i] {
					t.Errorf("order %d: status %d, want %d", i, response.StatusCode, test.statuses[i])
				}
			}
		})
	}
}

func TestCacheEvents(t *testing.T) {
	clock := &swclock.Manual{}
	cache := newPrefixCache(Config{CacheTokens: 128, EventLimit: 4}.withDefaults())
	cache.insert(clock.Now(), []swid.PrefixHash{1, 2})
	if got := cache.lookup([]swid.PrefixHash{1, 2, 3}); got != 128 {
		t.Errorf("cached %d tokens, want 128", got)
	}
	first, events := cache.eventsAfter(0, clock.Now())
	if first != 0 || len(events) != 2 {
		t.Errorf("events = %d %+v", first, events)
	}
	cache.insert(clock.Advance(10), []swid.PrefixHash{3, 4})
	if _, events := cache.eventsAfter(2, 9); len(events) != 0 {
		t.Errorf("published early: %+v", events)
	}
	if first, events := cache.eventsAfter(0, 10); first != 2 || len(events) != 4 {
		t.Errorf("events after the gap = %d %+v", first, events)
	}
}
