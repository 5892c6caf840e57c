// Command stand3 plays one case of the third review: it starts hosts as separate processes between stand-ins of its own, brings about the
// disruption of the case, and looks at what callers and servers see. All of it is on loopback addresses.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// play is what a case has.
type play struct {
	record  *record
	store   *store
	hosts   []*host
	trouble bool
	// program, template and folder are the daemon, the template of its settings, and a temporary folder.
	program, template, folder string
}

// cases has a function for each case. It reports whether the rule was broken.
var cases = map[string]func(*play) (broken bool, err error){
	"setback": playSetBack,
}

func main() {
	name := flag.String("case", "", "`name` of the case")
	path := flag.String("record", "record.txt", "`file` of the record")
	program := flag.String("program", "target/sassafraswing", "the daemon")
	template := flag.String("template", "deploy/settings.yaml", "template of the settings")
	keep := flag.Bool("keep", false, "keep the temporary folder")
	flag.Parse()
	os.Exit(run3(*name, *path, *program, *template, *keep))
}

func run3(name, path, program, template string, keep bool) int {
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	c, known := cases[name]
	if !known {
		return fail(fmt.Errorf("there is no case %q", name))
	}
	folder, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		return fail(err)
	}
	if keep {
		fmt.Println("temporary folder:", folder)
	} else {
		defer func() { _ = os.RemoveAll(folder) }() // what is left is small
	}
	r, err := newRecord(path)
	if err != nil {
		return fail(err)
	}
	absolute, err := filepath.Abs(program)
	if err != nil {
		return fail(err)
	}
	p := &play{record: r, store: newStore(), trouble: os.Getenv("TROUBLE") != "0", program: absolute, template: template, folder: folder}
	defer p.stop()
	broken, err := c(p)
	switch {
	case err != nil:
		r.write("the case could not run: %v", err)
		return fail(err)
	case broken:
		r.write("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	r.write("the rule held")
	fmt.Println("the rule held")
	return 0
}
