package swcatalog

import (
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

func TestRoute(t *testing.T) {
	table := NewTable(&Catalog{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
		{Name: "all", Host: "c.example", Prefix: "/"},
	}})
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/yy/1", "short"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/", ""},
		{"A.Example:8080", "/x/1", "short"},
		{"b.example", "/x/y/1", "other"},
		{"c.example", "/anything", "all"},
		{"d.example", "/x/1", ""},
	}
	for _, tt := range tests {
		r, found := table.Route(tt.host, tt.path)
		got := ""
		if found {
			got = r.Name
		}
		if got != tt.want {
			t.Errorf("%s%s is routed to %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

func TestPick(t *testing.T) {
	r := Route{Shares: []Share{{"a", 90}, {"b", 10}, {"c", 0}}}
	for point, want := range map[float64]swid.ServiceID{0: "a", 0.89: "a", 0.9: "b", 0.999999: "b"} {
		if got := r.Pick(point); got != want {
			t.Errorf("at %v: %s, want %s", point, got, want)
		}
	}
}

func TestOrganisation(t *testing.T) {
	table := NewTable(&Catalog{Organisations: []Organisation{{ID: "a", Keys: []string{"1", "2"}}, {ID: "b", Keys: []string{"3"}}}})
	for key, want := range map[string]swid.OrgID{"1": "a", "2": "a", "3": "b", "": "", "4": ""} {
		got := swid.OrgID("")
		if o, known := table.Organisation(key); known {
			got = o.ID
		}
		if got != want {
			t.Errorf("key %q belongs to %q, want %q", key, got, want)
		}
	}
}
