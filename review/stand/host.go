package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// host is a process of the project's daemon.
type host struct {
	name, address, ready, settings, store string
	command                               *exec.Cmd
	run                                   []string
	logs                                  *os.File
	ended                                 chan struct{}
}

// bounds are the figures of a small deployment that the template of the settings asks for.
var bounds = map[string]string{
	"zone": "zone-a", "region": "region-a", "heartbeatIntervalMs": "1200", "bounds.configApplyMs": "2000", "bounds.revokeMs": "5000",
	"bounds.quotaWindowS": "8", "bounds.quotaOverage": "0.1", "bounds.quotaSlack": "140000", "bounds.budgetWindowS": "10",
	"bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetSlack": "116", "limits.cpuShare": "0.272", "limits.cores": "1",
	"limits.linkMbps": "700.0", "limits.memoryMb": "120", "bounds.graceS": "8", "bounds.revokeFailClosed": "true",
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// fill fills the template of the settings in.
func fill(template string, values map[string]string) (string, error) {
	var missing []string
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		if _, found := values[parts[1]]; !found {
			return ""
		}
		return parts[2]
	})
	filled := placeholder.ReplaceAllStringFunc(template, func(text string) string {
		name := placeholder.FindStringSubmatch(text)[1]
		value, found := values[name]
		if !found {
			missing = append(missing, name)
		}
		return value
	})
	if len(missing) > 0 {
		return "", errors.Errorf("the template asks for %s", strings.Join(missing, ", "))
	}
	return filled, nil
}

// deployed returns the command and the template that the deploy file names.
func deployed() (run []string, template string, err error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, "", err
	}
	find := func(key string) string {
		found := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(data)
		if found == nil {
			return ""
		}
		return string(found[1])
	}
	text, err := os.ReadFile(find("template"))
	if err != nil {
		return nil, "", err
	}
	run = strings.Fields(find("run"))
	if len(run) == 0 {
		return nil, "", errors.New("the deploy file names no command")
	}
	return run, string(text), nil
}

// newHost writes the settings of a host, which is not started.
func newHost(name, ip, folder, storeAddress string) (*host, error) {
	run, template, err := deployed()
	if err != nil {
		return nil, err
	}
	values := make(map[string]string)
	for k, v := range bounds {
		values[k] = v
	}
	h := &host{name: name, store: storeAddress, settings: filepath.Join(folder, name+".yaml")}
	ports := make([]string, 4)
	for i := range ports {
		if ports[i], err = freeAddress(ip); err != nil {
			return nil, err
		}
	}
	port := func(address string) string { return address[strings.LastIndexByte(address, ':')+1:] }
	h.address, h.ready = ports[0], ports[1]
	values["node"], values["ip"] = name, ip
	values["listenAddresses.front"], values["listenAddresses.ready"] = ports[0], ports[1]
	values["internalPorts.0"], values["internalPorts.1"] = port(ports[2]), port(ports[3])
	values["platform.address"] = storeAddress
	filled, err := fill(template, values)
	if err != nil {
		return nil, err
	}
	if h.logs, err = os.Create(filepath.Join(folder, name+".log")); err != nil {
		return nil, err
	}
	for _, word := range run {
		if strings.HasSuffix(word, "local.json") {
			word = h.settings
		}
		h.run = append(h.run, word)
	}
	return h, os.WriteFile(h.settings, []byte(filled), 0o600)
}

// freeAddress returns an address with a port that is free now.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// start starts the process.
func (h *host) start() error {
	h.command = exec.Command(h.run[0], h.run[1:]...)
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	h.command.Stdout, h.command.Stderr = h.logs, h.logs
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(h.command, h.ended)
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	if h.command != nil {
		_ = h.command.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (h *host) kill() {
	if h.command == nil {
		return
	}
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.ended
}

// isReady reports whether the host answers the platform's question for its readiness.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + names.ReadinessPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func awaitReady(hosts []*host) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range hosts {
			if h.isReady() {
				ready++
			}
		}
		if ready == len(hosts) {
			return nil
		}
	}
	return fmt.Errorf("%d hosts are not ready", len(hosts))
}
