package swfault

import (
	"net/http"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/stand/swreply"
)

// KindClear is accepted by the admin handler in place of a fault's kind and
// switches every fault off.
const KindClear Kind = "clear"

// AdminPath is the URL path at which a stand-in serves the admin interface of its Set.
const AdminPath = "/admin/faults"

// FaultBody is a fault in the JSON form of the admin interface.
type FaultBody struct {
	Kind           string  `json:"kind"`
	Factor         float64 `json:"factor,omitempty"`
	After          int     `json:"after,omitempty"`
	Count          int     `json:"count,omitempty"`
	DelayMillis    int64   `json:"delayMillis,omitempty"`
	DurationMillis int64   `json:"durationMillis,omitempty"`
	Hash           string  `json:"hash,omitempty"`
	Contains       string  `json:"contains,omitempty"`
	Existing       bool    `json:"existing,omitempty"`
	Status         int     `json:"status,omitempty"`
}

// ToWire returns the JSON form of a fault.
func ToWire(f Fault) FaultBody {
	return FaultBody{
		Kind:           string(f.Kind),
		Factor:         f.Factor,
		After:          f.After,
		Count:          f.Count,
		DelayMillis:    int64(f.Delay),
		DurationMillis: int64(f.Duration),
		Hash:           f.Hash,
		Contains:       f.Contains,
		Existing:       f.Existing,
		Status:         f.Status,
	}
}

func fromWire(w FaultBody) Fault {
	return Fault{
		Kind:     Kind(w.Kind),
		Factor:   w.Factor,
		After:    w.After,
		Count:    w.Count,
		Delay:    swclock.Millis(w.DelayMillis),
		Duration: swclock.Millis(w.DurationMillis),
		Hash:     w.Hash,
		Contains: w.Contains,
		Existing: w.Existing,
		Status:   w.Status,
	}
}

// ServeHTTP lists the active faults (GET), switches one on (POST), or switches
// one or all off (DELETE, with the query parameter kind or without it).
func (s *Set) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		s.list(w)
	case http.MethodPost:
		s.post(w, r)
	case http.MethodDelete:
		s.delete(w, r)
	default:
		swreply.Error(w, http.StatusMethodNotAllowed, "method", "use GET, POST or DELETE")
	}
}

func (s *Set) list(w http.ResponseWriter) {
	faults := []FaultBody{}
	for _, f := range s.All() {
		faults = append(faults, ToWire(f))
	}
	swreply.JSON(w, http.StatusOK, faults)
}

func (s *Set) post(w http.ResponseWriter, r *http.Request) {
	var body FaultBody
	if err := swreply.Read(w, r, &body); err != nil {
		swreply.Error(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	if Kind(body.Kind) == KindClear {
		s.ClearAll()
	} else if err := s.Add(fromWire(body)); err != nil {
		swreply.Error(w, http.StatusBadRequest, "kind", err.Error())
		return
	}
	s.list(w)
}

func (s *Set) delete(w http.ResponseWriter, r *http.Request) {
	if kind := r.URL.Query().Get("kind"); kind != "" {
		s.Clear(Kind(kind))
	} else {
		s.ClearAll()
	}
	s.list(w)
}
