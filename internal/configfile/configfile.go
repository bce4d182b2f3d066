// Package configfile reads operators' YAML files into a change and intents. Every problem of every file is reported at
// once, each with file, line, field and reason.
package configfile

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// MaxBytes is the largest file that is read; a larger one could not become a document of the platform.
const MaxBytes = model.MaxDocumentBytes

// Declaration is what a set of files asks for.
type Declaration struct {
	// Change is nil if no file declares a service, route, dashboard or removal.
	Change  *model.Change
	Intents []model.Intent
}

// Problem is one reason why a file is refused. Line is 0 if the whole file is meant.
type Problem struct {
	File   string
	Line   int
	Field  string
	Reason string
}

// String renders the problem as file:line: field: reason.
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

// Problems is a refusal of one or more files.
type Problems []Problem

// Error lists every problem, one a line.
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

// Options sets what files are checked against.
type Options struct {
	// Now resolves times of day and relative times, in its own time zone.
	Now time.Time
	// SelfContained requires each reference to resolve within the files. Otherwise a reference to a service that no file
	// declares is left to the server, which knows the services in force.
	SelfContained bool
}

// Load reads and decodes files. The error is of type Problems.
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
	if decoding, ok := err.(Problems); ok {
		problems = append(problems, decoding...)
	}
	if len(problems) > 0 {
		return Declaration{}, problems
	}
	return d, nil
}

// read returns at most one byte more than MaxBytes, which Decode then refuses.
func read(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, MaxBytes+1))
}

// Decode turns files into a declaration. The error is of type Problems.
func Decode(sources []Source, o Options) (Declaration, error) {
	c := collector{options: o}
	for _, source := range sources {
		c.file = source.Name
		c.decode(source.Content)
	}
	c.references()
	if len(c.problems) > 0 {
		return Declaration{}, c.problems
	}
	return c.declaration(), nil
}
