package swdaemon

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/config/swexample"
	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/owner/sworder"
	"github.com/sassafraswing/sassafraswing/internal/stand/swengine"
	"github.com/sassafraswing/sassafraswing/internal/stand/swmemstore"
)

// post sends JSON and returns the answer's status, Retry-After header and body.
func post(t *testing.T, url, body string) (int, string, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+swexample.APIKey)
	request.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode, answer.Header.Get("Retry-After"), string(data)
}

// TestOrders sends orders to engines through two hosts. It then checks that during an
// outage of the platform an order is rejected with a retry delay, while requests are
// still dispatched.
func TestOrders(t *testing.T) {
	c := newCluster(t, 2, swengine.Config{TimeScale: 10, EnforceFencing: true})
	url := func(host int, target string) string {
		return "http://" + c.hosts[host].daemon.operator.Addr().String() + "/orders/" + target
	}
	const setRole = `{"order":"setRole","role":"decode"}`
	tests := []struct {
		name   string
		host   int
		target string
		body   string
		want   int
	}{
		{"first host", 0, "engine-1", setRole, 204},
		{"second host", 1, "engine-1", setRole, 204},
		{"load", 0, "engine-2", `{"order":"loadModel","model":"m","version":"2"}`, 204},
		{"no such target", 0, "engine-9", setRole, 404},
		{"plain service", 0, "records-1", setRole, 404},
		{"unknown order", 0, "engine-1", `{"order":"stop"}`, 400},
		{"load without model", 0, "engine-1", `{"order":"loadModel"}`, 400},
	}
	for _, tt := range tests {
		if status, _, body := post(t, url(tt.host, tt.target), tt.body); status != tt.want {
			t.Errorf("%s: %d %s", tt.name, status, body)
		}
	}
	c.store.SetFaults(swmemstore.Faults{Outage: true})
	if status, retry, body := post(t, url(1, "engine-1"), setRole); status != 503 || retry != "10" {
		t.Errorf("in an outage: %d, Retry-After %q, %s", status, retry, body)
	}
	chat := `{"model":"chat","messages":[{"role":"user","content":"hello"}],"max_tokens":4}`
	if status, _, body := post(t, c.callerURLs()[0]+"/v1/chat/completions", chat); status != 200 {
		t.Errorf("request in an outage: %d %s", status, body)
	}
	c.store.SetFaults(swmemstore.Faults{})
}

func TestOrderToken(t *testing.T) {
	file := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(file, []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name   string
		file   string
		checks bool
		want   string
		err    error
	}{
		{"checks its caller", file, true, "secret", nil},
		{"does not check", file, false, "", nil},
		{"no file set", "", true, "", nil}, // sworder.Sender rejects the order
		{"file missing", file + "x", true, "", sworder.ErrNoToken},
	}
	for _, tt := range tests {
		d := &Daemon{settings: &swsettings.Settings{Orders: swsettings.Orders{TokenFile: tt.file}}}
		got, err := d.withToken(swdoc.Target{ChecksCaller: tt.checks})
		if got.Token != tt.want || !errors.Is(err, tt.err) {
			t.Errorf("%s: %q, %v", tt.name, got.Token, err)
		}
	}
}
