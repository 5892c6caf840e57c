package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"
)

// noteHeader is a field that the system forwards. The value has an octet outside of ASCII, as HTTP allows it in values.
const (
	noteHeader     = "X-Case-Handler"
	noteValue      = "Jos\xe9"
	noteValueASCII = "Jose"
)

// path is the way from one host to one engine. It forwards connections until it is cut.
type path struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
	isCut    bool
}

func newPath(engine string) (*path, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &path{listener: l}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", engine)
			if err != nil {
				_ = in.Close()
				continue
			}
			if !p.add(in, out) {
				_ = in.Close()
				_ = out.Close()
				return
			}
			go forward(in, out)
			go forward(out, in)
		}
	}()
	return p, nil
}

// add records the two ends of a connection, and reports false once the path is cut.
func (p *path) add(in, out net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, in, out)
	return !p.isCut
}

func forward(from, to net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// cut resets the connections and refuses new ones.
func (p *path) cut() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = true
	for _, c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// partitioned plays a host that is partitioned from all engines for seconds. The answers of the engines have a field whose value has an
// octet outside of ASCII. With FIELD=requests the requests have it instead, and with FIELD=ascii the values are in ASCII.
func partitioned(d *deployment) (bool, error) {
	var own []*path
	var engines []*engine
	address := make(map[string]string)
	inAnswers, inRequests := noteValue, noteValueASCII
	switch os.Getenv("FIELD") {
	case "requests":
		inAnswers, inRequests = noteValueASCII, noteValue
	case "ascii":
		inAnswers = noteValueASCII
	}
	for i := range 3 {
		s := engineSettings{ID: "e-" + strconv.Itoa(i+1), Service: "model", Version: "v1", Slots: 10, Events: 20, Gap: 40 * time.Millisecond}
		p := engineSettings{ID: "p-" + strconv.Itoa(i+1), Service: "plain", Version: "v1", Slots: 6, Work: 15 * time.Millisecond}
		for _, settings := range []engineSettings{s, p} {
			settings.Header = map[string]string{noteHeader: inAnswers}
			e, err := newEngine(settings, "127.0.0.1:0", d.store, d.log)
			if err != nil {
				return false, err
			}
			way, err := newPath(e.address)
			if err != nil {
				return false, err
			}
			own, engines = append(own, way), append(engines, e)
			address[e.address] = way.listener.Addr().String()
			go e.register()
		}
	}
	d.store.setSeenBy(d.hosts[0].store, address)
	if err := awaitReady(d.hosts); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if d.trouble {
		d.log.add("host", "name", d.hosts[0].name, "does", "is partitioned from all engines")
		for _, p := range own {
			p.cut()
		}
	}
	time.Sleep(3 * time.Second) // stableWindowMs
	counts := make([]count, len(d.hosts))
	var atFirst []string
	var mu sync.Mutex
	load(12, 15*time.Second, func(n int) {
		kinds := []call{{path: "/draft/", method: "POST", stream: true, tokens: "600,200", parts: "5c1e07a2:60"}, {path: "/confirm/", method: "POST"}, {path: "/read/", method: "GET"}}
		c := kinds[n%3]
		c.path += strconv.Itoa(n)
		c.header = map[string]string{noteHeader: inRequests}
		host := n / 3 % len(d.hosts)
		a := c.send(d.log, d.hosts[host], 2500*time.Millisecond, "", 0)
		mu.Lock()
		defer mu.Unlock()
		counts[host].add(a)
		if host == 0 {
			atFirst = append(atFirst, a.id)
		}
	}).Wait()
	ran := 0
	for _, id := range atFirst {
		if slices.ContainsFunc(engines, func(e *engine) bool { return e.hasRun(id) }) {
			ran++
		}
	}
	others := count{sent: counts[1].sent + counts[2].sent, served: counts[1].served + counts[2].served}
	fmt.Println("at the first host:", counts[0], "of which engines have run", ran)
	fmt.Println("at the others:", others)
	share := func(c count) float64 { return float64(c.served) / float64(c.sent) }
	failed := counts[0].sent - counts[0].served
	return share(counts[0]) < share(others)*2/3 && failed > 10+(counts[0].sent+others.sent)/50, nil
}
