package traffic

import (
	"strconv"
	"strings"
)

const (
	// maxTargetCalls bounds the calls and slots that a target may report. A larger number is an error of the target.
	maxTargetCalls = 1_000_000
	// maxSlowdown bounds how long work may take by the fourth figure of the load header, in percent of the usual time.
	maxSlowdown = 100_000
)

// parseTargetWaiting returns the waiting calls from the load header of a target: its running calls, waiting calls and slots, or a
// fourth figure as well, which says in percent how long work takes on the machine at the moment. The fourth figure is checked but
// not used: it changes several times between two calls of one daemon to one target. A header of any other form counts as absent.
func parseTargetWaiting(text string) (int, bool) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 && len(parts) != 4 {
		return 0, false
	}
	var calls [3]int
	for i := range calls {
		n, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil || n < 0 || n > maxTargetCalls {
			return 0, false
		}
		calls[i] = n
	}
	if len(parts) == 4 {
		slowdown, err := strconv.ParseFloat(strings.TrimSpace(parts[3]), 64)
		if err != nil || !(slowdown > 0 && slowdown <= maxSlowdown) {
			return 0, false
		}
	}
	return calls[1], true
}
