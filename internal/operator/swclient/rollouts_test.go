package swclient

import (
	"net/http"
	"net/http/httptest"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swrollout"
	"github.com/sassafraswing/sassafraswing/internal/operator/swadmin"
)

// evidence has the roll-outs of the host owner-a-1.
var evidence = []swrollout.Evidence{
	{
		Order: swrollout.Order{ID: "412:60000:v2", Service: "chat", To: "v2", Duration: 60000},
		State: swrollout.StateRunning, Reason: "waitsForAnswers", Remaining: 42300, Requests: 1250, Reserved: 90, Used: 61,
		Routes: []swrollout.RouteEvidence{
			{Route: 1, OldAnswers: 1100, OldBad: 3, OldSlow: 2, NewAnswers: 55, NewBad: 1},
			{Route: 7, OldAnswers: 84, NewAnswers: 5, NewSlow: 4},
		},
	},
	{
		Order: swrollout.Order{ID: "398:12000:v3", Service: "booking", To: "v3", Duration: 12000},
		State: swrollout.StateCompleted, Verdict: swrollout.VerdictSound, Moving: true, Reason: "answersSound", Remaining: -1500,
	},
}

// serveRollouts starts the interfaces for operators of two hosts, of which one decides roll-outs, and of one that knows none of it.
func serveRollouts(e *testscript.Env) {
	for _, host := range []struct {
		name     string
		evidence []swrollout.Evidence
	}{{"owner-a-1", evidence}, {"other-b-1", nil}} {
		mux := http.NewServeMux()
		mux.Handle(swadmin.RolloutsPath, swadmin.NewRolloutsHandler(swadmin.RolloutSource{
			Host:      swid.HostID(host.name),
			Bounds:    func() swrollout.Config { return swrollout.Config{MaxShare: 0.1, Slack: 50, RollbackWithin: 5000} },
			Evidence:  func() []swrollout.Evidence { return host.evidence },
			RouteName: func(r swrollout.Route) string { return map[swrollout.Route]string{1: "letters"}[r] },
		}, zerolog.Nop()))
		server := httptest.NewServer(mux)
		e.Defer(server.Close)
		e.Setenv(host.name[:5], server.URL)
	}
	former := httptest.NewServer(http.NotFoundHandler())
	e.Defer(former.Close)
	e.Setenv("former", former.URL)
}
