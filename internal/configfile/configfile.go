// Package configfile decodes operators' YAML files into a change and intents. The problems of all files are reported
// together, each with file, line, field and reason.
package configfile

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// MaxBytes is the largest file that is accepted. The platform could not store a configuration of more bytes.
const MaxBytes = model.MaxDocumentBytes

// Declaration is the content of a set of files.
type Declaration struct {
	// Change is nil if no file contains a service, route, dashboard or removal.
	Change  *model.Change
	Intents []model.Intent
}

// Problem is one reason why a file is refused. Line is 0 if the problem concerns the whole file.
type Problem struct {
	File   string
	Line   int
	Field  string
	Reason string
}

// String formats the problem as file:line: field: reason.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Reason)
	return b.String()
}

// Problems is the error of one or more refused files.
type Problems []Problem

// Error returns every problem on a line of its own.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// Source is one file to decode.
type Source struct {
	Name    string
	Content []byte
}

// Options are the options of decoding.
type Options struct {
	// Now is the time and time zone by which times of day and relative times are resolved.
	Now time.Time
	// SelfContained requires each reference to resolve within the files. Without it, references to services that no file
	// contains are left to the server, which knows the services in force.
	SelfContained bool
}

// Load reads and decodes files. Its errors are of type Problems.
func Load(paths []string, o Options) (Declaration, error) {
	var sources []Source
	var problems Problems
	for _, path := range paths {
		content, err := read(path)
		if err != nil {
			problems = append(problems, Problem{File: path, Reason: err.Error()})
			continue
		}
		sources = append(sources, Source{Name: path, Content: content})
	}
	d, err := Decode(sources, o)
	if decodeProblems, ok := err.(Problems); ok {
		problems = append(problems, decodeProblems...)
	}
	if len(problems) > 0 {
		return Declaration{}, problems
	}
	return d, nil
}

// read reads at most one byte more than MaxBytes; Decode then refuses the file.
func read(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, MaxBytes+1))
}

// Decode decodes files into a declaration. Its errors are of type Problems.
func Decode(sources []Source, o Options) (Declaration, error) {
	c := collector{options: o}
	for _, source := range sources {
		c.file = source.Name
		c.decode(source.Content)
	}
	c.checkReferences()
	if len(c.problems) > 0 {
		return Declaration{}, c.problems
	}
	return c.declaration(), nil
}
