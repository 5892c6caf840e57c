package swplain

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
)

func post(t *testing.T, url, id, key string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url+"/bookings/7", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
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
