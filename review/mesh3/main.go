// Command mesh3 plays one case of the third review: it starts daemons as separate processes on loopback addresses, with a stand-in
// of the platform's store and stand-ins of upstreams, brings about the disruption of the case, and checks one rule.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld = iota
	exitBroken
	exitUnable
)

// play runs a case. It returns what broke the rule, or "" if the rule held. With trouble unset it leaves the disruption out.
type play func(m *mesh, trouble bool) (broken string, err error)

var cases = map[string]play{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: mesh3 CASE RECORD DAEMON")
		os.Exit(exitUnable)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitUnable)
	}
	os.Exit(runCase(run, os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

// runCase plays a case and returns the exit status.
func runCase(run play, recordPath, daemon string, trouble bool) int {
	record, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer record.close()
	m, err := newMesh(record, daemon)
	if err != nil {
		record.printf("the case could not run: %v", err)
		return exitUnable
	}
	defer m.close()
	broken, err := run(m, trouble)
	switch {
	case err != nil:
		record.printf("the case could not run: %v", err)
		return exitUnable
	case broken != "":
		record.printf("rule broken: %s", broken)
		return exitBroken
	}
	record.printf("the rule held")
	return exitHeld
}
