package swadmin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swrollout"
)

// RolloutsPath is the path of a host's roll-outs.
const RolloutsPath = "/rollouts"

// HostRollouts are the roll-outs that one host decides, as the owner of the services' cells.
type HostRollouts struct {
	Host     swid.HostID
	Rollouts []RolloutStatus
}

// RolloutStatus is what the owner knows of one roll-out.
type RolloutStatus struct {
	Service swid.ServiceID
	To      swid.SoftwareVersion
	Order   swrollout.OrderID
	// State is none, running, completed or rolledBack, and Verdict is open, sound or bad.
	State, Verdict string
	// Reason is what the verdict rests on, or what an open one waits for.
	Reason string
	// Moving is set once requests need no exposure any more.
	Moving bool
	// Remaining is the time to the deadline, negative after it.
	Remaining swclock.Millis
	// Requests is the number of requests that have reached the service since the order.
	Requests uint64
	// Allowed is the exposure that the settings allow for so many requests. Reserved is what all owners have reserved of it in the
	// store, and Used what this one has used.
	Allowed, Reserved, Used uint64
	Routes                  []RolloutRoute
}

// RolloutRoute has the answers of one route.
type RolloutRoute struct {
	// Route is the route's name, or its number if the name is not known.
	Route string
	// Old and New count the answers of the other versions and of the new one.
	Old, New RolloutAnswers
}

// RolloutAnswers counts answers of a version.
type RolloutAnswers struct {
	// Bad answers failed, and Slow ones took several times as long as usual. Answers includes both.
	Answers, Bad, Slow uint64
}

// RolloutSource is what a host shows of its roll-outs.
type RolloutSource struct {
	Host swid.HostID
	// Bounds returns the bounds in force.
	Bounds func() swrollout.Config
	// Evidence returns the evidence of the roll-outs that this host decides.
	Evidence func() []swrollout.Evidence
	// RouteName returns a route's name, or an empty text if it is not known.
	RouteName func(swrollout.Route) string
}

// NewRolloutsHandler returns the handler of RolloutsPath.
func NewRolloutsHandler(s RolloutSource, log zerolog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			w.Header().Set("Allow", http.MethodGet)
			w.WriteHeader(http.StatusMethodNotAllowed)
			return
		}
		data, err := EncodeRollouts(s.rollouts())
		if err != nil {
			log.Error().Err(err).Msg("failed to encode the roll-outs for an operator")
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", jsonType)
		if _, err := w.Write(append(data, '\n')); err != nil {
			log.Debug().Err(err).Msg("failed to send the roll-outs to an operator")
		}
	})
}

func (s RolloutSource) rollouts() HostRollouts {
	bounds := s.Bounds()
	return HostRollouts{Host: s.Host, Rollouts: convert(s.Evidence(), func(e swrollout.Evidence) RolloutStatus {
		return RolloutStatus{
			Service: e.Order.Service, To: e.Order.To, Order: e.Order.ID, State: e.State.String(), Verdict: e.Verdict.String(),
			Reason: e.Reason, Moving: e.Moving, Remaining: e.Remaining, Requests: e.Requests,
			Allowed: uint64(bounds.MaxShare*float64(e.Requests)) + bounds.Slack, Reserved: e.Reserved, Used: e.Used,
			Routes: convert(e.Routes, s.route),
		}
	})}
}

func (s RolloutSource) route(e swrollout.RouteEvidence) RolloutRoute {
	r := RolloutRoute{
		Route: s.RouteName(e.Route),
		Old:   RolloutAnswers{Answers: e.OldAnswers, Bad: e.OldBad, Slow: e.OldSlow},
		New:   RolloutAnswers{Answers: e.NewAnswers, Bad: e.NewBad, Slow: e.NewSlow},
	}
	if r.Route == "" {
		r.Route = strconv.FormatUint(uint64(e.Route), 10)
	}
	return r
}

// wireRollouts is the JSON form of HostRollouts.
type wireRollouts struct {
	Host     string        `json:"host"`
	Rollouts []wireRollout `json:"rollouts"`
}

type wireRollout struct {
	Service         string             `json:"service"`
	To              string             `json:"to"`
	Order           string             `json:"order"`
	State           string             `json:"state"`
	Verdict         string             `json:"verdict"`
	Reason          string             `json:"reason"`
	Moving          bool               `json:"moving"`
	RemainingMillis int64              `json:"remainingMillis"`
	Requests        uint64             `json:"requests"`
	Exposure        wireExposure       `json:"exposure"`
	Routes          []wireRolloutRoute `json:"routes"`
}

type wireExposure struct {
	Allowed  uint64 `json:"allowed"`
	Reserved uint64 `json:"reserved"`
	Used     uint64 `json:"used"`
}

type wireRolloutRoute struct {
	Route string             `json:"route"`
	Old   wireRolloutAnswers `json:"old"`
	New   wireRolloutAnswers `json:"new"`
}

type wireRolloutAnswers struct {
	Answers uint64 `json:"answers"`
	Bad     uint64 `json:"bad"`
	Slow    uint64 `json:"slow"`
}

// EncodeRollouts returns a host's roll-outs as JSON.
func EncodeRollouts(h HostRollouts) ([]byte, error) {
	w := wireRollouts{Host: string(h.Host), Rollouts: convert(h.Rollouts, func(s RolloutStatus) wireRollout {
		return wireRollout{
			Service: string(s.Service), To: string(s.To), Order: string(s.Order), State: s.State, Verdict: s.Verdict, Reason: s.Reason,
			Moving: s.Moving, RemainingMillis: int64(s.Remaining), Requests: s.Requests,
			Exposure: wireExposure{Allowed: s.Allowed, Reserved: s.Reserved, Used: s.Used},
			Routes: convert(s.Routes, func(r RolloutRoute) wireRolloutRoute {
				return wireRolloutRoute{Route: r.Route, Old: wireRolloutAnswers(r.Old), New: wireRolloutAnswers(r.New)}
			}),
		}
	})}
	data, err := json.Marshal(w)
	return data, errors.Wrap(err, "encode roll-outs")
}

// DecodeRollouts parses the JSON of EncodeRollouts.
func DecodeRollouts(data []byte) (HostRollouts, error) {
	var w wireRollouts
	if err := json.Unmarshal(data, &w); err != nil {
		return HostRollouts{}, errors.Wrap(err, "decode roll-outs")
	}
	return HostRollouts{Host: swid.HostID(w.Host), Rollouts: convert(w.Rollouts, func(s wireRollout) RolloutStatus {
		return RolloutStatus{
			Service: swid.ServiceID(s.Service), To: swid.SoftwareVersion(s.To), Order: swrollout.OrderID(s.Order), State: s.State, Verdict: s.Verdict,
			Reason: s.Reason, Moving: s.Moving, Remaining: swclock.Millis(s.RemainingMillis), Requests: s.Requests,
			Allowed: s.Exposure.Allowed, Reserved: s.Exposure.Reserved, Used: s.Exposure.Used,
			Routes: convert(s.Routes, func(r wireRolloutRoute) RolloutRoute {
				return RolloutRoute{Route: r.Route, Old: RolloutAnswers(r.Old), New: RolloutAnswers(r.New)}
			}),
		}
	})}, nil
}
