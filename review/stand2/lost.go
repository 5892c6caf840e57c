package main

import (
	"os"
	"strings"
	"sync"
	"time"
)

// crashesAnyway is set to see what becomes of streams whose engines crash without having been cut off from the store before: with TROUBLE=0.
var crashesAnyway = os.Getenv("CRASH") == "1"

// lostStreams has two engines start again under their ids, with the same software, while they cannot reach the store. Clients' streams begin
// there. Then these engines crash once more, and the clients take their streams up.
func lostStreams(w *world) (broken bool, err error) {
	const engines, hosts, streams, least = 10, 3, 98, 12
	if err := w.startServers(engines, func(_ int, s *server) {
		s.service, s.slots, s.events, s.first, s.gap = "redacao", 10, 40, 400*time.Millisecond, 80*time.Millisecond
	}); err != nil {
		return false, err
	}
	if err := w.startHosts(hosts); err != nil {
		return false, err
	}
	for i := range 2 * hosts { // links, and the speed of engines
		if s := w.stream(w.hosts[i%hosts], "/nudge/", 15*time.Second, 1); !s.whole {
			w.note("a stream before the disruption is not whole: %v", s.attempts)
		}
	}
	if w.trouble {
		if err := w.restart(w.servers[:2], true); err != nil {
			return false, err
		}
	}
	time.Sleep(100 * time.Millisecond)
	var all sync.WaitGroup
	results := make([]*streamed, streams)
	for i := range streams {
		all.Go(func() { results[i] = w.stream(w.hosts[i%hosts], "/nudge/", 15*time.Second, 3) })
	}
	time.Sleep(1500 * time.Millisecond)
	if w.trouble || crashesAnyway {
		if err := w.restart(w.servers[:2], w.trouble); err != nil {
			return false, err
		}
	}
	time.Sleep(2500 * time.Millisecond)
	for _, s := range w.servers[:2] {
		s.cut.Store(false)
	}
	all.Wait()
	begun, taken, wentOn := 0, 0, 0
	for _, s := range results {
		if len(s.attempts[0].pieces) > 0 {
			begun++
		}
		if len(s.attempts) > 1 && len(s.attempts[0].pieces) > 0 {
			taken++
			for _, a := range s.attempts[1:] {
				if len(a.pieces) > 0 {
					wentOn++
					break
				}
			}
		}
		w.note("stream: versions %s, %d events, whole %t", strings.Join(s.versions(), "+"), len(s.pieces), s.whole)
		for _, a := range s.attempts {
			w.note("    %v; ran at %s", a, describe(w.ranAt(a.id)))
		}
	}
	w.note("%d of %d new streams began; of %d that clients took up again %d went on", begun, streams, taken, wentOn)
	return taken >= least && 2*wentOn*streams < begun*taken, nil
}

// restart ends servers and starts them again with the same software. If cut is set they cannot reach the store.
func (w *world) restart(servers []*server, cut bool) error {
	for _, s := range servers {
		s.cut.Store(cut)
		s.crash()
		w.note("server %s ends; cut off from the store: %t", s.id, cut)
	}
	time.Sleep(200 * time.Millisecond)
	for _, s := range servers {
		if err := s.start("v1"); err != nil {
			return err
		}
		w.note("server %s starts again", s.id)
	}
	return nil
}
