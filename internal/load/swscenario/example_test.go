package swscenario

import (
	"path/filepath"
	"testing"
)

// TestExampleFiles checks that the scenario files in examples/load are valid.
// It leaves out document.yaml, which holds the configuration of the hosts, not a scenario.
func TestExampleFiles(t *testing.T) {
	all, err := filepath.Glob(filepath.Join("..", "..", "..", "examples", "load", "*.yaml"))
	if err != nil || len(all) == 0 {
		t.Fatalf("no example files: %v", err)
	}
	for _, path := range all {
		if filepath.Base(path) == "document.yaml" {
			continue
		}
		if _, err := Load(path); err != nil {
			t.Error(err)
		}
	}
}
