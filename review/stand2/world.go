// Command stand2 plays what surrounds the hosts in the cases 6 to 10 of the review: the platform's store, servers and clients. It
// starts the daemon of the deploy file as separate processes on loopback addresses. Its argument is the number of a case. Without
// TROUBLE=0 in the environment it plays the case's disruption.
package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sassafraswing/sassafraswing/platform/swsite"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	// heartbeat is the time between two renewals of a server's entry, which is dropped after three that are missed.
	heartbeat        = 1200 * time.Millisecond
	missedHeartbeats = 3
	readyTimeout     = 30 * time.Second
	stopTimeout      = 10 * time.Second
	program          = "target/sassafraswing"
	template         = "deploy/settings.yaml"
	siteHost         = "site.example"
	apiKey           = "i9n73hh2b9wu3fexd9dn"
)

//go:embed wire.json
var wireData []byte

// wire has the platform's names, and templates of what is sent.
type wireNames struct {
	Objects, Report, Readiness, Health                                         string
	RequestID, Deadline, Tokens, Parts, Model, Expects, Instance, Signature    string
	NotRun, Organisation, LastEvent, BegunBy, Leaving, Era, KeyScheme, Servers string
	Configuration                                                              string
	Settings, Catalog, Entry, Status                                           json.RawMessage
}

var wire wireNames

// fill replaces placeholders in a template. A quoted placeholder is replaced by the value's JSON.
func fill(template json.RawMessage, values map[string]any) json.RawMessage {
	text := string(template)
	for name, value := range values {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err) // only plain values are filled in
		}
		text = strings.ReplaceAll(text, `"$`+name+`"`, string(data))
	}
	return json.RawMessage(text)
}

// world is one run of a case.
type world struct {
	directory string
	trouble   bool
	started   time.Time
	network   string
	store     *swsite.Store
	hosts     []*host
	servers   []*server

	mu     sync.Mutex
	record *os.File
}

// note writes a line to the record.
func (w *world) note(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  "+format+"\n", append([]any{time.Since(w.started).Seconds()}, arguments...)...)
}

// newWorld opens the record in the case's folder.
func newWorld(number string) (*world, error) {
	if err := json.Unmarshal(wireData, &wire); err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join("review", number, "record.txt"))
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{
		directory: directory, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), store: swsite.NewStore(), record: record,
		network: fmt.Sprintf("127.%d.%d.", 64+pid>>8&63, pid&255),
	}
	if err := w.store.Put(wire.Configuration, "main", wire.Catalog); err != nil {
		return nil, err
	}
	go w.dropLapsed()
	return w, nil
}

// address returns an address of this world with a port that is free now.
func (w *world) address(number int) (string, error) {
	l, err := net.Listen("tcp", w.network+strconv.Itoa(number)+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// close ends all processes and servers.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	for _, s := range w.servers {
		s.crash()
	}
	_ = os.RemoveAll(w.directory)
	_ = w.record.Close()
}

// host is one process of the daemon.
type host struct {
	world                         *world
	name, front, ready, file, log string
	storeAddress                  string
	// storeDown makes the store silent to this host.
	storeDown atomic.Bool

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// startHosts starts hosts, and waits until all are ready.
func (w *world) startHosts(n int) error {
	for i := range n {
		h, err := w.newHost(i)
		if err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) newHost(i int) (*host, error) {
	h := &host{world: w, name: fmt.Sprintf("front-lisboa-%c-%d", 'a'+i%3, 1+i/3)}
	addresses := make([]string, 5)
	for k := range addresses {
		var err error
		if addresses[k], err = w.address(1 + i); err != nil {
			return nil, err
		}
	}
	h.front, h.ready, h.storeAddress = addresses[0], addresses[1], addresses[4]
	port := func(address string) int {
		_, text, _ := net.SplitHostPort(address)
		n, _ := strconv.Atoi(text)
		return n
	}
	fields := fill(wire.Settings, map[string]any{
		"HOST": h.name, "IP": w.network + strconv.Itoa(1+i), "ZONE": fmt.Sprintf("lisboa-%c", 'a'+i%3), "FRONT": h.front, "READY": h.ready,
		"PEER": port(addresses[2]), "OPERATOR": port(addresses[3]), "STORE": h.storeAddress,
	})
	settings, err := render(fields)
	if err != nil {
		return nil, err
	}
	h.file, h.log = filepath.Join(w.directory, h.name+".yaml"), filepath.Join(w.directory, h.name+".log")
	if err := os.WriteFile(h.file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", h.storeAddress)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(h.serveStore)) }()
	return h, nil
}

// serveStore is the store as this host sees it.
func (h *host) serveStore(rw http.ResponseWriter, r *http.Request) {
	if h.storeDown.Load() {
		<-r.Context().Done()
		return
	}
	rw.Header().Set(wire.Era, "1")
	h.world.store.ServeHTTP(rw, r)
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z.0-9]+)\}\}`)

// render fills in the template of the settings: values and sections of values that are present.
func render(fields json.RawMessage) (string, error) {
	data, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	var all map[string]any
	if err := json.Unmarshal(fields, &all); err != nil {
		return "", err
	}
	value := func(path string) any {
		var at any = all
		for _, name := range strings.Split(path, ".") {
			switch v := at.(type) {
			case map[string]any:
				at = v[name]
			case []any:
				n, _ := strconv.Atoi(name)
				at = v[n]
			default:
				return nil
			}
		}
		return at
	}
	text := string(data)
	for {
		begin := strings.Index(text, "{{#")
		if begin < 0 {
			break
		}
		name, _, _ := strings.Cut(text[begin+3:], "}}")
		open, end := "{{#"+name+"}}", "{{/"+name+"}}"
		inside, after, _ := strings.Cut(text[begin+len(open):], end)
		if v := value(name); v == nil || v == false {
			inside = ""
		}
		text = text[:begin] + inside + after
	}
	return placeholder.ReplaceAllStringFunc(text, func(found string) string {
		if v := value(found[2 : len(found)-2]); v != nil {
			return fmt.Sprint(v)
		}
		return ""
	}), nil
}

// start starts the host's process.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	output, err := os.OpenFile(h.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	h.command = exec.Command(program, "-settings", h.file)
	h.command.Stdout, h.command.Stderr = output, output
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		_ = output.Close()
		close(exited)
	}(h.command, h.exited)
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command != nil {
		_ = h.command.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(stopTimeout):
	}
}

// runs reports whether the process runs.
func (h *host) runs() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// isReady reports whether the host says that it is ready.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.ready + wire.Readiness)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (h *host) awaitReady() error {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", h.name)
}

var ownerChanged = regexp.MustCompile(`"owner":"([^"]+)".*"message":"owner of the shared cells changed"`)

// leader returns the host that schedules the requests of this one, by its log.
func (h *host) leader() (*host, error) {
	data, err := os.ReadFile(h.log)
	if err != nil {
		return nil, err
	}
	changes := ownerChanged.FindAllSubmatch(data, -1)
	if len(changes) == 0 {
		return nil, fmt.Errorf("%s has no owner", h.name)
	}
	name := string(changes[len(changes)-1][1])
	for _, other := range h.world.hosts {
		if other.name == name {
			return other, nil
		}
	}
	return nil, fmt.Errorf("there is no host %s", name)
}

// anyHost returns a host whose process runs, as the platform's ingress would.
func (w *world) anyHost() *host {
	for range 100 {
		if h := w.hosts[rand.IntN(len(w.hosts))]; h.runs() {
			return h
		}
	}
	return w.hosts[0]
}
