package main

import (
	"fmt"
	"os"
	"time"
)

// timeLimit bounds the time of a case.
const timeLimit = 115 * time.Second

// cases has the cases by their numbers. Each returns how often its rule was broken, and whether that is more often than the rule allows.
var cases = map[string]func(w *world) (broken bool, err error){
	"6":  joinedVersions,
	"7":  crowded,
	"8":  deniedLetters,
	"9":  lostStreams,
	"10": ranAndRefused,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 NUMBER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1]))
}

func play(number string) int {
	w, err := newWorld(number)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	defer time.AfterFunc(timeLimit, func() { os.Exit(exitNotRun) }).Stop() // which ends the hosts as well
	broken, err := cases[number](w)
	switch {
	case err != nil:
		w.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		w.note("the rule was broken")
		return exitBroken
	default:
		w.note("the rule held")
		return exitHeld
	}
}
