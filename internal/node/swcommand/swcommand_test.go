package swcommand

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"sassafraswing": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr, nil)) },
	})
}

// TestSessions runs whole sessions through the daemon's main.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}
