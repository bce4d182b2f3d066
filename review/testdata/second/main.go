// Command second runs the scripted cases of the second review against processes of sniperail-sidecar.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. Each returns what breaks the rule, nil if it held.
var cases = map[string]func(w *world, trouble bool) (broken []string, err error){
	"late-heartbeat": runLateHeartbeat,
	"added-route":    runAddedRoute,
	"foreign-entry":  runForeignEntry,
	"frozen-restart": runFrozenRestart,
	"left-upload":    runLeftUpload,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-second CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.end()
	go endOnSignal(w)
	trouble := os.Getenv("TROUBLE") != "0"
	w.log("case %s, disruption %t", name, trouble)
	broken, err := cases[name](w, trouble)
	for _, m := range w.machines {
		if err == nil && m.process != nil && !m.isRunning() {
			broken = append(broken, m.name+": the daemon has ended by itself")
		}
	}
	switch {
	case err != nil:
		w.log("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken[:min(len(broken), 5)] {
			w.log("BROKEN: %s", b)
			fmt.Println("broken:", b)
		}
		fmt.Println(len(broken), "in all")
		return exitBroken
	}
	w.log("held")
	fmt.Println("held")
	return exitHeld
}

// endOnSignal ends all processes of a case that is ended from outside.
func endOnSignal(w *world) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	w.end()
	os.Exit(exitNotRun)
}
