package swadmin

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/config/swexample"
	"github.com/sassafraswing/sassafraswing/internal/config/swrelay"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/stand/swmemstore"
)

type fakeNode struct{ draining atomic.Bool }

func (n *fakeNode) Status() Status {
	return Status{Host: "h1", Draining: n.draining.Load(), Members: []MemberStatus{{Host: "h1", State: "alive", Version: 3}}}
}

func (n *fakeNode) Ready() error {
	if n.draining.Load() {
		return errors.New("draining")
	}
	return nil
}

func (n *fakeNode) SetDraining(draining bool) { n.draining.Store(draining) }

// testServer serves the API over a store in memory.
type testServer struct {
	t           *testing.T
	store       *swmemstore.Store
	broadcaster *EventBroadcaster
	server      *httptest.Server
}

func newTestServer(t *testing.T) *testServer {
	d := &testServer{t: t, store: swmemstore.New(1), broadcaster: NewEventBroadcaster()}
	// The relay reads and changes the document without Run, so it needs no members and no sender.
	relay := swrelay.New(swrelay.Config{Environment: "trial"}, d.store, nil, nil, &swclock.Manual{})
	h := NewHandler(&fakeNode{}, relay, d.broadcaster, prometheus.NewRegistry(), zerolog.Nop())
	d.server = httptest.NewServer(h)
	t.Cleanup(d.server.Close)
	return d
}

// call sends a request and returns the status and body of the response.
func (d *testServer) call(method, path, body string) (int, string) {
	d.t.Helper()
	r, err := http.NewRequestWithContext(d.t.Context(), method, d.server.URL+path, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		d.t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		d.t.Fatal(err)
	}
	return response.StatusCode, string(data)
}

func TestHandler(t *testing.T) {
	d := newTestServer(t)
	document := string(swexample.Document())
	tests := []struct {
		method, path, body string
		status             int
		contains           string
	}{
		{"GET", "/livez", "", 200, ""},
		{"GET", "/readyz", "", 200, ""},
		{"GET", "/status", "", 200, `"version":3`},
		{"GET", "/metrics", "", 200, ""},
		{"POST", "/targets/engine-1/drain", "", 404, `"notFound"`},
		{"POST", "/validate", document, 204, ""},
		{"POST", "/validate", "name: x\nfoo: 1\n", 400, `document:2: foo: unknown key`},
		{"PUT", "/document", document, 400, `no base version`},
		{"PUT", "/document?base=0", "name: x\n", 400, `"invalid"`},
		{"PUT", "/document?base=0&change=a", document, 200, `{"version":1,"change":"a"}`},
		{"PUT", "/document?base=0&change=a", document, 200, `{"version":1,"change":"a"}`},
		{"PUT", "/document?base=0&change=b", document, 409, `"current":1`},
		{"PUT", "/document?base=1&change=a", document + "\n", 422, `"changeIdUsed"`},
		{"PUT", "/document?base=1&change=" + strings.Repeat("x", maxChangeIDBytes+1), document, 400, `"invalid"`},
		{"POST", "/targets/none/drain", "", 404, `"notFound"`},
		{"POST", "/targets/engine-1/drain?change=c", "", 200, `{"version":2,"change":"c"}`},
		{"POST", "/targets/engine-1/drain", "", 200, `"version":2`},
		{"GET", "/document", "", 200, "{draining: true, id: engine-1"},
		{"POST", "/targets/engine-1/undrain", "", 200, `"version":3`},
		{"POST", "/hosts/h2/drain", "", 404, "this is host h1"},
		{"POST", "/hosts/h1/drain", "", 204, ""},
		{"GET", "/readyz", "", 503, "draining"},
		{"POST", "/hosts/h1/undrain", "", 204, ""},
		{"GET", "/readyz", "", 200, ""},
	}
	for i, tt := range tests {
		status, body := d.call(tt.method, tt.path, tt.body)
		if status != tt.status || !strings.Contains(body, tt.contains) {
			t.Errorf("%d: %s %s: %d %s", i, tt.method, tt.path, status, body)
		}
	}
}

func TestPlatformOutage(t *testing.T) {
	d := newTestServer(t)
	d.store.SetFaults(swmemstore.Faults{Outage: true})
	for _, path := range []string{"/document?base=0", "/document?base=1"} {
		if status, body := d.call("PUT", path, string(swexample.Document())); status != 503 || !strings.Contains(body, `"notApplied"`) {
			t.Errorf("%d %s", status, body)
		}
	}
	if status, _ := d.call("GET", "/document", ""); status != 503 {
		t.Errorf("document: %d", status)
	}
}

// TestRacingDrains drains several targets concurrently while the store loses
// the responses of 30% of the writes. Each change rewrites the whole document,
// so a change made on an old version could undo the flag of another target.
func TestRacingDrains(t *testing.T) {
	d := newTestServer(t)
	if status, body := d.call("PUT", "/document?base=0", string(swexample.Document())); status != 200 {
		t.Fatal(body)
	}
	d.store.SetFaults(swmemstore.Faults{LostResponseRate: 0.3})
	targets := []string{"engine-1", "engine-2", "records-1"}
	var group sync.WaitGroup
	for _, id := range targets {
		group.Go(func() {
			for _, verb := range []string{"drain", "undrain", "drain"} {
				if status, body := d.call("POST", "/targets/"+id+"/"+verb, ""); status != 200 {
					t.Errorf("%s %s: %d %s", verb, id, status, body)
				}
			}
		})
	}
	group.Wait()
	_, document := d.call("GET", "/document", "")
	if n := strings.Count(document, "draining: true"); n != len(targets) {
		t.Errorf("%d of %d targets are draining:\n%s", n, len(targets), document)
	}
}

func TestFollow(t *testing.T) {
	d := newTestServer(t)
	response, err := http.Get(d.server.URL + "/follow") // the response header is sent after the follower is added
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	sent := Event{At: 1500, Kind: EventTarget, Subject: "engine-1", Text: "down"}
	d.broadcaster.Publish(sent)
	line, err := bufio.NewReader(response.Body).ReadBytes('\n')
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeEvent(line); err != nil || got != sent {
		t.Errorf("got %+v, %v", got, err)
	}
}

// TestSlowFollower checks that publishing to a follower with a full buffer does
// not block and that the follower then receives a gap event.
func TestSlowFollower(t *testing.T) {
	b := NewEventBroadcaster()
	f := b.follow()
	for i := range followerCapacity + 10 {
		b.Publish(Event{Text: fmt.Sprint(i)})
	}
	for range 2 {
		<-f.events.Items()
	}
	b.Publish(Event{Text: "last"})
	var last []Event
	for f.events.Len() > 0 {
		last = append(last, <-f.events.Items())
	}
	n := len(last)
	if last[n-2].Kind != EventGap || last[n-1].Text != "last" {
		t.Errorf("got %+v", last[n-2:])
	}
}

func TestStatusCodec(t *testing.T) {
	want := Status{
		Host: "h", Zone: "z", Region: "r", Version: 4, Draining: true,
		Targets: []TargetStatus{{ID: "t", Service: "s", Zone: "z", State: "active", Running: 2}},
		Cells:   []CellStatus{{ID: "s@r", Epoch: 3, Tiers: []TierStatus{{Tier: "batch", Waiting: 1, Running: 2}}}},
		Members: []MemberStatus{{Host: "m", Zone: "z", State: "suspect", Version: 3}},
	}
	data, err := EncodeStatus(want)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeStatus(data); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v", got, err)
	}
}
