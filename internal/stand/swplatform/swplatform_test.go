package swplatform

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// waitTimeout bounds each wait in these tests.
const waitTimeout = 20 * time.Second

func startPlatform(t *testing.T, c Config, options ...Option) (*Platform, string) {
	t.Helper()
	p := New(c, options...)
	server := httptest.NewServer(p.Handler())
	t.Cleanup(func() {
		p.Close()
		server.Close()
	})
	return p, server.URL
}

// sendRequest returns the status and the body of the response; the status is 0 if
// the connection was cut.
func sendRequest(t *testing.T, method, url, ifMatch, body string) (int, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(read)
}

func TestConditionalUpdates(t *testing.T) {
	_, url := startPlatform(t, Config{})
	steps := []struct {
		method, ifMatch, body string
		status                int
		answer                string
	}{
		{"GET", "", "", 404, ""},
		{"PUT", `"1"`, "a", 412, ""},
		{"PUT", `"0"`, "a", 200, `{"version":1}`},
		{"PUT", `"0"`, "b", 412, ""},
		{"PUT", `"1"`, "b", 200, `{"version":2}`},
		{"PUT", "", "c", 400, ""},
		{"PUT", `"2"`, strings.Repeat("x", swobject.MaxValueBytes+1), 413, ""},
		{"GET", "", "", 200, `{"key":"a/b","version":2,"value":"Yg=="}`},
	}
	for i, s := range steps {
		status, answer := sendRequest(t, s.method, url+"/objects/a/b", s.ifMatch, s.body)
		if status != s.status || s.answer != "" && answer != s.answer {
			t.Errorf("step %d: got %d %s, want %d %s", i, status, answer, s.status, s.answer)
		}
	}
}

func TestWatch(t *testing.T) {
	_, url := startPlatform(t, Config{})
	if status, _ := sendRequest(t, "GET", url+"/objects/k?watch=true&after=0&waitMillis=1", "", ""); status != 204 {
		t.Errorf("a watch without a change ended with %d", status)
	}
	got := make(chan string, 1)
	go func() {
		_, body := sendRequest(t, "GET", url+"/objects/k?watch=true&after=0&waitMillis=60000", "", "")
		got <- body
	}()
	sendRequest(t, "PUT", url+"/objects/k", `"0"`, "v")
	if body := <-got; body != `{"key":"k","version":1,"value":"dg=="}` {
		t.Errorf("watch got %s", body)
	}
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name   string
		fault  swfault.Fault
		status int
		// written is whether the write took effect despite the fault.
		written bool
	}{
		{"outage", swfault.Fault{Kind: KindOutage}, 503, false},
		{"cut", swfault.Fault{Kind: KindOutage, Status: statusCloseConnection}, 0, false},
		{"rate limit", swfault.Fault{Kind: KindRateLimit}, 429, false},
		{"lost answer", swfault.Fault{Kind: KindLoseAnswer}, 0, true},
		{"slow", swfault.Fault{Kind: swfault.KindSlow, Delay: 1}, 200, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, url := startPlatform(t, Config{})
			if err := p.Faults().Add(test.fault); err != nil {
				t.Fatal(err)
			}
			if status, _ := sendRequest(t, "PUT", url+"/objects/k", `"0"`, "v"); status != test.status {
				t.Errorf("status %d, want %d", status, test.status)
			}
			p.Faults().ClearAll()
			if status, _ := sendRequest(t, "GET", url+"/objects/k", "", ""); (status == 200) != test.written {
				t.Errorf("after the fault, reading the object returned status %d", status)
			}
		})
	}
}

func TestOutageCutsWatches(t *testing.T) {
	p, url := startPlatform(t, Config{})
	ended := make(chan int, 1)
	go func() {
		status, _ := sendRequest(t, "GET", url+"/objects/k?watch=true&waitMillis=60000", "", "")
		ended <- status
	}()
	for end := time.Now().Add(waitTimeout); p.Calls().Watches == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if err := p.Faults().Add(swfault.Fault{Kind: KindOutage}); err != nil {
		t.Fatal(err)
	}
	if status := <-ended; status != 0 && status != 503 {
		t.Errorf("the watch ended with %d", status)
	}
}

func TestHostsLag(t *testing.T) {
	clock := &swclock.Manual{}
	old := swobject.Host{ID: "a", Zone: "z", Region: "r", Address: "127.0.0.1:1", State: swobject.HostLive}
	_, url := startPlatform(t, Config{HostLag: 100, Hosts: []swobject.Host{old}}, WithClock(clock))
	const before = `[{"id":"a","zone":"z","region":"r","address":"127.0.0.1:1","state":"live"}]`
	const after = `[{"id":"a","zone":"z","region":"r","address":"127.0.0.1:1","state":"leaving"}]`
	clock.Advance(1000)
	if status, _ := sendRequest(t, "POST", url+"/admin/hosts", "", after); status != 204 {
		t.Fatalf("set hosts: %d", status)
	}
	if _, got := sendRequest(t, "GET", url+"/hosts", "", ""); got != before {
		t.Errorf("before the lag is over: %s", got)
	}
	clock.Advance(100)
	if _, got := sendRequest(t, "GET", url+"/hosts", "", ""); got != after {
		t.Errorf("after the lag: %s", got)
	}
}

func TestRateLimitAndCounters(t *testing.T) {
	p, url := startPlatform(t, Config{WriteRate: 1, ReadRate: 1e9})
	sendRequest(t, "PUT", url+"/objects/a", `"0"`, "v")
	if status, _ := sendRequest(t, "PUT", url+"/objects/b", `"0"`, "v"); status != 429 {
		t.Errorf("second write: %d", status)
	}
	sendRequest(t, "GET", url+"/objects/a", "", "")
	if status, body := sendRequest(t, "GET", url+"/weights/m?bytes=10", "", ""); status != 200 || len(body) != 10 {
		t.Errorf("weights: %d, %d bytes", status, len(body))
	}
	want := Calls{Reads: 1, Writes: 2, Weights: 1, Refused: 1}
	if got := p.Calls(); got != want {
		t.Errorf("calls = %+v, want %+v", got, want)
	}
}
