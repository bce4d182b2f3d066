package queries

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/cli/output"
)

// LogSource is the log of one daemon.
type LogSource struct {
	Name string
	Read io.Reader
}

// LogLine is one line that tells of a request, or of what a daemon on its way believed then.
type LogLine struct {
	Time   time.Time         `json:"time"`
	Source string            `json:"source"`
	Event  string            `json:"event"`
	Fields map[string]string `json:"fields"`
	// Belief says that the line is not about the request itself.
	Belief bool `json:"belief,omitempty"`
	order  []string
}

// beliefs are the events that change what a daemon believes, with the field that tells their subjects apart.
var beliefs = map[string]string{
	"configuration": "", "peer-changed": "daemon", "peer-removed": "daemon", "target-changed": "", "move": "service",
	"version-withheld": "version", "platform-lost": "prefix", "platform-regained": "prefix",
}

// Explain returns the lines of a request in the order of time, and before them what the daemons on its way believed last.
func Explain(request string, sources []LogSource) ([]LogLine, error) {
	var lines []LogLine
	for _, source := range sources {
		found, err := explainSource(request, source)
		if err != nil {
			return nil, errors.Wrap(err, source.Name)
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b LogLine) int {
		if a.Belief != b.Belief {
			if a.Belief {
				return -1
			}
			return 1
		}
		return a.Time.Compare(b.Time)
	})
	return lines, nil
}

// explainSource reads one log. Beliefs are kept only if the daemon has a line of the request, and as of its first one.
func explainSource(request string, source LogSource) ([]LogLine, error) {
	data, err := io.ReadAll(source.Read)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var found []LogLine
	latest := map[string]LogLine{}
	for line := range bytes.Lines(data) {
		// Most lines are about other requests, and decoding them takes the most time.
		about := bytes.Contains(line, []byte(request))
		if !about && (len(found) > 0 || bytes.Contains(line, []byte(" request="))) {
			continue
		}
		e, ok := decodeLine(source.Name, line)
		switch {
		case !ok:
		case e.Fields["request"] == request:
			found = append(found, e)
		case len(found) == 0:
			if subject, is := beliefs[e.Event]; is {
				e.Belief = true
				latest[e.Event+" "+e.Fields[subject]] = e
			}
		}
	}
	if len(found) == 0 {
		return nil, nil
	}
	concerned := map[string]bool{}
	for _, e := range found {
		concerned[e.Fields["daemon"]] = true
		concerned[e.Fields["service"]] = true
	}
	for key, e := range latest {
		_, subject, _ := strings.Cut(key, " ")
		if subject == "" || concerned[subject] || strings.HasPrefix(e.Event, "version") || strings.HasPrefix(e.Event, "platform") {
			found = append(found, e)
		}
	}
	return found, nil
}

// decodeLine reads the key=value pairs of a line. A line that is cut or of another form is left out.
func decodeLine(source string, line []byte) (LogLine, bool) {
	e := LogLine{Source: source, Fields: map[string]string{}}
	decoder := logfmt.NewDecoder(bytes.NewReader(line))
	if !decoder.ScanRecord() {
		return e, false
	}
	for decoder.ScanKeyval() {
		key, value := string(decoder.Key()), string(decoder.Value())
		switch key {
		case "ts":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return e, false
			}
			e.Time = at
		case "event":
			e.Event = value
		case "level":
		default:
			e.Fields[key] = value
			e.order = append(e.order, key)
		}
	}
	return e, decoder.Err() == nil && e.Event != "" && !e.Time.IsZero()
}

// Explain prints the way of a request through the daemons whose logs are given.
func (s Session) Explain(request string, sources []LogSource) error {
	lines, err := Explain(request, sources)
	if err != nil {
		return err
	}
	if s.Printer.IsJSON() {
		return s.Printer.JSON(lines)
	}
	rows := make([]table.Row, len(lines))
	for i, e := range lines {
		kind := "request"
		if e.Belief {
			kind = "believed"
		}
		fields := make([]string, 0, len(e.order))
		for _, key := range e.order {
			if key != "request" {
				fields = append(fields, fmt.Sprintf("%s=%s", key, output.Text(e.Fields[key])))
			}
		}
		rows[i] = table.Row{e.Time.UTC().Format("15:04:05.000"), e.Source, kind, e.Event, strings.Join(fields, " ")}
	}
	return s.Printer.Table(table.Row{"Time", "Log", "Kind", "Event", "Fields"}, rows, "no line of request "+request)
}
