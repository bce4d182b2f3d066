package main

import (
	"os"
	"regexp"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
)

// Guards against a settings table in the README that lacks a flag, contains a removed one, or shows a wrong default.
func TestReadmeListsTheFlags(t *testing.T) {
	is := is.New(t)
	parser, err := kong.New(&cli{}, kong.DefaultEnvars("SNIPERAIL"))
	is.NoErr(err)
	flags := map[string]string{}
	for _, f := range parser.Model.Flags {
		switch {
		case f.Name == "help":
		case f.Required:
			flags[f.Name] = "required"
		case f.Default == "":
			flags[f.Name] = "none"
		default:
			flags[f.Name] = f.Default
		}
	}
	readme, err := os.ReadFile("../../README.md")
	is.NoErr(err)
	documented := map[string]string{}
	for _, row := range regexp.MustCompile("(?m)^\\| `--([a-z-]+)` \\| ([^|]+?) \\|").FindAllStringSubmatch(string(readme), -1) {
		documented[row[1]] = row[2]
	}
	is.Equal(cmp.Diff(flags, documented), "")
}
