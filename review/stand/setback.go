package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"
)

func setBack(d *deployment) (bool, error) {
	var engines []*engine
	add := func(id, service string, events int) error {
		s := engineSettings{ID: id, Service: service, Version: "v1", Slots: 10, Events: events, Gap: 50 * time.Millisecond, Work: 20 * time.Millisecond}
		e, err := startEngine(s, "127.0.0.1:0", d.store, d.log)
		engines = append(engines, e)
		return err
	}
	for i := range 3 {
		if err := add("e-"+strconv.Itoa(i+1), "model", 40); err != nil {
			return false, err
		}
		if err := add("p-"+strconv.Itoa(i+1), "plain", 0); err != nil {
			return false, err
		}
	}
	if err := awaitReady(d.hosts); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	seen := make(map[string]int)
	var start = time.Now()
	calls := load(24, 30*time.Second, func(n int) {
		kinds := []call{{path: "/draft/", method: "POST", stream: true, tokens: "600,200", parts: "5c1e07a2:60"}, {path: "/confirm/", method: "POST"}, {path: "/read/", method: "GET"}, {path: "/letter/", method: "POST", stream: true, tokens: "600,200", parts: "5c1e07a2:60"}}
		c := kinds[n%4]
		c.path += strconv.Itoa(n)
		at := time.Since(start).Seconds()
		a := c.send(d.log, d.hosts[(n/4)%len(d.hosts)], 10*time.Second, "", 0)
		mu.Lock()
		defer mu.Unlock()
		k := fmt.Sprint(c.path[:4], a.status, a.complete)
		seen[k]++
		if a.status != 200 || !a.complete {
			fmt.Printf("%.2f-%.2f %s %s %v %d %v\n", at, time.Since(start).Seconds(), c.path, a.host, a.status, len(a.lines), a.err)
		}
	})
	config := func(version int) {
		var m map[string]any
		_ = json.Unmarshal(configData, &m)
		m["version"] = version
		d.store.put("config", "main", m)
	}
	time.Sleep(4 * time.Second)
	copied := d.store.copyState()
	time.Sleep(time.Second)
	config(9)
	d.hosts[1].kill()
	_ = d.hosts[1].start()
	time.Sleep(2 * time.Second)
	config(12)
	time.Sleep(2 * time.Second)
	if d.trouble {
		d.store.setDown(true)
		time.Sleep(300 * time.Millisecond)
		d.hosts[1].kill()
		d.store.setBack(copied)
		d.store.setDown(false)
		_ = d.hosts[1].start()
		time.Sleep(500 * time.Millisecond)
		config(12)
	}
	calls.Wait()
	fmt.Println(seen)
	return false, nil
}
