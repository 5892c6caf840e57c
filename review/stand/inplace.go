package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// inPlaceEvents is the number of events of each stream.
const inPlaceEvents = 60

// inPlace plays an engine that crashes, is back under its id and at its address with a newer software version, and crashes again. Clients
// take up the streams that break. No stream may have events of two versions.
func inPlace(d *deployment) (bool, error) {
	settings := func(i int) engineSettings {
		// As on the site, engines of one service differ in speed.
		gap := [...]time.Duration{40, 75, 75}[i] * time.Millisecond
		return engineSettings{ID: "e-" + strconv.Itoa(i+1), Service: "model", Version: "v1", Slots: 10, Events: inPlaceEvents, Gap: gap}
	}
	var engines []*engine
	for i := range 3 {
		e, err := startEngine(settings(i), "127.0.0.1:0", d.store, d.log)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if err := awaitReady(d.hosts); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	mixed, whole := 0, 0
	calls := load(8, 14*time.Second, func(n int) {
		lines := takeStream(d, n)
		versions := make(map[string]bool)
		for _, l := range lines {
			versions[l.text[strings.LastIndexByte(l.text, ' ')+1:]] = true
		}
		mu.Lock()
		defer mu.Unlock()
		if len(versions) > 1 {
			mixed++
			d.log.add("client", "stream", strconv.Itoa(n), "versions", fmt.Sprint(len(versions)), "events", strconv.Itoa(len(lines)))
		}
		if len(lines) == inPlaceEvents {
			whole++
		}
	})
	time.Sleep(5 * time.Second)
	if d.trouble {
		if err := crashInPlace(d, engines, settings(0)); err != nil {
			return false, err
		}
	}
	calls.Wait()
	fmt.Println("streams that are whole:", whole, "streams with events of two versions:", mixed)
	return mixed > 2, nil
}

// takeStream asks for a stream, and takes it up once if it breaks off. It returns the events of both attempts.
func takeStream(d *deployment, n int) []line {
	c := &call{path: "/draft/" + strconv.Itoa(n), method: "POST", stream: true, tokens: "600,200", parts: "5c1e07a2:60"}
	deadline := time.Now().Add(15 * time.Second)
	a := c.send(d.log, d.hosts[n%len(d.hosts)], time.Until(deadline), "", 0)
	lines := a.lines
	if a.complete || len(lines) == 0 {
		return lines
	}
	b := c.send(d.log, d.hosts[(n+1)%len(d.hosts)], time.Until(deadline), a.id, lines[len(lines)-1].id)
	return append(lines, b.lines...)
}

// crashInPlace lets the first engine crash twice while the store is down: it is back 1.2 s later at the next version, which it can
// only register once the store has returned.
func crashInPlace(d *deployment, engines []*engine, again engineSettings) error {
	d.log.add("store", "does", "goes down")
	d.store.setDown(true)
	time.Sleep(100 * time.Millisecond)
	engines[0].crash()
	time.Sleep(1200 * time.Millisecond)
	again.Version = "v2"
	e, err := startEngine(again, engines[0].address, d.store, d.log)
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	e.crash()
	time.Sleep(200 * time.Millisecond)
	d.log.add("store", "does", "returns")
	d.store.setDown(false)
	time.Sleep(1800 * time.Millisecond)
	_, err = startEngine(again, e.address, d.store, d.log)
	return err
}
