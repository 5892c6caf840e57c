package main

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// revokeWithin is the bound of the settings on the use of a key that was taken away.
	revokeWithin = 5 * time.Second
	// leakedKey is the key that is taken away.
	leakedKey, soundKey = "key-leaked", "key-first"
)

// withoutKey takes the leaked key away.
func withoutKey(c map[string]any) {
	for _, t := range c["tenants"].([]any) {
		tenant := t.(map[string]any)
		for field, v := range tenant {
			if keys, ok := v.([]any); ok {
				tenant[field] = slices.DeleteFunc(keys, func(k any) bool { return k == leakedKey })
			}
		}
	}
}

// playSetBack takes a key away, and restarts one host in turn while the store comes back from a copy that is some seconds old. The operator
// writes the configuration again a second later.
func playSetBack(p *play) (broken bool, err error) {
	p.configure(1, nil)
	if err := p.startServers("app", "v1", false, 3); err != nil {
		return false, err
	}
	if err := p.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	earlier := p.store.copy()
	time.Sleep(300 * time.Millisecond)
	acknowledged := p.configure(2, withoutKey)
	p.record.write("%s is taken away, requests with it must not run if they are sent later than %v from now", leakedKey, revokeWithin)

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var callers sync.WaitGroup
	var mu sync.Mutex
	var sent []*request
	for _, h := range p.hosts {
		for _, key := range []string{leakedKey, soundKey} {
			callers.Go(func() {
				for ctx.Err() == nil {
					q := send(ctx, p.record, h, "/look/"+key, key, 2*time.Second)
					mu.Lock()
					sent = append(sent, q)
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	restarted := p.hosts[1]
	time.Sleep(2 * time.Second)
	p.record.write("SIGTERM to %s", restarted.name)
	<-restarted.signal(syscall.SIGTERM)
	p.record.write("%s has ended", restarted.name)
	time.Sleep(time.Until(acknowledged.Add(revokeWithin + 300*time.Millisecond)))
	if p.trouble {
		p.store.setAway(true)
		p.record.write("the store is away")
	}
	if err := restarted.start(); err != nil {
		return false, err
	}
	p.record.write("%s is started", restarted.name)
	if p.trouble {
		time.Sleep(700 * time.Millisecond)
		p.store.setBack(earlier)
		p.record.write("the store is back from a copy that is %.1f s old", time.Since(earlier.at).Seconds())
		time.Sleep(time.Second)
		p.configure(2, withoutKey)
	}
	time.Sleep(4 * time.Second)
	stop()
	callers.Wait()
	served := 0
	for _, q := range sent {
		if q.key == soundKey && q.status == 200 {
			served++
		}
		if runs := p.record.runsOf(q.id); q.key == leakedKey && len(runs) > 0 && q.sent.After(acknowledged.Add(revokeWithin)) {
			broken = true
			p.record.write("BROKEN   %s was sent to %s with %s %.3f s after that was taken away, and ran at %s", q.id, q.host, q.key,
				q.sent.Sub(acknowledged).Seconds(), runs[0].server)
		}
	}
	p.record.write("%d requests with %s were served", served, soundKey)
	return broken, nil
}
