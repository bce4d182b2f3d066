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

// LogLine is a log line about a request, or about the state of a daemon that handled it.
type LogLine struct {
	Time   time.Time         `json:"time"`
	Source string            `json:"source"`
	Event  string            `json:"event"`
	Fields map[string]string `json:"fields"`
	// Belief says that the line is about the daemon's state before the request, which the daemon believed to be current.
	Belief bool `json:"belief,omitempty"`
	// keys holds the keys of Fields in the order of the line.
	keys []string
}

// stateEvents maps the events that report a change of a daemon's state to the field that names what has changed. Only the
// latest event for each value of that field matters.
var stateEvents = map[string]string{
	"configuration": "", "peer-changed": "daemon", "peer-removed": "daemon", "target-changed": "", "move": "service",
	"version-withheld": "version", "platform-lost": "prefix", "platform-regained": "prefix",
}

// Explain returns the log lines of a request in the order of time. Before them come the latest state events of each daemon
// that handled the request.
func Explain(request string, sources []LogSource) ([]LogLine, error) {
	var lines []LogLine
	for _, source := range sources {
		found, err := explainLog(request, source)
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

// explainLog returns the relevant lines of one log. State events are included only if the log has a line of the request, and
// only those before its first line.
func explainLog(request string, source LogSource) ([]LogLine, error) {
	data, err := io.ReadAll(source.Read)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var found []LogLine
	latest := map[string]LogLine{}
	for line := range bytes.Lines(data) {
		// Most lines are about other requests and are skipped before decoding, which is the most expensive part.
		mentioned := bytes.Contains(line, []byte(request))
		if !mentioned && (len(found) > 0 || bytes.Contains(line, []byte(" request="))) {
			continue
		}
		e, ok := decodeLine(source.Name, line)
		switch {
		case !ok:
		case e.Fields["request"] == request:
			found = append(found, e)
		case len(found) == 0:
			if field, ok := stateEvents[e.Event]; ok {
				e.Belief = true
				latest[e.Event+" "+e.Fields[field]] = e
			}
		}
	}
	if len(found) == 0 {
		return nil, nil
	}
	involved := map[string]bool{}
	for _, e := range found {
		involved[e.Fields["daemon"]] = true
		involved[e.Fields["service"]] = true
	}
	for key, e := range latest {
		_, subject, _ := strings.Cut(key, " ")
		if subject == "" || involved[subject] || strings.HasPrefix(e.Event, "version") || strings.HasPrefix(e.Event, "platform") {
			found = append(found, e)
		}
	}
	return found, nil
}

// decodeLine decodes the key=value pairs of a line. It returns false for a truncated line or one in another format.
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
			e.keys = append(e.keys, key)
		}
	}
	return e, decoder.Err() == nil && e.Event != "" && !e.Time.IsZero()
}

// Explain prints what the logs of several daemons say about a request.
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
		fields := make([]string, 0, len(e.keys))
		for _, key := range e.keys {
			if key != "request" {
				fields = append(fields, fmt.Sprintf("%s=%s", key, output.Text(e.Fields[key])))
			}
		}
		rows[i] = table.Row{e.Time.UTC().Format("15:04:05.000"), e.Source, kind, e.Event, strings.Join(fields, " ")}
	}
	return s.Printer.Table(table.Row{"Time", "Log", "Kind", "Event", "Fields"}, rows, "no line of request "+request)
}
