package swdoc

import (
	"errors"
	"strings"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

var blockStyle = strings.Replace(valid, `  - {id: p1, service: cases, zone: b, url: "http://127.0.0.1:9201", slots: 16}
`, `  - service: cases # é, before the id
    id: p1 # kept
    zone: b
    url: "http://127.0.0.1:9201"
    slots: 16
`, 1)

// nonASCII has a two-byte character before the id on the same line, since token columns count characters, not bytes.
var nonASCII = strings.Replace(valid, `{id: p1, service: cases, zone: b, url: "http://127.0.0.1:9201"`, `{url: "http://127.0.0.1:9201/é", id: p1, service: cases, zone: b`, 1)

func TestSetDraining(t *testing.T) {
	tests := []struct {
		name, text string
		target     swid.TargetID
		want       string
	}{
		{"flow style", valid, "e1", "{draining: true, id: e1,"},
		{"block style", blockStyle, "p1", "    draining: true\n    id: p1 # kept\n"},
		{"flag is there", strings.Replace(valid, "slots: 16", "slots: 16, draining: false", 1), "p1", "draining: true}"},
		{"after a wide letter", nonASCII, "p1", "/é\", draining: true, id: p1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			edited, err := SetDraining([]byte(tt.text), tt.target, true)
			if err != nil || !strings.Contains(string(edited), tt.want) {
				t.Fatalf("%v in\n%s", err, edited)
			}
			again, err := SetDraining(edited, tt.target, false)
			if err != nil {
				t.Fatal(err)
			}
			d, err := Parse("again", again)
			if err != nil || d.Targets[targetIndex(d.Targets, tt.target)].Draining {
				t.Errorf("the draining flag was not cleared: %v\n%s", err, again)
			}
		})
	}
	if _, err := SetDraining([]byte(valid), "none", true); !errors.Is(err, ErrNoTarget) {
		t.Errorf("got %v", err)
	}
}

func TestDiff(t *testing.T) {
	parse := func(text string) *Document {
		d, err := Parse("env.yaml", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	before := parse(valid)
	after := parse(strings.NewReplacer("slots: 8", "slots: 9", "id: p1", "id: p2").Replace(valid))
	var lines []string
	for _, c := range Diff(before, after) {
		lines = append(lines, string(c.Kind)+" "+c.Key)
	}
	if got := strings.Join(lines, ", "); got != "changed target e1 Slots, added target p2, removed target p1" {
		t.Error(got)
	}
	if d := Diff(before, before); len(d) != 0 {
		t.Errorf("differs from itself: %v", d)
	}
}
