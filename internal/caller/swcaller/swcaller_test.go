package swcaller

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/caller/swcallerconn"
	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// TestRefusalDuringBody guards against refusals that are lost because their connection is closed while the caller still sends the body.
func TestRefusalDuringBody(t *testing.T) {
	tests := []struct {
		name, method, path string
		document           *swdoc.Document
		status             int
	}{
		{"no configuration", http.MethodPost, "/v1/completions", nil, 503},
		{"unknown key", http.MethodPost, "/v1/completions", &swdoc.Document{}, 401},
		{"unknown key of a service's caller", http.MethodPut, "/services/s/x", &swdoc.Document{}, 401},
		{"no such path", http.MethodPost, "/none", &swdoc.Document{}, 404},
		{"no such method", http.MethodPost, "/v1/models", &swdoc.Document{}, 405},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := New(swsettings.Caller{BodyTimeout: swclock.Minute, WriteTimeout: swclock.Minute, MaxBodyBytes: 1 << 20}, "r", nil, swclock.NewSystem(), zerolog.Nop())
			if tt.document != nil {
				s.Configure(tt.document)
			}
			server := httptest.NewServer(s)
			defer server.Close()
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n", tt.method, tt.path); err != nil {
				t.Fatal(err)
			}
			for range 30 {
				if _, err := io.WriteString(c, strings.Repeat("x", 30_000)); err != nil {
					t.Fatalf("write: %v", err)
				}
				time.Sleep(30 * time.Millisecond)
			}
			if err := c.SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || response.StatusCode != tt.status {
				t.Fatalf("refusal %+v, error %v", response, err)
			}
			if body, err := io.ReadAll(response.Body); err != nil || len(body) == 0 {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}

// TestShutdownDuringBody guards against a body that is waited for until the host ends without an answer.
func TestShutdownDuringBody(t *testing.T) {
	settings := swsettings.Caller{BodyTimeout: 10 * swclock.Second, WriteTimeout: swclock.Minute, HeaderTimeout: swclock.Minute, MaxBodyBytes: 1 << 20}
	s := New(settings, "r", nil, swclock.NewSystem(), zerolog.Nop())
	key := sha256.Sum256([]byte("key"))
	s.Configure(&swdoc.Document{Organisations: []swdoc.Organisation{{ID: "o", KeyHashes: []string{hex.EncodeToString(key[:])}}}})
	server := httptest.NewUnstartedServer(nil)
	server.Config = s.HTTP()
	server.Start()
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	const head = "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: 1000\r\nExpect: 100-continue\r\n\r\n"
	if _, err := io.WriteString(c, head+"half"); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(c)
	if asked, err := http.ReadResponse(reader, nil); err != nil || asked.StatusCode != http.StatusContinue {
		t.Fatalf("response %+v, error %v", asked, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- server.Config.Shutdown(ctx) }()
	if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("response %+v, error %v", response, err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestBodyWithoutRoom checks that a request without room for its body is refused as not run, with when to come back.
func TestBodyWithoutRoom(t *testing.T) {
	settings := swsettings.Caller{BodyTimeout: 10 * swclock.Second, WriteTimeout: swclock.Minute, HeaderTimeout: swclock.Minute, MaxBodyBytes: 1 << 20}
	s := New(settings, "r", nil, swclock.NewSystem(), zerolog.Nop())
	key := sha256.Sum256([]byte("key"))
	s.Configure(&swdoc.Document{Organisations: []swdoc.Organisation{{ID: "o", KeyHashes: []string{hex.EncodeToString(key[:])}}}})
	intake := swcallerconn.NewIntake(100, 1<<20, swclock.NewSystem()) // less than the body
	server := httptest.NewUnstartedServer(nil)
	server.Config = s.HTTP()
	server.Listener = swcallerconn.Observe(server.Listener, swcallerconn.Observation{Intake: intake, Log: zerolog.Nop()})
	server.Start()
	defer server.Close()
	request, err := http.NewRequest(http.MethodPost, server.URL+"/v1/completions", strings.NewReader(strings.Repeat("x", 1<<20)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer key")
	response, err := server.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") != "1" ||
		!strings.Contains(string(body), `"outcome":"notRun"`) || !strings.Contains(string(body), `"code":"noRoom"`) {
		t.Errorf("response %+v, body %s, error %v", response, body, err)
	}
	if held := intake.Bodies.Held(); held != 0 {
		t.Errorf("%d bytes held", held)
	}
}

// deadlineRecorder is a response recorder that takes read deadlines.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (deadlineRecorder) SetReadDeadline(time.Time) error { return nil }

// writeRecorder is a response recorder that counts the write deadlines that are set.
type writeRecorder struct {
	*httptest.ResponseRecorder
	deadlines int
}

// SetWriteDeadline is called by http.ResponseController.
func (r *writeRecorder) SetWriteDeadline(time.Time) error {
	r.deadlines++
	return nil
}

// TestSlowReader guards against callers that read an answer slowly and keep the host's memory for as many write timeouts as it has pieces.
func TestSlowReader(t *testing.T) {
	for _, tt := range []struct {
		stream            bool
		status, deadlines int
	}{{false, 200, 1}, {true, 500, 1}, {true, 200, 3}} {
		w := &writeRecorder{ResponseRecorder: httptest.NewRecorder()}
		s := &sink{writer: w, controller: http.NewResponseController(w), timeout: swclock.Second, stream: tt.stream}
		if err := s.Begin(tt.status, nil); err != nil {
			t.Fatal(err)
		}
		for range 3 {
			if err := s.Write([]byte("piece")); err != nil {
				t.Fatal(err)
			}
		}
		if w.deadlines != tt.deadlines {
			t.Errorf("%+v: %d write deadlines for three pieces", tt, w.deadlines)
		}
	}
}

// slowBody is a body during whose arrival something happens.
type slowBody struct {
	*strings.Reader
	happens func()
}

// Read implements io.Reader.
func (b slowBody) Read(p []byte) (int, error) {
	b.happens()
	return b.Reader.Read(p)
}

// TestChangeWhileBodyArrives guards against requests that are served by a document that is not in force when their body is complete.
func TestChangeWhileBodyArrives(t *testing.T) {
	hash := sha256.Sum256([]byte("key"))
	document := swdoc.Document{
		Organisations: []swdoc.Organisation{{ID: "o", KeyHashes: []string{hex.EncodeToString(hash[:])}}},
		Services:      []swdoc.Service{{ID: "m", Kind: swdoc.KindModel}},
		Tiers:         []swdoc.Tier{{Name: "t", Deadline: 1000}},
	}
	withoutKey, withoutService := document, document
	withoutKey.Organisations, withoutService.Services = nil, nil
	tests := []struct {
		name   string
		change *swdoc.Document
		code   string
	}{
		{"nothing", &document, "noTarget"},
		{"the key is removed", &withoutKey, "unknownApiKey"},
		{"the service is removed", &withoutService, "noSuchModel"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New(swsettings.Caller{BodyTimeout: swclock.Minute, MaxBodyBytes: 1000}, "r", nil, swclock.NewSystem(), zerolog.Nop())
			s.Configure(&document)
			r := httptest.NewRequest(http.MethodPost, "/v1/completions", slowBody{strings.NewReader(`{"model":"m","prompt":"p"}`), func() { s.Configure(tt.change) }})
			r.Header.Set("Authorization", "Bearer key")
			w := deadlineRecorder{httptest.NewRecorder()}
			s.ServeHTTP(w, r)
			if !strings.Contains(w.Body.String(), `"code":"`+tt.code+`"`) {
				t.Errorf("response %s, want code %s", w.Body, tt.code)
			}
		})
	}
}

// TestErrorOfTargetIsNotRepeated guards against client libraries that send a request again which must not run twice, because of the
// status with which its target answered.
func TestErrorOfTargetIsNotRepeated(t *testing.T) {
	for _, tt := range []struct {
		once   bool
		status int
		want   string
	}{{true, 200, ""}, {true, 408, "false"}, {true, 429, "false"}, {true, 500, "false"}, {true, 503, "false"}, {false, 503, ""}} {
		w := httptest.NewRecorder()
		s := &sink{writer: w, controller: http.NewResponseController(w), timeout: swclock.Second, once: tt.once}
		if err := s.Begin(tt.status, http.Header{"Content-Type": {"text/plain"}}); err != nil {
			t.Fatal(err)
		}
		if got := w.Header().Get(headerShouldRetry); got != tt.want {
			t.Errorf("%+v: %s is %q", tt, headerShouldRetry, got)
		}
	}
}
