package settings

import "os"

// ExitUsage is the exit code of all programs for wrong flags.
const ExitUsage = 2

// kongUsage is the exit code that kong uses for wrong flags.
const kongUsage = 80

// Exit ends the process. Pass it to kong.Exit, so that all programs end with ExitUsage on wrong flags.
func Exit(code int) {
	if code == kongUsage {
		code = ExitUsage
	}
	os.Exit(code)
}
