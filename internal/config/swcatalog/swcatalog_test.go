package swcatalog

import (
	"reflect"
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

// TestJoinedServices checks which services have streams of each other after a change of the routes.
func TestJoinedServices(t *testing.T) {
	route := func(prefix string, services ...swid.ServiceID) Route {
		r := Route{Name: prefix, Host: "h", Prefix: prefix, Kind: KindStream, Resumable: true}
		for _, s := range services {
			r.Shares = append(r.Shares, Share{Service: s, Weight: 1})
		}
		return r
	}
	plain := route("/x/", "b")
	plain.Resumable = false
	tests := []struct {
		name        string
		former, new []Route
		want        [][]swid.ServiceID
	}{
		{"unchanged", []Route{route("/x/", "a"), route("/", "b")}, []Route{route("/", "b"), route("/x/", "a")}, nil},
		{"moved", []Route{route("/x/", "a")}, []Route{route("/x/", "b")}, [][]swid.ServiceID{{"a", "b"}}},
		{"split", []Route{route("/x/", "a")}, []Route{route("/x/", "a", "b")}, [][]swid.ServiceID{{"a", "b"}}},
		{"no longer split", []Route{route("/x/", "a", "b")}, []Route{route("/x/", "b")}, [][]swid.ServiceID{{"a", "b"}}},
		{"not resumable", []Route{route("/x/", "a")}, []Route{plain}, nil},
		{"another host", []Route{{Host: "g", Prefix: "/x/", Shares: []Share{{Service: "a"}}}}, []Route{route("/x/", "b")}, nil},
		{"added below another", []Route{route("/", "a")}, []Route{route("/", "a"), route("/x/", "b")}, [][]swid.ServiceID{{"a", "b"}}},
		{"removed above another", []Route{route("/", "a"), route("/x/", "b")}, []Route{route("/", "a")}, [][]swid.ServiceID{{"a", "b"}}},
		{"new paths", nil, []Route{route("/x/", "b")}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := NewTable(&Catalog{Routes: tt.new}).JoinedServices(NewTable(&Catalog{Routes: tt.former}))
			if !reflect.DeepEqual(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
