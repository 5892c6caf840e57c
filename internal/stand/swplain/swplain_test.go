package swplain

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
	"github.com/sassafraswing/sassafraswing/internal/stand/swversion"
)

func post(t *testing.T, url, id, key string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url+"/bookings/7", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	request.Close = true // http.Client repeats a call with an idempotency key that a kept connection loses
	request.Header.Set(headerRequestID, id)
	request.Header.Set(headerIdempotencyKey, key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

func TestEchoFaultsAndCounts(t *testing.T) {
	tests := []struct {
		name   string
		fault  swfault.Fault
		status int
		// runs is how often the call must have run.
		runs int
	}{
		{"none", swfault.Fault{Kind: swfault.KindSlow}, 200, 1},
		{"dropped answer", swfault.Fault{Kind: KindDropAnswer}, 0, 1},
		{"refused", swfault.Fault{Kind: swfault.KindRefuse}, 503, 0},
		{"crashed", swfault.Fault{Kind: swfault.KindCrash}, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New(Config{ServiceTime: 1})
			server := httptest.NewServer(s.Handler())
			defer server.Close()
			defer s.Close()
			if err := s.Faults().Add(test.fault); err != nil {
				t.Fatal(err)
			}
			status, body := post(t, server.URL, "r1", "k1")
			if status != test.status {
				t.Errorf("status %d, want %d", status, test.status)
			}
			const want = `{"requestId":"r1","method":"POST","path":"/bookings/7","body":"body","sequence":1}`
			if status == http.StatusOK && body != want {
				t.Errorf("body = %s", body)
			}
			if got := s.Counts(); got.ByRequest["r1"] != test.runs || got.ByKey["k1"] != test.runs {
				t.Errorf("runs = %+v, want %d", got, test.runs)
			}
		})
	}
}

// TestVersions plays software versions of which answers are bad.
func TestVersions(t *testing.T) {
	tests := []struct {
		name    string
		badness swversion.Badness
		// statuses are those of four calls, 0 for one that is cut off.
		statuses [4]int
	}{
		{"sound", swversion.Badness{}, [4]int{200, 200, 200, 200}},
		{"half fail", swversion.Badness{Kind: swversion.KindFails, Share: 0.5}, [4]int{200, 500, 200, 500}},
		{"half are cut", swversion.Badness{Kind: swversion.KindCuts, Share: 0.5}, [4]int{200, 0, 200, 0}},
		{"slow", swversion.Badness{Kind: swversion.KindSlow, Share: 1, Factor: 2}, [4]int{200, 200, 200, 200}},
		{"fail at another path", swversion.Badness{Kind: swversion.KindFails, Share: 1, Path: "/reads/"}, [4]int{200, 200, 200, 200}},
		{"fail under load only", swversion.Badness{Kind: swversion.KindFails, Share: 1, MinLoad: 0.5}, [4]int{200, 200, 200, 200}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New(Config{ServiceTime: 1, Slots: 4, Version: swversion.Version{Name: "v2", Badness: tt.badness}})
			server := httptest.NewServer(s.Handler())
			defer server.Close()
			defer s.Close()
			for i, want := range tt.statuses {
				id := strconv.Itoa(i)
				if status, _ := post(t, server.URL, id, id); status != want {
					t.Errorf("call %d: status %d, want %d", i, status, want)
				}
				if got := s.Counts().ByKey[id]; got != 1 {
					t.Errorf("call %d ran %d times", i, got)
				}
			}
		})
	}
}
