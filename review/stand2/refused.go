package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// ranAndRefused has one of seven plain servers fail a part of its requests for a while, each once it has run: it answers them with status 503, without
// the field that states that a request was not run. Clients send requests that may run once, and retry those that were refused.
func ranAndRefused(w *world) (broken bool, err error) {
	const servers, hosts, requests, grey = 7, 3, 300, 0.45
	var failing atomic.Bool
	answer := func(fails bool) func(rw http.ResponseWriter, r *http.Request) {
		return func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(15 * time.Millisecond)
			if fails && failing.Load() && rand.Float64() < grey {
				rw.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = fmt.Fprintf(rw, "plan of %s posted", r.Header.Get(wire.RequestID))
		}
	}
	if err := w.startServers(servers, func(i int, s *server) {
		s.service, s.slots, s.answer = "cobranca-api", 6, answer(w.trouble && i == 0)
	}); err != nil {
		return false, err
	}
	if err := w.startHosts(hosts); err != nil {
		return false, err
	}
	time.AfterFunc(time.Second, func() { failing.Store(true) })
	time.AfterFunc(7500*time.Millisecond, func() { failing.Store(false) })
	var all sync.WaitGroup
	results := make([][]*attempt, requests)
	for i := range requests {
		all.Go(func() { results[i] = w.confirm(w.hosts[i%hosts]) })
		time.Sleep(30 * time.Millisecond)
	}
	all.Wait()
	refused, repeated := 0, 0
	for i, attempts := range results {
		runs := 0
		for _, a := range attempts {
			ran := w.ranAt(a.id)
			runs += len(ran)
			_, promised := a.refused()
			if promised && len(ran) > 0 {
				refused++
			}
			w.note("request %d: %v; signature %q, ran at %s", i, a, a.header.Get(wire.Signature), describe(ran))
		}
		if runs > 1 {
			repeated++
		}
	}
	w.note("%d requests, %d attempts that had run were answered as not run, %d requests ran more than once over their attempts", requests, refused, repeated)
	return refused > 0, nil
}

// confirm sends a request that may run once, and another attempt after a promise that the first one was not run.
func (w *world) confirm(h *host) []*attempt {
	ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
	defer cancel()
	var attempts []*attempt
	for range 2 {
		a := w.send(ctx, h, http.MethodPost, "/confirm/2f", nil, "plan")
		attempts = append(attempts, a)
		pause, refused := a.refused()
		if !refused || ctx.Err() != nil {
			break
		}
		time.Sleep(min(pause, 100*time.Millisecond))
		h = w.anyHost()
	}
	return attempts
}
