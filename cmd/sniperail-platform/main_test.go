package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a refusal that names only the first invalid setting, or that lacks the flag or the allowed values.
func TestSettingsAreRefusedAllAtOnce(t *testing.T) {
	is := is.New(t)
	is.NoErr(flags{Listen: "127.0.0.1:0", LogLevel: "info"}.Validate())
	err := flags{Listen: "localhost:x", WritesPerSecond: -1, ReadsPerSecond: -2, LogLevel: "loud"}.Validate()
	is.True(err != nil)
	for _, part := range []string{`--listen="localhost:x"`, `--writes-per-second="-1"`, `--reads-per-second="-2"`, `--log-level="loud"`, "0 or more"} {
		is.True(strings.Contains(err.Error(), part))
	}
}
