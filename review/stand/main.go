// Command stand runs one case of the review: the project's daemon as separate processes, between clients, engines and a store that are
// stand-ins. It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run.
package main

import (
	_ "embed"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

//go:embed config.json
var configData []byte

const (
	siteHost = "site.example"
	siteKey  = "key-of-caller"
)

// deployment is what a case runs on.
type deployment struct {
	store   *store
	hosts   []*host
	log     *record
	trouble bool
	folder  string
	// started counts the hosts that were ever started.
	started int
}

// scenario runs a case and reports whether the rule was broken.
type scenario func(d *deployment) (broken bool, err error)

var scenarios = map[string]scenario{"inplace": inPlace, "replaced": replaced, "partitioned": partitioned}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case")
	folder := flag.String("folder", "", "the folder of the record")
	hosts := flag.Int("hosts", 3, "the number of hosts")
	flag.Parse()
	play, found := scenarios[*name]
	if !found {
		fmt.Fprintln(os.Stderr, "there is no such case")
		return 2
	}
	d := &deployment{trouble: os.Getenv("TROUBLE") != "0"}
	broken, err := d.play(play, *folder, *hosts)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	case broken:
		fmt.Println("the rule was broken")
		return 1
	default:
		fmt.Println("the rule held")
		return 0
	}
}

func (d *deployment) play(play scenario, folder string, hosts int) (broken bool, err error) {
	if d.log, err = newRecord(filepath.Join(folder, "record.txt")); err != nil {
		return false, err
	}
	if d.folder, err = os.MkdirTemp("", "review"); err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(d.folder) }()
	} else {
		fmt.Println(d.folder)
	}
	d.store = newStore()
	var config any
	if err := json.Unmarshal(configData, &config); err != nil {
		return false, err
	}
	d.store.put("config", "main", config)
	defer func() {
		for _, h := range d.hosts {
			h.kill()
		}
	}()
	if err := d.replaceAll(hosts); err != nil {
		return false, err
	}
	broken, err = play(d)
	d.log.add("case", "broken", strconv.FormatBool(broken))
	return broken, err
}

// load sends calls at a rate, each in a goroutine of its own, until its end.
func load(perSecond float64, length time.Duration, send func(n int)) *sync.WaitGroup {
	var calls sync.WaitGroup
	calls.Add(1)
	go func() {
		defer calls.Done()
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		end := time.After(length)
		for n := 0; ; n++ {
			select {
			case <-ticker.C:
				calls.Go(func() { send(n) })
			case <-end:
				return
			}
		}
	}()
	return &calls
}
