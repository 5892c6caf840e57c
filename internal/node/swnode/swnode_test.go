package swnode

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/config/swexample"
	"github.com/sassafraswing/sassafraswing/internal/config/swrelay"
	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swexchange"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/stand/swengine"
	"github.com/sassafraswing/sassafraswing/internal/stand/swplain"
	"github.com/sassafraswing/sassafraswing/internal/store/swclaim"
	"github.com/sassafraswing/sassafraswing/internal/target/swcall"
	"github.com/sassafraswing/sassafraswing/internal/target/swopenai"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// singleHost implements the sources and the router of a deployment with one host.
type singleHost struct {
	host     swid.HostID
	document *swdoc.Document
}

func (h singleHost) Current() swrelay.CurrentDocument {
	return swrelay.CurrentDocument{Version: 1, Document: h.document}
}
func (h singleHost) Members() []swmember.Member                                             { return nil }
func (h singleHost) Owner(swid.CellID) (swid.HostID, bool)                                  { return h.host, false }
func (h singleHost) Doubt(swid.HostID)                                                      {}
func (h singleHost) Vouch(swid.HostID)                                                      {}
func (h singleHost) ObserveEpoch(swid.CellID, swid.Epoch)                                   {}
func (h singleHost) NextEpoch(swid.CellID) swid.Epoch                                       { return 1 }
func (h singleHost) Watch(context.Context, swid.CellID, []swdoc.Target, func(swcell.Event)) {}

type singleHostConfig struct{ singleHost }

func (h singleHostConfig) Subscribe(apply func(swrelay.CurrentDocument)) { apply(h.Current()) }

type singleHostMembers struct{ singleHost }

func (h singleHostMembers) Subscribe(func([]swmember.Member)) {}

// memoryClaims is a claim registry in memory. It implements swclaim.Registry.
type memoryClaims struct {
	mu      sync.Mutex
	entries map[swclaim.Key]swclaim.Decision
}

func (c *memoryClaims) Claim(_ context.Context, e swclaim.Entry) (swclaim.Decision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d, known := c.entries[e.Key]; known {
		return d, nil
	}
	c.entries[e.Key] = swclaim.Decision{Outcome: swclaim.OutcomeUnknown}
	return swclaim.Decision{Granted: true}, nil
}

func (c *memoryClaims) RecordOutcome(e swclaim.Entry, d swclaim.Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[e.Key] = d
}

// newAdapterFactory returns a function that creates the adapter of a plain service or an engine.
func newAdapterFactory(clock swclock.Clock) func(swdoc.Target, swdoc.ServiceKind) swtarget.Adapter {
	return func(t swdoc.Target, kind swdoc.ServiceKind) swtarget.Adapter {
		if kind == swdoc.KindPlain {
			return swcall.New(t.URL, clock)
		}
		return swopenai.New(t.URL, clock)
	}
}

// system is one host in front of two engines and a plain service.
type system struct {
	url     string
	engines []*swengine.Engine
	plain   *swplain.Service
	stop    context.CancelFunc
	stopped chan error
}

func startSystem(t *testing.T, engine swengine.Config) *system {
	t.Helper()
	document, err := swdoc.Parse(swexample.DocumentFile, swexample.Document())
	if err != nil {
		t.Fatal(err)
	}
	settings, err := swsettings.Parse(swexample.SettingsFile, swexample.Settings())
	if err != nil {
		t.Fatal(err)
	}
	settings.Caller.Address = "127.0.0.1:0"
	s := &system{stopped: make(chan error, 1)}
	for i := range document.Targets {
		document.Targets[i].URL = s.startTarget(t, document.Targets[i], engine)
	}
	clock := swclock.NewSystem()
	self := swlink.Peer{Host: settings.Host, Incarnation: 1}
	exchange := swexchange.New(self)
	h := singleHost{host: settings.Host, document: document}
	node := New(settings, Dependencies{
		Self: self, Clock: clock, Log: zerolog.Nop(), Sender: exchange, Router: h,
		Members: singleHostMembers{h}, Config: singleHostConfig{h}, Watcher: h,
		Claims:   &memoryClaims{entries: make(map[swclaim.Key]swclaim.Decision)},
		Adapters: newAdapterFactory(clock), Registry: prometheus.NewRegistry(),
	})
	exchange.Connect(nil, func(swlink.Peer) {}, node.Holder(), node.Owner())
	if err := node.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop, s.url = cancel, "http://"+node.Address()
	go func() { s.stopped <- node.Run(ctx, context.Background()) }()
	t.Cleanup(func() {
		cancel()
		if err := <-s.stopped; err != nil {
			t.Error(err)
		}
	})
	return s
}

func (s *system) startTarget(t *testing.T, target swdoc.Target, config swengine.Config) string {
	t.Helper()
	var handler http.Handler
	if target.Generation == "" {
		s.plain = swplain.New(swplain.Config{})
		t.Cleanup(s.plain.Close)
		handler = s.plain.Handler()
	} else {
		engine := swengine.New(config)
		t.Cleanup(engine.Close)
		s.engines = append(s.engines, engine)
		handler = engine.Handler()
	}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

// TestOpenAIClient checks that the official OpenAI client library works against the host.
func TestOpenAIClient(t *testing.T) {
	s := startSystem(t, swengine.Config{TimeScale: 20})
	client := openai.NewClient(option.WithBaseURL(s.url+"/v1"), option.WithAPIKey(swexample.APIKey), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model:     "chat",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("What is the balance?")},
		MaxTokens: openai.Int(20),
	}
	whole, err := client.Chat.Completions.New(t.Context(), params)
	if err != nil {
		t.Fatal(err)
	}
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	var text strings.Builder
	for stream.Next() {
		for _, c := range stream.Current().Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if got, want := text.String(), whole.Choices[0].Message.Content; got != want || want == "" {
		t.Errorf("streamed %q, whole %q", got, want)
	}
	models, err := client.Models.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(models.Data) != 1 || models.Data[0].ID != "chat" {
		t.Errorf("models are %+v", models.Data)
	}
}

// post sends a POST request to the host and returns the status and the body of the answer.
func (s *system) post(t *testing.T, path, key, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.url+path, bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+swexample.APIKey)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(data)
}

// TestNonIdempotentCall checks that a call repeated with the same idempotency key runs once.
func TestNonIdempotentCall(t *testing.T) {
	s := startSystem(t, swengine.Config{TimeScale: 20})
	status, first := s.post(t, "/services/records/records", "k1", `{"amount":3}`)
	if status != http.StatusOK {
		t.Fatalf("status %d: %s", status, first)
	}
	if _, second := s.post(t, "/services/records/records", "k1", `{"amount":3}`); second != first {
		t.Errorf("repeated key: got %s, want %s", second, first)
	}
	if runs := len(s.plain.Counts().ByRequest); runs != 1 {
		t.Errorf("the call ran %d times", runs)
	}
}

func TestErrors(t *testing.T) {
	s := startSystem(t, swengine.Config{TimeScale: 20})
	tests := []struct {
		name, path, body string
		status           int
		code             string
	}{
		{"unknown model", "/v1/completions", `{"model":"x","prompt":"p"}`, 404, "noSuchModel"},
		{"no prompt", "/v1/completions", `{"model":"chat"}`, 400, "missingPrompt"},
		{"not JSON", "/v1/chat/completions", `{`, 400, "invalidJson"},
		{"unknown service", "/services/x/records", ``, 404, "noSuchService"},
		{"unknown route", "/services/records/other", ``, 404, "noSuchRoute"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, body := s.post(t, tt.path, "", tt.body)
			var e struct {
				Error struct{ Code, Outcome string }
			}
			if err := json.Unmarshal([]byte(body), &e); err != nil {
				t.Fatal(err)
			}
			if status != tt.status || e.Error.Code != tt.code || e.Error.Outcome != "notRun" {
				t.Errorf("got %d %+v", status, e.Error)
			}
		})
	}
}
