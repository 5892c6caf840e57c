package swclient

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"runtime"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/config/swexample"
	"github.com/sassafraswing/sassafraswing/internal/config/swrelay"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/operator/swadmin"
	"github.com/sassafraswing/sassafraswing/internal/stand/swmemstore"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"swctl": func() {
			os.Exit(Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
		},
	})
}

// TestSessions runs the scripts in testdata, each of them a sequence of swctl
// commands, against API servers in this process.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			for _, name := range []string{"trial", "production"} {
				store := swmemstore.New(1)
				events := swadmin.NewEventBroadcaster()
				relay := swrelay.New(swrelay.Config{Environment: name}, store, nil, nil, &swclock.Manual{})
				h := swadmin.NewHandler(fakeNode{}, relay, events, prometheus.NewRegistry(), zerolog.Nop())
				h.ServeOrders(startEngines(e, store))
				server := httptest.NewServer(h)
				e.Defer(server.Close)
				e.Setenv(name, server.URL)
				e.Values[name] = store
			}
			serveRollouts(e)
			return os.WriteFile(e.WorkDir+"/example.yaml", swexample.Document(), 0o600)
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"exits":  checkExitCode,
			"outage": setOutage,
		},
	})
}

// checkExitCode implements the script command "exits CODE ARGUMENT...", which
// runs swctl and checks its exit code.
func checkExitCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec("swctl", args[1:]...)
	code := "0"
	if err != nil {
		code = fmt.Sprint(err)
	}
	if code != "0" && code != "exit status "+args[0] || code == "0" && args[0] != "0" {
		ts.Fatalf("swctl %v: %s, want exit status %s", args[1:], code, args[0])
	}
}

// setOutage implements the script command "outage ENVIRONMENT on|off", which
// starts or ends an outage of an environment's platform.
func setOutage(ts *testscript.TestScript, _ bool, args []string) {
	store := ts.Value(args[0]).(*swmemstore.Store)
	store.SetFaults(swmemstore.Faults{Outage: args[1] == "on"})
}

// fakeNode is a node with a fixed status.
type fakeNode struct{}

func (fakeNode) Ready() error     { return nil }
func (fakeNode) SetDraining(bool) {}

func (fakeNode) Status() swadmin.Status {
	return swadmin.Status{
		Host: "local-a-1", Zone: "local-a", Region: "local", Version: 12,
		Targets: []swadmin.TargetStatus{{ID: "engine-1", Service: "chat", Zone: "local-a", State: "active", Running: 3}},
		Cells:   []swadmin.CellStatus{{ID: "chat@local", Epoch: 5, Tiers: []swadmin.TierStatus{{Tier: "batch", Waiting: 40, Running: 8}}}},
		Members: []swadmin.MemberStatus{
			{Host: "local-a-1", Zone: "local-a", State: "alive", Version: 12},
			{Host: "local-b-1", Zone: "local-b", State: "suspect"},
		},
	}
}

// lineWriter sends each write to a channel.
type lineWriter chan string

// Write implements io.Writer.
func (w lineWriter) Write(p []byte) (int, error) {
	w <- string(p)
	return len(p), nil
}

func TestFollow(t *testing.T) {
	events := swadmin.NewEventBroadcaster()
	relay := swrelay.New(swrelay.Config{Environment: "trial"}, swmemstore.New(1), nil, nil, &swclock.Manual{})
	server := httptest.NewServer(swadmin.NewHandler(fakeNode{}, relay, events, prometheus.NewRegistry(), zerolog.Nop()))
	defer server.Close()
	lines := make(lineWriter, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	code := make(chan int, 1)
	go func() {
		code <- Main(ctx, []string{"-server", server.URL, "follow", "-count", "1"}, lines, os.Stderr)
	}()
	for {
		events.Publish(swadmin.Event{At: 1500, Kind: swadmin.EventCell, Subject: "chat@local", Text: "owned"})
		select {
		case line := <-lines:
			if want := "1.500s  cell      chat@local  owned\n"; line != want {
				t.Errorf("got %q, want %q", line, want)
			}
			if c := <-code; c != ExitOK {
				t.Errorf("exit code %d", c)
			}
			return
		case <-t.Context().Done():
			return
		default:
			runtime.Gosched()
		}
	}
}
