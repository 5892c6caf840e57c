package swprobe

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

func TestPollLoad(t *testing.T) {
	status := http.StatusOK
	var clock swclock.Manual
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		clock.Advance(30)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, `{"running":3,"waiting":1,"ageMillis":200}`)
	}))
	defer server.Close()
	var got []swcell.Event
	p := New(Config{Target: "t", URL: server.URL}, &clock, func(e swcell.Event) { got = append(got, e) })
	for _, status = range []int{200, 500, 500, 200, 500, 500, 500, 500, 200} {
		_ = p.PollLoad(context.Background())
	}
	load := swcell.LoadReport{Target: "t", Running: 3, Waiting: 1, Age: 230}
	want := []swcell.Event{load, load, swcell.TargetReachability{Target: "t"}, swcell.TargetReachability{Target: "t", Reachable: true}, load}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestPollPlain(t *testing.T) {
	server := httptest.NewServer(nil)
	var got []swcell.Event
	p := New(Config{Target: "t", URL: server.URL, Plain: true}, swclock.NewSystem(), func(e swcell.Event) { got = append(got, e) })
	if err := p.PollLoad(context.Background()); err != nil || len(got) > 0 {
		t.Errorf("reachable: %v, %v", err, got)
	}
	server.Close()
	for range failuresUntilUnreachable {
		_ = p.PollLoad(context.Background())
	}
	if want := []swcell.Event{swcell.TargetReachability{Target: "t"}}; !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestPollEvents(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		want   []swcell.Event
	}{
		{"in order", `{"first":5,"next":7,"added":["00000000000000ff"],"removed":["a"]}`,
			[]swcell.Event{swcell.CacheReport{Target: "t", Added: []swid.PrefixHash{255}, Removed: []swid.PrefixHash{10}}}},
		{"none", `{"first":5,"next":5}`, nil},
		{"gap", `{"first":9,"next":9}`, []swcell.Event{swcell.CacheReport{Target: "t", Added: []swid.PrefixHash{}, Removed: []swid.PrefixHash{}, Gap: true}}},
		{"restart", `{"first":0,"next":0}`, []swcell.Event{swcell.CacheReport{Target: "t", Added: []swid.PrefixHash{}, Removed: []swid.PrefixHash{}, Gap: true}}},
		{"not a hash", `{"first":5,"next":6,"added":["x"]}`, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, test.answer) }))
			defer server.Close()
			var got []swcell.Event
			p := New(Config{Target: "t", URL: server.URL}, swclock.NewSystem(), func(e swcell.Event) { got = append(got, e) })
			p.nextEvent, p.hasNextEvent = 5, true
			_ = p.PollEvents(context.Background())
			if !reflect.DeepEqual(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
