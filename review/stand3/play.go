package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// loopback returns a loopback address of this process's own, so that plays do not meet.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 32+pid>>8&63, pid&255, n)
}

// startHosts starts hosts before the store and waits until they are ready.
func (p *play) startHosts(n int) error {
	address, err := p.store.listen(loopback(1))
	if err != nil {
		return err
	}
	for i := 1; i <= n; i++ {
		h, err := newHost(fmt.Sprint("host-", i), loopback(10+i), address, p.program, p.template, p.folder)
		if err != nil {
			return err
		}
		p.hosts = append(p.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range p.hosts {
		if err := h.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// startServers starts servers of a service.
func (p *play) startServers(service, version string, engine bool, n int) error {
	for i := 1; i <= n; i++ {
		s := &server{
			id: fmt.Sprint(service, "-", version, "-", i), engine: engine, version: version, store: p.store, record: p.record,
			work: 10 * time.Millisecond, gap: 50 * time.Millisecond, events: 20,
		}
		if err := startServer(s, loopback(100+i), service); err != nil {
			return err
		}
	}
	return nil
}

// configure writes a version of the configuration, in which change has been made, and returns the time of the acknowledgement.
func (p *play) configure(version int, change func(map[string]any)) time.Time {
	c := document(configData)
	c["version"] = version
	if change != nil {
		change(c)
	}
	p.store.put(names.Kind["config"], "main", c)
	p.record.write("operator acknowledged: configuration %d", version)
	return time.Now()
}

// stop ends all processes that were started.
func (p *play) stop() {
	for _, h := range p.hosts {
		<-h.signal(syscall.SIGKILL)
	}
}
