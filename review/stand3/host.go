package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// host is a process of the daemon.
type host struct {
	name, ip, front, ready string
	program, settings, log string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// freePorts returns ports of an address that are free now.
func freePorts(ip string, n int) ([]string, error) {
	ports := make([]string, n)
	for i := range ports {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }() // all are held until the last one is found
		_, ports[i], _ = net.SplitHostPort(l.Addr().String())
	}
	return ports, nil
}

// newHost writes the settings of a host, from the template of the deploy file.
func newHost(name, ip, storeAddress, program, template, folder string) (*host, error) {
	ports, err := freePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	h := &host{
		name: name, ip: ip, front: ip + ":" + ports[0], ready: ip + ":" + ports[1], program: program,
		settings: filepath.Join(folder, name+".yaml"), log: filepath.Join(folder, name+".log"),
	}
	values := settingValues(name, ip, ports[0], ports[1], ports[2], ports[3], storeAddress)
	return h, os.WriteFile(h.settings, []byte(render(string(text), values)), 0o600)
}

// start starts the process, which ends with this one.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	output, err := os.OpenFile(h.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	command, ended := exec.Command(h.program, "-settings", h.settings), make(chan struct{})
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	h.command, h.ended = command, ended
	go func() {
		_ = command.Wait() // a process that was killed has no exit status of interest
		_ = output.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal and returns a channel that is closed when the process has ended.
func (h *host) signal(s syscall.Signal) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.command.Process.Signal(s) // the process may have ended
	return h.ended
}

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady(timeout time.Duration) error {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + h.ready + names.Path["ready"])
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready", h.name)
}
