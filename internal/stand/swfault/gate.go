package swfault

import (
	"context"
	"net/http"

	"github.com/sassafraswing/sassafraswing/internal/stand/swreply"
)

// Fault kinds that every stand-in may accept. Gate applies KindCrash, KindSilence,
// KindFreeze and KindRefuse; the stand-in applies KindSlow itself.
const (
	// KindFreeze stops all progress while it is active.
	KindFreeze Kind = "freeze"
	// KindCrash aborts every connection; with a Status, new requests are answered with it instead.
	KindCrash Kind = "crash"
	// KindSilence accepts requests and never responds.
	KindSilence Kind = "silence"
	// KindRefuse rejects a request with an error, by default 503, without running it.
	KindRefuse Kind = "refuse"
	// KindSlow lengthens processing: the engine's times are multiplied by Factor, Delay is
	// added to the platform's, and the plain service applies both.
	KindSlow Kind = "slow"
)

// Gate applies the faults that stop a request before it runs, and reports
// whether it may run. For a fault that aborts the connection, it panics with
// http.ErrAbortHandler.
func (s *Set) Gate(ctx context.Context, w http.ResponseWriter, r *http.Request) bool {
	s.connections.Add(r.RemoteAddr, struct{}{})
	if f, ok := s.Get(KindCrash); ok {
		if f.Status == 0 {
			panic(http.ErrAbortHandler)
		}
		swreply.Error(w, f.Status, "crashed", "the process is down")
		return false
	}
	s.BlockResponse(ctx, r)
	if f, ok := s.Trigger(KindRefuse); ok {
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

// BlockResponse blocks a response while the freeze fault is active, and for good if
// the silence fault applies to the connection. It aborts the connection once ctx ends.
func (s *Set) BlockResponse(ctx context.Context, r *http.Request) {
	if s.Unresponsive(r.RemoteAddr) {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	if err := s.WaitInactive(ctx, KindFreeze); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// Unresponsive reports whether the silence fault applies to the connection from a
// remote address.
func (s *Set) Unresponsive(remote string) bool {
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
