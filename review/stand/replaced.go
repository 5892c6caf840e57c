package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

const (
	// replacements is how often each of the hosts is replaced.
	replacements = 12
	// recovery is the time after which the service has to be back.
	recovery = 12 * time.Second
)

// replaced plays a small deployment whose machines are removed for good, one set after the other, and replaced by others at new addresses.
// In the end all processes are killed and come back. Clients ask for little more than half of what their organisation may use.
func replaced(d *deployment) (bool, error) {
	for i := range 3 {
		s := engineSettings{ID: "e-" + strconv.Itoa(i+1), Service: "model", Version: "v1", Slots: 10, Events: 20, Gap: 40 * time.Millisecond}
		if _, err := startEngine(s, "127.0.0.1:0", d.store, d.log); err != nil {
			return false, err
		}
	}
	if err := awaitReady(d.hosts); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	before := d.serve(10 * time.Second)
	fmt.Println("before the final fault:", before)
	live := len(d.hosts)
	if d.trouble {
		for range replacements {
			if err := d.replaceAll(live); err != nil {
				return false, err
			}
		}
		for _, h := range d.hosts {
			d.log.add("host", "name", h.name, "does", "is killed")
			h.kill()
		}
		time.Sleep(1200 * time.Millisecond)
		for _, h := range d.hosts {
			if err := h.start(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(recovery)
	after := d.serve(25 * time.Second)
	fmt.Println("later than", recovery, "after it:", after)
	return 4*before.served >= before.sent && 4*after.served < after.sent, nil
}

// replaceAll starts as many new hosts as there are, and removes the others for good once these are ready.
func (d *deployment) replaceAll(live int) error {
	former := d.hosts
	d.hosts = nil
	for range live {
		d.started++
		access, err := d.store.access()
		if err != nil {
			return err
		}
		h, err := newHost("host-"+strconv.Itoa(d.started), "127.0.1."+strconv.Itoa(d.started), d.folder, access)
		if err != nil {
			return err
		}
		d.hosts = append(d.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	err := awaitReady(d.hosts)
	for _, h := range former {
		d.log.add("host", "name", h.name, "does", "is removed")
		h.kill()
	}
	return err
}

// count is how many requests were sent and served, and how many were answered with each other status.
type count struct {
	sent, served int
	others       map[int]int
}

// add counts an attempt.
func (c *count) add(a attempt) {
	c.sent++
	if a.status == 200 && a.complete {
		c.served++
		return
	}
	if c.others == nil {
		c.others = make(map[int]int)
	}
	c.others[a.status]++
}

// String implements fmt.Stringer.
func (c count) String() string {
	return fmt.Sprintf("%d of %d requests served, others by status %v", c.served, c.sent, c.others)
}

// serve sends eight requests a second, of 7,000 tokens each, to all hosts in turn.
func (d *deployment) serve(length time.Duration) count {
	var mu sync.Mutex
	var c count
	load(8, length, func(n int) {
		r := &call{path: "/letter/" + strconv.Itoa(n), method: "POST", stream: true, tokens: "6610,390", parts: "5c1e07a2:60"}
		a := r.send(d.log, d.hosts[n%len(d.hosts)], 10*time.Second, "", 0)
		mu.Lock()
		defer mu.Unlock()
		c.add(a)
	}).Wait()
	return c
}
