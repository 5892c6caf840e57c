package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// engineArgument makes the program an engine of unendedStreams, whose ID, address, version and time of birth follow.
const engineArgument = "engine"

// unframedEvents and unframedGap are those of the streams of unendedStreams.
const (
	unframedEvents = 40
	unframedFirst  = 200 * time.Millisecond
	unframedGap    = 80 * time.Millisecond
)

// runEngine serves one engine whose streams have neither a length nor chunks, until the process is killed.
func runEngine(id, address, version, born string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	for {
		c, err := listener.Accept()
		if err != nil {
			return err
		}
		go serveUnframed(c, id, version, born)
	}
}

// serveUnframed serves the requests on a connection. The answer to a report has a length; a stream ends with the connection.
func serveUnframed(c net.Conn, id, version, born string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var body [4096]byte
		for err == nil {
			_, err = r.Body.Read(body[:])
		}
		switch expected := r.Header.Get(wire.Expects); {
		case r.URL.Path == wire.Report:
			n, _ := strconv.ParseInt(born, 10, 64)
			status := fill(wire.Status, map[string]any{"RUNNING": 0, "BORN": n})
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(status), status)
			continue
		case expected != "" && expected != id:
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", wire.RequestID, r.Header.Get(wire.RequestID))
			continue
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: %s.%s\r\nConnection: close\r\n\r\n",
			wire.RequestID, r.Header.Get(wire.RequestID), wire.Signature, id, version)
		last, _ := strconv.Atoi(r.Header.Get(wire.LastEvent))
		pause := unframedFirst
		for n := last + 1; n <= unframedEvents; n++ {
			time.Sleep(pause)
			pause = unframedGap
			if _, err := fmt.Fprintf(c, "id: %d\ndata: piece %d of %s at %s\n\n", n, n, version, id); err != nil {
				return
			}
		}
		return
	}
}

// engineProcess is an engine that runs as a process of its own.
type engineProcess struct {
	*server
	command *exec.Cmd
}

// startEngine starts an engine as a process, and has its entry renewed.
func (w *world) startEngine(i int) (*engineProcess, error) {
	address, err := w.address(100 + i)
	if err != nil {
		return nil, err
	}
	e := &engineProcess{server: &server{
		world: w, service: "redacao", id: fmt.Sprintf("i-%06x", 0xa31c00+i*37), address: address, zone: "lisboa-a", slots: 10, version: "v1",
		born: time.Now().UnixMilli(), http: &http.Server{},
	}}
	e.command = exec.Command(os.Args[0], engineArgument, e.id, address, e.version, strconv.FormatInt(e.born, 10))
	e.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.command.Start(); err != nil {
		return nil, err
	}
	w.servers = append(w.servers, e.server)
	go e.beat()
	return e, nil
}

// kill ends the engine.
func (e *engineProcess) kill() {
	e.crash()
	_ = e.command.Process.Kill()
	_ = e.command.Wait()
}

// unendedStreams has engines whose streams have neither a length nor chunks. One engine is killed while streams run there.
func unendedStreams(w *world) (broken bool, err error) {
	const engines, hosts, streams = 9, 3, 60
	all := make([]*engineProcess, engines)
	for i := range all {
		if all[i], err = w.startEngine(i); err != nil {
			return false, err
		}
		defer all[i].kill()
	}
	if err := w.startHosts(hosts); err != nil {
		return false, err
	}
	for i := range hosts {
		if s := w.stream(w.hosts[i], "/nudge/", 15*time.Second, 1); !s.whole {
			return false, fmt.Errorf("a stream before the disruption is not whole: %v", s.attempts)
		}
	}
	var sent sync.WaitGroup
	results := make([]*streamed, streams)
	for i := range streams {
		sent.Go(func() { results[i] = w.stream(w.hosts[i%hosts], "/nudge/", 15*time.Second, 1) })
	}
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		w.note("engine %s is killed", all[0].id)
		all[0].kill()
	}
	sent.Wait()
	short := 0
	for _, s := range results {
		if s.whole && len(s.pieces) < unframedEvents {
			short++
		}
		w.note("stream: %d of %d events, whole %t", len(s.pieces), unframedEvents, s.whole)
		for _, a := range s.attempts {
			at := ""
			if len(a.pieces) > 0 {
				at = strings.Fields(a.pieces[0].data)[5]
			}
			w.note("    %v; from %s", a, at)
		}
	}
	w.note("%d streams, %d ended as complete before their last event", streams, short)
	return short > 0, nil
}
