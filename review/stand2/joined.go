package main

import (
	"strings"
	"sync"
	"time"
)

// joinedVersions has two engines start again under their ids with newer software while they cannot reach the store. Clients' streams
// begin there. Then the host that leads is killed, and its clients take their streams up.
func joinedVersions(w *world) (broken bool, err error) {
	const engines, hosts, streams, allowed = 10, 3, 98, 2
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
		for _, s := range w.servers[:2] {
			s.cut.Store(true)
			s.crash()
			w.note("server %s is cut off from the store and ends", s.id)
		}
		time.Sleep(200 * time.Millisecond)
		for _, s := range w.servers[:2] {
			if err := s.start("v2"); err != nil {
				return false, err
			}
			w.note("server %s starts again with v2", s.id)
		}
	}
	time.Sleep(100 * time.Millisecond)
	var all sync.WaitGroup
	results := make([]*streamed, streams)
	for i := range streams {
		all.Go(func() { results[i] = w.stream(w.hosts[i%hosts], "/nudge/", 15*time.Second, 3) })
	}
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		leader, err := w.hosts[0].leader()
		if err != nil {
			return false, err
		}
		w.note("%s, which leads, is killed", leader.name)
		leader.kill()
		time.Sleep(3 * time.Second)
		if err := leader.start(); err != nil {
			return false, err
		}
		w.note("%s is started again", leader.name)
		for _, s := range w.servers[:2] {
			s.cut.Store(false)
			w.note("server %s reaches the store again", s.id)
		}
	}
	all.Wait()
	joined, whole := 0, 0
	for _, s := range results {
		versions := s.versions()
		if s.whole {
			whole++
		}
		if len(versions) > 1 {
			joined++
		}
		w.note("stream: versions %s, %d events, whole %t", strings.Join(versions, "+"), len(s.pieces), s.whole)
		for _, a := range s.attempts {
			w.note("    %v; ran at %s", a, describe(w.ranAt(a.id)))
		}
	}
	w.note("%d streams, %d whole, %d with events of two versions; allowed are %d", streams, whole, joined, allowed)
	return joined > allowed, nil
}
