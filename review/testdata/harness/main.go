package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCouldNot  = 2
	troubleSwitch = "TROUBLE"
)

var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"smuggled": playSmuggled, "late-beat": playLateBeat, "write-deadline": playWriteDeadline,
	"broken-off": playBrokenOff, "swallowed": playSwallowed,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(exitCouldNot)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv(troubleSwitch) != "0"))
}

func play(name, recordPath string, trouble bool) int {
	w, err := newWorld(recordPath)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer w.close()
	w.logf("case %s, disruption %t", name, trouble)
	broken, err := cases[name](w, trouble)
	switch {
	case err != nil:
		w.logf("could not run: %v", err)
		_, _ = fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitCouldNot
	case broken:
		w.logf("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	w.logf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
