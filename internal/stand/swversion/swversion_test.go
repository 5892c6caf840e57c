package swversion

import (
	"strings"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/config/swyaml"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

func TestPlayer(t *testing.T) {
	const path, otherPath = "/letters/a", "/reads/a"
	tests := []struct {
		name    string
		badness Badness
		request Request
		at      swclock.Millis
		// want is the number of bad answers of 100.
		want   int
		effect Effect
	}{
		{"sound", Badness{}, Request{Path: path}, 0, 0, Effect{}},
		{"all fail", Badness{Kind: KindFails, Share: 1}, Request{Path: path}, 0, 100, Effect{Fails: true}},
		{"some fail", Badness{Kind: KindFails, Share: 0.25}, Request{Path: path}, 0, 25, Effect{Fails: true}},
		{"some are cut", Badness{Kind: KindCuts, Share: 0.5}, Request{Path: path}, 0, 50, Effect{Cut: true}},
		{"slow", Badness{Kind: KindSlow, Share: 1, Factor: 4}, Request{Path: path}, 0, 100, Effect{Slowdown: 4}},
		{"later, before", Badness{Kind: KindFails, Share: 1, After: 5000}, Request{Path: path}, 4999, 0, Effect{}},
		{"later, after", Badness{Kind: KindFails, Share: 1, After: 5000}, Request{Path: path}, 5000, 100, Effect{Fails: true}},
		{"under load, calm", Badness{Kind: KindFails, Share: 1, MinLoad: 0.5}, Request{Path: path, Running: 3, Slots: 8}, 0, 0, Effect{}},
		{"under load", Badness{Kind: KindFails, Share: 1, MinLoad: 0.5}, Request{Path: path, Running: 4, Slots: 8}, 0, 100, Effect{Fails: true}},
		{"on one route", Badness{Kind: KindFails, Share: 1, Path: "/letters/"}, Request{Path: path}, 0, 100, Effect{Fails: true}},
		{"on another route", Badness{Kind: KindFails, Share: 1, Path: "/letters/"}, Request{Path: otherPath}, 0, 0, Effect{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := &swclock.Manual{}
			clock.Advance(1000)
			p := NewPlayer(Version{Badness: tt.badness}, clock)
			clock.Advance(tt.at)
			got := 0
			for range 100 {
				if e := p.Next(tt.request); e == tt.effect && e != (Effect{}) {
					got++
				} else if e != (Effect{}) {
					t.Fatalf("effect %+v, want %+v", e, tt.effect)
				}
			}
			if got != tt.want {
				t.Errorf("%d bad answers of 100, want %d", got, tt.want)
			}
		})
	}
}

func TestSettings(t *testing.T) {
	tests := []struct {
		name, text string
		want       Version
		problem    string
	}{
		{"nothing", "{}", Version{}, ""},
		{"sound", "version: v2\n", Version{Name: "v2"}, ""},
		{"slow", "version: v2\nbadness: {kind: slow, share: 0.5, factor: 3, after: 5s, load: 0.25, path: /l/}\n",
			Version{Name: "v2", Badness: Badness{Kind: KindSlow, Share: 0.5, Factor: 3, After: 5000, MinLoad: 0.25, Path: "/l/"}}, ""},
		{"all fail", "badness: {kind: fails}\n", Version{Badness: Badness{Kind: KindFails, Share: 1}}, ""},
		{"no kind", "version: v2\nbadness: {share: 0.5}\n", Version{}, "f.yaml:2: badness.kind: the key is missing"},
		{"unknown kind", "badness: {kind: rude}\n", Version{}, "f.yaml:1: badness.kind: "},
		{"share over 1", "badness: {kind: fails, share: 1.5}\n", Version{}, "f.yaml:1: badness.share: "},
		{"no share", "badness: {kind: fails, share: 0}\n", Version{}, "f.yaml:1: badness.share: "},
		{"factor of another kind", "badness: {kind: cuts, factor: 3}\n", Version{}, "f.yaml:1: badness.factor: applies to the kind slow only"},
		{"load over 1", "badness: {kind: cuts, load: 2}\n", Version{}, "f.yaml:1: badness.load: "},
		{"no path", "badness: {kind: cuts, path: l}\n", Version{}, "f.yaml:1: badness.path: "},
		{"negative time", "badness: {kind: cuts, after: -1s}\n", Version{}, "f.yaml:1: badness.after: "},
		{"unknown key", "badness: {kind: cuts, shares: 1}\n", Version{}, "f.yaml:1: badness.shares: unknown key"},
		{"no mapping", "badness: fails\n", Version{}, "f.yaml:1: badness: not a mapping"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got Version
			err := swyaml.Read("f.yaml", []byte(tt.text), func(o *swyaml.Object) { got = MapVersion(o) })
			if tt.problem != "" {
				if err == nil || !strings.Contains(err.Error(), tt.problem) {
					t.Errorf("error %v, want %q", err, tt.problem)
				}
				return
			}
			if err != nil || got != tt.want {
				t.Errorf("got %+v, error %v, want %+v", got, err, tt.want)
			}
		})
	}
}
