package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against settings that are refused one at a time, or without the flag and what is allowed.
func TestSettingsAreRefusedAllAtOnce(t *testing.T) {
	is := is.New(t)
	is.NoErr(settings{Listen: "127.0.0.1:0", LogLevel: "info"}.Validate())
	err := settings{Listen: "localhost:x", WritesPerSecond: -1, ReadsPerSecond: -2, LogLevel: "loud"}.Validate()
	is.True(err != nil)
	for _, part := range []string{`--listen="localhost:x"`, `--writes-per-second="-1"`, `--reads-per-second="-2"`, `--log-level="loud"`, "0 or more"} {
		is.True(strings.Contains(err.Error(), part))
	}
}
