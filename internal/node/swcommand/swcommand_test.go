package swcommand

import (
	"context"
	"fmt"
	"io"
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
		"sassafraswing": func() {
			os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr, Adapters{"stand": newUnreachablePlatform}, showRollout))
		},
	})
}

// showRollout prints the version, and logs a line at each of two levels. It fails for the version of which there is none.
func showRollout(_ context.Context, version string, out io.Writer, log zerolog.Logger) error {
	log.Info().Msg("a line of level info")
	log.Warn().Msg("a line of level warn")
	if version == "none" {
		return errors.New("there is no such version")
	}
	_, err := fmt.Fprintln(out, "roll-out to", version)
	return err
}

// unreachablePlatform is a platform whose store cannot be reached.
type unreachablePlatform struct {
	swfleet.Platform
	// registerCalls counts the calls of Register.
	registerCalls *atomic.Int32
}

func newUnreachablePlatform(*swsettings.Settings, swclock.Clock, zerolog.Logger) (swfleet.Platform, error) {
	return unreachablePlatform{registerCalls: new(atomic.Int32)}, nil
}

func (s unreachablePlatform) Register(context.Context, swcatalog.Host) (swid.Incarnation, error) {
	s.registerCalls.Add(1)
	return 0, errors.New("no store here")
}

// ReadinessHandler answers 202 once Register has been called a second time: the first failure
// has then been logged.
func (s unreachablePlatform) ReadinessHandler(func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if s.registerCalls.Load() > 1 {
			w.WriteHeader(http.StatusAccepted)
		}
	})
}

// waitAccepted polls a URL until it answers 202.
func waitAccepted(ts *testscript.TestScript, _ bool, args []string) {
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
	ts.Fatalf("%s did not answer 202", args[0])
}

// TestSessions runs the command-line scripts in testdata with Main.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata", Cmds: map[string]func(*testscript.TestScript, bool, []string){"accepted": waitAccepted},
	})
}

// TestMemoryLimit checks that the memory in the settings does not replace the limit that an operator set.
func TestMemoryLimit(t *testing.T) {
	tests := []struct {
		megabytes  float64
		ofOperator string
		want       int64
	}{
		{0, "", 0},
		{120, "", 90e6},
		{120, "64MiB", 0},
		{120, "off", 0},
	}
	for _, tt := range tests {
		if got := memoryLimit(tt.megabytes, tt.ofOperator); got != tt.want {
			t.Errorf("%+v: %d", tt, got)
		}
	}
}
