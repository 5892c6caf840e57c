package swfault

import (
	"context"
	"net/http"

	"github.com/sassafraswing/sassafraswing/internal/stand/swreply"
)

// Faults that Gate carries out.
const (
	// KindFreeze stops all progress until it is cleared.
	KindFreeze Kind = "freeze"
	// KindCrash drops every connection; with a Status, new requests get it instead.
	KindCrash Kind = "crash"
	// KindSilence accepts requests and never answers.
	KindSilence Kind = "silence"
	// KindRefuse answers with an error, by default 503, without running the request.
	KindRefuse Kind = "refuse"
	// KindSlow multiplies processing times by Factor.
	KindSlow Kind = "slow"
)

// Gate applies the faults that stop a request before it runs, and reports
// whether it may run. It aborts the connection by a panic with
// http.ErrAbortHandler where the fault asks for that.
func (s *Set) Gate(ctx context.Context, w http.ResponseWriter, r *http.Request) bool {
	s.connections.Add(r.RemoteAddr, struct{}{})
	if f, ok := s.Get(KindCrash); ok {
		if f.Status == 0 {
			panic(http.ErrAbortHandler)
		}
		swreply.Error(w, f.Status, "crashed", "the process is down")
		return false
	}
	s.Hold(ctx, r)
	if f, ok := s.Take(KindRefuse); ok {
		status := f.Status
		if status == 0 {
			status = http.StatusServiceUnavailable
		}
		w.Header().Set("Retry-After", "1")
		swreply.Error(w, status, "refused", "not run")
		return false
	}
	return true
}

// Hold delays the sender of a response while the stand-in is frozen, and for
// good if its connection is silent; it aborts the connection once ctx ends.
func (s *Set) Hold(ctx context.Context, r *http.Request) {
	if s.Silent(r.RemoteAddr) {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	if err := s.Wait(ctx, KindFreeze); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// Silent reports whether a connection is silent.
func (s *Set) Silent(remote string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.find(KindSilence)
	if i < 0 {
		return false
	}
	if !s.active[i].fault.Existing {
		return true
	}
	_, ok := s.active[i].connections[remote]
	return ok
}
