package swexample

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
)

func TestEmbedded(t *testing.T) {
	d, err := swdoc.Parse(DocumentFile, Document())
	if err != nil {
		t.Fatal(err)
	}
	sum := sha256.Sum256([]byte(APIKey))
	if d.Organisations[0].KeyHashes[0] != hex.EncodeToString(sum[:]) {
		t.Error("APIKey is not the organisation's key")
	}
	s, err := swsettings.Parse(SettingsFile, Settings())
	if err != nil {
		t.Fatal(err)
	}
	if r, ok := d.RegionOf(s.Zone); !ok || r != s.Region {
		t.Errorf("the document puts zone %s into region %q, the settings into %q", s.Zone, r, s.Region)
	}
}

// TestExamples checks that each example deployment has the expected number of zones,
// engines and plain targets, uses loopback addresses only, and has matching settings.
func TestExamples(t *testing.T) {
	tests := []struct {
		name                  string
		zones, engines, plain int
	}{
		{"lembrete", 3, 9, 3},
		{"majibora", 4, 9, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join("..", "..", "..", "examples", tt.name)
			data, err := os.ReadFile(path + ".yaml")
			if err != nil {
				t.Fatal(err)
			}
			d, err := swdoc.Parse(tt.name, data)
			if err != nil {
				t.Fatal(err)
			}
			engines := 0
			for _, g := range d.Targets {
				if g.Generation != "" {
					engines++
				}
				if !strings.Contains(g.URL, "//127.0.0.1:") {
					t.Errorf("target %s is not on loopback: %s", g.ID, g.URL)
				}
			}
			if len(d.Regions[0].Zones) != tt.zones || engines != tt.engines || len(d.Targets)-engines != tt.plain {
				t.Errorf("%d zones, %d engines, %d targets", len(d.Regions[0].Zones), engines, len(d.Targets))
			}
			s, err := swsettings.Load(path + "-host.yaml")
			if err != nil {
				t.Fatal(err)
			}
			if r, ok := d.RegionOf(s.Zone); !ok || r != s.Region {
				t.Errorf("zone %s is not in region %s", s.Zone, s.Region)
			}
		})
	}
}
