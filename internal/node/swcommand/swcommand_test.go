package swcommand

import (
	"context"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/node/swfleet"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"sassafraswing": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr, Adapters{"stand": newStand})) },
	})
}

// stand is a platform whose store is never reached.
type stand struct {
	swfleet.Platform
	// tries counts the attempts to register.
	tries *atomic.Int32
}

func newStand(*swsettings.Settings, swclock.Clock, zerolog.Logger) (swfleet.Platform, error) {
	return stand{tries: new(atomic.Int32)}, nil
}

func (s stand) Register(context.Context, swcatalog.Host) (swid.Incarnation, error) {
	s.tries.Add(1)
	return 0, errors.New("no store here")
}

// Readiness tells by 202 that the first attempt to register has failed and was logged.
func (s stand) Readiness(func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if s.tries.Load() > 1 {
			w.WriteHeader(http.StatusAccepted)
		}
	})
}

// accepted waits until a URL is answered with 202.
func accepted(ts *testscript.TestScript, _ bool, args []string) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		response, err := http.Get(args[0])
		if err != nil {
			continue // not listening yet
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusAccepted {
			return
		}
	}
	ts.Fatalf("%s is not answered with 202", args[0])
}

// TestSessions runs whole sessions through the daemon's main.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata", Cmds: map[string]func(*testscript.TestScript, bool, []string){"accepted": accepted},
	})
}
