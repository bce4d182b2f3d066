package configfile

import (
	"bytes"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v2"
)

// This file uses the YAML library that sigs.k8s.io/yaml is built on. sigs.k8s.io/yaml itself decodes through JSON, and so
// loses line numbers and stops at the first unknown field.

// document is one of the YAML documents of a file.
type document struct {
	Services  []serviceEntry  `yaml:"services"`
	Routes    []routeEntry    `yaml:"routes"`
	Dashboard *dashboardEntry `yaml:"dashboard"`
	Moves     []moveEntry     `yaml:"moves"`
	Remove    removeEntry     `yaml:"remove"`
}

type serviceEntry struct {
	Name      string         `yaml:"name"`
	Customer  string         `yaml:"customer"`
	Versions  []versionEntry `yaml:"versions"`
	DependsOn []string       `yaml:"dependsOn"`
	line      int
}

type versionEntry struct {
	Version string `yaml:"version"`
	// Share is in percent.
	Share float64 `yaml:"share"`
}

type routeEntry struct {
	Name        string       `yaml:"name"`
	Service     string       `yaml:"service"`
	Split       []splitEntry `yaml:"split"`
	Host        string       `yaml:"host"`
	PathPrefix  string       `yaml:"pathPrefix"`
	Methods     []string     `yaml:"methods"`
	Idempotent  bool         `yaml:"idempotent"`
	Once        *onceEntry   `yaml:"once"`
	TimeoutMS   int          `yaml:"timeoutMs"`
	MaxAttempts int          `yaml:"maxAttempts"`
	line        int
}

type splitEntry struct {
	Service string `yaml:"service"`
	Weight  int    `yaml:"weight"`
}

type onceEntry struct {
	Header       string        `yaml:"header"`
	DigestFields []string      `yaml:"digestFields"`
	Window       time.Duration `yaml:"window"`
}

type dashboardEntry struct {
	MoveMetric string            `yaml:"moveMetric"`
	Labels     map[string]string `yaml:"labels"`
	line       int
}

type moveEntry struct {
	Service  string        `yaml:"service"`
	To       string        `yaml:"to"`
	By       string        `yaml:"by"`
	In       time.Duration `yaml:"in"`
	Watch    time.Duration `yaml:"watch"`
	MinCalls int           `yaml:"minCalls"`
	line     int
}

type removeEntry struct {
	Services []string `yaml:"services"`
	Routes   []string `yaml:"routes"`
}

// UnmarshalYAML records the line of the entry.
func (e *serviceEntry) UnmarshalYAML(unmarshal func(any) error) error {
	type service serviceEntry
	e.line = lineOf(unmarshal)
	return unmarshal((*service)(e))
}

// UnmarshalYAML records the line of the entry.
func (e *routeEntry) UnmarshalYAML(unmarshal func(any) error) error {
	type route routeEntry
	e.line = lineOf(unmarshal)
	return unmarshal((*route)(e))
}

// UnmarshalYAML records the line of the entry.
func (e *dashboardEntry) UnmarshalYAML(unmarshal func(any) error) error {
	type dashboard dashboardEntry
	e.line = lineOf(unmarshal)
	return unmarshal((*dashboard)(e))
}

// UnmarshalYAML records the line of the entry.
func (e *moveEntry) UnmarshalYAML(unmarshal func(any) error) error {
	type move moveEntry
	e.line = lineOf(unmarshal)
	return unmarshal((*move)(e))
}

// lineOf returns the line of the mapping being decoded, or 0. The library reveals the line only in the error of a failed
// conversion, so lineOf provokes one: no mapping converts to an integer. Call lineOf before the real conversion, because the
// library reuses the array that holds the errors of the previous conversion.
func lineOf(unmarshal func(any) error) int {
	var probe int
	var mismatch *yaml.TypeError
	if err := unmarshal(&probe); errors.As(err, &mismatch) && len(mismatch.Errors) > 0 {
		line, _ := splitLine(mismatch.Errors[0])
		return line
	}
	return 0
}

// decode decodes all YAML documents of a file and collects their entries and problems.
func (c *collector) decode(content []byte) {
	if len(content) > MaxBytes {
		c.addProblem(0, "", "the file is larger than %d bytes", MaxBytes)
		return
	}
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.SetStrict(true)
	for {
		var d document
		err := decoder.Decode(&d)
		if errors.Is(err, io.EOF) {
			return
		}
		var mismatch *yaml.TypeError
		if errors.As(err, &mismatch) {
			c.addMismatches(mismatch.Errors)
			continue
		}
		if err != nil {
			line, reason := splitLine(strings.TrimPrefix(err.Error(), "yaml: "))
			c.addProblem(line, "", "%s", reason)
			return
		}
		c.addDocument(&d)
	}
}

var (
	linePattern           = regexp.MustCompile(`(?s)^line (\d+): (.*)$`)
	unknownFieldPattern   = regexp.MustCompile(`^field (.+) not found in type \S+$`)
	duplicateFieldPattern = regexp.MustCompile(`^field (.+) already set in type \S+$`)
)

// splitLine splits a message of the library into its line number, or 0, and the rest.
func splitLine(text string) (line int, reason string) {
	parts := linePattern.FindStringSubmatch(text)
	if parts == nil {
		return 0, text
	}
	line, err := strconv.Atoi(parts[1])
	if err != nil {
		return 0, text
	}
	return line, parts[2]
}

// addMismatches records the library's error messages as problems, without the names of Go types.
func (c *collector) addMismatches(messages []string) {
	for _, message := range messages {
		line, reason := splitLine(message)
		if parts := unknownFieldPattern.FindStringSubmatch(reason); parts != nil {
			c.addProblem(line, parts[1], "unknown field")
		} else if parts := duplicateFieldPattern.FindStringSubmatch(reason); parts != nil {
			c.addProblem(line, parts[1], "the field is set twice")
		} else {
			c.addProblem(line, "", "%s", strings.NewReplacer("!!str ", "text ", "!!map", "a mapping", "!!seq", "a list",
				"!!int ", "number ", "!!float ", "number ", "!!bool ", "truth value ", "cannot unmarshal", "cannot use",
				"into", "as").Replace(reason))
		}
	}
}
